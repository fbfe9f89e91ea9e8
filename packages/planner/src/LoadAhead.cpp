// Loads of busy models onto further disks while the weight store is idle.

#include "PlanningPass.h"

#include <algorithm>

namespace toucanstep::planner {

void PlacementPlanner::PlanningPass::loadAhead()
{
    if (!m_uneven->unplacedSince.empty() || !m_uneven->permits.isIdle() || !m_uneven->forecast.hasTrend() || m_input.now - m_planner.m_lastNewEngine < m_settings.fleetSettlingTime)
        return;
    std::map<base::ModelId, int64_t> copies;
    for (const Engine& engine : m_engines) {
        if (engine.state->draining)
            continue;
        std::set<base::ModelId> here = engine.state->onDisk;
        here.insert(engine.state->inHostMemory.begin(), engine.state->inHostMemory.end());
        for (const auto& id : here)
            ++copies[id];
    }
    const Model* busiest = nullptr;
    for (const auto& [id, model] : m_models) {
        double calls = std::max(model.meanCalls, model.callsAhead);
        bool isBusy = model.traits && model.ready && calls >= m_settings.busySlots * slotsOfReplica();
        // One copy beyond the replicas that it needs now.
        if (isBusy && copies[id] <= model.desired && (!busiest || model.callsAhead > busiest->callsAhead))
            busiest = &model;
    }
    if (!busiest)
        return;
    auto candidate = placeAhead(*busiest);
    if (!candidate)
        return;
    if (candidate->victim) {
        // Nothing is reserved: an urgent request of the next pass may use the memory.
        m_result.orders.push_back({ candidate->engine->state->id, OrderKind::Unload, { *candidate->victim, AdapterId() }, LoadSource::HostMemory, base::Duration::zero(), true });
        candidate->engine->unavailable = true;
        return;
    }
    ReplicaRequest request;
    request.priority = ReplicaRequest::Priority::Busy;
    request.model = busiest->traits;
    load(*candidate, request);
    m_result.orders.back().ahead = true;
}

std::optional<PlacementPlanner::PlanningPass::Candidate> PlacementPlanner::PlanningPass::placeAhead(const Model& model)
{
    const ModelTraits& traits = *model.traits;
    ReplicaRequest request;
    request.priority = ReplicaRequest::Priority::Busy;
    request.model = &traits;
    std::optional<Candidate> best;
    for (Engine& engine : m_engines) {
        if (engine.unavailable || engine.reserved || isSparedFromLoads(*engine.state) || engine.holds(traits.id) || sourceAt(engine, traits.id) != LoadSource::WeightStore)
            continue;
        Candidate candidate { &engine };
        candidate.canStart = true;
        candidate.timeToReady = traits.loadFromStore;
        if (engine.free < traits.memory.value()) {
            findVictims(engine);
            auto worthless = std::find_if(engine.victims.begin(), engine.victims.end(), [&](const Victim& victim) {
                return victim.victimClass == 0 && victim.value == 0 && engine.free + victim.memory >= traits.memory.value();
            });
            if (worthless == engine.victims.end())
                continue;
            candidate.victim = worthless->model;
            candidate.timeToReady += worthless->delay;
        }
        compareUneven(request, candidate);
        if (!best || candidate.sortKey() < best->sortKey())
            best = candidate;
    }
    return best;
}

} // namespace toucanstep::planner
