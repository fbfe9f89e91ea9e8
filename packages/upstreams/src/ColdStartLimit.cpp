#include "toucanstep/upstreams/ColdStartLimit.h"

#include <algorithm>

namespace toucanstep::upstreams {

ColdStartLimit::ColdStartLimit(ColdStartLimitSettings settings, const FleetShare& share)
    : m_settings(settings)
    , m_share(share)
{
}

void ColdStartLimit::onCall(const base::UpstreamId& upstream, base::Instant now)
{
    auto& calls = m_calls[upstream];
    calls.push_back(now);
    while (now - calls.front() > m_settings.callWindow)
        calls.pop_front();
}

std::optional<base::Instant> ColdStartLimit::nextCall(const base::UpstreamId& upstream, int64_t limit, base::Instant now) const
{
    int64_t part = m_share.part(upstream.value(), limit, now);
    if (part <= 0)
        return std::nullopt;
    auto found = m_calls.find(upstream);
    if (found == m_calls.end() || static_cast<int64_t>(found->second.size()) < part)
        return now;
    // The call that has to leave the window first; those after it are fewer than the part.
    base::Instant blocking = found->second[found->second.size() - static_cast<size_t>(part)];
    return std::max(now, blocking + m_settings.callWindow);
}

} // namespace toucanstep::upstreams
