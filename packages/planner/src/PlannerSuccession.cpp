#include "toucanstep/planner/PlannerSuccession.h"

namespace toucanstep::planner {

namespace {

// Without a plan report for this long, the planner may have changed. Longer than the interval of plan reports.
constexpr auto planReportSilence = std::chrono::milliseconds(450);
// A new planner is told its predecessor's state repeatedly for this long, since datagrams may be lost.
constexpr auto handoverRepeatTime = std::chrono::seconds(1);
// Orders that an earlier planner sent before this have ended.
constexpr auto handoverLifetime = std::chrono::seconds(20);

} // namespace

void PlannerSuccession::onPlanReport(base::Epoch fence, const PlannerState& state, base::Instant now)
{
    if (m_last && m_last->handover.fence < fence) {
        m_earlier = m_last;
        m_changedAt = now;
    }
    m_last = { { fence, state }, now };
}

std::optional<PlannerHandover> PlannerSuccession::handover(base::Instant now) const
{
    if (m_earlier && now - m_changedAt < handoverRepeatTime)
        return aged(m_earlier, now);
    if (m_last && now - m_last->heardAt > planReportSilence)
        return aged(m_last, now);
    return std::nullopt;
}

std::optional<PlannerHandover> PlannerSuccession::last(base::Instant now) const
{
    return aged(m_last, now);
}

std::optional<PlannerHandover> PlannerSuccession::aged(const std::optional<HeardState>& heard, base::Instant now)
{
    if (!heard || now - heard->heardAt > handoverLifetime)
        return std::nullopt;
    PlannerHandover handover = heard->handover;
    for (auto& order : handover.state.orders)
        order.age += now - heard->heardAt;
    return handover;
}

} // namespace toucanstep::planner
