#include "toucanstep/scheduling/CompletionRate.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::scheduling {

namespace {

// Time constant of the sums, in seconds. Short, so that a stall shows before the calls behind it are late.
constexpr double memorySeconds = 1;
// Calls of the mean duration that are added to the sums.
constexpr double priorCalls = 3;

} // namespace

CompletionRate::Sums CompletionRate::agedTo(Sums sums, base::Instant now)
{
    double elapsed = std::max(base::toSeconds(now - sums.asOf), 0.0);
    double kept = std::exp(-elapsed / memorySeconds);
    sums.ended *= kept;
    sums.time = sums.time * kept + static_cast<double>(sums.running) * memorySeconds * (1 - kept);
    sums.asOf = std::max(sums.asOf, now);
    return sums;
}

void CompletionRate::onSent(const ModelQueue& queue, base::Instant now)
{
    Sums& sums = m_sums.try_emplace(queue, Sums { 0, 0, 0, now }).first->second;
    sums = agedTo(sums, now);
    ++sums.running;
}

void CompletionRate::onLeft(const ModelQueue& queue, bool ended, base::Instant now)
{
    Sums& sums = m_sums.try_emplace(queue, Sums { 0, 0, 0, now }).first->second;
    sums = agedTo(sums, now);
    sums.running = std::max<int64_t>(sums.running - 1, 0);
    sums.ended += ended ? 1 : 0;
}

double CompletionRate::perRunningCall(const ModelQueue& queue, double meanDuration, base::Instant now) const
{
    if (meanDuration <= 0)
        return 0;
    auto found = m_sums.find(queue);
    Sums sums = found == m_sums.end() ? Sums() : agedTo(found->second, now);
    return (sums.ended + priorCalls) / (sums.time + priorCalls * meanDuration);
}

} // namespace toucanstep::scheduling
