// Tracks the demand for each target at this gateway: waiting and running calls, and the recent arrival rate.

#pragma once

#include "toucanstep/planner/Imports.h"
#include "toucanstep/serving/Demand.h"

#include <map>
#include <vector>

namespace toucanstep::planner {

class DemandTracker {
public:
    void onArrival(const ModelTarget&, base::Instant now);
    void onWaiting(const ModelTarget& target, int64_t change) { m_entries[target].waiting += change; }
    void onSent(const ModelTarget&, base::Instant now);
    void onAnswerBegun(const ModelTarget&, base::Instant now);
    void onEnded(const ModelTarget&, bool begun, base::Instant now);
    // A call was refused at once that would have waited until then. It counts as waiting until then; otherwise the planner
    // would see no demand for the target and leave it unloaded for as long as its callers are refused.
    void onRefused(const ModelTarget&, base::Instant wouldHaveWaitedUntil);
    // The targets with current or recent calls; the others are dropped.
    std::vector<TargetDemand> summary(base::Instant now);

private:
    struct Entry {
        int64_t waiting = 0;
        int64_t running = 0;
        // When each call that was refused at once would have stopped waiting.
        std::vector<base::Instant> refusedUntil;
        // Arrivals per second, as an exponential moving average.
        double rate = 0;
        base::Instant rateAsOf;
        // Calls that were sent and whose answers have not started: the current number and its exponential moving average.
        int64_t awaiting = 0;
        double awaitingAverage = 0;
        base::Instant awaitingAsOf;
    };
    static double rateAt(const Entry&, base::Instant now);
    static void updateAwaitingAverage(Entry&, base::Instant now);
    std::map<ModelTarget, Entry> m_entries;
};

} // namespace toucanstep::planner
