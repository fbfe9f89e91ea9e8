#include "toucanstep/direct/PlannerDuty.h"

#include <algorithm>

namespace toucanstep::direct {

PlannerDuty::PlannerDuty(PlannerDutySettings settings)
    : m_settings(settings)
{
}

void PlannerDuty::onAcquired(base::Epoch fence, base::Instant renewalSent, base::Instant now, bool predecessorPossible)
{
    m_fence = fence;
    m_orderFrom = predecessorPossible ? now + m_settings.handOver : now;
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
