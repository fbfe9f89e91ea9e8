// Which loads may start at the weight store: only loads that run hold a permit.
//
// Load pattern: several models need replicas whose places are in use, and a victim's calls take seconds to end. A permit that is
// held from the order to unload the victim is idle meanwhile, while other models' callers wait for it.

#pragma once

#include "toucanstep/planner/Imports.h"

#include <deque>
#include <vector>

namespace toucanstep::planner {

class StorePermits {
public:
    // Starts a pass: the expected ends of the loads that run, and the concurrency limit. Loads of unknown end count as running on.
    void beginPass(base::Instant now, std::vector<base::Instant> runningUntil, size_t limit);
    // A replica whose victim drains will need a permit.
    void onDraining() { ++m_draining; }

    // A load of that length may start now. `reserve` permits are left to others.
    bool mayStart(base::Duration loadTime, size_t reserve = 0) const;
    // A victim may be evicted for a load that starts at that time: a permit is expected to be free then. Memory that is freed
    // earlier would be idle until the load starts.
    bool mayDrain(base::Instant readyAt) const;
    // Until the first running load ends, as far as that is known.
    base::Duration untilFree() const;
    void onStarted(base::Duration loadTime);
    // No load runs, and none waits for its victim.
    bool isIdle() const { return m_runningUntil.empty() && !m_draining; }

private:
    base::Instant m_now;
    size_t m_limit = 0;
    size_t m_draining = 0;
    std::vector<base::Instant> m_runningUntil;
    // The starts of the last load time. A load that ends at once, or that an engine did not accept, does not make room for another
    // start, so a failing engine cannot exceed the store's rate.
    std::deque<base::Instant> m_starts;
};

} // namespace toucanstep::planner
