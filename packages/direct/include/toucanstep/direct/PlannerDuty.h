// Which gateway gives orders to engines: at most one at a time, and none within a pause after another one may have.
//
// The duty is a key in the store under a lease. Its holder counts the lease from the moment at which it sent the renewal,
// by a clock that also runs while the machine stands still, and stops early by a margin; the next holder waits for the
// pause. The revision that created the key is the fence: it grows with each holder.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <optional>

namespace toucanstep::direct {

struct PlannerDutySettings {
    // The lease's length; a holder that dies is replaced no sooner.
    base::Duration lease = std::chrono::milliseconds(1500);
    // Given up this long before the lease ends: an order that is sent then must still arrive within it.
    base::Duration margin = std::chrono::milliseconds(300);
    // No order within this time after another holder's last one may have been sent.
    base::Duration handOver = std::chrono::seconds(3);
};

class PlannerDuty {
public:
    explicit PlannerDuty(PlannerDutySettings);

    // The key is this gateway's, created at `fence`. Without a predecessor (the fleet's first start) there is no pause.
    void onAcquired(base::Epoch fence, base::Instant renewalSent, base::Instant now, bool predecessorPossible);
    void onRenewed(base::Instant renewalSent);
    // The lease has ended, another holder was seen, or an engine has met a higher fence.
    void onLost();
    bool holds() const { return m_fence.has_value(); }
    bool mayOrder(base::Instant now) const;
    base::Epoch fence() const { return m_fence.value_or(base::Epoch()); }

private:
    PlannerDutySettings m_settings;
    std::optional<base::Epoch> m_fence;
    base::Instant m_orderFrom;
    base::Instant m_validUntil;
};

} // namespace toucanstep::direct
