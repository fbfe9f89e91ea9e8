// Applies the decisions of packages/scheduling on calls that wait for full upstreams, where LoadPolicies::pressure is set: their
// order, the slots that this gateway takes for them, which of them have no chance, and when refused callers come back. It
// translates between calls and these decisions, and decides nothing itself.

#pragma once

#include "toucanstep/base/Metrics.h"
#include "toucanstep/direct/FleetReports.h"
#include "toucanstep/scheduling/AccountShares.h"
#include "toucanstep/scheduling/CallOrder.h"
#include "toucanstep/scheduling/CallTimes.h"
#include "toucanstep/scheduling/CompletionRate.h"
#include "toucanstep/scheduling/PriorityWatch.h"
#include "toucanstep/scheduling/ReturnSchedule.h"
#include "toucanstep/scheduling/SlotShare.h"

#include <map>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace toucanstep::direct {

class ProxiedCall;

// By wait number.
using WaitingCalls = std::map<uint64_t, std::shared_ptr<ProxiedCall>>;

class PressureQueue {
public:
    PressureQueue(const CallTimes&, SlotShare&, base::MetricsRegistry&);

    // Starts a pass over the waiting calls; returns them in dispatch order.
    std::vector<std::shared_ptr<ProxiedCall>> beginPass(const WaitingCalls&, base::Instant now);
    // Whether a call that has just arrived leaves a free slot to a call that waits for the same target.
    bool isBehindWaiting(const ProxiedCall&, const WaitingCalls&) const;
    // The waiting calls that can be in time, as of the last pass, for load reports.
    const QueuedByAccount& queuedAccounts() const { return m_queued; }
    // Those of a call's queue and priority; the call is counted if it has just arrived.
    CallsByAccount rivals(const ProxiedCall&) const;
    // The part of the freed slots that is left by more urgent calls.
    double partLeft(const ProxiedCall&, base::Instant now) const;

    // Whether the call's turn comes after the latest time at which it can start in time. `running`: the calls at the upstreams that
    // could run it.
    bool hasNoChance(const ProxiedCall&, const WaitingCalls&, int64_t running, base::Instant now) const;
    // Whether a less urgent call of its queue was sent at or after `since`.
    bool lessUrgentSent(const ProxiedCall&, base::Instant since) const;
    // When a refused caller is to come back. `reason` is for the log.
    base::Instant nextReturn(const ProxiedCall&, const WaitingCalls&, int64_t running, base::Instant deadline, std::string_view reason, base::Instant now);

    // The call no longer waits.
    void onDequeued(const ProxiedCall&);
    void onSent(const ProxiedCall&, bool firstTime, base::Instant now);
    void onLeftUpstream(const ProxiedCall&, bool ended, base::Instant now);
    void onEnded(const ProxiedCall&, bool inTime, base::Instant now);
    void onPeerReport(const LoadReport&, base::Instant now);
    // Logs inversions of priorities.
    void tick(base::Instant now);

    static TokensByAccount waitingTokens(const WaitingCalls&);

private:
    struct Place {
        double callsBefore = 0;
        double completionsPerSecond = 0;
    };

    // Priority, and whether the calls are late.
    using Rank = std::pair<int64_t, bool>;
    struct RankCalls {
        int64_t waiting = 0;
        // Calls that were sent or refused since the last pass. A pass goes in order, so within it these are the first ones.
        int64_t left = 0;
    };
    struct Position {
        Rank rank;
        int64_t place = 0;
    };

    static Rank rankOf(const ProxiedCall&);
    // As of the last pass, or among the waiting calls for a call that does not wait.
    int64_t positionOf(const ProxiedCall&, const WaitingCalls&) const;
    Place placeOf(const ProxiedCall&, const WaitingCalls&, int64_t running, base::Instant now) const;

    const CallTimes& m_callTimes;
    SlotShare& m_slotShare;
    base::MetricsRegistry& m_metrics;
    AccountShares m_shares;
    CompletionRate m_completions;
    ReturnSchedule m_returns;
    SentPriorities m_sent;
    PriorityWatch m_watch;
    QueuedByAccount m_queued;
    // As of the last pass: the calls of this gateway that wait for slots, and the places of each among those of equal rank, by
    // wait number.
    std::map<ModelQueue, std::map<Rank, RankCalls>> m_ranks;
    std::map<uint64_t, Position> m_positions;
};

} // namespace toucanstep::direct
