#include "toucanstep/direct/CrashDetector.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::direct;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto millisecond = std::chrono::milliseconds(1);
constexpr auto second = std::chrono::seconds(1);
const base::UpstreamId engine("e");

SuspectedCrash suspectedCrash() { return { engine, StartId(1), { CallTrait(1), {} }, start - second, start }; }

} // namespace

TEST_GROUP(CrashDetector)
{
    CrashDetector detector;
};

// Guards against quarantining a request after network resets (soak seeds 138 and 156). The connections to two engines were
// reset, both resets counted as crashes caused by the request, and all calls of the account to that path, which are alike,
// were refused for a minute.
TEST(CrashDetector, AnUpstreamHeardAfterAResetHasNotCrashed)
{
    detector.onConnectionLost(suspectedCrash());
    detector.onHeard(engine, start - 20 * millisecond, start + 200 * millisecond);
    CHECK_TRUE(detector.takeConfirmed(start + 600 * millisecond).empty());
}

TEST(CrashDetector, AnUpstreamThatStaysSilentHasCrashed)
{
    detector.onConnectionLost(suspectedCrash());
    detector.onHeard(base::UpstreamId("another"), start + 100 * millisecond, start + 200 * millisecond);
    // Sent before the crash and received after it.
    detector.onHeard(engine, start - 20 * millisecond, start + 10 * millisecond);
    CHECK_TRUE(detector.takeConfirmed(start + 400 * millisecond).empty());
    UNSIGNED_LONGS_EQUAL(1, detector.takeConfirmed(start + 600 * millisecond).size());
    CHECK_TRUE(detector.takeConfirmed(start + 700 * millisecond).empty());
}

// Guards against a crash that counts as a lost connection since the gateway stood still between reading one connection and the next.
TEST(CrashDetector, WhatIsReadLateOfACallBeforeTheCrashProvesNothing)
{
    detector.onConnectionLost(suspectedCrash());
    detector.onHeard(engine, start - 20 * millisecond, start + 95 * millisecond);
    UNSIGNED_LONGS_EQUAL(1, detector.takeConfirmed(start + 600 * millisecond).size());
}

TEST(CrashDetector, AnAnswerToALaterRequestProvesThatTheUpstreamRuns)
{
    detector.onConnectionLost(suspectedCrash());
    detector.onHeard(engine, start + 5 * millisecond, start + 20 * millisecond);
    CHECK_TRUE(detector.takeConfirmed(start + 600 * millisecond).empty());
}
