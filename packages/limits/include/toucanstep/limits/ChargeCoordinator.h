// Charges the whole cost of one request, at the gateway that admits it, before the request runs.
//
// The planner asks the share that is fullest by hints for the whole cost; where no single share has it, it gathers parts
// from all shares in their fixed order. It is a state machine: start(), onReply() and onTick() return the messages to
// send, and outcome() is set once the request is admitted or refused. The caller calls onTick() at nextWakeUp().
//
//     ChargeCoordinator planner(options, { request, account, cost, deadline }, shares);
//     send(planner.start(now));

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/limits/Messages.h"

#include <optional>
#include <variant>
#include <vector>

namespace toucanstep::limits {

// A share as this gateway knows it: who holds it, and the latest hint with the local time of its arrival.
struct ShareView {
    base::InstanceId holder;
    ShareHint hint;
    base::Instant observedAt;
    // False once the holder stopped answering; its share then counts as empty.
    bool reachable = true;

    // The balance to expect now if nobody has taken from the share since.
    NanoTokens expectedBalance(base::Instant now) const;
};

struct ChargeOptions {
    // How long a holder may take to answer before the same charge is sent again, and before it counts as unreachable.
    base::Duration answerTimeout = std::chrono::milliseconds(20);
    // Tokens older than this when the last part arrives are given back instead of used: a request that is admitted late
    // on old tokens would carry them into another window. By the times of admission the bound is therefore
    // burst + rate x (window + gatherWindow); by the times of charging it is exact.
    base::Duration gatherWindow = std::chrono::milliseconds(100);
    // Waits for tokens that accrue within this time instead of refusing.
    base::Duration maximumWait {};
    // The gateway's own share is asked first if it is at most this much less full, in thousandths of its burst.
    int64_t ownShareMargin = 0;
    base::InstanceId self;
};

struct AccountCharge {
    base::RequestId request;
    base::ClientAccountId account;
    base::Tokens cost;
    base::Instant deadline;
};

// A part of a cost and where it was taken.
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
    // The first instant at which the reachable shares together hold the cost, if nothing else is taken from them; absent
    // where waiting alone does not help.
    std::optional<base::Instant> retryAt;
    // Shares whose holder did not answer, or no longer holds them; they counted as empty.
    int unreachableShares = 0;
};

using ChargeOutcome = std::variant<ChargeAdmitted, ChargeRefused>;

// Gives `unused` tokens of an admitted request back, the last part first.
std::vector<AddressedMessage> returnUnused(const std::vector<ChargedPart>&, base::Tokens unused);

class ChargeCoordinator {
public:
    // `shares` are all shares of the account; the sum of their bursts is the account's burst.
    ChargeCoordinator(ChargeOptions, AccountCharge, std::vector<ShareView> shares);

    std::vector<AddressedMessage> start(base::Instant now);
    std::vector<AddressedMessage> onReply(const ChargeReply&, base::Instant now);
    std::vector<AddressedMessage> onTick(base::Instant now);
    // When onTick has something to do; nothing once there is an outcome.
    std::optional<base::Instant> nextWakeUp() const;
    const std::optional<ChargeOutcome>& outcome() const { return m_outcome; }
    // The shares with what the replies have told, to be kept as hints for the next request.
    const std::vector<ShareView>& shares() const { return m_shares; }

private:
    enum class Phase {
        WholeFromOne,
        Gather,
        // Another request gathers; ask for the turn again at m_resumeAt.
        WaitingForTurn,
        // Tokens accrue in time; begin anew at m_resumeAt.
        WaitingForTokens,
    };
    struct Pending {
        size_t share = 0;
        ChargeRequest request;
        base::Instant sentAt;
        base::Instant answerBy;
        bool retried = false;
    };

    void proceed(base::Instant now);
    void askWhole(base::Instant now);
    void continueGather(base::Instant now);
    void finishPass(base::Instant now);
    void finishGather();
    void restart(base::Instant now);
    void refuseOrWait(base::Instant now);
    void refuseWith(base::RefusalCode, std::optional<base::Instant> retryAt);
    void ask(size_t share, base::Tokens minimum, base::Tokens wanted, base::Duration lockTtl, base::Instant now);
    void onAnswerTimeout(base::Instant now);
    void returnCharge(const Pending&);
    void abandonPending();
    void giveBackParts();
    void endTurn();
    void noteHint(size_t share, const ChargeReply&, base::Instant now);
    void onGranted(const Pending&, const ChargeReply&, base::Instant now);
    void onBusy(const ChargeReply&, base::Instant now);
    std::optional<size_t> fullestUnasked(base::Instant now) const;
    std::optional<size_t> nextReachable(size_t from) const;
    void beginGather(base::Instant now);
    base::Tokens gathered() const;
    base::Tokens levelAfterGather(base::Instant now) const;
    base::Tokens expectedTotal(base::Instant now) const;
    std::optional<base::Instant> coveredAt(base::Instant now) const;
    std::vector<AddressedMessage> takeOutput();

    ChargeOptions m_options;
    AccountCharge m_order;
    // In the order of their indexes, which is the order of gathering at every gateway.
    std::vector<ShareView> m_shares;
    std::vector<bool> m_askedWhole;
    Phase m_phase = Phase::WholeFromOne;
    size_t m_nextInPass = 0;
    // What the first pass of a gathering leaves in each share, so that none stays full and loses what it accrues.
    base::Tokens m_gatherLevel;
    // The share at which this request has the turn to gather.
    std::optional<size_t> m_turnAt;
    std::optional<Pending> m_pending;
    std::optional<base::Instant> m_resumeAt;
    base::Instant m_startedAt;
    // Since when this request waits for the turn.
    std::optional<base::Instant> m_turnWantedAt;
    std::vector<ChargedPart> m_parts;
    // When the oldest of m_parts was asked for, by this gateway's clock.
    base::Instant m_oldestPartSentAt;
    int m_nextCharge = 0;
    // Charges that count against the bound on one request's work.
    int m_chargesSent = 0;
    int m_restarts = 0;
    std::vector<AddressedMessage> m_output;
    std::optional<ChargeOutcome> m_outcome;
};

} // namespace toucanstep::limits
