// Queues calls of accounts that are short of tokens, in order of arrival within each account.
//
// Short bursts should not cause refusals: an account within its rate sends a few calls at once, or all gateways have just
// started with empty buckets. The tokens become available a moment later, but a refused caller comes back on a new
// connection, competes with later arrivals and mostly finds the tokens spent again. So a call waits if its tokens are
// expected early enough for its latency target, and no later call of the account is charged before it. Any other call is
// refused at once, with the time at which the tokens for the calls ahead of it and for itself are expected.

#pragma once

#include "toucanstep/scheduling/AccountLimits.h"
#include "toucanstep/scheduling/Imports.h"

#include <deque>
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

class TokenQueue {
public:
    struct Decision {
        TokenResult result = TokenResult::Charged;
        // When the tokens are expected; not set for a charged call.
        base::Instant expected;
        // Set for a queued call.
        QueuedCallNumber number;
    };
    struct Due {
        QueuedCallNumber number;
        // Otherwise the call has waited too long and is to be refused.
        bool charged = false;
        base::Instant expected;
    };

    // Refuses a call that is expected to be charged later than `maxWaitUntil`.
    Decision chargeOrQueue(AccountLimits&, const base::ClientAccountId&, base::Tokens, base::Instant maxWaitUntil, base::Instant now);
    // Removes and returns the calls whose wait is over, after charging those that can be charged.
    std::vector<Due> takeDue(AccountLimits&, base::Instant now);
    // For a call that ended while it was queued.
    void remove(QueuedCallNumber);
    // When to call takeDue() next, unless something else happens before.
    std::optional<base::Instant> nextDue(const AccountLimits&, base::Instant now) const;
    bool empty() const { return m_queues.empty(); }

private:
    struct QueuedCall {
        QueuedCallNumber number;
        base::Tokens cost;
        base::Instant waitUntil;
    };
    std::map<base::ClientAccountId, std::deque<QueuedCall>> m_queues;
    QueuedCallNumber m_lastNumber;
};

} // namespace toucanstep::scheduling
