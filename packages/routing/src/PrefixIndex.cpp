#include "toucanstep/routing/PrefixIndex.h"

#include <algorithm>
#include <map>

namespace toucanstep::routing {

PrefixIndex::PrefixIndex(size_t capacity, base::Duration lifetime)
    : m_capacity(std::max<size_t>(1, capacity))
    , m_lifetime(lifetime)
{
}

void PrefixIndex::remove(Entries::iterator entry)
{
    auto found = m_byPrefix.find(entry->key.prefix);
    auto& entries = found->second;
    entries.erase(std::find(entries.begin(), entries.end(), entry));
    if (entries.empty())
        m_byPrefix.erase(found);
    m_entries.erase(entry);
}

void PrefixIndex::stored(const base::UpstreamId& upstream, PrefixFingerprint prefix, base::Instant now)
{
    evicted(upstream, prefix);
    if (m_entries.size() >= m_capacity)
        remove(m_entries.begin());
    auto entry = m_entries.insert(m_entries.end(), Entry { { prefix, upstream }, now });
    m_byPrefix[prefix].push_back(entry);
}

void PrefixIndex::evicted(const base::UpstreamId& upstream, PrefixFingerprint prefix)
{
    auto found = m_byPrefix.find(prefix);
    if (found == m_byPrefix.end())
        return;
    const auto& entries = found->second;
    auto entry = std::find_if(entries.begin(), entries.end(), [&](auto candidate) { return candidate->key.upstream == upstream; });
    if (entry != entries.end())
        remove(*entry);
}

void PrefixIndex::forget(const base::UpstreamId& upstream)
{
    for (auto next = m_entries.begin(); next != m_entries.end();) {
        auto current = next++;
        if (current->key.upstream == upstream)
            remove(current);
    }
}

std::vector<PrefixHint> PrefixIndex::match(const std::vector<PrefixFingerprint>& prefixes, base::Instant now) const
{
    std::map<base::UpstreamId, int64_t> longest;
    for (size_t index = 0; index < prefixes.size(); ++index) {
        auto found = m_byPrefix.find(prefixes[index]);
        if (found == m_byPrefix.end())
            continue;
        for (auto entry : found->second)
            if (now < entry->confirmedAt + m_lifetime)
                longest[entry->key.upstream] = static_cast<int64_t>(index) + 1;
    }
    std::vector<PrefixHint> hints;
    for (const auto& [upstream, blocks] : longest)
        hints.push_back({ upstream, blocks });
    std::stable_sort(hints.begin(), hints.end(), [](const auto& left, const auto& right) { return left.blocks > right.blocks; });
    return hints;
}

} // namespace toucanstep::routing
