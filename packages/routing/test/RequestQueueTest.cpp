#include "toucanstep/routing/RequestQueue.h"
#include "Fixtures.h"
#include "toucanstep/testing/Property.h"

#include <map>

using namespace toucanstep;
using namespace toucanstep::routing;
using namespace toucanstep::routing::fixtures;

namespace {

bool anyRequest(const QueuedRequest&) { return true; }

QueuedRequest makeRequest(int64_t number, const std::string& account, int64_t weight, int64_t cost, const std::string& kind = "ask", int64_t kindWeight = 1)
{
    return { .id = base::RequestId(base::concat(number)),
        .account = base::ClientAccountId(account),
        .key = base::KeyFingerprint(account + "-key"),
        .model = base::ModelId("m"),
        .accountWeight = weight,
        .kind = kind,
        .kindWeight = kindWeight,
        .cost = base::Tokens(cost),
        .latestStart = at(100s) };
}

constexpr int64_t largestCost = 4000;
constexpr int64_t quantum = 256;

// Keeps every account backlogged and checks that the service of any two accounts, divided by their weights, differs by no more
// than the bound of deficit round robin: one largest cost and one quantum for each of them.
void checkShares(RequestQueue& queue)
{
    auto accounts = *rc::gen::inRange(2, 5);
    std::vector<int64_t> weights;
    std::vector<int64_t> largest;
    for (int account = 0; account < accounts; ++account) {
        weights.push_back(*rc::gen::inRange(1, 6));
        largest.push_back(*rc::gen::inRange<int64_t>(10, largestCost));
    }
    std::map<std::string, int64_t> served;
    int64_t number = 0;
    auto push = [&](int account) {
        auto cost = *rc::gen::inRange<int64_t>(1, largest[account] + 1);
        queue.push(makeRequest(++number, base::concat("a", account), weights[account], cost), 0s, at(0s));
    };
    for (int account = 0; account < accounts; ++account)
        for (int copy = 0; copy < 2; ++copy)
            push(account);
    for (int step = 0; step < 300; ++step) {
        auto request = queue.pop(at(0s), anyRequest);
        RC_ASSERT(request.has_value());
        served[request->account.value()] += request->cost.value();
        push(std::stoi(request->account.value().substr(1)));
        for (int left = 0; left < accounts; ++left)
            for (int right = 0; right < accounts; ++right) {
                auto normalLeft = static_cast<double>(served[base::concat("a", left)]) / static_cast<double>(weights[left]);
                auto normalRight = static_cast<double>(served[base::concat("a", right)]) / static_cast<double>(weights[right]);
                RC_ASSERT(normalLeft - normalRight <= 2.0 * (largestCost + quantum));
            }
    }
}

} // namespace

TEST_GROUP(RequestQueue)
{
    std::unique_ptr<RequestQueue> queue = makeFairQueue({ base::Tokens(quantum) });
};

TEST(RequestQueue, AnotherAccountsLongQueueDoesNotDelayASmallAccount)
{
    // One account sends five times its rate and fills the queue. In a first-in, first-out queue the single request of another
    // account waits behind all of them, and its caller gives up.
    for (int64_t number = 0; number < 500; ++number)
        queue->push(makeRequest(number, "ferry", 1, 1000), 0s, at(0s));
    queue->push(makeRequest(1000, "farm", 1, 1000), 0s, at(0s));
    int position = 1;
    while (queue->pop(at(0s), anyRequest)->account.value() != "farm")
        ++position;
    CHECK_TRUE(position <= 2);
}

TEST(RequestQueue, ALargeRequestWaitsForOneTurnAndItsDebtIsRepaidAfterwards)
{
    // Guards against refusing the rare long prompts of an account that is far below its share: if a flow has to collect the whole
    // cost before it is served, a prompt of 16 quanta waits 16 rounds and misses its deadline.
    for (int64_t number = 0; number < 500; ++number)
        queue->push(makeRequest(number, "ferry", 1, quantum), 0s, at(0s));
    queue->pop(at(0s), anyRequest);
    auto turnsUntilFarm = [&](int64_t number) {
        queue->push(makeRequest(number, "farm", 1, 16 * quantum), 0s, at(0s));
        int turns = 1;
        while (queue->pop(at(0s), anyRequest)->account.value() != "farm")
            ++turns;
        return turns;
    };
    CHECK_TRUE(turnsUntilFarm(1000) <= 2);
    auto second = turnsUntilFarm(1001);
    CHECK_TRUE(second >= 14);
    CHECK_TRUE(second <= 18);
}

