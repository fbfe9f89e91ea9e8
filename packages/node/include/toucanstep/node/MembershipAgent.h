// Runs the membership library of one process over the peers' connections: who is there, and the hints that travel along.
//
// The control loop owns it. Listeners hear of other members' hints there.

#pragma once

#include "toucanstep/membership/Membership.h"
#include "toucanstep/node/Node.h"

#include <functional>
#include <memory>
#include <vector>

namespace toucanstep::node {

class MembershipAgent {
public:
    using Listener = std::function<void(const membership::Entry&)>;

    explicit MembershipAgent(Node&);
    ~MembershipAgent();

    // Registers system and method; before Node::start().
    void install();
    // Called on the control loop for every member whose entry has changed.
    void onMember(Listener);

    // ---- on the control loop
    void setStrikes(std::vector<std::string>);
    void setLeaving();
    void stop();
    std::vector<membership::Entry> members() const;

private:
    void begin(base::Instant now);
    void tick(base::Instant now);
    void receive(const std::string& body);
    void send(const std::vector<membership::AddressedMessage>&);
    void tellListeners();
    membership::Hints hints() const;

    Node& m_node;
    std::unique_ptr<membership::Membership> m_membership;
    membership::RandomGenerator m_random;
    std::vector<Listener> m_listeners;
    std::map<base::InstanceId, membership::EntryVersion> m_told;
    std::vector<std::string> m_strikes;
    base::Instant m_nextTick;
    bool m_leaving = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace toucanstep::node
