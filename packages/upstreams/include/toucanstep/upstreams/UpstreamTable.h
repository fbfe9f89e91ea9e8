// The upstreams that a gateway may send calls to: their entries in the list, newer notices of the planner, their calls in
// flight over all gateways, and their recent failures.

#pragma once

#include "toucanstep/serving/Demand.h"
#include "toucanstep/serving/Upstream.h"
#include "toucanstep/upstreams/Imports.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanstep::upstreams {

struct UpstreamEntry {
    UpstreamDescription description;
    UpstreamLoad own;
    // Calls of the other gateways, as last reported.
    UpstreamLoad peers;
    // Exponentially decaying count: each failure adds one, and the sum halves every failureHalfLifeSeconds.
    double failures = 0;
    base::Instant failuresAsOf;
    // When the last byte was received, and since when calls have been waiting for one.
    base::Instant lastReceived;
    std::optional<base::Instant> awaitingSince;
    // This gateway's calls whose answers are not read for the time being.
    int64_t paused = 0;
    // Not used before this time, since a connection could not be opened.
    base::Instant avoidUntil;
    // Cold until this time, see ColdStartTraits.
    base::Instant coldUntil;

    int64_t inFlight() const { return own.inFlight + peers.inFlight; }
    int64_t awaiting() const { return own.awaiting + peers.awaiting; }
};

class UpstreamTable {
public:
    // A different start id means a new process; the state of the old one is dropped, except for this gateway's calls in flight.
    void put(UpstreamDescription, base::Instant now);
    void remove(const base::UpstreamId&);
    UpstreamEntry* find(const base::UpstreamId&);
    const std::map<base::UpstreamId, UpstreamEntry>& all() const { return m_entries; }

    // Upstreams of an evacuated domain get no calls until the evacuation ends.
    void evacuate(const base::FailureDomain&);
    // The domain's upstreams may have become cold during the evacuation; they count as cold until `coldUntil`.
    void endEvacuation(const base::FailureDomain&, base::Instant coldUntil);
    bool isEvacuated(const UpstreamEntry& entry) const { return m_evacuated.contains(entry.description.domain); }
    const std::set<base::FailureDomain>& evacuatedDomains() const { return m_evacuated; }

    // A notice overrides the list until `until`, since the list shows the planner's changes later.
    void addNotice(const LoadedNotice&, base::Instant until);
    bool holds(const UpstreamEntry&, const ModelTarget&, base::Instant now) const;
    LoadedModels loadedAt(const UpstreamEntry&, base::Instant now) const;
    void expireNotices(base::Instant now);

    void setPeersLoad(const std::map<base::UpstreamId, UpstreamLoad>&);
    void setPeersLoad(const base::UpstreamId&, const UpstreamLoad&);
    void onDispatched(const base::UpstreamId&, base::Instant now);
    void onAnswerBegun(const base::UpstreamId&);
    // A call has left the upstream; `begun` if onAnswerBegun() was called for it.
    void onEnded(const base::UpstreamId&, bool begun);
    void onBytesReceived(const base::UpstreamId&, base::Instant now);
    // The answer to one of this gateway's calls is not read, or is read again.
    void onPaused(const base::UpstreamId&, bool paused, base::Instant now);
    void onFailure(const base::UpstreamId&, base::Instant now);
    void onUnreachable(const base::UpstreamId&, base::Instant now);
    static double recentFailures(const UpstreamEntry&, base::Instant now);
    // Calls have been in flight for a while without a byte received, and answers were read.
    static bool isUnresponsive(const UpstreamEntry&, base::Instant now);

private:
    struct Notice {
        StartId start;
        bool loaded = false;
        base::Instant until;
    };
    std::map<base::UpstreamId, UpstreamEntry> m_entries;
    std::set<base::FailureDomain> m_evacuated;
    std::map<base::UpstreamId, std::map<ModelTarget, Notice>> m_notices;
};

} // namespace toucanstep::upstreams
