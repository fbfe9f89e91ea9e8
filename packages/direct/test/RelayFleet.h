// A fleet of report relays over a simulated network, for tests: links that are cut in one direction, gateways that die or stop for a
// while and then read what has arrived meanwhile. Each gateway reports at its own phase and names those that it does not hear.

#pragma once

#include "toucanstep/direct/ReportRelay.h"

#include <deque>
#include <memory>

namespace toucanstep::direct {

class RelayFleet {
public:
    static constexpr base::Instant start { std::chrono::hours(1) };
    static constexpr base::Duration step = std::chrono::milliseconds(5);
    static constexpr base::Duration interval = std::chrono::milliseconds(100);

    RelayFleet(size_t domains, size_t perDomain, ReportRelaySettings settings)
        : m_settings(settings)
    {
        for (size_t number = 0; number < domains * perDomain; ++number) {
            Gateway gateway { base::InstanceId("gateway-" + std::to_string(number)), base::FailureDomain("zone-" + std::to_string(number % domains)) };
            gateway.phase = step * static_cast<int64_t>(number * 7 % 20);
            m_gateways.push_back(std::move(gateway));
        }
        for (size_t number = 0; number < m_gateways.size(); ++number)
            restart(number);
    }

    size_t size() const { return m_gateways.size(); }
    base::Instant now() const { return m_now; }
    const base::FailureDomain& domainOf(size_t gateway) const { return m_gateways[gateway].domain; }
    ReportRelay& relay(size_t gateway) { return *m_gateways[gateway].relay; }
    void kill(size_t gateway) { m_gateways[gateway].alive = false; }
    bool isAlive(size_t gateway) const { return m_gateways[gateway].alive; }
    void suspend(size_t gateway, base::Duration duration) { m_gateways[gateway].suspendedUntil = m_now + duration; }
    void cut(size_t from, size_t to) { m_cuts.emplace(from, to); }
    void heal()
    {
        m_cuts.clear();
        for (auto& gateway : m_gateways)
            gateway.suspendedUntil = {};
    }
    void restart(size_t number)
    {
        Gateway& gateway = m_gateways[number];
        gateway.alive = true;
        gateway.incarnation = Incarnation(gateway.incarnation.value() + 1);
        gateway.sequence = 0;
        gateway.reports = {};
        gateway.newest = {};
        gateway.applied.clear();
        gateway.heardAt.clear();
        gateway.arrived.clear();
        gateway.relay = std::make_unique<ReportRelay>(gateway.id, gateway.domain, m_settings);
        setPeers(gateway);
    }
    void run(base::Duration duration)
    {
        for (base::Instant until = m_now + duration; m_now < until; m_now += step) {
            for (size_t number = 0; number < m_gateways.size(); ++number)
                act(number);
        }
    }
    // How long ago the gateway has applied a report of the other one.
    base::Duration silence(size_t at, size_t of) const
    {
        auto heard = m_gateways[at].heardAt.find(m_gateways[of].id);
        return heard == m_gateways[at].heardAt.end() ? base::Duration::max() : m_now - heard->second;
    }
    base::Duration longestSilence() const
    {
        base::Duration longest {};
        for (size_t at = 0; at < size(); ++at) {
            for (size_t of = 0; of < size(); ++of) {
                if (at != of && isAlive(at) && isAlive(of))
                    longest = std::max(longest, silence(at, of));
            }
        }
        return longest;
    }
    // Datagrams and bytes that crossed from one domain to another, headers included.
    int64_t crossedDatagrams = 0;
    int64_t crossedBytes = 0;
    // Reports that were applied although the same or a newer one had been applied before.
    int64_t misapplied = 0;

private:
    struct Gateway {
        base::InstanceId id;
        base::FailureDomain domain;
        base::Duration phase {};
        bool alive = true;
        base::Instant suspendedUntil;
        Incarnation incarnation;
        int64_t sequence = 0;
        int reports = 0;
        std::unique_ptr<ReportRelay> relay;
        NewestReports newest;
        std::map<base::InstanceId, std::pair<Incarnation, int64_t>> applied;
        std::map<base::InstanceId, base::Instant> heardAt;
        std::deque<std::pair<base::Instant, std::string>> arrived;
    };

