#include "toucanstep/assignments/Mover.h"

#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::assignments {

namespace {
base::Transaction writeOf(const Row& row, base::Revision compared)
{
    base::Transaction transaction;
    transaction.comparisons.push_back({ storageKey(row.key), compared });
    // Never assign rows to an instance that is marked as gone.
    transaction.comparisons.push_back({ goneMarkKey(row.holder.instance), base::Revision() });
    transaction.operations.push_back(base::PutOperation { storageKey(row.key), encodeRow(row), std::nullopt });
    return transaction;
}

bool isAboutMark(MoveKind kind) { return kind == MoveKind::MarkGone || kind == MoveKind::LiftMark; }

// Whether the move is complete once the entry has changed, whoever changed it.
bool completesOnAnyChange(MoveKind kind)
{
    return kind == MoveKind::Release || kind == MoveKind::HandOver || kind == MoveKind::LiftMark;
}

// Whether the error proves that the transaction was not applied.
bool isDefinitelyNotApplied(const base::Error& error)
{
    return error.kind == base::ErrorKind::Unavailable || error.kind == base::ErrorKind::Rejected;
}
}

Mover::Mover(Holder self)
    : m_self(std::move(self))
{
}

WriteNonce Mover::nextNonce()
{
    ++m_counter;
    return WriteNonce(base::concat(m_self.instance, "/", m_self.start, "/", m_counter));
}

Move Mover::addPending(MoveKind kind, std::string key, base::Revision compared, std::optional<Row> row, WriteNonce nonce, base::Transaction transaction)
{
    MoveId id(m_counter);
    m_pending.emplace(id, Pending { kind, key, compared, std::move(row), std::move(nonce), MoveState::Sent });
    return Move { id, kind, std::move(key), std::move(transaction) };
}

Move Mover::write(MoveKind kind, Row row, base::Revision compared, const std::vector<base::Comparison>& conditions)
{
    row.writer = nextNonce();
    base::Transaction transaction = writeOf(row, compared);
    transaction.comparisons.insert(transaction.comparisons.end(), conditions.begin(), conditions.end());
    std::string key = storageKey(row.key);
    WriteNonce nonce = row.writer;
    return addPending(kind, std::move(key), compared, std::move(row), std::move(nonce), std::move(transaction));
}

Move Mover::claim(const RowKey& key, std::string payload, base::Revision read)
{
    return assign(key, m_self, std::move(payload), read);
}

Move Mover::assign(const RowKey& key, const Holder& to, std::string payload, base::Revision read)
{
    return write(MoveKind::Claim, Row { .key = key, .holder = to, .epoch = nextEpoch(read), .payload = std::move(payload) }, base::Revision(), {});
}

Move Mover::adopt(const Row& row, base::Revision read)
{
    Row adopted = row;
    adopted.holder = m_self;
    adopted.epoch = nextEpoch(read);
    return write(MoveKind::Adopt, std::move(adopted), row.modified, {});
}

Move Mover::takeOver(const Row& row, const TakeoverProof& proof, const Holder& to, std::string payload, base::Revision read)
{
    Row taken { .key = row.key, .holder = to, .epoch = nextEpoch(read), .payload = std::move(payload) };
    // The proof was collected under this mark and these voter sets and is valid only while both are unchanged.
    return write(MoveKind::TakeOver, std::move(taken), row.modified,
        { { goneMarkKey(proof.instance), proof.mark }, { std::string(voterSetsKey), proof.voterSets } });
}

Move Mover::handOver(const Row& row, HolderState& holder, const Holder& to, base::Revision read)
{
    holder.relinquish(row);
    Row given = row;
    given.holder = to;
    given.epoch = nextEpoch(read);
    return write(MoveKind::HandOver, std::move(given), row.modified, {});
}

Move Mover::release(const Row& row, HolderState& holder)
{
    holder.relinquish(row);
    std::string key = storageKey(row.key);
    base::Transaction transaction;
    transaction.comparisons.push_back({ key, row.modified });
    transaction.operations.push_back(base::DeleteOperation { key });
    return addPending(MoveKind::Release, key, row.modified, std::nullopt, nextNonce(), std::move(transaction));
}

