// What nodes tell one another about a process: typed entries, digests and the messages that carry them.

#pragma once

#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace toucanstep::membership {

// Chosen anew at each start of a process and larger than at every earlier start on the same instance (wall-clock
// nanoseconds at start); a restart therefore supersedes what its predecessor said.
using StartNonce = base::StrongNumber<struct StartNonceTag>;

enum class Role {
    Gateway,
    Sidecar,
};

enum class MemberState {
    Joining,
    Ready,
    Leaving,
    // The process has ended, or was not heard for the time after which it is given up. Kept as a tombstone.
    Gone,
};

// Orders what was said about one instance: a later start wins, then the later change by that start, then a later state.
struct EntryVersion {
    StartNonce start;
    int64_t counter = 0;

    friend auto operator<=>(const EntryVersion&, const EntryVersion&) = default;
    friend bool operator==(const EntryVersion&, const EntryVersion&) = default;
};

// How full a share is that the member holds.
struct ShareFullness {
    base::ClientAccountId account;
    int index = 0;
    base::Tokens stock;

    friend bool operator==(const ShareFullness&, const ShareFullness&) = default;
};

// Small state that rides along; cut to the bounds below.
struct Hints {
    base::Revision configuration;
    std::vector<ShareFullness> shares;
    // Fingerprints of requests that were in flight when an upstream crashed.
    std::vector<std::string> strikes;

    friend bool operator==(const Hints&, const Hints&) = default;
};

struct Entry {
    base::InstanceId instance;
    Role role = Role::Gateway;
    // IP number and port.
    std::string address;
    base::FailureDomain failureDomain;
    // Sidecars only.
    base::PoolId pool;
    base::UpstreamId upstream;
    MemberState state = MemberState::Joining;
    EntryVersion version;
    Hints hints;

    friend bool operator==(const Entry&, const Entry&) = default;
};

// Bounds that the decoder enforces.
constexpr size_t maximumTextLength = 128;
constexpr size_t maximumShares = 64;
constexpr size_t maximumStrikes = 64;
constexpr size_t maximumEntries = 256;
constexpr size_t maximumMessageBytes = 64 * 1024;
constexpr size_t maximumVersionItems = 4096;
// The first half is for gateways, the second for sidecars.
constexpr size_t digestBuckets = 64;

// A fixed-size summary of a node's table: one hash for each bucket of instances that are not gone.
struct Digest {
    base::InstanceId from;
    base::Revision configuration;
    std::vector<uint32_t> buckets;
};

// What the sender knows of the buckets that differ, as hashes of instances and of what was said about them. With no
// buckets it only shows that the sender lives, or asks for the entries in `wanted`.
struct Versions {
    struct Item {
        uint32_t instanceHash = 0;
        uint32_t versionHash = 0;

        friend auto operator<=>(const Item&, const Item&) = default;
        friend bool operator==(const Item&, const Item&) = default;
    };
    base::InstanceId from;
    std::vector<uint32_t> buckets;
    std::vector<Item> items;
    std::vector<Item> wanted;
};

// Entries that the receiver lacks or has in an older version.
struct Delta {
    base::InstanceId from;
    std::vector<Entry> entries;
};

using Message = std::variant<Digest, Versions, Delta>;

struct AddressedMessage {
    base::InstanceId to;
    std::string address;
    Message message;
};

// MessagePack. Decoding fails with ErrorKind::Malformed on anything outside the bounds above.
std::string encodeMessage(const Message&);
size_t encodedSize(const Entry&);
base::Result<Message> decodeMessage(std::string_view);

} // namespace toucanstep::membership
