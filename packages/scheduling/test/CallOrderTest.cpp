#include "toucanstep/scheduling/CallOrder.h"

#include "OrderSimulation.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>

using namespace toucanstep;
using namespace toucanstep::scheduling;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto second = std::chrono::seconds(1);
const ModelQueue queue { base::ServiceId("engines"), base::ModelId("m") };

base::ClientAccountId account(size_t number) { return base::ClientAccountId("account-" + std::to_string(number)); }

// Three times as many calls arrive as slots end. The urgent ones fit, the others compete for what is left.
OrderLoad competingAccounts(int64_t gateways, bool othersAtOneGateway)
{
    OrderLoad load;
    load.gateways = gateways;
    load.othersAtOneGateway = othersAtOneGateway;
    load.classes = { { 300, 0.4 }, { 400, 0.4 }, { 4000, 2.2 } };
    return load;
}

void checkFair(const OrderLoad& load)
{
    OrderResult result = OrderSimulation(load, OrderPolicy::Fair).run();
    CHECK_COMPARE(result.worstShare(), >=, 0.95);
    CHECK_COMPARE(result.inTime(0), >=, 0.99);
    CHECK_COMPARE(result.inTime(1), >=, 0.98);
    CHECK_COMPARE(result.inTime(2), >, 0.05);
}

} // namespace

TEST_GROUP(CallOrderTest) {};

// Guards against an account that floods all gateways getting slots in proportion to its calls.
TEST(CallOrderTest, DividesSlotsEvenlyAmongAccountsAtOneGateway) { checkFair(competingAccounts(1, false)); }
TEST(CallOrderTest, DividesSlotsEvenlyAmongAccountsAtFourGateways) { checkFair(competingAccounts(4, true)); }
TEST(CallOrderTest, DividesSlotsEvenlyAmongAccountsAtThirtyGateways) { checkFair(competingAccounts(30, false)); }
TEST(CallOrderTest, DividesSlotsEvenlyIfMostAccountsUseOneOfThirtyGateways) { checkFair(competingAccounts(30, true)); }

// The simplest policy under the same load; the tests above would show nothing if it were fair as well.
TEST(CallOrderTest, ArrivalOrderServesTheLargeAccountBetter)
{
    CHECK_COMPARE(OrderSimulation(competingAccounts(4, true), OrderPolicy::Arrival).run().worstShare(), <, 0.8);
}

// Guards against a priority that gets nothing although more urgent ones leave slots, and against urgent calls behind others.
TEST(CallOrderTest, EachPriorityIsServedWhereSlotsAreLeft)
{
    CHECK_PROPERTY_WITH((::toucanstep::testing::PropertyOptions { .maxSuccess = 8 }), [] {
        OrderLoad load = competingAccounts(*rc::gen::inRange<int64_t>(1, 5), *rc::gen::arbitrary<bool>());
        load.seconds = 8;
        load.seed = *rc::gen::inRange<uint32_t>(1, 1000);
        load.classes[0].load = *rc::gen::inRange(10, 45) / 100.0;
        load.classes[1].load = *rc::gen::inRange(10, 45) / 100.0;
        load.classes[2].load = *rc::gen::inRange(50, 250) / 100.0;
        OrderResult result = OrderSimulation(load, OrderPolicy::Fair).run();
        double left = 1 - load.classes[0].load - load.classes[1].load;
        RC_ASSERT(result.inTime(0) >= 0.97);
        RC_ASSERT(result.inTime(1) >= 0.95);
        RC_ASSERT(result.inTime(2) >= 0.5 * std::min(left / load.classes[2].load, 1.0));
    });
}

