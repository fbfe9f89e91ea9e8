#include "toucanstep/assignments/Timing.h"

namespace toucanstep::assignments {

namespace {
constexpr int64_t million = 1'000'000;

// Splits the multiplication so that durations of hours in nanoseconds do not overflow.
base::Duration scaled(base::Duration duration, int64_t partsPerMillion)
{
    int64_t whole = duration.count() / million * partsPerMillion;
    int64_t rest = duration.count() % million * partsPerMillion / million;
    return base::Duration(whole + rest);
}
}

bool isSafe(const Timing& timing)
{
    return scaled(timing.holderLimit, million + timing.driftPartsPerMillion) < scaled(timing.absence, million - timing.driftPartsPerMillion);
}

base::Duration absenceFromList(const Timing& timing)
{
    return timing.absence + scaled(timing.listLag, million + 2 * timing.driftPartsPerMillion);
}

base::Duration voterAbsence(const Timing& timing)
{
    return scaled(timing.voterLimit + timing.listLag, million + 2 * timing.driftPartsPerMillion);
}

} // namespace toucanstep::assignments
