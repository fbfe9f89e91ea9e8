#include "toucanstep/planner/ExpectedLoss.h"

#include <algorithm>

namespace toucanstep::planner {

namespace {

// In seconds. For a model without running calls, whose calls have not been seen yet.
constexpr double assumedCallSeconds = 1;
constexpr double minCallSeconds = 0.05;
constexpr double maxCallSeconds = 10;
// In calls per second. Averages lag behind the first calls.
constexpr double minCallRate = 0.5;
// In seconds. Shorter load times do not change the order.
constexpr double minLoadSeconds = 0.1;

double callsInProgress(const ModelLoad& load)
{
    return std::max(static_cast<double>(load.waiting + load.running), load.callsAhead);
}

} // namespace

double ExpectedLoss::callSeconds(const ModelLoad& load)
{
    if (!load.running)
        return assumedCallSeconds;
    return std::clamp(static_cast<double>(load.running) / std::max(load.callsPerSecond, minCallRate), minCallSeconds, maxCallSeconds);
}

double ExpectedLoss::withoutReplica(const ModelLoad& load, double slotsOfReplica)
{
    double excess = std::clamp(callsInProgress(load) - load.slots, 0.0, std::max(slotsOfReplica, 0.0));
    return excess / callSeconds(load);
}

double ExpectedLoss::ofPlace(const ModelLoad& load, double slotsOfPlace, base::Duration reload)
{
    double others = std::max(load.slots - slotsOfPlace, 0.0);
    // A rare model has calls even if none is in progress now.
    double calls = std::max(callsInProgress(load), load.callsPerSecond * callSeconds(load));
    double unserved = std::clamp(calls - others, 0.0, std::max(slotsOfPlace, 0.0));
    return unserved / callSeconds(load) * base::toSeconds(reload);
}

double ExpectedLoss::perLoadSecond(double lossPerSecond, base::Duration loadTime)
{
    return lossPerSecond / std::max(base::toSeconds(loadTime), minLoadSeconds);
}

double ExpectedLoss::rank(double perLoadSecond, double largestPerLoadSecond, base::Duration unplacedFor, base::Duration turnTime)
{
    return perLoadSecond + largestPerLoadSecond * base::toSeconds(unplacedFor) / std::max(base::toSeconds(turnTime), minLoadSeconds);
}

} // namespace toucanstep::planner
