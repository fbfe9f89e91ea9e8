// Orders the calls that wait for full upstreams, and estimates when each of them starts.
//
// Load pattern: more calls arrive than slots become free, with priorities and latency targets of 300 ms to some seconds, and one
// account sends most of them. More urgent calls go first; within a priority streams that resume, then calls that can
// still be in time; among these the account that has received least; and of one account the call with the least slack.
//
// Each call counts with the cost of the calls of its account that go before it in the same queue. Otherwise all calls of the
// account with the lowest counter would go before the first call of any other in one pass.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/scheduling/AccountShares.h"
#include "toucanstep/scheduling/QueueDiscipline.h"
#include "toucanstep/serving/Demand.h"

#include <vector>

namespace toucanstep::scheduling {

struct WaitingCall {
    ModelQueue queue;
    int64_t priority = 0;
    QueueClass queueClass = QueueClass::InTime;
    base::ClientAccountId account;
    base::Tokens cost;
    // The latest time at which it can be sent to start in time.
    base::Instant latestStart = base::Instant::max();
    // Grows with each call.
    uint64_t number = 0;
};

// Returns the indexes of the calls in dispatch order.
std::vector<size_t> dispatchOrder(const std::vector<WaitingCall>&, const AccountShares&);

// The calls of all gateways that go before a waiting call: `position` calls of equal rank at its own gateway, of `ownEqual` that
// wait there including itself; `equalElsewhere` of equal rank at other gateways, of which the same part is assumed to go before;
// and `before` of higher rank anywhere.
double callsBefore(int64_t position, int64_t ownEqual, int64_t equalElsewhere, int64_t before);

} // namespace toucanstep::scheduling
