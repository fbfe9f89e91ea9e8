// Decides when refused callers are told to come back.
//
// Load pattern: for some seconds three times as many calls arrive as slots become free, and most are refused. If all refused
// callers came back after the same time, they would come as one wave, mostly too early, and be refused again. So each gets a
// time of its own: after the calls that wait now and the callers of the same or a higher priority that were told to come back
// before, at the rate at which calls end. More urgent callers come first. A caller honours no more than a third of the
// time that it has left. Those whose turn comes later than that are spread evenly over a part of it that starts later for less
// urgent callers.

#pragma once

#include "toucanstep/base/Time.h"
#include "toucanstep/scheduling/Imports.h"
#include "toucanstep/serving/Demand.h"

#include <map>
#include <set>

namespace toucanstep::scheduling {

struct RefusedCall {
    int64_t priority = 0;
    // The calls of all gateways that go before it.
    double callsBefore = 0;
    // Calls of the queue that end per second, over all gateways; 0 if unknown.
    double completionsPerSecond = 0;
    // The gateway's part of the callers that come back, from 0 to 1.
    double part = 1;
    // The caller's time limit passes at this time.
    base::Instant deadline;
};

class ReturnSchedule {
public:
    // When the caller is to come back.
    base::Instant nextReturn(const ModelQueue&, const RefusedCall&, base::Instant now);

private:
    struct Returns {
        // By priority.
        std::map<int64_t, std::multiset<base::Instant>> expected;
        // Callers that were told to come back before their turn, by priority.
        std::map<int64_t, uint64_t> early;
    };

    std::map<ModelQueue, Returns> m_queues;
};

} // namespace toucanstep::scheduling
