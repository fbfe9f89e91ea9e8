#include "toucanstep/calls/GroupCommit.h"

#include <algorithm>

namespace toucanstep::calls {

using base::Instant;

namespace {
size_t sizeOf(const RecordWrite& write)
{
    // The key stands in the comparison and in the operation.
    return 2 * write.key.size() + write.value.size();
}
}

GroupCommit::GroupCommit(GroupLimits limits)
    : m_limits(limits)
{
}

void GroupCommit::add(WriteId id, RecordWrite write, Instant)
{
    m_waiting.push_back(Member { id, std::move(write) });
}

bool GroupCommit::withdraw(WriteId id)
{
    auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const Member& member) { return member.id == id; });
    if (found == m_waiting.end())
        return false;
    m_waiting.erase(found);
    return true;
}

std::vector<Batch> GroupCommit::poll(Instant now)
{
    std::vector<Batch> batches;
    while (m_inFlight.size() < m_limits.inFlight) {
        if (!m_parts.empty()) {
            batches.push_back(makeBatch(std::move(m_parts.front()), now));
            m_parts.pop_front();
            continue;
        }
        bool full = m_waiting.size() >= m_limits.members;
        bool paced = m_lastSentAt && now < *m_lastSentAt + m_limits.interval;
        if (paced && !full)
            break;
        auto members = gather();
        if (members.empty())
            break;
        batches.push_back(makeBatch(std::move(members), now));
    }
    return batches;
}

// Takes from the front what fits into one transaction. The service refuses a transaction that writes a key twice, so a
// second write of a key, and what follows it of that key, waits until the first is answered.
std::vector<GroupCommit::Member> GroupCommit::gather()
{
    std::vector<Member> members;
    std::set<std::string> skipped;
    size_t bytes = 0;
    for (auto member = m_waiting.begin(); member != m_waiting.end() && members.size() < m_limits.members;) {
        bool taken = m_keysInFlight.count(member->write.key) || skipped.count(member->write.key);
        if (taken) {
            skipped.insert(member->write.key);
            ++member;
            continue;
        }
        bytes += sizeOf(member->write);
        if (!members.empty() && bytes > static_cast<size_t>(m_limits.bytes.value()))
            break;
        m_keysInFlight.insert(member->write.key);
        members.push_back(std::move(*member));
        member = m_waiting.erase(member);
    }
    return members;
}

Batch GroupCommit::makeBatch(std::vector<Member> members, Instant now)
{
    Batch batch { BatchId(++m_counter), {} };
    for (const auto& member : members) {
        batch.transaction.comparisons.push_back({ member.write.key, member.write.expected });
        batch.transaction.operations.push_back(base::PutOperation { member.write.key, member.write.value, std::nullopt });
    }
    m_inFlight.emplace(batch.id, std::move(members));
    m_lastSentAt = now;
    ++m_transactions;
    return batch;
}

std::vector<WriteResult> GroupCommit::onOutcome(BatchId id, const base::Outcome<base::TransactionReply>& outcome)
{
    auto found = m_inFlight.find(id);
    if (found == m_inFlight.end())
        return {};
    auto members = std::move(found->second);
    m_inFlight.erase(found);
    const auto* reply = std::get_if<base::TransactionReply>(&outcome);
    if (reply && !reply->committed && members.size() > 1)
        return onComparisonFailed(std::move(members), *reply);
    return settle(members, outcome);
}

std::vector<WriteResult> GroupCommit::settle(const std::vector<Member>& members, const base::Outcome<base::TransactionReply>& outcome)
{
    std::vector<WriteResult> results;
    for (const auto& member : members) {
        m_keysInFlight.erase(member.write.key);
        results.push_back(WriteResult { member.id, outcome });
    }
    return results;
}

// The answer says that nothing of the batch was carried out, so sending its members again is safe.
std::vector<WriteResult> GroupCommit::onComparisonFailed(std::vector<Member> members, const base::TransactionReply&)
{
    requeueInHalves(std::move(members));
    return {};
}

void GroupCommit::requeueInHalves(std::vector<Member> members)
{
    auto middle = members.begin() + static_cast<std::ptrdiff_t>(members.size() / 2);
    m_parts.emplace_back(std::make_move_iterator(members.begin()), std::make_move_iterator(middle));
    m_parts.emplace_back(std::make_move_iterator(middle), std::make_move_iterator(members.end()));
}

std::optional<Instant> GroupCommit::wakeAt() const
{
    if (m_inFlight.size() >= m_limits.inFlight)
        return std::nullopt;
    // Parts of failed batches leave at once; a write whose key is in flight waits for an answer, not for a time.
    if (!m_parts.empty())
        return Instant::min();
    bool sendable = std::any_of(m_waiting.begin(), m_waiting.end(), [&](const Member& member) { return !m_keysInFlight.count(member.write.key); });
    if (!sendable)
        return std::nullopt;
    return m_lastSentAt ? *m_lastSentAt + m_limits.interval : Instant::min();
}

} // namespace toucanstep::calls
