#include "toucanstep/assignments/FailureDetector.h"

#include <algorithm>

namespace toucanstep::assignments {

using base::Instant;

FailureDetector::FailureDetector(Timing timing)
    : m_timing(timing)
{
}

void FailureDetector::watch(const base::InstanceId& instance, Instant now)
{
    WatchedInstance watched;
    watched.watchedAt = now;
    watched.mark = m_marks.count(instance) ? m_marks.at(instance) : base::Revision();
    m_watched.emplace(instance, watched);
}

void FailureDetector::forget(const base::InstanceId& instance)
{
    m_watched.erase(instance);
}

void FailureDetector::onListAnswer(RequestWindow window, Instant now, std::optional<uint64_t> version, const std::set<base::InstanceId>& shown)
{
    if (now > window.deadline)
        return;
    bool older = version && m_newestVersion ? *version < *m_newestVersion : m_newestSentAt && window.sentAt < *m_newestSentAt;
    if (older)
        return;
    if (version)
        m_newestVersion = version;
    m_newestSentAt = window.sentAt;
    for (auto& [instance, watched] : m_watched) {
        if (shown.count(instance)) {
            watched.shown = true;
            watched.shownVersion = version;
            watched.absentSince.reset();
            watched.dropped = false;
            continue;
        }
        if (!watched.absentSince)
            watched.absentSince = now;
        watched.absentAskedAt = window.sentAt;
        // A later version without an instance that an earlier version showed proves that it was dropped, regardless of
        // the lag.
        watched.dropped = watched.dropped || (version && watched.shownVersion && *version > *watched.shownVersion);
    }
}

void FailureDetector::onVoterSets(const VoterSets& voterSets, Instant now)
{
    bool newer = !m_voterSetsSince || voterSets.modified > m_voterSets.modified;
    if (!newer)
        return;
    m_voterSets = voterSets;
    m_voterSetsSince = now;
}

void FailureDetector::onMarks(base::Revision revision, const std::vector<GoneMark>& marks)
{
    if (revision < m_marksKnownAt)
        return;
    m_marksKnownAt = revision;
    m_marks.clear();
    for (const auto& mark : marks)
        m_marks[mark.instance] = mark.modified;
    for (auto& [instance, watched] : m_watched) {
        auto found = m_marks.find(instance);
        watched.mark = found == m_marks.end() ? base::Revision() : found->second;
    }
}

void FailureDetector::onVoterReply(RequestWindow window, Instant now, const base::InstanceId& instance, const VoterReply& reply)
{
    auto found = m_watched.find(instance);
    if (found == m_watched.end() || now > window.deadline)
        return;
    auto& replies = found->second.replies;
    auto known = replies.find(reply.voter);
    // Replies may arrive out of order: one without a promise, or under an earlier mark, does not replace a later
    // promise.
    bool older = known != replies.end() && known->second.reply.promisedUnder > reply.promisedUnder;
    if (!older)
        replies[reply.voter] = ReceivedReply { reply, now };
}

bool FailureDetector::isDropped(const WatchedInstance& watched) const
{
    if (!watched.absentSince)
        return false;
    return watched.dropped || watched.absentAskedAt > *watched.absentSince + m_timing.listLag;
}

bool FailureDetector::isAbsentLongEnough(const WatchedInstance& watched, Instant now) const
{
    return watched.absentSince && now > *watched.absentSince + absenceFromList(m_timing);
}

bool FailureDetector::isSilentToMajority(const WatchedInstance& watched, Instant now) const
{
    std::set<base::InstanceId> silent;
    for (const auto& [voter, received] : watched.replies) {
        bool recent = now <= received.receivedAt + m_timing.absence;
        if (recent && received.reply.silentFor >= m_timing.absence)
            silent.insert(voter);
    }
    return isMajorityOfEachSet(m_voterSets, silent);
}

bool FailureDetector::promisedByMajority(const WatchedInstance& watched, Instant now) const
{
    std::set<base::InstanceId> stopped;
    for (const auto& [voter, received] : watched.replies) {
        // Votes given before the promise have expired once the remaining time has passed locally.
        Instant endsAt = received.receivedAt + std::max(base::Duration::zero(), m_timing.absence - received.reply.silentFor);
        if (received.reply.promisedUnder == watched.mark && now >= endsAt)
            stopped.insert(voter);
    }
    return isMajorityOfEachSet(m_voterSets, stopped);
}

FailurePhase FailureDetector::phaseOf(const WatchedInstance& watched, Instant now) const
{
    if (!watched.absentSince)
        return FailurePhase::Present;
    if (!isDropped(watched) || !isAbsentLongEnough(watched, now))
        return FailurePhase::Absent;
    if (watched.mark == base::Revision())
        return isSilentToMajority(watched, now) ? FailurePhase::MarkNeeded : FailurePhase::Absent;
    bool voterSetsStable = m_voterSetsSince && now >= *m_voterSetsSince + m_timing.absence;
    return voterSetsStable && promisedByMajority(watched, now) ? FailurePhase::TakeoverAllowed : FailurePhase::Marked;
}

FailurePhase FailureDetector::phase(const base::InstanceId& instance, Instant now) const
{
    auto found = m_watched.find(instance);
    return found == m_watched.end() ? FailurePhase::Present : phaseOf(found->second, now);
}

base::Revision FailureDetector::markRevisionOf(const base::InstanceId& instance) const
{
    auto found = m_watched.find(instance);
    return found == m_watched.end() ? base::Revision() : found->second.mark;
}

std::vector<base::InstanceId> FailureDetector::instancesToQuery(Instant now) const
{
    std::vector<base::InstanceId> instances;
    for (const auto& [instance, watched] : m_watched) {
        FailurePhase phase = phaseOf(watched, now);
        if (phase == FailurePhase::Absent || phase == FailurePhase::Marked)
            instances.push_back(instance);
    }
    return instances;
}

std::optional<TakeoverProof> FailureDetector::takeoverProof(const base::InstanceId& instance, Instant now) const
{
    if (phase(instance, now) != FailurePhase::TakeoverAllowed)
        return std::nullopt;
    return TakeoverProof { instance, markRevisionOf(instance), m_voterSets.modified };
}

bool FailureDetector::mayTakeOver(const Row& row, Instant now) const
{
    return phase(row.holder.instance, now) == FailurePhase::TakeoverAllowed;
}

bool FailureDetector::listHasDropped(const base::InstanceId& instance) const
{
    auto found = m_watched.find(instance);
    return found != m_watched.end() && isDropped(found->second);
}

bool FailureDetector::hasStoppedVouching(const base::InstanceId& instance, Instant now) const
{
    auto found = m_watched.find(instance);
    return found != m_watched.end() && isDropped(found->second) && now > *found->second.absentSince + voterAbsence(m_timing);
}

} // namespace toucanstep::assignments
