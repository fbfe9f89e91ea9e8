// Time limits that holders and takers of rows must agree on.
//
// A holder stops `holderLimit` after sending the request behind its newest proof of liveness, by its own clock. A
// taker waits for `absence` by its own clock. Both clocks may drift, so the first limit must be shorter by twice the
// drift; see isSafe().

#pragma once

#include "toucanstep/base/Time.h"

namespace toucanstep::assignments {

struct Timing {
    // How long a holder continues after sending the newest request whose answer proved its liveness.
    base::Duration holderLimit = std::chrono::seconds(5);
    // How long a holder must have been missing from the list and silent before its rows are moved.
    base::Duration absence = std::chrono::seconds(6);
    // The maximum age of the state shown by an answer of the platform's list.
    base::Duration listLag = std::chrono::seconds(10);
    // How long a voter keeps vouching after the list last showed it. A dropped member of a previous voter set that has
    // been missing for longer than this plus the list's lag has stopped vouching, even if it is unreachable.
    base::Duration voterLimit = std::chrono::minutes(10);
    // Maximum drift of a monotonic clock, in parts per million.
    int64_t driftPartsPerMillion = 1000;
};

// Whether the holder's limit on the slowest clock ends before the taker's wait on the fastest clock.
bool isSafe(const Timing&);

// How long an instance must have been missing from the list before its rows are moved. The list may still have shown
// the holder to itself for `listLag` after dropping it, and the holder continues for its limit from then on.
base::Duration absenceFromList(const Timing&);

// How long a voter must have been missing from the list before it is known to have stopped vouching.
base::Duration voterAbsence(const Timing&);

} // namespace toucanstep::assignments
