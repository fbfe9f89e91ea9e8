// A gateway's claim to a share of the limits of all accounts, which makes the shares that are spent add up to one.
//
// Each gateway spends one Nth of every account's limits, where N is the number of gateways that it counts. The shares add up to
// no more than one if each gateway that spends is counted by every other that spends. A list of live gateways does not give that:
// an entry leaves it with a short lease although its gateway lives, and a list that was read in such a moment is empty. So the
// store keeps a claim for each gateway under a long lease (ten minutes):
//
//  1. A gateway spends only while its claim is in the store by the gateway's own clock, and the store has answered it about the
//     claims within the length of the lease. It counts every gateway whose claim its list shows.
//  2. A claim is settled once every other gateway that may spend counts this one. A new claim is settled when all gateways whose
//     claims are in a list that is newer than it have acknowledged it, or after the length of a lease: by then each of them has read a
//     newer list or has stopped. A gateway that acknowledges a claim counts it for the length of a lease, and from its list after that.
//  3. A process that starts again under its name writes its claim over that of its predecessor, in a transaction that fails if the
//     claim has left the store meanwhile. The others have counted it all the time, so it stays settled.
//
// If gateways g and h both spend at one moment, each counts the other: the later of the two claims was acknowledged, or is in a
// list that the other has read since. So each spends at most one Eth, where E is the number of gateways that spend.
//
// A gateway whose claim is not yet settled spends what is left beside those that may not count it. These count every settled
// claim, so each spends at most one Sth, where S is the number of settled claims.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <map>
#include <optional>
#include <set>

namespace toucanstep::scheduling {

// The part of each account's limits that a gateway may spend of its own, from 0 to 1.
class LimitShare {
public:
    virtual ~LimitShare() = default;
    // `gateways`: among how many it divides, including itself.
    virtual double share(int64_t gateways, base::Instant now) const = 0;
};

struct ShareClaimSettings {
    base::Duration lease = std::chrono::minutes(10);
    // The clocks of the store and of the gateways run at slightly different rates.
    base::Duration margin = std::chrono::seconds(5);
    // An unsettled claim counts only beside a list that was confirmed this lately.
    base::Duration maxListAge = std::chrono::seconds(5);
};

// The claim of another gateway in the store.
struct ListedClaim {
    base::Revision written;
    bool settled = false;
};

class ShareClaim final : public LimitShare {
public:
    explicit ShareClaim(ShareClaimSettings settings)
        : m_settings(settings)
    {
    }

    // The claim was written at that revision. `continued`: over the settled claim of an earlier process, which was still in the store.
    void onWritten(base::Revision, base::Instant leaseEnd, bool continued, base::Instant now);
    void onRenewed(base::Instant leaseEnd) { m_leaseEnd = leaseEnd; }
    // The claim has left the store, or another process has written it.
    void onLost();
    // The claims of the other gateways as of that revision; `answered`: when the store last answered about them.
    void setOthers(std::map<base::InstanceId, ListedClaim>, base::Revision asOf, base::Instant answered);
    // Another gateway has said that it has heard a report with this claim.
    void onAcknowledged(const base::InstanceId&);
    // To be called several times a second.
    void tick(base::Instant now);

    // Asks for acknowledgements since then.
    std::optional<base::Instant> joiningSince() const { return m_written && !m_settled ? m_writtenAt : std::nullopt; }
    bool isSettled() const { return m_settled; }
    double share(int64_t gateways, base::Instant now) const override;

private:
    bool isListNewer() const { return m_written && m_listRevision >= *m_written; }
    // Gateways that may not count this one.
    int64_t unacknowledged() const;

    ShareClaimSettings m_settings;
    std::optional<base::Revision> m_written;
    std::optional<base::Instant> m_writtenAt;
    base::Instant m_leaseEnd;
    bool m_settled = false;
    std::map<base::InstanceId, ListedClaim> m_others;
    base::Revision m_listRevision;
    std::optional<base::Instant> m_listAnswered;
    std::set<base::InstanceId> m_acknowledged;
};

} // namespace toucanstep::scheduling
