// Keeps the calls to upstreams that advertise a limit within it, over all gateways.
//
// An overloaded upstream advertises in its answers how many calls per second it takes from all gateways together. It gets calls more
// slowly from the first such answer on. A gateway that has heard an answer tells its peers, with the age of what it heard, and
// the newest is in force; so gateways that send nothing there learn of changes too. An answer without a limit ends it. The
// allowed rate then doubles every second until the limit is dropped, so that calls that wait do not arrive all at once.
//
// In each window a gateway sends no more calls than its part of what the limit allows, see FleetShare. A gateway that has lost
// contact with the store keeps its last part: while the store answers nobody, the list of gateways does not change. One that has
// not had a part since its start sends none.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/serving/Upstream.h"
#include "toucanstep/upstreams/FleetShare.h"
#include "toucanstep/upstreams/Imports.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace toucanstep::upstreams {

// What a gateway has heard of the limit of an upstream; sent to its peers.
struct HeardCallLimit {
    base::UpstreamId upstream;
    StartId start;
    // In calls per second over all gateways; nothing if an answer advertised none.
    std::optional<double> limit;
    // Since the answer arrived.
    base::Duration age {};
};

class UpstreamCallLimits {
public:
    // The share must outlive this.
    explicit UpstreamCallLimits(const FleetShare&);

    // An answer of the upstream advertised a limit, or none. Returns whether a limit has begun or ended.
    bool onAnswer(const base::UpstreamId&, StartId, std::optional<double> limit, base::Instant now);
    // A peer has heard this. Returns whether a limit has begun or ended.
    bool onPeerHeard(const HeardCallLimit&, base::Instant now);
    void onCall(const base::UpstreamId&, base::Instant now);
    void remove(const base::UpstreamId&);
    // What this gateway has heard lately itself.
    std::vector<HeardCallLimit> heardLately(base::Instant now) const;

    // In force for that start of the upstream, in calls per second over all gateways; nothing without a limit.
    std::optional<double> limit(const base::UpstreamId&, StartId, base::Instant now) const;
    // When this gateway may send the next call, `now` without a limit; nothing if it has no part.
    std::optional<base::Instant> nextCall(const base::UpstreamId&, StartId, base::Instant now) const;
    // The rate at which this gateway may send; 0 if it has no part. Only for an upstream with a limit.
    double ownRate(const base::UpstreamId&, StartId, base::Instant now) const;

private:
    struct Advertised {
        StartId start;
        std::optional<double> limit;
        base::Instant asOf;
        // Heard by this gateway, not from a peer.
        bool own = false;
        // The limit before it ended, and when it did.
        double ended = 0;
        base::Instant endedAt;
    };
    // What this gateway may send, as a number of calls within a window.
    struct Part {
        int64_t calls = 0;
        base::Duration window {};
    };

    bool setAdvertised(const base::UpstreamId&, Advertised);
    Part partOf(const base::UpstreamId&, double limit, base::Instant now) const;

    const FleetShare& m_share;
    std::map<base::UpstreamId, Advertised> m_advertised;
    // Times of the last calls, oldest first.
    std::map<base::UpstreamId, std::deque<base::Instant>> m_calls;
};

} // namespace toucanstep::upstreams
