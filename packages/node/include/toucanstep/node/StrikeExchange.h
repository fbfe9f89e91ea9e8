// Carries strikes against requests between the quarantine of a process and the hints of its membership messages.
//
// A sidecar's strikes reach the gateways it talks to; a gateway passes on what it has learnt, so that they reach every
// gateway and every other sidecar.

#pragma once

#include "toucanstep/node/MembershipAgent.h"
#include "toucanstep/node/Node.h"
#include "toucanstep/routing/Quarantine.h"

#include <optional>
#include <vector>

namespace toucanstep::node {

// Keeps a quarantine on the traffic loop, where all calls are made.
class StrikeKeeper {
public:
    virtual ~StrikeKeeper() = default;
    virtual void mergeStrikes(const std::vector<routing::StrikeMessage>&) = 0;
    // All living strikes, if some were added or learnt since the last call.
    virtual std::optional<std::vector<routing::StrikeMessage>> takeChangedStrikes() = 0;
};

class StrikeExchange {
public:
    StrikeExchange(Node&, MembershipAgent&, StrikeKeeper&);

    // Registers listener and system; before Node::start().
    void install();

private:
    void onMember(const membership::Entry&);
    void tellStrikes();

    Node& m_node;
    MembershipAgent& m_members;
    StrikeKeeper& m_keeper;
};

} // namespace toucanstep::node
