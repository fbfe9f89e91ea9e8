// A gateway's claim to a share of the limits of all accounts, which makes the shares that are spent add up to one.
//
// Each gateway spends one Nth of every account's limits, where N is the number of gateways that it counts. The shares add up to
// no more than one if each gateway that spends is counted by every other that spends. A list of live gateways does not give that:
// an entry leaves it with a short lease although its gateway lives, and a list that was read in such a moment is empty. So the
// store keeps a claim for each gateway under a long lease (ten minutes):
//
//  1. A gateway spends only while its claim is in the store by the gateway's own clock, and the store has answered it about the
//     claims within the length of the lease. It counts every gateway whose claim its list shows, and that list is newer than its claim.
//     So it counts all gateways whose claims are older than its own.
//  2. A claim is settled once every other gateway that may spend counts this one. That is so when all gateways with older claims have
//     acknowledged it, or after the length of a lease: by then each of them has read a newer list or has stopped. A gateway that
//     acknowledges a claim counts it for the length of a lease, and from its list after that. The store is told before it is relied on.
//  3. A process that starts again under its name writes its claim over that of its predecessor, in a transaction that fails if the
//     claim has left the store meanwhile. The others have counted it all the time, so it stays settled.
//  4. A claim that is not settled counts only beside a list that was confirmed within `maxListAge`. So a gateway that waits for the
//     acknowledgement of an older claim for longer than that may remove it from the store, unless it is settled: its gateway has
//     either read a list with the newer claim or has stopped, and learns of the removal or stops in the same time. The gateway that
//     removes it goes on to count it for that long.
//
// If gateways g and h both spend at one moment, each counts the other: the later of the two claims was acknowledged, or is in a
// list that the other has read since. So each spends at most one Eth, where E is the number of gateways that spend.
//
// A gateway whose claim is not yet settled spends what is left beside the gateways with older claims that may not count it. Each of these
// spends at most one Bth, where B is the number of gateways that it counts for sure: those with settled claims and with claims older than its own.

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
    base::Duration maxListAge = std::chrono::seconds(4);
    // When a gateway that waits for the acknowledgement of an unsettled claim removes that. Exceeds twice maxListAge.
    base::Duration removalAfter = std::chrono::seconds(9);
};

// The claim of another gateway in the store.
struct ListedClaim {
    base::Revision created;
    base::Revision written;
    bool settled = false;
};

class ShareClaim final : public LimitShare {
public:
    explicit ShareClaim(ShareClaimSettings settings)
        : m_settings(settings)
    {
    }

    // The claim was written at that revision, and has been in the store since `created`. `continued`: over the settled claim of an
    // earlier process.
    void onWritten(base::Revision written, base::Revision created, base::Instant leaseEnd, bool continued, base::Instant now);
    void onRenewed(base::Instant leaseEnd) { m_leaseEnd = leaseEnd; }
    // The claim has left the store, or another process has written it.
    void onLost();
    // The claims of the other gateways as of that revision; `answered`: when the store last answered about them.
    void setOthers(std::map<base::InstanceId, ListedClaim>, base::Revision asOf, base::Instant answered);
    // Another gateway has said that it has heard a report with this claim.
    void onAcknowledged(const base::InstanceId&);
    // All that may spend count this gateway, and the store may be told so.
    bool canSettle(base::Instant now) const;
    // The store has been told.
    void onSettled(base::Revision written);
    // An unsettled claim that is to be removed from the store, since its gateway does not acknowledge this one.
    std::optional<base::InstanceId> removable(base::Instant now) const;

    // Asks for acknowledgements since then.
    std::optional<base::Instant> joiningSince() const { return m_written && !m_settled ? m_writtenAt : std::nullopt; }
    bool isSettled() const { return m_settled; }
    double share(int64_t gateways, base::Instant now) const override;

private:
    bool isListNewer() const { return m_written && m_listRevision >= *m_written; }
    // Whether that gateway may not count this one.
    bool isUnacknowledged(const base::InstanceId&, const ListedClaim&) const;
    // How many gateways the one with that claim counts for sure, including itself.
    int64_t countedBy(const base::InstanceId&, const ListedClaim&) const;

    ShareClaimSettings m_settings;
    std::optional<base::Revision> m_written;
    base::Revision m_created;
    std::optional<base::Instant> m_writtenAt;
    base::Instant m_leaseEnd;
    bool m_settled = false;
    std::map<base::InstanceId, ListedClaim> m_others;
    base::Revision m_listRevision;
    std::optional<base::Instant> m_listAnswered;
    std::set<base::InstanceId> m_acknowledged;
};

} // namespace toucanstep::scheduling
