// Plans the assignment of model and adapter replicas to upstreams.
//
//     auto intents = planner.plan(input);   // the assignments library applies them by compare-and-swap
//
// Every model has at least one row, its home, even while it is not loaded. Planning is deterministic: the same sequence of
// inputs yields the same intents. Existing assignments are stable: a row moves only if its holder is gone, is leaving or no
// longer fits the model, or in one of the few rebalancing steps per tick. Any gateway may plan: each intent carries the
// expected revision of its row, so only one of two conflicting writes succeeds.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/config/Configuration.h"
#include "toucanstep/placement/Checkpoints.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace toucanstep::placement {

// Identifies a row among those of its model. A model without demand usually has one row, its home.
using ReplicaSlot = base::StrongNumber<struct ReplicaSlotTag>;

enum class HolderPresence {
    Present,
    // Unreachable but not confirmed gone: its rows stay, and replacement rows are added meanwhile. An instance that is not
    // in the input counts as missing.
    Missing,
    // Draining: finishes running requests and accepts no new ones.
    Leaving,
    // Confirmed absent for long enough that its rows may move. An expired lease alone does not confirm this.
    Gone,
};

struct CachedCheckpoint {
    base::ModelId model;
    CheckpointTier tier = CheckpointTier::Disk;
};

struct EngineInstance {
    base::UpstreamId id;
    base::PoolId pool;
    base::FailureDomain domain;
    base::Bytes memory;
    HolderPresence presence = HolderPresence::Present;
    std::vector<CachedCheckpoint> cached;
};

struct ReplicaRow {
    base::ModelId model;
    ReplicaSlot slot;
    base::UpstreamId holder;
    base::Epoch epoch;
    // The revision of the row's last write.
    base::Revision modified;
    // The holder was asked to release the row.
    bool releaseAsked = false;
    // The holder released the row, which has no holder now.
    bool released = false;
};

// Demand for one model across all gateways since the last tick. Models without requests may be omitted.
struct ModelDemand {
    base::ModelId model;
    // Mean number of running and waiting requests, in thousandths.
    int64_t concurrencyThousandths = 0;
    // Requests that were refused or late because no replica was available.
    int64_t misses = 0;
};

enum class IntentKind {
    // Create a row for the given holder.
    Add,
    // Ask the holder to unload the model and release the row.
    AskRelease,
    // Assign a row that was released, or whose holder is gone, to another holder.
    Move,
    // Delete a row that was released, or whose holder is gone.
    Remove,
};

enum class IntentReason {
    Home,
    MinimumReplicas,
    Demand,
    Cold,
    HolderGone,
    HolderLeaving,
    // Replaces a row whose holder is missing, is leaving or was asked to release it.
    Replacement,
    // The adapter's holder has no usable row of the base model.
    BaseElsewhere,
    ModelDropped,
    DoesNotFit,
    Rebalance,
    // The holder released the row.
    Released,
};
std::string_view intentReasonName(IntentReason);

struct ReplicaIntent {
    IntentKind kind = IntentKind::Add;
    IntentReason reason = IntentReason::Home;
    base::ModelId model;
    ReplicaSlot slot;
    // The new holder for Add and Move, the current one otherwise.
    base::UpstreamId holder;
    // Expected revision for the compare-and-swap, as read by the planner; 0 if the row must not exist.
    base::Revision expected;
    base::Epoch epoch;
};

struct PlanInput {
    base::Instant now;
    const config::Configuration* configuration = nullptr;
    std::vector<EngineInstance> instances;
    std::vector<ReplicaRow> rows;
    std::vector<ModelDemand> demand;
};

struct PlannerSettings {
    // Maximum number of intents per tick; the rest follow in later ticks. Models without a usable row are planned first.
    size_t maximumIntents = 256;
    size_t maximumRebalancing = 2;
    // Rebalancing starts once the memory utilization of the fullest and the emptiest instance of a pool differ by more than
    // this many percentage points.
    int64_t rebalanceGapPercent = 75;
    // Target slot utilization of a replica, from which the number of replicas follows.
    int64_t targetUtilisationPercent = 70;
    // A surplus of replicas must last this long before one is released.
    base::Duration scaleDownDelay = std::chrono::minutes(5);
};

class Planner {
public:
    explicit Planner(PlannerSettings);
    std::vector<ReplicaIntent> plan(const PlanInput&);

private:
    PlannerSettings m_settings;
    // When each model's replica surplus began. Not persisted, so a planner that takes over starts the delay again.
    std::map<base::ModelId, base::Instant> m_surplusSince;
};

} // namespace toucanstep::placement
