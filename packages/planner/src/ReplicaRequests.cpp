#include "PlanningPass.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::planner {

namespace {

// Prefill utilization, in engines, for that many calls in the prefill queues of `replicas`.
double prefillUtilization(double awaiting, int64_t replicas)
{
    double each = awaiting / static_cast<double>(replicas);
    return static_cast<double>(replicas) * each / (1 + each);
}

} // namespace

int64_t PlacementPlanner::PlanningPass::desiredReplicas(const Model& model) const
{
    if (m_engines.empty())
        return 1;
    double slots = static_cast<double>(m_engines.front().state->slots);
    double calls = static_cast<double>(model.demand.waiting + model.demand.running);
    auto forSlots = static_cast<int64_t>(std::ceil(calls / (slots * m_settings.slotsPerReplica)));
    int64_t minimum = model.demand.callsPerSecond > m_settings.callsPerSecondForTwoReplicas ? 2 : 1;
    double prefillLoad = prefillUtilization(model.demand.awaiting, std::max<int64_t>(model.ready, 1));
    auto forPrefill = static_cast<int64_t>(std::ceil(prefillLoad / m_settings.prefillUtilizationPerReplica));
    if (!m_uneven)
        return std::max({ forSlots, minimum, forPrefill });
    // Replicas on slow engines have room for fewer calls than counted above. Those expected ahead need no further headroom.
    auto forTrend = static_cast<int64_t>(std::ceil(loadOf(model).callsAhead / (slotsOfReplica() * m_settings.slotsInUseBeforeStoreLoad)));
    int64_t forSpeed = model.replicas() + (lacksSlots(model) ? 1 : 0);
    return std::max({ forSlots, minimum, forPrefill, forTrend, forSpeed });
}

void PlacementPlanner::PlanningPass::setDesiredReplicas(const base::ModelId& id, Model& model)
{
    model.desired = desiredReplicas(model);
    auto& peak = m_planner.m_desiredPeaks[id];
    if (model.desired >= peak.replicas || m_input.now >= peak.until)
        peak = { model.desired, m_input.now + m_settings.surplusAfter };
    model.desiredLately = peak.replicas;
}

bool PlacementPlanner::PlanningPass::lacksSlots(const Model& model) const
{
    auto slots = m_uneven ? model.slots : static_cast<double>(m_engines.front().state->slots * model.replicas());
    auto calls = std::max(static_cast<double>(model.demand.waiting + model.demand.running), model.callsAhead);
    bool prefillSaturated = model.ready && prefillUtilization(model.demand.awaiting, model.ready) > m_settings.saturatedPrefillUtilization * static_cast<double>(model.replicas());
    return prefillSaturated || calls > slots * m_settings.slotsInUseBeforeStoreLoad;
}

bool PlacementPlanner::PlanningPass::isSaturated(const Model& model) const
{
    bool prefillSaturated = model.ready && prefillUtilization(model.demand.awaiting, model.ready) > m_settings.saturatedPrefillUtilization * static_cast<double>(model.ready);
    bool willLackSlots = m_uneven && model.callsAhead > model.slots;
    return model.demand.waiting || prefillSaturated || willLackSlots;
}

std::vector<PlacementPlanner::ReplicaRequest> PlacementPlanner::PlanningPass::replicaRequests() const
{
    std::vector<ReplicaRequest> list;
    for (const auto& traits : m_traits.models) {
        const Model& model = m_models.at(traits.id);
        int64_t replicas = model.replicas();
        if (replicas >= model.desired)
            continue;
        ReplicaRequest request { replicas ? ReplicaRequest::Priority::Busy : ReplicaRequest::Priority::NotLoaded, &traits, model.demand, model.desired - replicas };
        if (replicas && isSaturated(model))
            request.priority = ReplicaRequest::Priority::Saturated;
        else if (model.demand.waiting)
            request.priority = ReplicaRequest::Priority::NotLoadedWithWaiters;
        list.push_back(request);
    }
    if (m_uneven)
        rankRequests(list);
    std::sort(list.begin(), list.end(), [](const ReplicaRequest& left, const ReplicaRequest& right) { return left.sortKey() < right.sortKey(); });
    return list;
}

} // namespace toucanstep::planner
