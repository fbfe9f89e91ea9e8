#include "KeyValueTable.h"

namespace toucanstep::fakes::internal {

using namespace base;

bool KeyRange::contains(const std::string& key) const
{
    if (end.empty())
        return key == begin;
    bool open = end.size() == 1 && end.front() == '\0';
    return key >= begin && (open || key < end);
}

std::vector<KeyValue> KeyValueTable::range(const KeyRange& range) const
{
    std::vector<KeyValue> found;
    for (auto position = m_entries.lower_bound(range.begin); position != m_entries.end() && range.contains(position->first); ++position)
        found.push_back(position->second.data);
    return found;
}

bool KeyValueTable::holds(const Comparison& comparison) const
{
    auto found = m_entries.find(comparison.key);
    Revision modified = found == m_entries.end() ? Revision(0) : found->second.data.modified;
    return modified == comparison.modified;
}

std::vector<WatchEvent> KeyValueTable::apply(const std::vector<Operation>& operations)
{
    std::vector<WatchEvent> events;
    Revision next = m_revision + Revision(1);
    for (const auto& operation : operations) {
        if (const auto* put = std::get_if<PutOperation>(&operation)) {
            Entry& entry = m_entries[put->key];
            Revision created = entry.data.created.value() > 0 ? entry.data.created : next;
            entry.data = { .key = put->key, .value = put->value, .created = created, .modified = next };
            entry.lease = put->lease ? put->lease->value() : 0;
            events.push_back({ .entry = entry.data });
        } else {
            const auto& key = std::get<DeleteOperation>(operation).key;
            if (m_entries.erase(key) > 0)
                events.push_back({ .entry = { .key = key, .modified = next }, .deleted = true });
        }
    }
    if (!events.empty())
        m_revision = next;
    m_history.insert(m_history.end(), events.begin(), events.end());
    return events;
}

std::vector<WatchEvent> KeyValueTable::eventsFrom(Revision from, const KeyRange& range) const
{
    std::vector<WatchEvent> events;
    for (const auto& event : m_history) {
        if (event.entry.modified >= from && range.contains(event.entry.key))
            events.push_back(event);
    }
    return events;
}

void KeyValueTable::compact()
{
    m_history.clear();
    m_compacted = m_revision;
}

int64_t KeyValueTable::grantLease(Duration timeToLive, Instant now)
{
    int64_t lease = m_nextLease++;
    m_leases[lease] = { timeToLive, now + timeToLive };
    return lease;
}

std::optional<Duration> KeyValueTable::keepLeaseAlive(int64_t lease, Instant now)
{
    auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return std::nullopt;
    found->second.deadline = now + found->second.timeToLive;
    return found->second.timeToLive;
}

std::vector<WatchEvent> KeyValueTable::expireLeases(Instant now)
{
    std::set<int64_t> expired;
    for (const auto& [number, lease] : m_leases) {
        if (lease.deadline <= now)
            expired.insert(number);
    }
    std::vector<Operation> deletions;
    for (const auto& [key, entry] : m_entries) {
        if (expired.contains(entry.lease))
            deletions.push_back(DeleteOperation { key });
    }
    for (int64_t number : expired)
        m_leases.erase(number);
    return deletions.empty() ? std::vector<WatchEvent>() : apply(deletions);
}

} // namespace toucanstep::fakes::internal
