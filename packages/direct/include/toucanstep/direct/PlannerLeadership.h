// Decides which gateway is the planner and sends orders to engines: at most one at a time, and a new one only after a pause
// in which the previous planner's orders may still arrive.
//
// Leadership is a key in the store under a lease. The planner counts the lease from the time at which it sent the renewal,
// by a clock that also runs while the machine is suspended, and stops a margin before the lease ends. Its successor waits
// for the handover delay. The revision at which the key was written is the fencing token and grows with each planner.
//
// A second key, without a lease, names the gateway that sent the last orders. That gateway resumes without a pause after all
// processes were killed, after an outage of the store in which its lease ended, or after a restart. Other gateways therefore
// leave a vacant leadership to it for a short time. The second key is empty from the election of another planner until that
// planner sends an order; during that time every gateway has to pause.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <optional>

namespace toucanstep::direct {

struct PlannerLeadershipSettings {
    // Lease duration; a planner that dies is not replaced earlier.
    base::Duration lease = std::chrono::milliseconds(1500);
    // Orders stop this long before the lease ends, so that the last one still arrives within it.
    base::Duration margin = std::chrono::milliseconds(300);
    // Time without orders after the last one that another planner may have sent.
    base::Duration handoverDelay = std::chrono::seconds(3);
    // Time for the last planner to take a vacant leadership back before others try: a few calls to the store.
    base::Duration lastPlannerHeadStart = std::chrono::milliseconds(400);
    // How long this gateway leaves a vacant leadership to gateways with more processor time.
    base::Duration ownDelay {};
};

// The leadership keys in the store.
struct LeadershipRecord {
    std::optional<base::InstanceId> holder;
    // Sent the last orders. Empty until a new planner sends its first order, and not set before the first planner.
    std::optional<base::InstanceId> lastPlanner;
};

class PlannerLeadership {
public:
    // `firstStart`: the whole fleet starts for the first time, so there was no planner before.
    PlannerLeadership(PlannerLeadershipSettings, base::InstanceId self, bool firstStart);

    // Whether this gateway may try to become the planner now. Has to be called several times a second.
    bool mayCampaign(const LeadershipRecord&, base::Instant now);
    // No other gateway can have sent an order since this one did.
    bool canResume(const LeadershipRecord&) const;
    // This gateway wrote the leadership key at revision `fence`.
    void onAcquired(base::Epoch fence, base::Instant renewalSent, base::Instant now, bool canResume);
    // The store does not name this gateway as the last planner yet.
    bool needsRecording() const { return m_fence && !m_recorded; }
    void setRecorded(bool recorded) { m_recorded = recorded; }
    void onRenewed(base::Instant renewalSent);
    // The lease has ended, another planner was seen, or an engine has seen a higher fencing token.
    void onLost();
    bool isLeader() const { return m_fence.has_value(); }
    bool maySendOrders(base::Instant now) const;
    base::Epoch fence() const { return m_fence.value_or(base::Epoch()); }

private:
    PlannerLeadershipSettings m_settings;
    base::InstanceId m_self;
    bool m_firstStart = false;
    // Since when no planner has been seen.
    std::optional<base::Instant> m_vacantSince;
    bool m_recorded = false;
    std::optional<base::Epoch> m_fence;
    base::Instant m_ordersAllowedFrom;
    base::Instant m_validUntil;
};

} // namespace toucanstep::direct
