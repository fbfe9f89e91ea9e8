// Divides the free slots of overloaded upstreams among the gateways whose calls wait for them.
//
// Load pattern: for some seconds, more calls arrive for one model than its replicas can run, at many gateways at once. All of
// them see a freed slot in the same load reports. If each sent a call, an upstream would get a call from every gateway for one
// slot, and the calls would wait in the upstream's own queue, where gateways can neither order nor refuse them. So while calls
// of other gateways wait for the same model, a gateway takes only its part of the slots that are reported free, in
// proportion to its waiting calls. More urgent calls, and among equals those that can still be in time, go first over the whole
// fleet.

#pragma once

#include "toucanstep/scheduling/Imports.h"
#include "toucanstep/scheduling/QueueDiscipline.h"
#include "toucanstep/serving/Demand.h"

#include <map>
#include <string>

namespace toucanstep::scheduling {

// Ranks a waiting call; lower values go first.
struct QueueRank {
    int64_t priority = 0;
    QueueClass queueClass = QueueClass::InTime;
};

class SlotShare {
public:
    // `self` decides in which phase this gateway takes its part, so that gateways do not take theirs at the same moment.
    explicit SlotShare(std::string self);

    // The interval at which gateways report.
    void setReportInterval(base::Duration interval) { m_reportInterval = interval; }
    // The waiting calls of all other gateways together, as last reported; replaces the earlier value.
    void setPeers(QueuedCallCounts);
    // The slots that upstreams offer until the next report: of the free ones as many as are not taken before that shows, and
    // those of the running calls that end meanwhile, `turnover` of them.
    static double offeredSlots(int64_t freeSlots, int64_t running, double turnover);
    // Takes one of the `slots` that upstreams with the model offer until the next report, for a call that is sent at once.
    // `own` are this gateway's waiting calls for the model, the call included. Returns whether the call may be sent.
    bool takeSlot(const ModelQueue&, const QueueRank&, const QueuedCallsByPriority& own, double slots, base::Instant now);
    // The calls of all gateways that go before a new call of that rank.
    int64_t callsAhead(const ModelQueue&, const QueueRank&, const QueuedCallsByPriority& own) const;

private:
    // Slots that this gateway may take, accumulated over time.
    struct Credit {
        double slots = 0;
        base::Instant asOf;
    };

    Credit& creditAt(const ModelQueue&, base::Instant now);

    std::string m_self;
    base::Duration m_reportInterval = minLoadReportInterval;
    QueuedCallCounts m_peers;
    std::map<ModelQueue, Credit> m_credits;
};

} // namespace toucanstep::scheduling
