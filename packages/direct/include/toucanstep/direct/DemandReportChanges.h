// Demand reports by difference: a gateway tells the planner at once what waits, and the rest as it changes.

#pragma once

#include "toucanstep/direct/FleetReports.h"
#include "toucanstep/direct/Imports.h"

#include <functional>
#include <map>
#include <utility>
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

    // Waiting and running calls of each model by the failure domain of the gateway that has them.
    using CallsByDomain = std::map<std::pair<base::ModelId, base::FailureDomain>, int64_t>;
    // Adds the calls of all gateways. `domainOf` names the failure domain of a gateway; an empty one if it is not known.
    void addTo(CallsByDomain&, const std::function<base::FailureDomain(const base::InstanceId&)>& domainOf) const;
    static void add(const TargetDemand&, const base::FailureDomain&, CallsByDomain&);

private:
    struct Gateway {
        base::Instant receivedAt;
        std::map<ModelTarget, TargetDemand> demand;
    };
    std::map<base::InstanceId, Gateway> m_gateways;
};

} // namespace toucanstep::direct
