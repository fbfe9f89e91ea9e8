#include "toucanstep/scheduling/TokenQueue.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <utility>
#include <vector>

using namespace toucanstep;
using namespace toucanstep::scheduling;
using base::Tokens;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto ms = [](int64_t count) { return std::chrono::milliseconds(count); };

} // namespace

// One gateway and one account with 1000 tokens per second and an initially empty bucket.
TEST_GROUP(TokenQueue)
{
    const base::ClientAccountId farm { "farm" };
    AccountLimits limits { AccountLimitsSettings {} };
    TokenQueue queue;
    base::Instant now = start;

    void setup() override
    {
        DesiredState state;
        Account account;
        account.limits.id = farm;
        account.limits.tokensPerSecond = Tokens(1000);
        account.limits.burst = Tokens(1000);
        state.accounts.push_back(account);
        limits.setAccounts(state, now);
    }
    TokenQueue::Decision take(int64_t cost, base::Duration maxWait, std::optional<int64_t> priority = {}) { return queue.chargeOrQueue(limits, { farm, Tokens(cost), priority, now + maxWait }, now); }
    std::vector<TokenQueue::Due> dueAt(base::Instant then)
    {
        now = then;
        return queue.takeDue(limits, now);
    }
};

// Guards against refusing callers whose tokens are about to become available. After all gateways were killed and restarted
// with empty buckets, the callers of the first second were refused, came back together and found the tokens spent again,
// although all of their tokens would have been available within a third of a second.
TEST(TokenQueue, ACallWaitsForTokensThatAreExpectedSoon)
{
    auto decision = take(200, ms(300));
    CHECK_TRUE(decision.result == TokenResult::Queued);
    LONGS_EQUAL(200, base::toMilliseconds(decision.expected - now));
    CHECK_TRUE(dueAt(start + ms(199)).empty());
    auto due = dueAt(start + ms(200));
    LONGS_EQUAL(1, due.size());
    CHECK_TRUE(due[0].charged);
    CHECK_TRUE(queue.empty());
}

TEST(TokenQueue, ACallWhoseTokensComeTooLateIsRefusedAtOnceWithTheExpectedTime)
{
    take(250, ms(300));
    auto decision = take(150, ms(300));
    CHECK_TRUE(decision.result == TokenResult::Refused);
    LONGS_EQUAL(400, base::toMilliseconds(decision.expected - now));
}

TEST(TokenQueue, CallsAreChargedInOrderOfArrival)
{
    auto large = take(250, ms(300));
    now += ms(100);
    // There are enough tokens for this call, but they are reserved for the one ahead of it.
    auto small = take(20, ms(300));
    CHECK_TRUE(small.result == TokenResult::Queued);
    auto due = dueAt(start + ms(270));
    LONGS_EQUAL(2, due.size());
    CHECK_TRUE(due[0].number == large.number && due[1].number == small.number);
}

TEST(TokenQueue, ACallWhoseTokensWereSpentElsewhereIsRefusedAfterItsWait)
{
    take(250, ms(300));
    limits.onReport(base::InstanceId("other"), { Incarnation(1), { { farm, Tokens(0) } } }, now);
    limits.onReport(base::InstanceId("other"), { Incarnation(1), { { farm, Tokens(800) } } }, now);
    CHECK_TRUE(dueAt(start + ms(290)).empty());
    auto due = dueAt(start + ms(300));
    LONGS_EQUAL(1, due.size());
    CHECK_FALSE(due[0].charged);
    CHECK_TRUE(due[0].expected > now);
}

TEST(TokenQueue, ACallThatEndsIsRemovedFromTheQueue)
{
    auto first = take(250, ms(300));
    auto second = take(40, ms(300));
    queue.remove(first.number);
    CHECK_TRUE(*queue.nextDue(limits, now) == start + ms(40));
    LONGS_EQUAL(1, dueAt(start + ms(40)).size());
    CHECK_TRUE(second.result == TokenResult::Queued && queue.empty());
}

