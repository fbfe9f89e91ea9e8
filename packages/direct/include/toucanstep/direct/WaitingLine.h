// Decides in which order calls that wait for full upstreams go on, and which of them are refused.
//
// The load that it answers: more calls come, for some seconds, than the engines with their model can run. First in, first
// out then makes every call wait until it is late, and none is served in time although the engines run all the while. So
// calls that can still be in time go first. Late ones stay, as a short burst leaves room behind it; but where late calls have
// been standing in a line without a break, there is none, and they are refused as soon as they are late, with a time to
// come back, in place of waiting until their callers leave.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/direct/Call.h"

#include <compare>
#include <map>
#include <tuple>

namespace toucanstep::direct {

// Where a call stands among those of its rank.
enum class WaitingTurn {
    // A stream that has begun and moves to another upstream.
    Begun,
    InTime,
    Late,
};

// Without a latency target (zero) a call is never late.
WaitingTurn waitingTurn(bool begun, base::Instant arrived, base::Duration latencyTarget, base::Instant now);

// Lower places go first.
struct WaitingPlace {
    // 0 is the most urgent.
    int64_t rank = 0;
    WaitingTurn turn = WaitingTurn::InTime;
    // Grows with each call.
    uint64_t number = 0;

    auto operator<=>(const WaitingPlace&) const = default;
};

// Calls that wait for the same thing.
using WaitingLine = std::tuple<base::ServiceId, ModelTarget>;

// Knows the lines in which late calls have been standing without a break.
class StandingLines {
public:
    // All waiting calls are looked at once, from here to endLook().
    void beginLook(base::Instant now);
    // A late call found its upstreams full. Returns whether it is to be refused.
    bool refusesLate(const WaitingLine&);
    void endLook();

private:
    base::Instant m_now;
    std::map<WaitingLine, base::Instant> m_since;
    std::map<WaitingLine, base::Instant> m_seen;
};

} // namespace toucanstep::direct
