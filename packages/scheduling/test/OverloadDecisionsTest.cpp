#include "toucanstep/scheduling/CompletionRate.h"
#include "toucanstep/scheduling/FairSlotPart.h"
#include "toucanstep/scheduling/PriorityWatch.h"
#include "toucanstep/scheduling/ReturnSchedule.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace toucanstep;
using namespace toucanstep::scheduling;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto millisecond = std::chrono::milliseconds(1);
constexpr auto second = std::chrono::seconds(1);
const ModelQueue queue { base::ServiceId("engines"), base::ModelId("m") };

} // namespace

TEST_GROUP(OverloadDecisionsTest) {};

// Guards against refused callers coming back as one wave: at most as many within 100 ms as calls end, and one more.
TEST(OverloadDecisionsTest, ReturnsAreSpreadOverTheTimeToDrain)
{
    ReturnSchedule schedule;
    std::vector<base::Instant> returns;
    for (int call = 0; call < 200; ++call)
        returns.push_back(schedule.nextReturn(queue, { 1, 50, 100, 1, start + 20 * second }, start));
    CHECK(std::is_sorted(returns.begin(), returns.end()));
    CHECK(returns.front() > start + 500 * millisecond);
    for (auto from : returns) {
        auto wave = std::count_if(returns.begin(), returns.end(), [&](auto at) { return at >= from && at < from + 100 * millisecond; });
        CHECK_COMPARE(wave, <=, 11);
    }
}

// Guards against a Retry-After that callers cut, and against returns of less urgent callers before more urgent ones.
TEST(OverloadDecisionsTest, ReturnsAreWithinWhatCallersHonourAndUrgentOnesFirst)
{
    CHECK_PROPERTY([] {
        ReturnSchedule schedule;
        base::Instant now = start;
        for (int call = 0; call < 100; ++call) {
            now += millisecond * *rc::gen::inRange(0, 20);
            auto left = millisecond * *rc::gen::inRange(0, 20000);
            double rate = *rc::gen::inRange(0, 200);
            RefusedCall refused { 0, static_cast<double>(*rc::gen::inRange(0, 500)), rate, *rc::gen::inRange(0, 100) / 100.0, now + left };
            auto urgent = schedule.nextReturn(queue, refused, now);
            refused.priority = *rc::gen::inRange<int64_t>(1, 4);
            auto other = schedule.nextReturn(queue, refused, now);
            RC_ASSERT(urgent >= now);
            RC_ASSERT(base::toSeconds(other - now) <= base::toSeconds(left) / 3 + 1e-6);
            RC_ASSERT(rate == 0 || urgent <= other);
        }
    });
}

// Guards against a rate that stays as it was while nothing ends.
TEST(OverloadDecisionsTest, TheRateOfCompletionsFallsWithinAStall)
{
    constexpr double duration = 0.4;
    CompletionRate rate;
    base::Instant now = start;
    for (int call = 0; call < 16; ++call)
        rate.onSent(queue, now);
    for (int step = 0; step < 200; ++step) {
        now += 25 * millisecond;
        rate.onLeft(queue, true, now);
        rate.onSent(queue, now);
    }
    DOUBLES_EQUAL(1 / duration, rate.perRunningCall(queue, duration, now), 0.2);
    CHECK_COMPARE(rate.perRunningCall(queue, duration, now + 600 * millisecond), <, 0.6 / duration);
    CHECK_COMPARE(rate.perRunningCall(queue, duration, now + 3 * second), <, 0.25 / duration);
    DOUBLES_EQUAL(0, rate.perRunningCall(queue, 0, now), 0);
}

// Guards against gateways that together take more slots than there are, or leave some.
TEST(OverloadDecisionsTest, PartsOfAllGatewaysAddUpToOne)
{
    CHECK_PROPERTY([] {
        auto gateways = *rc::gen::inRange<size_t>(1, 6);
        std::vector<CallsByAccount> calls(gateways);
        for (auto& own : calls) {
            for (int account = 0; account < 4; ++account)
                own[base::ClientAccountId(std::to_string(account))] = *rc::gen::inRange<int64_t>(0, 50);
        }
        calls.front()[base::ClientAccountId("0")] += 1;
        double slots = *rc::gen::inRange(0, 300);
        double sum = 0;
        for (size_t self = 0; self < gateways; ++self) {
            CallsByAccount elsewhere;
            for (size_t other = 0; other < gateways; ++other) {
                for (const auto& [account, count] : calls[other])
                    elsewhere[account] += other == self ? 0 : count;
            }
            sum += fairSlotPart(calls[self], elsewhere, 0, slots);
        }
        RC_ASSERT(std::abs(sum - 1) < 1e-6);
    });
}

// Guards against most slots going to gateways at which only a flooding account waits.
TEST(OverloadDecisionsTest, AFloodingAccountCountsNoMoreThanItsFairPart)
{
    base::ClientAccountId flooding("flooding");
    base::ClientAccountId other("other");
    DOUBLES_EQUAL(0.5, fairSlotPart({ { other, 20 } }, { { flooding, 2000 } }, 0, 10), 1e-6);
    DOUBLES_EQUAL(0.5 + 0.05, fairSlotPart({ { other, 20 }, { flooding, 200 } }, { { flooding, 1800 } }, 0, 10), 1e-6);
    // Calls whose account is not known count as calls of one account.
    DOUBLES_EQUAL(0.5, fairSlotPart({ { other, 20 } }, {}, 2000, 10), 1e-6);
}

// Guards against an account's urgent calls not counting for what its other calls get, and against starvation by a lead.
TEST(OverloadDecisionsTest, AnAccountWithALeadGetsATenthOfAnEvenPart)
{
    base::ClientAccountId leading("leading");
    base::ClientAccountId other("other");
    DOUBLES_EQUAL(0.05 / 1.05, fairSlotPart({ { leading, 2000 } }, { { other, 20 } }, 0, 10, { { leading, 100 } }), 1e-3);
    DOUBLES_EQUAL(0.3, fairSlotPart({ { leading, 2000 } }, { { other, 20 } }, 0, 10, { { leading, 4 } }), 1e-3);
}

// Guards against an inversion of priorities that nobody sees, and against reports of chance differences.
TEST(OverloadDecisionsTest, InversionsOfPrioritiesAreReportedOnce)
{
    PriorityWatch watch;
    base::ServiceId service("engines");
    for (int call = 0; call < 100; ++call) {
        watch.onEnded(service, 0, call % 2, start);
        watch.onEnded(service, 1, call % 20, start);
        watch.onEnded(service, 2, call % 2 || call % 10 == 0, start);
    }
    auto found = watch.inversions(start + second);
    LONGS_EQUAL(1, found.size());
    LONGS_EQUAL(0, found.front().urgent);
    LONGS_EQUAL(1, found.front().lessUrgent);
    CHECK(watch.inversions(start + 2 * second).empty());
    CHECK(watch.inversions(start + 20 * second).empty());
}

// Guards against refusing an urgent call on an estimate while less urgent calls are sent.
TEST(OverloadDecisionsTest, RemembersThatALessUrgentCallWasSent)
{
    SentPriorities sent;
    sent.onSent(queue, 1, start);
    CHECK(sent.lessUrgentSent(queue, 0, start));
    CHECK_FALSE(sent.lessUrgentSent(queue, 0, start + millisecond));
    CHECK_FALSE(sent.lessUrgentSent(queue, 1, start));
}
