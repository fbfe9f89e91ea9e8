// A node's local view of the rows, ordered by revision.
//
//     table.applyRange(allRowsPrefix, reply);
//     table.applyEvents(events);
//     if (const Row* row = table.find(key)) ...
//
// Replies and watch events may arrive late or out of order. Older data never overwrites newer data and never restores
// a row whose deletion is already known.

#pragma once

#include "toucanstep/assignments/Row.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace toucanstep::assignments {

class AssignmentTable {
public:
    // Applies a read of all keys with `prefix`. Rows that are missing from the reply and are not newer than it are
    // deleted. Returns the keys whose values could not be decoded; they are treated as absent.
    std::vector<std::string> applyRange(std::string_view prefix, const base::RangeReply&);
    // Applies watch events that are complete up to `revision` for the keys they name.
    std::vector<std::string> applyEvents(const std::vector<base::WatchEvent>&, base::Revision);
    // Applies this node's own write once it is known to be committed.
    void applyWrite(const Row&);
    void applyDeletion(const RowKey&, base::Revision);

    const Row* find(const RowKey&) const;
    std::vector<Row> rowsOf(const base::InstanceId&) const;
    std::vector<Row> rowsOfKind(RowKind) const;
    std::vector<Row> rowsOfSubject(RowKind, std::string_view subject) const;
    std::vector<Row> all() const;
    // Incremented by every change; identifies the version of a snapshot.
    uint64_t changes() const { return m_changes; }

private:
    struct Entry {
        // Empty if the key is known not to exist.
        std::optional<Row> row;
        base::Revision known;
    };

    void apply(const RowKey&, std::optional<Row>, base::Revision);
    base::Result<Row> rowOf(const base::KeyValue&) const;
    void pruneTombstones();
    void raiseReadRevision(std::string_view prefix, base::Revision);
    base::Revision readRevision(const RowKey&) const;
    template <typename Predicate>
    std::vector<Row> select(Predicate&&) const;

    std::map<RowKey, Entry> m_entries;
    // For each prefix, the revision up to which an unlisted key under it is known not to exist. Without it, a late
    // event would restore a row whose deletion a read has already shown by omitting it.
    std::map<std::string, base::Revision, std::less<>> m_readRevisions;
    uint64_t m_changes = 0;
};

} // namespace toucanstep::assignments
