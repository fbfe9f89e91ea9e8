#include "PlanningPass.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::planner {

namespace {

// In calls per second. A model with calls has at least this rate, as averages lag behind the first calls.
constexpr double minCallRate = 0.5;
// In seconds. Longer estimates do not change the choice.
constexpr double maxDrainSeconds = 10;

} // namespace

bool PlacementPlanner::PlanningPass::chooseVictim(Engine& engine, const ReplicaRequest& request, Candidate& candidate) const
{
    if (!request.isUrgent())
        return false;
    findVictims(engine);
    for (const Victim& victim : engine.victims) {
        if (engine.free + victim.memory < request.model->memory.value())
            continue;
        candidate.victim = victim.model;
        candidate.evictionDelay = victim.delay;
        candidate.victimClass = victim.victimClass;
        candidate.victimLastUsed = victim.lastUsed;
        candidate.victimValue = std::llround(victim.value);
        return true;
    }
    return false;
}

void PlacementPlanner::PlanningPass::findVictims(Engine& engine) const
{
    if (engine.victimsValidFor == m_evictions)
        return;
    engine.victimsValidFor = m_evictions;
    engine.victims.clear();
    for (const auto& [model, adapters] : engine.state->loaded) {
        auto victimClass = evictionClass(engine, model);
        if (!victimClass)
            continue;
        Victim victim { model, memoryOf(model), m_settings.evictionTime + drainTime(m_models.at(model)), *victimClass, lastUsed(model) };
        if (m_uneven) {
            // Differences below the time of an eviction matter less than the value.
            victim.delay = stepsOf(victim.delay);
            victim.value = valueOfPlace(engine, m_models.at(model));
        }
        engine.victims.push_back(victim);
    }
    std::stable_sort(engine.victims.begin(), engine.victims.end(), [](const Victim& left, const Victim& right) { return left.sortKey() < right.sortKey(); });
}

base::Duration PlacementPlanner::PlanningPass::drainTime(const Model& model) const
{
    if (!model.demand.running || !model.ready)
        return base::Duration::zero();
    double callSeconds = static_cast<double>(model.demand.running) / std::max(model.demand.callsPerSecond, minCallRate);
    double calls = static_cast<double>(model.demand.running) / static_cast<double>(model.ready);
    double seconds = callSeconds * (calls < 1 ? calls : 1 + std::log(calls));
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(std::min(seconds, maxDrainSeconds)));
}

std::optional<int> PlacementPlanner::PlanningPass::evictionClass(const Engine& engine, const base::ModelId& id) const
{
    if (engine.isUnloading(id))
        return std::nullopt;
    const Model& model = m_models.at(id);
    if (!model.traits || model.replicas() - model.evicted > model.desiredLately)
        return 0;
    // Without this, the places of a model that has lost its callers stay until surplusAfter has passed.
    if (m_uneven && model.replicas() - model.evicted > 1 && isCoveredWithout(engine, model))
        return 0;
    bool used = model.demand.waiting || model.demand.running;
    if (used || m_input.now - lastUsed(id) < m_settings.idleBeforeEviction)
        return std::nullopt;
    return 1;
}

} // namespace toucanstep::planner
