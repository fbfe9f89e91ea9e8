// Decides which models and adapters the engines load and unload.
//
// The planner's input is the state of each engine, the order it is executing, and the demand summed over all gateways. An
// engine gets at most one model order at a time. Loads from the weight store are the scarce resource, since only a few run
// at full speed. Models that are loaded nowhere and have waiting callers come first, then further replicas of saturated
// models, then models that are loaded nowhere and have no waiting callers, then further replicas of busy models. A model
// occupies memory from the order to load it until a report no longer lists it, so no order exceeds an engine's memory.
//
// For a service with uneven demand (PlacementInput::unevenDemand) the order of urgent requests is their expected loss, see
// ExpectedLoss, and docs/design/uneven-demand.md.

#pragma once

#include "toucanstep/planner/DemandForecast.h"
#include "toucanstep/planner/Imports.h"
#include "toucanstep/planner/StorePermits.h"
#include "toucanstep/serving/Demand.h"
#include "toucanstep/serving/DesiredState.h"
#include "toucanstep/serving/Upstream.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace toucanstep::planner {

enum class LoadSource {
    WeightStore,
    HostMemory,
    Disk,
};

std::string_view toText(LoadSource);

// A model order that was sent to an engine and that no report shows as done yet.
struct RunningOrder {
    OrderKind kind = OrderKind::Load;
    base::ModelId model;
    LoadSource source = LoadSource::WeightStore;
    // Load time from the model's configuration.
    base::Duration expected {};
    base::Instant expectedEnd;
};

struct PlannedEngine {
    base::UpstreamId id;
    base::FailureDomain domain;
    // Includes adapters whose load has been ordered.
    LoadedModels loaded;
    std::set<base::ModelId> inHostMemory;
    std::set<base::ModelId> onDisk;
    int64_t slots = 1;
    // How long work takes on the engine, where 1 is usual.
    double workFactor = 1;
    int64_t inFlight = 0;
    std::optional<RunningOrder> running;
    // Accepts no orders for now: it is draining, a request to it is pending, its state has not been reported, or the outcome of
    // its last order is unknown.
    bool blocked = false;
    // Will be gone soon; its models are not counted as replicas.
    bool draining = false;
    // It has asked some gateway for a pause, which ends then.
    std::optional<base::Instant> pausedUntil;
    // The calls per second that it takes for all its models together, if it advertises a limit.
    std::optional<double> callLimit;
    size_t adaptersLoading = 0;
    // Adapters with an unload order that calls may still use.
    std::set<ModelTarget> adaptersUnloading;
    // Executes an order of a previous planner: the model is not known, and it may be loaded from the weight store.
    bool runsUnknownOrder = false;
};

// Waiting and running calls for a model from the gateways of one failure domain.
struct DomainDemand {
    base::ModelId model;
    base::FailureDomain domain;
    int64_t calls = 0;
};

struct PlacementInput {
    base::Instant now;
    base::ServiceId service;
    const EngineTraits* traits = nullptr;
    std::vector<PlannedEngine> engines;
    std::vector<TargetDemand> demand;
    // Concurrent loads from the weight store. Above this number each load slows down in proportion and none ends earlier.
    size_t maxStoreLoads = 4;
    // Models are placed by the trend of their demand in each failure domain and by the loss that each place avoids.
    bool unevenDemand = false;
    // The demand by failure domain; only used for uneven demand. If empty, all demand counts as one failure domain's.
    std::vector<DomainDemand> demandByDomain;
    // Time within which each gateway reports its whole demand.
    base::Duration demandReportInterval = std::chrono::milliseconds(200);
};

struct PlannedOrder {
    base::UpstreamId upstream;
    OrderKind kind = OrderKind::Load;
    ModelTarget target;
    LoadSource source = LoadSource::WeightStore;
    base::Duration expected {};
    // No caller needs the replica yet; the weight store is idle.
    bool ahead = false;
};

enum class PlacementObstacle {
    // The weight store runs as many loads as it carries.
    NoPermit,
    // Each engine holds the model, is draining, or is reserved for another model.
    NoEngine,
    // No engine has free memory, and none holds a model that may be evicted.
    Memory,
    // The best engine executes another order, or evicts a model for this replica.
    OrderInProgress,
};

std::string_view toText(PlacementObstacle);

