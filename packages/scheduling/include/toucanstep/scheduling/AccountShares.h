// Tracks the service that each client account has received over all gateways, in tokens, so that waiting calls are served
// fairly between accounts.
//
// Load pattern: one account sends many times its usual load for some seconds, at all gateways, while calls wait for full
// upstreams. In order of arrival it would get slots in proportion to its calls, and the other accounts' calls would be late. So
// the call of the account with the lowest counter goes first (start-time fair queueing). A counter grows by the cost of each
// call: of the gateway's own calls when they are sent, of peers' calls when their reports state a higher total of charges.
//
// An account that starts to wait is raised to the lowest counter of the accounts that wait in the same queue, so that it has no
// credit from a time in which it sent nothing. The other way round, what an account received while nothing waited must not hold
// it back for long: its lead over the virtual time decays while it has no waiting calls.
//
// Peers report charges, which include calls that wait there: a peer's service is its charges less the cost of the calls that it
// reports as waiting. A refused call is refunded, which lowers the total again. Accounts without limits are not charged, so only the
// gateway's own calls count for them.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/scheduling/AccountLimits.h"
#include "toucanstep/scheduling/FairSlotPart.h"
#include "toucanstep/scheduling/Imports.h"
#include "toucanstep/serving/Demand.h"

#include <map>
#include <set>

namespace toucanstep::scheduling {

// The accounts that have calls waiting for a slot, by queue. Calls without an account count under the empty id.
using WaitingAccounts = std::map<ModelQueue, std::set<base::ClientAccountId>>;

// Adds the accounts that wait elsewhere in the same queues.
void addWaitingAccounts(WaitingAccounts&, const QueuedByAccount&);

using TokensByAccount = std::map<base::ClientAccountId, base::Tokens>;

struct AccountSharesSettings {
    // Time constant with which the lead of an account without waiting calls decays.
    base::Duration leadMemory = std::chrono::seconds(2);
    // A peer that was not heard for this long starts anew.
    base::Duration peerRetention = std::chrono::seconds(60);
};

class AccountShares {
public:
    explicit AccountShares(AccountSharesSettings settings = {});

    // A call of the account was sent by this gateway.
    void onServed(const base::ClientAccountId&, base::Tokens cost, base::Instant now);
    // `waiting`: the cost of the charged calls that wait at the peer. Returns the number of entries that were ignored since their
    // values are absurd.
    size_t onPeerServed(const base::InstanceId& peer, const LimitReport&, const TokensByAccount& waiting, base::Instant now);
    // Replaces the accounts that wait here or, as reported, at other gateways; to be called before each pass over the waiting calls.
    void onWaiting(WaitingAccounts, base::Instant now);
    // In tokens; only differences have a meaning.
    double counter(const base::ClientAccountId&) const;
    // Of the accounts that wait: how far their counters are above the lowest one, in calls of that mean cost.
    LeadsByAccount leads(double meanCost) const;

private:
    struct Account {
        double counter = 0;
        // Refunds do not lower the counter below this.
        double raisedTo = 0;
        base::Instant asOf;
    };
    struct Peer {
        Incarnation incarnation;
        base::Instant heard;
        std::map<base::ClientAccountId, int64_t> charged;
        // What the charges without the waiting calls were in the last report.
        std::map<base::ClientAccountId, int64_t> served;
    };

    Account& accountAt(const base::ClientAccountId&, base::Instant now);
    void addService(const base::ClientAccountId&, double change, base::Instant now);
    void advanceVirtualTime();
    // The lowest counter of the accounts that waited before in the queues in which that account starts to wait.
    double floorFor(const base::ClientAccountId&, const WaitingAccounts&) const;
    void expire(base::Instant now);

    AccountSharesSettings m_settings;
    // The lowest counter that an account with waiting calls has had.
    double m_virtualTime = 0;
    std::map<base::ClientAccountId, Account> m_accounts;
    std::map<base::InstanceId, Peer> m_peers;
    WaitingAccounts m_waiting;
    std::set<base::ClientAccountId> m_waitingAnywhere;
};

} // namespace toucanstep::scheduling
