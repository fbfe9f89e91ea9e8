#include "toucanstep/direct/PlannerLeadership.h"

#include <algorithm>

namespace toucanstep::direct {

PlannerLeadership::PlannerLeadership(PlannerLeadershipSettings settings, base::InstanceId self, bool firstStart)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_firstStart(firstStart)
{
}

bool PlannerLeadership::mayCampaign(const LeadershipRecord& record, base::Instant now)
{
    // A key with this gateway's name that it did not knowingly acquire was written by the previous process on this machine, or
    // by a write whose response was lost.
    if (record.holder) {
        m_vacantSince.reset();
        return *record.holder == m_self;
    }
    if (!m_vacantSince)
        m_vacantSince = now;
    bool anotherCanResume = record.lastPlanner && !record.lastPlanner->empty() && *record.lastPlanner != m_self;
    bool leftToLastPlanner = anotherCanResume && m_settings.handoverDelay > base::Duration::zero();
    base::Duration delay = m_settings.ownDelay + (leftToLastPlanner ? m_settings.lastPlannerHeadStart : base::Duration::zero());
    bool resumes = record.lastPlanner && *record.lastPlanner == m_self;
    return resumes || now - *m_vacantSince >= delay;
}

bool PlannerLeadership::canResume(const LeadershipRecord& record) const
{
    return record.lastPlanner ? *record.lastPlanner == m_self : m_firstStart;
}

void PlannerLeadership::onAcquired(base::Epoch fence, base::Instant renewalSent, base::Instant now, bool canResume)
{
    m_fence = fence;
    m_recorded = canResume;
    m_ordersAllowedFrom = canResume ? now : now + m_settings.handoverDelay;
    m_validUntil = renewalSent + m_settings.lease - m_settings.margin;
}

void PlannerLeadership::onRenewed(base::Instant renewalSent)
{
    m_validUntil = std::max(m_validUntil, renewalSent + m_settings.lease - m_settings.margin);
}

void PlannerLeadership::onLost()
{
    m_fence.reset();
}

bool PlannerLeadership::maySendOrders(base::Instant now) const
{
    return m_fence && now >= m_ordersAllowedFrom && now < m_validUntil;
}

} // namespace toucanstep::direct
