#include "toucanstep/direct/TokenQueue.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::direct;
using base::Tokens;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto ms = [](int64_t count) { return std::chrono::milliseconds(count); };

} // namespace

// One gateway and one account with a thousand tokens a second, whose bucket is empty at the start.
TEST_GROUP(TokenQueue)
{
    const base::ClientAccountId farm { "farm" };
    AccountLimits limits { AccountLimitsSettings {} };
    TokenQueue line;
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
    TokenQueue::Decision take(int64_t cost, base::Duration patience) { return line.take(limits, farm, Tokens(cost), now + patience, now); }
    std::vector<TokenQueue::Due> dueAt(base::Instant then)
    {
        now = then;
        return line.due(limits, now);
    }
};

// All gateways had been killed, and began again with empty buckets. Every caller of the first second was refused, came back
// with all others, and found the tokens gone again; they would all have been there within a third of a second.
TEST(TokenQueue, ACallWaitsForTokensThatComeSoon)
{
    auto decision = take(200, ms(300));
    CHECK_TRUE(decision.answer == TokenResult::Queued);
    LONGS_EQUAL(200, base::toMilliseconds(decision.expected - now));
    CHECK_TRUE(dueAt(start + ms(199)).empty());
    auto due = dueAt(start + ms(200));
    LONGS_EQUAL(1, due.size());
    CHECK_TRUE(due[0].charged);
    CHECK_TRUE(line.empty());
}

TEST(TokenQueue, ACallWhoseTokensComeTooLateIsToldWhenAtOnce)
{
    take(250, ms(300));
    auto decision = take(150, ms(300));
    CHECK_TRUE(decision.answer == TokenResult::Refused);
    LONGS_EQUAL(400, base::toMilliseconds(decision.expected - now));
}

TEST(TokenQueue, NobodyOvertakes)
{
    auto large = take(250, ms(300));
    now += ms(100);
    // There are tokens for this one, but they are meant for the one before it.
    auto small = take(20, ms(300));
    CHECK_TRUE(small.answer == TokenResult::Queued);
    auto due = dueAt(start + ms(270));
    LONGS_EQUAL(2, due.size());
    CHECK_TRUE(due[0].number == large.number && due[1].number == small.number);
}

TEST(TokenQueue, ACallWhoseTokensWereSpentElsewhereIsRefusedAfterItsTime)
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

TEST(TokenQueue, ACallThatEndsLeavesItsPlace)
{
    auto first = take(250, ms(300));
    auto second = take(40, ms(300));
    line.remove(first.number);
    CHECK_TRUE(*line.next(limits, now) == start + ms(40));
    LONGS_EQUAL(1, dueAt(start + ms(40)).size());
    CHECK_TRUE(second.answer == TokenResult::Queued && line.empty());
}
