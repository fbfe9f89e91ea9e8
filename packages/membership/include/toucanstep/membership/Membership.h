// Anti-entropy between nodes: who is there, in which state, with small hints.
//
// Each tick a node sends a digest of fixed size to a few random peers; where buckets differ, the two exchange versions of
// those buckets and then only the entries that one of them lacks. Sidecars talk to a few gateways instead of to everybody.
//
//     for (auto& message : membership.tick(now, random))
//         send(message);
//     send(membership.onMessage(message, now));

#pragma once

#include "toucanstep/membership/Entry.h"

#include <absl/container/flat_hash_map.h>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace toucanstep::membership {

using RandomGenerator = std::mt19937_64;

struct MembershipOptions {
    // Peers that get a digest each tick.
    int fanOut = 1;
    // Bytes that one node may send in answers and deltas between two ticks; what doesn't fit waits for later ticks.
    size_t bytesPerTick = 4096;
    // A member whose counter has not moved for this long is taken for gone.
    base::Duration silenceLimit = std::chrono::seconds(90);
    // How often a member raises its own counter though nothing has changed, to show that it lives.
    base::Duration heartbeatInterval = std::chrono::seconds(30);
    // How long a gone member is remembered, so that an old message does not bring it back.
    base::Duration tombstoneLifetime = std::chrono::minutes(10);
    // Gateways with which a sidecar registers.
    int gatewaysPerSidecar = 3;
};

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
    std::vector<AddressedMessage> onMessage(const Message&, base::Instant now);

    // Changes of the own entry raise its counter.
    void setState(MemberState, base::Instant now);
    void setHints(Hints, base::Instant now);
    // Messages that announce a change to all known gateways at once, for a planned stop.
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
        uint32_t instanceHash = 0;
        uint32_t versionHash = 0;
        // When this version arrived here.
        base::Instant changedAt;
    };

    bool merge(const Entry&, base::Instant now);
    void store(Entry, base::Instant now);
    void touchSelf(base::Instant now);
    void ageOut(base::Instant now);
    std::vector<Peer> candidates() const;
    Digest makeDigest() const;
    Versions makeVersions(const std::vector<uint32_t>& buckets, bool wantsReply) const;
    std::vector<AddressedMessage> onDigest(const Digest&);
    std::vector<AddressedMessage> onVersions(const Versions&);
    std::vector<AddressedMessage> onDelta(const Delta&, base::Instant now);
    std::optional<Peer> peer(const base::InstanceId&) const;
    bool spend(size_t bytes);

    MembershipOptions m_options;
    base::InstanceId m_self;
    std::vector<Peer> m_seeds;
    // Ordered, so that equal inputs give equal outputs.
    std::map<base::InstanceId, Known> m_known;
    std::vector<uint32_t> m_buckets;
    std::vector<std::vector<base::InstanceId>> m_bucketMembers;
    absl::flat_hash_map<base::InstanceId, base::Instant> m_heardAt;
    base::Instant m_selfChangedAt;
    size_t m_spent = 0;
    size_t m_nextBucket = 0;
};

} // namespace toucanstep::membership
