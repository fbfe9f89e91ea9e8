// Decides in which order calls that wait for full upstreams are dispatched, and which of them are refused.
//
// Under overload, calls arrive for some seconds faster than the engines with their model can run them. In FIFO order every
// call would then wait until it is late, and none would be served in time although the engines are busy throughout. So calls
// that can still be in time go first. Late calls keep waiting, since there is spare capacity after a short burst. A queue
// that has held late calls for a while without interruption shows that there is none: its calls are refused as soon as they
// are late, with a Retry-After, instead of waiting until their callers disconnect.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/scheduling/Imports.h"
#include "toucanstep/serving/Call.h"

#include <compare>
#include <map>
#include <tuple>

namespace toucanstep::scheduling {

// Orders the calls of equal priority; earlier values go first.
enum class QueueClass {
    // A stream that has started and moves to another upstream.
    Resuming,
    InTime,
    Late,
};

// A call without a latency target (zero) is never late.
QueueClass queueClassOf(bool answerStarted, base::Instant arrived, base::Duration latencyTarget, base::Instant now);

// Lower places go first.
struct QueuePosition {
    // 0 is the most urgent.
    int64_t priority = 0;
    QueueClass queueClass = QueueClass::InTime;
    // The call's wait number, which grows with each call.
    uint64_t number = 0;

    auto operator<=>(const QueuePosition&) const = default;
};

// Calls with an equal key wait for the same service and target.
using QueueKey = std::tuple<base::ServiceId, ModelTarget>;

// Detects the queues that have held late calls without interruption.
class StandingQueueDetector {
public:
    // Each waiting call is processed once between here and endPass().
    void beginPass(base::Instant now);
    // Records a late call whose upstreams are full. Returns whether it is to be refused.
    bool shouldRefuseLate(const QueueKey&);
    void endPass();

    // Whether the queue stands now. Between passes.
    bool isStanding(const QueueKey&, base::Instant now) const;
    // A call was refused on arrival because it would have become late, so the queue goes on standing without late calls.
    void onRefusedOnArrival(const QueueKey&, base::Instant now);

private:
    struct LateCalls {
        base::Instant since;
        base::Instant last;
    };

    base::Instant m_now;
    std::map<QueueKey, LateCalls> m_late;
};

// Whether a new call will be late before its turn comes: `callsAhead` go first, and the upstreams that could run it end that
// many calls a second. Without any completion seen, nothing is known.
bool willBecomeLate(int64_t callsAhead, double completionsPerSecond, base::Duration leftUntilLate);

} // namespace toucanstep::scheduling
