// Enforces each client account's rate and burst across all gateways, without a call to the store on the request path.
//
// Every gateway keeps a token bucket for each account. It charges its own calls at once, and its peers' calls as their
// reports arrive. A report carries the total that a peer has charged since its start, so a lost report does no harm; between
// two complete reports it names only the accounts that were charged, twice, and what is lost of that is deducted with the next
// complete one. A peer is heard only from a complete report on. Each gateway has an equal share of the rate, and none while the others
// may not count it (see ShareClaim). A bucket is refilled with its own gateway's share as time passes, and with a peer's share when the peer is heard: for the time since its
// last report, together with what it charged in that time. So the shares of a partitioned fleet add up to the whole rate from
// the start of the partition, even before it is detected. A gateway that hears only part of the fleet caps its buckets at that
// part of the burst. A bucket starts empty, so a fleet that is killed and restarted grants nobody a second burst; a gateway
// that starts beside others adopts their balances.
//
// Two gateways that do not hear each other may both hear a third, and must not both spend its share. So a gateway spends a
// peer's share only if it hears every gateway that the peer hears, and the peer hears it: all gateways that spend a share
// then hear each other and deduct what the others have spent. From any other peer it credits only what that peer has spent
// itself, up to its share. A peer that has no share has none to spend for others either: some may not count it.
//
// Load pattern: an account floods all gateways. Each of them sees the balance become positive in the same reports, and if each
// spent all of it, they would together spend it many times. So within the time in which a peer may not know a charge, a gateway
// spends no more than its part of the pool: of the balance and of what all gateways are known to have charged in that time. The
// parts add up to one. Half of each part is the same for all gateways, the other half follows the charges that all have heard. A
// call that is larger than its gateway's part accrues it over time while the account is short of tokens, and is charged at once
// while the account has more than half of its burst.
//
// A refund returns no more than the least room that the bucket has had since the charge: what was lost at the cap in the meantime
// would otherwise be spent twice.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/scheduling/Imports.h"
#include "toucanstep/scheduling/ShareClaim.h"
#include "toucanstep/serving/DesiredState.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanstep::scheduling {

// Distinguishes the successive starts of a gateway.
using Incarnation = base::StrongNumber<struct IncarnationTag>;

struct AccountCharge {
    base::ClientAccountId account;
    // Charged since the gateway's start, less refunds.
    base::Tokens total;
};

struct AccountLimitsSettings {
    // A peer that was not heard for this many intervals of reports, which is three lost ones in a row, may be partitioned and
    // spend on its own.
    double silentIntervals = 3.5;
    // A peer that left the gateway list counts for this long, since its calls may still be within a window of the limits.
    base::Duration departedPeerRetention = std::chrono::seconds(10);
    // A peer whose claim is not settled counts for this long after it was heard, though no list may name it.
    base::Duration joiningPeerRetention = ShareClaimSettings().lease;
    // A gateway that was first heard less than this many intervals ago is sent the balances, and adopts them if it started less
    // than this many intervals ago.
    double startupIntervals = 6;
    // A charge may be unknown to a peer for this many intervals: until the next report, and on its way.
    double unheardIntervals = 1.5;
    // The part of the pool that is divided by charges; the rest is divided evenly, so that a gateway that gets its first calls has a
    // part as well.
    double partByCharges = 0.5;
    // Time constant of the charges by which it is divided.
    base::Duration chargeMemory = std::chrono::seconds(2);
    // The part of rate x window + burst by which an account may exceed it in a window.
    double overshoot = 0;
    base::Duration window {};
    // An account that has left the desired state is remembered for this long.
    base::Duration removedAccountRetention = std::chrono::minutes(10);
    // Refunds of older charges return nothing.
    base::Duration refundTime = std::chrono::seconds(30);
};

struct AccountBalance {
    base::ClientAccountId account;
    // Negative if more was spent than was available.
    base::Tokens balance;
};

