// Token bucket of one share, kept by the share's holder. Charges are idempotent by charge id, and unused tokens can
// be refunded.
//
// A refund is not simply added to the balance: if the bucket has filled up since the charge, the account could spend
// its burst twice at the same instant. A refund therefore adds only what the bucket would now hold had the charge
// been smaller from the start. Net charges, counted at the time of the charge, then stay within burst + rate x time
// in every window.

#pragma once

#include "toucanstep/limits/Messages.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <optional>

namespace toucanstep::limits {

class ShareHolder {
public:
    // Number of charges kept for deduplication and refunds. A charge that has been evicted can no longer be refunded,
    // and a late duplicate of it is charged again: the account can lose tokens by this but never gain any.
    static constexpr size_t defaultMaximumEntries = 4096;

    // Starts with an empty bucket because the previous holder may have spent everything that had accrued.
    ShareHolder(BucketLimits, base::Instant now, size_t maximumEntries = defaultMaximumEntries);

    // Takes between `minimum` and `wanted` tokens and returns the amount taken, or zero if the balance is
    // insufficient. For a known id, returns the amount taken the first time.
    base::Tokens charge(const ChargeId&, base::Tokens minimum, base::Tokens wanted, base::Instant now);
    // Returns the amount added. An unknown id is recorded as settled, so that a charge that arrives after its return
    // takes nothing.
    NanoTokens refund(const ChargeId&, base::Tokens unused, base::Instant now);
    void setLimits(BucketLimits, base::Instant now);
    // Adds the previous holder's remaining balance as if it had been there since the takeover: only what would have
    // fitted into the bucket all the time since then is added. Returns the amount added.
    NanoTokens addHandedOver(NanoTokens, base::Instant now);
    // Empties the bucket, forgets all charges and returns the remaining balance.
    NanoTokens drop(base::Instant now);

    // Acquires the gather lock for `gatherer` until `expiresAt`. Fails if another request holds an unexpired lock.
    bool acquireGatherLock(const base::RequestId& gatherer, base::Instant expiresAt, base::Instant now);
    void releaseGatherLock(const base::RequestId& gatherer);
    std::optional<base::Instant> gatherLockExpiresAt(base::Instant now) const;

    const TokenBucket& bucket() const { return m_bucket; }

private:
    // A charge, and the minimum headroom below the burst between this charge and the next one.
    struct Entry {
        ChargeId id;
        base::Tokens taken;
        NanoTokens minimumHeadroom;
        bool settled = false;
    };
    struct GatherLock {
        base::RequestId gatherer;
        base::Instant expiresAt;
    };

    void recordHeadroom(base::Instant now);
    void addEntry(const ChargeId&, base::Tokens taken, bool settled);
    NanoTokens minimumHeadroomSince(size_t position) const;
    NanoTokens addBackdated(size_t position, NanoTokens wanted, base::Instant now);

    TokenBucket m_bucket;
    std::deque<Entry> m_entries;
    // Position of each entry, counted from the first entry ever added, including evicted ones.
    absl::flat_hash_map<ChargeId, size_t> m_positions;
    size_t m_evictedCount = 0;
    size_t m_maximumEntries;
    std::optional<GatherLock> m_gatherLock;
};

} // namespace toucanstep::limits
