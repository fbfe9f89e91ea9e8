// Index of the upstreams whose engine probably still has a prompt prefix in its cache.
//
// It is updated by the engines' cache events, which may be late or lost, and by this gateway's own routing decisions. Entries
// are hints: a wrong one only costs a cache miss. The index is bounded and evicts the least recently confirmed entry first.

#pragma once

#include "toucanstep/base/Time.h"
#include "toucanstep/routing/Ids.h"

#include <absl/container/flat_hash_map.h>
#include <list>
#include <vector>

namespace toucanstep::routing {

struct PrefixHint {
    base::UpstreamId upstream;
    // Length of the longest matching prefix.
    int64_t blocks = 0;
};

class PrefixIndex {
public:
    PrefixIndex(size_t capacity, base::Duration lifetime);

    // The engine cached the prefix, or a request with this prefix was sent to it.
    void stored(const base::UpstreamId&, PrefixFingerprint, base::Instant now);
    void evicted(const base::UpstreamId&, PrefixFingerprint);
    // Drops all entries of an upstream, because events of it were lost or it restarted.
    void forget(const base::UpstreamId&);
    // The longest match for each upstream with an unexpired entry, longest first, ties by upstream id.
    std::vector<PrefixHint> match(const std::vector<PrefixFingerprint>& prefixes, base::Instant now) const;
    size_t size() const { return m_entries.size(); }

private:
    struct Key {
        PrefixFingerprint prefix;
        base::UpstreamId upstream;
    };
    struct Entry {
        Key key;
        base::Instant confirmedAt;
    };
    using Entries = std::list<Entry>;
    void remove(Entries::iterator);

    size_t m_capacity;
    base::Duration m_lifetime;
    Entries m_entries;
    absl::flat_hash_map<PrefixFingerprint, std::vector<Entries::iterator>> m_byPrefix;
};

} // namespace toucanstep::routing
