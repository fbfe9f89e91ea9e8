// The shares that this gateway holds. Rows come and go through `take` and `release`; messages are answered by epoch.

#pragma once

#include "toucanstep/limits/ShareHolder.h"

#include <absl/container/flat_hash_map.h>
#include <vector>

namespace toucanstep::limits {

class ShareTable {
public:
    // Holds a share from now on, from the empty state. A share that is already held in this or a newer epoch stays.
    void take(const ShareId&, base::Epoch, BucketLimits, base::Instant now);
    // Stops using a share and returns its balance for the next holder. The balance is dropped here before it can be added
    // elsewhere. Nothing where the share is not held.
    std::optional<Handover> release(const ShareId&, base::Instant now);
    // Stops using all shares with no handover, for example because this instance may have been replaced.
    void dropAll();
    // Adds a balance that was handed over, once and only where this table holds the epoch after the giver's.
    bool acceptHandover(const Handover&, base::Instant now);
    // Applies the account's limits, cut into `shareCount` slices, to the shares held here.
    void setLimits(const base::ClientAccountId&, BucketLimits whole, int shareCount, base::Instant now);

    ChargeReply onCharge(const ChargeRequest&, base::Instant now);
    // Returns what was added to the balance.
    NanoTokens onReturn(const ChargeReturn&, base::Instant now);
    void onGatherUnlock(const GatherUnlock&);

    bool holds(const ShareId&) const;
    std::vector<ShareHint> hints(base::Instant now) const;

private:
    struct Held {
        base::Epoch epoch;
        ShareHolder holder;
        bool handoverAccepted = false;
    };

    Held* find(const ShareId&, base::Epoch);

    absl::flat_hash_map<ShareId, Held> m_shares;
};

} // namespace toucanstep::limits
