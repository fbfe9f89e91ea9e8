#include "toucanstep/node/MembershipAgent.h"

#include "toucanstep/node/Keys.h"

#include <absl/hash/hash.h>

namespace toucanstep::node {

namespace {

constexpr std::string_view gossipMethod = "gossip";
constexpr base::Duration tickInterval = std::chrono::seconds(1);
constexpr base::Duration sendTimeout = std::chrono::milliseconds(900);

int64_t wallClockNanoseconds()
{
    return std::chrono::system_clock::now().time_since_epoch().count();
}

} // namespace

MembershipAgent::MembershipAgent(Node& node)
    : m_node(node)
    , m_random(absl::HashOf(node.startNonce()))
{
}

MembershipAgent::~MembershipAgent()
{
    *m_alive = false;
}

void MembershipAgent::install()
{
    m_node.addSystem([this](base::Instant now) { tick(now); });
    m_node.addMethod(peers::Method(std::string(gossipMethod)), [this](const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder) {
        m_node.control().post([this, alive = m_alive, body = call.body] {
            if (*alive)
                receive(body);
        });
        responder->finish();
    });
}

void MembershipAgent::onMember(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

void MembershipAgent::stop()
{
    m_node.control().runAndWait([this] { *m_alive = false; });
}

// Begins once there is somebody to talk to: the settings' peers, or the gateways of the platform's list.
void MembershipAgent::begin(base::Instant now)
{
    std::vector<membership::Peer> seeds;
    for (const base::Endpoint& endpoint : m_node.settings().peers)
        seeds.push_back({ {}, endpoint.text() });
    auto instances = m_node.instances();
    for (const InstanceRow* row : instances->inList(gatewayListName)) {
        if (row->instance != m_node.settings().instance)
            seeds.push_back({ row->instance, row->peer.text() });
    }
    if (seeds.empty())
        return;
    membership::Entry self;
    self.instance = m_node.settings().instance;
    self.role = m_node.settings().role == config::Role::Gateway ? membership::Role::Gateway : membership::Role::Sidecar;
    self.address = m_node.peerEndpoint().text();
    self.failureDomain = m_node.settings().failureDomain;
    self.pool = m_node.settings().pool;
    self.state = membership::MemberState::Ready;
    self.version.start = membership::StartNonce(wallClockNanoseconds());
    self.version.counter = 1;
    m_membership = std::make_unique<membership::Membership>(membership::MembershipOptions {}, self, seeds, now);
}

membership::Hints MembershipAgent::hints() const
{
    membership::Hints hints;
    hints.configuration = m_node.configuration()->version;
    hints.strikes = m_strikes;
    return hints;
}

void MembershipAgent::tick(base::Instant now)
{
    if (now < m_nextTick || !*m_alive)
        return;
    m_nextTick = now + tickInterval;
    if (!m_membership)
        begin(now);
    if (!m_membership)
        return;
    m_membership->setHints(hints());
    send(m_membership->tick(now, m_random));
    tellListeners();
}

void MembershipAgent::receive(const std::string& body)
{
    if (!m_membership)
        return;
    base::Error error;
    auto message = base::valueOr(error, [&] { return membership::decodeMessage(body); });
    if (!message) {
        m_node.metrics().count("toucanstep_gossip_malformed_total");
        return;
    }
    send(m_membership->onMessage(*message, m_node.control().now()));
    tellListeners();
}

void MembershipAgent::send(const std::vector<membership::AddressedMessage>& messages)
{
    for (const membership::AddressedMessage& message : messages) {
        auto target = base::parseEndpoint(message.address);
        if (!target)
            continue;
        std::string body = membership::encodeMessage(message.message);
        m_node.metrics().count("toucanstep_gossip_bytes_total", "", static_cast<int64_t>(body.size()));
        m_node.metrics().count("toucanstep_gossip_messages_total");
        m_node.callFromControl({ *target, peers::Method(std::string(gossipMethod)), std::move(body), m_node.control().now() + sendTimeout }, [](const base::Outcome<std::string>&) {});
    }
}

void MembershipAgent::tellListeners()
{
    for (const membership::Entry& entry : m_membership->members()) {
        membership::EntryVersion& told = m_told[entry.instance];
        if (entry.instance == m_node.settings().instance || told == entry.version)
            continue;
        told = entry.version;
        for (const Listener& listener : m_listeners)
            listener(entry);
    }
}

void MembershipAgent::setStrikes(std::vector<std::string> strikes)
{
    m_strikes = std::move(strikes);
    if (m_membership)
        m_membership->setHints(hints());
}

void MembershipAgent::setLeaving()
{
    m_leaving = true;
    if (!m_membership)
        return;
    m_membership->setState(membership::MemberState::Leaving, m_node.control().now());
    send(m_membership->announce());
}

std::vector<membership::Entry> MembershipAgent::members() const
{
    return m_membership ? m_membership->members() : std::vector<membership::Entry> {};
}

} // namespace toucanstep::node
