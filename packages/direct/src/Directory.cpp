#include "toucanstep/direct/Directory.h"

#include "toucanstep/base/LogLine.h"

#include <set>

namespace toucanstep::direct {

namespace {

// Enough for the comings and goings of a few hundred upstreams and gateways in an outage.
constexpr size_t keptRemovals = 2000;

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
    m_loop.cancel(m_lapseTimer);
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
    m_store.list(m_settings.prefix, m_loop.now() + m_settings.readTimeout, [this, generation, current = m_generation](base::Outcome<base::RangeReply> outcome) {
        if (*current == generation)
            onAll(std::move(outcome));
    });
}

void Directory::onAll(base::Outcome<base::RangeReply> outcome)
{
    if (const auto* error = std::get_if<base::Error>(&outcome)) {
        base::LogLine("store_read_failed").add("prefix", m_settings.prefix).add("reason", error->message);
        retryLater();
        return;
    }
    noteAnswer();
    replaceAll(std::get<base::RangeReply>(outcome));
    startWatch();
    m_listener.onDirectoryUpdated();
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
    bool whole = !since.value() || since < m_removalsFrom;
    DirectoryCopy copy { whole ? base::Revision() : since, m_revision, {}, {} };
    for (const auto& [key, entry] : m_entries) {
        // What is only kept for a moment is missing in the store: the peer decides for itself how long it keeps it.
        if (!m_lapsing.contains(key) && (whole || entry.modified > since))
            copy.entries.push_back(entry);
    }
    for (const auto& [revision, key] : m_removals) {
        if (!whole && revision > since && (!m_entries.contains(key) || m_lapsing.contains(key)))
            copy.removed.push_back(key);
    }
    return copy;
}

bool Directory::adopt(const DirectoryCopy& copy)
{
    if (copy.revision <= m_revision || copy.since > m_revision)
        return false;
    if (copy.since.value()) {
        for (const auto& entry : copy.entries)
            put(entry);
        for (const auto& key : copy.removed)
            remove(key, copy.revision);
        m_revision = copy.revision;
    } else {
        replaceAll({ copy.entries, copy.revision });
    }
    // The watch goes on as it was: begun anew with each copy, it would never get to ask the store.
    m_adopted = true;
    m_listener.onDirectoryUpdated();
    return true;
}

void Directory::replaceAll(const base::RangeReply& reply)
{
    // A slow answer may be older than what was learnt meanwhile: nothing goes back.
    if (m_synced && reply.revision < m_revision)
        return;
    std::set<std::string> present;
    for (const auto& entry : reply.entries) {
        present.insert(entry.key);
        auto known = m_entries.find(entry.key);
        if (known == m_entries.end() || known->second.modified < entry.modified)
            put(entry);
        else
            m_lapsing.erase(entry.key);
    }
    std::vector<std::string> missing;
    for (const auto& [key, entry] : m_entries) {
        if (!present.contains(key))
            missing.push_back(key);
    }
    for (const auto& key : missing)
        remove(key, reply.revision);
    if (!m_synced)
        m_removalsFrom = reply.revision;
    m_revision = reply.revision;
    m_synced = true;
}

void Directory::onEvents(std::vector<base::WatchEvent> events, base::Revision revision)
{
    noteAnswer();
    // Of several changes of one key only the last counts: reading a desired state takes milliseconds of a slow core.
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
    m_listener.onDirectoryUpdated();
    // The store is back: what peers gave is checked once against all that it holds.
    if (std::exchange(m_adopted, false))
        retryLater();
}

void Directory::onWatchEnd(const base::Error& error)
{
    base::LogLine("store_watch_ended").add("prefix", m_settings.prefix).add("reason", error.message).add("revision", m_revision);
    m_watcher->detach();
    m_watcher.reset();
    m_watch.reset();
    retryLater();
}

void Directory::retryLater()
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.at(m_loop.now() + m_settings.retryPause, [this] { readAll(); });
}

void Directory::noteAnswer()
{
    base::Instant now = m_loop.now();
    if (!m_settings.lapsingPrefix.empty() && m_lastAnswer && now - *m_lastAnswer > m_settings.outageAfter) {
        base::LogLine("store_regained").add("prefix", m_settings.prefix).add("away_ms", base::toMilliseconds(now - *m_lastAnswer));
        m_lapseUntil = now + m_settings.lapseGrace;
    }
    m_lastAnswer = now;
}

void Directory::put(const base::KeyValue& entry)
{
    m_entries[entry.key] = entry;
    m_lapsing.erase(entry.key);
    m_listener.onEntry(entry);
}

void Directory::forget(const std::string& key)
{
    m_entries.erase(key);
    m_listener.onRemoved(key);
}

void Directory::remove(const std::string& key, base::Revision revision)
{
    if (!m_entries.contains(key) || m_lapsing.contains(key))
        return;
    m_removals.emplace_back(revision, key);
    if (m_removals.size() > keptRemovals) {
        m_removalsFrom = m_removals.front().first;
        m_removals.pop_front();
    }
    if (m_loop.now() < m_lapseUntil && key.starts_with(m_settings.lapsingPrefix)) {
        m_lapsing.emplace(key, m_lapseUntil);
        scheduleLapse();
        return;
    }
    forget(key);
}

void Directory::scheduleLapse()
{
    m_loop.cancel(m_lapseTimer);
    m_lapseTimer = m_loop.at(m_lapseUntil, [this] {
        auto lapsing = std::move(m_lapsing);
        m_lapsing.clear();
        for (const auto& [key, until] : lapsing)
            forget(key);
    });
}

} // namespace toucanstep::direct
