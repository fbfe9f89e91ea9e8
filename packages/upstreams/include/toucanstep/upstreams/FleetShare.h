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
//
// Parts do not follow the calls: a gateway to which most callers are connected has no more than the others. So a gateway that has not
// used its part for a while lends it to one that asks. It does not use the part itself before the loan has ended and all calls made by
// it have left every window in which calls are counted. A loan ends `loanTime` after the borrower has sent its request, by the
// borrower's clock. As settlingTime >= 2 * maxListAge + 2 s + loanTime, a part that is used by a loan counts in the proof like one that
// its owner uses.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::upstreams {

struct FleetShareSettings {
    base::Duration maxListAge = std::chrono::seconds(5);
    base::Duration settlingTime = std::chrono::seconds(13);
};

// What a gateway asks its peers for.
struct PartRequest {
    std::string resource;
    // By the clock of the gateway that asks.
    base::Duration sentAt {};
};

struct PartLoan {
    std::string resource;
    base::InstanceId borrower;
    // Of the request.
    base::Duration sentAt {};
    // Of the lender.
    int64_t rank = 0;
    int64_t count = 1;
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

    // This gateway uses the resource, or has calls that its part does not cover.
    void onUse(std::string_view resource, base::Instant now);
    void want(std::string_view resource, base::Instant now);
    // What to send to all peers.
    std::vector<PartRequest> requests(base::Instant now);
    // The answers to requests since the last call.
    std::vector<PartLoan> takeLoans();
    // The incarnation tells the processes of one gateway apart.
    void onPeerRequests(const base::InstanceId& id, int64_t incarnation, const std::vector<PartRequest>&, base::Instant now);
    // Returns whether a loan has begun, rather than been renewed.
    bool onPeerLoans(const base::InstanceId& lender, const std::vector<PartLoan>&, base::Instant now);

    // It takes at least this long until a gateway has a part, and has one again after it had none.
    base::Duration settlingTime() const { return m_settings.settlingTime; }
    // Whether this gateway has a part at all.
    bool isSettled(base::Instant now) const;
    // This gateway's part of `amount` units of the resource, 0 unless settled, and the borrowed parts.
    int64_t part(std::string_view resource, int64_t amount, base::Instant now) const;
    // The same, also while no longer settled; 0 if it never was. While the store answers nobody, these parts add up as before;
    // otherwise the parts of gateways that are cut off come on top of those of the others.
    int64_t lastPart(std::string_view resource, int64_t amount, base::Instant now) const;

private:
    struct Place {
        int64_t rank = 0;
        int64_t count = 1;
    };
    struct Lent {
        base::InstanceId borrower;
        int64_t incarnation = 0;
        // This gateway may use its part again.
        base::Instant until;
    };
    struct Borrowed {
        Place place;
        base::Instant until;
    };
    template <typename Value>
    using ByResource = std::map<std::string, Value, std::less<>>;

    static int64_t partOf(const Place&, int64_t amount);
    int64_t ownPart(std::string_view resource, int64_t amount, base::Instant now) const;
    int64_t borrowedPart(std::string_view resource, int64_t amount, base::Instant now) const;
    bool isWanted(std::string_view resource, base::Instant now) const;
    void expireLoans(base::Instant now);
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
    mutable ByResource<Place> m_places;
    ByResource<base::Instant> m_lastUse;
    ByResource<base::Instant> m_lastWanted;
    // When requests were sent. An answer to another process of this gateway is no loan to this one.
    std::set<base::Instant> m_requestsSent;
    ByResource<Lent> m_lent;
    std::vector<PartLoan> m_loans;
    ByResource<std::map<base::InstanceId, Borrowed>> m_borrowed;
};

} // namespace toucanstep::upstreams
