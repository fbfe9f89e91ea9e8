#include "toucanstep/direct/PlannerDuty.h"

#include <algorithm>

namespace toucanstep::direct {

PlannerDuty::PlannerDuty(PlannerDutySettings settings, base::InstanceId self, bool firstStart)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_firstStart(firstStart)
{
}

bool PlannerDuty::isOpen(const DutyRecord& record, base::Instant now)
{
    // A key in this gateway's name that it does not know to hold is of the process before it on this machine, or of a write
    // whose answer was lost.
    if (record.holder) {
        m_openSince.reset();
        return *record.holder == m_self;
    }
    if (!m_openSince)
        m_openSince = now;
    bool anotherNeedsNoPause = record.lastPlanner && !record.lastPlanner->empty() && *record.lastPlanner != m_self;
    bool leftToIt = anotherNeedsNoPause && m_settings.handOver > base::Duration::zero();
    return !leftToIt || now - *m_openSince >= m_settings.lastPlannersStart;
}

bool PlannerDuty::goesOn(const DutyRecord& record) const
{
    return record.lastPlanner ? *record.lastPlanner == m_self : m_firstStart;
}

void PlannerDuty::onAcquired(base::Epoch fence, base::Instant renewalSent, base::Instant now, bool goesOn)
{
    m_fence = fence;
    m_settled = goesOn;
    m_orderFrom = goesOn ? now : now + m_settings.handOver;
    m_validUntil = renewalSent + m_settings.lease - m_settings.margin;
}

void PlannerDuty::onRenewed(base::Instant renewalSent)
{
    m_validUntil = std::max(m_validUntil, renewalSent + m_settings.lease - m_settings.margin);
}

void PlannerDuty::onLost()
{
    m_fence.reset();
}

bool PlannerDuty::mayOrder(base::Instant now) const
{
    return m_fence && now >= m_orderFrom && now < m_validUntil;
}

} // namespace toucanstep::direct
