#include "toucanstep/scheduling/WaitDecision.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::scheduling;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto second = std::chrono::seconds(1);

} // namespace

TEST_GROUP(WaitDecision)
{
    BlockedCall call { BlockReason::NotLoaded, start, start + 2 * second };

    void expect(WaitDecision decision, base::Instant now) { CHECK_TRUE(decideWait(call, now) == decision); }
};

TEST(WaitDecision, ACallIsRefusedAtOnceIfItsModelWillNotBeLoadedInTime)
{
    call.expectedLoad = start + 8 * second;
    expect(WaitDecision::RefuseNotLoadedInTime, start);
    call.expectedLoad = start + second;
    expect(WaitDecision::Wait, start);
}

// Guards against holding a call for an engine that will take it only after its caller has left.
TEST(WaitDecision, ACallThatAColdEngineTakesTooLateIsRefusedAtOnce)
{
    call.blockReason = BlockReason::Cold;
    call.acceptedFrom = start + second;
    expect(WaitDecision::Wait, start);
    call.acceptedFrom = start + 2 * second;
    expect(WaitDecision::RefuseCold, start);
}

// Guards against holding a call for an upstream whose pause ends only after its caller has left.
TEST(WaitDecision, ACallWhoseUpstreamsArePausedForTooLongIsRefusedAtOnce)
{
    call.blockReason = BlockReason::Paused;
    call.acceptedFrom = start + second;
    expect(WaitDecision::Wait, start);
    call.acceptedFrom = start + 2 * second;
    expect(WaitDecision::RefusePaused, start);
    // A further replica is there before.
    call.expectedLoad = start + second;
    expect(WaitDecision::Wait, start);
}

// Guards against holding a call for an overloaded upstream that will take it only after its caller has left.
TEST(WaitDecision, ACallThatALimitedUpstreamTakesTooLateIsRefusedAtOnce)
{
    call.blockReason = BlockReason::CallLimit;
    call.acceptedFrom = start + second;
    expect(WaitDecision::Wait, start);
    call.acceptedFrom = start + 2 * second;
    expect(WaitDecision::RefuseCallLimit, start);
    // Another replica will be there in time.
    call.expectedLoad = start + second;
    expect(WaitDecision::Wait, start);
}

// Guards against holding a call until its deadline at a gateway that has no part of the limit: another gateway may have one.
TEST(WaitDecision, ACallWithoutAPartOfALimitWaitsOnlyForThePlannersEstimate)
{
    call.blockReason = BlockReason::CallLimit;
    expect(WaitDecision::Wait, start + std::chrono::milliseconds(100));
    expect(WaitDecision::RefuseCallLimit, start + std::chrono::milliseconds(500));
    call.expectedLoad = start + second;
    expect(WaitDecision::Wait, start + std::chrono::milliseconds(500));
}

TEST(WaitDecision, ACallThatMayRunInNoRegionIsRefusedAtOnce)
{
    call.blockReason = BlockReason::OutsideRegions;
    expect(WaitDecision::RefuseOutsideRegions, start);
}

// Guards against refusing calls for an adapter because a further replica of its model is being loaded: 143 callers were told
// to come back when that load ends, although other replicas could have had the adapter within milliseconds.
TEST(WaitDecision, ACallForAnAdapterDoesNotWaitForAFurtherReplicaOfItsModel)
{
    call.blockReason = BlockReason::AdapterNotLoaded;
    call.expectedLoad = start + 8 * second;
    expect(WaitDecision::Wait, start);
    expect(WaitDecision::RefuseOverloaded, start + 2 * second);
}

TEST(WaitDecision, WithoutAPlannerACallForAModelThatIsNotLoadedWaitsForAWhile)
{
    call.plannerActive = false;
    expect(WaitDecision::Wait, start + second);
    expect(WaitDecision::RefuseNotLoaded, start + std::chrono::milliseconds(1600));
    call.plannerActive = true;
    expect(WaitDecision::Wait, start + std::chrono::milliseconds(1600));
}

TEST(WaitDecision, ACallWithoutAnyUpstreamIsRefusedOnceACrashWouldHaveBeenSeen)
{
    call.blockReason = BlockReason::NoUpstream;
    expect(WaitDecision::Wait, start);
    expect(WaitDecision::RefuseNoUpstream, start + second);
}

TEST(WaitDecision, AStreamThatHasStartedIsNeverRefused)
{
    call.answerStarted = true;
    call.expectedLoad = start + 8 * second;
    expect(WaitDecision::Wait, start + 3 * second);
}
