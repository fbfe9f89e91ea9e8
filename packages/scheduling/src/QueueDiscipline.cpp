#include "toucanstep/scheduling/QueueDiscipline.h"

namespace toucanstep::scheduling {

namespace {

// A queue with late calls for this long is no passing burst. Longer than the time from the first full engine to another
// replica of its model, loaded from disk or from host memory (0.4 to 0.9 s on the users' engines).
constexpr auto standingQueueTime = std::chrono::milliseconds(1000);
// Late calls come and go with single calls; a queue without any for this long has ended.
constexpr auto longestInterruption = std::chrono::milliseconds(250);

} // namespace

QueueClass queueClassOf(bool answerStarted, base::Instant arrived, base::Duration latencyTarget, base::Instant now)
{
    if (answerStarted)
        return QueueClass::Resuming;
    bool hasTarget = latencyTarget > base::Duration::zero();
    return !hasTarget || now < arrived + latencyTarget ? QueueClass::InTime : QueueClass::Late;
}

void StandingQueueDetector::beginPass(base::Instant now)
{
    m_now = now;
}

bool StandingQueueDetector::shouldRefuseLate(const QueueKey& key)
{
    LateCalls& late = m_late.try_emplace(key, LateCalls { m_now, m_now }).first->second;
    if (m_now - late.last > longestInterruption)
        late.since = m_now;
    late.last = m_now;
    return m_now - late.since > standingQueueTime;
}

void StandingQueueDetector::endPass()
{
    std::erase_if(m_late, [&](const auto& entry) { return m_now - entry.second.last > longestInterruption; });
}

bool StandingQueueDetector::isStanding(const QueueKey& key, base::Instant now) const
{
    auto found = m_late.find(key);
    return found != m_late.end() && now - found->second.since > standingQueueTime && now - found->second.last <= longestInterruption;
}

void StandingQueueDetector::onRefusedOnArrival(const QueueKey& key, base::Instant now)
{
    auto found = m_late.find(key);
    if (found != m_late.end())
        found->second.last = now;
}

bool willBecomeLate(int64_t callsAhead, double completionsPerSecond, base::Duration leftUntilLate)
{
    if (completionsPerSecond <= 0)
        return false;
    return static_cast<double>(callsAhead) / completionsPerSecond > base::toSeconds(leftUntilLate);
}

} // namespace toucanstep::scheduling
