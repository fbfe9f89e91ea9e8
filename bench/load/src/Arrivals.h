// Open-loop arrivals: when requests are sent does not depend on how the earlier ones fare.
//
//     std::mt19937_64 generator(seed);
//     for (base::Duration at : arrivals({ .perSecond = 20, .length = std::chrono::seconds(30) }, generator))
//         ...

#pragma once

#include "toucanstep/base/Time.h"

#include <random>
#include <vector>

namespace toucanstep::bench {

// A rate that may swing like day and night and jump in bursts.
struct ArrivalProfile {
    double perSecond = 1;
    base::Duration begin = base::Duration::zero();
    base::Duration length = std::chrono::seconds(10);
    // By how much of its mean the rate swings; 1 falls to silence, 0 keeps it even.
    double swing = 0;
    base::Duration swingPeriod = std::chrono::seconds(20);
    // During the first part of each period the rate is this many times as high.
    double burstFactor = 1;
    base::Duration burstPeriod = std::chrono::seconds(10);
    base::Duration burstLength = base::Duration::zero();
};

// Requests a second at that time after the beginning of the profile.
double rateAt(const ArrivalProfile&, base::Duration sinceBegin);

// Times of a Poisson process with that rate, ascending, from `begin` up to `begin + length`.
std::vector<base::Duration> arrivals(const ArrivalProfile&, std::mt19937_64&);

} // namespace toucanstep::bench
