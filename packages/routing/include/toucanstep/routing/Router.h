// Chooses an upstream for a request from the holders of its model, or refuses the request.
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
    // Assigned to the upstream but not loaded; the first request triggers the load.
    Cold,
    Loading,
    Loaded,
};

// An upstream to which a replica of the model is assigned, in its last known state.
struct Holder {
    base::UpstreamId upstream;
    base::Epoch epoch;
    HolderState state = HolderState::Cold;
    // When the model will be loaded; for a cold holder, when a load started now would finish. Absent if unknown.
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
    // Minimum time that the request needs after its wait to produce a useful result; zero if only the time to the first token
    // matters.
    base::Duration minimumRunTime {};
    std::vector<PrefixFingerprint> prefixes;
    // Upstreams that were already tried for this request.
    std::vector<base::UpstreamId> excluded;
    base::Revision configurationVersion;
};

enum class CandidateVerdict {
    Eligible,
    Excluded,
    Unknown,
    Disconnected,
    Leaving,
    // No report within RouterSettings::staleAfter; used only if no holder is Eligible or Quarantining.
    Stale,
    // Running a suspected request in isolation; used only if no holder is Eligible.
    Quarantining,
    TooLate,
};
std::string_view candidateVerdictName(CandidateVerdict);

enum class RouteReason {
    LeastWait,
    PrefixAffinity,
    OnlyHolder,
    ColdHolder,
    // No usable holder had a recent report.
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
    // Set if and only if no upstream was chosen. Always NotRun, since nothing was sent.
    std::optional<base::Refusal> refusal;
};

// Formats the candidates as one value of a log line, for example `u1:eligible:12ms:epoch1,u2:leaving:0ms:epoch3`.
std::string describeCandidates(const RouteDecision&);

struct RouterSettings {
    base::Duration staleAfter = std::chrono::seconds(2);
    // An upstream is preferred for a cached prefix while its outstanding tokens are at most this percentage of the mean of the
    // usable holders, plus the cost of the request.
    int64_t affinityLoadPercent = 125;
    // Holders whose wait exceeds the shortest by at most this are considered equal; one of them is chosen at random.
    base::Duration waitTolerance = std::chrono::milliseconds(1);
};

class Router {
public:
    virtual ~Router() = default;
    virtual RouteDecision choose(const RouteRequest&, const std::vector<Holder>&, const UpstreamTable&, const PrefixIndex&, RandomGenerator&) const = 0;
};

std::unique_ptr<Router> makeExpectedWaitRouter(RouterSettings);
// Baseline for comparisons: chooses uniformly among the connected holders that are not leaving.
std::unique_ptr<Router> makeRandomRouter();

} // namespace toucanstep::routing
