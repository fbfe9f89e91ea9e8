// The obvious alternative, kept runnable for comparison: rows that expire unless their holder renews them.
//
// The holder uses its rows for the time to live after the sending of its last renewal; anybody takes a row whose lease
// has not been renewed for the time to live and a margin. An outage of the service longer than that stops every holder.

#pragma once

#include "toucanstep/assignments/FailureDetector.h"
#include "toucanstep/assignments/HolderState.h"

namespace toucanstep::assignments {

class LeaseUsePolicy final : public UsePolicy {
public:
    LeaseUsePolicy(Holder self, base::Duration timeToLive);
    // The service answered a renewal that was sent at `sentAt`.
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
    // A read of the service showed this renewal count of the instance's lease.
    void onLeaseSeen(const base::InstanceId&, uint64_t renewals, base::Instant now);
    bool mayTakeOver(const Row&, base::Instant now) const override;

private:
    struct Seen {
        uint64_t renewals = 0;
        base::Instant since;
    };

    base::Duration m_timeToLive;
    base::Duration m_margin;
    std::map<base::InstanceId, Seen> m_seen;
};

} // namespace toucanstep::assignments
