#include "toucanstep/direct/Directory.h"

#include "toucanstep/base/LogLine.h"

#include <algorithm>
#include <set>

namespace toucanstep::direct {

namespace {

// Enough for the churn of a few hundred upstreams and gateways during an outage.
constexpr size_t maxRemovalLogEntries = 2000;

} // namespace

class Directory::Watcher final : public base::WatchListener {
public:
    explicit Watcher(Directory* directory)
        : m_directory(directory)
    {
    }
    void detach() { m_directory = nullptr; }
    void onEvents(std::vector<base::WatchEvent> events, base::Revision revision) override
    {
        if (m_directory)
            m_directory->onEvents(std::move(events), revision);
    }
    void onEnd(base::Error error) override
    {
        if (m_directory)
            m_directory->onWatchEnd(error);
    }

private:
    Directory* m_directory;
};

Directory::Directory(io::EventLoop& loop, base::KeyValueStore& store, DirectorySettings settings, DirectoryListener& listener)
    : m_loop(loop)
    , m_store(store)
    , m_settings(std::move(settings))
    , m_listener(listener)
{
}

Directory::~Directory()
{
    ++*m_generation;
    m_loop.cancel(m_timer);
    m_loop.cancel(m_pendingRemovalTimer);
    if (m_watcher)
        m_watcher->detach();
}

void Directory::start()
{
    readAll();
}

void Directory::readAll()
{
    uint64_t generation = ++*m_generation;
    m_listRequestedAt = m_loop.now();
    auto onPart = [this, generation, current = m_generation](const std::vector<base::KeyValue>& entries) {
        if (*current == generation && !m_synced)
            onFirstEntries(entries);
    };
    m_store.listInParts(m_settings.prefix, m_loop.now() + m_settings.readTimeout, onPart, [this, generation, current = m_generation](base::Outcome<base::RangeReply> outcome) {
        if (*current == generation)
            onListResult(std::move(outcome));
    });
}

// A gateway that starts uses what it knows of a long list while the rest arrives.
void Directory::onFirstEntries(const std::vector<base::KeyValue>& entries)
{
    for (const auto& entry : entries) {
        auto known = m_entries.find(entry.key);
        if (known == m_entries.end() || known->second.modified < entry.modified)
            put(entry);
    }
    m_listener.onDirectoryUpdated();
}

void Directory::onListResult(base::Outcome<base::RangeReply> outcome)
{
    if (const auto* error = std::get_if<base::Error>(&outcome)) {
        base::LogLine("store_read_failed").add("prefix", m_settings.prefix).add("reason", error->message);
        retryLater();
        return;
    }
    recordAnswer();
    const auto& reply = std::get<base::RangeReply>(outcome);
    m_behind = m_behind && isStillBehind(reply);
    replaceAll(reply);
    if (m_behind)
        retryLater();
    else
        startWatch();
    m_listener.onDirectoryUpdated();
}

bool Directory::isStillBehind(const base::RangeReply& reply) const
{
    bool slow = m_loop.now() - m_listRequestedAt > m_settings.retryDelay;
    return slow && std::any_of(reply.entries.begin(), reply.entries.end(), [this](const base::KeyValue& entry) { return entry.modified > m_revision; });
}

void Directory::startWatch()
{
    m_watch.reset();
    if (m_watcher)
        m_watcher->detach();
    m_watcher = std::make_shared<Watcher>(this);
    m_watch = m_store.watch(m_settings.prefix, m_revision, m_watcher);
}

DirectoryCopy Directory::copySince(base::Revision since) const
{
    bool isSnapshot = !since.value() || since < m_removalLogStart;
    DirectoryCopy copy { isSnapshot ? base::Revision() : since, m_revision, {}, {} };
    for (const auto& [key, entry] : m_entries) {
        // Entries in their grace period are gone from the store; the peer applies its own grace period.
        if (!m_pendingRemovals.contains(key) && (isSnapshot || entry.modified > since))
            copy.entries.push_back(entry);
    }
    for (const auto& [revision, key] : m_removalLog) {
        if (!isSnapshot && revision > since && (!m_entries.contains(key) || m_pendingRemovals.contains(key)))
            copy.removed.push_back(key);
    }
    return copy;
}

bool Directory::confirm(const DirectoryConfirmation& confirmation)
{
    if (!m_synced || confirmation.revision < m_revision)
        return true;
    if (confirmation.lastChange > m_revision)
        return false;
    recordKnown(confirmation.asOf);
    m_revision = confirmation.revision;
    if (m_watch)
        m_watch->onLearned(m_revision, confirmation.asOf);
    return true;
}

bool Directory::applyPeerCopy(const DirectoryCopy& copy, std::optional<base::Instant> confirmed)
{
    if (copy.revision <= m_revision || copy.since > m_revision)
        return false;
    if (confirmed)
        recordKnown(*confirmed);
    if (copy.since.value()) {
        for (const auto& entry : copy.entries)
            put(entry);
        for (const auto& key : copy.removed)
            remove(key, copy.revision);
        m_revision = copy.revision;
    } else {
        replaceAll({ copy.entries, copy.revision });
    }
    // Keep the watch: if each copy restarted it, it would wait its poll delay again and never query the store.
    if (confirmed && m_watch)
        m_watch->onLearned(m_revision, *confirmed);
    m_peerCopyApplied |= !confirmed;
    m_listener.onDirectoryUpdated();
    return true;
}

void Directory::replaceAll(const base::RangeReply& reply)
{
    // A slow answer may be older than the current state: never go back to an older revision.
    if (m_synced && reply.revision < m_revision)
        return;
    std::set<std::string> present;
    for (const auto& entry : reply.entries) {
        present.insert(entry.key);
        auto known = m_entries.find(entry.key);
        if (known == m_entries.end() || known->second.modified < entry.modified)
            put(entry);
        else
            m_pendingRemovals.erase(entry.key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, entry] : m_entries) {
        if (!present.contains(key))
            missing.push_back(key);
    }
    for (const auto& key : missing)
        remove(key, reply.revision);
    // The list does not show keys that were removed since the last one, which a peer may still have.
    m_lastChange = reply.revision;
    m_lastListed = reply.revision;
    if (!m_synced)
        m_removalLogStart = reply.revision;
    m_revision = reply.revision;
    m_synced = true;
}

void Directory::onEvents(std::vector<base::WatchEvent> events, base::Revision revision)
{
    recordAnswer();
    // Only apply the last change of each key, since parsing a desired state takes milliseconds on a slow core.
    std::map<std::string, size_t> last;
    for (size_t index = 0; index < events.size(); ++index)
        last[events[index].entry.key] = index;
    for (size_t index = 0; index < events.size(); ++index) {
        const auto& event = events[index];
        if (event.entry.modified <= m_revision || last[event.entry.key] != index)
            continue;
        if (event.deleted)
            remove(event.entry.key, event.entry.modified);
        else
            put(event.entry);
    }
    m_revision = std::max(m_revision, revision);
    m_confirmation = { m_revision, m_lastChange, m_loop.now() };
    m_listener.onDirectoryUpdated();
    // The store is reachable again: verify what peers supplied by one list of all keys.
    if (std::exchange(m_peerCopyApplied, false))
        retryLater();
}

void Directory::onWatchEnd(const base::Error& error)
{
    base::LogLine("store_watch_ended").add("prefix", m_settings.prefix).add("reason", error.message).add("revision", m_revision);
    m_watcher->detach();
    m_watcher.reset();
    m_watch.reset();
    m_behind = error.kind == base::ErrorKind::TooLarge;
    if (m_behind)
        readAll();
    else
        retryLater();
}

void Directory::retryLater()
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.at(m_loop.now() + m_settings.retryDelay, [this] { readAll(); });
}

