// What the planner's holder knows of one engine: what it holds, the order that it carries out, and orders whose outcome is
// open. Takes reports, answers and the time as arguments and does no I/O.
//
// An order whose answer was lost may be carried out seconds later. It names the number of orders that the engine must have
// accepted before, so it can land only as the next one. Until a report shows a state, nothing else is ordered; what the
// report shows is then planned for anew. The order is not sent again as it was: another one, of an earlier holder, may have
// landed meanwhile and taken the room that it was meant for.

#pragma once

#include "toucanstep/direct/PlacementPlan.h"
#include "toucanstep/direct/StoreConcurrencyLimit.h"
#include "toucanstep/direct/UpstreamTable.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanstep::direct {

class EngineRecord {
public:
    EngineRecord(UpstreamDescription, base::Instant now);

    const UpstreamDescription& description() const { return m_description; }
    void setDescription(UpstreamDescription description) { m_description = std::move(description); }

    // Takes no order now.
    bool blocked() const { return !m_known || m_calling || m_open || m_description.draining; }
    bool reportDue(base::Instant now) const { return !m_calling && m_reportDue && *m_reportDue <= now; }
    // The engine as the planner sees it.
    PlannedEngine planned(const UpstreamEntry&, base::Instant now);

    void onReportRequested();
    void onReportFailed(base::Instant now);
    // Returns whether the report says something new; `speed` learns from loads that have ended.
    bool onReport(const EngineReport&, base::Instant now, StoreConcurrencyLimit& storeLimit);

    // The order to send for what the planner wants.
    EngineOrder onSending(const PlannedOrder&, base::Instant now);
    // What the engine has answered, or that it has not.
    void onAnswered(const PlannedOrder&, OrderOutcome, base::Instant now);
    // Calls may be sent for the target from now on, or not any more.
    void announce(const ModelTarget&, bool loaded, base::Instant now);
    // What gateways have to know before the list shows it.
    void appendNotices(std::vector<LoadedNotice>&, base::Instant now);

private:
    struct Told {
        bool loaded = false;
        base::Instant keepUntil;
    };

    bool holds(const ModelTarget&) const;
    void takeState(const EngineReport&, base::Instant now);
    void endRunning(base::Instant now, StoreConcurrencyLimit&);
    void settleOpen(base::Instant now);
    void readAnew(base::Instant now);
    void onAccepted(const PlannedOrder&, bool underWay, base::Instant now);

    UpstreamDescription m_description;
    // Known from a report since the duty was taken, and since the last order that the engine turned down.
    bool m_known = false;
    LoadedModels m_loaded;
    std::set<base::ModelId> m_inHostMemory;
    std::set<base::ModelId> m_onDisk;
    int64_t m_orders = 0;
    // A call to the engine is under way: only one at a time.
    bool m_calling = false;
    std::optional<RunningOrder> m_running;
    base::Instant m_runningSince;
    // Sent, and its outcome is not known: nothing else is ordered until a report shows it.
    std::optional<PlannedOrder> m_open;
    std::optional<base::Instant> m_reportDue;
    std::map<ModelTarget, base::Instant> m_inTransit;
    // Adapters whose unload waits for calls that use them.
    std::set<ModelTarget> m_leaving;
    // A report from before this instant may not show the last accepted order.
    base::Instant m_reportsCountFrom;
    // The engine carries out an order that was not given by this holder of the duty.
    bool m_busyUnknown = false;
    std::map<ModelTarget, Told> m_told;
};

// From an accepted order for an adapter until calls may be sent for it. It takes some ten milliseconds; a call that comes
// sooner is turned away.
constexpr auto adapterLoadTime = std::chrono::milliseconds(15);

} // namespace toucanstep::direct
