#include "toucanstep/direct/StopClock.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

// A process that does not run for this long was held up.
constexpr auto heldUpAfter = std::chrono::milliseconds(250);
// Of the threads of a process that goes on, the one that takes the signal may be this much later than the others.
constexpr auto threadDelay = std::chrono::milliseconds(250);
// After SIGTERM the load balancer sends new connections until two health checks, one second apart, have failed.
constexpr auto balancerNoticeDelay = std::chrono::milliseconds(2600);
// The process ends the remaining calls itself this long before SIGKILL, with a response where that is possible.
constexpr auto terminationMargin = std::chrono::milliseconds(400);

} // namespace

void StopClock::onRuns(base::Instant now)
{
    if (m_lastRun && now - *m_lastRun > heldUpAfter) {
        m_heldUpFrom = *m_lastRun;
        m_heldUpUntil = now;
    }
    m_lastRun = now;
}

void StopClock::onNoticed(base::Instant noticed)
{
    if (m_noticed)
        return;
    m_noticed = noticed;
    bool heldUp = m_heldUpUntil > base::Instant() && noticed <= m_heldUpUntil + threadDelay;
    m_earliestSignal = heldUp ? m_heldUpFrom : std::min(noticed, m_lastRun.value_or(noticed));
}

base::Instant StopClock::intakeEnd() const { return noticed() + balancerNoticeDelay; }

base::Instant StopClock::earliestIntakeEnd() const { return m_earliestSignal + balancerNoticeDelay; }

base::Instant StopClock::earliestEnd() const { return m_earliestSignal + m_grace - terminationMargin; }

base::Instant StopClock::end() const { return noticed() + m_grace - terminationMargin; }

} // namespace toucanstep::direct
