#include "toucanstep/direct/PlacementPlan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace toucanstep::direct {

namespace {

constexpr double perKilosecond = 1000;

struct ModelDemand {
    int64_t waiting = 0;
    int64_t running = 0;
    double callsPerSecond = 0;
};

} // namespace

// A model that should have another copy. Lower ranks go first.
struct PlacementPlanner::Want {
    enum class Rank {
        // Loaded nowhere, and callers wait.
        Missing,
        // Its copies are full, and callers wait.
        Overrun,
        // Loaded nowhere.
        Absent,
        // Its copies are busier than they should be.
        Busy,
    };
    Rank rank = Rank::Missing;
    const ModelTraits* model = nullptr;
    ModelDemand demand;

    auto key() const { return std::tuple(rank, -demand.waiting, -demand.callsPerSecond, model->id); }
};

// The working state of one call of plan().
class PlacementPlanner::Round {
public:
    Round(PlacementPlanner& planner, const PlacementInput& input)
        : m_planner(planner)
        , m_settings(planner.m_settings)
        , m_input(input)
        , m_traits(*input.traits)
    {
        for (const auto& engine : input.engines)
            m_engines.push_back({ &engine, freeMemory(engine), engine.running.has_value() || engine.blocked || engine.leaving, {} });
        for (const auto& entry : input.demand)
            noteDemand(entry);
        for (const auto& engine : input.engines) {
            if (engine.running && engine.running->kind == OrderKind::Load && engine.running->source == LoadSource::WeightStore)
                ++m_storeLoads;
        }
    }

    Placement run()
    {
        placeModels();
        placeAdapters();
        return std::move(m_result);
    }

private:
    struct Engine {
        const PlannedEngine* state;
        int64_t free;
        // No further model order in this round.
        bool taken;
        std::set<base::ModelId> ordered;

        bool holds(const base::ModelId& model) const { return state->loaded.contains(model); }
        bool isLoading(const base::ModelId& model) const
        {
            return ordered.contains(model) || (state->running && state->running->kind == OrderKind::Load && state->running->model == model);
        }
        bool isUnloading(const base::ModelId& model) const
        {
            return state->running && state->running->kind == OrderKind::Unload && state->running->model == model;
        }
    };

    void noteDemand(const TargetDemand& entry)
    {
        m_planner.m_lastWanted[entry.target] = m_input.now;
        m_planner.m_lastWanted[{ entry.target.model, AdapterId() }] = m_input.now;
        ModelDemand& demand = m_demand[entry.target.model];
        demand.waiting += entry.waiting;
        demand.running += entry.running;
        demand.callsPerSecond += static_cast<double>(entry.arrivalsPerKilosecond) / perKilosecond;
        m_targets[entry.target] = entry;
    }

    int64_t memoryOf(const base::ModelId& id) const
    {
        const ModelTraits* model = m_traits.findModel(id);
        // An engine that holds a model which the text does not name has no memory to give away.
        return model ? model->memory.value() : m_traits.memory.value();
    }

    // Adapters of any model may come later: room for as many as an engine takes is left.
    int64_t adapterReserve() const
    {
        int64_t largest = 0;
        for (const auto& model : m_traits.models)
            largest = std::max(largest, model.adapters ? model.adapterMemory.value() : 0);
        return largest * m_traits.adapterCapacity;
    }

    int64_t freeMemory(const PlannedEngine& engine) const
    {
        int64_t used = adapterReserve();
        for (const auto& [model, adapters] : engine.loaded)
            used += memoryOf(model);
        if (engine.running && engine.running->kind == OrderKind::Load && !engine.loaded.contains(engine.running->model))
            used += memoryOf(engine.running->model);
        return m_traits.memory.value() - used;
    }

    int64_t copiesOf(const base::ModelId& model) const
    {
        return std::count_if(m_engines.begin(), m_engines.end(), [&](const Engine& engine) {
            return !engine.state->leaving && !engine.isUnloading(model) && (engine.holds(model) || engine.isLoading(model));
        });
    }

    int64_t copiesWanted(const base::ModelId& model) const
    {
        auto found = m_demand.find(model);
        if (found == m_demand.end() || m_engines.empty())
            return 1;
        double slots = static_cast<double>(m_engines.front().state->slots);
        double calls = static_cast<double>(found->second.waiting + found->second.running);
        auto wanted = static_cast<int64_t>(std::ceil(calls / (slots * m_settings.slotsPerCopy)));
        int64_t least = found->second.callsPerSecond > m_settings.callsPerSecondForTwo ? 2 : 1;
        return std::max(wanted, least);
    }

