#include "toucanstep/routing/PrefixIndex.h"

#include <algorithm>
#include <map>

namespace toucanstep::routing {

PrefixIndex::PrefixIndex(size_t capacity, base::Duration lifetime)
    : m_capacity(std::max<size_t>(1, capacity))
    , m_lifetime(lifetime)
{
}

void PrefixIndex::remove(Order::iterator place)
{
    auto found = m_byPrefix.find(place->key.prefix);
    auto& places = found->second;
    places.erase(std::find(places.begin(), places.end(), place));
    if (places.empty())
        m_byPrefix.erase(found);
    m_order.erase(place);
}

void PrefixIndex::stored(const base::UpstreamId& upstream, PrefixFingerprint prefix, base::Instant now)
{
    evicted(upstream, prefix);
    if (m_order.size() >= m_capacity)
        remove(m_order.begin());
    auto place = m_order.insert(m_order.end(), Entry { { prefix, upstream }, now });
    m_byPrefix[prefix].push_back(place);
}

void PrefixIndex::evicted(const base::UpstreamId& upstream, PrefixFingerprint prefix)
{
    auto found = m_byPrefix.find(prefix);
    if (found == m_byPrefix.end())
        return;
    const auto& places = found->second;
    auto place = std::find_if(places.begin(), places.end(), [&](auto candidate) { return candidate->key.upstream == upstream; });
    if (place != places.end())
        remove(*place);
}

void PrefixIndex::forget(const base::UpstreamId& upstream)
{
    for (auto place = m_order.begin(); place != m_order.end();) {
        auto current = place++;
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
        for (auto place : found->second)
            if (now < place->confirmedAt + m_lifetime)
                longest[place->key.upstream] = static_cast<int64_t>(index) + 1;
    }
    std::vector<PrefixHint> hints;
    for (const auto& [upstream, blocks] : longest)
        hints.push_back({ upstream, blocks });
    std::stable_sort(hints.begin(), hints.end(), [](const auto& left, const auto& right) { return left.blocks > right.blocks; });
    return hints;
}

} // namespace toucanstep::routing
