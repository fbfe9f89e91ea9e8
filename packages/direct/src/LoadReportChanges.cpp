#include "toucanstep/direct/LoadReportChanges.h"

#include <utility>

namespace toucanstep::direct {

namespace {

// One report in so many is complete.
constexpr int completeReportInterval = 10;

} // namespace

LoadReport LoadReportChanges::next(LoadReport current, bool toNewPeers)
{
    std::map<base::UpstreamId, UpstreamLoad> use;
    for (const auto& entry : current.use)
        use.emplace(entry.upstream, entry.load);
    std::map<base::ClientAccountId, base::Tokens> charges;
    for (const auto& charge : current.limits.charges)
        charges.emplace(charge.account, charge.total);
    auto changedUse = m_use.takeChanges(use);
    auto changedCharges = m_charges.takeChanges(charges);
    if (m_sinceComplete == 0 || m_sinceComplete >= completeReportInterval || toNewPeers) {
        m_sinceComplete = 1;
        return current;
    }
    ++m_sinceComplete;
    current.complete = false;
    current.limits.complete = false;
    current.domain = {};
    current.crashes.refusals.clear();
    current.use.clear();
    for (auto& [upstream, load] : changedUse)
        current.use.push_back({ upstream, load.value_or(UpstreamLoad()) });
    current.limits.charges.clear();
    for (auto& [account, total] : changedCharges) {
        if (total)
            current.limits.charges.push_back({ account, *total });
    }
    return current;
}

void PeerLoads::set(Peer& peer, const base::UpstreamId& upstream, const UpstreamLoad& load)
{
    UpstreamLoad before;
    auto known = peer.use.find(upstream);
    if (known != peer.use.end())
        before = known->second;
    if (before == load)
        return;
    if (load == UpstreamLoad())
        peer.use.erase(known);
    else
        peer.use[upstream] = load;
    UpstreamLoad& sum = m_loads[upstream];
    sum.inFlight += load.inFlight - before.inFlight;
    sum.awaiting += load.awaiting - before.awaiting;
    if (sum == UpstreamLoad())
        m_loads.erase(upstream);
    m_changed.insert(upstream);
}

bool PeerLoads::apply(const LoadReport& report, base::Instant now)
{
    auto known = m_peers.find(report.sender.instance);
    bool sameStart = known != m_peers.end() && known->second.incarnation == report.sender.incarnation;
    if (!report.complete && !sameStart)
        return false;
    Peer& peer = m_peers[report.sender.instance];
    peer.incarnation = report.sender.incarnation;
    peer.receivedAt = now;
    peer.directories = report.directories;
    m_queuedChanged |= peer.queued != report.queued || peer.queuedAccounts != report.queuedAccounts;
    peer.queued = report.queued;
    peer.queuedAccounts = report.queuedAccounts;
    if (report.complete) {
        peer.domain = report.domain;
        std::set<base::UpstreamId> used;
        for (const auto& entry : report.use)
            used.insert(entry.upstream);
        std::vector<base::UpstreamId> gone;
        for (const auto& [upstream, load] : peer.use) {
            if (!used.contains(upstream))
                gone.push_back(upstream);
        }
        for (const auto& upstream : gone)
            set(peer, upstream, {});
    }
    for (const auto& entry : report.use)
        set(peer, entry.upstream, entry.load);
    return true;
}

void PeerLoads::expire(base::Duration lifetime, base::Instant now)
{
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        Peer& peer = entry->second;
        if (now - peer.receivedAt <= lifetime) {
            ++entry;
            continue;
        }
        while (!peer.use.empty()) {
            base::UpstreamId upstream = peer.use.begin()->first;
            set(peer, upstream, {});
        }
        m_queuedChanged |= !peer.queued.empty();
        entry = m_peers.erase(entry);
    }
}

std::set<base::UpstreamId> PeerLoads::takeChanged()
{
    return std::exchange(m_changed, {});
}

bool PeerLoads::takeQueuedChanged()
{
    return std::exchange(m_queuedChanged, false);
}

QueuedCallCounts PeerLoads::queued() const
{
    QueuedCallCounts queued;
    for (const auto& [id, peer] : m_peers) {
        for (const auto& [queue, priorities] : peer.queued) {
            for (const auto& [priority, calls] : priorities) {
                queued[queue][priority].inTime += calls.inTime;
                queued[queue][priority].late += calls.late;
            }
        }
    }
    return queued;
}

QueuedByAccount PeerLoads::queuedAccounts() const
{
    QueuedByAccount queued;
    for (const auto& [id, peer] : m_peers) {
        for (const auto& [queue, priorities] : peer.queuedAccounts) {
            for (const auto& [priority, accounts] : priorities) {
                for (const auto& [account, calls] : accounts)
                    queued[queue][priority][account] += calls;
            }
        }
    }
    return queued;
}

} // namespace toucanstep::direct