    std::vector<Want> wants() const
    {
        std::vector<Want> list;
        for (const auto& model : m_traits.models) {
            auto found = m_demand.find(model.id);
            ModelDemand demand = found == m_demand.end() ? ModelDemand() : found->second;
            int64_t copies = copiesOf(model.id);
            if (copies >= copiesWanted(model.id))
                continue;
            Want want { copies ? Want::Rank::Busy : Want::Rank::Absent, &model, demand };
            if (demand.waiting)
                want.rank = copies ? Want::Rank::Overrun : Want::Rank::Missing;
            list.push_back(want);
        }
        std::sort(list.begin(), list.end(), [](const Want& left, const Want& right) { return left.key() < right.key(); });
        return list;
    }

    LoadSource sourceAt(const Engine& engine, const base::ModelId& model) const
    {
        if (engine.state->inHostMemory.contains(model))
            return LoadSource::HostMemory;
        return engine.state->onDisk.contains(model) ? LoadSource::Disk : LoadSource::WeightStore;
    }

    static base::Duration loadTime(const ModelTraits& model, LoadSource source)
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

    bool mayLoadFrom(LoadSource source) const
    {
        return source != LoadSource::WeightStore || m_storeLoads < m_settings.storeLoadsAtOnce;
    }

    void placeModels()
    {
        std::vector<Want> list = wants();
        int64_t position = 0;
        for (const Want& want : list) {
            bool begun = tryLoad(want) || tryMakeRoom(want);
            if (want.demand.waiting && !copiesOf(want.model->id))
                foresee(*want.model, begun ? 0 : ++position);
        }
        foreseeRunningLoads();
    }

    bool tryLoad(const Want& want)
    {
        Engine* best = nullptr;
        auto better = [&](const Engine& left, const Engine& right) {
            auto key = [&](const Engine& engine) {
                return std::tuple(loadTime(*want.model, sourceAt(engine, want.model->id)), engine.state->inFlight, -engine.free, engine.state->id);
            };
            return key(left) < key(right);
        };
        for (Engine& engine : m_engines) {
            if (engine.taken || engine.holds(want.model->id) || engine.free < want.model->memory.value())
                continue;
            if (!mayLoadFrom(sourceAt(engine, want.model->id)))
                continue;
            if (!best || better(engine, *best))
                best = &engine;
        }
        if (!best)
            return false;
        LoadSource source = sourceAt(*best, want.model->id);
        base::Duration expected = loadTime(*want.model, source);
        m_result.orders.push_back({ best->state->id, OrderKind::Load, { want.model->id, AdapterId() }, source, expected });
        if (want.demand.waiting)
            m_result.expected.push_back({ { want.model->id, AdapterId() }, expected });
        m_storeLoads += source == LoadSource::WeightStore ? 1 : 0;
        best->taken = true;
        best->free -= want.model->memory.value();
        best->ordered.insert(want.model->id);
        return true;
    }

    // Room is made for what nobody holds and for overrun models; a model that is only busy waits for free memory.
    bool tryMakeRoom(const Want& want)
    {
        if (want.rank == Want::Rank::Busy)
            return false;
        Engine* best = nullptr;
        base::ModelId victim;
        std::tuple<int, base::Duration, int64_t> bestKey;
        for (Engine& engine : m_engines) {
            if (engine.taken || engine.holds(want.model->id) || !mayLoadFrom(sourceAt(engine, want.model->id)))
                continue;
            for (const auto& [model, adapters] : engine.state->loaded) {
                auto price = evictionPrice(engine, model, want);
                if (!price || engine.free + memoryOf(model) < want.model->memory.value())
                    continue;
                std::tuple key(*price, loadTime(*want.model, sourceAt(engine, want.model->id)), engine.state->inFlight);
                if (!best || key < bestKey) {
                    best = &engine;
                    victim = model;
                    bestKey = key;
                }
            }
        }
        if (!best)
            return false;
        m_result.orders.push_back({ best->state->id, OrderKind::Unload, { victim, AdapterId() }, LoadSource::HostMemory, base::Duration::zero() });
        best->taken = true;
        m_evicted[victim] += 1;
        // The load follows once the engine shows the room; a load from the store keeps its place until then.
        m_storeLoads += sourceAt(*best, want.model->id) == LoadSource::WeightStore ? 1 : 0;
        return true;
    }

    // 0 for a copy that is not needed, 1 for the last copy of a model that was not asked for lately; nothing if it stays.
    std::optional<int> evictionPrice(const Engine& engine, const base::ModelId& model, const Want& want) const
    {
        auto evicted = m_evicted.find(model);
        int64_t copies = copiesOf(model) - (evicted == m_evicted.end() ? 0 : evicted->second);
        if (engine.isUnloading(model))
            return std::nullopt;
        if (!m_traits.findModel(model) || copies > copiesWanted(model))
            return 0;
        bool idle = !m_demand.contains(model);
        auto wanted = m_planner.m_lastWanted.find({ model, AdapterId() });
        if (wanted != m_planner.m_lastWanted.end() && m_input.now - wanted->second < m_settings.idleBeforeEviction)
            idle = false;
        if (idle && want.demand.waiting)
            return 1;
        return std::nullopt;
    }

