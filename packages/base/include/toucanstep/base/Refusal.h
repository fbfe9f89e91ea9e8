// The one shape of every refusal.
//
// `ran` is the promise that callers rely on: NotRun is said only where it is proved that no upstream ran the request.

#pragma once

#include "toucanstep/base/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::base {

enum class RefusalCode {
    BadRequest,
    Unauthorized,
    UnknownModel,
    UnknownService,
    BodyTooLarge,
    RateLimited,
    // The cost alone is above the account's whole burst: waiting never helps.
    CostAboveBurst,
    DeadlineUnreachable,
    DeadlineExceeded,
    Overloaded,
    NoCapacity,
    Leaving,
    UpstreamFailed,
    AnswerCut,
    RequestQuarantined,
    IdempotencyKeyRequired,
    IdempotencyKeyReused,
    OutcomeUnknown,
    StoreUnavailable,
    StaleConfiguration,
    Internal,
};

enum class RanState {
    NotRun,
    MayHaveRun,
    Ran,
};

struct Refusal {
    RefusalCode code = RefusalCode::Internal;
    RanState ran = RanState::MayHaveRun;
    std::string message;
    // When asking again may succeed; absent where it never will or nobody knows.
    std::optional<Instant> retryAt;
};

// The stable names that callers see, for example `rate_limited` and `not_run`.
std::string_view refusalCodeName(RefusalCode);
std::string_view ranStateName(RanState);
std::optional<RefusalCode> refusalCodeFromName(std::string_view);
std::optional<RanState> ranStateFromName(std::string_view);
int httpStatus(RefusalCode);

} // namespace toucanstep::base
