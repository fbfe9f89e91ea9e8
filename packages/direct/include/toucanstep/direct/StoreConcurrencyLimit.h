// Finds out how many loads the weight store carries at full speed at once, from how long loads have taken.
//
// Above its limit the store shares its speed: each load takes longer in proportion, and none ends earlier. The text does
// not say the limit, so it is begun with a guess, lowered where loads take longer than they should, and raised slowly.

#pragma once

#include "toucanstep/base/Time.h"

#include <algorithm>
#include <cstddef>

namespace toucanstep::direct {

class StoreConcurrencyLimit {
public:
    size_t maxConcurrentLoads() const { return m_limit; }

    // A load ended after `took`; at the store's full speed it takes `expected`.
    void onLoadEnded(base::Duration expected, base::Duration took)
    {
        // An end is seen some hundred milliseconds late.
        constexpr double slowRatio = 1.3;
        constexpr double fullSpeedRatio = 1.12;
        if (expected <= base::Duration::zero())
            return;
        double ratio = base::toSeconds(took) / base::toSeconds(expected);
        if (ratio > slowRatio) {
            m_limit = std::max<size_t>(minLimit, m_limit - 1);
            m_fullSpeedLoads = 0;
        } else if (ratio < fullSpeedRatio && ++m_fullSpeedLoads >= loadsBeforeRaise) {
            m_limit = std::min(maxLimit, m_limit + 1);
            m_fullSpeedLoads = 0;
        }
    }

private:
    // Two are always allowed: with one, a slow engine would hold up all others.
    static constexpr size_t minLimit = 2;
    static constexpr size_t maxLimit = 8;
    // The users' stores carry 2 to 4 at full speed.
    static constexpr size_t initialLimit = 4;
    static constexpr size_t loadsBeforeRaise = 6;

    size_t m_limit = initialLimit;
    size_t m_fullSpeedLoads = 0;
};

} // namespace toucanstep::direct
