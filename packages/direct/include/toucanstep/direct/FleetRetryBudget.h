// Limits the retries of calls over all gateways, by service, so that failing upstreams do not get a storm of retries.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/direct/FleetShare.h"
#include "toucanstep/routing/RetryBudget.h"

#include <map>

namespace toucanstep::direct {

struct FleetRetryBudgetSettings {
    // All gateways together may send this fraction of the calls, plus a fixed number, as retries in each window.
    double ratio = 0.2;
    int64_t slack = 50;
    base::Duration window = std::chrono::seconds(10);
};

class FleetRetryBudget {
public:
    // The share must outlive this.
    FleetRetryBudget(FleetRetryBudgetSettings, const FleetShare&);

    // A caller's call is admitted.
    void onCall(const base::ServiceId&, base::Instant now);
    // Reserves a retry, which has to be followed by trySpend() or cancel().
    bool tryReserve(const base::ServiceId&, base::Instant now);
    // Spends a reserved retry that is sent now. Returns false if it may no longer be sent.
    bool trySpend(const base::ServiceId&, base::Instant now);
    void cancel(const base::ServiceId&);
    // Retries that could be reserved; for the log.
    int64_t available(const base::ServiceId&, base::Instant now);

private:
    routing::RetryBudget& budget(const base::ServiceId&);

    FleetRetryBudgetSettings m_settings;
    std::map<base::ServiceId, routing::RetryBudget> m_budgets;
};

} // namespace toucanstep::direct
