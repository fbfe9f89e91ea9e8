// Divides the free slots of overloaded upstreams among the gateways whose calls wait for them.
//
// Load pattern: for some seconds, more calls arrive for one model than its replicas can run, at many gateways at once. All of
// them see a freed slot in the same load reports. If each sent a call, an upstream would get a call from every gateway for one
// slot, and the calls would wait in the upstream's own queue, where gateways can neither order nor refuse them. So while calls
// of other gateways wait for the same model, a gateway takes only its part of the slots that are reported free, in
// proportion to its waiting calls. More urgent calls, and among equals those that can still be in time, go first over the whole
// fleet.

#pragma once

#include "toucanstep/scheduling/FairSlotPart.h"
#include "toucanstep/scheduling/Imports.h"
#include "toucanstep/scheduling/QueueDiscipline.h"
#include "toucanstep/serving/Demand.h"

#include <map>
#include <string>
#include <utility>

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
    // Those of them that can be in time, by account as far as known. With these, the slots for calls in time are divided evenly among
    // accounts.
    void setPeerAccounts(QueuedByAccount);
    const QueuedByAccount& peerAccounts() const { return m_peerAccounts; }
    // What accounts with waiting calls have received more than others, in calls; replaces the earlier value.
    void setLeads(LeadsByAccount leads) { m_leads = std::move(leads); }
    // The slots that upstreams offer until the next report: of the free ones as many as are not taken before that shows, and
    // those of the running calls that end meanwhile, `turnover` of them.
    static double offeredSlots(int64_t freeSlots, int64_t running, double turnover);
    // Takes one of the `slots` that upstreams with the model offer until the next report, for a call that is sent at once.
    // `own` are this gateway's waiting calls for the model, the call included; `ownAccounts` those of its rank by account, or null
    // if slots are divided in proportion to calls. Returns whether the call may be sent.
    bool takeSlot(const ModelQueue&, const QueueRank&, const QueuedCallsByPriority& own, double slots, base::Instant now, const CallsByAccount* ownAccounts = nullptr);
    // The calls of all gateways that go before a new call of that rank.
    int64_t callsAhead(const ModelQueue&, const QueueRank&, const QueuedCallsByPriority& own) const;
    // Of the calls of other gateways, those of higher rank, and those of the same.
    struct PeerCalls {
        int64_t before = 0;
        int64_t equal = 0;
    };
    PeerCalls peerCalls(const ModelQueue&, const QueueRank&) const;

private:
    // Slots that this gateway may take, accumulated over time.
    struct Credit {
        double slots = 0;
        base::Instant asOf;
    };

    // The part of the slots that the gateway takes for calls of that rank, of which `equalElsewhere` wait at other gateways.
    double fairShare(const ModelQueue&, int64_t priority, const CallsByAccount& own, int64_t equalElsewhere, double slots) const;
    Credit& creditAt(const ModelQueue&, int64_t priority, base::Instant now);

    std::string m_self;
    base::Duration m_reportInterval = minLoadReportInterval;
    QueuedCallCounts m_peers;
    QueuedByAccount m_peerAccounts;
    LeadsByAccount m_leads;
    // By priority where slots are divided by account: the slots that urgent calls may take would otherwise be spent on less urgent
    // ones, of which other gateways may hold more. Otherwise all priorities share the credit of priority 0.
    std::map<std::pair<ModelQueue, int64_t>, Credit> m_credits;
};

} // namespace toucanstep::scheduling
