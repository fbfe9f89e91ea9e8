// What a run is worth to its callers, computed from its history. A measure that the history can't give is absent.

#pragma once

#include "toucanstep/history/Checkers.h"

#include <optional>

namespace toucanstep::history {

// An account is entitled to the requests that one exact bucket with its limits, full at first, would have let in, replayed
// over all that was offered; what a request did not use, as far as the history tells, goes back. Refusals that the caller's
// own request deserves, such as BadRequest or Unauthorized, take no part. For an account that sends more than its rate the
// gateways choose other requests than the replay does, so a request let in beyond the entitled ones offsets a refused one.
struct Measures {
    // Milliseconds from the offer to the first token, over requests that found no loaded replica.
    std::optional<double> coldStartP50;
    std::optional<double> coldStartP95;
    std::optional<double> coldStartP99;
    // Replica time with no run in flight, over all loaded replica time.
    std::optional<double> idleAcceleratorRatio;
    // The lowest, over accounts, of weight answered whole and in time over weight entitled to; at most 1.
    std::optional<double> worstAccount;
    // Refused over all, of the entitled requests.
    std::optional<double> wrongfulRefusals;
    int64_t requests = 0;
    // Answered whole and in time.
    int64_t answered = 0;
    int64_t refused = 0;
    // Answered, but without the end mark.
    int64_t cut = 0;
    int64_t entitled = 0;
    int64_t wronglyRefused = 0;
    int64_t boundBreaks = 0;
    double seconds = 0;
};

Measures measure(const History&, const CheckOptions& = {});

} // namespace toucanstep::history