TEST(RequestQueue, ADebtIsRepaidWhileTheFlowIsEmpty)
{
    // An account sends a long prompt now and then. The debt from one prompt must not delay the next one an hour later.
    for (int64_t number = 0; number < 100; ++number)
        queue->push(makeRequest(number, "ferry", 1, quantum), 0s, at(0s));
    queue->push(makeRequest(1000, "farm", 1, 16 * quantum), 0s, at(0s));
    for (int turn = 0; turn < 50; ++turn)
        queue->pop(at(0s), anyRequest);
    queue->push(makeRequest(1001, "farm", 1, quantum), 0s, at(0s));
    auto first = queue->pop(at(0s), anyRequest)->account.value();
    auto second = queue->pop(at(0s), anyRequest)->account.value();
    CHECK_TRUE(first == "farm" || second == "farm");
}

TEST(RequestQueue, EqualFlowsTakeTurns)
{
    for (int64_t number = 0; number < 10; ++number)
        for (const auto* account : { "farm", "ferry" })
            queue->push(makeRequest(number * 2 + (account[1] == 'e'), account, 1, quantum), 0s, at(0s));
    auto last = queue->pop(at(0s), anyRequest)->account;
    for (int turn = 1; turn < 20; ++turn) {
        auto account = queue->pop(at(0s), anyRequest)->account;
        CHECK_TRUE(account != last);
        last = account;
    }
}

TEST(RequestQueue, ServiceIsProportionalToTheAccountsWeights)
{
    CHECK_PROPERTY([] { checkShares(*makeFairQueue({ base::Tokens(quantum) })); });
}

TEST(RequestQueue, ServiceOfAFifoQueueIsNotProportionalToTheWeights)
{
    CHECK_FALSE(testing::counterexample({}, [] { checkShares(*makeFifoQueue()); }).empty());
}

TEST(RequestQueue, KindsDivideTheShareOfTheirAccountByTheirWeights)
{
    std::map<std::string, int> served;
    for (int64_t number = 0; number < 400; ++number) {
        queue->push(makeRequest(number, "farm", 1, 100, "control", 3), 0s, at(0s));
        queue->push(makeRequest(1000 + number, "farm", 1, 100, "report", 1), 0s, at(0s));
        queue->push(makeRequest(2000 + number, "ferry", 1, 100), 0s, at(0s));
    }
    for (int step = 0; step < 400; ++step) {
        auto request = queue->pop(at(0s), anyRequest);
        ++served[request->account.value() + request->kind];
    }
    // "farm" gets half, although it has two kinds and "ferry" has one; its kinds divide that half three to one.
    CHECK_TRUE(std::abs(served["ferryask"] - 200) <= 15);
    CHECK_TRUE(std::abs(served["farmcontrol"] - 150) <= 15);
    CHECK_TRUE(std::abs(served["farmreport"] - 50) <= 15);
}

TEST(RequestQueue, ARequestThatWaitsForAModelLoadDoesNotBlockOthers)
{
    auto cold = makeRequest(1, "farm", 1, 100);
    cold.model = base::ModelId("cold");
    queue->push(cold, 0s, at(0s));
    queue->push(makeRequest(2, "farm", 1, 100), 0s, at(0s));
    auto loaded = [](const QueuedRequest& request) { return request.model.value() != "cold"; };
    STRCMP_EQUAL("2", queue->pop(at(0s), loaded)->id.value().c_str());
    CHECK_FALSE(queue->pop(at(0s), loaded).has_value());
    STRCMP_EQUAL("1", queue->pop(at(0s), anyRequest)->id.value().c_str());
}

TEST(RequestQueue, WhatCannotBeServedInTimeIsRefusedAtOnce)
{
    auto refusal = queue->push(makeRequest(1, "farm", 1, 100), 101s, at(0s));
    CHECK_TRUE(refusal->code == base::RefusalCode::DeadlineUnreachable);
    CHECK_TRUE(*refusal->retryAt == at(1s));
    CHECK_EQUAL(0, queue->size());
    queue->push(makeRequest(2, "farm", 1, 100), 0s, at(0s));
    CHECK_TRUE(queue->takeExpired(at(100s)).empty());
    CHECK_FALSE(queue->pop(at(101s), anyRequest).has_value());
    auto expired = queue->takeExpired(at(101s));
    CHECK_EQUAL(1, expired.size());
    CHECK_TRUE(expired[0].refusal.code == base::RefusalCode::DeadlineExceeded);
    CHECK_TRUE(expired[0].refusal.ran == base::RanState::NotRun);
}

