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
enum class QueueClass {
    // A stream that has begun and moves to another upstream.
    Resuming,
    InTime,
    Late,
};

// Without a latency target (zero) a call is never late.
QueueClass queueClassOf(bool begun, base::Instant arrived, base::Duration latencyTarget, base::Instant now);

// Lower places go first.
struct QueuePosition {
    // 0 is the most urgent.
    int64_t rank = 0;
    QueueClass turn = QueueClass::InTime;
    // Grows with each call.
    uint64_t number = 0;

    auto operator<=>(const QueuePosition&) const = default;
};

// Calls that wait for the same thing.
using QueueKey = std::tuple<base::ServiceId, ModelTarget>;

// Knows the lines in which late calls have been standing without a break.
class StandingQueueDetector {
public:
    // All waiting calls are looked at once, from here to endPass().
    void beginPass(base::Instant now);
    // A late call found its upstreams full. Returns whether it is to be refused.
    bool shouldRefuseLate(const QueueKey&);
    void endPass();

private:
    base::Instant m_now;
    std::map<QueueKey, base::Instant> m_since;
    std::map<QueueKey, base::Instant> m_seen;
};

} // namespace toucanstep::direct
