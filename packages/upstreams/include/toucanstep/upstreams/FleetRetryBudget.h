// Limits the retries of calls over all gateways, by service, without any message between them, so that failing upstreams do not
// get a storm of retries.
//
// In each window all gateways together may send a fraction of the service's calls, plus a fixed number (`slack`), as retries. The
// calls are those of that window, of the one before it, or of the one half a window before it, whichever are most. A gateway pays
// a retry when it is sent, in one of two ways:
//
//  - Earned: in each window that ends with such a retry, they are at most half the fraction of the gateway's own calls in that
//    window. The retries of a gateway within the window from t to t + W are thus at most half the fraction of its calls from
//    t - W to t + W, and all retries at most half the fraction of all calls in two successive windows. A process that has just
//    started has neither calls nor retries, so the bound needs no knowledge of other gateways and no memory across starts.
//  - From its reserve, a token bucket that holds this gateway's part of half the slack and is refilled with that part once per
//    window. At any time the parts of all gateways add up to half the slack (see FleetShare), and so do their reserves; the rest
//    is refilled within a window. While the gateway has no part, at its start and for the settling time at least, the reserve is
//    empty. It is refilled for that time when the gateway gets its part.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/serving/DesiredState.h"
#include "toucanstep/upstreams/FleetShare.h"
#include "toucanstep/upstreams/Imports.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace toucanstep::upstreams {

struct FleetRetryBudgetSettings {
    // All gateways together may send this fraction of the calls, plus a fixed number, as retries in each window.
    double ratio = 0.2;
    int64_t slack = 50;
    base::Duration window = std::chrono::seconds(10);
};

// The events of the last while, counted by intervals.
class RecentCount {
public:
    // Counts the events of the intervals that began less than `span` ago.
    RecentCount(base::Duration span, base::Duration interval);
    void add(base::Instant now);
    // Takes back an event.
    void remove(base::Instant at);
    int64_t total(base::Instant now);

private:
    struct Interval {
        base::Instant begin;
        int64_t events = 0;
    };
    base::Instant beginOf(base::Instant) const;

    base::Duration m_span;
    base::Duration m_interval;
    std::deque<Interval> m_intervals;
    int64_t m_total = 0;
};

// How a retry was paid, and when.
struct PaidRetry {
    base::Instant at;
    bool fromReserve = false;
};

class FleetRetryBudget {
public:
    // The share must outlive this.
    FleetRetryBudget(FleetRetryBudgetSettings, const FleetShare&);

    // The services that calls can go to. The reserve of a new one begins to fill.
    void setServices(const std::vector<ServiceTraits>&);
    // Refills the reserves; to be called several times a second.
    void tick(base::Instant now);
    // A caller's call is admitted.
    void onCall(const base::ServiceId&, base::Instant now);
    // Reserves a retry, which has to be followed by pay() or cancel().
    bool tryReserve(const base::ServiceId&, base::Instant now);
    // Pays a reserved retry that is sent now. Returns nothing if it may no longer be sent; the reservation ends in either case.
    std::optional<PaidRetry> pay(const base::ServiceId&, base::Instant now);
    void cancel(const base::ServiceId&);
    // The paid retry has not left this gateway: it is reserved again.
    void takeBack(const base::ServiceId&, const PaidRetry&);
    // Retries that could be reserved; for the log.
    int64_t available(const base::ServiceId&, base::Instant now);

private:
    struct Service {
        RecentCount calls;
        RecentCount earnedRetries;
        double reserve = 0;
        bool hasPart = false;
        int64_t reserved = 0;
    };
    Service& serviceOf(const base::ServiceId&);
    int64_t earned(Service&, base::Instant now) const;

    FleetRetryBudgetSettings m_settings;
    const FleetShare& m_share;
    std::map<base::ServiceId, Service> m_services;
    std::optional<base::Instant> m_lastTick;
};

} // namespace toucanstep::upstreams
