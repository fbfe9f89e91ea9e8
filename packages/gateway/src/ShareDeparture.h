// Hands a leaving gateway's shares to other gateways, with the tokens that are in them.
//
// Without it the accounts would lose the stock of these shares, and their rate until the rows are taken over.
// Runs on the control loop.

#pragma once

#include "ShareLimitGate.h"
#include "toucanstep/node/AssignmentAgent.h"

#include <atomic>
#include <set>

namespace toucanstep::gateway::internal {

class ShareDeparture {
public:
    ShareDeparture(node::Node&, node::AssignmentAgent&, ShareLimitGate&);

    // Begins to hand over; repeated by tick() until no share is left or the time is up.
    void begin(base::Instant now);
    void tick(base::Instant now);
    // True once every share is handed over, or the time for it has passed: what is left is taken over by the others
    // after the list has dropped this instance.
    bool done() const { return m_done; }

private:
    std::optional<base::InstanceId> targetFor(const assignments::Row&) const;
    void handOver(const assignments::Row&, const base::InstanceId& target);
    void onNonce(const assignments::RowKey&, const base::InstanceId& target, const std::string& nonce);
    void onStock(const assignments::RowKey&, const assignments::Holder& target, const std::optional<limits::Handover>&);

    node::Node& m_node;
    node::AssignmentAgent& m_agent;
    ShareLimitGate& m_gate;
    std::set<assignments::RowKey> m_begun;
    std::optional<base::Instant> m_deadline;
    std::atomic<bool> m_done { false };
};

} // namespace toucanstep::gateway::internal
