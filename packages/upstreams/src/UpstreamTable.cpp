#include "toucanstep/upstreams/UpstreamTable.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::upstreams {

namespace {

// A failed upstream gets fewer calls for a few seconds, about the time that a crashed one needs to restart.
constexpr double failureHalfLifeSeconds = 2;
// After a failed connection. Long enough that a call is not delayed twice in a row, short enough not to outlast a restart.
constexpr auto avoidUnreachable = std::chrono::milliseconds(700);
// Engines send an event every few milliseconds and answer non-streaming calls within tens of milliseconds. One that has
// calls in flight and sends nothing for this long has stopped or cannot be reached.
constexpr auto unresponsiveAfter = std::chrono::milliseconds(1000);

} // namespace

void UpstreamTable::put(UpstreamDescription description, base::Instant now)
{
    auto [place, isNew] = m_entries.try_emplace(description.id);
    UpstreamEntry& entry = place->second;
    if (!isNew && entry.description.start != description.start) {
        UpstreamLoad stillRunning = entry.own;
        int64_t paused = entry.paused;
        entry = UpstreamEntry();
        entry.own = stillRunning;
        entry.paused = paused;
        m_notices.erase(description.id);
        isNew = true;
    }
    if (isNew)
        entry.lastReceived = now;
    entry.description = std::move(description);
    // The entry is older than `now`, so the upstream is warm by then.
    if (entry.description.coldFor > base::Duration::zero())
        entry.coldUntil = now + entry.description.coldFor;
}

void UpstreamTable::evacuate(const base::FailureDomain& domain)
{
    m_evacuated.insert(domain);
}

void UpstreamTable::endEvacuation(const base::FailureDomain& domain, base::Instant coldUntil)
{
    m_evacuated.erase(domain);
    for (auto& [id, entry] : m_entries) {
        if (entry.description.domain == domain)
            entry.coldUntil = std::max(entry.coldUntil, coldUntil);
    }
}

void UpstreamTable::remove(const base::UpstreamId& id)
{
    m_entries.erase(id);
    m_notices.erase(id);
}

UpstreamEntry* UpstreamTable::find(const base::UpstreamId& id)
{
    auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second;
}

void UpstreamTable::addNotice(const LoadedNotice& notice, base::Instant until)
{
    m_notices[notice.upstream][notice.target] = { notice.start, notice.loaded, until };
}

bool UpstreamTable::holds(const UpstreamEntry& entry, const ModelTarget& target, base::Instant now) const
{
    if (target.empty())
        return true;
    auto noticed = [&](const ModelTarget& wanted) -> std::optional<bool> {
        auto notices = m_notices.find(entry.description.id);
        if (notices == m_notices.end())
            return std::nullopt;
        auto found = notices->second.find(wanted);
        if (found == notices->second.end() || found->second.until <= now || found->second.start != entry.description.start)
            return std::nullopt;
        return found->second.loaded;
    };
    auto model = entry.description.loaded.find(target.model);
    bool listed = model != entry.description.loaded.end();
    if (!noticed({ target.model, AdapterId() }).value_or(listed))
        return false;
    if (target.adapter.empty())
        return true;
    return noticed(target).value_or(listed && model->second.contains(target.adapter));
}

LoadedModels UpstreamTable::loadedAt(const UpstreamEntry& entry, base::Instant now) const
{
    LoadedModels loaded = entry.description.loaded;
    auto notices = m_notices.find(entry.description.id);
    if (notices == m_notices.end())
        return loaded;
    for (const auto& [target, notice] : notices->second) {
        if (notice.until <= now || notice.start != entry.description.start)
            continue;
        if (target.adapter.empty()) {
            if (notice.loaded)
                loaded.try_emplace(target.model);
            else
                loaded.erase(target.model);
        } else if (auto model = loaded.find(target.model); model != loaded.end()) {
            if (notice.loaded)
                model->second.insert(target.adapter);
            else
                model->second.erase(target.adapter);
        }
    }
    return loaded;
}

void UpstreamTable::expireNotices(base::Instant now)
{
    for (auto& [upstream, notices] : m_notices)
        std::erase_if(notices, [&](const auto& entry) { return entry.second.until <= now; });
    std::erase_if(m_notices, [](const auto& entry) { return entry.second.empty(); });
}

void UpstreamTable::setPeersLoad(const std::map<base::UpstreamId, UpstreamLoad>& loads)
{
    for (auto& [id, entry] : m_entries) {
        auto found = loads.find(id);
        entry.peers = found == loads.end() ? UpstreamLoad() : found->second;
    }
}

void UpstreamTable::setPeersLoad(const base::UpstreamId& id, const UpstreamLoad& load)
{
    if (UpstreamEntry* entry = find(id))
        entry->peers = load;
}

void UpstreamTable::onDispatched(const base::UpstreamId& id, base::Instant now)
{
    UpstreamEntry* entry = find(id);
    if (!entry)
        return;
    ++entry->own.inFlight;
    ++entry->own.awaiting;
    if (!entry->awaitingSince)
        entry->awaitingSince = now;
}

void UpstreamTable::onAnswerBegun(const base::UpstreamId& id)
{
    UpstreamEntry* entry = find(id);
    if (entry && entry->own.awaiting)
        --entry->own.awaiting;
}

void UpstreamTable::onEnded(const base::UpstreamId& id, bool begun)
{
    UpstreamEntry* entry = find(id);
    if (!entry || !entry->own.inFlight)
        return;
    if (!begun && entry->own.awaiting)
        --entry->own.awaiting;
    if (!--entry->own.inFlight)
        entry->awaitingSince.reset();
}

void UpstreamTable::onBytesReceived(const base::UpstreamId& id, base::Instant now)
{
    UpstreamEntry* entry = find(id);
    if (!entry)
        return;
    entry->lastReceived = now;
    if (entry->awaitingSince)
        entry->awaitingSince = now;
}

void UpstreamTable::onPaused(const base::UpstreamId& id, bool paused, base::Instant now)
{
    UpstreamEntry* entry = find(id);
    if (!entry)
        return;
    entry->paused = std::max<int64_t>(entry->paused + (paused ? 1 : -1), 0);
    // The time in which nothing was read does not count.
    if (!paused && entry->awaitingSince)
        entry->awaitingSince = now;
}

void UpstreamTable::onFailure(const base::UpstreamId& id, base::Instant now)
{
    UpstreamEntry* entry = find(id);
    if (!entry)
        return;
    entry->failures = recentFailures(*entry, now) + 1;
    entry->failuresAsOf = now;
}

void UpstreamTable::onUnreachable(const base::UpstreamId& id, base::Instant now)
{
    onFailure(id, now);
    if (UpstreamEntry* entry = find(id))
        entry->avoidUntil = now + avoidUnreachable;
}

double UpstreamTable::recentFailures(const UpstreamEntry& entry, base::Instant now)
{
    if (entry.failures == 0)
        return 0;
    double halfLives = base::toSeconds(now - entry.failuresAsOf) / failureHalfLifeSeconds;
    return entry.failures * std::exp2(-halfLives);
}

bool UpstreamTable::isUnresponsive(const UpstreamEntry& entry, base::Instant now)
{
    return entry.awaitingSince && entry.paused < entry.own.inFlight && now - *entry.awaitingSince > unresponsiveAfter;
}

} // namespace toucanstep::upstreams