// A model whose replicas are full while most slots of the fleet are free, and for which no replica could be ordered.
struct UnplacedReplica {
    base::ModelId model;
    PlacementObstacle obstacle = PlacementObstacle::NoEngine;
    int64_t waiting = 0;
};

struct Placement {
    std::vector<PlannedOrder> orders;
    // For targets with demand that are being loaded or that no engine holds.
    std::vector<ExpectedLoad> expected;
    // At most one entry per second for each model.
    std::vector<UnplacedReplica> unplaced;
};

struct PlacementSettings {
    // Concurrent adapter loads per engine, as documented for the engines.
    size_t maxAdaptersLoading = 4;
    // A model gets one replica per this fraction of an engine's slots that its calls occupy.
    double slotsPerReplica = 0.5;
    // Above this fraction of its replicas' slots in use, a model may get a replica from the weight store.
    double slotsInUseBeforeStoreLoad = 0.85;
    // An engine processes prompts sequentially. The share of time spent on prefill is derived from the average number of calls
    // in the prefill queues of a model's replicas; the model gets one replica per this fraction of an engine's time.
    double prefillUtilizationPerReplica = 0.6;
    // Above this average prefill utilization of its replicas a model counts as saturated, as one without a free slot does.
    double saturatedPrefillUtilization = 0.75;
    // A model with a higher call rate gets at least two replicas, so that it survives the loss of one engine.
    double callsPerSecondForTwoReplicas = 4;
    // A model unused for this long may lose its last replica to a model with waiting callers. The value is far below the
    // interval between calls for a rare model, since memory cannot hold all models and a load from an engine's disk takes
    // less than a second.
    base::Duration idleBeforeEviction = std::chrono::milliseconds(700);
    // From the order to unload an idle model until a report no longer lists it.
    base::Duration evictionTime = std::chrono::milliseconds(250);
    // Least remaining time assumed for a running order, also for an overdue one. It counts toward the time to ready of a
    // load that has to wait for that order.
    base::Duration overdueAllowance = std::chrono::seconds(1);
    // How long memory freed by an eviction stays reserved for the model it was freed for.
    base::Duration reservationTime = std::chrono::seconds(2);
    // How long it stays reserved while the unload waits for running calls. An engine that does not report its end by then may
    // have stopped, and the model is loaded elsewhere.
    base::Duration longestUnload = std::chrono::seconds(5);
    // A replica is surplus once fewer have been desired for this long. Hysteresis: demand swings within seconds, and a replica
    // that is evicted in a trough is loaded again at the next peak.
    base::Duration surplusAfter = std::chrono::seconds(3);
    // Engines are listed one after the other when a fleet starts. Until none has been added for this long, a model that no
    // listed engine holds may be loaded at one that is not listed yet.
    base::Duration fleetSettlingTime = std::chrono::seconds(2);
    // Uneven demand: after this many loads from the weight store, an urgent request that was not placed comes before each new one.
    int turnLoads = 2;
    // Uneven demand: a model with at least this fraction of an engine's slots in use is loaded ahead onto further disks.
    double busySlots = 0.25;
};

class PlacementPlanner {
public:
    explicit PlacementPlanner(PlacementSettings);
    Placement plan(const PlacementInput&);

private:
    struct ReplicaRequest;
    class PlanningPass;

    struct Reservation {
        base::ModelId model;
        base::Instant until;
    };
    // For each service with uneven demand.
    struct UnevenState {
        DemandForecast forecast;
        StorePermits permits;
        // Since when a model has an urgent request of which no replica has been ordered.
        std::map<base::ModelId, base::Instant> unplacedSince;
        std::map<base::ModelId, base::Instant> nextUnplacedNotice;
    };
    struct DesiredPeak {
        int64_t replicas = 0;
        base::Instant until;
    };

    PlacementSettings m_settings;
    std::map<base::UpstreamId, Reservation> m_reserved;
    // The last time at which a target had waiting or running calls.
    std::map<ModelTarget, base::Instant> m_lastUsed;
    // The most replicas desired lately.
    std::map<base::ModelId, DesiredPeak> m_desiredPeaks;
    std::set<base::UpstreamId> m_knownEngines;
    base::Instant m_lastNewEngine;
    std::map<base::ServiceId, UnevenState> m_uneven;
};

} // namespace toucanstep::planner
