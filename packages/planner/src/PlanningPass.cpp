#include "PlanningPass.h"

#include <algorithm>

namespace toucanstep::planner {

namespace {

constexpr double perKilosecond = 1000;
constexpr double thousandths = 1000;

} // namespace

PlacementPlanner::PlanningPass::PlanningPass(PlacementPlanner& planner, const PlacementInput& input)
    : m_planner(planner)
    , m_uneven(input.unevenDemand ? &planner.m_uneven[input.service] : nullptr)
    , m_settings(planner.m_settings)
    , m_input(input)
    , m_traits(*input.traits)
{
    for (const auto& model : m_traits.models)
        m_models[model.id].traits = &model;
    m_adapterReserve = adapterReserve();
    for (const auto& engine : input.engines)
        addEngine(engine);
    for (const auto& entry : input.demand)
        addDemand(entry);
    for (const Engine& engine : m_engines)
        leaveOutUnavailable(engine);
    if (m_uneven) {
        observeDemand();
        startPermits();
    }
    for (auto& [id, model] : m_models)
        setDesiredReplicas(id, model);
}

Placement PlacementPlanner::PlanningPass::run()
{
    placeModels();
    placeAdapters();
    return std::move(m_result);
}

void PlacementPlanner::PlanningPass::addEngine(const PlannedEngine& state)
{
    Engine engine { &state, freeMemory(state), state.running.has_value() || state.blocked || state.draining, {}, {}, reservationAt(state) };
    m_storeLoads += loadsFromStore(state) ? 1 : 0;
    if (!state.draining) {
        for (const auto& [model, adapters] : state.loaded) {
            if (engine.isUnloading(model))
                continue;
            m_models[model].ready += 1;
            countSlots(m_models[model], state, 1);
        }
        if (state.running && state.running->kind == OrderKind::Load && !engine.holds(state.running->model)) {
            m_models[state.running->model].loading += 1;
            countSlots(m_models[state.running->model], state, 1);
        }
        for (const auto* cached : { &state.inHostMemory, &state.onDisk }) {
            for (const auto& model : *cached) {
                m_models[model].hasLocalWeights = true;
                m_models[model].hasSpareLocalWeights |= !engine.holds(model) && !engine.isLoading(model);
            }
        }
    }
    m_engines.push_back(std::move(engine));
}

void PlacementPlanner::PlanningPass::leaveOutUnavailable(const Engine& engine)
{
    const PlannedEngine& state = *engine.state;
    if ((!state.callLimit && !state.pausedUntil) || state.draining)
        return;
    auto isAskedFor = [&](const auto& entry) { return hasDemand(entry.first); };
    auto models = std::max<ptrdiff_t>(1, std::count_if(state.loaded.begin(), state.loaded.end(), isAskedFor));
    for (const auto& [id, adapters] : state.loaded) {
        Model& model = m_models[id];
        bool withinLimit = !state.callLimit || model.demand.callsPerSecond <= *state.callLimit / static_cast<double>(models);
        bool replicaIsSooner = !state.pausedUntil || shortestLoadTime(model) < base::remaining(m_input.now, *state.pausedUntil);
        bool takesAll = withinLimit && (!model.demand.waiting || !replicaIsSooner);
        if (!takesAll && !engine.isUnloading(id)) {
            model.ready -= 1;
            countSlots(model, state, -1);
        }
    }
}

base::Duration PlacementPlanner::PlanningPass::shortestLoadTime(const Model& model)
{
    if (!model.traits)
        return base::Duration::max();
    return model.hasLocalWeights ? model.traits->loadFromDisk : model.traits->loadFromStore;
}

bool PlacementPlanner::PlanningPass::loadsFromStore(const PlannedEngine& engine)
{
    bool fromStore = engine.running && engine.running->kind == OrderKind::Load && engine.running->source == LoadSource::WeightStore;
    return fromStore || engine.runsUnknownOrder;
}

std::optional<base::ModelId> PlacementPlanner::PlanningPass::reservationAt(const PlannedEngine& engine)
{
    auto found = m_planner.m_reserved.find(engine.id);
    if (found == m_planner.m_reserved.end())
        return std::nullopt;
    // An unload waits for the calls that use the model, which may take longer than the reservation.
    if (engine.running && engine.running->kind == OrderKind::Unload)
        found->second.until = std::max(found->second.until, engine.running->expectedEnd + m_settings.longestUnload);
    if (found->second.until > m_input.now && !engine.loaded.contains(found->second.model))
        return found->second.model;
    m_planner.m_reserved.erase(found);
    return std::nullopt;
}

void PlacementPlanner::PlanningPass::addDemand(const TargetDemand& entry)
{
    if (entry.waiting || entry.running) {
        m_planner.m_lastUsed[entry.target] = m_input.now;
        m_planner.m_lastUsed[{ entry.target.model, AdapterId() }] = m_input.now;
    }
    ModelDemand& demand = m_models[entry.target.model].demand;
    demand.waiting += entry.waiting;
    demand.running += entry.running;
    demand.callsPerSecond += static_cast<double>(entry.arrivalsPerKilosecond) / perKilosecond;
    demand.awaiting += static_cast<double>(entry.awaitingThousandths) / thousandths;
    m_targets[entry.target] = entry;
}

const PlacementPlanner::PlanningPass::Model* PlacementPlanner::PlanningPass::findModel(const base::ModelId& id) const
{
    auto found = m_models.find(id);
    return found == m_models.end() ? nullptr : &found->second;
}

int64_t PlacementPlanner::PlanningPass::memoryOf(const base::ModelId& id) const
{
    const Model* model = findModel(id);
    // A model missing from the configuration counts as the whole memory, so its engine gets no further model.
    return model && model->traits ? model->traits->memory.value() : m_traits.memory.value();
}

int64_t PlacementPlanner::PlanningPass::adapterReserve() const
{
    int64_t largest = 0;
    for (const auto& model : m_traits.models)
        largest = std::max(largest, model.adapters ? model.adapterMemory.value() : 0);
    return largest * m_traits.adapterCapacity;
}

int64_t PlacementPlanner::PlanningPass::freeMemory(const PlannedEngine& engine) const
{
    int64_t used = m_adapterReserve;
    for (const auto& [model, adapters] : engine.loaded)
        used += memoryOf(model);
    if (engine.running && engine.running->kind == OrderKind::Load && !engine.loaded.contains(engine.running->model))
        used += memoryOf(engine.running->model);
    return m_traits.memory.value() - used;
}

bool PlacementPlanner::PlanningPass::hasDemand(const base::ModelId& id) const
{
    const Model* model = findModel(id);
    return model && (model->demand.waiting || model->demand.running || model->demand.callsPerSecond > 0);
}

base::Instant PlacementPlanner::PlanningPass::lastUsed(const base::ModelId& model) const
{
    auto found = m_planner.m_lastUsed.find({ model, AdapterId() });
    return found == m_planner.m_lastUsed.end() ? base::Instant() : found->second;
}

LoadSource PlacementPlanner::PlanningPass::sourceAt(const Engine& engine, const base::ModelId& model) const
{
    if (engine.state->inHostMemory.contains(model))
        return LoadSource::HostMemory;
    return engine.state->onDisk.contains(model) ? LoadSource::Disk : LoadSource::WeightStore;
}

base::Duration PlacementPlanner::PlanningPass::loadTime(const ModelTraits& model, LoadSource source)
{
    switch (source) {
    case LoadSource::HostMemory:
        return model.loadFromMemory;
    case LoadSource::Disk:
        return model.loadFromDisk;
    case LoadSource::WeightStore:
        break;
    }
    return model.loadFromStore;
}

} // namespace toucanstep::planner
