// This process's copy of what lies under one prefix in the platform's store.
//
// One read of the keys, then one watch over them. Where the watch ends for want of history, or brings nothing for too
// long, all is read anew, and what is missing then is gone. While the store cannot be reached the copy stays in use, and
// a peer's newer copy may take its place. What lapsed while the store was away gets a moment to come back.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/io/EventLoop.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::direct {

class DirectoryListener {
public:
    virtual ~DirectoryListener() = default;
    virtual void onEntry(const base::KeyValue&) = 0;
    virtual void onRemoved(const std::string& key) = 0;
    // After each answer of the store, and after a peer's copy was taken.
    virtual void onDirectoryUpdated() { }
};

// What a gateway gives a peer that cannot reach the store: all keys of the prefix, or what has changed since the peer's revision.
struct DirectoryCopy {
    // Zero for a whole copy.
    base::Revision since;
    base::Revision revision;
    std::vector<base::KeyValue> entries;
    // Of a copy that is not whole: keys that went since.
    std::vector<std::string> removed;
};

struct DirectorySettings {
    // Of the keys. Empty: all keys.
    std::string prefix;
    // Keys with this prefix that vanish right after an outage of the store may have lapsed only because of it. Empty: none.
    std::string lapsingPrefix;
    // How long they are kept then. The users' platform brings living ones back within two seconds of its return.
    base::Duration lapseGrace = std::chrono::milliseconds(1900);
    // Without an answer for this long the store counts as having been away. Used where keys may lapse.
    base::Duration outageAfter = std::chrono::milliseconds(1500);
    // Between an error and the next attempt.
    base::Duration retryPause = std::chrono::milliseconds(200);
    // For all pages of a read. The store's client gives up sooner where nothing comes.
    base::Duration readTimeout = std::chrono::seconds(12);
};

class Directory {
public:
    Directory(io::EventLoop&, base::KeyValueStore&, DirectorySettings, DirectoryListener&);
    ~Directory();
    void start();

    base::Revision revision() const { return m_revision; }
    const std::map<std::string, base::KeyValue>& entries() const { return m_entries; }
    // When the store last answered; nothing before its first answer.
    std::optional<base::Instant> lastAnswer() const { return m_lastAnswer; }
    bool synced() const { return m_synced; }
    // What has changed since that revision; all of it where that is not known any more.
    DirectoryCopy copySince(base::Revision) const;
    // Takes a peer's copy if it is newer than this one and fits to it. Returns whether it did.
    bool adopt(const DirectoryCopy&);

private:
    class Watcher;
    void readAll();
    void startWatch();
    void onAll(base::Outcome<base::RangeReply>);
    void replaceAll(const base::RangeReply&);
    void onEvents(std::vector<base::WatchEvent>, base::Revision);
    void onWatchEnd(const base::Error&);
    void put(const base::KeyValue&);
    void remove(const std::string& key, base::Revision);
    void forget(const std::string& key);
    void noteAnswer();
    void retryLater();
    void scheduleLapse();

    io::EventLoop& m_loop;
    base::KeyValueStore& m_store;
    DirectorySettings m_settings;
    DirectoryListener& m_listener;
    std::map<std::string, base::KeyValue> m_entries;
    // Keys that went, the latest last, and the revision from which on all of them are listed here.
    std::deque<std::pair<base::Revision, std::string>> m_removals;
    base::Revision m_removalsFrom;
    // Keys that are missing in the store and kept for a moment, with the instant at which they go.
    std::map<std::string, base::Instant> m_lapsing;
    base::Revision m_revision;
    bool m_synced = false;
    // A peer's copy was taken since the last read of all keys.
    bool m_adopted = false;
    std::optional<base::Instant> m_lastAnswer;
    // Removals before this instant may be due to an outage that has just ended.
    base::Instant m_lapseUntil;
    std::shared_ptr<Watcher> m_watcher;
    std::unique_ptr<base::WatchHandle> m_watch;
    io::EventLoop::TimerId m_timer = 0;
    io::EventLoop::TimerId m_lapseTimer = 0;
    // Answers to calls that were given up are told from later ones by this number.
    std::shared_ptr<uint64_t> m_generation = std::make_shared<uint64_t>(0);
};

} // namespace toucanstep::direct
