// Charges the full cost of one request to the account's shares, on the admitting gateway and before the request runs.
//
// The coordinator first tries to charge the full cost to a single share, the one with the highest balance according
// to the hints. If no single share can cover the cost, it gathers parts from all shares in a fixed order. It is a
// state machine: start(), onReply() and onTick() return the messages to send, and outcome() is set once the request
// is admitted or refused. The caller must call onTick() at nextWakeUp().
//
//     ChargeCoordinator coordinator(options, { request, account, cost, deadline }, shares);
//     send(coordinator.start(now));

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/limits/Messages.h"

#include <optional>
#include <variant>
#include <vector>

namespace toucanstep::limits {

// A share as known to this gateway: its holder, and the latest hint with the local time at which it arrived.
struct ShareView {
    base::InstanceId holder;
    ShareHint hint;
    base::Instant observedAt;
    // False once the holder has stopped replying or no longer holds the share; the share then counts as empty.
    bool reachable = true;

    // Expected balance at `now` if nothing has been taken from the share since the hint.
    NanoTokens expectedBalance(base::Instant now) const;
};

struct ChargeOptions {
    // How long to wait for a holder's reply before resending the charge, and again before treating the holder as
    // unreachable.
    base::Duration replyTimeout = std::chrono::milliseconds(20);
    // If the oldest part is older than this when a part arrives, the parts are returned instead of used: a request
    // admitted late on old tokens would carry them into another window. Counted at the times of admission, the bound
    // is therefore burst + rate x (window + gatherWindow); counted at the times of charging, it is exact.
    base::Duration gatherWindow = std::chrono::milliseconds(100);
    // Wait instead of refusing if the missing tokens accrue within this time.
    base::Duration maximumWait {};
    // Charge the gateway's own share first if it is expected to cover the cost and its fill level is at most this
    // much lower, in thousandths of its burst, than that of the share with the highest balance.
    int64_t ownShareMargin = 0;
    base::InstanceId self;
};

struct AccountCharge {
    base::RequestId request;
    base::ClientAccountId account;
    base::Tokens cost;
    base::Instant deadline;
};

// Part of a request's cost, and the share that it was taken from.
struct ChargedPart {
    base::InstanceId holder;
    ChargeId charge;
    ShareId share;
    base::Epoch epoch;
    base::Tokens amount;
};

struct ChargeAdmitted {
    std::vector<ChargedPart> parts;
};

struct ChargeRefused {
    base::RefusalCode code = base::RefusalCode::RateLimited;
    // Earliest time at which the reachable shares together cover the cost if nothing else is taken from them. Empty
    // if waiting alone does not help.
    std::optional<base::Instant> retryAt;
    // Number of shares counted as empty because the holder did not reply or no longer holds the share.
    int unreachableShares = 0;
};

using ChargeOutcome = std::variant<ChargeAdmitted, ChargeRefused>;

// Builds the messages that return `unused` tokens of an admitted request, starting with the last part.
std::vector<AddressedMessage> returnUnused(const std::vector<ChargedPart>&, base::Tokens unused);

class ChargeCoordinator {
public:
    // `shares` must contain all shares of the account; their bursts sum to the account's burst.
    ChargeCoordinator(ChargeOptions, AccountCharge, std::vector<ShareView> shares);

    std::vector<AddressedMessage> start(base::Instant now);
    std::vector<AddressedMessage> onReply(const ChargeReply&, base::Instant now);
    std::vector<AddressedMessage> onTick(base::Instant now);
    // When to call onTick() next; nullopt once there is an outcome.
    std::optional<base::Instant> nextWakeUp() const;
    const std::optional<ChargeOutcome>& outcome() const { return m_outcome; }
    // The shares updated from the replies, to be kept as hints for the next request.
    const std::vector<ShareView>& shares() const { return m_shares; }

private:
    enum class Phase {
        SingleShare,
        Gather,
        // Another request holds the gather lock; retry at m_resumeAt.
        WaitingForLock,
        // Enough tokens will accrue in time; start over at m_resumeAt.
        WaitingForTokens,
    };
    struct Pending {
        size_t share = 0;
        ChargeRequest request;
        base::Instant sentAt;
        base::Instant replyDeadline;
        bool retried = false;
    };

    void proceed(base::Instant now);
    void chargeFullCost(base::Instant now);
    void continueGather(base::Instant now);
    void finishPass(base::Instant now);
    void finishGather();
    void restart(base::Instant now);
    void refuseOrWait(base::Instant now);
    void refuseWith(base::RefusalCode, std::optional<base::Instant> retryAt);
    void sendCharge(size_t share, base::Tokens minimum, base::Tokens wanted, base::Duration lockTtl, base::Instant now);
    void onReplyTimeout(base::Instant now);
    void returnCharge(const Pending&);
    void abandonPending();
    void refundParts();
    void releaseGatherLock();
    void updateView(size_t share, const ChargeReply&, base::Instant now);
    void onGranted(const Pending&, const ChargeReply&, base::Instant now);
    void onBusy(const ChargeReply&, base::Instant now);
    std::optional<size_t> fullestUntriedShare(base::Instant now) const;
    std::optional<size_t> nextReachableShare(size_t from) const;
    void beginGather(base::Instant now);
    base::Tokens gathered() const;
    base::Tokens gatherFloor(base::Instant now) const;
    base::Tokens expectedTotal(base::Instant now) const;
    std::optional<base::Instant> coveredAt(base::Instant now) const;
    std::vector<AddressedMessage> takeOutput();

    ChargeOptions m_options;
    AccountCharge m_charge;
    // Sorted by share index, so that all gateways gather in the same order.
    std::vector<ShareView> m_shares;
    std::vector<bool> m_triedFullCost;
    Phase m_phase = Phase::SingleShare;
    size_t m_nextInPass = 0;
    // Tokens that the first pass of a gather leaves in each share, so that no share stays full and loses what it
    // would accrue.
    base::Tokens m_gatherFloor;
    // The share whose gather lock this request holds.
    std::optional<size_t> m_lockedShare;
    std::optional<Pending> m_pending;
    std::optional<base::Instant> m_resumeAt;
    base::Instant m_startedAt;
    // When this request first found the gather lock held by another request.
    std::optional<base::Instant> m_lockRequestedAt;
    std::vector<ChargedPart> m_parts;
    // When the charge for the oldest of m_parts was sent, by this gateway's clock.
    base::Instant m_oldestPartSentAt;
    int m_nextCharge = 0;
    // Charges that count towards the limit per request.
    int m_chargesSent = 0;
    int m_restarts = 0;
    std::vector<AddressedMessage> m_output;
    std::optional<ChargeOutcome> m_outcome;
};

} // namespace toucanstep::limits
