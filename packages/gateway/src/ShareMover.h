// Hands shares of this gateway to others, with the tokens that are in them: all of them when it leaves, and one at a time
// where it holds several of one account while another gateway has none.
//
// Without the first the accounts would lose the stock of these shares, and their rate until the rows are taken over.
// Without the second the gateway that came up first would hold every limit, and its death would stop every account.
// Runs on the control loop.

#pragma once

#include "ShareLimitGate.h"
#include "toucanstep/node/AssignmentAgent.h"

#include <atomic>
#include <set>

namespace toucanstep::gateway::internal {

class ShareMover {
public:
    ShareMover(node::Node&, node::AssignmentAgent&, ShareLimitGate&);

    // Begins to hand everything over; goes on with tick() until no share is left or the time is up.
    void leave(base::Instant now);
    void tick(base::Instant now);
    // True once every share is handed over, or the time for it has passed: what is left is taken over by the others
    // after the list has dropped this instance.
    bool done() const { return m_done; }

private:
    void depart(base::Instant now);
    void spread(base::Instant now);
    // Whether this gateway holds more shares of the row's account than the target would with it.
    bool isSurplus(const assignments::Row&, const base::InstanceId& target) const;
    std::optional<base::InstanceId> targetFor(const assignments::Row&) const;
    void handOver(const assignments::Row&, const base::InstanceId& target);
    void onNonce(const assignments::RowKey&, const base::InstanceId& target, const std::string& nonce);
    void onStock(const assignments::RowKey&, const assignments::Holder& target, const std::optional<limits::Handover>&);

    node::Node& m_node;
    node::AssignmentAgent& m_agent;
    ShareLimitGate& m_gate;
    std::set<assignments::RowKey> m_begun;
    std::optional<base::Instant> m_deadline;
    base::Instant m_nextSpread;
    std::atomic<bool> m_done { false };
};

} // namespace toucanstep::gateway::internal
