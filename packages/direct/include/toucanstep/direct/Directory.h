// A local replica of the keys under one prefix of the platform's store.
//
// The keys are listed once and then watched. If the watch ends, because the store has compacted the history, the changes are larger
// than a list or the watch was silent for too long, all keys are listed again, and those that are missing are removed. While the store is
// unreachable the replica stays in use and may be updated from a peer's newer copy. Entries that expired during an outage
// of the store are kept for a grace period so that their owners can write them again.

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
    // Called after each answer of the store and after a peer's copy was applied.
    virtual void onDirectoryUpdated() { }
};

// A copy for a peer that cannot reach the store: a full snapshot of the prefix, or a delta since the peer's revision.
struct DirectoryCopy {
    // Zero for a full snapshot.
    base::Revision since;
    base::Revision revision;
    std::vector<base::KeyValue> entries;
    // Keys that were removed since; only in a delta.
    std::vector<std::string> removed;
};

// What an answer of the store tells other gateways: nothing under the prefix has changed after `lastChange` up to `revision`,
// which the store had at `asOf`.
struct DirectoryConfirmation {
    base::Revision revision;
    base::Revision lastChange;
    base::Instant asOf;
};

struct DirectorySettings {
    // Prefix of the replicated keys; empty for all keys.
    std::string prefix;
    // Prefix of keys that expire unless their owners renew them, and may therefore vanish because of an outage of the store.
    // Empty if there are none.
    std::string leasedPrefix;
    // How long such keys are kept after an outage. The platform writes the entries of live owners again within two seconds
    // of its return.
    base::Duration expiryGrace = std::chrono::milliseconds(1900);
    // A gap between answers longer than this counts as an outage. Only used with leasedPrefix.
    base::Duration outageThreshold = std::chrono::milliseconds(1500);
    // Delay between an error, or a list that was too slow for a watch, and the next list.
    base::Duration retryDelay = std::chrono::milliseconds(200);
    // For all pages of a list request. The store's client fails sooner if no data arrives.
    base::Duration readTimeout = std::chrono::seconds(12);
};

class Directory {
public:
    Directory(io::EventLoop&, base::KeyValueStore&, DirectorySettings, DirectoryListener&);
    ~Directory();
    void start();

    base::Revision revision() const { return m_revision; }
    const std::map<std::string, base::KeyValue>& entries() const { return m_entries; }
    // When the store last answered this gateway; empty before its first answer.
    std::optional<base::Instant> lastAnswer() const { return m_lastAnswer; }
    // From the store's last answer about changes; nothing before the first one. Peers would have to copy everything to follow a new
    // list.
    std::optional<DirectoryConfirmation> confirmation() const { return m_confirmation; }
    // Takes over a peer's confirmation. Returns false if the replica lacks changes, which have to be copied from the peer.
    bool confirm(const DirectoryConfirmation&);
    bool synced() const { return m_synced; }
    // Returns a delta since that revision, or a full snapshot if the removal log does not reach back that far.
    DirectoryCopy copySince(base::Revision) const;
    // Whether a delta since that revision names every key that was removed, also one that this replica has not seen. A list does not
    // show what was removed before it.
    bool knowsAllChangesSince(base::Revision since) const { return since >= m_removalLogStart && since >= m_lastListed; }
    // Applies a peer's copy if it is newer than the replica and, for a delta, starts no later than the replica's revision.
    // Returns whether it was applied. A copy that was made because the store is silent is checked against the store later;
    // one that the peer has confirmed at `confirmed` is not.
    bool applyPeerCopy(const DirectoryCopy&, std::optional<base::Instant> confirmed = {});

private:
    class Watcher;
    void readAll();
    void startWatch();
    void onFirstEntries(const std::vector<base::KeyValue>&);
    void onListResult(base::Outcome<base::RangeReply>);
    void replaceAll(const base::RangeReply&);
    // Whether a watch from the listed revision would again be sent more than a list.
    bool isStillBehind(const base::RangeReply&) const;
    void onEvents(std::vector<base::WatchEvent>, base::Revision);
    void onWatchEnd(const base::Error&);
    void put(const base::KeyValue&);
    void remove(const std::string& key, base::Revision);
    void eraseEntry(const std::string& key);
    void recordAnswer();
    // The state of the store is known as of `asOf`, from the store or from a peer.
    void recordKnown(base::Instant asOf);
    void retryLater();
    void schedulePendingRemovals();

    io::EventLoop& m_loop;
    base::KeyValueStore& m_store;
    DirectorySettings m_settings;
    DirectoryListener& m_listener;
    std::map<std::string, base::KeyValue> m_entries;
    // Removed keys, oldest first, and the revision after which the log is complete.
    std::deque<std::pair<base::Revision, std::string>> m_removalLog;
    base::Revision m_removalLogStart;
    // The revision of the last list.
    base::Revision m_lastListed;
    // Keys that are gone from the store but kept for the grace period, and when that period ends.
    std::map<std::string, base::Instant> m_pendingRemovals;
    base::Revision m_revision;
    bool m_synced = false;
    // A peer's copy was applied and has not yet been checked against the store.
    bool m_peerCopyApplied = false;
    // The last watch ended because the changes were larger than a list.
    bool m_behind = false;
    base::Instant m_listRequestedAt;
    std::optional<base::Instant> m_lastAnswer;
    std::optional<base::Instant> m_lastKnown;
    std::optional<DirectoryConfirmation> m_confirmation;
    // The revision of the last change, or a later one.
    base::Revision m_lastChange;
    // Removals before this time may be a result of the outage that has just ended.
    base::Instant m_expiryGraceEnd;
    std::shared_ptr<Watcher> m_watcher;
    std::unique_ptr<base::WatchHandle> m_watch;
    io::EventLoop::TimerId m_timer = 0;
    io::EventLoop::TimerId m_pendingRemovalTimer = 0;
    // Identifies the latest list request, so that answers to abandoned ones are ignored.
    std::shared_ptr<uint64_t> m_generation = std::make_shared<uint64_t>(0);
};

} // namespace toucanstep::direct
