// The state of one upstream as published in the platform's list, its reports, and the orders sent to it.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/serving/Call.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace toucanstep::serving {

// Distinguishes the starts of an upstream's process under the same id.
using StartId = base::StrongNumber<struct StartIdTag>;

// Loaded models, each with its loaded adapters.
using LoadedModels = std::map<base::ModelId, std::set<AdapterId>>;

struct UpstreamDescription {
    base::UpstreamId id;
    base::ServiceId service;
    base::Endpoint endpoint;
    base::FailureDomain domain;
    // Empty if the region of the domain is not known.
    base::RegionId region;
    StartId start;
    int64_t slots = 1;
    bool draining = false;
    // How much longer the upstream is cold; zero for a warm one.
    base::Duration coldFor {};
    LoadedModels loaded;
    // Models whose weights are cached in the engine's host memory or on its disk.
    std::set<base::ModelId> inHostMemory;
    std::set<base::ModelId> onDisk;
    // Number of orders accepted since the start.
    int64_t orders = 0;
};

// Calls in flight at an upstream.
struct UpstreamLoad {
    int64_t inFlight = 0;
    // Calls whose response has not begun; their prompts are queued or being processed.
    int64_t awaiting = 0;

    bool operator==(const UpstreamLoad&) const = default;
};

// An engine's own report of its state.
struct EngineReport {
    // Set if the report includes it.
    std::optional<StartId> start;
    LoadedModels loaded;
    std::set<base::ModelId> inHostMemory;
    std::set<base::ModelId> onDisk;
    // Adapters being loaded; they count toward the adapter capacity.
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
    // The engine rejects the order unless it has accepted exactly this many orders before.
    int64_t expectedOrders = 0;
    std::string holder;
    base::Epoch fence;
};

enum class OrderOutcome {
    // The engine is executing the order.
    Accepted,
    // The requested state was in place already, or the order was completed immediately.
    AlreadyHolds,
    // Another order is running, or the order count differs; the state must be read again.
    Conflict,
    // The engine has seen an order with a newer fencing token.
    Fenced,
    // The address now belongs to another engine.
    OtherEngine,
    Refused,
    // No response: the order may have been accepted, or may be executed later.
    Unknown,
};

} // namespace toucanstep::serving
