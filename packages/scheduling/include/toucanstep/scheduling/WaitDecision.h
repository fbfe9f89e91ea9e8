// Decides whether a call that cannot be sent now waits or is refused at once.
//
// A call that cannot be served in time is refused as soon as that is known, so that its caller can turn elsewhere. A call for
// which only an adapter is missing waits: adapters are loaded in milliseconds, whatever the planner expects for the model.

#pragma once

#include "toucanstep/base/Time.h"
#include "toucanstep/scheduling/Imports.h"
#include "toucanstep/upstreams/UpstreamSelection.h"

#include <optional>

namespace toucanstep::scheduling {

struct BlockedCall {
    BlockReason blockReason = BlockReason::None;
    base::Instant arrived;
    // The caller disconnects at this time unless the answer has started.
    base::Instant answerStartDeadline;
    // A stream that has started can no longer be refused.
    bool answerStarted = false;
    // When the planner expects the next replica of the model; nothing without an estimate.
    std::optional<base::Instant> expectedLoad;
    // The planner has reported recently; without it nothing is loaded.
    bool plannerActive = true;
    // When a cold upstream, or one that advertises a limit or has asked for a pause, takes the call after those that go first; only for
    // these block reasons.
    std::optional<base::Instant> acceptedFrom;
};

enum class WaitDecision {
    Wait,
    RefuseNotLoadedInTime,
    RefuseNotLoaded,
    RefuseNoUpstream,
    RefuseOutsideRegions,
    RefuseCold,
    RefuseCallLimit,
    RefusePaused,
    RefuseOverloaded,
};

// A call that starts less than this before its deadline cannot finish in time: its prompt has to be read and a first event
// produced.
constexpr auto minRunTime = std::chrono::milliseconds(150);

WaitDecision decideWait(const BlockedCall&, base::Instant now);

} // namespace toucanstep::scheduling
