#include "toucanstep/direct/QueueDiscipline.h"

namespace toucanstep::direct {

namespace {

// Late calls have been standing for this long: it is no burst that passes. Longer than the time from the first full engine
// to another copy of its model from a disk or from host memory (0.4 to 0.9 s on the users' engines).
constexpr auto standingAfter = std::chrono::milliseconds(1000);

} // namespace

QueueClass queueClassOf(bool begun, base::Instant arrived, base::Duration latencyTarget, base::Instant now)
{
    if (begun)
        return QueueClass::Resuming;
    bool mayBeLate = latencyTarget > base::Duration::zero();
    return !mayBeLate || now < arrived + latencyTarget ? QueueClass::InTime : QueueClass::Late;
}

void StandingQueueDetector::beginPass(base::Instant now)
{
    m_now = now;
    m_seen.clear();
}

bool StandingQueueDetector::shouldRefuseLate(const QueueKey& line)
{
    auto known = m_since.find(line);
    auto since = m_seen.emplace(line, known == m_since.end() ? m_now : known->second).first;
    return m_now - since->second > standingAfter;
}

void StandingQueueDetector::endPass()
{
    m_since.swap(m_seen);
}

} // namespace toucanstep::direct