// A gateway's report to its peers about the limits.
struct LimitReport {
    Incarnation incarnation;
    std::vector<AccountCharge> charges;
    // Members that the sender has not heard recently.
    std::vector<base::InstanceId> silentPeers;
    // Equal for all senders that hear the same gateways, including themselves.
    int64_t liveSetDigest = 0;
    // Sent while a newly started gateway is heard.
    std::vector<AccountBalance> balances;
    // Otherwise an account that the peer has reported before and `charges` lacks was not charged since.
    bool complete = true;
    // A long list of silent peers is left out: while a fleet starts, lists of all other gateways would fill the links on which
    // these are waiting to be heard.
    bool silentPeersLeftOut = false;
    // The sender's own share of the limits where that is less than an equal one, see ShareClaim.
    double share = 1;
    // The sender's claim is not settled.
    bool joining = false;
    // Peers whose reports with `joining` the sender has heard lately. Of many only some are named; the digests tell in time.
    std::vector<base::InstanceId> acknowledged;
};

class AccountLimits {
public:
    explicit AccountLimits(AccountLimitsSettings);

    // The interval at which gateways report; it follows from the size of the fleet.
    void setReportInterval(base::Duration);
    // Lowered limits apply to the balances at once.
    void setAccounts(const DesiredState&, base::Instant now);
    // The other gateways of the gateway list, with their claims.
    void setPeers(const std::map<base::InstanceId, ListedClaim>&, base::Instant now);
    // This gateway's own share; without it, an equal one. Must outlive this.
    void setShare(const LimitShare& share) { m_share = &share; }
    // Whether the sender of the report has heard the claim that this gateway has had since `joiningSince`, and so counts this gateway.
    bool isAcknowledgedBy(const LimitReport&, base::Instant joiningSince, base::Instant now) const;
    // Whether this gateway has a share of its own to spend.
    bool hasShare(base::Instant now) const;
    // Whether it may charge every account: it has a share, or no account has a limit.
    bool mayChargeAll(base::Instant now) const;
    // `now`: the time of this gateway's start.
    void setSelf(base::InstanceId, base::Instant now);
    void onReport(const base::InstanceId& peer, const LimitReport&, base::Instant now);

    // Charges the account and returns nothing, or charges nothing and returns when the tokens are expected.
    std::optional<base::Instant> charge(const base::ClientAccountId&, base::Tokens, base::Instant now);
    // When that many tokens are expected, if nobody else spends them.
    base::Instant expected(const base::ClientAccountId&, base::Tokens, base::Instant now) const;
    // For a call that was charged at that time and has not run anywhere.
    void refund(const base::ClientAccountId&, base::Tokens, base::Instant chargedAt, base::Instant now);
    // Whether the account has less than half of its burst, so that its calls compete for its tokens.
    bool isShort(const base::ClientAccountId&, base::Instant now) const;
    // The tokens per second that this gateway may spend of an account that is short of them.
    double ownRate(const base::ClientAccountId&, base::Instant now) const;
    LimitReport report(Incarnation, bool joining, base::Instant now) const;

    // The numbers of gateways among which the rate is divided, of those that are heard, and of those whose shares this
    // gateway may spend. Each includes this gateway.
    struct RateShares {
        int64_t total = 1;
        int64_t live = 1;
        int64_t spendable = 1;
        // The part of the rate with which this gateway refills its buckets itself.
        double own = 1;
        double burstFraction() const { return static_cast<double>(live) / static_cast<double>(total); }
        double rateFraction() const { return static_cast<double>(spendable) / static_cast<double>(total); }
        bool operator==(const RateShares&) const = default;
    };
    RateShares rateShares(base::Instant now) const;

private:
    // Charges of the time in which they may be unknown to a gateway, and a decaying sum of the earlier ones.
    class RecentCharges {
    public:
        void add(double amount, base::Instant now);
        // Moves charges made before `from` to the earlier ones.
        void age(base::Instant from, base::Duration memory);
        double recent() const { return m_recent; }
        double earlier(base::Instant now, base::Duration memory) const;

