// Bounds the rate of calls to a cold upstream over all gateways, without any message between them.
//
// A cold upstream tolerates a certain number of calls per second and crashes well above it. All gateways together have to stay
// within that number, also while they cannot reach each other, have just started, or have been suspended. So a gateway's
// part follows from the list of gateways in the store alone. Of N gateways, ranked from 0 by a hash of the upstream and the
// gateway, the one with rank r may make ceil((limit - r) / N) calls per second, and none if r >= limit.
//
// The parts add up to no more than the limit:
//
//  1. A gateway makes such calls only if, without interruption for `settlingTime`, its key has been in the store under a lease
//     that has not ended by its own clock, and the store has answered about the list at intervals of `maxListAge` at most. It
//     counts each gateway that its list has named within that time.
//  2. Let g and h both call within the same second, g at time u. The key of h was in the store from u + 1 s - settlingTime to
//     u - 1 s. Between these times g has received two answers, as settlingTime >= 2 * maxListAge + 2 s. The second one was
//     requested after the first one had arrived, so it shows the store between these times, and names h.
//  3. Hence each of the E gateways that call within a second counts at least these E, and its rank among those that it counts is
//     at least its rank among the E. A part does not grow with the rank or the count, so the sum is at most that of
//     ceil((limit - r) / E) over the ranks r < E, which is the limit.
//
// A call is counted for `callWindow`, which is longer than a second because a connection may have to be opened first.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace toucanstep::direct {

struct ColdStartLimitSettings {
    base::Duration maxListAge = std::chrono::seconds(5);
    base::Duration settlingTime = std::chrono::seconds(13);
    base::Duration callWindow = std::chrono::milliseconds(1350);
};

class ColdStartLimit {
public:
    ColdStartLimit(ColdStartLimitSettings, base::InstanceId self);

    // This gateway's key in the store: registered, and until when its lease lasts by this gateway's clock. To be called several
    // times a second and whenever either changes.
    void setMembership(bool registered, base::Instant leaseEnd, base::Instant now);
    // The store has answered a request for the list of gateways or for its changes.
    void onListAnswer(base::Instant now);
    // The gateways of the list as it is now.
    void setListed(const std::set<base::InstanceId>&, base::Instant now);

    // A call is sent to the upstream, cold or not.
    void onCall(const base::UpstreamId&, base::Instant now);
    // When this gateway may send the next call to the cold upstream, of which all gateways together may send `limit` per second;
    // nothing if its part is none.
    std::optional<base::Instant> nextCall(const base::UpstreamId&, int64_t limit, base::Instant now) const;

private:
    bool isSettled(base::Instant now) const;
    int64_t callsPerSecond(const base::UpstreamId&, int64_t limit, base::Instant now) const;

    ColdStartLimitSettings m_settings;
    base::InstanceId m_self;
    bool m_registered = false;
    base::Instant m_leaseEnd;
    std::optional<base::Instant> m_lastListAnswer;
    // The conditions of the proof hold since settlingTime before this time.
    base::Instant m_settledFrom = base::Instant::max();
    std::set<base::InstanceId> m_listed;
    // Gateways that have left the list, and until when they are counted.
    std::map<base::InstanceId, base::Instant> m_departed;
    // Times of the last calls, oldest first.
    std::map<base::UpstreamId, std::deque<base::Instant>> m_calls;
};

} // namespace toucanstep::direct
