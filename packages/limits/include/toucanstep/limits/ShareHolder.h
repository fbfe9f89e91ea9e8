// One share at its holder: a bucket that is charged once per charge id, and takes back what charges did not use.
//
// A refund is not simply added. Tokens that came back after the bucket had filled up in between would let an account
// take its burst twice in one instant; so a refund adds only as much as the bucket would now hold had the charge been
// smaller from the start. Net charges, each counted at the time it was made, then keep burst + rate x time in every window.

#pragma once

#include "toucanstep/limits/Messages.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>

namespace toucanstep::limits {

class ShareHolder {
public:
    // Charges that are remembered. An older one can no longer be refunded, and a late duplicate of it is charged again:
    // both lose tokens of the account and never give any.
    static constexpr size_t defaultMemory = 4096;

    // Starts with an empty bucket: the previous holder may have spent all that had accrued.
    ShareHolder(BucketLimits, base::Instant now, size_t memory = defaultMemory);

    // Takes between `minimum` and `wanted`; returns what was taken, which is zero where the balance lacks. A known id
    // returns what its first arrival took.
    base::Tokens charge(const ChargeId&, base::Tokens minimum, base::Tokens wanted, base::Instant now);
    // Returns what was added. An unknown id is remembered, so that a charge that arrives after its return takes nothing.
    NanoTokens refund(const ChargeId&, base::Tokens unused, base::Instant now);
    void setLimits(BucketLimits, base::Instant now);
    // Adds what the previous holder had left, as if it had been here from the beginning: a balance that arrives late does not
    // come on top of what has accrued since. Returns what was added.
    NanoTokens addHandedOver(NanoTokens, base::Instant now);
    // Gives up the balance and forgets all charges.
    NanoTokens drop(base::Instant now);

    // Gives the turn to gather to `gatherer` until `until`, unless another has it.
    bool takeTurn(const base::RequestId& gatherer, base::Instant until, base::Instant now);
    void endTurn(const base::RequestId& gatherer);
    std::optional<base::Instant> turnEndsAt(base::Instant now) const;

    const TokenBucket& bucket() const { return m_bucket; }

private:
    // A charge, and the least room below the burst that the bucket had between this charge and the next one.
    struct Entry {
        ChargeId id;
        base::Tokens taken;
        NanoTokens leastRoom;
        bool settled = false;
    };
    struct Turn {
        base::RequestId gatherer;
        base::Instant until;
    };

    void noteRoom(base::Instant now);
    void remember(const ChargeId&, base::Tokens taken, bool settled);
    NanoTokens leastRoomSince(size_t position) const;
    NanoTokens addAsOf(size_t position, NanoTokens wanted, base::Instant now);

    TokenBucket m_bucket;
    std::deque<Entry> m_entries;
    // Where an entry stands, counted from the first entry ever remembered.
    absl::flat_hash_map<ChargeId, size_t> m_positions;
    size_t m_forgotten = 0;
    size_t m_memory;
    std::optional<Turn> m_turn;
};

} // namespace toucanstep::limits
