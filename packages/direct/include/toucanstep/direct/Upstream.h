// What the platform's list and the planner's announcements say of one upstream.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/direct/Call.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanstep::direct {

// Tells one start of an upstream from the next under the same id.
using StartId = base::StrongNumber<struct StartIdTag>;

// Models by name, each with the adapters that are loaded for it.
using LoadedModels = std::map<base::ModelId, std::set<AdapterId>>;

struct UpstreamDescription {
    base::UpstreamId id;
    base::ServiceId service;
    base::Endpoint endpoint;
    base::FailureDomain domain;
    StartId start;
    int64_t slots = 1;
    bool draining = false;
    LoadedModels loaded;
    // Models whose weights lie in the engine's host memory, and on its disk.
    std::set<base::ModelId> inHostMemory;
    std::set<base::ModelId> onDisk;
    // Orders accepted since its start.
    int64_t orders = 0;
};

// Calls at an upstream.
struct UpstreamLoad {
    int64_t inFlight = 0;
    // Of these, calls whose answer has not begun: they stand in the queue for the reading of their prompts.
    int64_t awaiting = 0;
};

// An engine's own report of its state.
struct EngineReport {
    // Where the report says it.
    std::optional<StartId> start;
    LoadedModels loaded;
    std::set<base::ModelId> inHostMemory;
    std::set<base::ModelId> onDisk;
    // Adapters on their way, which count toward the capacity.
    std::set<ModelTarget> pending;
    int64_t orders = 0;
    bool busy = false;
};

enum class OrderKind {
    Load,
    Unload,
};

struct EngineOrder {
    base::UpstreamId upstream;
    OrderKind kind = OrderKind::Load;
    ModelTarget target;
    // Orders that the engine must have accepted before this one; another count refuses it.
    int64_t expectedOrders = 0;
    std::string holder;
    base::Epoch fence;
};

enum class OrderOutcome {
    // It is being carried out.
    Accepted,
    // It held before, or was carried out at once.
    AlreadyHolds,
    // Another order is under way, or the count differs: read the report again.
    Conflict,
    // A newer holder has given an order.
    Fenced,
    // Another engine has the address.
    OtherEngine,
    Refused,
    // It may have been accepted, or may be carried out later.
    Unknown,
};

} // namespace toucanstep::direct
