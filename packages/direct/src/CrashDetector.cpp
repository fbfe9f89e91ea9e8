#include "toucanstep/direct/CrashDetector.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

// What a crashed process had sent before may still be on its way for this long.
constexpr auto stillOnItsWay = std::chrono::milliseconds(50);
// An engine that runs calls sends an event every few milliseconds and one that crashed needs seconds to start again.
constexpr auto confirmedAfter = std::chrono::milliseconds(500);

} // namespace

void CrashDetector::onHeard(const base::UpstreamId& upstream, base::Instant now)
{
    if (m_suspicions.empty())
        return;
    std::erase_if(m_suspicions, [&](const SuspectedCrash& suspicion) { return suspicion.upstream == upstream && now - suspicion.disconnectedAt > stillOnItsWay; });
}

std::vector<SuspectedCrash> CrashDetector::takeConfirmed(base::Instant now)
{
    auto confirmed = std::stable_partition(m_suspicions.begin(), m_suspicions.end(), [&](const SuspectedCrash& suspicion) { return now - suspicion.disconnectedAt < confirmedAfter; });
    std::vector<SuspectedCrash> taken(confirmed, m_suspicions.end());
    m_suspicions.erase(confirmed, m_suspicions.end());
    return taken;
}

} // namespace toucanstep::direct
