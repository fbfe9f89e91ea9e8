#include "toucanstep/planner/PlacementPlan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace toucanstep::planner {

namespace {

constexpr double perKilosecond = 1000;
constexpr double thousandths = 1000;
// In calls per second. A model with calls has at least this rate, as averages lag behind the first calls.
constexpr double minCallRate = 0.5;
// In seconds. Longer estimates do not change the choice.
constexpr double maxDrainSeconds = 10;

struct ModelDemand {
    int64_t waiting = 0;
    int64_t running = 0;
    double callsPerSecond = 0;
    // Average number of calls whose prompts are queued or being processed.
    double awaiting = 0;
};

// Prefill utilization, in engines, for that many calls in the prefill queues of `replicas`.
double prefillUtilization(double awaiting, int64_t replicas)
{
    double each = awaiting / static_cast<double>(replicas);
    return static_cast<double>(replicas) * each / (1 + each);
}

} // namespace

// A model that needs further replicas. Priorities are listed from the highest to the lowest.
struct PlacementPlanner::ReplicaRequest {
    enum class Priority {
        // Loaded nowhere, with callers waiting.
        NotLoadedWithWaiters,
        // Callers wait although the model has replicas, or their prefill queues are long.
        Saturated,
        // Loaded nowhere, without waiting callers.
        NotLoaded,
        // Has fewer replicas than its load calls for.
        Busy,
    };
    Priority priority = Priority::NotLoadedWithWaiters;
    const ModelTraits* model = nullptr;
    ModelDemand demand;
    // Replicas that are neither loaded nor being loaded yet.
    int64_t missing = 0;

    // Callers are waiting, or are delayed by long prefill queues.
    bool isUrgent() const { return demand.waiting || priority == Priority::Saturated; }

    auto sortKey() const { return std::tuple(priority, -demand.waiting, -demand.callsPerSecond, model->id); }
};

// Working state of one call of plan().
class PlacementPlanner::PlanningPass {
public:
    PlanningPass(PlacementPlanner& planner, const PlacementInput& input)
        : m_planner(planner)
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
        for (auto& [id, model] : m_models)
            setDesiredReplicas(id, model);
    }

    Placement run()
    {
        placeModels();
        placeAdapters();
        return std::move(m_result);
    }

