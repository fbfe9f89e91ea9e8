#include "toucanstep/direct/ColdStartLimit.h"

#include <algorithm>
#include <functional>
#include <string>
#include <tuple>

namespace toucanstep::direct {

namespace {

// The same at every gateway.
auto rankOf(const base::UpstreamId& upstream, const base::InstanceId& gateway)
{
    return std::tuple(std::hash<std::string> {}(upstream.value() + '/' + gateway.value()), gateway);
}

} // namespace

ColdStartLimit::ColdStartLimit(ColdStartLimitSettings settings, base::InstanceId self)
    : m_settings(settings)
    , m_self(std::move(self))
{
}

void ColdStartLimit::setMembership(bool registered, base::Instant leaseEnd, base::Instant now)
{
    bool lapsed = m_registered && now >= m_leaseEnd;
    bool listTooOld = m_lastListAnswer && now - *m_lastListAnswer > m_settings.maxListAge;
    bool began = registered && !m_registered;
    m_registered = registered;
    m_leaseEnd = leaseEnd;
    if (began || lapsed || listTooOld || !registered || now >= leaseEnd)
        m_settledFrom = now + m_settings.settlingTime;
}

void ColdStartLimit::onListAnswer(base::Instant now)
{
    if (!m_lastListAnswer || now - *m_lastListAnswer > m_settings.maxListAge)
        m_settledFrom = now + m_settings.settlingTime;
    m_lastListAnswer = now;
}

void ColdStartLimit::setListed(const std::set<base::InstanceId>& listed, base::Instant now)
{
    for (const auto& id : m_listed) {
        if (!listed.contains(id))
            m_departed[id] = now + m_settings.settlingTime;
    }
    m_listed = listed;
    std::erase_if(m_departed, [&](const auto& entry) { return entry.second <= now || m_listed.contains(entry.first); });
}

bool ColdStartLimit::isSettled(base::Instant now) const
{
    return m_registered && now < m_leaseEnd && m_lastListAnswer && now - *m_lastListAnswer <= m_settings.maxListAge && now >= m_settledFrom;
}

int64_t ColdStartLimit::callsPerSecond(const base::UpstreamId& upstream, int64_t limit, base::Instant now) const
{
    auto own = rankOf(upstream, m_self);
    int64_t count = 1;
    int64_t rank = 0;
    auto add = [&](const base::InstanceId& id) {
        if (id == m_self)
            return;
        ++count;
        rank += rankOf(upstream, id) < own ? 1 : 0;
    };
    for (const auto& id : m_listed)
        add(id);
    for (const auto& [id, until] : m_departed) {
        if (until > now)
            add(id);
    }
    return rank < limit ? (limit - rank + count - 1) / count : 0;
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
    if (!isSettled(now))
        return std::nullopt;
    int64_t part = callsPerSecond(upstream, limit, now);
    if (part <= 0)
        return std::nullopt;
    auto found = m_calls.find(upstream);
    if (found == m_calls.end() || static_cast<int64_t>(found->second.size()) < part)
        return now;
    // The call that has to leave the window first; those after it are fewer than the part.
    base::Instant blocking = found->second[found->second.size() - static_cast<size_t>(part)];
    return std::max(now, blocking + m_settings.callWindow);
}

} // namespace toucanstep::direct
