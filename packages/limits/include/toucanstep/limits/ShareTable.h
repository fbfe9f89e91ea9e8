// Shares held by this gateway. take() and release() follow changes of the assignment rows; messages are accepted only
// for the epoch in which the share is held.

#pragma once

#include "toucanstep/limits/ShareHolder.h"

#include <absl/container/flat_hash_map.h>
#include <vector>

namespace toucanstep::limits {

class ShareTable {
public:
    // Starts holding a share with an empty bucket. No effect if it is already held in this or a newer epoch.
    void take(const ShareId&, base::Epoch, BucketLimits, base::Instant now);
    // Stops holding a share and returns its balance for the next holder, or nullopt if the share is not held. The
    // balance is dropped here before it can be added elsewhere.
    std::optional<Handover> release(const ShareId&, base::Instant now);
    // Stops holding all shares without a handover, for example because this instance may have been replaced.
    void dropAll();
    // Adds a handed-over balance. Accepted once per share, and only if the share is held in the epoch after the
    // sender's.
    bool acceptHandover(const Handover&, base::Instant now);
    // Splits the account's limits into `shareCount` slices and applies them to the shares held here.
    void setLimits(const base::ClientAccountId&, BucketLimits total, int shareCount, base::Instant now);

    ChargeReply onCharge(const ChargeRequest&, base::Instant now);
    // Returns the amount added to the balance.
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
