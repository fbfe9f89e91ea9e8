// A gateway's part of what all gateways together may use, without any message between them.
//
// All gateways together have to stay within a number, also while they cannot reach each other, have just started, or have been
// suspended. So a gateway's part follows from the list of gateways in the store alone. Of N gateways, ranked from 0 by a hash
// of the resource and the gateway, the one with rank r has ceil((amount - r) / N), and none if r >= amount.
//
// The parts of the gateways that use theirs within a second of each other add up to no more than the amount:
//
//  1. A gateway has a part only if, without interruption for `settlingTime`, its key has been in the store under a lease that
//     has not ended by its own clock, and the store has answered about the list at intervals of `maxListAge` at most. It counts
//     each gateway that its list has named within that time.
//  2. Let g and h both use their parts within the same second, g at time u. The key of h was in the store from
//     u + 1 s - settlingTime to u - 1 s. Between these times g has received two answers, as settlingTime >= 2 * maxListAge + 2 s.
//     The second one was requested after the first one had arrived, so it shows the store between these times, and names h.
//  3. Hence each of the E gateways counts at least these E, and its rank among those that it counts is at least its rank among
//     the E. A part does not grow with the rank or the count, so the sum is at most that of ceil((amount - r) / E) over the ranks
//     r < E, which is the amount.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace toucanstep::direct {

struct FleetShareSettings {
    base::Duration maxListAge = std::chrono::seconds(5);
    base::Duration settlingTime = std::chrono::seconds(13);
};

class FleetShare {
public:
    FleetShare(FleetShareSettings, base::InstanceId self);

    // This gateway's key in the store: registered, and until when its lease lasts by this gateway's clock. To be called several
    // times a second and whenever either changes.
    void setMembership(bool registered, base::Instant leaseEnd, base::Instant now);
    // The store has answered a request for the list of gateways or for its changes.
    void onListAnswer(base::Instant now);
    // The gateways of the list as it is now.
    void setListed(const std::set<base::InstanceId>&, base::Instant now);

    // It takes at least this long until a gateway has a part, and has one again after it had none.
    base::Duration settlingTime() const { return m_settings.settlingTime; }
    // Whether this gateway has a part at all.
    bool isSettled(base::Instant now) const;
    // This gateway's part of `amount` units of the resource; 0 unless settled.
    int64_t part(std::string_view resource, int64_t amount, base::Instant now) const;
    // The same, also while no longer settled; 0 if it never was. While the store answers nobody, these parts add up as before;
    // otherwise the parts of gateways that are cut off come on top of those of the others.
    int64_t lastPart(std::string_view resource, int64_t amount) const;

private:
    struct Place {
        int64_t rank = 0;
        int64_t count = 1;
    };
    const Place& placeFor(std::string_view resource) const;

    FleetShareSettings m_settings;
    base::InstanceId m_self;
    bool m_registered = false;
    base::Instant m_leaseEnd;
    std::optional<base::Instant> m_lastListAnswer;
    // The conditions of the proof hold since settlingTime before this time.
    base::Instant m_settledFrom = base::Instant::max();
    std::set<base::InstanceId> m_listed;
    bool m_wasSettled = false;
    // Gateways that have left the list, and until when they are counted.
    std::map<base::InstanceId, base::Instant> m_departed;
    // Valid until the counted gateways change.
    mutable std::map<std::string, Place, std::less<>> m_places;
};

} // namespace toucanstep::direct
