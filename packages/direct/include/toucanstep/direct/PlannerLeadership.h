// Which gateway gives orders to engines: at most one at a time, and none within a pause after another one may have.
//
// The duty is a key in the store under a lease. Its holder counts the lease from the moment at which it sent the renewal,
// by a clock that also runs while the machine stands still, and stops early by a margin; the next holder waits for the
// pause. The revision at which the key was written is the fence: it grows with each holder.
//
// A second key, without a lease, names the gateway that gave the last orders. That gateway need not pause: after all
// processes were killed, after an outage of the store in which its lease ended, or when it starts again, it goes on at once.
// So others leave an open duty to it for a moment. The second key is empty from the moment at which another holder takes the
// duty until that one has given an order, and during that time everybody pauses.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <optional>

namespace toucanstep::direct {

struct PlannerLeadershipSettings {
    // The lease's length; a holder that dies is replaced no sooner.
    base::Duration lease = std::chrono::milliseconds(1500);
    // Given up this long before the lease ends: an order that is sent then must still arrive within it.
    base::Duration margin = std::chrono::milliseconds(300);
    // No order within this time after another holder's last one may have been sent.
    base::Duration handOverPause = std::chrono::seconds(3);
    // For the last planner to take an open duty again before others do: a few calls to the store.
    base::Duration lastPlannerHeadStart = std::chrono::milliseconds(400);
};

// What the store says of the duty.
struct LeadershipRecord {
    std::optional<base::InstanceId> holder;
    // Gave the last orders; empty while a new holder has yet to give one. Not set before the first planner.
    std::optional<base::InstanceId> lastPlanner;
};

class PlannerLeadership {
public:
    // `firstStart`: the whole fleet starts for the first time, and no planner was before.
    PlannerLeadership(PlannerLeadershipSettings, base::InstanceId self, bool firstStart);

    // Whether this gateway may try to take the duty now. To be asked several times a second.
    bool mayCampaign(const LeadershipRecord&, base::Instant now);
    // Nobody else can have given an order since this machine did.
    bool canResume(const LeadershipRecord&) const;
    // The key is this gateway's, written at `fence`.
    void onAcquired(base::Epoch fence, base::Instant renewalSent, base::Instant now, bool canResume);
    // The store has yet to be told that this gateway gives orders.
    bool needsRecording() const { return m_fence && !m_recorded; }
    void setRecorded(bool settled) { m_recorded = settled; }
    void onRenewed(base::Instant renewalSent);
    // The lease has ended, another holder was seen, or an engine has met a higher fence.
    void onLost();
    bool isLeader() const { return m_fence.has_value(); }
    bool maySendOrders(base::Instant now) const;
    base::Epoch fence() const { return m_fence.value_or(base::Epoch()); }

private:
    PlannerLeadershipSettings m_settings;
    base::InstanceId m_self;
    bool m_firstStart = false;
    // Since when nobody has been seen to hold the duty.
    std::optional<base::Instant> m_vacantSince;
    bool m_recorded = false;
    std::optional<base::Epoch> m_fence;
    base::Instant m_ordersAllowedFrom;
    base::Instant m_validUntil;
};

} // namespace toucanstep::direct
