// Keeps each client account's rate and burst over all gateways together, with no call to the store on a request's way.
//
// Every gateway keeps a bucket for each account and charges it with its own calls at once, and with those of its peers as
// their reports come: a report carries what a peer has charged since its start, so a lost one costs nothing. Each gateway
// has an equal part of the rate. A bucket fills with its own gateway's part as time passes, and with a peer's part when the
// peer is heard, for the time since it was heard last and together with what it charged in that time. So the parts of a
// divided fleet add up to one whole from the moment of the division, also before anyone has noticed it. A gateway that
// hears only some of the fleet caps its buckets at its part. A bucket begins empty, so a fleet that is killed and starts
// again gives nobody a second burst; a gateway that starts beside others takes their view of the buckets over instead.
//
// Two gateways that do not hear each other may both hear a third, and must not both spend its part. So a gateway shares a
// peer's part only if it hears everyone whom that peer hears, and that peer hears it: all who share a part then hear each
// other and charge what the others have spent. Of any other peer it credits what that peer has spent itself, up to its part.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/direct/DesiredState.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanstep::direct {

// Tells one start of a gateway from the next.
using Incarnation = base::StrongNumber<struct IncarnationTag>;

struct AccountCharge {
    base::ClientAccountId account;
    // All that was charged since the gateway's start, less what was given back.
    base::Tokens total;
};

struct AccountLimitsSettings {
    // A peer that was not heard for this long may be cut off and spend on its own: three reports in a row are lost.
    base::Duration peerSilence = std::chrono::milliseconds(350);
    // A peer that left the list of gateways counts for this long, as a window of the limits may still hold its calls.
    base::Duration peerMemory = std::chrono::seconds(10);
    // A gateway that was first heard less than this long ago is told what the buckets hold, and takes it over if it has
    // started less than this long ago itself: a few reports' time.
    base::Duration startTime = std::chrono::milliseconds(600);
};

struct AccountBalance {
    base::ClientAccountId account;
    // Below zero where more was spent than there was.
    base::Tokens balance;
};

// What a gateway tells its peers of the limits.
struct LimitReport {
    Incarnation incarnation;
    std::vector<AccountCharge> charges;
    // Gateways that count and that the sender has not heard of late.
    std::vector<base::InstanceId> silentPeers;
    // The same for all senders that hear the same gateways, themselves included.
    int64_t liveSetDigest = 0;
    // What the buckets hold, while a gateway that has just started is heard.
    std::vector<AccountBalance> balances;
};

class AccountLimits {
public:
    explicit AccountLimits(AccountLimitsSettings);

    // Limits that were lowered apply to the balance at once.
    void setAccounts(const DesiredState&, base::Instant now);
    // The other gateways, as the list has them.
    void setPeers(const std::set<base::InstanceId>&, base::Instant now);
    // `now`: the time of this gateway's start.
    void setSelf(base::InstanceId, base::Instant now);
    void onReport(const base::InstanceId& peer, const LimitReport&, base::Instant now);

    // Charges the account and returns nothing, or charges nothing and returns when the tokens are expected to be there.
    std::optional<base::Instant> charge(const base::ClientAccountId&, base::Tokens, base::Instant now);
    // When that much is expected to be there, if nobody else spends it.
    base::Instant expected(const base::ClientAccountId&, base::Tokens, base::Instant now) const;
    // The call was charged and has not run anywhere.
    void refund(const base::ClientAccountId&, base::Tokens);
    LimitReport report(Incarnation, base::Instant now) const;

private:
    struct Bucket {
        double rate = 0;
        double burst = 0;
        double balance = 0;
        base::Instant updated;
        base::Tokens charged;
    };
    struct Peer {
        Incarnation incarnation;
        std::optional<base::Instant> heard;
        base::Instant countsUntil;
        bool listed = false;
        std::set<base::InstanceId> silentPeers;
        int64_t liveSetDigest = 0;
        // When its present start was first heard.
        base::Instant since;
        std::map<base::ClientAccountId, base::Tokens> totals;
    };

    // The gateways among which the rate is divided; this one is among the heard and the shared.
    struct Parts {
        int64_t all = 1;
        int64_t heard = 1;
        // This gateway may spend their parts.
        int64_t shared = 1;
        double ofBurst() const { return static_cast<double>(heard) / static_cast<double>(all); }
        double ofRate() const { return static_cast<double>(shared) / static_cast<double>(all); }
    };
    Parts parts(base::Instant now) const;
    bool heardOfLate(const Peer&, base::Instant now) const;
    bool counts(const Peer&, base::Instant now) const;
    // Whom this gateway hears.
    struct Hearing {
        std::vector<base::InstanceId> silentPeers;
        int64_t digest = 0;
    };
    Hearing hearing(base::Instant now) const;
    // Whether this gateway may spend the peer's part.
    bool shares(const Peer&, const Hearing& own) const;
    void adopt(const std::vector<AccountBalance>&);
    static base::Instant whenThere(const Bucket&, const Parts&, double needed, base::Instant now);
    // Adds the gateway's own part since the last time.
    static void accrue(Bucket&, const Parts&, base::Instant now);

    AccountLimitsSettings m_settings;
    base::InstanceId m_self;
    base::Instant m_started;
    // It knows what the buckets held before its start.
    bool m_hasAdopted = false;
    std::map<base::ClientAccountId, Bucket> m_buckets;
    std::map<base::InstanceId, Peer> m_peers;
};

} // namespace toucanstep::direct