private:
    // A model of the configuration, or one that an engine holds although the configuration lacks it.
    struct Model {
        // Null if the model is missing from the configuration.
        const ModelTraits* traits = nullptr;
        ModelDemand demand;
        // Engines that hold it and keep it.
        int64_t ready = 0;
        // Engines that load it, orders of this pass included.
        int64_t loading = 0;
        // Replicas that this pass evicts.
        int64_t evicted = 0;
        int64_t desired = 1;
        // The most replicas desired within the last seconds.
        int64_t desiredLately = 1;
        // Its weights are in the host memory or on the disk of some engine.
        bool hasLocalWeights = false;

        int64_t replicas() const { return ready + loading; }
    };

    // A model that may be evicted from an engine.
    struct Victim {
        base::ModelId model;
        int64_t memory = 0;
        // Until its memory is free.
        base::Duration delay {};
        int victimClass = 0;
        base::Instant lastUsed;

        auto sortKey() const { return std::tuple(delay, victimClass, lastUsed); }
    };

    struct Engine {
        const PlannedEngine* state;
        int64_t free;
        // Cannot take a model order in this pass.
        bool unavailable;
        std::set<base::ModelId> ordered;
        // Models that get a replica here, now or once the engine can take the order.
        std::set<base::ModelId> assigned;
        // Memory is reserved for this model.
        std::optional<base::ModelId> reserved;
        // The best victim first; valid for one count of evictions.
        std::vector<Victim> victims;
        std::optional<int64_t> victimsValidFor;

        bool isReservedForAnother(const base::ModelId& model) const { return reserved && *reserved != model; }
        bool holds(const base::ModelId& model) const { return state->loaded.contains(model); }
        bool isLoading(const base::ModelId& model) const
        {
            return ordered.contains(model) || (state->running && state->running->kind == OrderKind::Load && state->running->model == model);
        }
        bool isUnloading(const base::ModelId& model) const
        {
            return state->running && state->running->kind == OrderKind::Unload && state->running->model == model;
        }
        bool isUnloadingAny() const { return state->running && state->running->kind == OrderKind::Unload; }
    };

    void addEngine(const PlannedEngine& state)
    {
        Engine engine { &state, freeMemory(state), state.running.has_value() || state.blocked || state.draining, {}, {}, reservationAt(state) };
        m_storeLoads += loadsFromStore(state) ? 1 : 0;
        if (!state.draining) {
            for (const auto& [model, adapters] : state.loaded)
                m_models[model].ready += engine.isUnloading(model) ? 0 : 1;
            if (state.running && state.running->kind == OrderKind::Load && !engine.holds(state.running->model))
                m_models[state.running->model].loading += 1;
            for (const auto* cached : { &state.inHostMemory, &state.onDisk }) {
                for (const auto& model : *cached)
                    m_models[model].hasLocalWeights = true;
            }
        }
        m_engines.push_back(std::move(engine));
    }

    // A model that is asked for more often than its part of the engine's limit needs a replica elsewhere, and so does one whose
    // callers wait for the end of the engine's pause, if another replica is ready before.
    void leaveOutUnavailable(const Engine& engine)
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
            if (!takesAll && !engine.isUnloading(id))
                model.ready -= 1;
        }
    }

    static base::Duration shortestLoadTime(const Model& model)
    {
        if (!model.traits)
            return base::Duration::max();
        return model.hasLocalWeights ? model.traits->loadFromDisk : model.traits->loadFromStore;
    }

    static bool loadsFromStore(const PlannedEngine& engine)
    {
        bool fromStore = engine.running && engine.running->kind == OrderKind::Load && engine.running->source == LoadSource::WeightStore;
        return fromStore || engine.runsUnknownOrder;
    }

    std::optional<base::ModelId> reservationAt(const PlannedEngine& engine)
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

    void addDemand(const TargetDemand& entry)
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

    const Model* findModel(const base::ModelId& id) const
    {
        auto found = m_models.find(id);
        return found == m_models.end() ? nullptr : &found->second;
    }

    int64_t memoryOf(const base::ModelId& id) const
    {
        const Model* model = findModel(id);
        // A model missing from the configuration counts as the whole memory, so its engine gets no further model.
        return model && model->traits ? model->traits->memory.value() : m_traits.memory.value();
    }

    // Memory for a full set of the largest adapters, kept free because adapters of any model may be loaded later.
    int64_t adapterReserve() const
    {
        int64_t largest = 0;
        for (const auto& model : m_traits.models)
            largest = std::max(largest, model.adapters ? model.adapterMemory.value() : 0);
        return largest * m_traits.adapterCapacity;
    }

    int64_t freeMemory(const PlannedEngine& engine) const
    {
        int64_t used = m_adapterReserve;
        for (const auto& [model, adapters] : engine.loaded)
            used += memoryOf(model);
        if (engine.running && engine.running->kind == OrderKind::Load && !engine.loaded.contains(engine.running->model))
            used += memoryOf(engine.running->model);
        return m_traits.memory.value() - used;
    }

    int64_t desiredReplicas(const Model& model) const
    {
        if (m_engines.empty())
            return 1;
        double slots = static_cast<double>(m_engines.front().state->slots);
        double calls = static_cast<double>(model.demand.waiting + model.demand.running);
        auto forSlots = static_cast<int64_t>(std::ceil(calls / (slots * m_settings.slotsPerReplica)));
        int64_t minimum = model.demand.callsPerSecond > m_settings.callsPerSecondForTwoReplicas ? 2 : 1;
        double prefillLoad = prefillUtilization(model.demand.awaiting, std::max<int64_t>(model.ready, 1));
        auto forPrefill = static_cast<int64_t>(std::ceil(prefillLoad / m_settings.prefillUtilizationPerReplica));
        return std::max({ forSlots, minimum, forPrefill });
    }

    void setDesiredReplicas(const base::ModelId& id, Model& model)
    {
        model.desired = desiredReplicas(model);
        auto& peak = m_planner.m_desiredPeaks[id];
        if (model.desired >= peak.replicas || m_input.now >= peak.until)
            peak = { model.desired, m_input.now + m_settings.surplusAfter };
        model.desiredLately = peak.replicas;
    }

    // Its calls need nearly all slots of its replicas, those being loaded included. A further replica that takes seconds to load
    // is not worth its part of the weight store for a shorter queue.
    bool lacksSlots(const Model& model) const
    {
        auto slots = static_cast<double>(m_engines.front().state->slots * model.replicas());
        auto calls = static_cast<double>(model.demand.waiting + model.demand.running);
        bool prefillSaturated = model.ready && prefillUtilization(model.demand.awaiting, model.ready) > m_settings.saturatedPrefillUtilization * static_cast<double>(model.replicas());
        return prefillSaturated || calls > slots * m_settings.slotsInUseBeforeStoreLoad;
    }

    bool isSaturated(const Model& model) const
    {
        bool prefillSaturated = model.ready && prefillUtilization(model.demand.awaiting, model.ready) > m_settings.saturatedPrefillUtilization * static_cast<double>(model.ready);
        return model.demand.waiting || prefillSaturated;
    }

    std::vector<ReplicaRequest> replicaRequests() const
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
        std::sort(list.begin(), list.end(), [](const ReplicaRequest& left, const ReplicaRequest& right) { return left.sortKey() < right.sortKey(); });
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

    // A possible placement of one more replica: on this engine, after its running order, possibly after an eviction.
    struct Candidate {
        Engine* engine = nullptr;
        LoadSource source = LoadSource::WeightStore;
        base::Duration timeToReady {};
        // Has to be evicted before the load.
        std::optional<base::ModelId> victim;
        base::Duration evictionDelay {};
        int victimClass = 0;
        base::Instant victimLastUsed;
        // The engine can take the order now.
        bool canStart = false;

        // Among equal times, prefers a candidate that can start now, since a running order may take longer than expected.
        auto sortKey() const { return std::tuple(timeToReady, !canStart, victimClass, victimLastUsed, engine->state->inFlight, -engine->free, engine->state->id); }
    };

    // Each request gets one replica in turn, so that no model waits for the last replica of another one.
    void placeModels()
    {
        std::vector<ReplicaRequest> list = replicaRequests();
        releaseUnneededReservations(list);
        m_hasUrgentRequests = std::any_of(list.begin(), list.end(), [](const ReplicaRequest& request) { return request.isUrgent(); });
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

    // Releases reservations beyond the replicas that urgent requests lack. Each remaining reservation for a load from the
    // weight store counts as a load in progress.
    void releaseUnneededReservations(const std::vector<ReplicaRequest>& list)
    {
        std::map<base::ModelId, int64_t> needed;
        for (const ReplicaRequest& request : list)
            needed[request.model->id] = request.isUrgent() ? request.missing : 0;
        for (Engine& engine : m_engines) {
            if (!engine.reserved)
                continue;
            if (needed[*engine.reserved]-- > 0) {
                m_storeLoads += sourceAt(engine, *engine.reserved) == LoadSource::WeightStore ? 1 : 0;
                continue;
            }
            engine.reserved.reset();
            m_planner.m_reserved.erase(engine.state->id);
        }
    }

    // An engine whose memory is reserved for the model and that has no replica assigned in this pass.
    Engine* unassignedReservation(const base::ModelId& model)
    {
        auto found = std::find_if(m_engines.begin(), m_engines.end(), [&](const Engine& engine) { return engine.reserved == model && !engine.assigned.contains(model); });
        return found == m_engines.end() ? nullptr : &*found;
    }

    // Assigns one replica to the engine where it will be ready first and sends the order if the engine can take it. Returns
    // whether an engine was found.
    bool place(const ReplicaRequest& request)
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
        best->engine->assigned.insert(model);
        if (request.demand.waiting && !m_models.at(model).replicas())
            m_result.expected.push_back({ { model, AdapterId() }, best->timeToReady });
        if (best->canStart && best->victim)
            evict(*best, request);
        else if (best->canStart)
            load(*best, request);
        return true;
    }

    Candidate reservedCandidate(Engine& engine, const ReplicaRequest& request) const
    {
        Candidate candidate { &engine, sourceAt(engine, request.model->id) };
        candidate.timeToReady = loadTime(*request.model, candidate.source);
        candidate.canStart = !engine.unavailable;
        if (engine.free >= request.model->memory.value())
            return candidate;
        candidate.timeToReady += m_settings.evictionTime;
        // The order to unload was not accepted, so the memory is still in use.
        bool evictAgain = !engine.unavailable && chooseVictim(engine, request, candidate);
        candidate.canStart = candidate.canStart && evictAgain;
        return candidate;
    }

    // An engine that takes few calls or none gets no further model while others can.
    bool isSparedFromLoads(const PlannedEngine& engine) const
    {
        auto takesFew = [](const PlannedEngine& state) { return state.callLimit || state.pausedUntil; };
        return takesFew(engine) && std::any_of(m_engines.begin(), m_engines.end(), [&](const Engine& other) { return !takesFew(*other.state) && !other.state->draining; });
    }

    std::optional<Candidate> candidateAt(Engine& engine, const ReplicaRequest& request) const
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
        if (!needsEviction)
            return candidate;
        if (!chooseVictim(engine, request, candidate))
            return std::nullopt;
        candidate.timeToReady += candidate.evictionDelay;
        return candidate;
    }

    // A model without waiting callers is not loaded from the weight store while its weights are in the host memory or on the
    // disk of some engine: the store takes ten times as long and blocks the engine for other orders meanwhile.
    bool mayLoadFromStore(const ReplicaRequest& request, Candidate& candidate) const
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
        candidate.canStart = candidate.canStart && m_storeLoads < permits;
        return true;
    }

    // Evicts only for urgent requests: the model that is gone first, and among equals surplus replicas, then the least recently
    // used model. A needed replica of a model that was used within idleBeforeEviction stays.
    bool chooseVictim(Engine& engine, const ReplicaRequest& request, Candidate& candidate) const
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
            return true;
        }
        return false;
    }

    // The victims are the same for all requests, and change only with evictions.
    void findVictims(Engine& engine) const
    {
        if (engine.victimsValidFor == m_evictions)
            return;
        engine.victimsValidFor = m_evictions;
        engine.victims.clear();
        for (const auto& [model, adapters] : engine.state->loaded) {
            if (auto victimClass = evictionClass(engine, model))
                engine.victims.push_back({ model, memoryOf(model), m_settings.evictionTime + drainTime(m_models.at(model)), *victimClass, lastUsed(model) });
        }
        std::stable_sort(engine.victims.begin(), engine.victims.end(), [](const Victim& left, const Victim& right) { return left.sortKey() < right.sortKey(); });
    }

    // Expected time until the calls that a replica runs have ended. Calls of a model last as long as their number divided by
    // their rate; the last of several that end independently takes longer than one.
    base::Duration drainTime(const Model& model) const
    {
        if (!model.demand.running || !model.ready)
            return base::Duration::zero();
        double callSeconds = static_cast<double>(model.demand.running) / std::max(model.demand.callsPerSecond, minCallRate);
        double calls = static_cast<double>(model.demand.running) / static_cast<double>(model.ready);
        double seconds = callSeconds * (calls < 1 ? calls : 1 + std::log(calls));
        return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(std::min(seconds, maxDrainSeconds)));
    }

    base::Instant lastUsed(const base::ModelId& model) const
    {
        auto found = m_planner.m_lastUsed.find({ model, AdapterId() });
        return found == m_planner.m_lastUsed.end() ? base::Instant() : found->second;
    }

    // 0 for a surplus replica or a model missing from the configuration, 1 for a needed replica of an idle model, and nothing
    // for a replica that must stay.
    std::optional<int> evictionClass(const Engine& engine, const base::ModelId& id) const
    {
        if (engine.isUnloading(id))
            return std::nullopt;
        const Model& model = m_models.at(id);
        if (!model.traits || model.replicas() - model.evicted > model.desiredLately)
            return 0;
        bool used = model.demand.waiting || model.demand.running;
        if (used || m_input.now - lastUsed(id) < m_settings.idleBeforeEviction)
            return std::nullopt;
        return 1;
    }

    void load(const Candidate& candidate, const ReplicaRequest& request)
    {
        m_result.orders.push_back({ candidate.engine->state->id, OrderKind::Load, { request.model->id, AdapterId() }, candidate.source, loadTime(*request.model, candidate.source) });
        m_storeLoads += candidate.source == LoadSource::WeightStore && candidate.engine->reserved != request.model->id ? 1 : 0;
        candidate.engine->unavailable = true;
        candidate.engine->free -= request.model->memory.value();
        candidate.engine->ordered.insert(request.model->id);
        m_models.at(request.model->id).loading += 1;
    }

    void evict(const Candidate& candidate, const ReplicaRequest& request)
    {
        m_result.orders.push_back({ candidate.engine->state->id, OrderKind::Unload, { *candidate.victim, AdapterId() }, LoadSource::HostMemory, base::Duration::zero() });
        candidate.engine->unavailable = true;
        m_models.at(*candidate.victim).evicted += 1;
        ++m_evictions;
        m_storeLoads += candidate.source == LoadSource::WeightStore ? 1 : 0;
        // Otherwise the evicted model could be loaded into the freed memory again.
        m_planner.m_reserved[candidate.engine->state->id] = { request.model->id, m_input.now + m_settings.reservationTime };
        candidate.engine->reserved = request.model->id;
    }

    void reportRunningLoads()
    {
        for (const Engine& engine : m_engines) {
            const auto& running = engine.state->running;
            if (!running || running->kind != OrderKind::Load || !hasDemand(running->model))
                continue;
            m_result.expected.push_back({ { running->model, AdapterId() }, base::remaining(m_input.now, running->expectedEnd) });
        }
    }

    bool hasDemand(const base::ModelId& id) const
    {
        const Model* model = findModel(id);
        return model && (model->demand.waiting || model->demand.running || model->demand.callsPerSecond > 0);
    }

    void placeAdapters()
    {
        if (!m_traits.adapterCapacity)
            return;
        std::map<base::UpstreamId, size_t> started;
        for (const auto& [target, demand] : m_targets) {
            if (!target.adapter.empty() && demand.waiting)
                placeAdapter(target, started);
        }
    }

    static int64_t adaptersAt(const PlannedEngine& engine)
    {
        int64_t count = 0;
        for (const auto& [model, adapters] : engine.loaded)
            count += static_cast<int64_t>(adapters.size());
        return count;
    }

    void placeAdapter(const ModelTarget& target, std::map<base::UpstreamId, size_t>& started)
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

    std::optional<ModelTarget> leastRecentlyUsedAdapter(const PlannedEngine& engine) const
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

    PlacementPlanner& m_planner;
    const PlacementSettings& m_settings;
    const PlacementInput& m_input;
    const EngineTraits& m_traits;
    std::vector<Engine> m_engines;
    int64_t m_adapterReserve = 0;
    // Sent in this pass.
    int64_t m_evictions = 0;
    std::map<base::ModelId, Model> m_models;
    std::map<ModelTarget, TargetDemand> m_targets;
    size_t m_storeLoads = 0;
    // Some request of this pass is urgent.
    bool m_hasUrgentRequests = false;
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
    std::set<base::UpstreamId> engines;
    for (const auto& engine : input.engines)
        engines.insert(engine.id);
    if (!std::includes(m_knownEngines.begin(), m_knownEngines.end(), engines.begin(), engines.end()))
        m_lastNewEngine = input.now;
    m_knownEngines = std::move(engines);
    return PlanningPass(*this, input).run();
}

} // namespace toucanstep::planner
