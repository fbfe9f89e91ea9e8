#include "toucanstep/direct/CrashDetector.h"

#include "toucanstep/base/LogLine.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

// Data that a process sent before it crashed may still be read for this long: a gateway whose share of a processor is used up stands
// still for the rest of a tenth of a second, between reading one connection and the next.
constexpr auto inTransitTime = std::chrono::milliseconds(150);
// An engine that runs calls sends an event every few milliseconds, and one that crashed needs seconds to restart.
constexpr auto confirmationDelay = std::chrono::milliseconds(500);

} // namespace

void CrashDetector::onHeard(const base::UpstreamId& upstream, base::Instant sentAt, base::Instant now)
{
    if (m_suspected.empty())
        return;
    std::erase_if(m_suspected, [&](const SuspectedCrash& suspected) {
        bool alive = suspected.upstream == upstream && (sentAt > suspected.disconnectedAt || now - suspected.disconnectedAt > inTransitTime);
        if (alive)
            base::LogLine("crash_disproved").add("upstream", upstream).add("request", suspected.call.request).add("after_ms", base::toMilliseconds(now - suspected.disconnectedAt));
        return alive;
    });
}

std::vector<SuspectedCrash> CrashDetector::takeConfirmed(base::Instant now)
{
    auto confirmed = std::stable_partition(m_suspected.begin(), m_suspected.end(), [&](const SuspectedCrash& suspected) { return now - suspected.disconnectedAt < confirmationDelay; });
    std::vector<SuspectedCrash> taken(confirmed, m_suspected.end());
    m_suspected.erase(confirmed, m_suspected.end());
    return taken;
}

} // namespace toucanstep::direct