TEST(TokenQueue, AnUrgentCallGoesBeforeCallsThatCanWait)
{
    auto canWait = take(250, ms(2000), 2);
    auto urgent = take(100, ms(300), 0);
    CHECK_TRUE(urgent.result == TokenResult::Queued);
    LONGS_EQUAL(100, base::toMilliseconds(urgent.expected - now));
    auto due = dueAt(start + ms(100));
    LONGS_EQUAL(1, due.size());
    CHECK_TRUE(due[0].number == urgent.number);
    CHECK_TRUE(canWait.result == TokenResult::Queued);
}

// Guards against short calls that are refused behind calls of the same priority that can wait for seconds.
TEST(TokenQueue, OfEqualPriorityTheCallThatCanWaitLeastGoesFirst)
{
    auto canWait = take(250, ms(2000), 2);
    auto cannot = take(100, ms(200), 2);
    CHECK_TRUE(cannot.result == TokenResult::Queued);
    auto due = dueAt(start + ms(100));
    LONGS_EQUAL(1, due.size());
    CHECK_TRUE(due[0].number == cannot.number);
    CHECK_TRUE(canWait.result == TokenResult::Queued);
}

namespace {

struct Asked {
    int64_t priority;
    // Calls of 100 tokens a second, and how long they wait.
    int64_t callsPerSecond;
    base::Duration maxWait;
};

// The part of each class's calls that are charged while they ask for several times the rate of 1000 tokens a second.
std::map<int64_t, double> chargedParts(AccountLimits& limits, const std::vector<Asked>& classes, bool byPriority)
{
    const base::ClientAccountId farm("farm");
    TokenQueue queue;
    std::map<int64_t, double> charged;
    std::map<int64_t, double> asked;
    std::map<QueuedCallNumber, int64_t> waiting;
    base::Instant now = start;
    for (int step = 0; step < 1000; ++step, now += ms(10)) {
        for (const Asked& each : classes) {
            if (step * each.callsPerSecond / 100 == (step + 1) * each.callsPerSecond / 100)
                continue;
            asked[each.priority] += 1;
            auto decision = queue.chargeOrQueue(limits, { farm, Tokens(100), byPriority ? std::optional(each.priority) : std::nullopt, now + each.maxWait }, now);
            charged[each.priority] += decision.result == TokenResult::Charged ? 1 : 0;
            if (decision.result == TokenResult::Queued)
                waiting[decision.number] = each.priority;
        }
        for (const auto& due : queue.takeDue(limits, now))
            charged[waiting.at(due.number)] += due.charged ? 1 : 0;
    }
    for (auto& [priority, count] : charged)
        count /= asked[priority];
    return charged;
}

} // namespace

// Guards against urgent calls that are refused while calls that could wait spend the account's tokens in order of arrival.
TEST(TokenQueue, UnderFloodUrgentCallsGetTheTokensFirst)
{
    std::vector<Asked> classes { { 0, 8, ms(120) }, { 1, 10, ms(120) }, { 2, 20, ms(2000) } };
    auto parts = chargedParts(limits, classes, true);
    setup();
    AccountLimits fresh { AccountLimitsSettings {} };
    std::swap(limits, fresh);
    setup();
    auto inOrderOfArrival = chargedParts(limits, classes, false);
    CHECK_TRUE(parts[0] >= 0.95);
    CHECK_TRUE(inOrderOfArrival[0] < 0.5);
    CHECK_TRUE(parts[1] >= parts[2]);
}

// Guards against starvation of calls that can wait: the urgent ones ask for three times the rate.
TEST(TokenQueue, EachPriorityGetsAPartOfTheTokens)
{
    auto parts = chargedParts(limits, { { 0, 30, ms(120) }, { 2, 10, ms(2000) } }, true);
    CHECK_TRUE(parts[2] >= 0.05);
    CHECK_TRUE(parts[0] >= 0.25);
}
