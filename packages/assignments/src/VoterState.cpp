#include "toucanstep/assignments/VoterState.h"

#include <algorithm>

namespace toucanstep::assignments {

using base::Instant;

VoterState::VoterState(base::InstanceId self, Timing timing, Instant startedAt)
    : m_self(std::move(self))
    , m_timing(timing)
    , m_startedAt(startedAt)
{
}

void VoterState::onServiceRead(base::Revision revision, const std::vector<GoneMark>& marks, const std::optional<VoterSets>& voterSets)
{
    if (m_hasRead && revision < m_marksRead)
        return;
    m_hasRead = true;
    m_marksRead = revision;
    bool covered = voterSets && voterSets->modified <= revision;
    if (covered && voterSets->current.generation > m_voterSet.generation)
        m_voterSet = voterSets->current;
    // Promises for marks written after this read are kept. For all others, the read shows which marks still exist.
    for (auto promise = m_promised.begin(); promise != m_promised.end();)
        promise = promise->second <= revision ? m_promised.erase(promise) : std::next(promise);
    for (const auto& mark : marks) {
        auto [found, isNew] = m_promised.emplace(mark.instance, mark.modified);
        if (!isNew)
            found->second = std::max(found->second, mark.modified);
    }
}

void VoterState::onListed(Instant sentAt)
{
    m_listedAt = m_listedAt ? std::max(*m_listedAt, sentAt) : sentAt;
}

bool VoterState::vouchFor(const base::InstanceId& instance, Instant now)
{
    bool valid = m_hasRead && m_listedAt && now <= *m_listedAt + m_timing.voterLimit;
    if (!valid || m_promised.count(instance))
        return false;
    m_vouchedAt[instance] = now;
    pruneOldVotes(now);
    return true;
}

VoterReply VoterState::onAbsenceQuery(const base::InstanceId& instance, base::Revision mark, Instant now)
{
    if (mark != base::Revision()) {
        bool lifted = m_hasRead && mark <= m_marksRead && !m_promised.count(instance);
        if (!lifted) {
            auto [found, isNew] = m_promised.emplace(instance, mark);
            if (!isNew)
                found->second = std::max(found->second, mark);
        }
    }
    auto vouched = m_vouchedAt.find(instance);
    Instant since = vouched == m_vouchedAt.end() ? m_startedAt : std::max(m_startedAt, vouched->second);
    auto promised = m_promised.find(instance);
    return VoterReply { m_self, now - since, promised == m_promised.end() ? base::Revision() : promised->second };
}

void VoterState::pruneOldVotes(Instant now)
{
    if (now - m_lastPrunedAt < m_timing.absence)
        return;
    m_lastPrunedAt = now;
    for (auto vouched = m_vouchedAt.begin(); vouched != m_vouchedAt.end();)
        vouched = now - vouched->second > m_timing.absence * 2 ? m_vouchedAt.erase(vouched) : std::next(vouched);
}

} // namespace toucanstep::assignments
