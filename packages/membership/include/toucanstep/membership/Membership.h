// Anti-entropy between nodes: who is there, in which state, with small hints.
//
// A fresh change is pushed to a few random peers, who push it on; each tick also sends a digest of fixed size to a random
// peer, and where buckets differ, the two exchange hashes of those buckets and then only the entries that one of them
// lacks. Nothing is sent to say that nothing has changed: a peer that leaves digests unanswered is declared gone, and
// raises its version if it still lives. Sidecars talk to a few gateways and keep entries of gateways alone.
//
//     for (auto& message : membership.tick(now, random))
//         send(message);
//     send(membership.onMessage(message, now));

#pragma once

#include "toucanstep/membership/Entry.h"

#include <absl/container/flat_hash_map.h>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace toucanstep::membership {

using RandomGenerator = std::mt19937_64;

struct MembershipOptions {
    // Peers that get a digest each tick.
    int fanOut = 1;
    // Bytes that one node sends from one tick to the next; what doesn't fit waits for a later exchange.
    size_t bytesPerTick = 4096;
    // Differing buckets of which versions are exchanged at once.
    size_t bucketsPerExchange = 8;
    // How many ticks a fresh change is pushed on for.
    int pushes = 3;
    // A digest unanswered for this long is sent again; after this many the peer is declared gone.
    base::Duration answerTimeout = std::chrono::milliseconds(1500);
    int unansweredLimit = 3;
    // How long a gone member is remembered, so that an old message does not bring it back.
    base::Duration tombstoneLifetime = std::chrono::minutes(10);
    // Gateways with which a sidecar registers.
    int gatewaysPerSidecar = 3;
    // A sidecar sends a digest each so many ticks.
    int sidecarTickDivisor = 5;
    // A sidecar whose digests stop coming for this long is asked whether it lives.
    base::Duration sidecarSilence = std::chrono::seconds(45);
    // A gateway's hints that aren't urgent are passed on up to this much later for each member known, so that the fleet as a whole passes on
    // a constant number of them in a second.
    base::Duration hintIntervalPerMember = std::chrono::milliseconds(200);
    base::Duration sidecarHintInterval = std::chrono::seconds(300);
};

// The instance may be left empty for a seed of which only the address is known.
struct Peer {
    base::InstanceId instance;
    std::string address;
};

class Membership {
public:
    // `self` is this process with state Joining or Ready; its version's counter starts at 1. `seeds` are the gateways
    // from the settings.
    Membership(MembershipOptions, Entry self, std::vector<Peer> seeds, base::Instant now);

    std::vector<AddressedMessage> tick(base::Instant now, RandomGenerator&);
    // The answers go to the sender of the message; their address is empty while the sender's entry is not known.
    std::vector<AddressedMessage> onMessage(const Message&, base::Instant now);

    // Is told to others from the next tick on.
    void setState(MemberState, base::Instant now);
    // New strikes are told at once; the rest waits for the interval of the options.
    void setHints(Hints);
    // Messages that tell the own entry to up to `announcementLimit` gateways at once, for a planned stop.
    static constexpr size_t announcementLimit = 64;
    std::vector<AddressedMessage> announce() const;

    const Entry& self() const;
    const Entry* find(const base::InstanceId&) const;
    // Members that are not gone, in the order of their instances.
    std::vector<Entry> members() const;
    // True where a message came from this instance, directly, within `duration` before `now`.
    bool heardWithin(const base::InstanceId&, base::Duration duration, base::Instant now) const;

private:
    struct Known {
        Entry entry;
        Versions::Item item;
        // When what is said here arrived.
        base::Instant changedAt;
    };
    struct Probe {
        base::Instant sentAt;
        int unanswered = 0;
    };
    using Messages = std::vector<AddressedMessage>;

    bool isSidecar() const { return m_role == Role::Sidecar; }
    bool keeps(const Entry&) const;
    void merge(const Entry&, base::Instant now);
    void mergeOwn(const Entry&, base::Instant now);
    void store(Entry, base::Instant now);
    void changeSelf(Entry, base::Instant now);
    // Keep the indexes below in step with the table.
    void list(const Known&);
    void unlist(const Known&);
    void countPush();
    bool mayTellHints(base::Instant now);
    void applyHints(base::Instant now);
    void dropTombstones(base::Instant now);
    void probeSilentSidecar(base::Instant now, Messages&);
    void checkProbes(base::Instant now, Messages&);
    void declareGone(const base::InstanceId&, base::Instant now);
    void noteProbe(bool answered);
    bool othersAnswer() const;
    void sendDigest(const Peer&, base::Instant now, Messages&);
    void pushFresh(const Peer&, Messages&);
    Peer randomPeer(Role, RandomGenerator&) const;
    std::vector<Peer> choosePeers(RandomGenerator&);
    std::vector<Peer> gatewaysOfSidecar() const;
    std::vector<Peer> peersOfRole(Role) const;
    std::vector<uint32_t> differingBuckets(const Digest&) const;
    void answerDigest(const Digest&, Messages&);
    const Known* findItem(const Versions::Item&) const;
    void answerVersions(const Versions&, Messages&);
    // Sends as many entries as fit into `limit` bytes of this tick.
    void sendEntries(const Peer& to, const std::vector<const Known*>&, size_t limit, Messages&);
    bool send(const Peer& to, Message, Messages&);
    std::string addressOf(const base::InstanceId&) const;

    MembershipOptions m_options;
    base::InstanceId m_self;
    Role m_role;
    std::vector<Peer> m_seeds;
    // Ordered, so that equal inputs give equal outputs.
    std::map<base::InstanceId, Known> m_known;
    std::vector<uint32_t> m_buckets;
    std::vector<std::set<base::InstanceId>> m_bucketMembers;
    // Members that are not gone, by role, in order.
    std::array<std::vector<base::InstanceId>, 2> m_live;
    std::set<base::InstanceId> m_tombstones;
    // Fresh changes, with the ticks for which they are still pushed.
    std::map<base::InstanceId, int> m_fresh;
    std::map<base::InstanceId, Probe> m_probes;
    absl::flat_hash_map<base::InstanceId, base::Instant> m_heardAt;
    // Sidecars, with the time of their latest digest.
    std::map<base::InstanceId, base::Instant> m_registered;
    std::optional<Hints> m_newHints;
    std::optional<base::Instant> m_hintsToldAt;
    std::optional<base::Instant> m_hintsChangedAt;
    // Outcomes of the latest probes, one bit each; set where the peer answered.
    uint8_t m_probeResults = 0xff;
    size_t m_spent = 0;
    size_t m_firstBucket = 0;
    int64_t m_ticks = 0;
    // The latest exchange showed differences that it did not settle.
    bool m_isBehind = false;
};

} // namespace toucanstep::membership
