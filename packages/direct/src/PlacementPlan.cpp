#include "toucanstep/direct/PlacementPlan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace toucanstep::direct {

namespace {

constexpr double perKilosecond = 1000;
constexpr double thousandths = 1000;

struct ModelDemand {
    int64_t waiting = 0;
    int64_t running = 0;
    double callsPerSecond = 0;
    // Calls whose prompts wait to be read or are being read, on average.
    double awaiting = 0;
};

// The engines' time that is spent on reading prompts, in engines, where that many calls stand in the queues of `copies`.
double readingTime(double awaiting, int64_t copies)
{
    double each = awaiting / static_cast<double>(copies);
    return static_cast<double>(copies) * each / (1 + each);
}

} // namespace

// A model that should have another copy. Lower ranks go first.
struct PlacementPlanner::Want {
    enum class Rank {
        // Loaded nowhere, and callers wait.
        Missing,
        // Its copies have no free slot, or long queues of prompts to read, and callers wait.
        Overrun,
        // Loaded nowhere.
        Absent,
        // Its copies are busier than they should be.
        Busy,
    };
    Rank rank = Rank::Missing;
    const ModelTraits* model = nullptr;
    ModelDemand demand;

    // Callers are kept waiting by it.
    bool pressing() const { return demand.waiting || rank == Rank::Overrun; }

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
            m_engines.push_back({ &engine, freeMemory(engine), engine.running.has_value() || engine.blocked || engine.leaving, {}, reservationAt(engine) });
        for (const auto& entry : input.demand)
            noteDemand(entry);
        for (const auto& engine : input.engines) {
            bool fromStore = engine.running && engine.running->kind == OrderKind::Load && engine.running->source == LoadSource::WeightStore;
            m_storeLoads += fromStore || engine.busyUnknown ? 1 : 0;
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
        // Room was made for this model.
        std::optional<base::ModelId> reserved;

        bool reservedFor(const base::ModelId& other) const { return reserved && *reserved != other; }
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

    std::optional<base::ModelId> reservationAt(const PlannedEngine& engine)
    {
        auto found = m_planner.m_reserved.find(engine.id);
        if (found == m_planner.m_reserved.end())
            return std::nullopt;
        if (found->second.until > m_input.now && !engine.loaded.contains(found->second.model))
            return found->second.model;
        m_planner.m_reserved.erase(found);
        return std::nullopt;
    }

    void noteDemand(const TargetDemand& entry)
    {
        if (entry.waiting || entry.running) {
            m_planner.m_lastWanted[entry.target] = m_input.now;
            m_planner.m_lastWanted[{ entry.target.model, AdapterId() }] = m_input.now;
        }
        ModelDemand& demand = m_demand[entry.target.model];
        demand.waiting += entry.waiting;
        demand.running += entry.running;
        demand.callsPerSecond += static_cast<double>(entry.arrivalsPerKilosecond) / perKilosecond;
        demand.awaiting += static_cast<double>(entry.awaitingThousandths) / thousandths;
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
        double reading = readingTime(found->second.awaiting, std::max<int64_t>(servingCopiesOf(model), 1));
        auto readers = static_cast<int64_t>(std::ceil(reading / m_settings.readingTimePerCopy));
        return std::max({ wanted, least, readers });
    }

    int64_t servingCopiesOf(const base::ModelId& model) const
    {
        return std::count_if(m_engines.begin(), m_engines.end(), [&](const Engine& engine) {
            return !engine.state->leaving && !engine.isUnloading(model) && engine.holds(model);
        });
    }

    bool overrun(const base::ModelId& model, const ModelDemand& demand) const
    {
        int64_t serving = servingCopiesOf(model);
        bool reads = serving && readingTime(demand.awaiting, serving) > m_settings.readingTimeOverrun * static_cast<double>(serving);
        return demand.waiting || reads;
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
            if (copies && overrun(model.id, demand))
                want.rank = Want::Rank::Overrun;
            else if (demand.waiting)
                want.rank = Want::Rank::Missing;
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

    bool hasLocalCopy(const base::ModelId& model) const
    {
        return std::any_of(m_engines.begin(), m_engines.end(), [&](const Engine& engine) {
            return !engine.state->leaving && sourceAt(engine, model) != LoadSource::WeightStore;
        });
    }

    // One way to give a model another copy: at this engine, after what it is doing, perhaps with another model's eviction.
    struct Way {
        Engine* engine = nullptr;
        LoadSource source = LoadSource::WeightStore;
        base::Duration ready {};
        // Must go first.
        std::optional<base::ModelId> victim;
        int victimClass = 0;
        base::Instant victimWanted;
        // The engine can be given an order at once.
        bool now = false;

        // Of ways that are as soon, one that can be begun goes first: what an engine is doing may take longer.
        auto key() const { return std::tuple(ready, !now, victimClass, victimWanted, engine->state->inFlight, -engine->free, engine->state->id); }
    };

    void placeModels()
    {
        std::vector<Want> list = wants();
        dropReservations(list);
        m_callersWait = std::any_of(list.begin(), list.end(), [](const Want& want) { return want.pressing(); });
        for (const Want& want : list)
            place(want);
        foreseeRunningLoads();
    }

    // Room that was made for a model whose callers do not wait any more is free for others. What is loaded from the store
    // into the rest counts as begun.
    void dropReservations(const std::vector<Want>& list)
    {
        for (Engine& engine : m_engines) {
            if (!engine.reserved)
                continue;
            bool wanted = std::any_of(list.begin(), list.end(), [&](const Want& want) { return want.pressing() && want.model->id == *engine.reserved; });
            if (wanted) {
                m_storeLoads += sourceAt(engine, *engine.reserved) == LoadSource::WeightStore ? 1 : 0;
                continue;
            }
            engine.reserved.reset();
            m_planner.m_reserved.erase(engine.state->id);
        }
    }

    // While room is being made for a model, it is loaded there and no other room is made for it: another way may look sooner
    // for a moment, and engine after engine would lose a model for the sake of one copy.
    bool roomIsMadeElsewhere(const Engine& engine, const base::ModelId& model) const
    {
        return engine.reserved != model && std::any_of(m_engines.begin(), m_engines.end(), [&](const Engine& other) { return other.reserved == model; });
    }

    void place(const Want& want)
    {
        std::optional<Way> best;
        for (Engine& engine : m_engines) {
            if (roomIsMadeElsewhere(engine, want.model->id))
                continue;
            auto way = wayAt(engine, want);
            if (way && (!best || way->key() < best->key()))
                best = way;
        }
        if (!best)
            return;
        if (want.demand.waiting && !copiesOf(want.model->id))
            m_result.expected.push_back({ { want.model->id, AdapterId() }, best->ready });
        if (!best->now)
            return;
        if (best->victim)
            evict(*best, want);
        else
            load(*best, want);
    }

    std::optional<Way> wayAt(Engine& engine, const Want& want) const
    {
        const base::ModelId& model = want.model->id;
        if (engine.holds(model) || engine.isLoading(model) || engine.state->leaving || engine.reservedFor(model))
            return std::nullopt;
        // Nothing is known of what it is doing, nor of the memory that this takes.
        if (engine.state->blocked && !engine.state->running)
            return std::nullopt;
        Way way { &engine, sourceAt(engine, model) };
        way.now = !engine.taken;
        if (way.source == LoadSource::WeightStore && !mayLoadFromStore(want, way))
            return std::nullopt;
        way.ready = loadTime(*want.model, way.source);
        if (engine.state->running)
            way.ready += std::max<base::Duration>(base::remaining(m_input.now, engine.state->running->expectedEnd), m_settings.overdue);
        if (engine.free >= want.model->memory.value())
            return way;
        if (!chooseVictim(engine, want, way))
            return std::nullopt;
        way.ready += m_settings.evictionTime;
        return way;
    }

    // Where some engine has a copy of the weights of its own, the store is left to models that have none: it is ten times
    // as slow, and blocks an engine's orders meanwhile.
    bool mayLoadFromStore(const Want& want, Way& way) const
    {
        if (want.rank == Want::Rank::Absent && hasLocalCopy(want.model->id))
            return false;
        // While callers wait, what nobody waits for leaves the store to them.
        if (!want.pressing() && m_callersWait)
            return false;
        way.now = way.now && (way.engine->reserved == want.model->id || m_storeLoads < m_input.maxStoreLoads);
        return true;
    }

    // Room is made for what callers wait for. A copy that is not needed goes first, then the model that was not asked for
    // the longest; what was asked for just now stays.
    bool chooseVictim(const Engine& engine, const Want& want, Way& way) const
    {
        if (!want.pressing())
            return false;
        for (const auto& [model, adapters] : engine.state->loaded) {
            auto victimClass = evictionClass(engine, model);
            if (!victimClass || engine.free + memoryOf(model) < want.model->memory.value())
                continue;
            base::Instant wanted = lastWanted(model);
            if (way.victim && std::tuple(way.victimClass, way.victimWanted) <= std::tuple(*victimClass, wanted))
                continue;
            way.victim = model;
            way.victimClass = *victimClass;
            way.victimWanted = wanted;
        }
        return way.victim.has_value();
    }

    base::Instant lastWanted(const base::ModelId& model) const
    {
        auto found = m_planner.m_lastWanted.find({ model, AdapterId() });
        return found == m_planner.m_lastWanted.end() ? base::Instant() : found->second;
    }

    // 0 for a copy that is not needed, 1 for the last copy of a model that nobody waits for or uses; nothing if it stays.
    std::optional<int> evictionClass(const Engine& engine, const base::ModelId& model) const
    {
        if (engine.isUnloading(model))
            return std::nullopt;
        auto evicted = m_evicted.find(model);
        int64_t copies = copiesOf(model) - (evicted == m_evicted.end() ? 0 : evicted->second);
        if (!m_traits.findModel(model) || copies > copiesWanted(model))
            return 0;
        auto demand = m_demand.find(model);
        bool used = demand != m_demand.end() && (demand->second.waiting || demand->second.running);
        if (used || m_input.now - lastWanted(model) < m_settings.idleBeforeEviction)
            return std::nullopt;
        return 1;
    }

    void load(const Way& way, const Want& want)
    {
        m_result.orders.push_back({ way.engine->state->id, OrderKind::Load, { want.model->id, AdapterId() }, way.source, loadTime(*want.model, way.source) });
        m_storeLoads += way.source == LoadSource::WeightStore && way.engine->reserved != want.model->id ? 1 : 0;
        way.engine->taken = true;
        way.engine->free -= want.model->memory.value();
        way.engine->ordered.insert(want.model->id);
    }

    void evict(const Way& way, const Want& want)
    {
        m_result.orders.push_back({ way.engine->state->id, OrderKind::Unload, { *way.victim, AdapterId() }, LoadSource::HostMemory, base::Duration::zero() });
        way.engine->taken = true;
        m_evicted[*way.victim] += 1;
        m_storeLoads += way.source == LoadSource::WeightStore ? 1 : 0;
        // The room is for this model, and not for what has just been evicted.
        m_planner.m_reserved[way.engine->state->id] = { want.model->id, m_input.now + m_settings.reservation };
        way.engine->reserved = want.model->id;
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
        // Room is on its way.
        if (!best->adaptersLeaving.empty() && adaptersAt(*best) >= m_traits.adapterCapacity)
            return;
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
                if (engine.adaptersLeaving.contains(target))
                    continue;
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
    // Some caller waits for another copy of a model.
    bool m_callersWait = false;
    Placement m_result;
};

std::string_view toText(LoadSource source)
{
    switch (source) {
    case LoadSource::WeightStore:
        return "store";
    case LoadSource::HostMemory:
        return "memory";
    case LoadSource::Disk:
        break;
    }
    return "disk";
}

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
