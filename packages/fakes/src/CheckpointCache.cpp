#include "CheckpointCache.h"

#include <algorithm>

namespace toucanstep::fakes::internal {

bool CheckpointCache::Shelf::holds(const std::string& name) const
{
    return std::any_of(entries.begin(), entries.end(), [&](const Entry& entry) { return entry.name == name; });
}

void CheckpointCache::Shelf::remove(const std::string& name)
{
    entries.remove_if([&](const Entry& entry) { return entry.name == name; });
}

std::list<CheckpointCache::Entry> CheckpointCache::Shelf::add(Entry entry)
{
    entries.push_front(std::move(entry));
    base::Bytes used;
    auto firstOut = entries.begin();
    while (firstOut != entries.end() && used + firstOut->size <= limit) {
        used += firstOut->size;
        ++firstOut;
    }
    std::list<Entry> out;
    out.splice(out.begin(), entries, firstOut, entries.end());
    return out;
}

CheckpointCache::CheckpointCache(base::Bytes memoryLimit, base::Bytes diskLimit)
    : m_memory { .limit = memoryLimit }
    , m_disk { .limit = diskLimit }
{
}

CheckpointTier CheckpointCache::tier(const std::string& name) const
{
    if (m_memory.holds(name))
        return CheckpointTier::Memory;
    return m_disk.holds(name) ? CheckpointTier::Disk : CheckpointTier::Remote;
}

void CheckpointCache::put(const std::string& name, base::Bytes size, CheckpointTier tier)
{
    m_memory.remove(name);
    m_disk.remove(name);
    std::list<Entry> toDisk;
    if (tier == CheckpointTier::Memory)
        toDisk = m_memory.add({ name, size });
    else if (tier == CheckpointTier::Disk)
        toDisk.push_back({ name, size });
    for (auto& entry : toDisk)
        m_disk.add(std::move(entry));
}

} // namespace toucanstep::fakes::internal
