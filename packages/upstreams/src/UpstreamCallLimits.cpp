#include "toucanstep/upstreams/UpstreamCallLimits.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::upstreams {

namespace {

// Short enough to follow a limit that falls, long enough that a part of a low limit is a whole call. An upstream may count
// arrivals over 4 s, to which the rest adds the time that opening a connection takes.
constexpr base::Duration shortestWindow = std::chrono::milliseconds(4500);
// For this long a gateway tells its peers what it has heard. Complete load reports are sent more often.
constexpr auto tellingTime = std::chrono::seconds(10);
// After the end of a limit.
constexpr auto rampTime = std::chrono::seconds(5);

} // namespace

UpstreamCallLimits::UpstreamCallLimits(const FleetShare& share)
    : m_share(share)
{
}

bool UpstreamCallLimits::setAdvertised(const base::UpstreamId& upstream, Advertised advertised)
{
    auto [place, isNew] = m_advertised.try_emplace(upstream, advertised);
    if (isNew)
        return advertised.limit.has_value();
    const Advertised before = place->second;
    bool wasLimited = before.start == advertised.start && before.limit;
    if (before.start == advertised.start && !advertised.limit) {
        advertised.ended = before.limit ? *before.limit : before.ended;
        advertised.endedAt = before.limit ? advertised.asOf : before.endedAt;
    }
    place->second = advertised;
    return wasLimited != advertised.limit.has_value();
}

bool UpstreamCallLimits::onAnswer(const base::UpstreamId& upstream, StartId start, std::optional<double> limit, base::Instant now)
{
    // Most upstreams never advertise one.
    return (limit || m_advertised.contains(upstream)) && setAdvertised(upstream, { start, limit, now, true });
}

bool UpstreamCallLimits::onPeerHeard(const HeardCallLimit& heard, base::Instant now)
{
    base::Instant asOf = now - heard.age;
    auto known = m_advertised.find(heard.upstream);
    bool isNews = known == m_advertised.end() ? heard.limit.has_value() : asOf > known->second.asOf;
    return isNews && setAdvertised(heard.upstream, { heard.start, heard.limit, asOf, false });
}

void UpstreamCallLimits::onCall(const base::UpstreamId& upstream, base::Instant now)
{
    auto& calls = m_calls[upstream];
    calls.push_back(now);
    // A window is longer only if it allows a single call.
    while (calls.size() > 1 && now - calls.front() > shortestWindow)
        calls.pop_front();
}

void UpstreamCallLimits::remove(const base::UpstreamId& upstream)
{
    m_advertised.erase(upstream);
    m_calls.erase(upstream);
}

std::vector<HeardCallLimit> UpstreamCallLimits::heardLately(base::Instant now) const
{
    std::vector<HeardCallLimit> heard;
    for (const auto& [upstream, advertised] : m_advertised) {
        if (advertised.own && now - advertised.asOf < tellingTime)
            heard.push_back({ upstream, advertised.start, advertised.limit, now - advertised.asOf });
    }
    return heard;
}

std::optional<double> UpstreamCallLimits::limit(const base::UpstreamId& upstream, StartId start, base::Instant now) const
{
    auto found = m_advertised.find(upstream);
    if (found == m_advertised.end() || found->second.start != start)
        return std::nullopt;
    const Advertised& advertised = found->second;
    if (advertised.limit)
        return advertised.limit;
    if (advertised.ended <= 0 || now - advertised.endedAt >= rampTime)
        return std::nullopt;
    return advertised.ended * std::exp2(base::toSeconds(now - advertised.endedAt));
}

UpstreamCallLimits::Part UpstreamCallLimits::partOf(const base::UpstreamId& upstream, double limit, base::Instant now) const
{
    if (limit <= 0)
        return {};
    double window = std::max(base::toSeconds(shortestWindow), 1 / limit);
    // A limit beyond this is none for a gateway of any speed.
    constexpr double mostCalls = 1e9;
    auto calls = std::max<int64_t>(1, static_cast<int64_t>(std::min(limit * window, mostCalls)));
    return { m_share.lastPart(upstream.value(), calls, now), std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(window)) };
}

std::optional<base::Instant> UpstreamCallLimits::nextCall(const base::UpstreamId& upstream, StartId start, base::Instant now) const
{
    std::optional<double> inForce = limit(upstream, start, now);
    if (!inForce)
        return now;
    Part part = partOf(upstream, *inForce, now);
    if (part.calls <= 0)
        return std::nullopt;
    auto found = m_calls.find(upstream);
    if (found == m_calls.end())
        return now;
    // Calls that wait do not go all at once, but may catch up.
    constexpr int catchUpFactor = 2;
    base::Instant spaced = std::max(now, found->second.back() + part.window / (catchUpFactor * part.calls));
    if (static_cast<int64_t>(found->second.size()) < part.calls)
        return spaced;
    // The call that has to leave the window first; those after it are fewer than the part.
    base::Instant blocking = found->second[found->second.size() - static_cast<size_t>(part.calls)];
    return std::max(spaced, blocking + part.window);
}

double UpstreamCallLimits::ownRate(const base::UpstreamId& upstream, StartId start, base::Instant now) const
{
    Part part = partOf(upstream, limit(upstream, start, now).value_or(0), now);
    return part.calls > 0 ? static_cast<double>(part.calls) / base::toSeconds(part.window) : 0;
}

} // namespace toucanstep::upstreams
