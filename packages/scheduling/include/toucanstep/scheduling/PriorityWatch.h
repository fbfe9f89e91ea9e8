// Detects that a less urgent request class is served better than a more urgent one.
//
// Load pattern: calls of several priorities compete for one service. An urgent call must not be refused on an estimate while less
// urgent calls are sent to the same upstreams: that they are sent shows that the estimate is wrong. And whatever the
// cause, the parts of the calls of each priority that were answered in time are compared over a few seconds, and an inversion
// is reported.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/scheduling/Imports.h"
#include "toucanstep/serving/Demand.h"

#include <deque>
#include <map>
#include <tuple>
#include <vector>

namespace toucanstep::scheduling {

// Remembers when calls of each priority were last sent, and how many lately.
class SentPriorities {
public:
    void onSent(const ModelQueue&, int64_t priority, base::Instant now);
    // The part of the calls sent lately that were more urgent: so many of the slots that become free are taken by urgent calls that
    // arrive meanwhile. Never all, so that less urgent calls can find out that slots are left.
    double moreUrgentPart(const ModelQueue&, int64_t priority, base::Instant now) const;
    // Whether a call of a less urgent priority was sent at or after `since`.
    bool lessUrgentSent(const ModelQueue&, int64_t priority, base::Instant since) const;

private:
    struct Sent {
        base::Instant last;
        // A sum that decays.
        double calls = 0;
    };

    static double callsAt(const Sent&, base::Instant now);

    std::map<ModelQueue, std::map<int64_t, Sent>> m_sent;
};

struct PriorityInversion {
    base::ServiceId service;
    int64_t urgent = 0;
    int64_t lessUrgent = 0;
    // The parts of their calls that were answered in time.
    double urgentInTime = 0;
    double lessUrgentInTime = 0;
};

class PriorityWatch {
public:
    void onEnded(const base::ServiceId&, int64_t priority, bool inTime, base::Instant now);
    // The inversions of the last seconds. A pair that is reported is not reported again until as long has passed.
    std::vector<PriorityInversion> inversions(base::Instant now);

private:
    struct Second {
        int64_t number = 0;
        int64_t calls = 0;
        int64_t inTime = 0;
    };
    struct Sum {
        double calls = 0;
        double inTime = 0;
    };

    static Sum sumOf(const std::deque<Second>&);

    std::map<base::ServiceId, std::map<int64_t, std::deque<Second>>> m_services;
    std::map<std::tuple<base::ServiceId, int64_t, int64_t>, base::Instant> m_reported;
};

} // namespace toucanstep::scheduling
