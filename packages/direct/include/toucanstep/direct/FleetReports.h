// Reports that gateways exchange as datagrams. A complete report supersedes all earlier ones of its kind; the reports between
// two complete ones hold the values that have changed, and earlier builds ignore them. So loss and duplication are harmless.

#pragma once

#include "toucanstep/direct/AccountLimits.h"
#include "toucanstep/direct/Call.h"
#include "toucanstep/direct/CrashAttribution.h"
#include "toucanstep/direct/FleetShare.h"
#include "toucanstep/direct/Upstream.h"
#include "toucanstep/direct/UpstreamAvailability.h"
#include "toucanstep/direct/UpstreamCallLimits.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace toucanstep::direct {

constexpr auto minLoadReportInterval = std::chrono::milliseconds(100);

// Interval of load reports in a fleet of that many gateways, such that each receives no more than a fixed number per second.
// Fleet-wide limits depend on it (see AccountLimits::setReportInterval).
inline base::Duration loadReportInterval(size_t gateways)
{
    constexpr int reportsPerSecond = 400;
    constexpr base::Duration second = std::chrono::seconds(1);
    return std::max<base::Duration>(minLoadReportInterval, second * static_cast<int64_t>(gateways) / reportsPerSecond);
}

struct ReportSender {
    base::InstanceId instance;
    Incarnation incarnation;
    // Increases with each report of one incarnation; receivers drop reports older than the last one.
    int64_t sequence = 0;
};

struct UpstreamUse {
    base::UpstreamId upstream;
    // Only the sender's own calls.
    UpstreamLoad load;
};

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

// Sent to all gateways.
struct LoadReport {
    ReportSender sender;
    ConfigurationVersion configuration;
    // Store revision of each part of the sender's replica.
    std::vector<base::Revision> directories;
    bool leaving = false;
    std::vector<UpstreamUse> use;
    LimitReport limits;
    // The sender's own waiting calls. Earlier builds do not send it.
    QueuedCallCounts queued;
    // The sender's failure domain; only in a complete report. Earlier builds do not send it.
    base::FailureDomain domain;
    // What the sender has heard itself of the limits of upstreams. Earlier builds do not send it.
    std::vector<HeardCallLimit> callLimits;
    // What the sender has heard itself of when upstreams take requests. Earlier builds do not send it.
    std::vector<HeardAvailability> availability;
    // Earlier builds do not send it, and ignore it.
    CrashNews crashes;
    // Parts of resources that the sender asks its peers for, and those that it lends. Earlier builds do not send them.
    std::vector<PartRequest> partRequests;
    std::vector<PartLoan> partLoans;
    // Otherwise `use` and the charges hold only what has changed, and upstreams that are no longer used have no calls.
    bool complete = true;
};

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

// Sent to the planner.
struct DemandReport {
    ReportSender sender;
    std::vector<TargetDemand> demand;
    // Set while the sender has not heard from the planner yet but has heard from an earlier one. Earlier builds do not send it.
    std::optional<PlannerHandover> handover;
    // Otherwise `demand` holds only what has changed.
    bool complete = true;
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

// Sent by the planner to all gateways.
struct PlanReport {
    ReportSender sender;
    base::Epoch fence;
    std::vector<LoadedNotice> notices;
    std::vector<ExpectedLoad> expected;
    // Earlier builds do not send it.
    PlannerState state;
    // Otherwise `notices` holds only what has changed, and `state` is left out.
    bool complete = true;
};

// Sent to a few gateways of the same failure domain when the store has answered the sender about upstreams, see
// DirectoryConfirmation.
struct UpstreamListReport {
    ReportSender sender;
    base::Revision revision;
    base::Revision lastChange;
};

using FleetReport = std::variant<LoadReport, DemandReport, PlanReport, UpstreamListReport>;

std::string encodeReport(const FleetReport&);
// Returns nothing for malformed input.
std::optional<FleetReport> decodeReport(std::string_view);

} // namespace toucanstep::direct
