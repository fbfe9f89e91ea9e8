#include "toucanstep/planner/DemandForecast.h"
#include "toucanstep/planner/ExpectedLoss.h"
#include "toucanstep/planner/StorePermits.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <random>

using namespace toucanstep;
using namespace toucanstep::planner;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr base::Duration passInterval = std::chrono::milliseconds(100);
constexpr base::Duration reportInterval = std::chrono::milliseconds(200);
constexpr base::Duration storeLoad = std::chrono::seconds(8);
const base::ModelId busy("busy");
const base::FailureDomain west("west");

} // namespace

TEST_GROUP(DemandForecast)
{
    DemandForecast forecast;
    base::Instant now = start;

    void observe(double calls)
    {
        forecast.beginPass(now, reportInterval);
        forecast.add(busy, west, calls);
        forecast.endPass();
        now += passInterval;
    }
};

// Guards against replicas that are requested only when the slots are full, one load time too late.
TEST(DemandForecast, SeesARiseBeforeItEnds)
{
    for (int pass = 0; pass < 100; ++pass)
        observe(32);
    DOUBLES_EQUAL(32, forecast.callsAhead(busy, storeLoad), 0.01);
    for (int pass = 1; pass <= 15; ++pass)
        observe(32 + pass * 3.2);
    CHECK_COMPARE(forecast.slope(busy, west), >, 1);
    CHECK_COMPARE(forecast.callsAhead(busy, storeLoad), >, 85);
    CHECK_COMPARE(forecast.callsAhead(busy, storeLoad), <=, 160);
    DOUBLES_EQUAL(0, forecast.callsAhead(base::ModelId("other"), storeLoad), 0);
}

// Guards against loads that are ordered for noise: independent arrivals at a steady rate.
TEST(DemandForecast, TakesNoiseForNoTrend)
{
    std::mt19937_64 random(20261204);
    std::poisson_distribution<int> calls(20);
    int trends = 0;
    int value = calls(random);
    for (int pass = 0; pass < 3000; ++pass) {
        // Calls take about a second.
        if (pass % 10 == 0)
            value = calls(random);
        observe(value);
        trends += forecast.slope(busy, west) > 0 ? 1 : 0;
    }
    CHECK_COMPARE(trends, <, 60);
}

// Guards against a new or resumed planner that takes the arrival of the first reports for a rise of the demand.
TEST(DemandForecast, HasNoTrendUntilTwoReportsOrAfterAGap)
{
    for (int pass = 0; pass < 9; ++pass)
        observe(pass * 10);
    CHECK_FALSE(forecast.hasTrend());
    observe(100);
    observe(100);
    CHECK_TRUE(forecast.hasTrend());
    DOUBLES_EQUAL(100, forecast.callsAhead(busy, storeLoad), 0.01);
    now += std::chrono::seconds(5);
    observe(10);
    CHECK_FALSE(forecast.hasTrend());
    DOUBLES_EQUAL(10, forecast.callsAhead(busy, storeLoad), 0);
}

TEST_GROUP(ExpectedLoss) {};

// Guards against loads of some seconds each for single callers while a whole engine's calls of one model are late.
TEST(ExpectedLoss, PutsABusyModelBeforeSingleCallers)
{
    ModelLoad many { 96, 32, 32, 128, 32 };
    ModelLoad single { 1, 0, 0.1, 1, 0 };
    CHECK_COMPARE(ExpectedLoss::withoutReplica(many, 32), >, 10 * ExpectedLoss::withoutReplica(single, 32));
    CHECK_COMPARE(ExpectedLoss::withoutReplica(single, 32), >, 0);
    // Nothing is lost once the replicas that are being loaded have slots for all calls.
    many.slots = 128;
    DOUBLES_EQUAL(0, ExpectedLoss::withoutReplica(many, 32), 0);
}

// Guards against starvation: whatever is lost elsewhere, a request comes before new ones after the turn time.
TEST(ExpectedLoss, ARequestHasItsTurnWithinTheTurnTime)
{
    CHECK_PROPERTY([] {
        double largest = *rc::gen::inRange(1, 100000) / 100.0;
        double value = *rc::gen::inRange(0, 100) * largest / 100.0;
        auto age = std::chrono::milliseconds(*rc::gen::inRange(0, 60000));
        double old = ExpectedLoss::rank(value, largest, 2 * storeLoad + age, 2 * storeLoad);
        RC_ASSERT(old >= ExpectedLoss::rank(largest, largest, {}, 2 * storeLoad));
    });
}

// Guards against the eviction of a replica whose calls no other replica has slots for.
TEST(ExpectedLoss, APlaceIsWorthWhatOtherReplicasCannotServe)
{
    ModelLoad load { 0, 40, 40, 40, 64 };
    DOUBLES_EQUAL(8 * 8, ExpectedLoss::ofPlace(load, 32, storeLoad), 0.01);
    load.slots = 96;
    DOUBLES_EQUAL(0, ExpectedLoss::ofPlace(load, 32, storeLoad), 0);
    // A rare model without calls in progress: its rate while it is loaded again.
    CHECK_COMPARE(ExpectedLoss::ofPlace({ 0, 0, 0.5, 0, 32 }, 32, storeLoad), >, ExpectedLoss::ofPlace({ 0, 0, 0.1, 0, 32 }, 32, storeLoad));
    CHECK_COMPARE(ExpectedLoss::ofPlace({ 0, 0, 0.5, 0, 32 }, 32, storeLoad), >, ExpectedLoss::ofPlace({ 0, 0, 0.5, 0, 32 }, 32, std::chrono::seconds(1)));
}

TEST_GROUP(StorePermits) {};

// Guards against a permit that is idle while a victim drains and other callers wait for it.
TEST(StorePermits, ADrainHoldsNoPermit)
{
    StorePermits permits;
    permits.beginPass(start, { start + storeLoad }, 2);
    permits.onDraining();
    CHECK_TRUE(permits.mayStart(storeLoad));
    permits.onStarted(storeLoad);
    CHECK_FALSE(permits.mayStart(storeLoad));
    CHECK_TRUE(permits.untilFree() == storeLoad);
    CHECK_FALSE(permits.mayDrain(start + std::chrono::seconds(1)));
    // By then both loads have ended, and one drain is under way.
    CHECK_TRUE(permits.mayDrain(start + storeLoad));
}

// Guards against more loads than the store carries when loads fail at once: however they end, starts stay within the limit.
TEST(StorePermits, StartsInAWindowStayWithinTheLimit)
{
    CHECK_PROPERTY([] {
        StorePermits permits;
        auto limit = *rc::gen::inRange<size_t>(1, 6);
        std::vector<base::Instant> starts;
        std::vector<base::Instant> running;
        for (int pass = 0; pass < 200; ++pass) {
            base::Instant now = start + pass * passInterval;
            bool allFail = *rc::gen::inRange(0, 4) == 0;
            std::erase_if(running, [&](base::Instant end) { return allFail || end <= now; });
            permits.beginPass(now, running, limit);
            for (int wanted = *rc::gen::inRange(0, 4); wanted > 0 && permits.mayStart(storeLoad); --wanted) {
                permits.onStarted(storeLoad);
                starts.push_back(now);
                running.push_back(now + storeLoad);
            }
            RC_ASSERT(running.size() <= limit);
            RC_ASSERT(static_cast<size_t>(std::count_if(starts.begin(), starts.end(), [&](base::Instant at) { return now - at < storeLoad * 3 / 4; })) <= limit);
        }
    });
}
