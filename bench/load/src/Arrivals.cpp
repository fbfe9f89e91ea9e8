#include "Arrivals.h"

#include <cmath>
#include <numbers>

namespace toucanstep::bench {

namespace {

base::Duration seconds(double value)
{
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(value));
}

double peakRate(const ArrivalProfile& profile)
{
    return profile.perSecond * (1 + profile.swing) * std::max(1.0, profile.burstFactor);
}

} // namespace

double rateAt(const ArrivalProfile& profile, base::Duration sinceBegin)
{
    double phase = base::toSeconds(sinceBegin) / base::toSeconds(profile.swingPeriod);
    double rate = profile.perSecond * (1 + profile.swing * std::sin(2 * std::numbers::pi * phase));
    bool bursting = sinceBegin % profile.burstPeriod < profile.burstLength;
    return bursting ? rate * profile.burstFactor : rate;
}

// Thinning: candidates come at the highest rate, and each is kept with the part that the rate at its time is of it.
std::vector<base::Duration> arrivals(const ArrivalProfile& profile, std::mt19937_64& generator)
{
    std::vector<base::Duration> times;
    double peak = peakRate(profile);
    if (peak <= 0)
        return times;
    std::exponential_distribution<double> gap(peak);
    std::uniform_real_distribution<double> draw(0, peak);
    base::Duration at = seconds(gap(generator));
    while (at < profile.length) {
        if (draw(generator) < rateAt(profile, at))
            times.push_back(profile.begin + at);
        at += seconds(gap(generator));
    }
    return times;
}

} // namespace toucanstep::bench
