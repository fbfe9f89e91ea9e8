// The text as read, before its parts are checked against one another: each entry with the reader that knows its places.

#pragma once

#include "ObjectReader.h"
#include "toucanstep/config/Configuration.h"

#include <vector>

namespace toucanstep::config::internal {

template <typename Entity>
struct DraftEntry {
    Entity entity;
    ObjectReader reader;
};

struct Draft {
    std::vector<DraftEntry<RequestKind>> kinds;
    std::vector<DraftEntry<ClientAccount>> accounts;
    std::vector<DraftEntry<UpstreamPool>> pools;
    std::vector<DraftEntry<Model>> models;
    std::vector<DraftEntry<Service>> services;
    LoadLimits loads;
};

// Reads every section; `root` and the context outlive the draft.
Draft readDraft(const PlacedValue& root, ReadContext&);

// Reports what holds between parts: references, pools' kinds, memory, cycles, repeated keys. Fills an adapter's pool and
// kind from its base model.
void checkDraft(Draft&, ReadContext&);

} // namespace toucanstep::config::internal
