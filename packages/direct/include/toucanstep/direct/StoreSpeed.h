// Finds out how many loads the weight store carries at full speed at once, from how long loads have taken.
//
// Above its limit the store shares its speed: each load takes longer in proportion, and none ends earlier. The text does
// not say the limit, so it is begun with a guess, lowered where loads take longer than they should, and raised slowly.

#pragma once

#include "toucanstep/base/Time.h"

#include <algorithm>
#include <cstddef>

namespace toucanstep::direct {

class StoreSpeed {
public:
    size_t loadsAtOnce() const { return m_atOnce; }

    // A load ended after `took`; at the store's full speed it takes `expected`.
    void onLoadEnded(base::Duration expected, base::Duration took)
    {
        // An end is seen some hundred milliseconds late.
        constexpr double slow = 1.3;
        constexpr double full = 1.12;
        if (expected <= base::Duration::zero())
            return;
        double ratio = base::toSeconds(took) / base::toSeconds(expected);
        if (ratio > slow) {
            m_atOnce = std::max<size_t>(least, m_atOnce - 1);
            m_fullSpeedEnds = 0;
        } else if (ratio < full && ++m_fullSpeedEnds >= endsBeforeRaise) {
            m_atOnce = std::min(most, m_atOnce + 1);
            m_fullSpeedEnds = 0;
        }
    }

private:
    // Two are always allowed: with one, a slow engine would hold up all others.
    static constexpr size_t least = 2;
    static constexpr size_t most = 8;
    // The users' stores carry 2 to 4 at full speed.
    static constexpr size_t first = 4;
    static constexpr size_t endsBeforeRaise = 6;

    size_t m_atOnce = first;
    size_t m_fullSpeedEnds = 0;
};

} // namespace toucanstep::direct
