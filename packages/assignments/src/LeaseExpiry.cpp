#include "toucanstep/assignments/LeaseExpiry.h"

#include <algorithm>

namespace toucanstep::assignments {

using base::Instant;

LeaseUsePolicy::LeaseUsePolicy(Holder self, base::Duration timeToLive)
    : m_self(std::move(self))
    , m_timeToLive(timeToLive)
{
}

void LeaseUsePolicy::onRenewed(Instant sentAt)
{
    m_renewedAt = m_renewedAt ? std::max(*m_renewedAt, sentAt) : sentAt;
}

bool LeaseUsePolicy::mayUse(const Row& row, Instant now) const
{
    return row.holder == m_self && m_renewedAt && now <= *m_renewedAt + m_timeToLive;
}

LeaseTakeoverPolicy::LeaseTakeoverPolicy(base::Duration timeToLive, base::Duration margin)
    : m_timeToLive(timeToLive)
    , m_margin(margin)
{
}

void LeaseTakeoverPolicy::onLeaseSeen(const base::InstanceId& instance, uint64_t renewals, Instant now)
{
    auto [found, isNew] = m_seen.emplace(instance, LeaseObservation { renewals, now });
    if (!isNew && renewals > found->second.renewals)
        found->second = LeaseObservation { renewals, now };
}

bool LeaseTakeoverPolicy::mayTakeOver(const Row& row, Instant now) const
{
    auto found = m_seen.find(row.holder.instance);
    return found != m_seen.end() && now > found->second.since + m_timeToLive + m_margin;
}

} // namespace toucanstep::assignments
