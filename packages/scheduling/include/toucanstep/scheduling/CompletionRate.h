// Estimates how many calls of a queue end per second, from the calls that have ended and from those that still run.
//
// Load pattern: an engine stalls for some hundred milliseconds to seconds while calls wait for it. The mean duration of the calls
// that have ended stays as it was, since no call ends; calls would be kept waiting although their turn comes too late. So the
// rate of one running call is the number of ended calls divided by the time that all calls have run, ended or not: it falls
// as soon as calls run without ending. Both sums are aged. A few calls of the mean duration are added, so that a gateway with
// little traffic is not led by single calls.

#pragma once

#include "toucanstep/base/Time.h"
#include "toucanstep/scheduling/Imports.h"
#include "toucanstep/serving/Demand.h"

#include <map>

namespace toucanstep::scheduling {

class CompletionRate {
public:
    // A call of this gateway was sent to an upstream, or left it; `ended` if it has run there.
    void onSent(const ModelQueue&, base::Instant now);
    void onLeft(const ModelQueue&, bool ended, base::Instant now);
    // How often one running call ends, per second. `meanDuration`: of the calls that have ended, in seconds; 0 if none has, and then
    // nothing is known and 0 is returned.
    double perRunningCall(const ModelQueue&, double meanDuration, base::Instant now) const;

private:
    struct Sums {
        int64_t running = 0;
        double ended = 0;
        // Seconds that calls have run.
        double time = 0;
        base::Instant asOf;
    };

    static Sums agedTo(Sums, base::Instant now);

    std::map<ModelQueue, Sums> m_sums;
};

} // namespace toucanstep::scheduling
