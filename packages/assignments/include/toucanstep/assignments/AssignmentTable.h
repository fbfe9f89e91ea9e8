// What this node knows of the rows, ordered by revision.
//
//     table.applyRange(allRowsPrefix, reply);
//     table.applyEvents(events);
//     if (const Row* row = table.find(key)) ...
//
// Answers and watch events may come late or crossed. An older one never replaces what a newer one told, and neither
// does it bring back a row whose deletion is already known.

#pragma once

#include "toucanstep/assignments/Row.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace toucanstep::assignments {

class AssignmentTable {
public:
    // A read of all keys with `prefix`: rows that it lacks, and that are not newer than it, are gone.
    // Returns the keys whose values could not be decoded; they stay unknown.
    std::vector<std::string> applyRange(std::string_view prefix, const base::RangeReply&);
    // Events that bring the table up to `revision` for the keys they name.
    std::vector<std::string> applyEvents(const std::vector<base::WatchEvent>&, base::Revision);
    // A write of our own that is known to have taken effect.
    void applyWrite(const Row&);
    void applyDeletion(const RowKey&, base::Revision);

    const Row* find(const RowKey&) const;
    std::vector<Row> rowsOf(const base::InstanceId&) const;
    std::vector<Row> rowsOfKind(RowKind) const;
    std::vector<Row> rowsOfSubject(RowKind, std::string_view subject) const;
    std::vector<Row> all() const;
    // Grows with every change, so that a snapshot can be told from its predecessor.
    uint64_t changes() const { return m_changes; }

private:
    struct Entry {
        // Empty where the key is known not to exist.
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
    // For each prefix the revision up to which a key under it that the table does not list is known not to exist. Without
    // it a late event would bring back a row whose deletion a read has already shown by leaving it out.
    std::map<std::string, base::Revision, std::less<>> m_readRevisions;
    uint64_t m_changes = 0;
};

} // namespace toucanstep::assignments
