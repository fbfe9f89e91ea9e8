#include "toucanstep/direct/UpstreamAvailability.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

// More than an upstream has slots.
constexpr int64_t unlimitedAwaiting = 256;
// A pause that ended so long ago says nothing about the upstream any more.
constexpr auto slowStartTime = std::chrono::seconds(30);

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

void UpstreamAvailability::expire(base::Instant now)
{
    std::erase_if(m_pauses, [&](const auto& entry) { return entry.second.until + slowStartTime <= now; });
}

} // namespace toucanstep::direct
