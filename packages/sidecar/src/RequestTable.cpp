#include "RequestTable.h"

#include "toucanstep/base/Text.h"

namespace toucanstep::sidecar::internal {

EntryKey entryKey(const base::RequestId& request, int64_t attempt)
{
    return EntryKey(base::concat(request, "#", attempt));
}

RequestEntry& RequestTable::add(RequestEntry entry)
{
    auto owned = std::make_unique<RequestEntry>(std::move(entry));
    RequestEntry& added = *owned;
    m_entries[added.key] = std::move(owned);
    return added;
}

RequestEntry* RequestTable::find(const EntryKey& key)
{
    auto found = m_entries.find(key);
    return found == m_entries.end() ? nullptr : found->second.get();
}

void RequestTable::erase(const EntryKey& key)
{
    m_entries.erase(key);
}

size_t RequestTable::countIn(RequestState state) const
{
    size_t count = 0;
    for (const auto& [key, entry] : m_entries)
        count += entry->state == state;
    return count;
}

std::vector<EntryKey> RequestTable::keys() const
{
    std::vector<EntryKey> keys;
    keys.reserve(m_entries.size());
    for (const auto& [key, entry] : m_entries)
        keys.push_back(key);
    return keys;
}

std::vector<EntryKey> RequestTable::due(base::Instant now, base::Duration detachGrace) const
{
    std::vector<EntryKey> due;
    for (const auto& [key, entry] : m_entries) {
        bool ended = entry->state == RequestState::Ended && now >= entry->forgetAt;
        bool abandoned = entry->state != RequestState::Ended && entry->detachedAt && now >= *entry->detachedAt + detachGrace;
        bool late = entry->state == RequestState::Running && now >= entry->deadline;
        if (ended || abandoned || late)
            due.push_back(key);
    }
    return due;
}

} // namespace toucanstep::sidecar::internal
