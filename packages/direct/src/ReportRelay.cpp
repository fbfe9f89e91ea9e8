#include "toucanstep/direct/ReportRelay.h"

#include <algorithm>
#include <functional>

namespace toucanstep::direct {

namespace {

// Rendezvous hash: of the gateways that can relay from one domain to another, the one with the lowest value does.
size_t relayHash(const base::FailureDomain& from, const base::FailureDomain& to, const base::InstanceId& gateway)
{
    return std::hash<std::string> {}(from.value() + '>' + to.value() + '/' + gateway.value());
}

// Keeps the gateway with the lowest hash, of those without misses if there are any.
struct Choice {
    std::optional<std::pair<bool, size_t>> rank;
    base::InstanceId gateway;

    void offer(size_t hash, const base::InstanceId& offered, bool missesReports = false)
    {
        std::pair offeredRank(missesReports, hash);
        if (rank && *rank <= offeredRank)
            return;
        rank = offeredRank;
        gateway = offered;
    }
};

} // namespace

bool NewestReports::accept(const ReportSender& sender, size_t kind)
{
    auto& last = m_last[{ sender.instance, kind }];
    std::pair order(sender.incarnation, sender.sequence);
    if (order <= last)
        return false;
    last = order;
    return true;
}

ReportRelay::ReportRelay(base::InstanceId self, base::FailureDomain own, ReportRelaySettings settings)
    : m_self(std::move(self))
    , m_own(std::move(own))
    , m_settings(settings)
{
}

void ReportRelay::setPeers(const std::set<base::InstanceId>& peers, base::Duration reportInterval, base::Instant now)
{
    m_interval = reportInterval;
    m_active = m_settings.enabled && !m_own.empty() && peers.size() + 1 >= m_settings.minGateways;
    if (m_active)
        m_forwardsUntil = now + m_settings.forwardingAfterwards;
    std::erase_if(m_peers, [&](const auto& entry) { return !peers.contains(entry.first); });
    for (const auto& id : peers)
        m_peers.try_emplace(id);
}

bool ReportRelay::isHeard(const Peer& peer, base::Instant now) const
{
    base::Duration delay = peer.domain == m_own ? base::Duration::zero() : m_settings.addedDelay;
    return !peer.domain.empty() && now - peer.heardAt <= std::chrono::duration_cast<base::Duration>(m_interval * m_settings.silentIntervals) + delay;
}

// A gateway that leaves hands its duties over before it is gone.
bool ReportRelay::isRelay(const Peer& peer, base::Instant now) const
{
    return peer.relays && !peer.leaving && isHeard(peer, now);
}

void ReportRelay::noteTime(base::Instant now)
{
    if (now - m_lastTime > std::chrono::duration_cast<base::Duration>(m_interval * m_settings.silentIntervals)) {
        for (auto& [id, peer] : m_peers)
            peer.relayedSince.reset();
        m_collected.clear();
        m_due.reset();
    }
    m_lastTime = std::max(m_lastTime, now);
}

void ReportRelay::onMiss(Peer& peer, base::Instant now)
{
    auto silence = std::chrono::duration_cast<base::Duration>((m_interval + m_settings.addedDelay) * m_settings.silentIntervals);
    // A miss of direct reports, or from before the relays were used, says nothing about the path through relays.
    if (!peer.relayedSince || now - *peer.relayedSince < silence) {
        peer.directUntil = std::max(peer.directUntil, now + silence);
        return;
    }
    bool missedLately = now - peer.directUntil < m_settings.longestDirectTime;
    peer.directTime = missedLately ? std::min(std::max(peer.directTime * 2, m_settings.directTime), m_settings.longestDirectTime) : m_settings.directTime;
    peer.directUntil = now + peer.directTime;
    peer.relayedSince.reset();
}

void ReportRelay::onLoadReport(const LoadReport& report, base::Instant now)
{
    auto found = m_peers.find(report.sender.instance);
    if (found == m_peers.end())
        return;
    noteTime(now);
    Peer& peer = found->second;
    if (peer.incarnation != report.sender.incarnation) {
        peer = {};
        peer.incarnation = report.sender.incarnation;
    }
    peer.heardAt = now;
    peer.relays = report.sender.relays;
    peer.leaving = report.leaving;
    if (report.complete)
        peer.domain = report.domain;
    const auto& silent = report.limits.silentPeers;
    peer.missesSelf = report.limits.silentPeersLeftOut || std::find(silent.begin(), silent.end(), m_self) != silent.end();
    if (peer.missesSelf && peer.domain != m_own)
        onMiss(peer, now);
}

void ReportRelay::chooseNewPaths(base::Instant now)
{
    constexpr int choicesPerInterval = 4;
    if (now - m_chosenAt >= m_interval / choicesPerInterval)
        choosePaths(now);
}

void ReportRelay::choosePaths(base::Instant now)
{
    m_chosenAt = now;
    std::map<base::FailureDomain, Choice> entries;
    for (const auto& [id, peer] : m_peers) {
        if (peer.domain != m_own && isRelay(peer, now))
            entries[peer.domain].offer(relayHash(m_own, peer.domain, id), id, now < peer.directUntil);
    }
    m_relayedByOthers.clear();
    m_entries.clear();
    for (const auto& [domain, entry] : entries) {
        Choice exit;
        if (forwards(now))
            exit.offer(relayHash(m_own, domain, m_self), m_self);
        for (const auto& [id, peer] : m_peers) {
            if (peer.domain == m_own && isRelay(peer, now))
                exit.offer(relayHash(m_own, domain, id), id);
        }
        if (!exit.rank)
            continue;
        if (exit.gateway == m_self)
            m_entries.emplace(domain, entry.gateway);
        else if (!m_peers.at(exit.gateway).missesSelf)
            m_relayedByOthers.insert(domain);
    }
}

std::vector<base::InstanceId> ReportRelay::directReceivers(base::Instant now)
{
    noteTime(now);
    choosePaths(now);
    std::vector<base::InstanceId> receivers;
    for (auto& [id, peer] : m_peers) {
        bool hasPath = m_entries.contains(peer.domain) || m_relayedByOthers.contains(peer.domain);
        bool relayed = m_active && peer.domain != m_own && peer.relays && isHeard(peer, now) && now >= peer.directUntil && hasPath;
        if (!relayed) {
            peer.relayedSince.reset();
            receivers.push_back(id);
        } else if (!peer.relayedSince) {
            peer.relayedSince = now;
        }
    }
    return receivers;
}

void ReportRelay::collect(const ReportSender& sender, size_t kind, std::string report, bool urgent, base::Instant now)
{
    if (!forwards(now))
        return;
    chooseNewPaths(now);
    if (m_entries.empty())
        return;
    if (sender.instance != m_self) {
        auto peer = m_peers.find(sender.instance);
        // A sender that does not use relays has sent its report to everyone itself.
        if (!sender.relays || peer == m_peers.end() || peer->second.domain != m_own)
            return;
    }
    Collected& newest = m_collected[{ sender.instance, kind }];
    std::pair order(sender.incarnation, sender.sequence);
    if (order <= newest.order)
        return;
    newest = { order, std::move(report) };
    base::Instant due = urgent ? now : now + m_settings.collectingTime;
    m_due = std::min(m_due.value_or(due), due);
}

std::vector<RelayedBundle> ReportRelay::takeBundles(base::Instant now)
{
    noteTime(now);
    chooseNewPaths(now);
    // For the length of a report in the bundle.
    constexpr size_t bytesPerReport = 5;
    m_due.reset();
    std::vector<std::vector<std::string>> parts;
    size_t bytes = 0;
    for (auto& [key, collected] : m_collected) {
        size_t added = collected.report.size() + bytesPerReport;
        if (parts.empty() || bytes + added > m_settings.bundleBytes) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += added;
        parts.back().push_back(std::move(collected.report));
    }
    m_collected.clear();
    std::vector<RelayedBundle> bundles;
    for (const auto& [domain, entry] : m_entries) {
        for (const auto& part : parts)
            bundles.push_back({ entry, part });
    }
    return bundles;
}

std::vector<base::InstanceId> ReportRelay::handOnTo(const RelayedReports& bundle, base::Instant now) const
{
    std::vector<base::InstanceId> members;
    if (!bundle.handOn)
        return members;
    for (const auto& [id, peer] : m_peers) {
        if (peer.domain == m_own && peer.relays && isHeard(peer, now) && id != bundle.sender.instance)
            members.push_back(id);
    }
    return members;
}

size_t ReportRelay::peersWithMisses(base::Instant now) const
{
    return static_cast<size_t>(std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) { return now < entry.second.directUntil; }));
}

} // namespace toucanstep::direct
