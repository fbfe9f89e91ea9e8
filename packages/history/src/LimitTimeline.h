// The limits of one account over time, as wide as any live process had them in force.

#pragma once

#include "toucanstep/base/History.h"

#include <map>
#include <set>
#include <vector>

namespace toucanstep::history {

class History;

namespace internal {

class LimitTimeline {
public:
    struct Step {
        base::Instant from;
        int64_t rate = 0;
        int64_t burst = 0;
    };

    LimitTimeline(const History&, const base::ClientAccountId&);

    bool empty() const { return m_steps.empty(); }
    const std::vector<Step>& steps() const { return m_steps; }
    // Tokens times 10^9 that accrue from the first step to `at`; before the first step its rate counts.
    __int128 accruedUntil(base::Instant at) const;
    int64_t largestBurst(base::Instant from, base::Instant to) const;
    std::set<int64_t> bursts() const;

private:
    std::vector<Step> m_steps;
};

} // namespace internal

} // namespace toucanstep::history
