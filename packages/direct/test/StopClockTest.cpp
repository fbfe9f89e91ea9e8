#include "toucanstep/direct/StopClock.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::direct;
using std::chrono::milliseconds;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto tick = milliseconds(100);
constexpr auto grace = std::chrono::seconds(8);

} // namespace

TEST_GROUP(StopClock)
{
    StopClock clock { grace };
    base::Instant now = start;

    void runFor(base::Duration length)
    {
        for (base::Instant until = now + length; now < until; now += tick)
            clock.onRuns(now);
    }
};

TEST(StopClock, ASignalIsNotOlderThanTheLastRun)
{
    runFor(std::chrono::seconds(1));
    base::Instant lastRun = now - tick;
    clock.onNoticed(now);
    CHECK_TRUE(clock.begun());
    CHECK_TRUE(clock.earliestSignal() == lastRun);
}

// Guards against a stop that is counted from its notice: the process was held up when the signal came.
TEST(StopClock, AfterAHoldUpTheSignalMayBeAsOldAsTheHoldUp)
{
    runFor(std::chrono::seconds(1));
    base::Instant lastRun = now - tick;
    now += std::chrono::seconds(3);
    // The loop's thread goes on before the one that takes the signal.
    runFor(milliseconds(200));
    clock.onNoticed(now);
    CHECK_TRUE(clock.earliestSignal() == lastRun);
}

// Guards against calls that are taken on because the process counts its grace period from a late notice.
TEST(StopClock, TheTimeForNewCallsIsCountedFromTheEarliestSignal)
{
    runFor(std::chrono::seconds(1));
    base::Instant lastRun = now - tick;
    now += std::chrono::seconds(3);
    clock.onNoticed(now);
    CHECK_TRUE(clock.earliestEnd() < lastRun + grace);
}

// Guards against calls that are sent too late to be excused and may be cut: the intake is counted from a late notice.
TEST(StopClock, AfterAHoldUpTheIntakeMayBeOver)
{
    runFor(std::chrono::seconds(1));
    now += std::chrono::seconds(3);
    clock.onNoticed(now);
    CHECK_TRUE(clock.earliestIntakeEnd() < now);
    CHECK_TRUE(clock.intakeEnd() > now);
}

// Guards against a process that ends at once, and cuts what runs, since it takes a signal for older than it is.
TEST(StopClock, AHoldUpDoesNotEndWhatRuns)
{
    runFor(std::chrono::seconds(1));
    now += grace;
    clock.onRuns(now);
    clock.onNoticed(now);
    CHECK_TRUE(clock.earliestEnd() < now);
    CHECK_TRUE(clock.end() > now + grace / 2);
}

TEST(StopClock, AnEarlierHoldUpDoesNotCount)
{
    runFor(std::chrono::seconds(1));
    now += std::chrono::seconds(3);
    runFor(std::chrono::seconds(1));
    clock.onNoticed(now);
    CHECK_TRUE(clock.earliestSignal() == now - tick);
}

TEST(StopClock, LaterSignalsChangeNothing)
{
    clock.onNoticed(now);
    base::Instant end = clock.end();
    clock.onNoticed(now + std::chrono::seconds(2));
    CHECK_TRUE(clock.end() == end);
}

TEST(StopClock, ConnectionsAreTakenUntilTheBalancerHasNoticed)
{
    clock.onNoticed(now);
    CHECK_TRUE(clock.intakeEnd() > now + std::chrono::seconds(2));
    CHECK_TRUE(clock.intakeEnd() < clock.end());
    CHECK_TRUE(clock.end() < now + grace);
}
