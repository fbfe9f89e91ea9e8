// Lends the weight store's permits to sidecars. Every gateway can; the sidecars ask the first one in the list's order.
//
// Runs on the traffic loop.

#pragma once

#include "toucanstep/node/Node.h"
#include "toucanstep/placement/LoadPermits.h"

namespace toucanstep::gateway::internal {

class PermitHome {
public:
    explicit PermitHome(node::Node&);

    // Registers the methods; before Node::start().
    void install();
    void onConfiguration(const config::Configuration&);

private:
    void onAsk(const peers::IncomingCall&, const std::shared_ptr<peers::PeerResponder>&);
    void onReturn(const peers::IncomingCall&, const std::shared_ptr<peers::PeerResponder>&);

    node::Node& m_node;
    placement::PermitSettings m_settings;
    std::unique_ptr<placement::LoadPermits> m_permits;
};

} // namespace toucanstep::gateway::internal
