// Load reports by difference: what a gateway sends to its peers, and what it knows of them.
//
// With N gateways that each report to all others, a gateway receives N reports in each interval. So the interval grows with the
// fleet, such that the number of reports received per second is bounded, and a report carries only what has changed. Every few
// reports one is complete: it corrects what a receiver has missed and tells a new receiver everything. Taking over the loads of a
// report costs what has changed in them; queued() goes over all peers.

#pragma once

#include "toucanstep/direct/FleetReports.h"
#include "toucanstep/direct/Imports.h"
#include "toucanstep/serving/ChangeTracker.h"

#include <map>
#include <set>
#include <vector>

namespace toucanstep::direct {

// Reduces the reports of this gateway to their changes.
class LoadReportChanges {
public:
    // `current` is complete. `toNewPeers`: peers have been added since the last report.
    LoadReport next(LoadReport current, bool toNewPeers);

private:
    int m_sinceComplete = 0;
    ChangeTracker<base::UpstreamId, UpstreamLoad> m_use;
    ChangeTracker<base::ClientAccountId, base::Tokens> m_charges;
};

// What the other gateways have reported, and the sums over them.
class PeerLoads {
public:
    struct Peer {
        Incarnation incarnation;
        base::Instant receivedAt;
        base::FailureDomain domain;
        std::vector<base::Revision> directories;
        std::map<base::UpstreamId, UpstreamLoad> use;
        QueuedCallCounts queued;
        QueuedByAccount queuedAccounts;
    };

    // Returns false for a report that was not applied: one without the whole state of a peer of which nothing is known.
    bool apply(const LoadReport&, base::Instant now);
    // Removes the peers whose last report is older than `lifetime`.
    void expire(base::Duration lifetime, base::Instant now);
    const std::map<base::InstanceId, Peer>& peers() const { return m_peers; }

    // The calls of all peers, by upstream.
    const std::map<base::UpstreamId, UpstreamLoad>& loads() const { return m_loads; }
    // Returns and forgets the upstreams whose load has changed.
    std::set<base::UpstreamId> takeChanged();
    // Returns and forgets whether queued() has changed.
    bool takeQueuedChanged();
    QueuedCallCounts queued() const;
    QueuedByAccount queuedAccounts() const;

private:
    void set(Peer&, const base::UpstreamId&, const UpstreamLoad&);

    std::map<base::InstanceId, Peer> m_peers;
    std::map<base::UpstreamId, UpstreamLoad> m_loads;
    std::set<base::UpstreamId> m_changed;
    bool m_queuedChanged = false;
};

} // namespace toucanstep::direct
