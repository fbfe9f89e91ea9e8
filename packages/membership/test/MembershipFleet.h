// Many Membership objects in one process, with a network that encodes and decodes every message and counts its bytes.
// Messages arrive within the tick in which they were sent, unless they are lost or held back.

#pragma once

#include "toucanstep/base/Text.h"
#include "toucanstep/membership/Membership.h"

#include <deque>
#include <map>
#include <memory>

namespace toucanstep::membership {

class MembershipFleet {
public:
    struct Traffic {
        size_t sent = 0;
        size_t received = 0;
        size_t messages = 0;
    };

    explicit MembershipFleet(uint64_t seed, MembershipOptions options = {})
        : m_options(options)
        , m_random(seed)
    {
    }

    static constexpr base::Duration tickInterval = std::chrono::seconds(1);

    int addNode(Role role)
    {
        int index = static_cast<int>(m_nodes.size());
        m_nodes.push_back({ .role = role });
        start(index);
        return index;
    }

    // Starts a process on the instance, with a new start nonce and nothing but its seeds.
    void start(int index)
    {
        Node& node = m_nodes[index];
        Entry self { .instance = instanceId(index), .role = node.role, .address = address(index), .failureDomain = base::FailureDomain("zone-1"), .state = MemberState::Ready };
        if (node.role == Role::Sidecar) {
            self.pool = base::PoolId("engines");
            self.upstream = base::UpstreamId(base::concat("engine-", index));
        }
        // The wall clock's nanoseconds, as a daemon would take.
        self.version.start = StartNonce(1'700'000'000'000'000'000 + m_now.time_since_epoch().count());
        self.hints.configuration = base::Revision(123'456);
        std::vector<Peer> seeds;
        for (int seed = 0; seed < 3; ++seed)
            seeds.push_back({ base::InstanceId(), address(seed) });
        node.membership = std::make_unique<Membership>(m_options, self, seeds, m_now);
        node.up = true;
    }

    void stop(int index) { m_nodes[index].up = false; }
    bool isUp(int index) const { return m_nodes[index].up; }
    int size() const { return static_cast<int>(m_nodes.size()); }
    Role role(int index) const { return m_nodes[index].role; }
    Membership& node(int index) { return *m_nodes[index].membership; }
    base::Instant now() const { return m_now; }
    RandomGenerator& random() { return m_random; }
    const Traffic& traffic(int index) const { return m_nodes[index].traffic; }
    static base::InstanceId instanceId(int index) { return base::InstanceId(base::concat("instance-", 100'000 + index)); }

    // Of 100 messages so many are lost, and so many are held back until a later tick.
    void setFaults(int lossPercent, int delayPercent)
    {
        m_lossPercent = lossPercent;
        m_delayPercent = delayPercent;
    }
    // Messages between nodes below and nodes from this number on are lost; zero heals the cut.
    void setCut(int firstOfOtherSide) { m_cut = firstOfOtherSide; }

    void tick()
    {
        m_now += tickInterval;
        std::swap(m_network, m_held);
        for (int index = 0; index < size(); ++index) {
            if (m_nodes[index].up)
                enqueue(index, m_nodes[index].membership->tick(m_now, m_random));
        }
        deliverAll();
    }

    void run(int ticks)
    {
        for (int count = 0; count < ticks; ++count)
            tick();
    }

    // Lets every node know every other, without the traffic of getting there.
    void introduceAll()
    {
        std::vector<Entry> all;
        for (auto& node : m_nodes)
            all.push_back(node.membership->self());
        for (auto& node : m_nodes) {
            for (size_t first = 0; first < all.size(); first += maximumEntries) {
                Delta delta { .from = all[0].instance };
                for (size_t index = first; index < std::min(all.size(), first + maximumEntries); ++index)
                    delta.entries.push_back(all[index]);
                node.membership->onMessage(delta, m_now);
            }
        }
        for (auto& node : m_nodes)
            node.traffic = {};
    }

    void clearTraffic()
    {
        for (auto& node : m_nodes)
            node.traffic = {};
    }

    // Whether this node has the present version of that one, or has it as gone if its process has ended.
    bool isCurrent(int reader, int subject)
    {
        const Entry* entry = node(reader).find(instanceId(subject));
        if (!m_nodes[subject].up)
            return !entry || entry->state == MemberState::Gone;
        return entry && entry->version == node(subject).self().version && entry->state == node(subject).self().state;
    }

    bool reachedGateways(int subject)
    {
        for (int reader = 0; reader < size(); ++reader) {
            if (isUp(reader) && role(reader) == Role::Gateway && !isCurrent(reader, subject))
                return false;
        }
        return true;
    }

    bool reachedAll(int subject)
    {
        for (int reader = 0; reader < size(); ++reader) {
            bool keeps = role(reader) == Role::Gateway || role(subject) == Role::Gateway;
            if (isUp(reader) && keeps && !isCurrent(reader, subject))
                return false;
        }
        return true;
    }

    bool converged()
    {
        for (int subject = 0; subject < size(); ++subject) {
            if (!reachedAll(subject))
                return false;
        }
        return true;
    }

    // Ticks until all live nodes have the present version of this one; `limit` where they don't within it.
    int ticksToReachAll(int subject, int limit)
    {
        int ticks = 0;
        while (ticks < limit && !reachedAll(subject)) {
            tick();
            ++ticks;
        }
        return ticks;
    }

private:
    struct Node {
        Role role = Role::Gateway;
        bool up = true;
        std::unique_ptr<Membership> membership;
        Traffic traffic;
    };
    struct Packet {
        int from = 0;
        int to = 0;
        std::string bytes;
    };

    static std::string address(int index) { return base::concat("10.", index / 65536, ".", index / 256 % 256, ".", index % 256, ":7400"); }

    // Answers to a sender that is not known yet go back on its connection.
    int indexOf(const AddressedMessage& message) const
    {
        if (!message.to.empty())
            return std::stoi(message.to.value().substr(9)) - 100'000;
        for (int index = 0; index < size(); ++index) {
            if (address(index) == message.address)
                return index;
        }
        return 0;
    }

    bool isCut(int from, int to) const { return m_cut && (from < m_cut) != (to < m_cut); }

    void enqueue(int from, const std::vector<AddressedMessage>& messages)
    {
        for (const auto& message : messages) {
            Packet packet { from, indexOf(message), encodeMessage(message.message) };
            m_nodes[from].traffic.sent += packet.bytes.size();
            ++m_nodes[from].traffic.messages;
            int draw = static_cast<int>(m_random() % 100);
            if (draw < m_lossPercent || isCut(from, packet.to))
                continue;
            bool isHeld = draw < m_lossPercent + m_delayPercent;
            (isHeld ? m_held : m_network).push_back(std::move(packet));
        }
    }

    void deliverAll()
    {
        while (!m_network.empty()) {
            Packet packet = std::move(m_network.front());
            m_network.pop_front();
            Node& node = m_nodes[packet.to];
            if (!node.up)
                continue;
            node.traffic.received += packet.bytes.size();
            base::Error error;
            auto message = base::valueOr(error, [&] { return decodeMessage(packet.bytes); });
            if (!message)
                throw std::runtime_error(error.message);
            enqueue(packet.to, node.membership->onMessage(*message, m_now));
        }
    }

    MembershipOptions m_options;
    RandomGenerator m_random;
    base::Instant m_now { std::chrono::hours(1) };
    std::vector<Node> m_nodes;
    std::deque<Packet> m_network;
    std::deque<Packet> m_held;
    int m_lossPercent = 0;
    int m_delayPercent = 0;
    int m_cut = 0;
};

} // namespace toucanstep::membership
