#include "EngineRecord.h"

#include "toucanstep/base/LogLine.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

// A report shows the state of a hundred milliseconds ago: one read sooner than this after an order does not show it.
constexpr auto reportLag = std::chrono::milliseconds(130);
// From then on a report counts even if it shows fewer orders than were accepted.
constexpr auto reportSettled = std::chrono::milliseconds(500);
// Between two reports while an adapter waits for the end of the calls that use it.
constexpr auto leavingInterval = std::chrono::milliseconds(300);
// Between two reports while the end of an order is awaited.
constexpr auto reportInterval = std::chrono::milliseconds(80);
// A notice is repeated until the list shows the same, and at least for one interval of the engines' writes to it.
constexpr auto shortestNotice = std::chrono::milliseconds(2500);

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

PlannedEngine EngineRecord::planned(const UpstreamEntry& entry, base::Instant now)
{
    std::erase_if(m_inTransit, [&](const auto& transit) { return transit.second <= now; });
    PlannedEngine state;
    state.id = m_description.id;
    state.domain = entry.description.domain;
    state.loaded = m_known ? m_loaded : entry.description.loaded;
    state.inHostMemory = m_inHostMemory;
    state.onDisk = m_onDisk;
    state.slots = entry.description.slots;
    state.inFlight = entry.inFlight();
    state.running = m_running;
    state.blocked = blocked();
    state.leaving = entry.description.draining;
    state.adaptersInTransit = m_inTransit.size();
    state.adaptersLeaving = m_leaving;
    state.busyUnknown = m_busyUnknown;
    return state;
}

void EngineRecord::onReportRequested()
{
    m_reportDue.reset();
    m_calling = true;
}

void EngineRecord::onReportFailed(base::Instant now)
{
    m_calling = false;
    m_reportDue = now + reportInterval;
}

bool EngineRecord::onReport(const EngineReport& report, base::Instant now, StoreConcurrencyLimit& storeLimit)
{
    m_calling = false;
    // The address may belong to another start of the engine by now; the list will say so.
    if (report.start && *report.start != m_description.start) {
        base::LogLine("engine_report_of_another_start").add("upstream", m_description.id).add("listed", m_description.start).add("reported", *report.start);
        m_reportDue = now + reportLag;
        return false;
    }
    m_inHostMemory = report.inHostMemory;
    m_onDisk = report.onDisk;
    m_busyUnknown = report.busy && !m_running;
    // An older state than that after the last accepted order says nothing new. A count that stays lower means that an
    // order was accepted without being counted, as a second unload of the same adapter is: then the engine is right.
    bool old = report.orders < m_orders && now < m_reportsCountFrom;
    if (old || report.busy) {
        base::LogLine("engine_report_early").add("upstream", m_description.id).add("orders", report.orders).add("expected", m_orders).add("busy", report.busy ? "yes" : "no");
        m_reportDue = now + reportInterval;
        return false;
    }
    takeState(report, now);
    endRunning(now, storeLimit);
    settleOpen(now);
    return true;
}

void EngineRecord::takeState(const EngineReport& report, base::Instant now)
{
    m_orders = report.orders;
    m_loaded = report.loaded;
    std::erase_if(m_leaving, [&](const ModelTarget& target) { return !holds(target); });
    if (!m_leaving.empty())
        m_reportDue = now + leavingInterval;
    for (const auto& pending : report.pending)
        m_loaded[pending.model].insert(pending.adapter);
    m_known = true;
}

void EngineRecord::endRunning(base::Instant now, StoreConcurrencyLimit& storeLimit)
{
    if (!m_running)
        return;
    bool load = m_running->kind == OrderKind::Load;
    if (load && m_running->source == LoadSource::WeightStore)
        storeLimit.onLoadEnded(m_running->expected, now - m_runningSince);
    bool done = m_loaded.contains(m_running->model) == load;
    base::LogLine("order_ended").add("upstream", m_description.id).add("order", load ? "load" : "unload").add("model", m_running->model).add("source", toText(m_running->source)).add("took_ms", base::toMilliseconds(now - m_runningSince)).add("done", done ? "yes" : "no");
    if (done && load)
        announce({ m_running->model, AdapterId() }, true, now);
    m_running.reset();
}

