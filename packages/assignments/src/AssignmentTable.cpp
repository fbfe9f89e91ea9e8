#include "toucanstep/assignments/AssignmentTable.h"

#include <algorithm>

namespace toucanstep::assignments {

namespace {
// Maximum number of deleted keys to remember; they prevent a late event from restoring a deleted row.
constexpr size_t maxTombstones = 4096;
}

std::vector<std::string> AssignmentTable::applyRange(std::string_view prefix, const base::RangeReply& reply)
{
    std::vector<std::string> malformed;
    std::map<RowKey, Row> read;
    for (const auto& entry : reply.entries) {
        base::Error error;
        auto row = base::valueOr(error, [&] { return rowOf(entry); });
        if (row)
            read.emplace(row->key, std::move(*row));
        else
            malformed.push_back(entry.key);
    }
    std::vector<RowKey> missing;
    for (const auto& [key, entry] : m_entries) {
        bool covered = storageKey(key).compare(0, prefix.size(), prefix) == 0;
        if (entry.row && covered && !read.count(key))
            missing.push_back(key);
    }
    for (const auto& key : missing)
        apply(key, std::nullopt, reply.revision);
    for (auto& [key, row] : read)
        apply(key, std::move(row), reply.revision);
    raiseReadRevision(prefix, reply.revision);
    pruneTombstones();
    return malformed;
}

std::vector<std::string> AssignmentTable::applyEvents(const std::vector<base::WatchEvent>& events, base::Revision revision)
{
    std::vector<std::string> malformed;
    for (const auto& event : events) {
        base::Error error;
        if (event.deleted) {
            auto key = base::valueOr(error, [&] { return parseStorageKey(event.entry.key); });
            if (key)
                apply(*key, std::nullopt, event.entry.modified == base::Revision() ? revision : event.entry.modified);
            else
                malformed.push_back(event.entry.key);
            continue;
        }
        auto row = base::valueOr(error, [&] { return decodeRow(event.entry); });
        if (row)
            apply(RowKey(row->key), *row, row->modified);
        else
            malformed.push_back(event.entry.key);
    }
    pruneTombstones();
    return malformed;
}

// Returns the row of an entry. Reuses a row known at the same revision, since decoding is most of the cost of a read.
base::Result<Row> AssignmentTable::rowOf(const base::KeyValue& entry) const
{
    BOOST_LEAF_AUTO(key, parseStorageKey(entry.key));
    const Row* known = find(key);
    if (known && known->modified == entry.modified)
        return *known;
    return decodeRow(entry);
}

void AssignmentTable::applyWrite(const Row& row)
{
    apply(row.key, row, row.modified);
}

void AssignmentTable::applyDeletion(const RowKey& key, base::Revision revision)
{
    apply(key, std::nullopt, revision);
    pruneTombstones();
}

void AssignmentTable::apply(const RowKey& key, std::optional<Row> row, base::Revision known)
{
    auto found = m_entries.find(key);
    if (found == m_entries.end()) {
        if (known < readRevision(key))
            return;
        m_entries.emplace(key, Entry { std::move(row), known });
        ++m_changes;
        return;
    }
    Entry& entry = found->second;
    if (known < entry.known)
        return;
    entry.known = known;
    if (entry.row == row)
        return;
    entry.row = std::move(row);
    ++m_changes;
}

void AssignmentTable::pruneTombstones()
{
    std::vector<std::pair<base::Revision, RowKey>> deletions;
    for (const auto& [key, entry] : m_entries) {
        if (!entry.row)
            deletions.emplace_back(entry.known, key);
    }
    if (deletions.size() <= maxTombstones)
        return;
    std::sort(deletions.begin(), deletions.end());
    deletions.resize(deletions.size() - maxTombstones / 2);
    for (const auto& [revision, key] : deletions) {
        raiseReadRevision(allRowsPrefix, revision);
        m_entries.erase(key);
    }
}

void AssignmentTable::raiseReadRevision(std::string_view prefix, base::Revision revision)
{
    auto [found, isNew] = m_readRevisions.emplace(prefix, revision);
    if (!isNew)
        found->second = std::max(found->second, revision);
}

base::Revision AssignmentTable::readRevision(const RowKey& key) const
{
    base::Revision latest;
    std::string stored = storageKey(key);
    for (const auto& [prefix, revision] : m_readRevisions) {
        if (stored.compare(0, prefix.size(), prefix) == 0)
            latest = std::max(latest, revision);
    }
    return latest;
}

const Row* AssignmentTable::find(const RowKey& key) const
{
    auto found = m_entries.find(key);
    return found == m_entries.end() || !found->second.row ? nullptr : &*found->second.row;
}

template <typename Predicate>
std::vector<Row> AssignmentTable::select(Predicate&& predicate) const
{
    std::vector<Row> rows;
    for (const auto& [key, entry] : m_entries) {
        if (entry.row && predicate(*entry.row))
            rows.push_back(*entry.row);
    }
    return rows;
}

std::vector<Row> AssignmentTable::rowsOf(const base::InstanceId& instance) const
{
    return select([&](const Row& row) { return row.holder.instance == instance; });
}

std::vector<Row> AssignmentTable::rowsOfKind(RowKind kind) const
{
    return select([&](const Row& row) { return row.key.kind == kind; });
}

std::vector<Row> AssignmentTable::rowsOfSubject(RowKind kind, std::string_view subject) const
{
    std::vector<Row> rows;
    for (auto found = m_entries.lower_bound(RowKey { kind, std::string(subject), 0 }); found != m_entries.end(); ++found) {
        if (found->first.kind != kind || found->first.subject != subject)
            break;
        if (found->second.row)
            rows.push_back(*found->second.row);
    }
    return rows;
}

std::vector<Row> AssignmentTable::all() const
{
    return select([](const Row&) { return true; });
}

} // namespace toucanstep::assignments