    void foresee(const ModelTraits& model, int64_t position)
    {
        auto rounds = (position + static_cast<int64_t>(m_settings.storeLoadsAtOnce) - 1) / static_cast<int64_t>(m_settings.storeLoadsAtOnce);
        m_result.expected.push_back({ { model.id, AdapterId() }, model.loadFromStore * (rounds + 1) });
    }

    void foreseeRunningLoads()
    {
        for (const Engine& engine : m_engines) {
            const auto& running = engine.state->running;
            if (!running || running->kind != OrderKind::Load || !m_demand.contains(running->model))
                continue;
            m_result.expected.push_back({ { running->model, AdapterId() }, base::remaining(m_input.now, running->expectedEnd) });
        }
    }

    void placeAdapters()
    {
        if (!m_traits.adapterCapacity)
            return;
        std::map<base::UpstreamId, size_t> begun;
        for (const auto& [target, demand] : m_targets) {
            if (!target.adapter.empty() && demand.waiting)
                placeAdapter(target, begun);
        }
    }

    static int64_t adaptersAt(const PlannedEngine& engine)
    {
        int64_t count = 0;
        for (const auto& [model, adapters] : engine.loaded)
            count += static_cast<int64_t>(adapters.size());
        return count;
    }

    void placeAdapter(const ModelTarget& target, std::map<base::UpstreamId, size_t>& begun)
    {
        const PlannedEngine* best = nullptr;
        std::tuple<bool, int64_t, int64_t, base::UpstreamId> bestKey;
        bool heldWithRoom = false;
        for (const auto& engine : m_input.engines) {
            auto model = engine.loaded.find(target.model);
            if (engine.blocked || engine.leaving || model == engine.loaded.end())
                continue;
            if (model->second.contains(target.adapter)) {
                heldWithRoom |= engine.inFlight < engine.slots;
                continue;
            }
            if (engine.running && engine.running->kind == OrderKind::Unload && engine.running->model == target.model)
                continue;
            if (engine.adaptersInTransit + begun[engine.id] >= m_settings.adaptersInTransit || begun[engine.id])
                continue;
            std::tuple key(adaptersAt(engine) >= m_traits.adapterCapacity, adaptersAt(engine), engine.inFlight, engine.id);
            if (!best || key < bestKey) {
                best = &engine;
                bestKey = key;
            }
        }
        // Callers who wait for an adapter that an engine with free slots holds will be sent there in a moment.
        if (!best || heldWithRoom)
            return;
        ++begun[best->id];
        if (adaptersAt(*best) < m_traits.adapterCapacity) {
            m_result.orders.push_back({ best->id, OrderKind::Load, target, LoadSource::WeightStore, base::Duration::zero() });
            return;
        }
        if (auto victim = leastWantedAdapter(*best))
            m_result.orders.push_back({ best->id, OrderKind::Unload, *victim, LoadSource::WeightStore, base::Duration::zero() });
    }

    std::optional<ModelTarget> leastWantedAdapter(const PlannedEngine& engine) const
    {
        std::optional<ModelTarget> victim;
        base::Instant oldest;
        for (const auto& [model, adapters] : engine.loaded) {
            for (const auto& adapter : adapters) {
                ModelTarget target { model, adapter };
                auto demand = m_targets.find(target);
                if (demand != m_targets.end() && (demand->second.waiting || demand->second.running))
                    continue;
                auto wanted = m_planner.m_lastWanted.find(target);
                base::Instant last = wanted == m_planner.m_lastWanted.end() ? base::Instant() : wanted->second;
                if (!victim || last < oldest) {
                    victim = target;
                    oldest = last;
                }
            }
        }
        return victim;
    }

    PlacementPlanner& m_planner;
    const PlacementSettings& m_settings;
    const PlacementInput& m_input;
    const EngineTraits& m_traits;
    std::vector<Engine> m_engines;
    std::map<base::ModelId, ModelDemand> m_demand;
    std::map<ModelTarget, TargetDemand> m_targets;
    std::map<base::ModelId, int64_t> m_evicted;
    size_t m_storeLoads = 0;
    Placement m_result;
};

PlacementPlanner::PlacementPlanner(PlacementSettings settings)
    : m_settings(settings)
{
}

Placement PlacementPlanner::plan(const PlacementInput& input)
{
    if (!input.traits)
        return {};
    return Round(*this, input).run();
}

} // namespace toucanstep::direct