// Guards against accounts with small calls getting less than accounts with large ones, and against drift.
TEST(CallOrderTest, FairnessOfBackloggedAccountsIsBoundedByTheLargestCosts)
{
    CHECK_PROPERTY([] {
        auto count = *rc::gen::inRange<size_t>(2, 6);
        auto costs = *rc::gen::container<std::vector<int64_t>>(count, rc::gen::inRange<int64_t>(1, 2000));
        AccountShares shares;
        std::vector<int64_t> served(count, 0);
        std::vector<WaitingCall> calls;
        WaitingAccounts waiting;
        for (size_t number = 0; number < count; ++number) {
            waiting[queue].insert(account(number));
            for (uint64_t call = 0; call < 3; ++call)
                calls.push_back({ queue, 0, QueueClass::InTime, account(number), base::Tokens(costs[number]), start, call });
        }
        for (int pass = 0; pass < 100; ++pass) {
            shares.onWaiting(waiting, start + std::chrono::milliseconds(500) * pass);
            // All calls are replaced by new ones of the same cost once they are sent.
            auto slots = *rc::gen::inRange<size_t>(0, 3);
            auto order = dispatchOrder(calls, shares);
            for (size_t index = 0; index < slots; ++index) {
                size_t number = order[index] / 3;
                served[number] += costs[number];
                shares.onServed(account(number), base::Tokens(costs[number]), start + std::chrono::milliseconds(500) * pass);
            }
            for (size_t one = 0; one < count; ++one) {
                for (size_t other = 0; other < count; ++other)
                    RC_ASSERT(served[one] - served[other] <= costs[one] + costs[other]);
            }
        }
    });
}

// Guards against starvation by what an account has received before: others go first for no more than its lead and a call each.
TEST(CallOrderTest, EachAccountIsServedWithinTheTimeThatItsLeadTakes)
{
    CHECK_PROPERTY([] {
        auto count = *rc::gen::inRange<size_t>(2, 8);
        AccountShares shares;
        double lead = 0;
        for (size_t number = 0; number < count; ++number) {
            auto before = *rc::gen::inRange<int64_t>(0, 5000);
            shares.onServed(account(number), base::Tokens(before), start);
            lead = std::max(lead, static_cast<double>(before));
        }
        constexpr int64_t maxCost = 1000;
        WaitingAccounts waiting;
        std::vector<WaitingCall> calls;
        for (size_t number = 0; number < count; ++number) {
            waiting[queue].insert(account(number));
            calls.push_back({ queue, 0, QueueClass::InTime, account(number), base::Tokens(*rc::gen::inRange<int64_t>(1, maxCost)), start, number });
        }
        shares.onWaiting(waiting, start + second);
        double others = 0;
        while (true) {
            auto first = dispatchOrder(calls, shares).front();
            if (!first)
                break;
            others += static_cast<double>(calls[first].cost.value());
            shares.onServed(calls[first].account, calls[first].cost, start + second);
            RC_ASSERT(others <= static_cast<double>(count - 1) * (lead + maxCost));
        }
    });
}

TEST(CallOrderTest, OrdersByPriorityThenClassThenAccountThenSlack)
{
    AccountShares shares;
    shares.onServed(account(1), base::Tokens(100), start);
    auto call = [](int64_t priority, QueueClass queueClass, size_t number, int slack) {
        return WaitingCall { queue, priority, queueClass, account(number), base::Tokens(10), start + second * slack, 0 };
    };
    std::vector<WaitingCall> calls { call(1, QueueClass::InTime, 0, 1), call(0, QueueClass::Late, 0, 1), call(0, QueueClass::InTime, 1, 1), call(0, QueueClass::InTime, 0, 3), call(0, QueueClass::InTime, 0, 2), call(0, QueueClass::Resuming, 1, 9) };
    CHECK(dispatchOrder(calls, shares) == (std::vector<size_t> { 5, 4, 3, 2, 1, 0 }));
}

// Guards against a call of another service being held back by the calls of its account that wait for a full one.
TEST(CallOrderTest, CallsOfOtherQueuesDoNotCountBeforeACall)
{
    AccountShares shares;
    shares.onServed(account(1), base::Tokens(100), start);
    ModelQueue other { base::ServiceId("plain"), base::ModelId() };
    WaitingCall large { other, 0, QueueClass::InTime, account(0), base::Tokens(5000), start, 1 };
    WaitingCall small { queue, 0, QueueClass::InTime, account(0), base::Tokens(10), start, 2 };
    WaitingCall competing { queue, 0, QueueClass::InTime, account(1), base::Tokens(10), start, 3 };
    CHECK(dispatchOrder({ competing, large, small }, shares) == (std::vector<size_t> { 1, 2, 0 }));
}
