#include "toucanstep/direct/QueueDiscipline.h"

namespace toucanstep::direct {

namespace {

// A queue with late calls for this long is no passing burst. Longer than the time from the first full engine to another
// replica of its model, loaded from disk or from host memory (0.4 to 0.9 s on the users' engines).
constexpr auto standingQueueTime = std::chrono::milliseconds(1000);

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
    m_lateThisPass.clear();
}

bool StandingQueueDetector::shouldRefuseLate(const QueueKey& key)
{
    auto earlier = m_lateSince.find(key);
    auto since = m_lateThisPass.emplace(key, earlier == m_lateSince.end() ? m_now : earlier->second).first;
    return m_now - since->second > standingQueueTime;
}

void StandingQueueDetector::endPass()
{
    m_lateSince.swap(m_lateThisPass);
}

} // namespace toucanstep::direct
