// The parts of a direct gateway and the beats that drive them, all on the loop's thread.

#pragma once

#include "CallDispatcher.h"
#include "DutyKeeper.h"
#include "FleetLink.h"
#include "OrderDesk.h"
#include "StoreMirror.h"
#include "toucanstep/direct/DirectGateway.h"

#include <atomic>

namespace toucanstep::direct {

class GatewayCore final : public DirectoryListener {
public:
    GatewayCore(io::EventLoop&, DirectGatewaySettings, std::shared_ptr<const WireFormat>, const StoreFactory&);
    ~GatewayCore() override;

    base::Result<void> start();
    void leave();
    bool drained() const { return m_drained.load(); }
    base::Endpoint callerEndpoint() const { return m_callers->endpoint(); }

    void onEntry(const base::KeyValue&) override;
    void onRemoved(const std::string& key) override;
    void onDirectoryUpdated() override;

private:
    // Answers on the operators' port: readiness, metrics, copies of the store for peers.
    class OperatorHandler;
    struct PeerState {
        LoadReport load;
        base::Instant heard;
    };

    void beat();
    // Runs `task` once, a moment from now, however often it is asked for meanwhile.
    void soon(io::EventLoop::TimerId&, void (GatewayCore::*task)());
    void demandNow();
    void planNow();
    void tellPlanNow();
    void onReport(const FleetReport&);
    void onDemandReport(const DemandReport&);
    void onLoadReport(const LoadReport&);
    void onPlanReport(const PlanReport&);
    void sendLoadReport();
    void sendDemand();
    void sendPlan();
    void readEngines();
    void plan();
    void setPeersLoad();
    void updatePeers();
    void setDesiredState(const base::KeyValue&);
    void setUpstream(const base::KeyValue&);
    // Peers that were heard of late, those behind this gateway's own name first: so gateways ask different ones.
    std::vector<CopySource> copySources() const;

    bool holdsDuty() const { return m_duty.duty().holds(); }
    void onDutyTaken();

    ReportSender nextSender();
    bool ready() const;
    std::string metricsText();
    std::string statusText() const;

    io::EventLoop& m_loop;
    DirectGatewaySettings m_settings;
    std::shared_ptr<const WireFormat> m_format;
    base::MetricsRegistry m_metrics;
    http1::Client m_client;
    http1::Client m_storeClient;
    std::unique_ptr<base::KeyValueStore> m_store;
    CallDispatcher m_calls;
    OrderDesk m_orders;
    PlacementPlanner m_planner;
    StoreMirror m_mirror;
    DutyKeeper m_duty;
    std::unique_ptr<OperatorHandler> m_operatorHandler;
    std::unique_ptr<FleetLink> m_link;
    std::unique_ptr<http1::Server> m_callers;
    std::unique_ptr<http1::Server> m_readiness;
    std::unique_ptr<http1::Server> m_operators;

    Incarnation m_incarnation;
    int64_t m_sequence = 0;
    std::map<base::InstanceId, PeerState> m_peers;
    std::map<base::InstanceId, std::pair<base::Instant, std::vector<TargetDemand>>> m_peerDemand;
    std::vector<ExpectedLoad> m_expected;
    base::Epoch m_planFence;
    std::optional<base::InstanceId> m_plannerPeer;

    base::Instant m_nextDemand;
    base::Instant m_nextPlanReport;
    base::Instant m_nextSweep;

    io::EventLoop::TimerId m_beatTimer = 0;
    io::EventLoop::TimerId m_demandTimer = 0;
    io::EventLoop::TimerId m_planTimer = 0;
    io::EventLoop::TimerId m_tellTimer = 0;
    std::optional<base::Instant> m_leavingSince;
    std::atomic<bool> m_drained = false;
};

} // namespace toucanstep::direct
