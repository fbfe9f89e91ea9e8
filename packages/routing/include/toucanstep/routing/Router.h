// Chooses the upstream for one request among the holders of its model, or refuses it.
//
//     auto decision = router.choose(request, holders, upstreams, generator);
//     if (decision.refusal) ... else send to *decision.chosen under decision.epoch

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/routing/PrefixIndex.h"
#include "toucanstep/routing/UpstreamTable.h"

#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

namespace toucanstep::routing {

using RandomGenerator = std::mt19937_64;

enum class HolderState {
    // Holds the row, the model is not loaded: the first request makes the load.
    Cold,
    Loading,
    Loaded,
};

// An upstream that holds a replica's row, as last heard.
struct Holder {
    base::UpstreamId upstream;
    base::Epoch epoch;
    HolderState state = HolderState::Cold;
    // When the model can be used there; for a cold holder the end of a load that began now. Absent if not known.
    std::optional<base::Instant> expectedLoadEnd;
};

struct RouteRequest {
    base::RequestId id;
    base::ModelId model;
    base::ClientAccountId account;
    int64_t accountWeight = 1;
    base::Instant now;
    base::Instant deadline;
    base::Tokens cost;
    // Time that the request needs after its wait to be of use; zero where only the first token counts.
    base::Duration shortestRun {};
    std::vector<PrefixFingerprint> prefixes;
    // Upstreams that were already tried.
    std::vector<base::UpstreamId> excluded;
    base::Revision configurationVersion;
};

enum class CandidateVerdict {
    Eligible,
    Excluded,
    Unknown,
    Disconnected,
    Leaving,
    // No report for longer than the settings allow; used only when no fresh one is left.
    Stale,
    // A suspected request runs alone there; used only when no other is left.
    Quarantining,
    TooLate,
};
std::string_view candidateVerdictName(CandidateVerdict);

enum class RouteReason {
    LeastWait,
    PrefixAffinity,
    OnlyHolder,
    ColdHolder,
    // No holder with a fresh report was left.
    StaleHolder,
    Random,
    NoHolder,
    DeadlineUnreachable,
};
std::string_view routeReasonName(RouteReason);

struct RouteCandidate {
    base::UpstreamId upstream;
    base::Epoch epoch;
    HolderState state = HolderState::Cold;
    CandidateVerdict verdict = CandidateVerdict::Eligible;
    base::Duration expectedWait {};
};

struct RouteDecision {
    base::RequestId request;
    base::ModelId model;
    std::optional<base::UpstreamId> chosen;
    base::Epoch epoch;
    RouteReason reason = RouteReason::NoHolder;
    base::Duration expectedWait {};
    base::Revision configurationVersion;
    std::vector<RouteCandidate> candidates;
    // Set if and only if nothing was chosen. Always proved NotRun: nothing was sent.
    std::optional<base::Refusal> refusal;
};

// The candidates in one value of a log line: `u1:eligible:12ms,u2:leaving:0ms`.
std::string describeCandidates(const RouteDecision&);

struct RouterSettings {
    // A report older than this is stale.
    base::Duration staleAfter = std::chrono::seconds(2);
    // An upstream is preferred for a prefix while its outstanding tokens are at most this percentage of the holders' mean,
    // plus the request's own.
    int64_t affinityLoadPercent = 125;
    // Waits that differ by less than this count as equal, and the generator decides.
    base::Duration equalWithin = std::chrono::milliseconds(1);
};

class Router {
public:
    virtual ~Router() = default;
    virtual RouteDecision choose(const RouteRequest&, const std::vector<Holder>&, const UpstreamTable&, const PrefixIndex&, RandomGenerator&) const = 0;
};

std::unique_ptr<Router> makeExpectedWaitRouter(RouterSettings);
// Baseline: any connected holder that is not leaving, evenly.
std::unique_ptr<Router> makeRandomRouter();

} // namespace toucanstep::routing
