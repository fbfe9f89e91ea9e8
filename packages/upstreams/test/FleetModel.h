// Gateways before a store that keeps their keys under leases, for properties that have to hold over all gateways. Each gateway
// polls the list and renews its lease by its own clock, which does not run while it is suspended.

#pragma once

#include "toucanstep/testing/Property.h"
#include "toucanstep/upstreams/FleetShare.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace toucanstep::upstreams::testing {

// `State` is what a gateway's process keeps in memory; it is made anew at each start, from the gateway's share and number.
template <typename State>
class FleetModel {
public:
    using MakeState = std::function<std::unique_ptr<State>(const FleetShare&, size_t number)>;
    using Step = std::function<void(State&, base::Instant now)>;

    static constexpr auto step = std::chrono::milliseconds(50);

    FleetModel(size_t size, MakeState makeState)
        : m_makeState(std::move(makeState))
    {
        for (size_t number = 0; number < size; ++number)
            start(number);
    }

    // A process restarted on the same machine has the same name, and nothing that the one before it knew.
    void start(size_t number)
    {
        if (m_gateways.size() <= number)
            m_gateways.resize(number + 1);
        Gateway& gateway = m_gateways[number];
        gateway = Gateway();
        gateway.id = base::InstanceId("edge-" + std::to_string(number));
        gateway.share = std::make_unique<FleetShare>(FleetShareSettings {}, gateway.id);
        gateway.state = m_makeState(*gateway.share, number);
        gateway.running = true;
        gateway.incarnation = ++m_incarnations;
        gateway.disturbedAt = m_now;
    }
    void stop(size_t number) { m_gateways[number].running = false; }
    void setCutOff(size_t number, bool cutOff)
    {
        m_gateways[number].cutOff = cutOff;
        m_gateways[number].disturbedAt = m_now;
    }
    void setSuspended(size_t number, bool suspended)
    {
        m_gateways[number].suspended = suspended;
        m_gateways[number].disturbedAt = m_now;
    }
    // Whether the gateway that acts has been neither started, cut off nor suspended for that long. To be called by a step.
    bool isUndisturbed(base::Duration time) const { return !m_acting->cutOff && m_now - m_acting->disturbedAt >= time; }
    size_t size() const { return m_gateways.size(); }
    base::Instant now() const { return m_now; }

    // Calls `act` for each gateway that runs, once per step.
    void advance(int steps, const Step& act)
    {
        for (int count = 0; count < steps; ++count) {
            m_now += step;
            std::erase_if(m_leaseEnds, [&](const auto& entry) { return entry.second <= m_now; });
            for (Gateway& gateway : m_gateways) {
                if (!gateway.running || gateway.suspended)
                    continue;
                if (!gateway.cutOff)
                    talkToStore(gateway);
                gateway.share->setMembership(gateway.registered, gateway.leaseEnd, m_now);
                m_acting = &gateway;
                act(*gateway.state, m_now);
            }
        }
    }

    // The gateways tell each other what they ask for and what they lend; each message is lost with that probability.
    void exchangeLoans(double lost = 0)
    {
        auto reaches = [&] { return std::uniform_real_distribution<>()(m_random) >= lost; };
        for (Gateway& from : m_gateways) {
            if (!from.running || from.suspended)
                continue;
            auto requests = from.share->requests(m_now);
            auto loans = from.share->takeLoans();
            if (requests.empty() && loans.empty())
                continue;
            for (Gateway& to : m_gateways) {
                if (&to == &from || !to.running || to.suspended || !reaches())
                    continue;
                to.share->onPeerRequests(from.id, from.incarnation, requests, m_now);
                to.share->onPeerLoans(from.id, loans, m_now);
            }
        }
    }
    FleetShare& actingShare() { return *m_acting->share; }

    // A failure of one gateway or of some, or its end. To be called within a property.
    void disturb()
    {
        auto number = *rc::gen::inRange<size_t>(0, size());
        switch (*rc::gen::inRange(0, 8)) {
        case 0:
            stop(number);
            break;
        case 1:
            start(number);
            break;
        case 2:
            start(size());
            break;
        case 3:
            setCutOff(number, true);
            break;
        case 4:
            setCutOff(number, false);
            break;
        case 5:
            setSuspended(number, true);
            break;
        case 6:
            setSuspended(number, false);
            break;
        case 7:
            for (size_t other = 0; other < size(); other += 2)
                stop(other);
            break;
        }
    }

private:
    static constexpr auto lease = std::chrono::milliseconds(1500);
    static constexpr auto leaseMargin = std::chrono::milliseconds(300);
    static constexpr auto pollInterval = std::chrono::milliseconds(4000);

    struct Gateway {
        base::InstanceId id;
        std::unique_ptr<FleetShare> share;
        std::unique_ptr<State> state;
        int64_t incarnation = 0;
        bool running = false;
        bool cutOff = false;
        bool suspended = false;
        bool registered = false;
        base::Instant leaseEnd;
        base::Instant nextPoll;
        base::Instant disturbedAt;
    };

    void talkToStore(Gateway& gateway)
    {
        // A lease that has ended in the store is noticed by its renewal; the key then has to be written again.
        gateway.registered = gateway.registered && m_leaseEnds.contains(gateway.id);
        m_leaseEnds[gateway.id] = m_now + lease;
        gateway.registered = true;
        gateway.leaseEnd = m_now + lease - leaseMargin;
        if (m_now < gateway.nextPoll)
            return;
        gateway.nextPoll = m_now + pollInterval;
        gateway.share->onListAnswer(m_now);
        std::set<base::InstanceId> listed;
        for (const auto& [id, until] : m_leaseEnds)
            listed.insert(id);
        gateway.share->setListed(listed, m_now);
    }

    MakeState m_makeState;
    base::Instant m_now { std::chrono::hours(1) };
    std::vector<Gateway> m_gateways;
    const Gateway* m_acting = nullptr;
    int64_t m_incarnations = 0;
    std::mt19937_64 m_random;
    // In the store.
    std::map<base::InstanceId, base::Instant> m_leaseEnds;
};

} // namespace toucanstep::upstreams::testing
