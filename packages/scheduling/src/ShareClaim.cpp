#include "toucanstep/scheduling/ShareClaim.h"

#include <algorithm>
#include <utility>

namespace toucanstep::scheduling {

void ShareClaim::onWritten(base::Revision written, base::Instant leaseEnd, bool continued, base::Instant now)
{
    m_written = written;
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

int64_t ShareClaim::unacknowledged() const
{
    return std::count_if(m_others.begin(), m_others.end(), [this](const auto& other) { return !m_acknowledged.contains(other.first); });
}

void ShareClaim::tick(base::Instant now)
{
    if (m_settled || !isListNewer())
        return;
    m_settled = !unacknowledged() || now - *m_writtenAt >= m_settings.lease;
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
    auto settled = std::count_if(m_others.begin(), m_others.end(), [](const auto& other) { return other.second.settled; });
    double others = 1 / static_cast<double>(std::max<int64_t>(settled, 1));
    double excess = std::max(others - even, 0.0) * static_cast<double>(unacknowledged());
    return std::max(even - excess, 0.0);
}

} // namespace toucanstep::scheduling
