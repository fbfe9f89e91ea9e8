// The planner role of a gateway: the passes over the engines and their demand.

#include "GatewayCore.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

namespace toucanstep::direct {

void GatewayCore::onElected()
{
    m_engineController.startTerm(m_election.leadership().fence());
    m_noticeChanges = {};
    m_nextCompletePlan = {};
    if (auto earlier = m_succession.last(m_loop.now()))
        m_engineController.takeOver(*earlier, m_loop.now());
    m_plannerPeer.reset();
}

// A new planner starts reading the engines' state at once, so that it is known when orders are first allowed.
void GatewayCore::readEngines()
{
    auto state = m_calls.desiredState();
    if (!state)
        return;
    base::Instant now = m_loop.now();
    for (const auto& service : state->services) {
        if (service.engine)
            m_engineController.engines(m_calls.upstreams(), service.id, now);
    }
    m_engineController.tick(now);
}

void GatewayCore::addDemandByDomain(const std::vector<TargetDemand>& own, const EngineTraits& traits, PlacementInput& input) const
{
    PeerDemand::CallsByDomain calls;
    for (const auto& entry : own)
        PeerDemand::add(entry, m_settings.domain, calls);
    // The sender of a demand report names its failure domain in its load reports.
    m_peerDemand.addTo(calls, [this](const base::InstanceId& id) {
        auto peer = m_peerLoads.peers().find(id);
        return peer == m_peerLoads.peers().end() ? base::FailureDomain() : peer->second.domain;
    });
    for (const auto& [key, count] : calls) {
        if (traits.findModel(key.first))
            input.demandByDomain.push_back({ key.first, key.second, count });
    }
    input.demandReportInterval = completeDemandInterval();
}

void GatewayCore::reportPlacement(const base::ServiceId& service, const Placement& placement)
{
    for (const auto& unplaced : placement.unplaced) {
        base::LogLine("replica_not_placed").add("service", service).add("model", unplaced.model).add("reason", toText(unplaced.obstacle)).add("waiting", unplaced.waiting);
        m_metrics.count("toucanstep_replicas_not_placed_total", base::concat("reason=\"", toText(unplaced.obstacle), "\""));
    }
    for (const auto& order : placement.orders) {
        if (!order.ahead)
            continue;
        bool loads = order.kind == OrderKind::Load;
        base::LogLine("model_loaded_ahead").add("service", service).add("model", order.target.model).add("upstream", order.upstream).add("step", loads ? "load" : "make_room");
        if (loads)
            m_metrics.count("toucanstep_models_loaded_ahead_total", "");
    }
}

void GatewayCore::plan()
{
    // A pass over thousands of engines takes longer than a tick. Calls need the processor in between.
    constexpr int timeBetweenPasses = 4;
    auto state = m_calls.desiredState();
    base::Instant now = m_loop.now();
    if (!state || !m_mirror.part(StorePart::Upstreams).synced())
        return;
    if (now < m_nextPlan) {
        scheduleCoalesced(m_planTimer, &GatewayCore::planNow, m_nextPlan - now);
        return;
    }
    m_election.recordLastPlanner();
    m_engineController.tick(now);
    std::map<ModelTarget, TargetDemand> demand;
    const std::vector<TargetDemand> ownDemand = m_calls.demand().summary(now);
    for (const auto& entry : ownDemand)
        PeerDemand::add(entry, demand);
    m_peerDemand.expire(std::max(reportLifetime(), completeDemandInterval() * 3), now);
    m_peerDemand.addTo(demand);
    m_expectedLoads.clear();
    for (const auto& service : state->services) {
        if (!service.engine)
            continue;
        PlacementInput input;
        input.now = now;
        input.service = service.id;
        input.traits = &*service.engine;
        input.maxStoreLoads = m_engineController.maxStoreLoads();
        input.engines = m_engineController.engines(m_calls.upstreams(), service.id, now);
        for (auto& engine : input.engines) {
            engine.callLimit = m_calls.callLimitOf(engine.id);
            engine.workFactor = m_calls.workFactorOf(engine.id);
        }
        for (const auto& [target, entry] : demand) {
            if (service.engine->findModel(target.model))
                input.demand.push_back(entry);
        }
        const UpstreamSpeeds* speeds = m_calls.speeds().estimates();
        input.unevenDemand = m_settings.policies.unevenDemand && speeds && speeds->hasStated(service.id);
        if (input.unevenDemand)
            addDemandByDomain(ownDemand, *service.engine, input);
        Placement placement = m_planner.plan(input);
        for (const auto& order : placement.orders)
            m_engineController.execute(order, now);
        reportPlacement(service.id, placement);
        m_expectedLoads.insert(m_expectedLoads.end(), placement.expected.begin(), placement.expected.end());
    }
    base::Instant finished = m_loop.now();
    m_nextPlan = finished + timeBetweenPasses * (finished - now);
}

} // namespace toucanstep::direct
