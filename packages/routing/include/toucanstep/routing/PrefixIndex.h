// Where prefixes of prompts are probably still in an engine's cache.
//
// Fed by the engines' cache events, which come late and with gaps, and by this gateway's own routing. An entry is a hint:
// a wrong one costs a cache miss and nothing else. The table is bounded; the least recently confirmed entry goes first.

#pragma once

#include "toucanstep/base/Time.h"
#include "toucanstep/routing/Ids.h"

#include <absl/container/flat_hash_map.h>
#include <list>
#include <vector>

namespace toucanstep::routing {

struct PrefixHint {
    base::UpstreamId upstream;
    // Length of the longest known prefix, in blocks.
    int64_t blocks = 0;
};

class PrefixIndex {
public:
    PrefixIndex(size_t capacity, base::Duration lifetime);

    // The engine stored the prefix, or a request with it was sent there.
    void stored(const base::UpstreamId&, PrefixFingerprint, base::Instant now);
    void evicted(const base::UpstreamId&, PrefixFingerprint);
    // Events of that upstream were lost, or it started again: nothing known about it holds.
    void forget(const base::UpstreamId&);
    // For each upstream with a living hint the longest match, longest first, ties by id.
    std::vector<PrefixHint> match(const std::vector<PrefixFingerprint>& prefixes, base::Instant now) const;
    size_t size() const { return m_order.size(); }

private:
    struct Key {
        PrefixFingerprint prefix;
        base::UpstreamId upstream;
    };
    struct Entry {
        Key key;
        base::Instant confirmedAt;
    };
    using Order = std::list<Entry>;
    void remove(Order::iterator);

    size_t m_capacity;
    base::Duration m_lifetime;
    Order m_order;
    absl::flat_hash_map<PrefixFingerprint, std::vector<Order::iterator>> m_byPrefix;
};

} // namespace toucanstep::routing
