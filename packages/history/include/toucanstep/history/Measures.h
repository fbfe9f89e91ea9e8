// What a run is worth to its callers, computed from its history. A measure that the history can't give is absent.

#pragma once

#include "toucanstep/history/Checkers.h"

#include <optional>

namespace toucanstep::history {

// An exact bucket with the account's limits, full at first, is replayed over the history: what was admitted is taken, what
// was not used is put back. A request counts as within its account's rate if it was admitted, or if that bucket held its
// cost both when it was offered and when it was refused (or never answered). Refusals that the caller's own request
// deserves, such as BadRequest or Unauthorized, do not count.
struct Measures {
    // Milliseconds from the offer to the first token, over requests that found no loaded replica.
    std::optional<double> coldStartP50;
    std::optional<double> coldStartP95;
    std::optional<double> coldStartP99;
    // Replica time with no run in flight, over all loaded replica time.
    std::optional<double> idleAcceleratorRatio;
    // The lowest, over accounts, of weight answered whole and in time over weight offered within the account's rate.
    std::optional<double> worstAccount;
    // Refused over all offered, of requests within their account's rate.
    std::optional<double> wrongfulRefusals;
    int64_t requests = 0;
    // Answered whole and in time.
    int64_t answered = 0;
    int64_t refused = 0;
    // Answered, but without the end mark.
    int64_t cut = 0;
    int64_t withinRate = 0;
    int64_t wronglyRefused = 0;
    int64_t boundBreaks = 0;
    double seconds = 0;
};

Measures measure(const History&, const CheckOptions& = {});

} // namespace toucanstep::history
