#include "toucanstep/assignments/HolderState.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace toucanstep::assignments {

using base::Instant;

HolderState::HolderState(Holder self, Timing timing)
    : m_self(std::move(self))
    , m_timing(timing)
{
}

void HolderState::onServiceRead(RequestWindow window, Instant now, base::Revision revision, bool marked, const std::optional<VoterSets>& voterSets)
{
    // An answer past its deadline may have been delayed anywhere, so it proves nothing.
    if (now > window.deadline || revision < m_markKnownAt)
        return;
    m_markKnownAt = revision;
    m_marked = marked;
    m_readSentAt = m_readSentAt ? std::max(*m_readSentAt, window.sentAt) : window.sentAt;
    if (voterSets)
        onVoterSet(voterSets->current);
    if (m_marked) {
        // The rows may move from now on, and deleting the mark later does not restore them.
        m_hasRead = false;
        return;
    }
    m_hasRead = true;
    endLapse(window.sentAt);
}

void HolderState::onListAnswer(RequestWindow window, Instant now, std::optional<uint64_t> version, bool showsSelf)
{
    if (now > window.deadline)
        return;
    bool older = version && m_listVersion ? *version < *m_listVersion : m_newestListAnswer && window.sentAt < *m_newestListAnswer;
    if (older)
        return;
    if (version)
        m_listVersion = version;
    m_newestListAnswer = window.sentAt;
    if (!showsSelf)
        return;
    Instant continuous = continuousUntil();
    m_listSentAt = window.sentAt;
    detectLapse(continuous);
}

void HolderState::onVoterAnswer(RequestWindow window, Instant now, const base::InstanceId& voter, Generation generation, bool vouches)
{
    // A voter with a later set has promised not to vouch under this one. A voter with an earlier set may be missing
    // marks written before it became a member of this one.
    bool counts = vouches && now <= window.deadline && generation == m_voterSet.generation && m_voterSet.members.count(voter);
    if (!counts)
        return;
    Instant continuous = continuousUntil();
    auto [found, isNew] = m_vouchedAt.emplace(voter, window.sentAt);
    if (!isNew)
        found->second = std::max(found->second, window.sentAt);
    detectLapse(continuous);
    if (auto evidence = voterEvidence())
        endLapse(*evidence);
}

void HolderState::onVoterSet(const VoterSet& voterSet)
{
    if (voterSet.generation <= m_voterSet.generation)
        return;
    m_voterSet = voterSet;
    // Votes given under the previous set do not count towards a majority of this one.
    m_vouchedAt.clear();
}

std::optional<Instant> HolderState::voterEvidence() const
{
    std::vector<Instant> sent;
    for (const auto& [voter, sentAt] : m_vouchedAt)
        sent.push_back(sentAt);
    if (m_voterSet.members.empty() || sent.size() < m_voterSet.majority())
        return std::nullopt;
    auto needed = sent.begin() + static_cast<std::ptrdiff_t>(m_voterSet.majority()) - 1;
    std::nth_element(sent.begin(), needed, sent.end(), std::greater<>());
    return *needed;
}

std::optional<Instant> HolderState::newestEvidence() const
{
    return std::max(listEvidence(), voterEvidence());
}

Instant HolderState::usableUntil() const
{
    auto evidence = newestEvidence();
    if (!m_hasRead || m_marked || m_lapsedAt || !evidence)
        return Instant::min();
    return *evidence + m_timing.holderLimit;
}

Instant HolderState::continuousUntil() const
{
    auto latest = std::max(newestEvidence(), m_readSentAt);
    return latest ? *latest + m_timing.holderLimit : Instant::min();
}

// A lapse is detected when the next proof arrives: its request was sent after the earlier proofs had expired.
void HolderState::detectLapse(Instant continuous)
{
    auto evidence = newestEvidence();
    if (lapses() && m_hasRead && !m_lapsedAt && evidence && *evidence > continuous)
        m_lapsedAt = continuous;
}

void HolderState::endLapse(Instant provedAt)
{
    if (m_lapsedAt && provedAt > *m_lapsedAt)
        m_lapsedAt.reset();
}

bool HolderState::hasLapsed(Instant now) const
{
    return m_hasRead && !m_marked && now > usableUntil();
}

bool HolderState::mayLiftMark(Instant now) const
{
    return m_marked && m_listSentAt && now <= *m_listSentAt + m_timing.holderLimit;
}

void HolderState::relinquish(const Row& row)
{
    auto [found, isNew] = m_relinquished.emplace(row.key, row.modified);
    if (!isNew)
        found->second = std::max(found->second, row.modified);
}

bool HolderState::mayUse(const Row& row, Instant now) const
{
    if (!(row.holder == m_self) || m_self.start.empty())
        return false;
    return !hasRelinquished(row) && now <= usableUntil();
}

bool HolderState::hasRelinquished(const Row& row) const
{
    auto relinquished = m_relinquished.find(row.key);
    return relinquished != m_relinquished.end() && row.modified <= relinquished->second;
}

} // namespace toucanstep::assignments
