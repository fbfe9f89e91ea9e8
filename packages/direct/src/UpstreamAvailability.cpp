#include "toucanstep/direct/UpstreamAvailability.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

// More than an upstream has slots.
constexpr int64_t unlimitedAwaiting = 256;
// A pause that ended so long ago says nothing about the upstream any more.
constexpr auto slowStartTime = std::chrono::seconds(30);
// An upstream that has left is not listed again under the same start for this long, also after an outage of the store.
constexpr auto leavingMemory = std::chrono::minutes(10);

} // namespace

bool UpstreamAvailability::onPauseAsked(const base::UpstreamId& upstream, base::Instant until, base::Instant now)
{
    if (until <= now)
        return false;
    bool begins = !pausedUntil(upstream, now);
    Pause& pause = m_pauses[upstream];
    pause = { std::max(pause.until, until) };
    return begins;
}

bool UpstreamAvailability::onAccepted(const base::UpstreamId& upstream, base::Instant now)
{
    auto found = m_pauses.find(upstream);
    // During the pause it answers what was sent before.
    if (found == m_pauses.end() || found->second.until > now)
        return false;
    found->second.maxAwaiting *= 2;
    if (found->second.maxAwaiting >= unlimitedAwaiting)
        m_pauses.erase(found);
    return true;
}

std::optional<base::Instant> UpstreamAvailability::pausedUntil(const base::UpstreamId& upstream, base::Instant now) const
{
    auto found = m_pauses.find(upstream);
    return found != m_pauses.end() && found->second.until > now ? std::optional(found->second.until) : std::nullopt;
}

std::optional<int64_t> UpstreamAvailability::maxAwaiting(const base::UpstreamId& upstream, base::Instant now) const
{
    auto found = m_pauses.find(upstream);
    if (found == m_pauses.end() || found->second.until + slowStartTime <= now)
        return std::nullopt;
    return found->second.until > now ? 0 : found->second.maxAwaiting;
}

bool UpstreamAvailability::onLeaving(const base::UpstreamId& upstream, StartId start, base::Instant now)
{
    bool isNew = !isLeaving(upstream, start);
    m_leaving[upstream] = { start, now };
    return isNew;
}

bool UpstreamAvailability::isLeaving(const base::UpstreamId& upstream, StartId start) const
{
    auto found = m_leaving.find(upstream);
    return found != m_leaving.end() && found->second.start == start;
}

void UpstreamAvailability::expire(base::Instant now, const std::function<bool(const base::UpstreamId&)>& isListed)
{
    std::erase_if(m_leaving, [&](const auto& entry) { return entry.second.lastHeard + leavingMemory <= now && !isListed(entry.first); });
    std::erase_if(m_pauses, [&](const auto& entry) { return entry.second.until + slowStartTime <= now; });
}

} // namespace toucanstep::direct
