// Deletes the records of once-only calls that have outlived their service's retention. The first gateway in the list's order
// does it for the fleet, one bounded part of the records at a time.
//
// Runs on the control loop.

#pragma once

#include "toucanstep/calls/RecordCleaner.h"
#include "toucanstep/node/Node.h"

#include <memory>

namespace toucanstep::gateway::internal {

class RecordCleaning {
public:
    explicit RecordCleaning(node::Node&);
    ~RecordCleaning();

    // Registers the system; before Node::start().
    void install();

private:
    void tick(base::Instant now);
    void onRange(const base::RangeReply&);

    node::Node& m_node;
    calls::RecordCleaner m_cleaner;
    base::Instant m_next;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace toucanstep::gateway::internal
