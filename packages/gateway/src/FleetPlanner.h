// Decides which instance holds which row: shares of limits on gateways, replica slots on sidecars. Runs on the control
// loop of every gateway; the first in the list's order acts, the others follow if needs stay unmet. Two that act at once
// do no harm, because every row is written by compare-and-swap.

#pragma once

#include "toucanstep/node/AssignmentAgent.h"
#include "toucanstep/placement/ReplicaPlan.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace toucanstep::gateway::internal {

// Demand that this gateway saw for a model since the last call.
using DemandSource = std::function<std::vector<placement::ModelDemand>()>;

class FleetPlanner {
public:
    FleetPlanner(node::Node&, node::AssignmentAgent&, DemandSource);

    // Registers the system; before Node::start().
    void install();

private:
    struct Place {
        base::InstanceId instance;
        base::FailureDomain domain;
        int held = 0;
    };

    void tick(base::Instant now);
    // This gateway's place in the order of those that may plan; negative while it must not.
    int rank(const node::InstanceTable&) const;
    bool planShares(const node::InstanceTable&, base::Instant now, bool act);
    bool planReplicas(const node::InstanceTable&, base::Instant now, bool act);
    std::optional<base::InstanceId> placeForShare(std::vector<Place>&, const base::ClientAccountId&) const;
    void carryOut(const placement::ReplicaIntent&, const node::InstanceTable&);
    void askRelease(const placement::ReplicaIntent&, const node::InstanceTable&);
    std::vector<placement::EngineInstance> engines(const node::InstanceTable&, base::Instant now) const;
    std::vector<placement::ReplicaRow> replicaRows() const;
    std::string listOf(const base::InstanceId& holder, const base::ModelId&) const;

    node::Node& m_node;
    node::AssignmentAgent& m_agent;
    DemandSource m_demand;
    std::unique_ptr<placement::Planner> m_planner;
    std::map<assignments::RowKey, base::Revision> m_releaseAsked;
    base::Instant m_nextPlan;
    std::optional<base::Instant> m_needsSince;
    // Engines that were listed once, so that one which has dropped out of the list is still known by its pool.
    std::map<base::InstanceId, placement::EngineInstance> m_knownEngines;
};

} // namespace toucanstep::gateway::internal
