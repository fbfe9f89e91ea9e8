#include "toucanstep/direct/CrashDetector.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::direct;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto millisecond = std::chrono::milliseconds(1);
const base::UpstreamId engine("e");

SuspectedCrash suspicion(const char* fingerprint = "f") { return { engine, StartMark(1), routing::RequestFingerprint(fingerprint), start }; }

} // namespace

TEST_GROUP(CrashDetector)
{
    CrashDetector evidence;
};

// Every call of an account to one path was refused as quarantined for a minute (soak, seeds 138 and 156): its requests are
// alike, something between had reset the connections to two engines, and both counted as crashes that the request had caused.
TEST(CrashDetector, AnUpstreamThatIsHeardAfterAResetHasNotCrashed)
{
    evidence.onBroken(suspicion());
    evidence.onHeard(engine, start + 200 * millisecond);
    CHECK_TRUE(evidence.takeConfirmed(start + 600 * millisecond).empty());
}

TEST(CrashDetector, AnUpstreamThatStaysSilentHasCrashed)
{
    evidence.onBroken(suspicion());
    evidence.onHeard(base::UpstreamId("another"), start + 200 * millisecond);
    // Sent before the crash, and only now arrived.
    evidence.onHeard(engine, start + 10 * millisecond);
    CHECK_TRUE(evidence.takeConfirmed(start + 400 * millisecond).empty());
    UNSIGNED_LONGS_EQUAL(1, evidence.takeConfirmed(start + 600 * millisecond).size());
    CHECK_TRUE(evidence.takeConfirmed(start + 700 * millisecond).empty());
}
