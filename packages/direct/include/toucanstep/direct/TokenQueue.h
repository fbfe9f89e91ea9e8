// Calls of an account that has no tokens at the moment, in the order in which they came.
//
// The load that it answers: an account within its rate sends a few calls at once, or all gateways have just started with
// empty buckets. The tokens are there a moment later. A refused caller comes back on a new connection, among those who came
// after it, and mostly finds the tokens gone again. So a call waits where its tokens will be there early enough for its
// latency target, and nobody of its account overtakes it. Any other call is refused at once, with the time at which the
// tokens for those before it and for itself will be there.

#pragma once

#include "toucanstep/direct/AccountLimits.h"

#include <deque>
#include <map>
#include <vector>

namespace toucanstep::direct {

using QueuedCallNumber = base::StrongNumber<struct QueuedCallNumberTag>;

enum class TokenResult {
    Charged,
    // Its turn will come; see TokenQueue::due().
    Queued,
    Refused,
};

class TokenQueue {
public:
    struct Decision {
        TokenResult answer = TokenResult::Charged;
        // When the tokens are expected.
        base::Instant expected;
        // Of a held call.
        QueuedCallNumber number;
    };
    struct Due {
        QueuedCallNumber number;
        // Otherwise its time is over, and it is to be refused.
        bool charged = false;
        base::Instant expected;
    };

    // `holdUntil`: a call that would be charged later than this is refused.
    Decision take(AccountLimits&, const base::ClientAccountId&, base::Tokens, base::Instant holdUntil, base::Instant now);
    // Calls that need not be held any more; those that are charged have been charged.
    std::vector<Due> due(AccountLimits&, base::Instant now);
    // The call ended otherwise.
    void remove(QueuedCallNumber);
    // When due() is worth a look, if nothing else happens before.
    std::optional<base::Instant> next(const AccountLimits&, base::Instant now) const;
    bool empty() const { return m_lines.empty(); }

private:
    struct Held {
        QueuedCallNumber number;
        base::Tokens cost;
        base::Instant until;
    };
    std::map<base::ClientAccountId, std::deque<Held>> m_lines;
    QueuedCallNumber m_last;
};

} // namespace toucanstep::direct
