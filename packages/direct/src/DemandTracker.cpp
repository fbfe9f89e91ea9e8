#include "toucanstep/direct/DemandTracker.h"

#include <cmath>

namespace toucanstep::direct {

namespace {

// Long enough to smooth over single calls, short enough to follow demand that moves within seconds.
constexpr double averagedSeconds = 4;
// Below this many calls a second a target counts as not asked for.
constexpr double forgottenRate = 0.02;
constexpr double perKilosecond = 1000;
// Longer than the bursts that an engine works off by itself, shorter than callers have patience.
constexpr double awaitingAveragedSeconds = 1.5;
constexpr double thousandths = 1000;

} // namespace

double DemandTracker::rateAt(const Entry& entry, base::Instant now)
{
    return entry.rate * std::exp(-base::toSeconds(now - entry.rateAsOf) / averagedSeconds);
}

void DemandTracker::onArrival(const ModelTarget& target, base::Instant now)
{
    Entry& entry = m_entries[target];
    entry.rate = rateAt(entry, now) + 1 / averagedSeconds;
    entry.rateAsOf = now;
}

void DemandTracker::advanceAwaiting(Entry& entry, base::Instant now)
{
    double kept = std::exp(-base::toSeconds(now - entry.awaitingAsOf) / awaitingAveragedSeconds);
    entry.awaitingAverage = entry.awaitingAverage * kept + static_cast<double>(entry.awaiting) * (1 - kept);
    entry.awaitingAsOf = now;
}

void DemandTracker::onSent(const ModelTarget& target, base::Instant now)
{
    Entry& entry = m_entries[target];
    advanceAwaiting(entry, now);
    ++entry.running;
    ++entry.awaiting;
}

void DemandTracker::onAnswerBegun(const ModelTarget& target, base::Instant now)
{
    Entry& entry = m_entries[target];
    advanceAwaiting(entry, now);
    --entry.awaiting;
}

void DemandTracker::onEnded(const ModelTarget& target, bool begun, base::Instant now)
{
    Entry& entry = m_entries[target];
    --entry.running;
    if (begun)
        return;
    advanceAwaiting(entry, now);
    --entry.awaiting;
}

void DemandTracker::onRefused(const ModelTarget& target, base::Instant wouldHaveWaitedUntil)
{
    m_entries[target].refusedUntil.push_back(wouldHaveWaitedUntil);
}

std::vector<TargetDemand> DemandTracker::summary(base::Instant now)
{
    std::vector<TargetDemand> demand;
    for (auto& [target, entry] : m_entries)
        std::erase_if(entry.refusedUntil, [&](base::Instant until) { return until <= now; });
    std::erase_if(m_entries, [&](const auto& item) {
        const Entry& entry = item.second;
        return !entry.waiting && entry.refusedUntil.empty() && !entry.running && rateAt(entry, now) < forgottenRate;
    });
    for (auto& [target, entry] : m_entries) {
        advanceAwaiting(entry, now);
        TargetDemand summed { target, entry.waiting + static_cast<int64_t>(entry.refusedUntil.size()), entry.running };
        summed.arrivalsPerKilosecond = static_cast<int64_t>(rateAt(entry, now) * perKilosecond);
        summed.awaitingThousandths = static_cast<int64_t>(entry.awaitingAverage * thousandths);
        demand.push_back(std::move(summed));
    }
    return demand;
}

} // namespace toucanstep::direct
