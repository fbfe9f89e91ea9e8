#include "toucanstep/base/Text.h"
#include "toucanstep/routing/Router.h"

namespace toucanstep::routing {

std::string_view candidateVerdictName(CandidateVerdict verdict)
{
    switch (verdict) {
    case CandidateVerdict::Eligible:
        return "eligible";
    case CandidateVerdict::Excluded:
        return "excluded";
    case CandidateVerdict::Unknown:
        return "unknown";
    case CandidateVerdict::Disconnected:
        return "disconnected";
    case CandidateVerdict::Leaving:
        return "leaving";
    case CandidateVerdict::Stale:
        return "stale";
    case CandidateVerdict::Quarantining:
        return "quarantining";
    case CandidateVerdict::TooLate:
        return "too_late";
    }
    return "unknown";
}

std::string_view routeReasonName(RouteReason reason)
{
    switch (reason) {
    case RouteReason::LeastWait:
        return "least_wait";
    case RouteReason::PrefixAffinity:
        return "prefix_affinity";
    case RouteReason::OnlyHolder:
        return "only_holder";
    case RouteReason::ColdHolder:
        return "cold_holder";
    case RouteReason::StaleHolder:
        return "stale_holder";
    case RouteReason::Random:
        return "random";
    case RouteReason::NoHolder:
        return "no_holder";
    case RouteReason::DeadlineUnreachable:
        return "deadline_unreachable";
    }
    return "unknown";
}

std::string describeCandidates(const RouteDecision& decision)
{
    std::string text;
    for (const auto& candidate : decision.candidates) {
        if (!text.empty())
            text += ',';
        base::append(text, candidate.upstream, ":", candidateVerdictName(candidate.verdict), ":");
        base::append(text, std::to_string(base::toMilliseconds(candidate.expectedWait)), "ms:epoch", std::to_string(candidate.epoch.value()));
    }
    return text;
}

} // namespace toucanstep::routing
