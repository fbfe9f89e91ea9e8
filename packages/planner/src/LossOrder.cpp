// The order of urgent requests by expected loss, and what is logged of those that were not placed.

#include "PlanningPass.h"

#include <algorithm>

namespace toucanstep::planner {

namespace {

constexpr auto unplacedNoticeInterval = std::chrono::seconds(1);
// Most slots of the fleet are free above this part.
constexpr double mostSlots = 0.5;

} // namespace

void PlacementPlanner::PlanningPass::rankRequests(std::vector<ReplicaRequest>& list) const
{
    double largest = 0;
    for (ReplicaRequest& request : list) {
        const Model& model = m_models.at(request.model->id);
        request.rank = request.isUrgent() ? ExpectedLoss::perLoadSecond(ExpectedLoss::withoutReplica(loadOf(model), slotsOfReplica()), timeOfNextLoad(model)) : 0;
        largest = std::max(largest, request.rank);
    }
    for (ReplicaRequest& request : list) {
        auto since = m_uneven->unplacedSince.find(request.model->id);
        if (!request.isUrgent() || since == m_uneven->unplacedSince.end() || m_orderedFor.contains(request.model->id))
            continue;
        request.rank = ExpectedLoss::rank(request.rank, largest, m_input.now - since->second, request.model->loadFromStore * m_settings.turnLoads);
    }
}

void PlacementPlanner::PlanningPass::placeByLoss(std::vector<ReplicaRequest>& list)
{
    const std::vector<ReplicaRequest> requests = list;
    auto before = [](const ReplicaRequest& left, const ReplicaRequest& right) { return left.sortKey() < right.sortKey(); };
    // Sorted with the first request last.
    std::sort(list.begin(), list.end(), [&](const ReplicaRequest& left, const ReplicaRequest& right) { return before(right, left); });
    while (!list.empty()) {
        ReplicaRequest request = list.back();
        list.pop_back();
        if (!place(request) || --request.missing <= 0)
            continue;
        // A replica that was ordered serves a part of the loss. One that cannot start yet is counted too, so that other requests come
        // before the second one of the same model.
        const Model& model = m_models.at(request.model->id);
        ModelLoad load = loadOf(model);
        load.slots += m_orderedFor.contains(request.model->id) ? 0 : slotsOfReplica();
        request.rank = request.isUrgent() ? ExpectedLoss::perLoadSecond(ExpectedLoss::withoutReplica(load, slotsOfReplica()), timeOfNextLoad(model)) : 0;
        list.insert(std::upper_bound(list.begin(), list.end(), request, [&](const ReplicaRequest& left, const ReplicaRequest& right) { return before(right, left); }), request);
    }
    recordUnplaced(requests);
    noteUnplaced(requests);
    loadAhead();
}

void PlacementPlanner::PlanningPass::recordUnplaced(const std::vector<ReplicaRequest>& list)
{
    std::map<base::ModelId, base::Instant> unplaced;
    for (const ReplicaRequest& request : list) {
        const base::ModelId& id = request.model->id;
        if (!request.isUrgent() || m_orderedFor.contains(id))
            continue;
        auto since = m_uneven->unplacedSince.find(id);
        unplaced[id] = since == m_uneven->unplacedSince.end() ? m_input.now : since->second;
    }
    m_uneven->unplacedSince = std::move(unplaced);
}

PlacementObstacle PlacementPlanner::PlanningPass::obstacleTo(const ReplicaRequest& request) const
{
    const base::ModelId& id = request.model->id;
    if (auto found = m_obstacles.find(id); found != m_obstacles.end())
        return found->second;
    bool anyEngine = std::any_of(m_engines.begin(), m_engines.end(), [&](const Engine& engine) {
        return !engine.state->draining && !isSparedFromLoads(*engine.state) && !engine.reserved && !engine.holds(id) && !engine.isLoading(id);
    });
    return anyEngine ? PlacementObstacle::Memory : PlacementObstacle::NoEngine;
}

void PlacementPlanner::PlanningPass::noteUnplaced(const std::vector<ReplicaRequest>& list)
{
    int64_t slots = 0;
    int64_t inFlight = 0;
    for (const Engine& engine : m_engines) {
        slots += engine.state->slots;
        inFlight += engine.state->inFlight;
    }
    std::erase_if(m_uneven->nextUnplacedNotice, [&](const auto& entry) { return entry.second <= m_input.now; });
    if (static_cast<double>(slots - inFlight) <= mostSlots * static_cast<double>(slots))
        return;
    for (const ReplicaRequest& request : list) {
        const base::ModelId& id = request.model->id;
        if (!request.demand.waiting || m_orderedFor.contains(id) || m_uneven->nextUnplacedNotice.contains(id))
            continue;
        m_uneven->nextUnplacedNotice[id] = m_input.now + unplacedNoticeInterval;
        m_result.unplaced.push_back({ id, obstacleTo(request), request.demand.waiting });
    }
}

} // namespace toucanstep::planner
