#include "toucanstep/upstreams/UpstreamAvailability.h"

#include <algorithm>
#include <utility>

namespace toucanstep::upstreams {

namespace {

// More than an upstream has slots.
constexpr int64_t unlimitedAwaiting = 256;
// A pause that ended so long ago says nothing about the upstream any more.
constexpr auto slowStartTime = std::chrono::seconds(30);
// An upstream that has left is not listed again under the same start for this long, also after an outage of the store.
constexpr auto leavingMemory = std::chrono::minutes(10);
// For this long a gateway tells its peers what it has heard. Load reports are sent more often.
constexpr auto tellingTime = std::chrono::seconds(10);
// Keeps reports small while many upstreams leave at once, which the list shows soon.
constexpr size_t maxTold = 16;

} // namespace

bool UpstreamAvailability::onPauseAsked(const base::UpstreamId& upstream, StartId start, base::Instant until, base::Instant now)
{
    if (until <= now)
        return false;
    bool begins = !pausedUntil(upstream, now);
    Pause& pause = m_pauses[upstream];
    pause = { start, now, std::max(pause.until, until) };
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
    m_leaving[upstream] = { start, now, now };
    return isNew;
}

bool UpstreamAvailability::isLeaving(const base::UpstreamId& upstream, StartId start) const
{
    auto found = m_leaving.find(upstream);
    return found != m_leaving.end() && found->second.start == start;
}

std::vector<HeardAvailability> UpstreamAvailability::heardLately(base::Instant now) const
{
    std::vector<std::pair<base::Instant, HeardAvailability>> heard;
    for (const auto& [upstream, leaving] : m_leaving) {
        if (leaving.lastHeardItself && *leaving.lastHeardItself + tellingTime > now)
            heard.push_back({ *leaving.lastHeardItself, { upstream, leaving.start, true } });
    }
    for (const auto& [upstream, pause] : m_pauses) {
        if (pause.until > now)
            heard.push_back({ pause.heard, { upstream, pause.start, false, pause.until - now } });
    }
    std::sort(heard.begin(), heard.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<HeardAvailability> newest;
    for (size_t index = 0; index < std::min(heard.size(), maxTold); ++index)
        newest.push_back(std::move(heard[index].second));
    return newest;
}

bool UpstreamAvailability::onPeerHeard(const HeardAvailability& heard, base::Instant now)
{
    if (heard.pauseLeft > base::Duration::zero()) {
        PeerPause& pause = m_peerPauses[heard.upstream];
        pause = { heard.start, std::max(pause.start == heard.start ? pause.until : base::Instant(), now + heard.pauseLeft) };
    }
    if (!heard.leaving)
        return false;
    if (isLeaving(heard.upstream, heard.start)) {
        m_leaving[heard.upstream].lastHeard = now;
        return false;
    }
    m_leaving[heard.upstream] = { heard.start, now, std::nullopt };
    return true;
}

std::optional<base::Instant> UpstreamAvailability::pausedAnywhereUntil(const base::UpstreamId& upstream, StartId start, base::Instant now) const
{
    std::optional<base::Instant> until = pausedUntil(upstream, now);
    auto peers = m_peerPauses.find(upstream);
    if (peers == m_peerPauses.end() || peers->second.start != start || peers->second.until <= now)
        return until;
    return std::max(until.value_or(now), peers->second.until);
}

void UpstreamAvailability::expire(base::Instant now, const std::function<bool(const base::UpstreamId&)>& isListed)
{
    std::erase_if(m_peerPauses, [&](const auto& entry) { return entry.second.until <= now; });
    std::erase_if(m_leaving, [&](const auto& entry) { return entry.second.lastHeard + leavingMemory <= now && !isListed(entry.first); });
    std::erase_if(m_pauses, [&](const auto& entry) { return entry.second.until + slowStartTime <= now; });
}

} // namespace toucanstep::upstreams
