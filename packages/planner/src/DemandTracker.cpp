#include "toucanstep/planner/DemandTracker.h"

#include <cmath>

namespace toucanstep::planner {

namespace {

// In seconds. Long enough to smooth out single calls, short enough to follow demand that shifts within seconds.
constexpr double rateTimeConstant = 4;
// Targets with fewer calls per second than this count as unused.
constexpr double minTrackedRate = 0.02;
constexpr double perKilosecond = 1000;
// In seconds. Longer than the bursts that an engine absorbs by itself, shorter than callers are willing to wait.
constexpr double awaitingTimeConstant = 1.5;
constexpr double thousandths = 1000;

} // namespace

double DemandTracker::rateAt(const Entry& entry, base::Instant now)
{
    return entry.rate * std::exp(-base::toSeconds(now - entry.rateAsOf) / rateTimeConstant);
}

void DemandTracker::onArrival(const ModelTarget& target, base::Instant now)
{
    Entry& entry = m_entries[target];
    entry.rate = rateAt(entry, now) + 1 / rateTimeConstant;
    entry.rateAsOf = now;
}

void DemandTracker::updateAwaitingAverage(Entry& entry, base::Instant now)
{
    double decay = std::exp(-base::toSeconds(now - entry.awaitingAsOf) / awaitingTimeConstant);
    entry.awaitingAverage = entry.awaitingAverage * decay + static_cast<double>(entry.awaiting) * (1 - decay);
    entry.awaitingAsOf = now;
}

void DemandTracker::onSent(const ModelTarget& target, base::Instant now)
{
    Entry& entry = m_entries[target];
    updateAwaitingAverage(entry, now);
    ++entry.running;
    ++entry.awaiting;
}

void DemandTracker::onAnswerBegun(const ModelTarget& target, base::Instant now)
{
    Entry& entry = m_entries[target];
    updateAwaitingAverage(entry, now);
    --entry.awaiting;
}

void DemandTracker::onEnded(const ModelTarget& target, bool begun, base::Instant now)
{
    Entry& entry = m_entries[target];
    --entry.running;
    if (begun)
        return;
    updateAwaitingAverage(entry, now);
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
        return !entry.waiting && entry.refusedUntil.empty() && !entry.running && rateAt(entry, now) < minTrackedRate;
    });
    for (auto& [target, entry] : m_entries) {
        updateAwaitingAverage(entry, now);
        TargetDemand summed { target, entry.waiting + static_cast<int64_t>(entry.refusedUntil.size()), entry.running };
        summed.arrivalsPerKilosecond = static_cast<int64_t>(rateAt(entry, now) * perKilosecond);
        summed.awaitingThousandths = static_cast<int64_t>(entry.awaitingAverage * thousandths);
        demand.push_back(std::move(summed));
    }
    return demand;
}

} // namespace toucanstep::planner
