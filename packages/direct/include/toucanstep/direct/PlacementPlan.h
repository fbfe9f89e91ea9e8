// Decides which models and adapters the engines are ordered to load and unload.
//
// The planner sees each engine with what it holds, the order that it is carrying out, and the demand over all gateways. It
// gives at most one model order to an engine at a time. Loads from the weight store are the scarce part: only so many run
// at full speed, so models that are loaded nowhere go first, those with callers waiting before the others, and a second
// copy of a busy model comes before an idle model's first one only if its copies are full. Memory is counted with what is
// under way, and what is being unloaded counts until the engine shows it gone, so no order asks for more than fits.

#pragma once

#include "toucanstep/direct/DesiredState.h"
#include "toucanstep/direct/FleetReports.h"
#include "toucanstep/direct/Upstream.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace toucanstep::direct {

enum class LoadSource {
    WeightStore,
    HostMemory,
    Disk,
};

std::string_view toText(LoadSource);

// A model order that an engine has been given and has not shown as done.
struct RunningOrder {
    OrderKind kind = OrderKind::Load;
    base::ModelId model;
    LoadSource source = LoadSource::WeightStore;
    // The time that it takes by the text.
    base::Duration expected {};
    base::Instant expectedEnd;
};

struct PlannedEngine {
    base::UpstreamId id;
    base::FailureDomain domain;
    // What it holds, with adapters whose load was ordered.
    LoadedModels loaded;
    std::set<base::ModelId> inHostMemory;
    std::set<base::ModelId> onDisk;
    int64_t slots = 1;
    int64_t inFlight = 0;
    std::optional<RunningOrder> running;
    // Takes no orders for now: it drains, its state is being read, or its last order's outcome is not known.
    bool blocked = false;
    // It will be gone soon: what it holds does not count as held.
    bool leaving = false;
    size_t adaptersInTransit = 0;
    // Adapters that it was ordered to unload and that calls still use.
    std::set<ModelTarget> adaptersLeaving;
    // It carries out an order of the planner before: what it loads is not known, and it may come from the weight store.
    bool busyUnknown = false;
};

struct PlacementInput {
    base::Instant now;
    const EngineTraits* traits = nullptr;
    std::vector<PlannedEngine> engines;
    std::vector<TargetDemand> demand;
    // Loads from the weight store that may run at once; above that each takes longer in proportion and none ends earlier.
    size_t maxStoreLoads = 4;
};

struct PlannedOrder {
    base::UpstreamId upstream;
    OrderKind kind = OrderKind::Load;
    ModelTarget target;
    LoadSource source = LoadSource::WeightStore;
    base::Duration expected {};
};

struct Placement {
    std::vector<PlannedOrder> orders;
    // For targets with demand that no engine holds.
    std::vector<ExpectedLoad> expected;
};

struct PlacementSettings {
    // Adapters that may be on their way to one engine at once (the engines' page).
    size_t adaptersInTransit = 4;
    // One more copy of a model is wanted for each such part of an engine's slots in use.
    double slotsPerCopy = 0.5;
    // An engine reads prompts one after the other. Calls that stand in that queue, on average, are added up over a model's
    // copies; one more copy is wanted for each such part of an engine's time that they show to be in use.
    double readingTimePerCopy = 0.6;
    // Where this much of its copies' time is in use, callers wait as for a model without a free slot.
    double readingTimeOverrun = 0.75;
    // A model with more calls than this a second has two copies, so that the loss of one engine does not stop it.
    double callsPerSecondForTwo = 4;
    // A model that nobody has used for this long may lose its last copy to one that callers wait for. Far below the time
    // between two calls for a rare model: memory for all of them is short, and a load from an engine's disk takes less
    // than a second.
    base::Duration idleBeforeEviction = std::chrono::milliseconds(700);
    // From the order to unload an idle model until the engine has shown that it is gone.
    base::Duration evictionTime = std::chrono::milliseconds(250);
    // An order that takes longer than expected is expected to take this much more, and a way to load a model that has to
    // wait for it is taken only if it is sooner all the same.
    base::Duration overdue = std::chrono::seconds(1);
    // How long room that was made for a model is kept for it.
    base::Duration reservation = std::chrono::seconds(2);
};

class PlacementPlanner {
public:
    explicit PlacementPlanner(PlacementSettings);
    Placement plan(const PlacementInput&);

private:
    struct Want;
    class Round;

    struct Reservation {
        base::ModelId model;
        base::Instant until;
    };

    PlacementSettings m_settings;
    std::map<base::UpstreamId, Reservation> m_reserved;
    // When a target was last seen with demand.
    std::map<ModelTarget, base::Instant> m_lastWanted;
};

} // namespace toucanstep::direct
