// What the planner knows about one engine: its models and adapters, its running order, and an order with an unknown
// outcome. Takes reports, responses and the time as arguments and does no I/O.
//
// An order whose response was lost may still be executed seconds later. It carries the number of orders that the engine must
// have accepted before, so it can only be accepted as the next one. No other order is sent until a report has arrived, and
// planning then starts from the reported state. The lost order is not resent unchanged: an order of an earlier planner may
// have been accepted meanwhile and have taken the capacity it was meant for.

#pragma once

#include "toucanstep/planner/Imports.h"
#include "toucanstep/planner/PlacementPlan.h"
#include "toucanstep/planner/StoreConcurrencyLimit.h"
#include "toucanstep/upstreams/UpstreamTable.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanstep::planner {

class EngineRecord {
public:
    EngineRecord(UpstreamDescription, base::Instant now);

    const UpstreamDescription& description() const { return m_description; }
    void setDescription(UpstreamDescription description) { m_description = std::move(description); }

    // Accepts no order now.
    bool blocked() const { return !m_stateKnown || m_requestPending || m_unresolvedOrder || m_description.draining; }
    bool reportDue(base::Instant now) const { return !m_requestPending && m_reportDue && *m_reportDue <= now; }
    // The planner's input for this engine.
    PlannedEngine planningState(const UpstreamEntry&, base::Instant now);

    // An earlier planner sent the order. It is taken for the running one if the engine reports that it is busy.
    void inherit(const ExecutingOrder&, base::Instant now);
    // The running model order, for the next planner.
    std::optional<ExecutingOrder> executing(base::Instant now) const;

    // As many loads from the weight store run now; to be called at each planning pass.
    void sampleStoreLoads(size_t concurrent);
    bool loadsFromStore() const { return m_running && m_running->kind == OrderKind::Load && m_running->source == LoadSource::WeightStore; }

    void onReportRequested();
    void onReportFailed(base::Instant now);
    // Returns whether the report was applied. Loads that have ended are passed to `storeLimit`.
    bool onReport(const EngineReport&, base::Instant now, StoreConcurrencyLimit& storeLimit);

    // Records the planned order as sent and returns the order for the engine.
    EngineOrder onSending(const PlannedOrder&, base::Instant now);
    // Handles the engine's response to an order, or its absence.
    void onAnswered(const PlannedOrder&, OrderOutcome, base::Instant now);
    // Adds a notice that calls may be sent for the target, or may not any more.
    void announce(const ModelTarget&, bool loaded, base::Instant now);
    // Appends the announced changes that the list may not show yet.
    void appendNotices(std::vector<LoadedNotice>&, base::Instant now);

private:
    struct Announcement {
        bool loaded = false;
        base::Instant keepUntil;
    };

    bool holds(const ModelTarget&) const;
    void applyReport(const EngineReport&, base::Instant now);
    void finishRunningOrder(base::Instant now, StoreConcurrencyLimit&);
    void resolveOrder(base::Instant now);
    // The order was not accepted, so the engine's state differs from what was assumed.
    void requireReport(const PlannedOrder&, base::Instant now);
    void onAccepted(const PlannedOrder&, bool inProgress, base::Instant now);

    UpstreamDescription m_description;
    // A report was applied since this record was created and since the last order that the engine did not accept.
    bool m_stateKnown = false;
    LoadedModels m_loaded;
    std::set<base::ModelId> m_inHostMemory;
    std::set<base::ModelId> m_onDisk;
    int64_t m_acceptedOrders = 0;
    // Only one request to the engine is in flight at a time.
    bool m_requestPending = false;
    std::optional<RunningOrder> m_running;
    base::Instant m_runningSince;
    // Loads from the weight store while this one ran: the sum over the planning passes, and their number.
    size_t m_storeLoadsSum = 0;
    size_t m_storeLoadSamples = 0;
    struct InheritedOrder {
        RunningOrder order;
        base::Instant since;
    };
    std::optional<InheritedOrder> m_inherited;
    // Sent, with an unknown outcome; no other order is sent until a report has been applied.
    std::optional<PlannedOrder> m_unresolvedOrder;
    std::optional<base::Instant> m_reportDue;
    std::map<ModelTarget, base::Instant> m_loadingAdapters;
    // Adapters whose unload waits for the calls that use them.
    std::set<ModelTarget> m_unloadingAdapters;
    // Until then a report may be older than the last accepted order.
    base::Instant m_staleReportsUntil;
    // The engine executes an order that this planner did not send.
    bool m_runsUnknownOrder = false;
    std::map<ModelTarget, Announcement> m_announcements;
};

// Time from an accepted load of an adapter until calls may be sent for it. A load takes some ten milliseconds, and the engine
// rejects earlier calls.
constexpr auto adapterLoadTime = std::chrono::milliseconds(15);

} // namespace toucanstep::planner