Move Mover::markGone(const base::InstanceId& instance)
{
    std::string key = goneMarkKey(instance);
    WriteNonce nonce = nextNonce();
    base::Transaction transaction;
    transaction.comparisons.push_back({ key, base::Revision() });
    transaction.operations.push_back(base::PutOperation { key, nonce.value(), std::nullopt });
    return addPending(MoveKind::MarkGone, key, base::Revision(), std::nullopt, nonce, std::move(transaction));
}

Move Mover::liftMark(const GoneMark& mark)
{
    std::string key = goneMarkKey(mark.instance);
    base::Transaction transaction;
    transaction.comparisons.push_back({ key, mark.modified });
    transaction.operations.push_back(base::DeleteOperation { key });
    return addPending(MoveKind::LiftMark, key, mark.modified, std::nullopt, nextNonce(), std::move(transaction));
}

MoveState Mover::onOutcome(MoveId id, const base::Outcome<base::TransactionReply>& outcome)
{
    auto found = m_pending.find(id);
    if (found == m_pending.end())
        return MoveState::Failed;
    Pending& pending = found->second;
    if (pending.state == MoveState::Committed || pending.state == MoveState::Failed)
        return pending.state;
    if (const auto* error = std::get_if<base::Error>(&outcome)) {
        pending.state = isDefinitelyNotApplied(*error) ? MoveState::Failed : MoveState::NeedsRead;
        return pending.state;
    }
    const auto& reply = std::get<base::TransactionReply>(outcome);
    pending.state = reply.committed ? MoveState::Committed : MoveState::Failed;
    pending.committed = reply.revision;
    return pending.state;
}

MoveState Mover::onRead(MoveId id, const base::RangeReply& reply)
{
    auto found = m_pending.find(id);
    if (found == m_pending.end())
        return MoveState::Failed;
    Pending& pending = found->second;
    if (pending.state == MoveState::Committed || pending.state == MoveState::Failed)
        return pending.state;
    auto entry = std::find_if(reply.entries.begin(), reply.entries.end(), [&](const base::KeyValue& candidate) { return candidate.key == pending.key; });
    base::Revision current = entry == reply.entries.end() ? base::Revision() : entry->modified;
    if (current == pending.compared) {
        // The transaction may still be in transit.
        pending.state = MoveState::InDoubt;
        return pending.state;
    }
    if (entry != reply.entries.end() && isWrittenBy(pending, *entry)) {
        pending.state = MoveState::Committed;
        pending.committed = entry->modified;
        return pending.state;
    }
    pending.state = completesOnAnyChange(pending.kind) ? MoveState::Committed : MoveState::Failed;
    pending.committed = reply.revision;
    pending.row.reset();
    return pending.state;
}

bool Mover::isWrittenBy(const Pending& pending, const base::KeyValue& entry)
{
    if (isAboutMark(pending.kind))
        return entry.value == pending.nonce.value();
    base::Error error;
    auto row = base::valueOr(error, [&] { return decodeRow(entry); });
    return row && row->writer == pending.nonce;
}

MoveState Mover::state(MoveId id) const
{
    auto found = m_pending.find(id);
    return found == m_pending.end() ? MoveState::Failed : found->second.state;
}

std::optional<Row> Mover::writtenRow(MoveId id) const
{
    auto found = m_pending.find(id);
    if (found == m_pending.end() || found->second.state != MoveState::Committed || !found->second.row)
        return std::nullopt;
    Row row = *found->second.row;
    row.modified = found->second.committed;
    return row;
}

void Mover::forget(MoveId id)
{
    m_pending.erase(id);
}

size_t Mover::unfinishedCount() const
{
    auto counted = std::count_if(m_pending.begin(), m_pending.end(), [](const auto& pending) {
        return pending.second.state != MoveState::Committed && pending.second.state != MoveState::Failed;
    });
    return static_cast<size_t>(counted);
}

} // namespace toucanstep::assignments
