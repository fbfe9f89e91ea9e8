#include "toucanstep/planner/DemandForecast.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::planner {

namespace {

// In seconds. The fast average follows a rise that takes a few seconds. The slow one spans most of an oscillation of 11 to 13 s.
constexpr double fastTimeConstant = 2;
constexpr double slowTimeConstant = 8;
// A trend is not extended further than half the time that it was observed for; over an oscillation it would have turned by then.
constexpr double maxAheadSeconds = slowTimeConstant / 2;
// Calls that arrive independently vary by the square root of their number, and an average over several calls' time by less. The
// differences of these have the following parts of the variance. Three standard deviations are noise for the present value, of
// which there are many independent ones, and two for the averages.
constexpr double varianceOfValue = 0.7;
constexpr double deviationsOfValue = 3;
constexpr double varianceOfAverage = 0.5;
constexpr double deviationsOfAverage = 2;
constexpr double maxGrowth = 2;
// Averages below this are removed.
constexpr double negligibleCalls = 0.01;
// After a longer gap the averages do not describe the present. A planner that runs has several passes per second.
constexpr auto maxGap = std::chrono::seconds(2);
constexpr base::Duration minWarmUp = std::chrono::seconds(1);

double moved(double average, double value, double seconds, double timeConstant)
{
    double decay = std::exp(-seconds / timeConstant);
    return average * decay + value * (1 - decay);
}

// The part of a difference that is not explained by noise around `mean`.
double beyondNoise(double difference, double mean, double variance, double deviations)
{
    double noise = deviations * std::sqrt(variance * std::max(mean, 1.0));
    return std::copysign(std::max(std::abs(difference) - noise, 0.0), difference);
}

} // namespace

void DemandForecast::beginPass(base::Instant now, base::Duration reportInterval)
{
    if (m_lastPass == base::Instant() || now - m_lastPass > maxGap || now < m_lastPass) {
        m_series.clear();
        m_warmUntil = now + std::max<base::Duration>(minWarmUp, reportInterval * 2);
        m_lastPass = now;
    }
    m_warmingUp = now < m_warmUntil;
    m_sinceLastPass = base::toSeconds(now - m_lastPass);
    m_lastPass = now;
    for (auto& [key, series] : m_series)
        series.calls = 0;
}

void DemandForecast::add(const base::ModelId& model, const base::FailureDomain& domain, double calls)
{
    m_series[{ model, domain }].calls += std::max(calls, 0.0);
}

void DemandForecast::endPass()
{
    for (auto& [key, series] : m_series) {
        series.fast = m_warmingUp ? series.calls : moved(series.fast, series.calls, m_sinceLastPass, fastTimeConstant);
        series.slow = m_warmingUp ? series.calls : moved(series.slow, series.calls, m_sinceLastPass, slowTimeConstant);
    }
    std::erase_if(m_series, [](const auto& entry) { return std::max({ entry.second.calls, entry.second.fast, entry.second.slow }) < negligibleCalls; });
}

double DemandForecast::slopeOf(const Series& series)
{
    // On a steady rise each average lags by its time constant. The present value shows a rise within its first two seconds, the
    // averages show a slower one.
    double early = beyondNoise(series.calls - series.fast, series.fast, varianceOfValue, deviationsOfValue) / fastTimeConstant;
    double lasting = beyondNoise(series.fast - series.slow, series.slow, varianceOfAverage, deviationsOfAverage) / (slowTimeConstant - fastTimeConstant);
    return std::abs(early) > std::abs(lasting) ? early : lasting;
}

double DemandForecast::aheadOf(const Series& series, base::Duration ahead)
{
    double slope = slopeOf(series);
    if (slope == 0)
        return series.calls;
    double seconds = std::clamp(base::toSeconds(ahead), 0.0, maxAheadSeconds);
    return std::clamp(series.calls + slope * seconds, 0.0, maxGrowth * series.calls);
}

double DemandForecast::slope(const base::ModelId& model, const base::FailureDomain& domain) const
{
    auto found = m_series.find({ model, domain });
    return found == m_series.end() || m_warmingUp ? 0 : slopeOf(found->second);
}

double DemandForecast::callsAhead(const base::ModelId& model, const base::FailureDomain& domain, base::Duration ahead) const
{
    auto found = m_series.find({ model, domain });
    if (found == m_series.end())
        return 0;
    return m_warmingUp ? found->second.calls : aheadOf(found->second, ahead);
}

double DemandForecast::callsAhead(const base::ModelId& model, base::Duration ahead) const
{
    double sum = 0;
    for (auto entry = m_series.lower_bound({ model, base::FailureDomain() }); entry != m_series.end() && entry->first.first == model; ++entry)
        sum += m_warmingUp ? entry->second.calls : aheadOf(entry->second, ahead);
    return sum;
}

double DemandForecast::meanCalls(const base::ModelId& model) const
{
    double sum = 0;
    for (auto entry = m_series.lower_bound({ model, base::FailureDomain() }); entry != m_series.end() && entry->first.first == model; ++entry)
        sum += entry->second.slow;
    return sum;
}

} // namespace toucanstep::planner
