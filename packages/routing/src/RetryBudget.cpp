#include "toucanstep/routing/RetryBudget.h"

#include <algorithm>

namespace toucanstep::routing {

namespace {

constexpr int64_t wholeRetry = 100;

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
    , m_saved(settings.reserve * wholeRetry)
{
}

void RetryBudget::onRequest()
{
    m_saved = std::min(m_saved + m_settings.percent, m_settings.reserve * wholeRetry);
}

bool RetryBudget::tryRetry(bool idempotent, int64_t retriesSoFar)
{
    if (!idempotent || retriesSoFar >= m_settings.perRequest || m_saved < wholeRetry)
        return false;
    m_saved -= wholeRetry;
    return true;
}

} // namespace toucanstep::routing
