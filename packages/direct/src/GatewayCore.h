// The components of a direct gateway and the periodic tasks that drive them, all on the event loop's thread.

#pragma once

#include "CallDispatcher.h"
#include "EngineController.h"
#include "FleetTransport.h"
#include "LeaderElection.h"
#include "RefusalRecord.h"
#include "RelayedSending.h"
#include "ShareClaimKeeper.h"
#include "StoreMirror.h"
#include "toucanstep/direct/DemandReportChanges.h"
#include "toucanstep/direct/DirectGateway.h"
#include "toucanstep/direct/LoadReportChanges.h"
#include "toucanstep/planner/PlannerSuccession.h"

#include <atomic>

namespace toucanstep::direct {

class GatewayCore final : public DirectoryListener {
public:
    GatewayCore(io::EventLoop&, DirectGatewaySettings, std::shared_ptr<const WireFormat>, const StoreFactory&);
    ~GatewayCore() override;

    base::Result<void> start();
    // SIGTERM was noticed at that time.
    void leave(base::Instant noticed);
    bool drained() const { return m_drained.load(); }
    base::Endpoint callerEndpoint() const { return m_callerServer->endpoint(); }
    base::Endpoint operatorEndpoint() const { return m_operatorServer->endpoint(); }

    void onEntry(const base::KeyValue&) override;
    void onRemoved(const std::string& key) override;
    void onDirectoryUpdated() override;

private:
    // Related events within this time trigger one run of a task.
    static constexpr base::Duration coalescingDelay = std::chrono::milliseconds(3);

    // Serves the readiness and operator ports: readiness, metrics, status and store copies for peers.
    class OperatorHandler;
    void tick();
    // Runs `task` once after the delay; requests made in the meantime are merged into that run.
    void scheduleCoalesced(io::EventLoop::TimerId&, void (GatewayCore::*task)(), base::Duration delay);
    void sendDemandNow();
    void planNow();
    void sendPlanNow();
    void onReport(const FleetReport&);
    void onDemandReport(const DemandReport&);
    void onLoadReport(const LoadReport&);
    void onUpstreamListReport(const UpstreamListReport&);
    void onPlanReport(const PlanReport&);
    void sendLoadReport();
    void sendDemand();
    void sendPlan();
    // Tells nearby gateways about the store's last answer about upstreams.
    void shareUpstreamList();
    // The peers with which this gateway shares the store's answers.
    std::vector<base::InstanceId> nearbyPeers() const;
    void readEngines();
    void plan();
    void addDemandByDomain(const std::vector<TargetDemand>& own, const EngineTraits&, PlacementInput&) const;
    void reportPlacement(const base::ServiceId&, const Placement&);
    // Takes over what peers have reported since the last time.
    void applyPeerLoads();
    // Among how many gateways this one divides the limits of accounts.
    void logRateShares();
    void setPlannerPeer(const base::InstanceId&);
    // Both depend on the size of the fleet.
    base::Duration reportInterval() const;
    base::Duration reportLifetime() const;
    base::Duration completeDemandInterval() const;
    void updatePeers();
    void setDesiredState(const base::KeyValue&);
    void setUpstream(const base::KeyValue&);
    void evacuate(const base::FailureDomain&);
    void endEvacuation(const base::FailureDomain&);
    // Peers with a recent report, starting after this gateway's own name, so that gateways ask different peers.
    std::vector<CopySource> copySources() const;

    bool isPlanner() const { return m_election.leadership().isLeader(); }
    void onElected();

    ReportSender nextSender();
    bool ready() const;
    std::string metricsText();
    std::string statusText() const;
    // After SIGTERM: closes what waits, and decides whether the process may end.
    void drain();

    io::EventLoop& m_loop;
    DirectGatewaySettings m_settings;
    std::shared_ptr<const WireFormat> m_format;
    base::MetricsRegistry m_metrics;
    http1::Client m_client;
    http1::Client m_storeClient;
    std::unique_ptr<base::KeyValueStore> m_store;
    CallDispatcher m_calls;
    EngineController m_engineController;
    PlacementPlanner m_planner;
    StoreMirror m_mirror;
    LeaderElection m_election;
    ShareClaimKeeper m_claimKeeper;
    RefusalRecord m_refusalRecord;
    std::unique_ptr<OperatorHandler> m_operatorHandler;
    std::unique_ptr<FleetTransport> m_transport;
    std::unique_ptr<RelayedSending> m_relayedSending;
    std::unique_ptr<http1::Server> m_callerServer;
    std::unique_ptr<http1::Server> m_readinessServer;
    std::unique_ptr<http1::Server> m_operatorServer;

    Incarnation m_incarnation;
    int64_t m_sequence = 0;
    PeerLoads m_peerLoads;
    bool m_peerAccountsChanged = false;
    base::Instant m_nextPeerAccounts;
    LoadReportChanges m_loadChanges;
    AccountLimits::RateShares m_loggedShares;
    // The list of gateways has changed since updatePeers().
    bool m_listChanged = false;
    // Peers have been added since the last load report.
    bool m_hasNewPeers = false;
    PeerDemand m_peerDemand;
    DemandReportChanges m_demandChanges;
    // Targets of notices that the planner has sent, see LoadedNotice.
    ChangeTracker<std::pair<base::UpstreamId, ModelTarget>, std::pair<StartId, bool>> m_noticeChanges;
    std::vector<ExpectedLoad> m_expectedLoads;
    base::Epoch m_planFence;
    PlannerSuccession m_succession;
    std::optional<base::InstanceId> m_plannerPeer;

    std::optional<base::Instant> m_lastListAnswer;
    base::Instant m_lastSharedAnswer;
    base::Instant m_nextLoadReport;
    base::Instant m_nextDemand;
    base::Instant m_nextCompleteDemand;
    base::Instant m_nextCompletePlan;
    base::Instant m_nextPlanReport;
    base::Instant m_nextSweep;
    base::Instant m_nextPlan;

    io::EventLoop::TimerId m_tickTimer = 0;
    io::EventLoop::TimerId m_demandTimer = 0;
    io::EventLoop::TimerId m_planTimer = 0;
    io::EventLoop::TimerId m_planReportTimer = 0;
    std::atomic<bool> m_drained = false;
};

} // namespace toucanstep::direct
