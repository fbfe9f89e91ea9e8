#include "toucanstep/planner/EngineRecord.h"

#include "toucanstep/base/LogLine.h"

#include <algorithm>

namespace toucanstep::planner {

namespace {

// A report shows the state of about 100 ms ago, so one fetched earlier than this after an order does not include it.
constexpr auto reportLag = std::chrono::milliseconds(130);
// After this time a report is applied even if it shows fewer orders than were accepted.
constexpr auto staleReportWindow = std::chrono::milliseconds(500);
// Time between reports while an adapter waits for the end of the calls that use it.
constexpr auto unloadReportInterval = std::chrono::milliseconds(300);
// Time between reports while an order is running.
constexpr auto reportInterval = std::chrono::milliseconds(80);
// A notice is repeated until the list shows the same state, and at least for one interval between the engines' updates of
// the list.
constexpr auto minNoticeTime = std::chrono::milliseconds(2500);

bool holdsTarget(const LoadedModels& loaded, const ModelTarget& target)
{
    auto model = loaded.find(target.model);
    return model != loaded.end() && (target.adapter.empty() || model->second.contains(target.adapter));
}

} // namespace

EngineRecord::EngineRecord(UpstreamDescription description, base::Instant now)
    : m_description(std::move(description))
    , m_reportDue(now)
{
}

bool EngineRecord::holds(const ModelTarget& target) const { return holdsTarget(m_loaded, target); }

PlannedEngine EngineRecord::planningState(const UpstreamEntry& entry, base::Instant now)
{
    std::erase_if(m_loadingAdapters, [&](const auto& loading) { return loading.second <= now; });
    PlannedEngine state;
    state.id = m_description.id;
    state.domain = entry.description.domain;
    state.loaded = m_stateKnown ? m_loaded : entry.description.loaded;
    state.inHostMemory = m_inHostMemory;
    state.onDisk = m_onDisk;
    state.slots = entry.description.slots;
    state.inFlight = entry.inFlight();
    state.running = m_running;
    state.blocked = blocked();
    state.draining = entry.description.draining;
    state.adaptersLoading = m_loadingAdapters.size();
    state.adaptersUnloading = m_unloadingAdapters;
    state.runsUnknownOrder = m_runsUnknownOrder;
    return state;
}

void EngineRecord::inherit(const ExecutingOrder& order, base::Instant now)
{
    if (m_running || order.start != m_description.start)
        return;
    base::Instant since = now - order.age;
    LoadSource source = order.fromWeightStore ? LoadSource::WeightStore : LoadSource::Disk;
    m_inherited = { { order.kind, order.model, source, order.expected, since + order.expected }, since };
}

std::optional<ExecutingOrder> EngineRecord::executing(base::Instant now) const
{
    if (!m_running)
        return std::nullopt;
    bool fromStore = m_running->kind == OrderKind::Load && m_running->source == LoadSource::WeightStore;
    return ExecutingOrder { m_description.id, m_description.start, m_running->kind, m_running->model, fromStore, m_running->expected, now - m_runningSince };
}

void EngineRecord::sampleStoreLoads(size_t concurrent)
{
    if (!loadsFromStore())
        return;
    m_storeLoadsSum += concurrent;
    ++m_storeLoadSamples;
}

void EngineRecord::onReportRequested()
{
    m_reportDue.reset();
    m_requestPending = true;
}

void EngineRecord::onReportFailed(base::Instant now)
{
    m_requestPending = false;
    m_reportDue = now + reportInterval;
}

bool EngineRecord::onReport(const EngineReport& report, base::Instant now, StoreConcurrencyLimit& storeLimit)
{
    m_requestPending = false;
    // The address may belong to another start of the engine by now; the list will show it.
    if (report.start && *report.start != m_description.start) {
        base::LogLine("engine_report_of_another_start").add("upstream", m_description.id).add("listed", m_description.start).add("reported", *report.start);
        m_reportDue = now + reportLag;
        return false;
    }
    m_inHostMemory = report.inHostMemory;
    m_onDisk = report.onDisk;
    if (report.busy && !m_running && m_inherited) {
        m_running = m_inherited->order;
        m_runningSince = m_inherited->since;
    }
    m_inherited.reset();
    m_runsUnknownOrder = report.busy && !m_running;
    // A report older than the last accepted order is ignored. A count that stays lower means that an order was accepted
    // without being counted, as a second unload of the same adapter is; the engine's count is used then.
    bool old = report.orders < m_acceptedOrders && now < m_staleReportsUntil;
    if (old || report.busy) {
        base::LogLine("engine_report_early").add("upstream", m_description.id).add("orders", report.orders).add("expected", m_acceptedOrders).add("busy", report.busy ? "yes" : "no");
        m_reportDue = now + reportInterval;
        return false;
    }
    applyReport(report, now);
    finishRunningOrder(now, storeLimit);
    resolveOrder(now);
    return true;
}

void EngineRecord::applyReport(const EngineReport& report, base::Instant now)
{
    m_acceptedOrders = report.orders;
    m_loaded = report.loaded;
    std::erase_if(m_unloadingAdapters, [&](const ModelTarget& target) { return !holds(target); });
    if (!m_unloadingAdapters.empty())
        m_reportDue = now + unloadReportInterval;
    for (const auto& pending : report.pending)
        m_loaded[pending.model].insert(pending.adapter);
    m_stateKnown = true;
}

void EngineRecord::finishRunningOrder(base::Instant now, StoreConcurrencyLimit& storeLimit)
{
    if (!m_running)
        return;
    bool load = m_running->kind == OrderKind::Load;
    if (load && m_running->source == LoadSource::WeightStore)
        storeLimit.onLoadEnded(m_running->expected, now - m_runningSince, m_storeLoadSamples ? static_cast<double>(m_storeLoadsSum) / static_cast<double>(m_storeLoadSamples) : 1);
    bool done = m_loaded.contains(m_running->model) == load;
    base::LogLine("order_ended").add("upstream", m_description.id).add("order", load ? "load" : "unload").add("model", m_running->model).add("source", toText(m_running->source)).add("took_ms", base::toMilliseconds(now - m_runningSince)).add("done", done ? "yes" : "no");
    if (done && load)
        announce({ m_running->model, AdapterId() }, true, now);
    m_running.reset();
}

// The report includes the order or a newer one, or the order was not accepted. In each case it shows the engine's state.
void EngineRecord::resolveOrder(base::Instant now)
{
    if (!m_unresolvedOrder)
        return;
    bool done = holds(m_unresolvedOrder->target) == (m_unresolvedOrder->kind == OrderKind::Load);
    base::LogLine("open_order_settled").add("upstream", m_description.id).add("model", m_unresolvedOrder->target.model).add("adapter", m_unresolvedOrder->target.adapter).add("done", done ? "yes" : "no");
    announce(m_unresolvedOrder->target, holds(m_unresolvedOrder->target), now);
    m_unresolvedOrder.reset();
}

EngineOrder EngineRecord::onSending(const PlannedOrder& planned, base::Instant now)
{
    EngineOrder order;
    order.upstream = planned.upstream;
    order.kind = planned.kind;
    order.target = planned.target;
    order.expectedOrders = m_acceptedOrders;
    m_requestPending = true;
    // Stops calls for the target before the engine starts to reject them.
    if (planned.kind == OrderKind::Unload)
        announce(planned.target, false, now);
    if (planned.target.adapter.empty()) {
        m_running = RunningOrder { planned.kind, planned.target.model, planned.source, planned.expected, now + planned.expected };
        m_runningSince = now;
        m_storeLoadsSum = 0;
        m_storeLoadSamples = 0;
    }
    return order;
}

void EngineRecord::onAnswered(const PlannedOrder& order, OrderOutcome outcome, base::Instant now)
{
    m_requestPending = false;
    switch (outcome) {
    case OrderOutcome::Accepted:
        onAccepted(order, true, now);
        return;
    case OrderOutcome::AlreadyHolds:
        // The unload of an adapter that no call uses is completed at once and counted as an order. In every other case the
        // requested state was in place already and nothing was counted.
        if (order.kind == OrderKind::Unload && !order.target.adapter.empty())
            onAccepted(order, false, now);
        else
            requireReport(order, now);
        return;
    case OrderOutcome::Unknown:
        m_unresolvedOrder = order;
        m_reportDue = now + reportLag;
        return;
    case OrderOutcome::Fenced:
    case OrderOutcome::Conflict:
    case OrderOutcome::OtherEngine:
    case OrderOutcome::Refused:
        requireReport(order, now);
        return;
    }
}

void EngineRecord::requireReport(const PlannedOrder& order, base::Instant now)
{
    // The outcome of an adapter order says nothing about the model order that the engine is executing.
    if (order.target.adapter.empty())
        m_running.reset();
    m_stateKnown = false;
    m_reportDue = now + reportLag;
}

void EngineRecord::onAccepted(const PlannedOrder& order, bool inProgress, base::Instant now)
{
    ++m_acceptedOrders;
    m_staleReportsUntil = now + staleReportWindow;
    if (order.target.adapter.empty()) {
        m_reportDue = now + std::max<base::Duration>(order.expected, reportLag);
        return;
    }
    auto& adapters = m_loaded[order.target.model];
    if (order.kind == OrderKind::Load) {
        adapters.insert(order.target.adapter);
        m_loadingAdapters[order.target] = now + adapterLoadTime;
    } else if (inProgress) {
        // Calls may still use the adapter, so it is counted until a report no longer lists it.
        m_unloadingAdapters.insert(order.target);
        m_reportDue = now + reportLag;
    } else {
        adapters.erase(order.target.adapter);
    }
}

void EngineRecord::announce(const ModelTarget& target, bool loaded, base::Instant now)
{
    m_announcements[target] = { loaded, now + minNoticeTime };
}

void EngineRecord::appendNotices(std::vector<LoadedNotice>& notices, base::Instant now)
{
    std::erase_if(m_announcements, [&](const auto& entry) {
        const auto& [target, announcement] = entry;
        return holdsTarget(m_description.loaded, target) == announcement.loaded && now >= announcement.keepUntil;
    });
    for (const auto& [target, announcement] : m_announcements)
        notices.push_back({ m_description.id, m_description.start, target, announcement.loaded });
}

} // namespace toucanstep::planner