void Directory::recordAnswer()
{
    m_lastAnswer = m_loop.now();
    recordKnown(*m_lastAnswer);
}

void Directory::recordKnown(base::Instant asOf)
{
    if (!m_settings.leasedPrefix.empty() && m_lastKnown && asOf - *m_lastKnown > m_settings.outageThreshold) {
        base::LogLine("store_regained").add("prefix", m_settings.prefix).add("away_ms", base::toMilliseconds(asOf - *m_lastKnown));
        m_expiryGraceEnd = m_loop.now() + m_settings.expiryGrace;
    }
    m_lastKnown = std::max(m_lastKnown, std::optional(asOf));
}

void Directory::put(const base::KeyValue& entry)
{
    m_lastChange = std::max(m_lastChange, entry.modified);
    m_entries[entry.key] = entry;
    m_pendingRemovals.erase(entry.key);
    m_listener.onEntry(entry);
}

void Directory::eraseEntry(const std::string& key)
{
    m_entries.erase(key);
    m_listener.onRemoved(key);
}

void Directory::remove(const std::string& key, base::Revision revision)
{
    m_lastChange = std::max(m_lastChange, revision);
    if (m_pendingRemovals.contains(key))
        return;
    // Also a key that this replica has not seen: a peer that copies from it may have.
    m_removalLog.emplace_back(revision, key);
    if (m_removalLog.size() > maxRemovalLogEntries) {
        m_removalLogStart = m_removalLog.front().first;
        m_removalLog.pop_front();
    }
    if (!m_entries.contains(key))
        return;
    if (m_loop.now() < m_expiryGraceEnd && key.starts_with(m_settings.leasedPrefix)) {
        m_pendingRemovals.emplace(key, m_expiryGraceEnd);
        schedulePendingRemovals();
        return;
    }
    eraseEntry(key);
}

void Directory::schedulePendingRemovals()
{
    m_loop.cancel(m_pendingRemovalTimer);
    m_pendingRemovalTimer = m_loop.at(m_expiryGraceEnd, [this] {
        auto expired = std::move(m_pendingRemovals);
        m_pendingRemovals.clear();
        for (const auto& [key, until] : expired)
            eraseEntry(key);
    });
}

} // namespace toucanstep::direct
