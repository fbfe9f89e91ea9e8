// Baseline for comparison: rows protected by leases that expire unless their holder renews them.
//
// A holder uses its rows for the time to live after it sent its last renewal. Any process may take over a row whose
// lease has not been renewed for the time to live plus a margin. A service outage longer than the time to live stops
// every holder.

#pragma once

#include "toucanstep/assignments/FailureDetector.h"
#include "toucanstep/assignments/HolderState.h"

namespace toucanstep::assignments {

class LeaseUsePolicy final : public UsePolicy {
public:
    LeaseUsePolicy(Holder self, base::Duration timeToLive);
    // Records that the service answered a renewal sent at `sentAt`.
    void onRenewed(base::Instant sentAt);
    bool mayUse(const Row&, base::Instant now) const override;

private:
    Holder m_self;
    base::Duration m_timeToLive;
    std::optional<base::Instant> m_renewedAt;
};

class LeaseTakeoverPolicy final : public TakeoverPolicy {
public:
    LeaseTakeoverPolicy(base::Duration timeToLive, base::Duration margin);
    // Records the renewal count of an instance's lease, as read from the service.
    void onLeaseSeen(const base::InstanceId&, uint64_t renewals, base::Instant now);
    bool mayTakeOver(const Row&, base::Instant now) const override;

private:
    struct LeaseObservation {
        uint64_t renewals = 0;
        base::Instant since;
    };

    base::Duration m_timeToLive;
    base::Duration m_margin;
    std::map<base::InstanceId, LeaseObservation> m_seen;
};

} // namespace toucanstep::assignments
