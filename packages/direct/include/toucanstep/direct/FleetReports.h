// Reports that gateways exchange as datagrams. A complete report supersedes all earlier ones of its kind; the reports between
// two complete ones hold the values that have changed, and earlier builds ignore them. So loss and duplication are harmless.

#pragma once

#include "toucanstep/direct/CrashAttribution.h"
#include "toucanstep/direct/Imports.h"
#include "toucanstep/scheduling/AccountLimits.h"
#include "toucanstep/scheduling/AccountShares.h"
#include "toucanstep/scheduling/FairSlotPart.h"
#include "toucanstep/serving/Call.h"
#include "toucanstep/serving/Upstream.h"
#include "toucanstep/upstreams/FleetShare.h"
#include "toucanstep/upstreams/UpstreamAvailability.h"
#include "toucanstep/upstreams/UpstreamCallLimits.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace toucanstep::direct {

struct ReportSender {
    base::InstanceId instance;
    Incarnation incarnation;
    // Increases with each report of one incarnation; receivers drop reports older than the last one.
    int64_t sequence = 0;
    // The sender takes RelayedReports and forwards reports, see ReportRelay. Earlier builds do not send it, and ignore it.
    bool relays = false;
};

struct UpstreamUse {
    base::UpstreamId upstream;
    // Only the sender's own calls.
    UpstreamLoad load;
};

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
    // The waiting calls of `queued` that can be in time, by account, and the cost of all waiting calls. Empty without
    // LoadPolicies::pressure; earlier builds ignore them.
    QueuedByAccount queuedAccounts;
    TokensByAccount waitingTokens;
    // Otherwise `use` and the charges hold only what has changed, and upstreams that are no longer used have no calls.
    bool complete = true;
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

// Reports of other gateways on their way to another failure domain, see ReportRelay. Earlier builds drop it as an unknown kind.
struct RelayedReports {
    ReportSender sender;
    // The receiver is the entry of its failure domain and hands the reports on there.
    bool handOn = false;
    // Encoded reports as their senders have sent them.
    std::vector<std::string> reports;
};

using FleetReport = std::variant<LoadReport, DemandReport, PlanReport, UpstreamListReport, RelayedReports>;

std::string encodeReport(const FleetReport&);
// Returns nothing for malformed input.
std::optional<FleetReport> decodeReport(std::string_view);

} // namespace toucanstep::direct
