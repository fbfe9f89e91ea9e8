// Lends the weight store's permits to sidecars. Every gateway can; the sidecars ask the first one in the list's order.
//
// Runs on the traffic loop.

#pragma once

#include "toucanstep/node/Node.h"
#include "toucanstep/placement/LoadPermits.h"

#include <memory>
#include <vector>

namespace toucanstep::gateway::internal {

class PermitHome {
public:
    explicit PermitHome(node::Node&);

    // Registers the methods; before Node::start().
    void install();
    void onConfiguration(const config::Configuration&);

private:
    // An ask that is answered once a permit is free, or with nothing after a while.
    struct Waiting {
        base::UpstreamId borrower;
        base::ModelId model;
        std::shared_ptr<peers::PeerResponder> responder;
        base::Instant answerBy;
    };

    // Lends what is free to those who wait, and answers them.
    void lend();
    void scheduleLend();
    void answer(const Waiting&, const placement::PermitLease*);
    void onAsk(const peers::IncomingCall&, const std::shared_ptr<peers::PeerResponder>&);
    void onReturn(const peers::IncomingCall&, const std::shared_ptr<peers::PeerResponder>&);

    node::Node& m_node;
    placement::PermitSettings m_settings;
    std::unique_ptr<placement::LoadPermits> m_permits;
    std::vector<Waiting> m_waiting;
    bool m_lendScheduled = false;
};

} // namespace toucanstep::gateway::internal
