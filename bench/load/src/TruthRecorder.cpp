#include "TruthRecorder.h"

#include "toucanstep/assignments/Row.h"

namespace toucanstep::bench {

void TruthRecorder::recordLocked(base::HistoryEvent event)
{
    event.at = std::chrono::steady_clock::now();
    event.recorder = base::InstanceId("bench");
    m_events.push_back(std::move(event));
}

void TruthRecorder::record(const base::HistoryEvent& event)
{
    std::lock_guard lock(m_mutex);
    recordLocked(event);
}

void TruthRecorder::onEngineChange(const base::UpstreamId& upstream, const fakes::FakeEngineChange& change)
{
    std::lock_guard lock(m_mutex);
    base::ModelId model(change.name);
    base::HistoryKind kind = change.held ? base::HistoryKind::ReplicaLoaded : base::HistoryKind::ReplicaUnloaded;
    recordLocked({ .kind = kind, .upstream = upstream, .model = model, .bytes = change.size });
    if (change.held)
        m_loads.push_back({ upstream, model, change.size, change.tier, m_events.back().at });
}

void TruthRecorder::onRowsChanged(const std::vector<base::WatchEvent>& changes)
{
    std::lock_guard lock(m_mutex);
    for (const base::WatchEvent& change : changes) {
        base::Error error;
        auto key = base::valueOr(error, [&] { return assignments::parseStorageKey(change.entry.key); });
        if (!key || key->kind != assignments::RowKind::ReplicaSlot)
            continue;
        if (auto before = m_decided.extract(change.entry.key)) {
            before.mapped().kind = base::HistoryKind::ReplicaWithdrawn;
            recordLocked(before.mapped());
        }
        if (change.deleted)
            continue;
        auto row = base::valueOr(error, [&] { return assignments::decodeRow(change.entry); });
        if (!row)
            continue;
        ++m_rowsWritten;
        base::HistoryEvent decided { .kind = base::HistoryKind::ReplicaDecided, .upstream = base::UpstreamId(row->holder.instance.value()), .model = base::ModelId(key->subject) };
        m_decided[change.entry.key] = decided;
        recordLocked(decided);
    }
}

std::vector<base::HistoryEvent> TruthRecorder::events() const
{
    std::lock_guard lock(m_mutex);
    return m_events;
}

std::vector<ObservedLoad> TruthRecorder::loads() const
{
    std::lock_guard lock(m_mutex);
    return m_loads;
}

int64_t TruthRecorder::replicaRowsWritten() const
{
    std::lock_guard lock(m_mutex);
    return m_rowsWritten;
}

} // namespace toucanstep::bench
