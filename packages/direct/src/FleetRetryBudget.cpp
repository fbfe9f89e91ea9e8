#include "toucanstep/direct/FleetRetryBudget.h"

#include <algorithm>
#include <limits>

namespace toucanstep::direct {

FleetRetryBudget::FleetRetryBudget(FleetRetryBudgetSettings settings, const FleetShare&)
    : m_settings(settings)
{
}

routing::RetryBudget& FleetRetryBudget::budget(const base::ServiceId& service)
{
    // Using four fifths of the ratio leaves room for requests that count as retries although this gateway did not intend them
    // as such.
    constexpr double budgetFraction = 0.8;
    constexpr int64_t minGateways = 4;
    routing::RetryBudgetSettings settings;
    settings.percent = static_cast<int64_t>(m_settings.ratio * budgetFraction * 100);
    settings.reserve = std::max<int64_t>(1, m_settings.slack / 2 / minGateways);
    settings.perRequest = std::numeric_limits<int64_t>::max();
    return m_budgets.try_emplace(service, settings).first->second;
}

void FleetRetryBudget::onCall(const base::ServiceId& service, base::Instant)
{
    budget(service).onRequest();
}

bool FleetRetryBudget::tryReserve(const base::ServiceId& service, base::Instant)
{
    return budget(service).tryRetry(true, 0);
}

bool FleetRetryBudget::trySpend(const base::ServiceId&, base::Instant)
{
    return true;
}

void FleetRetryBudget::cancel(const base::ServiceId&) { }

int64_t FleetRetryBudget::available(const base::ServiceId& service, base::Instant)
{
    return budget(service).balance();
}

} // namespace toucanstep::direct
