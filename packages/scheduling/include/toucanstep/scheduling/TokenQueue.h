// Queues calls of accounts that are short of tokens.
//
// Short bursts should not cause refusals: an account within its rate sends a few calls at once, or all gateways have just
// started with empty buckets. The tokens become available a moment later, but a refused caller comes back on a new
// connection, competes with later arrivals and mostly finds the tokens spent again. So a call waits if its tokens are
// expected early enough for its latency target, and no later call of the account is charged before it, unless that is more urgent. Any other
// call is refused at once, with the time at which the tokens for the calls ahead of it and for itself are expected.
//
// Load pattern of the priorities: an account asks for several times its rate for some seconds, with calls that are urgent and
// calls that can wait. More urgent calls go first. While the account is short of tokens, the calls of a priority get what the more
// urgent ones have not asked for lately, and at least a small part, so that none is starved. Of equal priority, the call that can
// wait for the shortest time goes first.

#pragma once

#include "toucanstep/scheduling/AccountLimits.h"
#include "toucanstep/scheduling/Imports.h"

#include <map>
#include <vector>

namespace toucanstep::scheduling {

using QueuedCallNumber = base::StrongNumber<struct QueuedCallNumberTag>;

enum class TokenResult {
    Charged,
    // Reported later by TokenQueue::takeDue().
    Queued,
    Refused,
};

struct TokenRequest {
    base::ClientAccountId account;
    base::Tokens cost;
    // 0 is the most urgent. Nothing where calls go in order of arrival.
    std::optional<int64_t> priority;
    // A call that is expected to be charged later is refused.
    base::Instant maxWaitUntil;
};

class TokenQueue {
public:
    struct Decision {
        TokenResult result = TokenResult::Charged;
        // When the tokens are expected; not set for a charged call.
        base::Instant expected;
        // Set for a queued call.
        QueuedCallNumber number;
        // The tokens are left to more urgent calls of the account.
        bool leftToUrgent = false;
    };
    struct Due {
        QueuedCallNumber number;
        // Otherwise the call has waited too long and is to be refused.
        bool charged = false;
        base::Instant expected;
        bool leftToUrgent = false;
    };

    Decision chargeOrQueue(AccountLimits&, const TokenRequest&, base::Instant now);
    // Removes and returns the calls whose wait is over, after charging those that can be charged.
    std::vector<Due> takeDue(AccountLimits&, base::Instant now);
    // For a call that ended while it was queued.
    void remove(QueuedCallNumber);
    // When to call takeDue() next, unless something else happens before.
    std::optional<base::Instant> nextDue(const AccountLimits&, base::Instant now) const;
    bool empty() const { return m_queues.empty(); }

private:
    struct QueuedCall {
        base::Tokens cost;
        base::Instant waitUntil;
    };
    struct Position {
        int64_t priority = 0;
        // Until when the call waits; the same for all calls that go in order of arrival.
        base::Instant waitUntil;
        QueuedCallNumber number;

        auto operator<=>(const Position&) const = default;
    };
    using Queue = std::map<Position, QueuedCall>;

    // Use of an account's tokens by the calls of one priority at this gateway.
    struct PriorityUse {
        // Tokens per second asked for, as an exponential moving average.
        double askedRate = 0;
        base::Instant askedAsOf;
        // Tokens that the priority may spend while the account is short of them.
        double credit = 0;
        // The least part, which is spent before more urgent calls.
        double leastCredit = 0;
        base::Instant creditAsOf;
    };
    using Uses = std::map<int64_t, PriorityUse>;

    static double askedRateAt(const PriorityUse&, base::Instant now);
    // The tokens per second that calls of the priority may spend at this gateway while the account is short of them.
    double rateOf(const AccountLimits&, const base::ClientAccountId&, int64_t priority, base::Instant now) const;
    void recordAsked(const TokenRequest&, base::Instant now);
    // Adds what the priority has accrued up to now, for a call of that cost.
    PriorityUse& accrue(const AccountLimits&, const base::ClientAccountId&, int64_t priority, base::Tokens cost, base::Instant now);
    // The most urgent call, unless the first one of a less urgent priority has accrued its least part.
    Queue::iterator nextCall(const AccountLimits&, const base::ClientAccountId&, Queue&, base::Instant now);
    // Charges the account unless the tokens are left to more urgent calls.
    bool charge(AccountLimits&, const base::ClientAccountId&, int64_t priority, base::Tokens cost, base::Instant now);
    struct Expectation {
        base::Instant at;
        bool leftToUrgent = false;
    };
    // When a call at that position is charged, after the calls ahead of it.
    Expectation expectation(const AccountLimits&, const base::ClientAccountId&, const Position&, base::Tokens cost, base::Instant now) const;
    // Refuses a call that has waited too long.
    Due refusalOf(const AccountLimits&, const base::ClientAccountId&, const Queue::value_type&, base::Instant now) const;
    bool mayForget(const base::ClientAccountId&, const Uses&, base::Instant now) const;

    std::map<base::ClientAccountId, Queue> m_queues;
    std::map<base::ClientAccountId, Uses> m_uses;
    QueuedCallNumber m_lastNumber;
};

} // namespace toucanstep::scheduling
