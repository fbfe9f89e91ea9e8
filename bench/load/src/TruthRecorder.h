// What the stand-ins know for certain, as history events: what engines hold, which replicas are decided, limits, keys.

#pragma once

#include "toucanstep/base/History.h"
#include "toucanstep/base/KeyValue.h"
#include "toucanstep/fakes/FakeEngine.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::bench {

// One load of a checkpoint into an engine, from where it lay.
struct ObservedLoad {
    base::UpstreamId upstream;
    base::ModelId model;
    base::Bytes size;
    fakes::CheckpointTier tier = fakes::CheckpointTier::Remote;
    base::Instant at;
};

// Every call is safe from any thread.
class TruthRecorder final : public base::HistoryRecorder {
public:
    // Stamps the event with the present time.
    void record(const base::HistoryEvent&) override;
    void onEngineChange(const base::UpstreamId&, const fakes::FakeEngineChange&);
    // Replica rows that were written or deleted in the key-value service.
    void onRowsChanged(const std::vector<base::WatchEvent>&);

    std::vector<base::HistoryEvent> events() const;
    std::vector<ObservedLoad> loads() const;
    // Replica rows written so far.
    int64_t replicaRowsWritten() const;

private:
    void recordLocked(base::HistoryEvent);

    mutable std::mutex m_mutex;
    std::vector<base::HistoryEvent> m_events;
    std::vector<ObservedLoad> m_loads;
    // By storage key, because a deletion does not tell who held the row.
    std::map<std::string, base::HistoryEvent> m_decided;
    int64_t m_rowsWritten = 0;
};

} // namespace toucanstep::bench
