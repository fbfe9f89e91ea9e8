// What a run is worth to its callers, computed from its history. A measure that the history can't give is absent.

#pragma once

#include "toucanstep/history/Checkers.h"

#include <optional>

namespace toucanstep::history {

struct Measures {
    // Milliseconds from the offer to the first token, over requests that found no loaded replica.
    std::optional<double> coldStartP50;
    std::optional<double> coldStartP95;
    std::optional<double> coldStartP99;
    // Replica time with no request in flight, over all loaded replica time.
    std::optional<double> idleAcceleratorRatio;
    // The lowest, over accounts, of weight answered in time over weight offered within the account's limits.
    std::optional<double> worstAccount;
    // Requests refused with RateLimited although an exact bucket had the tokens, over all requests that it had tokens for.
    std::optional<double> wrongfulRefusals;
    int64_t requests = 0;
    int64_t answered = 0;
    int64_t refused = 0;
    int64_t cut = 0;
    int64_t wronglyRefused = 0;
    int64_t boundBreaks = 0;
    double seconds = 0;
};

Measures measure(const History&, const CheckOptions& = {});

} // namespace toucanstep::history
