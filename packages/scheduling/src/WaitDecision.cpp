#include "toucanstep/scheduling/WaitDecision.h"

namespace toucanstep::scheduling {

namespace {

// How long a call waits for a target that is not loaded while the planner is absent and has given no estimate for it.
constexpr auto maxWaitWithoutPlan = std::chrono::milliseconds(1500);
// How long a call waits for the planner's estimate if this gateway may not send it to the upstreams that hold its model.
constexpr auto maxWaitForEstimate = std::chrono::milliseconds(400);
// How long a call waits while no upstream of its service is usable: the time it takes to detect a crashed upstream.
constexpr auto maxWaitWithoutUpstream = std::chrono::milliseconds(400);

WaitDecision decideWaitForLoad(const BlockedCall& call, const std::optional<base::Instant>& expected, base::Instant now)
{
    if (expected && *expected + minRunTime > call.answerStartDeadline)
        return WaitDecision::RefuseNotLoadedInTime;
    if (!expected && !call.plannerActive && now - call.arrived > maxWaitWithoutPlan)
        return WaitDecision::RefuseNotLoaded;
    return WaitDecision::Wait;
}

// For a limit or a pause.
WaitDecision decideWaitForUpstream(const BlockedCall& call, WaitDecision refusal, base::Instant now)
{
    // Another replica of the model is on its way.
    if (call.expectedLoad && *call.expectedLoad + minRunTime <= call.answerStartDeadline)
        return WaitDecision::Wait;
    bool refuse = call.acceptedFrom ? *call.acceptedFrom + minRunTime > call.answerStartDeadline : now - call.arrived > maxWaitForEstimate;
    return refuse ? refusal : WaitDecision::Wait;
}

} // namespace

WaitDecision decideWait(const BlockedCall& call, base::Instant now)
{
    if (call.answerStarted)
        return WaitDecision::Wait;
    WaitDecision decision = WaitDecision::Wait;
    if (call.blockReason == BlockReason::NotLoaded)
        decision = decideWaitForLoad(call, call.expectedLoad, now);
    else if (call.blockReason == BlockReason::AdapterNotLoaded)
        decision = decideWaitForLoad(call, std::nullopt, now);
    else if (call.blockReason == BlockReason::NoUpstream && now - call.arrived > maxWaitWithoutUpstream)
        decision = WaitDecision::RefuseNoUpstream;
    else if (call.blockReason == BlockReason::OutsideRegions)
        decision = WaitDecision::RefuseOutsideRegions;
    else if (call.blockReason == BlockReason::Cold && call.acceptedFrom && *call.acceptedFrom + minRunTime > call.answerStartDeadline)
        decision = WaitDecision::RefuseCold;
    else if (call.blockReason == BlockReason::CallLimit)
        decision = decideWaitForUpstream(call, WaitDecision::RefuseCallLimit, now);
    else if (call.blockReason == BlockReason::Paused)
        decision = decideWaitForUpstream(call, WaitDecision::RefusePaused, now);
    if (decision != WaitDecision::Wait)
        return decision;
    return now + minRunTime > call.answerStartDeadline ? WaitDecision::RefuseOverloaded : WaitDecision::Wait;
}

} // namespace toucanstep::scheduling
