// Estimates where the demand for each model and failure domain is some seconds ahead.
//
// Load pattern: the calls for one model rise to several times its replicas' slots within a few seconds, and the traffic of each
// failure domain oscillates with a period of some ten seconds. A load from the weight store takes as long, so a replica that is
// requested when the slots are full is late. Demand is the number of waiting and running calls. Two decaying averages of it, one
// fast and one slow, give its value and its slope.

#pragma once

#include "toucanstep/planner/Imports.h"

#include <map>
#include <utility>

namespace toucanstep::planner {

class DemandForecast {
public:
    // Starts an observation of all demand. `reportInterval` is the time within which each gateway reports its whole demand. After a
    // gap in the observations, and for a new planner, there is no trend until two such intervals have passed.
    void beginPass(base::Instant now, base::Duration reportInterval);
    // Adds to the calls that wait or run for the model now, from callers at gateways of that failure domain.
    void add(const base::ModelId&, const base::FailureDomain&, double calls);
    // Demand that was not added in this pass counts as zero.
    void endPass();

    // Calls in progress at that time from the last pass on. At most twice the present demand, and never negative.
    double callsAhead(const base::ModelId&, const base::FailureDomain&, base::Duration ahead) const;
    double callsAhead(const base::ModelId&, base::Duration ahead) const;
    // Change of the calls in progress per second. Zero for changes that may be noise.
    double slope(const base::ModelId&, const base::FailureDomain&) const;
    // The slow average of the calls in progress, over all failure domains.
    double meanCalls(const base::ModelId&) const;
    bool hasTrend() const { return !m_warmingUp; }

private:
    struct Series {
        double calls = 0;
        double fast = 0;
        double slow = 0;
    };
    static double slopeOf(const Series&);
    static double aheadOf(const Series&, base::Duration ahead);

    using Key = std::pair<base::ModelId, base::FailureDomain>;
    std::map<Key, Series> m_series;
    base::Instant m_lastPass;
    double m_sinceLastPass = 0;
    // Until then reports of a part of the gateways may be missing, which would look like a rise of demand once they arrive.
    base::Instant m_warmUntil;
    bool m_warmingUp = true;
};

} // namespace toucanstep::planner
