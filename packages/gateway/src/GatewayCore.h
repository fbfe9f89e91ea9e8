// The traffic side of a gateway: charges, routes, dispatches and answers callers' requests.
//
// Everything here runs on the traffic loop.

#pragma once

#include "LimitGate.h"
#include "OnceCalls.h"
#include "toucanstep/gateway/CallerRequest.h"
#include "toucanstep/gateway/Gateway.h"
#include "toucanstep/node/AssignmentAgent.h"
#include "toucanstep/node/StrikeExchange.h"
#include "toucanstep/placement/ReplicaPlan.h"
#include "toucanstep/routing/Quarantine.h"
#include "toucanstep/routing/RetryBudget.h"
#include "toucanstep/routing/Router.h"

#include <absl/container/flat_hash_map.h>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace toucanstep::gateway::internal {

// One caller's request until its answer has ended.
struct CallerEntry {
    base::RequestId id;
    CallerRequest request;
    std::shared_ptr<formats::HttpExchange> exchange;
    base::Instant arrivedAt;
    bool charged = false;
    // Dispatches so far; the current one's number is the attempt that travels.
    int64_t attempt = 0;
    std::vector<base::UpstreamId> tried;
    // The current dispatch.
    base::UpstreamId upstream;
    base::Endpoint target;
    routing::DispatchNumber dispatch;
    std::shared_ptr<peers::PeerCall> call;
    int attaches = 0;
    // An earlier dispatch may have run; whatever a later one says, the request is not proved not to have run.
    bool mayHaveRun = false;
    // The current attempt of a call that may run only once; empty for others.
    calls::AttemptId onceAttempt;
    // The answer towards the caller.
    bool started = false;
    peers::AnswerStart start;
    int64_t nextChunk = 0;
    std::string body;
    bool finished = false;
    // For the history only: a digest chained over the chunks, and when the first was passed on.
    std::string digest;
    base::Instant firstChunkAt;
};

class GatewayCore final : public node::StrikeKeeper, private OnceCallHost {
public:
    GatewayCore(node::Node&, GatewayOptions, std::unique_ptr<LimitGate>);
    ~GatewayCore() override;

    void begin(CallerRequest, std::shared_ptr<formats::HttpExchange>);
    void onConfiguration(const std::shared_ptr<const config::Configuration>&);
    void tick();
    void setLeaving() { m_leaving = true; }
    bool leaving() const { return m_leaving; }
    bool idle() const { return m_entries.empty(); }
    nlohmann::json status() const;
    // The replica rows of each model, by which requests find its holders.
    void onRows(const node::AssignmentView&);
    void mergeStrikes(const std::vector<routing::StrikeMessage>&) override;
    std::optional<std::vector<routing::StrikeMessage>> takeChangedStrikes() override;
    // What was asked of each model since the last call.
    std::vector<placement::ModelDemand> takeDemand();

private:
    class DispatchListener;
    using HolderRows = std::map<base::ModelId, std::vector<assignments::Row>>;

    base::Instant now() const { return m_node.traffic().now(); }
    CallerEntry* find(const base::RequestId&);

    void recordOffer(const CallerEntry&);
    void onCharged(const base::RequestId&, const std::optional<base::Refusal>&);
    void route(CallerEntry&);
    routing::RouteDecision chooseFor(const CallerEntry&, base::Instant now);
    std::vector<routing::Holder> holdersOf(const CallerEntry&, base::Instant now);
    std::vector<const node::InstanceRow*> readyInstances(const config::UpstreamPool&, const node::InstanceTable&);
    routing::Holder holderOn(const base::UpstreamId&, base::Epoch, const base::ModelId&, base::Instant now) const;
    void beginOnce(CallerEntry&);
    // Waits a little for a holder where the model has none at this moment. False where the time for that is over.
    bool waitForHolder(CallerEntry&, const routing::RouteDecision&);
    void logDecision(const routing::RouteDecision&) const;
    // False where the chosen upstream is not listed any more.
    bool dispatch(CallerEntry&, const base::UpstreamId&, const std::string& callDispatch = {});
    bool sendAttempt(const base::RequestId&, const calls::CallDispatch&, base::Instant deadline) override;
    void finishCall(const base::RequestId&, const calls::CallResult&) override;
    void attachAgain(CallerEntry&);
    void attachLater(CallerEntry&);
    // Whether the caller has seen a part of the answer, so that no other upstream can take the request over.
    static bool delivered(const CallerEntry& entry) { return entry.request.stream && entry.nextChunk > 0; }
    // Asks sidecars whose figures are old how they are doing, where requests have a choice between several.
    void refreshReports();
    void askReport(const node::InstanceRow&, const std::string& model);

    void onEvent(const base::RequestId&, int64_t attempt, const std::string& message);
    void onDispatchEnd(const base::RequestId&, int64_t attempt, const std::optional<base::Error>&);
    void onReport(const base::UpstreamId&, const peers::SidecarReport&, const std::string& model);
    void onStart(CallerEntry&, const peers::AnswerStart&);
    void onChunk(CallerEntry&, const peers::AnswerChunk&);
    void onAnswerEnd(CallerEntry&, const peers::AnswerEnd&);
    void onRefused(CallerEntry&, const peers::AnswerRefused&);
    bool tryElsewhere(CallerEntry&, base::RanState);
    void refuse(CallerEntry&, base::Refusal);
    void endDispatch(CallerEntry&);
    void finish(const base::RequestId&, base::Tokens unused);
    void callerGone(const base::RequestId&);

    node::Node& m_node;
    GatewayOptions m_options;
    std::unique_ptr<LimitGate> m_limits;
    OnceCalls m_onceCalls;
    std::unique_ptr<routing::Router> m_router;
    routing::UpstreamTable m_upstreams;
    routing::PrefixIndex m_prefixes;
    routing::RetryBudget m_retries;
    routing::RandomGenerator m_generator;
    absl::flat_hash_map<base::RequestId, std::unique_ptr<CallerEntry>> m_entries;
    // The last known phase of a model on an upstream, with the end of its load.
    struct ModelOnUpstream {
        peers::ModelPhase phase = peers::ModelPhase::Cold;
        std::optional<base::Instant> loadEnd;
    };
    std::map<std::pair<base::UpstreamId, base::ModelId>, ModelOnUpstream> m_phases;
    HolderRows m_rows;
    struct Demand {
        // Integral of running and waiting requests over time, in request-nanoseconds.
        int64_t busy = 0;
        int64_t misses = 0;
    };
    std::map<base::ModelId, Demand> m_demand;
    base::Instant m_demandSince;
    routing::Quarantine m_quarantine { {} };
    bool m_strikesChanged = false;
    // Targets with several holders, and until when they count as in use.
    std::map<std::string, base::Instant> m_contested;
    base::Instant m_nextRefresh;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    int64_t m_counter = 0;
    bool m_leaving = false;
};

} // namespace toucanstep::gateway::internal
