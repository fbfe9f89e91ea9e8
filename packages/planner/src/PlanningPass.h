// Working state of one call of PlacementPlanner::plan(). Its parts are in one file each: the state (PlanningPass.cpp), the models
// that need replicas (ReplicaRequests.cpp), their places (ReplicaPlacement.cpp), what yields (Victims.cpp), adapters
// (AdapterPlacement.cpp), and for services with uneven demand the forecast and slots (UnevenDemand.cpp), the order of requests by
// loss (LossOrder.cpp) and loads ahead of need (LoadAhead.cpp).

#pragma once

#include "toucanstep/planner/ExpectedLoss.h"
#include "toucanstep/planner/PlacementPlan.h"

#include <tuple>

namespace toucanstep::planner {

struct ModelDemand {
    int64_t waiting = 0;
    int64_t running = 0;
    double callsPerSecond = 0;
    // Average number of calls whose prompts are queued or being processed.
    double awaiting = 0;
};

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
    // Uneven demand: the order of urgent requests, the highest first.
    double rank = 0;

    // Callers are waiting, or are delayed by long prefill queues.
    bool isUrgent() const { return demand.waiting || priority == Priority::Saturated; }

    auto sortKey() const { return std::tuple(!isUrgent(), -rank, priority, -demand.waiting, -demand.callsPerSecond, model->id); }
};

class PlacementPlanner::PlanningPass {
public:
    PlanningPass(PlacementPlanner& planner, const PlacementInput& input);
    Placement run();

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
        // The following are set for uneven demand only. Its weights are at some engine that does not hold the model.
        bool hasSpareLocalWeights = false;
        // Slots of its replicas, each divided by the work factor of its engine.
        double slots = 0;
        std::map<base::FailureDomain, double> slotsByDomain;
        // Expected calls in progress when a further replica would be ready.
        double callsAhead = 0;
        // Average of the calls in progress over the last seconds.
        double meanCalls = 0;
        std::map<base::FailureDomain, double> callsAheadByDomain;

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
        // Calls that are late if it yields; 0 without uneven demand.
        double value = 0;

        auto sortKey() const { return std::tuple(delay, value, victimClass, lastUsed); }
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
        // With uneven demand, compared instead of the above: small differences matter less than what follows.
        std::optional<base::Duration> comparedTime;
        // The following are 0 without uneven demand. Calls of the engine's failure domain that no replica there has slots for.
        int64_t uncovered = 0;
        int64_t victimValue = 0;
        double workFactor = 0;
        bool lacksPermit = false;

