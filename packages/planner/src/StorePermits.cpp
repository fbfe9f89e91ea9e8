#include "toucanstep/planner/StorePermits.h"

#include <algorithm>

namespace toucanstep::planner {

namespace {

// Loads may be faster than configured by up to a quarter without losing starts.
constexpr int windowParts = 3;
constexpr int partsOfLoadTime = 4;
constexpr auto keepStarts = std::chrono::seconds(60);

} // namespace

void StorePermits::beginPass(base::Instant now, std::vector<base::Instant> runningUntil, size_t limit)
{
    m_now = now;
    m_limit = limit;
    m_draining = 0;
    m_runningUntil = std::move(runningUntil);
    while (!m_starts.empty() && now - m_starts.front() > keepStarts)
        m_starts.pop_front();
}

bool StorePermits::mayStart(base::Duration loadTime, size_t reserve) const
{
    size_t limit = m_limit > reserve ? m_limit - reserve : 1;
    base::Duration window = loadTime * windowParts / partsOfLoadTime;
    auto recent = static_cast<size_t>(std::count_if(m_starts.begin(), m_starts.end(), [&](base::Instant start) { return m_now - start < window; }));
    return m_runningUntil.size() < limit && recent < m_limit;
}

bool StorePermits::mayDrain(base::Instant readyAt) const
{
    auto stillRunning = static_cast<size_t>(std::count_if(m_runningUntil.begin(), m_runningUntil.end(), [&](base::Instant end) { return end > readyAt; }));
    return stillRunning + m_draining < m_limit;
}

base::Duration StorePermits::untilFree() const
{
    auto first = std::min_element(m_runningUntil.begin(), m_runningUntil.end());
    bool known = first != m_runningUntil.end() && *first != base::Instant::max();
    return known ? base::remaining(m_now, *first) : base::Duration::zero();
}

void StorePermits::onStarted(base::Duration loadTime)
{
    m_runningUntil.push_back(m_now + loadTime);
    m_starts.push_back(m_now);
}

} // namespace toucanstep::planner
