#include "toucanstep/scheduling/ReturnSchedule.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace toucanstep::scheduling {

namespace {

// The part of the time left up to which callers honour a Retry-After.
constexpr double honouredPart = 1.0 / 3;
// Without a known rate, callers come back within this time.
constexpr double secondsWithoutRate = 0.5;
// A shorter time is no relief for the gateways.
constexpr double minSeconds = 0.05;
// A value much longer than any honoured one.
constexpr double maxSeconds = 3600;
// Successive multiples of it, modulo 1, are spread evenly over the unit interval.
constexpr double goldenRatio = 0.6180339887498949;
// Priorities from this one on share the last part of the time that callers honour.
constexpr int64_t lastPart = 2;

base::Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

double spread(uint64_t number)
{
    double whole = 0;
    return std::modf(static_cast<double>(number) * goldenRatio, &whole);
}

// Seconds until the last return of a more urgent call that is expected within that time; 0 if there is none.
double lastMoreUrgent(const std::map<int64_t, std::multiset<base::Instant>>& expected, int64_t priority, base::Instant now, double within)
{
    double last = 0;
    for (const auto& [each, times] : expected) {
        auto after = each < priority ? times.upper_bound(now + fromSeconds(std::min(within, maxSeconds))) : times.begin();
        if (after != times.begin())
            last = std::max(last, base::toSeconds(*std::prev(after) - now));
    }
    return last;
}

} // namespace

base::Instant ReturnSchedule::nextReturn(const ModelQueue& queue, const RefusedCall& call, base::Instant now)
{
    Returns& returns = m_queues[queue];
    size_t earlierReturns = 0;
    for (auto& [priority, times] : returns.expected) {
        times.erase(times.begin(), times.upper_bound(now));
        if (priority <= call.priority)
            earlierReturns += times.size();
    }
    double honoured = base::toSeconds(base::remaining(now, call.deadline)) * honouredPart;
    double seconds = 0;
    if (call.completionsPerSecond > 0) {
        double ownRate = call.completionsPerSecond * std::clamp(call.part, 1e-3, 1.0);
        seconds = std::max(call.callsBefore, 0.0) / call.completionsPerSecond + static_cast<double>(earlierReturns + 1) / ownRate;
    } else {
        seconds = secondsWithoutRate * (1 + spread(++returns.early[call.priority])) / 2;
    }
    if (seconds > honoured) {
        // Priority 0 gets the second quarter of the time, priority 1 the third, all others the last one.
        auto quarter = static_cast<double>(std::clamp<int64_t>(call.priority, 0, lastPart) + 1);
        double begin = std::max(honoured * quarter / (lastPart + 2), lastMoreUrgent(returns.expected, call.priority, now, honoured));
        double end = honoured * (quarter + 1) / (lastPart + 2);
        seconds = begin + spread(++returns.early[call.priority]) * ((end > begin ? end : honoured) - begin);
    }
    seconds = std::clamp(seconds, std::min(minSeconds, honoured), std::max(std::min(honoured, maxSeconds), 0.0));
    base::Instant at = now + fromSeconds(seconds);
    returns.expected[call.priority].insert(at);
    return at;
}

} // namespace toucanstep::scheduling
