// The planner role of a gateway: the passes over the engines and their demand.

#include "GatewayCore.h"

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
    for (const auto& entry : m_calls.demand().summary(now))
        PeerDemand::add(entry, demand);
    m_peerDemand.expire(std::max(reportLifetime(), completeDemandInterval() * 3), now);
    m_peerDemand.addTo(demand);
    m_expectedLoads.clear();
    for (const auto& service : state->services) {
        if (!service.engine)
            continue;
        PlacementInput input;
        input.now = now;
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
        Placement placement = m_planner.plan(input);
        for (const auto& order : placement.orders)
            m_engineController.execute(order, now);
        m_expectedLoads.insert(m_expectedLoads.end(), placement.expected.begin(), placement.expected.end());
    }
    base::Instant finished = m_loop.now();
    m_nextPlan = finished + timeBetweenPasses * (finished - now);
}

} // namespace toucanstep::direct
