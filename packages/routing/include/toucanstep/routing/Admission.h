// The sidecar's check of a request against its deadline, from the exact figures of its own upstream.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/routing/ExpectedWait.h"

#include <optional>

namespace toucanstep::routing {

struct AdmissionRequest {
    NewRequest request;
    base::Instant deadline;
    base::Duration shortestRun {};
    // Set while the model is not loaded and the end of its load is known.
    std::optional<base::Instant> expectedLoadEnd;
};

struct AdmissionVerdict {
    base::Duration expectedWait {};
    // DeadlineUnreachable with the time from which asking again may succeed; NotRun.
    std::optional<base::Refusal> refusal;
};

AdmissionVerdict admit(const AdmissionRequest&, const UpstreamLoad&, base::Instant now);

} // namespace toucanstep::routing
