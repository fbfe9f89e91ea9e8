#include "PlanningPass.h"

namespace toucanstep::planner {

void PlacementPlanner::PlanningPass::placeAdapters()
{
    if (!m_traits.adapterCapacity)
        return;
    std::map<base::UpstreamId, size_t> started;
    for (const auto& [target, demand] : m_targets) {
        if (!target.adapter.empty() && demand.waiting)
            placeAdapter(target, started);
    }
}

int64_t PlacementPlanner::PlanningPass::adaptersAt(const PlannedEngine& engine)
{
    int64_t count = 0;
    for (const auto& [model, adapters] : engine.loaded)
        count += static_cast<int64_t>(adapters.size());
    return count;
}

void PlacementPlanner::PlanningPass::placeAdapter(const ModelTarget& target, std::map<base::UpstreamId, size_t>& started)
{
    const PlannedEngine* best = nullptr;
    std::tuple<bool, int64_t, int64_t, base::UpstreamId> bestKey;
    bool heldWithFreeSlots = false;
    for (const auto& engine : m_input.engines) {
        auto model = engine.loaded.find(target.model);
        if (engine.blocked || engine.draining || model == engine.loaded.end())
            continue;
        if (model->second.contains(target.adapter)) {
            heldWithFreeSlots |= engine.inFlight < engine.slots;
            continue;
        }
        // The engine rejects adapter orders until its model order has ended.
        if (engine.running)
            continue;
        if (engine.adaptersLoading + started[engine.id] >= m_settings.maxAdaptersLoading || started[engine.id])
            continue;
        std::tuple sortKey(adaptersAt(engine) >= m_traits.adapterCapacity, adaptersAt(engine), engine.inFlight, engine.id);
        if (!best || sortKey < bestKey) {
            best = &engine;
            bestKey = sortKey;
        }
    }
    // An engine with free slots already holds the adapter; the waiting calls are about to be dispatched to it.
    if (!best || heldWithFreeSlots)
        return;
    ++started[best->id];
    // A pending unload will free the capacity.
    if (!best->adaptersUnloading.empty() && adaptersAt(*best) >= m_traits.adapterCapacity)
        return;
    if (adaptersAt(*best) < m_traits.adapterCapacity) {
        m_result.orders.push_back({ best->id, OrderKind::Load, target, LoadSource::WeightStore, base::Duration::zero() });
        return;
    }
    if (auto victim = leastRecentlyUsedAdapter(*best))
        m_result.orders.push_back({ best->id, OrderKind::Unload, *victim, LoadSource::WeightStore, base::Duration::zero() });
}

std::optional<ModelTarget> PlacementPlanner::PlanningPass::leastRecentlyUsedAdapter(const PlannedEngine& engine) const
{
    std::optional<ModelTarget> victim;
    base::Instant oldest;
    for (const auto& [model, adapters] : engine.loaded) {
        for (const auto& adapter : adapters) {
            ModelTarget target { model, adapter };
            if (engine.adaptersUnloading.contains(target))
                continue;
            auto demand = m_targets.find(target);
            if (demand != m_targets.end() && (demand->second.waiting || demand->second.running))
                continue;
            auto found = m_planner.m_lastUsed.find(target);
            base::Instant last = found == m_planner.m_lastUsed.end() ? base::Instant() : found->second;
            if (!victim || last < oldest) {
                victim = target;
                oldest = last;
            }
        }
    }
    return victim;
}

} // namespace toucanstep::planner
