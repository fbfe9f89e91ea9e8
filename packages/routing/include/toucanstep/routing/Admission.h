// Admission check of a sidecar: whether a request can meet its deadline, given the exact load of its own upstream.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/routing/ExpectedWait.h"

#include <optional>

namespace toucanstep::routing {

struct AdmissionRequest {
    NewRequest request;
    base::Instant deadline;
    base::Duration minimumRunTime {};
    // When the model is expected to be loaded; set only while it is not loaded and this time is known.
    std::optional<base::Instant> expectedLoadEnd;
};

struct AdmissionVerdict {
    base::Duration expectedWait {};
    // Set if the deadline cannot be met: DeadlineUnreachable, NotRun, with the time after which a retry may succeed.
    std::optional<base::Refusal> refusal;
};

AdmissionVerdict admit(const AdmissionRequest&, const UpstreamLoad&, base::Instant now);

} // namespace toucanstep::routing
