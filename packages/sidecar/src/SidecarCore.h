// The traffic side of a sidecar: takes requests, queues them, gives them to the upstream, keeps their answers.
//
// Everything here runs on the traffic loop.

#pragma once

#include "PermitClient.h"
#include "RequestTable.h"
#include "ServiceCalls.h"
#include "toucanstep/formats/EngineClient.h"
#include "toucanstep/node/Node.h"
#include "toucanstep/node/StrikeExchange.h"
#include "toucanstep/placement/ResidencyManager.h"
#include "toucanstep/routing/Quarantine.h"
#include "toucanstep/routing/RequestQueue.h"
#include "toucanstep/sidecar/Sidecar.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <set>

namespace toucanstep::sidecar::internal {

class SidecarCore final : public node::StrikeKeeper {
public:
    SidecarCore(node::Node&, SidecarOptions);
    ~SidecarCore() override;

    // Peers' methods.
    void onRun(const peers::IncomingCall&, std::shared_ptr<peers::PeerResponder>);
    void onAttach(const peers::IncomingCall&, std::shared_ptr<peers::PeerResponder>);
    void onReport(const peers::IncomingCall&, const std::shared_ptr<peers::PeerResponder>&);

    void onConfiguration(std::shared_ptr<const config::Configuration>);
    // The replica rows that name this instance, with their epochs.
    void onRows(const std::map<base::ModelId, base::Epoch>&);
    // Whether a withdrawn row's model is proved to be absent from the engine.
    // The row of a withdrawn model was given back.
    void onRowReleased(const base::ModelId&);
    bool mayRelease(const base::ModelId& model) const { return !m_residency || m_residency->mayRelease(model); }
    void tick();
    void setLeaving();
    void mergeStrikes(const std::vector<routing::StrikeMessage>&) override;
    std::optional<std::vector<routing::StrikeMessage>> takeChangedStrikes() override;
    bool idle() const;
    nlohmann::json status() const;

private:
    class Generation;
    using Refused = std::optional<base::Refusal>;

    base::Instant now() const { return m_node.traffic().now(); }
    // Why a new request is not taken; nothing where it is.
    Refused reasonToRefuse(const peers::RunRequest&, const config::ClientAccount*, base::Instant now) const;
    void enqueue(RequestEntry&, const config::ClientAccount&, base::Instant now);
    routing::QueuedRequest queuedForm(const RequestEntry&, const config::ClientAccount&) const;
    routing::UpstreamLoad load() const;
    int64_t inFlight() const { return static_cast<int64_t>(m_generations.size() + m_serviceRuns.size()); }

    void pump();
    bool mayStart(const routing::QueuedRequest&, base::Instant now);
    void startRun(RequestEntry&, base::Instant now);
    void recordRun(base::HistoryKind, const RequestEntry&);
    void callEngine(RequestEntry&);
    void callService(RequestEntry&);
    void onServiceAnswer(const EntryKey&, const formats::HttpReply&);
    void onCallReply(const EntryKey&, const calls::CallReply&);
    void onChunk(const EntryKey&, std::string bytes);
    void onRunEnd(const EntryKey&, const formats::GenerationEnd&);
    void finishRun(RequestEntry&, peers::RunEventBody ending);
    void takeOutOfQueue(RequestEntry&);
    void refuse(RequestEntry&, const base::Refusal&);
    void cancelEntry(RequestEntry&);
    // One of the upstream's streams broke: was it the stream, or the upstream?
    void suspectCrash(const RequestEntry&);
    void onCrashProbe(const std::vector<routing::RequestFingerprint>& suspects, bool alive);

    void runResidency(base::Instant now);
    bool mayLoad(const base::ModelId&, base::Instant earliestDeadline);
    void carryOut(const placement::ResidencyOrder&);
    void readIndex(const placement::ResidencyOrder&);

    void attach(RequestEntry&, std::shared_ptr<peers::PeerResponder>, int64_t nextChunk);
    void send(RequestEntry&, peers::RunEventBody, bool withReport);
    peers::SidecarReport report(const base::InstanceId& gateway, const base::ModelId&) const;
    void logEntry(std::string_view event, const RequestEntry&, std::string_view reason) const;

    node::Node& m_node;
    SidecarOptions m_options;
    int64_t m_incarnation;
    std::shared_ptr<const config::Configuration> m_configuration;
    const config::UpstreamPool* m_pool = nullptr;
    std::unique_ptr<formats::EngineClient> m_engine;
    RequestTable m_requests;
    std::unique_ptr<routing::RequestQueue> m_queue;
    std::unique_ptr<placement::ResidencyManager> m_residency;
    routing::Quarantine m_quarantine { {} };
    routing::IsolationGate m_solo;
    absl::flat_hash_map<EntryKey, std::shared_ptr<Generation>> m_generations;
    absl::flat_hash_map<base::InstanceId, int64_t> m_lastDispatch;
    std::map<base::ModelId, base::Epoch> m_rows;
    // Waiters that were refused, but for whose next try the load goes on, until that instant.
    std::map<base::RequestId, std::pair<base::ModelId, base::Instant>> m_loadKeepers;
    std::set<base::ModelId> m_cachedOnDisk;
    mutable int64_t m_reportSequence = 0;
    ServiceCalls m_services;
    PermitClient m_permits;
    std::set<EntryKey> m_serviceRuns;
    int64_t m_crashes = 0;
    // Whether the last look through the queue met a request that must run alone.
    bool m_suspectQueued = false;
    bool m_strikesChanged = false;
    bool m_crashProbeRunning = false;
    bool m_leaving = false;
    bool m_pumpPosted = false;
};

} // namespace toucanstep::sidecar::internal
