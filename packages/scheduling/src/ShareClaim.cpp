#include "toucanstep/scheduling/ShareClaim.h"

#include <algorithm>
#include <utility>

namespace toucanstep::scheduling {

void ShareClaim::onWritten(base::Revision written, base::Revision created, base::Instant leaseEnd, bool continued, base::Instant now)
{
    m_written = written;
    m_created = created;
    m_writtenAt = now;
    m_leaseEnd = leaseEnd;
    m_settled = continued;
    m_acknowledged.clear();
}

void ShareClaim::onLost()
{
    m_written.reset();
    m_writtenAt.reset();
    m_settled = false;
    m_acknowledged.clear();
}

void ShareClaim::setOthers(std::map<base::InstanceId, ListedClaim> others, base::Revision asOf, base::Instant answered)
{
    m_others = std::move(others);
    m_listRevision = asOf;
    m_listAnswered = answered;
}

void ShareClaim::onAcknowledged(const base::InstanceId& peer)
{
    if (joiningSince())
        m_acknowledged.insert(peer);
}

bool ShareClaim::isUnacknowledged(const base::InstanceId& id, const ListedClaim& claim) const
{
    return claim.created < m_created && !m_acknowledged.contains(id);
}

bool ShareClaim::canSettle(base::Instant now) const
{
    if (m_settled || !isListNewer())
        return false;
    bool allCount = std::none_of(m_others.begin(), m_others.end(), [this](const auto& other) { return isUnacknowledged(other.first, other.second); });
    return allCount || now - *m_writtenAt >= m_settings.lease;
}

void ShareClaim::onSettled(base::Revision written)
{
    m_written = written;
    m_settled = true;
}

std::optional<base::InstanceId> ShareClaim::removable(base::Instant now) const
{
    if (m_settled || !isListNewer() || now - *m_writtenAt < m_settings.removalAfter)
        return std::nullopt;
    auto found = std::find_if(m_others.begin(), m_others.end(), [this](const auto& other) { return !other.second.settled && isUnacknowledged(other.first, other.second); });
    return found == m_others.end() ? std::nullopt : std::optional(found->first);
}

int64_t ShareClaim::countedBy(const base::InstanceId& id, const ListedClaim& claim) const
{
    auto counts = [&](const auto& other) { return other.first != id && (other.second.settled || other.second.created < claim.created); };
    return 1 + std::count_if(m_others.begin(), m_others.end(), counts);
}

double ShareClaim::share(int64_t gateways, base::Instant now) const
{
    if (!m_written || !m_listAnswered || now >= std::min(m_leaseEnd, *m_listAnswered + m_settings.lease) - m_settings.margin)
        return 0;
    double even = 1 / static_cast<double>(gateways);
    if (m_settled)
        return even;
    if (!isListNewer() || now - *m_listAnswered > m_settings.maxListAge)
        return 0;
    double left = even;
    for (const auto& [id, claim] : m_others) {
        if (isUnacknowledged(id, claim))
            left -= std::max(1 / static_cast<double>(countedBy(id, claim)) - even, 0.0);
    }
    return std::max(left, 0.0);
}

} // namespace toucanstep::scheduling
