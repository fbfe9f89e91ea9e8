// Decides what a node does about the configuration: which version to fetch, from whom, and which to put in force.
//
// A node learns of versions from a watch, from a slow poll on a fresh connection, and from the version that every peer's
// message carries. It fetches what it lacks, from the service or from a peer that is ahead. Its version only ever moves up.
//
//     InForce inForce(options, seed, now);
//     inForce.addPeer(seed peers of the settings);
//     act(inForce.tick(now));                                   // each tick, at least every few hundred milliseconds
//     act(inForce.onWatchEvent(version, now));                  // the watch brought a version and its text
//     act(inForce.onVersionSeen(peer, version, now));           // each message of a peer
//     act(inForce.onFetched(source, version, FetchOutcome::Text, now));
//
// It takes the time as an argument, does no I/O, and holds versions only: whoever drives it keeps the newest usable text that
// came, until it is installed or a newer one comes. A fetch that is never reported counts as failed after its deadline.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace toucanstep::config {

struct InForceOptions {
    // Between two polls of the service while all is well. The poll finds what a silent watch has missed, so this bounds how
    // long a version that is in the service alone stays unknown.
    base::Duration pollInterval = std::chrono::seconds(2);
    // Between two attempts at a source that failed: the first, doubled each time up to the longest.
    base::Duration shortestRetry = std::chrono::milliseconds(200);
    base::Duration longestRetry = std::chrono::seconds(5);
    // A fetch that has not been reported by then counts as failed; its answer is still used if it comes.
    base::Duration fetchTimeout = std::chrono::seconds(2);
    // How long a node that starts compares the copies of several peers while the service does not answer.
    base::Duration startWait = std::chrono::seconds(2);
    // Peers that are asked at the same time, at the start and later.
    size_t peerFetchesAtStart = 5;
    size_t peerFetches = 2;
};

// Where a text comes from: the key-value service, or a peer.
struct ConfigurationSource {
    // The service where empty.
    std::optional<base::InstanceId> peer;

    auto operator<=>(const ConfigurationSource&) const = default;
};

struct FetchAction {
    ConfigurationSource source;
    // Give the source's answer up at this time and report it as failed.
    base::Instant deadline;
    // The version in force, from which the source may send a delta.
    base::Revision known;
};

// Put this version in force. Its text is the newest usable one that came.
struct InstallAction {
    base::Revision version;
};

using InForceAction = std::variant<FetchAction, InstallAction>;
using InForceActions = std::vector<InForceAction>;

enum class FetchOutcome {
    // The source gave a text, which parsed.
    Text,
    // The source answered that it has nothing newer than the version in force.
    NothingNewer,
    // The source gave a text that does not parse here. The node keeps its version and asks again later.
    Unusable,
    // No answer in time, or an error.
    Failed,
};

class InForce {
public:
    // Delays are spread at random from `seed`, so that nodes do not poll in step once an outage ends.
    InForce(InForceOptions, uint64_t seed, base::Instant now);

    // The version in force; zero before the first.
    base::Revision version() const { return m_version; }
    // The highest version that any source is known to have.
    base::Revision highestSeen() const;
    bool isCurrent() const { return m_version >= highestSeen(); }

    // Starts what is due: the poll, retries, fetches from peers that are ahead.
    InForceActions tick(base::Instant now);
    // A watch brought a version with its text. Parse it first; a text that does not parse is reported with `usable` false.
    InForceActions onWatchEvent(base::Revision version, bool usable, base::Instant now);
    // A message of a peer carried the version that it has in force.
    InForceActions onVersionSeen(const base::InstanceId& peer, base::Revision version, base::Instant now);
    // A fetch ended. Late and repeated reports are fine. `version` counts for Text and Unusable.
    InForceActions onFetched(const ConfigurationSource&, base::Revision version, FetchOutcome, base::Instant now);
    // The peer is gone; nothing is fetched from it any more.
    void forgetPeer(const base::InstanceId& peer);
    // Peers to ask at the start, from the settings, before any of them was heard.
    void addPeer(const base::InstanceId& peer, base::Instant now);

private:
    // What is known about one source.
    struct SourceState {
        // The version that it has, as far as is known.
        base::Revision offered;
        base::Instant lastHeard;
        // Set while a fetch runs.
        std::optional<base::Instant> fetchDeadline;
        base::Instant nextAttempt;
        // Zero until an attempt fails.
        base::Duration retryDelay {};
    };
    using Sources = std::map<ConfigurationSource, SourceState>;

    InForceActions takeText(const ConfigurationSource&, base::Revision);
    InForceActions install(base::Revision);
    InForceActions installBestCopyAtStart(base::Instant now);
    void noteOutcome(const ConfigurationSource&, SourceState&, base::Revision, FetchOutcome, base::Instant now);
    void startPoll(base::Instant now, InForceActions&);
    void startPeerFetches(base::Instant now, InForceActions&);
    Sources::iterator bestPeer(base::Instant now);
    void startFetch(const ConfigurationSource&, SourceState&, base::Instant now, InForceActions&) const;
    void endExpiredFetches(base::Instant now);
    void backOff(SourceState&, base::Instant now);
    bool isWanted(const SourceState&) const;
    base::Duration spread(base::Duration);

    InForceOptions m_options;
    std::minstd_rand m_random;
    base::Instant m_startDeadline;
    base::Revision m_version;
    // Before the first version is in force: the newest copy that a peer gave.
    base::Revision m_candidate;
    Sources m_sources;
};

} // namespace toucanstep::config