        // Among equal times, prefers a candidate that can start now, since a running order may take longer than expected.
        auto sortKey() const { return std::tuple(comparedTime.value_or(timeToReady), !canStart, -uncovered, victimValue, workFactor, victimClass, victimLastUsed, engine->state->inFlight, -engine->free, engine->state->id); }
    };

    void addEngine(const PlannedEngine& state);
    // A model that is asked for more often than its part of the engine's limit needs a replica elsewhere, and so does one whose
    // callers wait for the end of the engine's pause, if another replica is ready before.
    void leaveOutUnavailable(const Engine& engine);
    static base::Duration shortestLoadTime(const Model& model);
    static bool loadsFromStore(const PlannedEngine& engine);
    std::optional<base::ModelId> reservationAt(const PlannedEngine& engine);
    void addDemand(const TargetDemand& entry);
    const Model* findModel(const base::ModelId& id) const;
    int64_t memoryOf(const base::ModelId& id) const;
    // Memory for a full set of the largest adapters, kept free because adapters of any model may be loaded later.
    int64_t adapterReserve() const;
    int64_t freeMemory(const PlannedEngine& engine) const;
    int64_t desiredReplicas(const Model& model) const;
    void setDesiredReplicas(const base::ModelId& id, Model& model);
    // Its calls need nearly all slots of its replicas, those being loaded included. A further replica that takes seconds to load
    // is not worth its part of the weight store for a shorter queue.
    bool lacksSlots(const Model& model) const;
    bool isSaturated(const Model& model) const;
    std::vector<ReplicaRequest> replicaRequests() const;
    LoadSource sourceAt(const Engine& engine, const base::ModelId& model) const;
    static base::Duration loadTime(const ModelTraits& model, LoadSource source);
    // Each request gets one replica in turn, so that no model waits for the last replica of another one.
    void placeModels();
    // Releases reservations beyond the replicas that urgent requests lack. Each remaining reservation for a load from the
    // weight store counts as a load in progress.
    void releaseUnneededReservations(const std::vector<ReplicaRequest>& list);
    // An engine whose memory is reserved for the model and that has no replica assigned in this pass.
    Engine* unassignedReservation(const base::ModelId& model);
    // Assigns one replica to the engine where it will be ready first and sends the order if the engine can take it. Returns
    // whether an engine was found.
    bool place(const ReplicaRequest& request);
    Candidate reservedCandidate(Engine& engine, const ReplicaRequest& request) const;
    // An engine that takes few calls or none gets no further model while others can.
    bool isSparedFromLoads(const PlannedEngine& engine) const;
    std::optional<Candidate> candidateAt(Engine& engine, const ReplicaRequest& request) const;
    // A model without waiting callers is not loaded from the weight store while its weights are in the host memory or on the
    // disk of some engine: the store takes ten times as long and blocks the engine for other orders meanwhile.
    bool mayLoadFromStore(const ReplicaRequest& request, Candidate& candidate) const;
    // Evicts only for urgent requests: the model that is gone first, and among equals surplus replicas, then the least recently
    // used model. A needed replica of a model that was used within idleBeforeEviction stays.
    bool chooseVictim(Engine& engine, const ReplicaRequest& request, Candidate& candidate) const;
    // The victims are the same for all requests, and change only with evictions.
    void findVictims(Engine& engine) const;
    // Expected time until the calls that a replica runs have ended. Calls of a model last as long as their number divided by
    // their rate; the last of several that end independently takes longer than one.
    base::Duration drainTime(const Model& model) const;
    base::Instant lastUsed(const base::ModelId& model) const;
    // 0 for a surplus replica or a model missing from the configuration, 1 for a needed replica of an idle model, and nothing
    // for a replica that must stay.
    std::optional<int> evictionClass(const Engine& engine, const base::ModelId& id) const;
    void load(const Candidate& candidate, const ReplicaRequest& request);
    void evict(const Candidate& candidate, const ReplicaRequest& request);
    void reportRunningLoads();

    // Uneven demand.
    void observeDemand();
    void startPermits();
    // Slots that a replica at the engine has for calls of usual length.
    static double effectiveSlots(const PlannedEngine&);
    // The same for an average engine of the fleet.
    double slotsOfReplica() const;
    // Adds the slots of a replica at the engine, or takes them away for -1.
    void countSlots(Model&, const PlannedEngine&, int sign);
    ModelLoad loadOf(const Model&) const;
    static base::Duration timeOfNextLoad(const Model&);
    // The time rounded up to steps of an eviction.
    base::Duration stepsOf(base::Duration) const;
    // Calls that are late if the engine's replica of the model yields.
    double valueOfPlace(const Engine&, const Model&) const;
    // Other replicas have slots for all its calls, with a margin.
    bool isCoveredWithout(const Engine&, const Model&) const;
    // Sets what is compared at candidates of equal time: steps of time, the failure domain, the value of the victim, the speed.
    void compareUneven(const ReplicaRequest&, Candidate&) const;
    // A candidate that would load from the weight store starts only with a permit.
    void requirePermit(const ReplicaRequest&, Candidate&) const;
    // Gives each next replica to the request with the largest expected loss.
    void placeByLoss(std::vector<ReplicaRequest>&);
    void rankRequests(std::vector<ReplicaRequest>&) const;
    // Records which models still wait for their turn.
    void recordUnplaced(const std::vector<ReplicaRequest>&);
    void noteUnplaced(const std::vector<ReplicaRequest>&);
    PlacementObstacle obstacleTo(const ReplicaRequest&) const;
    // Where the weight store is idle and no urgent request waits for it, puts the busiest model that is on few disks onto a further one.
    void loadAhead();
    // An engine that can take it now, in free memory or in that of a replica whose place is worth nothing.
    std::optional<Candidate> placeAhead(const Model&);

    bool hasDemand(const base::ModelId& id) const;
    void placeAdapters();
    static int64_t adaptersAt(const PlannedEngine& engine);
    void placeAdapter(const ModelTarget& target, std::map<base::UpstreamId, size_t>& started);
    std::optional<ModelTarget> leastRecentlyUsedAdapter(const PlannedEngine& engine) const;

    PlacementPlanner& m_planner;
    // Null without uneven demand.
    UnevenState* m_uneven;
    const PlacementSettings& m_settings;
    const PlacementInput& m_input;
    const EngineTraits& m_traits;
    std::vector<Engine> m_engines;
    int64_t m_adapterReserve = 0;
    // Slots of an average engine, once computed.
    mutable double m_slotsOfReplica = 0;
    // Sent in this pass.
    int64_t m_evictions = 0;
    std::map<base::ModelId, Model> m_models;
    std::map<ModelTarget, TargetDemand> m_targets;
    size_t m_storeLoads = 0;
    // Some request of this pass is urgent.
    bool m_hasUrgentRequests = false;
    // Models of which this pass has ordered a replica or an eviction for one.
    std::set<base::ModelId> m_orderedFor;
    // Why the last candidate of a model could not start.
    std::map<base::ModelId, PlacementObstacle> m_obstacles;
    Placement m_result;
};

} // namespace toucanstep::planner
