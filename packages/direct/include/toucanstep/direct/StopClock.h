// When a process was told to stop, and what follows from it.
//
// The platform counts from the signal, and the process only knows when it has noticed it. A process that was held up notices late:
// the signal may then have come at any moment since it last ran.

#pragma once

#include "toucanstep/base/Time.h"

#include <optional>

namespace toucanstep::direct {

class StopClock {
public:
    // `grace`: from the signal to the moment at which the platform kills the process.
    explicit StopClock(base::Duration grace)
        : m_grace(grace)
    {
    }

    // The process runs. To be called several times a second.
    void onRuns(base::Instant now);
    // The signal was noticed; later signals change nothing.
    void onNoticed(base::Instant noticed);

    bool begun() const { return m_noticed.has_value(); }
    // The rest is for a stop that has begun.
    base::Instant noticed() const { return *m_noticed; }
    // The signal has not come before this moment.
    base::Instant earliestSignal() const { return m_earliestSignal; }
    // Until then the load balancer may send new connections.
    base::Instant intakeEnd() const;
    // The same for a signal that came as early as it can have come.
    base::Instant earliestIntakeEnd() const;
    // The process may be killed from this moment on: only calls that end before it are taken.
    base::Instant earliestEnd() const;
    // What runs then is ended by the process itself.
    base::Instant end() const;

private:
    base::Duration m_grace;
    std::optional<base::Instant> m_noticed;
    base::Instant m_earliestSignal;
    std::optional<base::Instant> m_lastRun;
    // The last time for which the process was held up.
    base::Instant m_heldUpFrom;
    base::Instant m_heldUpUntil;
};

} // namespace toucanstep::direct
