// Demand and placement as gateways and the planner tell each other, and the interval at which they do.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/serving/Call.h"
#include "toucanstep/serving/Upstream.h"

#include <algorithm>
#include <map>
#include <vector>

namespace toucanstep::serving {

constexpr auto minLoadReportInterval = std::chrono::milliseconds(100);

// Interval of load reports in a fleet of that many gateways, such that each receives no more than a fixed number per second.
// Fleet-wide limits depend on it (see AccountLimits::setReportInterval).
inline base::Duration loadReportInterval(size_t gateways)
{
    constexpr int reportsPerSecond = 400;
    constexpr base::Duration second = std::chrono::seconds(1);
    return std::max<base::Duration>(minLoadReportInterval, second * static_cast<int64_t>(gateways) / reportsPerSecond);
}

// Calls that wait because all slots of the upstreams that could run them are in use.
struct QueuedCalls {
    // Can still be answered within their latency target.
    int64_t inTime = 0;
    int64_t late = 0;

    int64_t total() const { return inTime + late; }
    bool operator==(const QueuedCalls&) const = default;
};

// The calls for a model of a service, over all adapters; the model is empty for a service without models.
struct ModelQueue {
    base::ServiceId service;
    base::ModelId model;

    auto operator<=>(const ModelQueue&) const = default;
};

// By priority, 0 being the most urgent.
using QueuedCallsByPriority = std::map<int64_t, QueuedCalls>;
using QueuedCallCounts = std::map<ModelQueue, QueuedCallsByPriority>;

struct TargetDemand {
    ModelTarget target;
    int64_t waiting = 0;
    int64_t running = 0;
    // Arrival rate over the last seconds, in calls per thousand seconds.
    int64_t arrivalsPerKilosecond = 0;
    // Calls at engines without a first byte of the answer, averaged over the last second or two, in thousandths.
    int64_t awaitingThousandths = 0;
};

// A model order that an engine is executing.
struct ExecutingOrder {
    base::UpstreamId upstream;
    StartId start;
    OrderKind kind = OrderKind::Load;
    base::ModelId model;
    bool fromWeightStore = false;
    // Load time from the model's configuration.
    base::Duration expected {};
    // Since the order was sent.
    base::Duration age {};
};

// What a planner passes on to the next one. Engines report that they are busy, but not with which order.
struct PlannerState {
    std::vector<ExecutingOrder> orders;
    // The learned limit on concurrent loads from the weight store; 0 if unknown.
    int64_t maxStoreLoads = 0;
};

// The state of an earlier planner, as reported under its fencing token.
struct PlannerHandover {
    base::Epoch fence;
    PlannerState state;
};

// A target that was loaded or is being unloaded, known to the planner before the upstream list shows it.
struct LoadedNotice {
    base::UpstreamId upstream;
    StartId start;
    ModelTarget target;
    bool loaded = false;
};

// Expected time until a target that is loaded nowhere will be loaded. Targets that no engine can take have no entry.
struct ExpectedLoad {
    ModelTarget target;
    base::Duration in {};
};

} // namespace toucanstep::serving
