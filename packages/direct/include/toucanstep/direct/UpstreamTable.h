// The upstreams that a gateway may send calls to: what the list says of them, what the planner has told since, how many
// calls run there over all gateways, and how well they answered lately.

#pragma once

#include "toucanstep/direct/FleetReports.h"
#include "toucanstep/direct/Upstream.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanstep::direct {

struct UpstreamEntry {
    UpstreamDescription description;
    UpstreamLoad own;
    // Of the other gateways, as last reported.
    UpstreamLoad peers;
    // Failures of late: each adds one, and the sum halves every failureHalfLife.
    double failures = 0;
    base::Instant failuresAsOf;
    // The last byte that came from it, and since when calls have been waiting for one.
    base::Instant lastReceived;
    std::optional<base::Instant> awaitingSince;
    // No connection could be opened; not tried again before.
    base::Instant avoidUntil;

    int64_t inFlight() const { return own.inFlight + peers.inFlight; }
    int64_t awaiting() const { return own.awaiting + peers.awaiting; }
};

class UpstreamTable {
public:
    // A description with another start mark belongs to a new process: what was known of the old one is dropped.
    void put(UpstreamDescription, base::Instant now);
    void remove(const base::UpstreamId&);
    UpstreamEntry* find(const base::UpstreamId&);
    const std::map<base::UpstreamId, UpstreamEntry>& all() const { return m_entries; }

    // What the planner did is known before the list shows it; a notice holds until the list must have caught up.
    void addNotice(const LoadedNotice&, base::Instant until);
    bool holds(const UpstreamEntry&, const ModelTarget&, base::Instant now) const;
    LoadedModels loadedAt(const UpstreamEntry&, base::Instant now) const;
    void expireNotices(base::Instant now);

    void setPeersLoad(const std::map<base::UpstreamId, UpstreamLoad>&);
    void onDispatched(const base::UpstreamId&, base::Instant now);
    void onAnswerBegun(const base::UpstreamId&);
    // A call is no longer there; `begun` if onAnswerBegun() was called for it.
    void onEnded(const base::UpstreamId&, bool begun);
    void onBytesReceived(const base::UpstreamId&, base::Instant now);
    void onFailure(const base::UpstreamId&, base::Instant now);
    void onUnreachable(const base::UpstreamId&, base::Instant now);
    static double recentFailures(const UpstreamEntry&, base::Instant now);
    // Calls have been waiting there for a while and not a byte of any has come.
    static bool isUnresponsive(const UpstreamEntry&, base::Instant now);

private:
    struct Notice {
        StartId start;
        bool loaded = false;
        base::Instant until;
    };
    std::map<base::UpstreamId, UpstreamEntry> m_entries;
    std::map<base::UpstreamId, std::map<ModelTarget, Notice>> m_notices;
};

} // namespace toucanstep::direct
