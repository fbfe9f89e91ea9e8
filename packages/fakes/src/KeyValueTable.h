// The contents of the stand-in key-value service: keys with revisions, leases, and the history that watches read.

#pragma once

#include "toucanstep/base/KeyValue.h"

#include <map>
#include <set>
#include <vector>

namespace toucanstep::fakes::internal {

// Keys from `begin` up to `end`; without an end just the one key.
struct KeyRange {
    std::string begin;
    std::string end;

    bool contains(const std::string& key) const;
};

class KeyValueTable {
public:
    struct Entry {
        base::KeyValue data;
        int64_t lease = 0;
    };

    base::Revision revision() const { return m_revision; }
    base::Revision compacted() const { return m_compacted; }
    const std::map<std::string, Entry>& entries() const { return m_entries; }
    std::vector<base::KeyValue> range(const KeyRange&) const;
    bool holds(const base::Comparison&) const;
    // Carries out all operations under one new revision. Returns what changed.
    std::vector<base::WatchEvent> apply(const std::vector<base::Operation>&);
    std::vector<base::WatchEvent> eventsFrom(base::Revision, const KeyRange&) const;
    void compact();

    int64_t grantLease(base::Duration timeToLive, base::Instant now);
    bool hasLease(int64_t lease) const { return m_leases.contains(lease); }
    // Returns the time to live, or nothing where the lease has expired.
    std::optional<base::Duration> keepLeaseAlive(int64_t lease, base::Instant now);
    // Deletes the keys of every lease that has expired. Returns what changed.
    std::vector<base::WatchEvent> expireLeases(base::Instant now);

private:
    struct Lease {
        base::Duration timeToLive;
        base::Instant deadline;
    };

    std::map<std::string, Entry> m_entries;
    std::map<int64_t, Lease> m_leases;
    std::vector<base::WatchEvent> m_history;
    base::Revision m_revision { 1 };
    base::Revision m_compacted { 0 };
    int64_t m_nextLease = 7587000;
};

} // namespace toucanstep::fakes::internal
