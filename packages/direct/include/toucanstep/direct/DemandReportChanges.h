// Demand reports by difference: a gateway tells the planner at once what waits, and the rest as it changes.

#pragma once

#include "toucanstep/direct/FleetReports.h"
#include "toucanstep/direct/Imports.h"

#include <map>
#include <vector>

namespace toucanstep::direct {

class DemandReportChanges {
public:
    // The entries of the current demand that differ notably from what was last sent; all of them if `complete`.
    std::vector<TargetDemand> next(const std::vector<TargetDemand>& current, bool complete);

private:
    std::map<ModelTarget, TargetDemand> m_sent;
};

// The demand that the other gateways have reported to this one, the planner.
class PeerDemand {
public:
    void apply(const DemandReport&, base::Instant now);
    // Removes gateways whose last report is older than `lifetime`.
    void expire(base::Duration lifetime, base::Instant now);
    // Adds the demand of all gateways to `sums`.
    void addTo(std::map<ModelTarget, TargetDemand>& sums) const;
    static void add(const TargetDemand&, std::map<ModelTarget, TargetDemand>& sums);

private:
    struct Gateway {
        base::Instant receivedAt;
        std::map<ModelTarget, TargetDemand> demand;
    };
    std::map<base::InstanceId, Gateway> m_gateways;
};

} // namespace toucanstep::direct
