// Adaptive limit on concurrent loads from the weight store, derived from the measured load times.
//
// Above its capacity the store divides its throughput: each load slows down in proportion, and none ends earlier. A load that
// took twice as long as at full speed beside three others shows a capacity of two. The configuration does not state the
// capacity, so the limit starts at an estimate, rises with each load at full speed until the first slow one, and slowly after
// that.

#pragma once

#include "toucanstep/base/Time.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace toucanstep::planner {

class StoreConcurrencyLimit {
public:
    size_t maxConcurrentLoads() const { return m_limit; }

    // Takes over a limit that an earlier planner has learned.
    void adopt(size_t limit)
    {
        m_limit = std::clamp(limit, minLimit, maxLimit);
        m_fullSpeedLoads = 0;
    }

    // `expected` is the duration at the store's full speed, `concurrency` the mean number of loads that ran meanwhile, this one
    // included.
    void onLoadEnded(base::Duration expected, base::Duration took, double concurrency)
    {
        // The end of a load is seen some hundred milliseconds late, so neither ratio is 1.
        constexpr double slowRatio = 1.3;
        constexpr double fullSpeedRatio = 1.12;
        if (expected <= base::Duration::zero())
            return;
        double ratio = base::toSeconds(took) / base::toSeconds(expected);
        if (ratio > slowRatio) {
            auto capacity = static_cast<size_t>(std::lround(std::max(concurrency / ratio, 1.0)));
            m_limit = std::max(minLimit, std::min(m_limit - 1, capacity));
            m_fullSpeedLoads = 0;
            m_slowLoadSeen = true;
            return;
        }
        // Loads below the limit say nothing about a higher one.
        bool atLimit = concurrency > static_cast<double>(m_limit) - 1;
        size_t loadsBeforeRaise = m_slowLoadSeen ? loadsBeforeLaterRaise : 1;
        if (ratio < fullSpeedRatio && atLimit && ++m_fullSpeedLoads >= loadsBeforeRaise) {
            m_limit = std::min(maxLimit, m_limit + 1);
            m_fullSpeedLoads = 0;
        }
    }

private:
    // With only one load at a time, a slow engine would hold up all others.
    static constexpr size_t minLimit = 2;
    static constexpr size_t maxLimit = 8;
    static constexpr size_t loadsBeforeLaterRaise = 6;

    // The stores of known deployments sustain 2 to 4 loads at full speed.
    static constexpr size_t initialLimit = 3;

    size_t m_limit = initialLimit;
    size_t m_fullSpeedLoads = 0;
    bool m_slowLoadSeen = false;
};

} // namespace toucanstep::planner