    private:
        struct Entry {
            base::Instant at;
            double amount;
        };
        std::deque<Entry> m_entries;
        double m_recent = 0;
        double m_earlier = 0;
        base::Instant m_earlierAsOf;
    };
    // The least room below the burst since some time.
    class LeastRoom {
    public:
        void add(double room, base::Instant now, base::Instant forgottenBefore);
        // Zero for a time that is no longer known.
        double since(base::Instant) const;

    private:
        struct Entry {
            base::Instant at;
            double room;
        };
        // In order of time; room grows, since an entry with more room than a later one is never the least.
        std::deque<Entry> m_entries;
        bool m_forgotten = false;
    };
    struct Bucket {
        double rate = 0;
        double burst = 0;
        double balance = 0;
        base::Instant updated;
        // Since when the desired state has no limit for the account. Peers would read a total that begins anew as a refund.
        std::optional<base::Instant> removed;
        base::Tokens charged;
        RecentCharges own;
        RecentCharges peers;
        LeastRoom room;
        // What this gateway has accrued for a call that is larger than its part, and when a call last needed it.
        double accrued = 0;
        base::Instant accruedAsOf;
    };
    struct Peer {
        Incarnation incarnation;
        std::optional<base::Instant> lastHeard;
        base::Instant memberUntil;
        std::optional<ListedClaim> listed;
        bool joining = false;
        base::Instant joiningUntil;
        // The revision of its listed claim when it was last heard joining.
        base::Revision joiningAfter;
        std::set<base::InstanceId> silentPeers;
        bool silentPeersLeftOut = false;
        int64_t liveSetDigest = 0;
        // Of its name.
        int64_t digest = 0;
        // When its current incarnation was first heard.
        base::Instant incarnationSeenAt;
        std::map<base::ClientAccountId, base::Tokens> chargedTotals;
    };

    bool recentlyHeard(const Peer&, base::Instant now) const;
    bool isMember(const Peer&, base::Instant now) const;
    // The members that this gateway does not hear, and a digest of those that it hears, including itself.
    struct LiveSet {
        std::vector<base::InstanceId> silentPeers;
        int64_t digest = 0;
    };
    LiveSet liveSet(base::Instant now) const;
    bool maySpendShareOf(const Peer&, const LiveSet& own) const;
    void age(Bucket&, base::Instant now) const;
    // This gateway's part of the pool, from 0 to 1.
    double partOf(const Bucket&, const RateShares&, base::Instant now) const;
    // Whether the gateway's part covers the amount; `from`: otherwise when it is expected to.
    bool isCovered(const base::ClientAccountId&, Bucket&, const RateShares&, double amount, base::Instant now, base::Instant& from);
    void adoptBalances(const std::vector<AccountBalance>&);
    static base::Instant availableAt(const Bucket&, const RateShares&, double needed, base::Instant now);
    // Adds the gateway's own share for the time since the last refill, and applies the cap.
    void refill(Bucket&, const RateShares&, base::Instant now) const;

    // Nothing for an account without a limit.
    const Bucket* limitedBucket(const base::ClientAccountId&) const;
    Peer& peerOf(const base::InstanceId&);

    AccountLimitsSettings m_settings;
    const LimitShare* m_share = nullptr;
    base::Duration m_peerSilence {};
    base::Duration m_unheardTime {};
    base::Duration m_startupWindow {};
    base::InstanceId m_self;
    base::Instant m_started;
    // Whether the balances include what was spent before this gateway's start.
    bool m_hasAdoptedBalances = false;
    std::map<base::ClientAccountId, Bucket> m_buckets;
    std::map<base::InstanceId, Peer> m_peers;
};

} // namespace toucanstep::scheduling
