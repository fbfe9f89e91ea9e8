// What gateways tell one another, as datagrams: each report stands for itself and is replaced by the next one, so a lost
// or repeated one does no harm.

#pragma once

#include "toucanstep/direct/AccountLimits.h"
#include "toucanstep/direct/Call.h"
#include "toucanstep/direct/Upstream.h"
#include "toucanstep/routing/Quarantine.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace toucanstep::direct {

struct ReportSender {
    base::InstanceId instance;
    Incarnation incarnation;
    // Grows with each report of one incarnation; an older one than the last is dropped.
    int64_t sequence = 0;
};

struct UpstreamUse {
    base::UpstreamId upstream;
    // Calls of the sender.
    UpstreamLoad load;
};

// To all gateways, several times a second.
struct LoadReport {
    ReportSender sender;
    ConfigurationVersion configuration;
    // The store's revisions up to which the parts of the sender's copy of it reach.
    std::vector<base::Revision> directories;
    bool leaving = false;
    std::vector<UpstreamUse> use;
    LimitReport limits;
    std::vector<routing::StrikeMessage> strikes;
};

struct TargetDemand {
    ModelTarget target;
    int64_t waiting = 0;
    int64_t running = 0;
    // Calls that came in the last seconds, per thousand seconds.
    int64_t arrivalsPerKilosecond = 0;
    // Calls at engines whose answers have not begun, averaged over the last second or two, in thousandths.
    int64_t awaitingThousandths = 0;
};

// To the planner.
struct DemandReport {
    ReportSender sender;
    std::vector<TargetDemand> demand;
};

// What the planner knows of an engine before the list shows it: a target was loaded, or is being taken away.
struct LoadedNotice {
    base::UpstreamId upstream;
    StartId start;
    ModelTarget target;
    bool loaded = false;
};

// When a target that is loaded nowhere is expected to be; without an instant no engine can take it.
struct ExpectedLoad {
    ModelTarget target;
    base::Duration in {};
};

// From the planner to all gateways.
struct PlanReport {
    ReportSender sender;
    base::Epoch fence;
    std::vector<LoadedNotice> notices;
    std::vector<ExpectedLoad> expected;
};

using FleetReport = std::variant<LoadReport, DemandReport, PlanReport>;

std::string encodeReport(const FleetReport&);
// Nothing for bytes that are not a report.
std::optional<FleetReport> decodeReport(std::string_view);

} // namespace toucanstep::direct
