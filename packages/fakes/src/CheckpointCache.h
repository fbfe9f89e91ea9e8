// Where an engine's checkpoints lie: the latest used stay in the host's memory, older ones on its disk, the rest is remote.

#pragma once

#include "toucanstep/fakes/FakeEngine.h"

#include <list>

namespace toucanstep::fakes::internal {

class CheckpointCache {
public:
    CheckpointCache(base::Bytes memoryLimit, base::Bytes diskLimit);

    CheckpointTier tier(const std::string& name) const;
    // Puts the checkpoint there; what does not fit beside it moves one tier down, the longest unused first.
    void put(const std::string& name, base::Bytes size, CheckpointTier);

private:
    struct Entry {
        std::string name;
        base::Bytes size;
    };

    // The first is the latest used.
    struct Shelf {
        std::list<Entry> entries;
        base::Bytes limit;

        bool holds(const std::string& name) const;
        void remove(const std::string& name);
        // Adds in front, and gives what no longer fits.
        std::list<Entry> add(Entry);
    };

    Shelf m_memory;
    Shelf m_disk;
};

} // namespace toucanstep::fakes::internal
