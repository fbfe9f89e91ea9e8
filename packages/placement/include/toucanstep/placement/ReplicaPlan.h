// Decides which upstream holds which replica row of each model and adapter.
//
//     auto intents = planner.plan(input);   // the assignments library turns them into compare-and-swaps
//
// Every model keeps at least one row, its home, also while it is not loaded. The same inputs in the same order give the
// same intents. What stands is kept: a row moves only if its holder is gone, leaves, does not fit any more, or by a few
// rebalancing steps each tick. Any gateway may plan: an intent names the row's revision, so that only one of two wins.

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

// Numbers the rows of one model. A model without demand has one row, its home.
using ReplicaSlot = base::StrongNumber<struct ReplicaSlotTag>;

enum class HolderPresence {
    Present,
    // Not heard, and not proved absent: its rows stay, and others are added in their place meanwhile. An instance that
    // is not in the input counts as missing.
    Missing,
    // Finishes what runs and takes nothing new.
    Leaving,
    // Proved absent for long enough that its rows may move; a lapsed lease alone is no proof.
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
    // The revision that last wrote the row.
    base::Revision modified;
    // The holder was asked to give it back.
    bool releaseAsked = false;
    // The holder gave it back: the row has no holder.
    bool released = false;
};

// Demand for one model over all gateways since the last tick. Models without requests may be left out.
struct ModelDemand {
    base::ModelId model;
    // Mean number of requests running or waiting, in thousandths.
    int64_t concurrencyThousandths = 0;
    // Requests refused or late for want of a replica.
    int64_t misses = 0;
};

enum class IntentKind {
    // Create the row for the named holder.
    Add,
    // Ask the holder to unload and give the row back.
    AskRelease,
    // Give the row, whose holder released it or is gone, to another holder.
    Move,
    // Delete a row that was released or whose holder is gone.
    Remove,
};

enum class IntentReason {
    Home,
    MinimumReplicas,
    Demand,
    Cold,
    HolderGone,
    HolderLeaving,
    // Stands in for a row whose holder is missing, leaves or gives it back.
    Replacement,
    // The adapter's holder does not hold its base model.
    BaseElsewhere,
    ModelDropped,
    DoesNotFit,
    Rebalance,
    // The holder gave the row back.
    Released,
};
std::string_view intentReasonName(IntentReason);

struct ReplicaIntent {
    IntentKind kind = IntentKind::Add;
    IntentReason reason = IntentReason::Home;
    base::ModelId model;
    ReplicaSlot slot;
    // The new holder of Add and Move, the present one otherwise.
    base::UpstreamId holder;
    // The compare-and-swap's condition: the revision of the row as planned upon; 0 for a row that must not exist.
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
    // Most intents of one tick; the rest follows in the next ones. Homes go first.
    size_t maximumIntents = 256;
    size_t maximumRebalancing = 2;
    // Rebalancing begins once the fullest instance is assigned this many percent of its memory more than the emptiest.
    int64_t rebalanceGapPercent = 75;
    // A replica is wanted for each such part of an instance's slots in use, in percent.
    int64_t targetUtilisationPercent = 70;
    // Fewer replicas must have been enough for this long before one is taken back.
    base::Duration takeBackAfter = std::chrono::minutes(5);
};

class Planner {
public:
    explicit Planner(PlannerSettings);
    std::vector<ReplicaIntent> plan(const PlanInput&);

private:
    PlannerSettings m_settings;
    // Since when a model has had more replicas than it needs. A planner that takes over begins anew: it takes back later.
    std::map<base::ModelId, base::Instant> m_surplusSince;
};

} // namespace toucanstep::placement
