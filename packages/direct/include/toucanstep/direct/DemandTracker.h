// How much each target is asked for at this gateway: calls that wait and run, and how often new ones came lately.

#pragma once

#include "toucanstep/direct/FleetReports.h"

#include <map>
#include <vector>

namespace toucanstep::direct {

class DemandTracker {
public:
    void onArrival(const ModelTarget&, base::Instant now);
    void onWaiting(const ModelTarget& target, int64_t change) { m_entries[target].waiting += change; }
    void onSent(const ModelTarget&, base::Instant now);
    // The answer of a call that was sent has begun.
    void onAnswerBegun(const ModelTarget&, base::Instant now);
    void onEnded(const ModelTarget&, bool begun, base::Instant now);
    // A call was refused at once that would have waited until then: it counts as waiting, or the planner would take the
    // target for unwanted and leave it unloaded for as long as its callers are refused.
    void onRefused(const ModelTarget&, base::Instant wouldHaveWaitedUntil);
    // Targets with calls now or of late; others are forgotten.
    std::vector<TargetDemand> summary(base::Instant now);

private:
    struct Entry {
        int64_t waiting = 0;
        int64_t running = 0;
        // Of each call that was refused at once, when it would have stopped waiting.
        std::vector<base::Instant> refusedUntil;
        // Calls a second, averaged with exponentially falling weight.
        double rate = 0;
        base::Instant rateAsOf;
        // Calls that were sent and whose answers have not begun, now and averaged in the same way.
        int64_t awaiting = 0;
        double awaitingAverage = 0;
        base::Instant awaitingAsOf;
    };
    static double rateAt(const Entry&, base::Instant now);
    static void advanceAwaiting(Entry&, base::Instant now);
    std::map<ModelTarget, Entry> m_entries;
};

} // namespace toucanstep::direct