// The report counts the order, or something newer, or the order has not landed. In each case it tells what the engine holds.
void EngineRecord::settleOpen(base::Instant now)
{
    if (!m_open)
        return;
    bool done = holds(m_open->target) == (m_open->kind == OrderKind::Load);
    base::LogLine("open_order_settled").add("upstream", m_description.id).add("model", m_open->target.model).add("adapter", m_open->target.adapter).add("done", done ? "yes" : "no");
    announce(m_open->target, holds(m_open->target), now);
    m_open.reset();
}

EngineOrder EngineRecord::onSending(const PlannedOrder& planned, base::Instant now)
{
    EngineOrder order;
    order.upstream = planned.upstream;
    order.kind = planned.kind;
    order.target = planned.target;
    order.expectedOrders = m_orders;
    m_calling = true;
    // Calls stop going to what is taken away before the engine would turn them down.
    if (planned.kind == OrderKind::Unload)
        announce(planned.target, false, now);
    if (planned.target.adapter.empty()) {
        m_running = RunningOrder { planned.kind, planned.target.model, planned.source, planned.expected, now + planned.expected };
        m_runningSince = now;
    }
    return order;
}

void EngineRecord::onAnswered(const PlannedOrder& order, OrderOutcome outcome, base::Instant now)
{
    m_calling = false;
    switch (outcome) {
    case OrderOutcome::Accepted:
        onAccepted(order, true, now);
        return;
    case OrderOutcome::AlreadyHolds:
        // An adapter that no call uses goes at once, and counts as an order; anything else held before and counts nothing.
        if (order.kind == OrderKind::Unload && !order.target.adapter.empty())
            onAccepted(order, false, now);
        else
            readAnew(now);
        return;
    case OrderOutcome::Unknown:
        m_open = order;
        m_reportDue = now + reportLag;
        return;
    case OrderOutcome::Fenced:
    case OrderOutcome::Conflict:
    case OrderOutcome::OtherEngine:
    case OrderOutcome::Refused:
        readAnew(now);
        return;
    }
}

void EngineRecord::readAnew(base::Instant now)
{
    m_running.reset();
    m_known = false;
    m_reportDue = now + reportLag;
}

void EngineRecord::onAccepted(const PlannedOrder& order, bool underWay, base::Instant now)
{
    ++m_orders;
    m_reportsCountFrom = now + reportSettled;
    if (order.target.adapter.empty()) {
        m_reportDue = now + std::max<base::Duration>(order.expected, reportLag);
        return;
    }
    auto& adapters = m_loaded[order.target.model];
    if (order.kind == OrderKind::Load) {
        adapters.insert(order.target.adapter);
        m_inTransit[order.target] = now + adapterLoadTime;
    } else if (underWay) {
        // A call may still use it: it counts until a report shows it gone.
        m_leaving.insert(order.target);
        m_reportDue = now + reportLag;
    } else {
        adapters.erase(order.target.adapter);
    }
}

void EngineRecord::announce(const ModelTarget& target, bool loaded, base::Instant now)
{
    m_told[target] = { loaded, now + shortestNotice };
}

void EngineRecord::appendNotices(std::vector<LoadedNotice>& notices, base::Instant now)
{
    std::erase_if(m_told, [&](const auto& entry) {
        const auto& [target, told] = entry;
        return holdsTarget(m_description.loaded, target) == told.loaded && now >= told.keepUntil;
    });
    for (const auto& [target, told] : m_told)
        notices.push_back({ m_description.id, m_description.start, target, told.loaded });
}

} // namespace toucanstep::direct
