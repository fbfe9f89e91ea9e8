#include "toucanstep/base/Refusal.h"

#include <array>

namespace toucanstep::base {

namespace {

struct CodeRow {
    RefusalCode code;
    std::string_view name;
    int status;
};

constexpr std::array codes {
    CodeRow { RefusalCode::BadRequest, "bad_request", 400 },
    CodeRow { RefusalCode::Unauthorized, "unauthorized", 401 },
    CodeRow { RefusalCode::UnknownModel, "unknown_model", 404 },
    CodeRow { RefusalCode::UnknownService, "unknown_service", 404 },
    CodeRow { RefusalCode::BodyTooLarge, "body_too_large", 413 },
    CodeRow { RefusalCode::RateLimited, "rate_limited", 429 },
    CodeRow { RefusalCode::CostAboveBurst, "cost_above_burst", 413 },
    CodeRow { RefusalCode::DeadlineUnreachable, "deadline_unreachable", 503 },
    CodeRow { RefusalCode::DeadlineExceeded, "deadline_exceeded", 504 },
    CodeRow { RefusalCode::Overloaded, "overloaded", 503 },
    CodeRow { RefusalCode::NoCapacity, "no_capacity", 503 },
    CodeRow { RefusalCode::Leaving, "leaving", 503 },
    CodeRow { RefusalCode::UpstreamFailed, "upstream_failed", 502 },
    CodeRow { RefusalCode::AnswerCut, "answer_cut", 502 },
    CodeRow { RefusalCode::RequestQuarantined, "request_quarantined", 422 },
    CodeRow { RefusalCode::IdempotencyKeyRequired, "idempotency_key_required", 400 },
    CodeRow { RefusalCode::IdempotencyKeyReused, "idempotency_key_reused", 422 },
    CodeRow { RefusalCode::OutcomeUnknown, "outcome_unknown", 409 },
    CodeRow { RefusalCode::StoreUnavailable, "store_unavailable", 503 },
    CodeRow { RefusalCode::StaleConfiguration, "stale_configuration", 503 },
    CodeRow { RefusalCode::Internal, "internal", 500 },
};

constexpr std::array<std::string_view, 3> ranNames { "not_run", "may_have_run", "ran" };

const CodeRow& rowOf(RefusalCode code)
{
    for (const CodeRow& row : codes) {
        if (row.code == code)
            return row;
    }
    return codes.back();
}

} // namespace

std::string_view refusalCodeName(RefusalCode code)
{
    return rowOf(code).name;
}

int httpStatus(RefusalCode code)
{
    return rowOf(code).status;
}

std::string_view ranStateName(RanState ran)
{
    return ranNames.at(static_cast<size_t>(ran));
}

std::optional<RefusalCode> refusalCodeFromName(std::string_view name)
{
    for (const CodeRow& row : codes) {
        if (row.name == name)
            return row.code;
    }
    return std::nullopt;
}

std::optional<RanState> ranStateFromName(std::string_view name)
{
    for (size_t index = 0; index < ranNames.size(); ++index) {
        if (ranNames[index] == name)
            return static_cast<RanState>(index);
    }
    return std::nullopt;
}

} // namespace toucanstep::base
