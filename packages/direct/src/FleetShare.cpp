#include "toucanstep/direct/FleetShare.h"

#include "toucanstep/base/Text.h"

#include <functional>
#include <string>
#include <tuple>

namespace toucanstep::direct {

namespace {

// The same at every gateway.
auto rankOf(std::string_view resource, const base::InstanceId& gateway)
{
    return std::tuple(std::hash<std::string> {}(base::concat(resource, "/", gateway)), gateway);
}

} // namespace

FleetShare::FleetShare(FleetShareSettings settings, base::InstanceId self)
    : m_settings(settings)
    , m_self(std::move(self))
{
}

void FleetShare::setMembership(bool registered, base::Instant leaseEnd, base::Instant now)
{
    bool lapsed = m_registered && now >= m_leaseEnd;
    bool listTooOld = m_lastListAnswer && now - *m_lastListAnswer > m_settings.maxListAge;
    bool began = registered && !m_registered;
    m_registered = registered;
    m_leaseEnd = leaseEnd;
    if (began || lapsed || listTooOld || !registered || now >= leaseEnd)
        m_settledFrom = now + m_settings.settlingTime;
    m_wasSettled |= isSettled(now);
}

void FleetShare::onListAnswer(base::Instant now)
{
    if (!m_lastListAnswer || now - *m_lastListAnswer > m_settings.maxListAge)
        m_settledFrom = now + m_settings.settlingTime;
    m_lastListAnswer = now;
}

void FleetShare::setListed(const std::set<base::InstanceId>& listed, base::Instant now)
{
    for (const auto& id : m_listed) {
        if (!listed.contains(id))
            m_departed[id] = now + m_settings.settlingTime;
    }
    m_listed = listed;
    m_places.clear();
    std::erase_if(m_departed, [&](const auto& entry) { return entry.second <= now || m_listed.contains(entry.first); });
}

bool FleetShare::isSettled(base::Instant now) const
{
    return m_registered && now < m_leaseEnd && m_lastListAnswer && now - *m_lastListAnswer <= m_settings.maxListAge && now >= m_settledFrom;
}

const FleetShare::Place& FleetShare::placeFor(std::string_view resource) const
{
    auto known = m_places.find(resource);
    if (known != m_places.end())
        return known->second;
    Place place;
    auto own = rankOf(resource, m_self);
    auto add = [&](const base::InstanceId& id) {
        if (id == m_self)
            return;
        ++place.count;
        place.rank += rankOf(resource, id) < own ? 1 : 0;
    };
    for (const auto& id : m_listed)
        add(id);
    for (const auto& [id, until] : m_departed)
        add(id);
    return m_places.emplace(resource, place).first->second;
}

int64_t FleetShare::part(std::string_view resource, int64_t amount, base::Instant now) const
{
    return isSettled(now) ? lastPart(resource, amount) : 0;
}

int64_t FleetShare::lastPart(std::string_view resource, int64_t amount) const
{
    if (!m_wasSettled)
        return 0;
    const Place& place = placeFor(resource);
    return place.rank < amount ? (amount - place.rank + place.count - 1) / place.count : 0;
}

} // namespace toucanstep::direct
