// The times that holders and takers of rows must agree on.
//
// A holder stops `holderLimit` after the sending of its newest proof of being in, by its own clock; a taker waits
// `absence` by its own. Both clocks may drift, so the first has to be shorter by twice the drift: see isSafe().

#pragma once

#include "toucanstep/base/Time.h"

namespace toucanstep::assignments {

struct Timing {
    // How long a holder goes on after the newest request whose answer proved that it is still in.
    base::Duration holderLimit = std::chrono::seconds(5);
    // How long a holder must have been absent from the list and silent before its rows move.
    base::Duration absence = std::chrono::seconds(6);
    // The oldest state that an answer of the platform's list may show.
    base::Duration listLag = std::chrono::seconds(10);
    // How long a voter goes on vouching after the list last showed it. A dropped member of a former voterSet that has
    // been absent for longer (and the list's lag) has stopped vouching, wherever it is.
    base::Duration voterLimit = std::chrono::minutes(10);
    // The most by which a monotonic clock runs fast or slow, in parts of a million.
    int64_t driftPartsPerMillion = 1000;
};

// Whether the holder's limit on the slowest clock ends before the taker's wait on the fastest one.
bool isSafe(const Timing&);

// How long absence from the list must have stood before rows move: the list may have shown the holder to itself for
// `listLag` after it dropped it, and the holder goes on for its limit from then.
base::Duration absenceFromList(const Timing&);

// How long absence of a voter from the list must have stood before it has stopped vouching.
base::Duration voterAbsence(const Timing&);

} // namespace toucanstep::assignments
