#include "PlanningPass.h"

#include <algorithm>

namespace toucanstep::planner {

void PlacementPlanner::PlanningPass::placeModels()
{
    std::vector<ReplicaRequest> list = replicaRequests();
    releaseUnneededReservations(list);
    m_hasUrgentRequests = std::any_of(list.begin(), list.end(), [](const ReplicaRequest& request) { return request.isUrgent(); });
    if (m_uneven) {
        placeByLoss(list);
        reportRunningLoads();
        return;
    }
    bool placedAny = true;
    while (placedAny) {
        placedAny = false;
        for (ReplicaRequest& request : list) {
            if (!request.missing)
                continue;
            bool placed = place(request);
            request.missing = placed ? request.missing - 1 : 0;
            placedAny = placedAny || placed;
        }
    }
    reportRunningLoads();
}

void PlacementPlanner::PlanningPass::releaseUnneededReservations(const std::vector<ReplicaRequest>& list)
{
    std::map<base::ModelId, int64_t> needed;
    for (const ReplicaRequest& request : list)
        needed[request.model->id] = request.isUrgent() ? request.missing : 0;
    for (Engine& engine : m_engines) {
        if (!engine.reserved)
            continue;
        if (needed[*engine.reserved]-- > 0) {
            bool fromStore = sourceAt(engine, *engine.reserved) == LoadSource::WeightStore;
            m_storeLoads += fromStore ? 1 : 0;
            if (m_uneven && fromStore)
                m_uneven->permits.onDraining();
            continue;
        }
        engine.reserved.reset();
        m_planner.m_reserved.erase(engine.state->id);
    }
}

PlacementPlanner::PlanningPass::Engine* PlacementPlanner::PlanningPass::unassignedReservation(const base::ModelId& model)
{
    auto found = std::find_if(m_engines.begin(), m_engines.end(), [&](const Engine& engine) { return engine.reserved == model && !engine.assigned.contains(model); });
    return found == m_engines.end() ? nullptr : &*found;
}

bool PlacementPlanner::PlanningPass::place(const ReplicaRequest& request)
{
    const base::ModelId& model = request.model->id;
    std::optional<Candidate> best;
    // A reserved engine comes first. Otherwise another one may look faster for a moment, and engine after engine would evict
    // a model for the sake of one replica.
    if (Engine* engine = unassignedReservation(model)) {
        best = reservedCandidate(*engine, request);
    } else {
        for (Engine& other : m_engines) {
            auto candidate = candidateAt(other, request);
            if (candidate && (!best || candidate->sortKey() < best->sortKey()))
                best = candidate;
        }
    }
    if (!best)
        return false;
    if (!best->canStart)
        m_obstacles[model] = best->lacksPermit ? PlacementObstacle::NoPermit : PlacementObstacle::OrderInProgress;
    best->engine->assigned.insert(model);
    if (request.demand.waiting && !m_models.at(model).replicas())
        m_result.expected.push_back({ { model, AdapterId() }, best->timeToReady });
    if (best->canStart && best->victim)
        evict(*best, request);
    else if (best->canStart)
        load(*best, request);
    return true;
}

PlacementPlanner::PlanningPass::Candidate PlacementPlanner::PlanningPass::reservedCandidate(Engine& engine, const ReplicaRequest& request) const
{
    Candidate candidate { &engine, sourceAt(engine, request.model->id) };
    candidate.timeToReady = loadTime(*request.model, candidate.source);
    candidate.canStart = !engine.unavailable;
    if (engine.free >= request.model->memory.value()) {
        requirePermit(request, candidate);
        return candidate;
    }
    candidate.timeToReady += m_settings.evictionTime;
    // The order to unload was not accepted, so the memory is still in use.
    bool evictAgain = !engine.unavailable && chooseVictim(engine, request, candidate);
    candidate.canStart = candidate.canStart && evictAgain;
    return candidate;
}

bool PlacementPlanner::PlanningPass::isSparedFromLoads(const PlannedEngine& engine) const
{
    auto takesFew = [](const PlannedEngine& state) { return state.callLimit || state.pausedUntil; };
    return takesFew(engine) && std::any_of(m_engines.begin(), m_engines.end(), [&](const Engine& other) { return !takesFew(*other.state) && !other.state->draining; });
}

std::optional<PlacementPlanner::PlanningPass::Candidate> PlacementPlanner::PlanningPass::candidateAt(Engine& engine, const ReplicaRequest& request) const
{
    const base::ModelId& model = request.model->id;
    bool needsEviction = engine.free < request.model->memory.value();
    if (engine.state->draining || isSparedFromLoads(*engine.state) || engine.reserved || (needsEviction && !request.isUrgent()))
        return std::nullopt;
    if (engine.holds(model) || engine.isLoading(model) || engine.assigned.contains(model))
        return std::nullopt;
    // Neither its current order nor the memory that this takes is known.
    if (engine.state->blocked && !engine.state->running)
        return std::nullopt;
    Candidate candidate { &engine, sourceAt(engine, model) };
    candidate.canStart = !engine.unavailable;
    if (candidate.source == LoadSource::WeightStore && !mayLoadFromStore(request, candidate))
        return std::nullopt;
    candidate.timeToReady = loadTime(*request.model, candidate.source);
    if (engine.state->running)
        candidate.timeToReady += std::max<base::Duration>(base::remaining(m_input.now, engine.state->running->expectedEnd), m_settings.overdueAllowance);
    if (needsEviction && !chooseVictim(engine, request, candidate))
        return std::nullopt;
    candidate.timeToReady += candidate.evictionDelay;
    requirePermit(request, candidate);
    compareUneven(request, candidate);
    return candidate;
}

bool PlacementPlanner::PlanningPass::mayLoadFromStore(const ReplicaRequest& request, Candidate& candidate) const
{
    size_t permits = m_input.maxStoreLoads;
    if (request.priority == ReplicaRequest::Priority::Saturated && !lacksSlots(m_models.at(request.model->id)))
        return false;
    if (!request.isUrgent()) {
        if (request.priority == ReplicaRequest::Priority::NotLoaded && m_models.at(request.model->id).hasLocalWeights)
            return false;
        // Engines that are not listed yet may hold a model that nobody has asked for.
        if (!hasDemand(request.model->id) && m_input.now - m_planner.m_lastNewEngine < m_settings.fleetSettlingTime)
            return false;
        // While any request is urgent, the weight store is reserved for urgent requests. One load is left to the next one.
        if (m_hasUrgentRequests)
            return false;
        permits -= permits > 1 ? 1 : 0;
    }
    // With uneven demand, requirePermit() decides once the victim is known.
    candidate.canStart = candidate.canStart && (m_uneven || m_storeLoads < permits);
    return true;
}

void PlacementPlanner::PlanningPass::load(const Candidate& candidate, const ReplicaRequest& request)
{
    m_result.orders.push_back({ candidate.engine->state->id, OrderKind::Load, { request.model->id, AdapterId() }, candidate.source, loadTime(*request.model, candidate.source) });
    m_storeLoads += candidate.source == LoadSource::WeightStore && candidate.engine->reserved != request.model->id ? 1 : 0;
    candidate.engine->unavailable = true;
    candidate.engine->free -= request.model->memory.value();
    candidate.engine->ordered.insert(request.model->id);
    m_models.at(request.model->id).loading += 1;
    m_orderedFor.insert(request.model->id);
    countSlots(m_models.at(request.model->id), *candidate.engine->state, 1);
    if (m_uneven && candidate.source == LoadSource::WeightStore)
        m_uneven->permits.onStarted(loadTime(*request.model, candidate.source));
}

void PlacementPlanner::PlanningPass::evict(const Candidate& candidate, const ReplicaRequest& request)
{
    m_result.orders.push_back({ candidate.engine->state->id, OrderKind::Unload, { *candidate.victim, AdapterId() }, LoadSource::HostMemory, base::Duration::zero() });
    candidate.engine->unavailable = true;
    m_models.at(*candidate.victim).evicted += 1;
    m_orderedFor.insert(request.model->id);
    countSlots(m_models.at(*candidate.victim), *candidate.engine->state, -1);
    if (m_uneven && candidate.source == LoadSource::WeightStore)
        m_uneven->permits.onDraining();
    ++m_evictions;
    m_storeLoads += candidate.source == LoadSource::WeightStore ? 1 : 0;
    // Otherwise the evicted model could be loaded into the freed memory again.
    m_planner.m_reserved[candidate.engine->state->id] = { request.model->id, m_input.now + m_settings.reservationTime };
    candidate.engine->reserved = request.model->id;
}

void PlacementPlanner::PlanningPass::reportRunningLoads()
{
    for (const Engine& engine : m_engines) {
        const auto& running = engine.state->running;
        if (!running || running->kind != OrderKind::Load || !hasDemand(running->model))
            continue;
        m_result.expected.push_back({ { running->model, AdapterId() }, base::remaining(m_input.now, running->expectedEnd) });
    }
}

} // namespace toucanstep::planner
