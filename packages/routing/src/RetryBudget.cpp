#include "toucanstep/routing/RetryBudget.h"

#include <algorithm>

namespace toucanstep::routing {

namespace {

constexpr int64_t unitsPerRetry = 100;

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
    , m_balance(settings.reserve * unitsPerRetry)
{
}

void RetryBudget::onRequest()
{
    m_balance = std::min(m_balance + m_settings.percent, m_settings.reserve * unitsPerRetry);
}

bool RetryBudget::tryRetry(bool idempotent, int64_t retriesSoFar)
{
    if (!idempotent || retriesSoFar >= m_settings.perRequest || m_balance < unitsPerRetry)
        return false;
    m_balance -= unitsPerRetry;
    return true;
}

} // namespace toucanstep::routing