TEST(RequestQueue, AWithdrawnKeysRequestsAreRefusedAndOthersStay)
{
    queue->push(makeRequest(1, "farm", 1, 100), 0s, at(0s));
    queue->push(makeRequest(2, "ferry", 1, 100), 0s, at(0s));
    auto refused = queue->removeKey(base::KeyFingerprint("farm-key"));
    CHECK_EQUAL(1, refused.size());
    CHECK_TRUE(refused[0].refusal.code == base::RefusalCode::Unauthorized);
    CHECK_EQUAL(1, queue->size());
    CHECK_EQUAL(1, queue->removeAccount(base::ClientAccountId("ferry")).size());
    CHECK_TRUE(queue->backlog().empty());
}

TEST(RequestQueue, TheServiceRateOfAnAccountIsReportedAndDecays)
{
    queue->push(makeRequest(1, "farm", 1, 1000), 0s, at(0s));
    queue->pop(at(0s), anyRequest);
    CHECK_EQUAL(1, queue->backlog().size());
    CHECK_EQUAL(0, queue->backlog()[0].queued.value());
    CHECK_EQUAL(100, queue->backlog()[0].servedPerSecond.value());
    queue->pop(at(60s), anyRequest);
    queue->push(makeRequest(2, "ferry", 1, 1000), 0s, at(60s));
    queue->pop(at(60s), anyRequest);
    CHECK_EQUAL(1, queue->backlog().size());
    STRCMP_EQUAL("ferry", queue->backlog()[0].account.value().c_str());
}

TEST(RequestQueue, EveryRequestLeavesOnceAndAnEligibleOneIsNeverHeldBack)
{
    for (bool fair : { true, false }) {
        CHECK_PROPERTY([fair] {
            auto tested = fair ? makeFairQueue({ base::Tokens(quantum) }) : makeFifoQueue();
            std::map<std::string, QueuedRequest> oracle;
            int64_t number = 0;
            auto steps = *rc::gen::inRange(0, 60);
            for (int step = 0; step < steps; ++step) {
                switch (*rc::gen::inRange(0, 5)) {
                case 0:
                case 1: {
                    auto request = makeRequest(++number, base::concat("a", *rc::gen::inRange(0, 3)), 1, *rc::gen::inRange(0, 500),
                        base::concat("k", *rc::gen::inRange(0, 2)));
                    request.model = base::ModelId(base::concat("m", *rc::gen::inRange(0, 2)));
                    request.latestStart = at(std::chrono::seconds(*rc::gen::inRange(0, 80)));
                    if (!tested->push(request, 0s, at(std::chrono::seconds(step))))
                        oracle.emplace(request.id.value(), request);
                    break;
                }
                case 2: {
                    auto id = base::concat(*rc::gen::inRange<int64_t>(0, number + 1));
                    RC_ASSERT(tested->cancel(base::RequestId(id)) == (oracle.erase(id) == 1));
                    break;
                }
                case 3: {
                    // Exactly the requests past their latest start are returned, each once.
                    auto now = at(std::chrono::seconds(step));
                    for (const auto& expired : tested->takeExpired(now)) {
                        RC_ASSERT(expired.refusal.ran == base::RanState::NotRun);
                        RC_ASSERT(expired.request.latestStart < now);
                        RC_ASSERT(oracle.erase(expired.request.id.value()) == 1U);
                    }
                    RC_ASSERT(std::none_of(oracle.begin(), oracle.end(), [&](const auto& entry) { return entry.second.latestStart < now; }));
                    break;
                }
                default: {
                    auto now = at(std::chrono::seconds(step));
                    Eligible onlyFirst = [](const QueuedRequest& request) { return request.model.value() == "m0"; };
                    auto startable = std::any_of(oracle.begin(), oracle.end(), [&](const auto& entry) { return onlyFirst(entry.second) && entry.second.latestStart >= now; });
                    auto popped = tested->pop(now, onlyFirst);
                    RC_ASSERT(popped.has_value() == startable);
                    if (popped)
                        RC_ASSERT(oracle.erase(popped->id.value()) == 1U);
                    break;
                }
                }
                int64_t queued = 0;
                for (const auto& entry : tested->backlog())
                    queued += entry.queued.value();
                int64_t expected = 0;
                for (const auto& [id, request] : oracle)
                    expected += request.cost.value();
                RC_ASSERT(queued == expected);
                RC_ASSERT(tested->size() == oracle.size());
            }
        });
    }
}