    void setPeers(Gateway& gateway)
    {
        std::set<base::InstanceId> peers;
        for (const auto& other : m_gateways) {
            if (other.id != gateway.id)
                peers.insert(other.id);
        }
        gateway.relay->setPeers(peers, interval, m_now);
    }
    void send(size_t from, const base::InstanceId& to, const std::string& bytes)
    {
        constexpr int64_t headerBytes = 28;
        for (size_t number = 0; number < m_gateways.size(); ++number) {
            Gateway& receiver = m_gateways[number];
            if (receiver.id != to)
                continue;
            if (receiver.domain != m_gateways[from].domain) {
                ++crossedDatagrams;
                crossedBytes += static_cast<int64_t>(bytes.size()) + headerBytes;
            }
            if (receiver.alive && !m_cuts.contains({ from, number }))
                receiver.arrived.emplace_back(m_now + step, bytes);
        }
    }
    void act(size_t number)
    {
        Gateway& gateway = m_gateways[number];
        if (!gateway.alive || m_now < gateway.suspendedUntil)
            return;
        constexpr auto sweepInterval = std::chrono::seconds(1);
        if ((m_now - start + gateway.phase) % sweepInterval == base::Duration::zero())
            setPeers(gateway);
        while (!gateway.arrived.empty() && gateway.arrived.front().first <= m_now) {
            std::string bytes = std::move(gateway.arrived.front().second);
            gateway.arrived.pop_front();
            receive(number, bytes, true);
        }
        if ((m_now - start) % interval == gateway.phase)
            report(number);
        if (auto due = gateway.relay->bundlesDue(); due && *due <= m_now) {
            for (auto& bundle : gateway.relay->takeBundles(m_now))
                send(number, bundle.to, encodeReport(RelayedReports { { gateway.id, gateway.incarnation, ++gateway.sequence }, true, std::move(bundle.reports) }));
        }
    }
    void report(size_t number)
    {
        constexpr int completeInterval = 10;
        Gateway& gateway = m_gateways[number];
        LoadReport report;
        report.sender = { gateway.id, gateway.incarnation, ++gateway.sequence, gateway.relay->forwards(m_now) };
        report.complete = gateway.reports++ % completeInterval == 0;
        if (report.complete)
            report.domain = gateway.domain;
        for (size_t other = 0; other < m_gateways.size(); ++other) {
            if (other != number && silence(number, other) > gateway.relay->effectiveInterval() * 7 / 2)
                report.limits.silentPeers.push_back(m_gateways[other].id);
        }
        std::string bytes = encodeReport(report);
        for (const auto& receiver : gateway.relay->directReceivers(m_now))
            send(number, receiver, bytes);
        gateway.relay->collect(report.sender, 0, bytes, false, m_now);
    }
    void receive(size_t number, const std::string& bytes, bool direct)
    {
        Gateway& gateway = m_gateways[number];
        auto decoded = decodeReport(bytes);
        if (const auto* bundle = std::get_if<RelayedReports>(&*decoded)) {
            RelayedReports handedOn { { gateway.id, gateway.incarnation, ++gateway.sequence }, false, bundle->reports };
            for (const auto& member : gateway.relay->handOnTo(*bundle, m_now))
                send(number, member, encodeReport(handedOn));
            for (const auto& report : bundle->reports)
                receive(number, report, false);
            return;
        }
        const auto& report = std::get<LoadReport>(*decoded);
        if (report.sender.instance == gateway.id || !gateway.newest.accept(report.sender, decoded->index()))
            return;
        auto& applied = gateway.applied[report.sender.instance];
        std::pair order(report.sender.incarnation, report.sender.sequence);
        misapplied += order <= applied ? 1 : 0;
        applied = order;
        gateway.heardAt[report.sender.instance] = m_now;
        gateway.relay->onLoadReport(report, m_now);
        if (direct)
            gateway.relay->collect(report.sender, decoded->index(), bytes, false, m_now);
    }

    ReportRelaySettings m_settings;
    std::vector<Gateway> m_gateways;
    std::set<std::pair<size_t, size_t>> m_cuts;
    base::Instant m_now = start;
};

} // namespace toucanstep::direct
