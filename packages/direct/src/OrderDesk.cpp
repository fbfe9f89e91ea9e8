#include "OrderDesk.h"

#include "toucanstep/base/LogLine.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

constexpr auto controlTimeout = std::chrono::milliseconds(1000);
// A report shows the state of a hundred milliseconds ago: one read sooner than this after an order does not show it.
constexpr auto reportLag = std::chrono::milliseconds(130);
// From then on a report counts even if it shows fewer orders than were accepted.
constexpr auto reportSettled = std::chrono::milliseconds(500);
// Between two reports while an adapter waits for the end of the calls that use it.
constexpr auto leavingInterval = std::chrono::milliseconds(300);
// Between two reports while the end of an order is awaited.
constexpr auto reportInterval = std::chrono::milliseconds(80);
// An accepted adapter is there after its load time, some ten milliseconds; a call that comes sooner is turned away.
constexpr auto adapterLoadTime = std::chrono::milliseconds(15);
// A notice is repeated until the list shows the same, and at least for one interval of the engines' writes to it.
constexpr auto shortestNotice = std::chrono::milliseconds(2500);

} // namespace

struct OrderDesk::Engine {
    UpstreamDescription description;
    // Known from a report since the duty was taken.
    bool known = false;
    LoadedModels loaded;
    std::set<base::ModelId> inHostMemory;
    std::set<base::ModelId> onDisk;
    int64_t orders = 0;
    // An HTTP call is under way.
    bool calling = false;
    std::optional<RunningOrder> running;
    base::Instant runningSince;
    // Sent, and its outcome is not known: it is sent again until it is.
    std::optional<PlannedOrder> open;
    std::optional<base::Instant> reportDue;
    std::map<ModelTarget, base::Instant> inTransit;
    // Adapters whose unload waits for calls that use them.
    std::set<ModelTarget> leaving;
    // A report from before this instant may not show the last accepted order.
    base::Instant reportsCountFrom;
    // The engine carries out an order that was not given by this holder of the duty.
    bool busyUnknown = false;
    struct Told {
        bool loaded = false;
        base::Instant keepUntil;
    };
    std::map<ModelTarget, Told> told;

    bool blocked() const { return !known || calling || open || description.draining; }
};

OrderDesk::OrderDesk(io::EventLoop& loop, http1::Client& client, const WireFormat& format, std::string holder, std::function<void()> onFenced, std::function<void()> onChange)
    : m_loop(loop)
    , m_client(client)
    , m_format(format)
    , m_holder(std::move(holder))
    , m_onFenced(std::move(onFenced))
    , m_onChange(std::move(onChange))
{
}

OrderDesk::~OrderDesk() = default;

void OrderDesk::begin(base::Epoch fence)
{
    m_fence = fence;
    m_engines.clear();
}

void OrderDesk::onUpstream(const UpstreamDescription& description)
{
    auto found = m_engines.find(description.id);
    if (found == m_engines.end())
        return;
    if (found->second->description.start != description.start) {
        m_engines.erase(found);
        return;
    }
    found->second->description = description;
}

void OrderDesk::onUpstreamGone(const base::UpstreamId& id)
{
    m_engines.erase(id);
}

std::vector<PlannedEngine> OrderDesk::engines(const UpstreamTable& table, const base::ServiceId& service, base::Instant now)
{
    std::vector<PlannedEngine> planned;
    for (const auto& [id, entry] : table.all()) {
        if (entry.description.service != service)
            continue;
        EnginePointer& engine = m_engines[id];
        if (!engine) {
            engine = std::make_shared<Engine>();
            engine->description = entry.description;
            engine->reportDue = now;
        }
        std::erase_if(engine->inTransit, [&](const auto& transit) { return transit.second <= now; });
        PlannedEngine state;
        state.id = id;
        state.domain = entry.description.domain;
        state.loaded = engine->known ? engine->loaded : entry.description.loaded;
        state.inHostMemory = engine->inHostMemory;
        state.onDisk = engine->onDisk;
        state.slots = entry.description.slots;
        state.inFlight = entry.inFlight();
        state.running = engine->running;
        state.blocked = engine->blocked();
        state.leaving = entry.description.draining;
        state.adaptersInTransit = engine->inTransit.size();
        state.adaptersLeaving = engine->leaving;
        state.busyUnknown = engine->busyUnknown;
        planned.push_back(std::move(state));
    }
    return planned;
}

void OrderDesk::tick(base::Instant now)
{
    for (auto& [id, engine] : m_engines) {
        if (engine->calling)
            continue;
        if (engine->reportDue && *engine->reportDue <= now) {
            engine->reportDue.reset();
            readReport(engine);
        }
    }
}

void OrderDesk::readReport(const EnginePointer& engine)
{
    engine->calling = true;
    ControlRequest request = m_format.reportRequest(engine->description.id);
    http1::Peer peer { engine->description.id.value(), engine->description.endpoint };
    http1::fetch(m_loop, m_client, peer, request.method, request.target, request.headers, request.body, m_loop.now() + controlTimeout, [this, weak = std::weak_ptr(engine)](base::Outcome<http1::FetchedAnswer> outcome) {
        EnginePointer target = weak.lock();
        const auto* answer = std::get_if<http1::FetchedAnswer>(&outcome);
        if (!target)
            return;
        target->calling = false;
        auto report = answer && answer->status == 200 ? m_format.readReport(answer->body) : std::nullopt;
        if (!report) {
            base::LogLine("engine_report_failed").add("upstream", target->description.id).add("status", answer ? answer->status : 0).add("reason", answer ? "unreadable" : std::get<base::Error>(outcome).message);
            target->reportDue = m_loop.now() + reportInterval;
            return;
        }
        onReport(*target, *report);
    });
}

void OrderDesk::onReport(Engine& engine, const EngineReport& report)
{
    // The address may belong to another start of the engine by now; the list will say so.
    if (report.start && *report.start != engine.description.start) {
        base::LogLine("engine_report_of_another_start").add("upstream", engine.description.id).add("listed", engine.description.start).add("reported", *report.start);
        engine.reportDue = m_loop.now() + reportLag;
        return;
    }
    engine.inHostMemory = report.inHostMemory;
    engine.onDisk = report.onDisk;
    engine.busyUnknown = report.busy && !engine.running;
    // An older state than that after the last accepted order says nothing new. A count that stays lower means that an
    // order was accepted without being counted, as a second unload of the same adapter is: then the engine is right.
    bool old = report.orders < engine.orders && m_loop.now() < engine.reportsCountFrom;
    if (old || report.busy) {
        base::LogLine("engine_report_early").add("upstream", engine.description.id).add("orders", report.orders).add("expected", engine.orders).add("busy", report.busy ? "yes" : "no");
        engine.reportDue = m_loop.now() + reportInterval;
        return;
    }
    engine.orders = report.orders;
    engine.loaded = report.loaded;
    std::erase_if(engine.leaving, [&](const ModelTarget& target) {
        auto model = engine.loaded.find(target.model);
        return model == engine.loaded.end() || !model->second.contains(target.adapter);
    });
    if (!engine.leaving.empty())
        engine.reportDue = m_loop.now() + leavingInterval;
    for (const auto& pending : report.pending)
        engine.loaded[pending.model].insert(pending.adapter);
    engine.known = true;
    if (engine.running) {
        bool load = engine.running->kind == OrderKind::Load;
        if (load && engine.running->source == LoadSource::WeightStore)
            m_storeSpeed.onLoadEnded(engine.running->expected, m_loop.now() - engine.runningSince);
        bool done = engine.loaded.contains(engine.running->model) == load;
        base::LogLine("order_ended").add("upstream", engine.description.id).add("order", load ? "load" : "unload").add("model", engine.running->model).add("done", done ? "yes" : "no");
        if (done && load)
            tell(engine, { engine.running->model, AdapterId() }, true);
        engine.running.reset();
    }
    if (engine.open) {
        // The report counts the order, or something newer: it was carried out, or never will be.
        PlannedOrder order = *engine.open;
        engine.open.reset();
        bool holds = engine.loaded.contains(order.target.model) && (order.target.adapter.empty() || engine.loaded[order.target.model].contains(order.target.adapter));
        if (holds == (order.kind == OrderKind::Load))
            tell(engine, order.target, holds);
        else
            execute(order, m_loop.now());
    }
    m_onChange();
}

void OrderDesk::execute(const PlannedOrder& order, base::Instant)
{
    auto found = m_engines.find(order.upstream);
    if (found == m_engines.end() || found->second->blocked())
        return;
    send(found->second, order);
}

void OrderDesk::send(const EnginePointer& engine, const PlannedOrder& planned)
{
    EngineOrder order;
    order.upstream = planned.upstream;
    order.kind = planned.kind;
    order.target = planned.target;
    order.expectedOrders = engine->orders;
    order.holder = m_holder;
    order.fence = m_fence;
    engine->calling = true;
    // Calls stop going to what is taken away before the engine would turn them down.
    if (planned.kind == OrderKind::Unload)
        tell(*engine, planned.target, false);
    if (planned.target.adapter.empty()) {
        engine->running = RunningOrder { planned.kind, planned.target.model, planned.source, planned.expected, m_loop.now() + planned.expected };
        engine->runningSince = m_loop.now();
    }
    base::LogLine("order_sent").add("upstream", planned.upstream).add("order", planned.kind == OrderKind::Load ? "load" : "unload").add("model", planned.target.model).add("adapter", planned.target.adapter).add("expected_orders", order.expectedOrders).add("fence", m_fence);
    ControlRequest request = m_format.orderRequest(order);
    http1::Peer peer { planned.upstream.value(), engine->description.endpoint };
    http1::fetch(m_loop, m_client, peer, request.method, request.target, request.headers, request.body, m_loop.now() + controlTimeout,
        [this, planned, weak = std::weak_ptr(engine)](base::Outcome<http1::FetchedAnswer> answered) {
            EnginePointer target = weak.lock();
            if (!target)
                return;
            target->calling = false;
            OrderOutcome outcome = OrderOutcome::Unknown;
            if (const auto* answer = std::get_if<http1::FetchedAnswer>(&answered))
                outcome = m_format.readOrderOutcome(answer->status);
            else if (std::get<base::Error>(answered).kind == base::ErrorKind::Unavailable)
                outcome = OrderOutcome::Refused;
            onOrderAnswered(target, planned, outcome);
        });
}

void OrderDesk::onOrderAnswered(const EnginePointer& engine, const PlannedOrder& order, OrderOutcome outcome)
{
    base::Instant now = m_loop.now();
    base::LogLine("order_answered").add("upstream", order.upstream).add("model", order.target.model).add("adapter", order.target.adapter).add("outcome", static_cast<int64_t>(outcome));
    switch (outcome) {
    case OrderOutcome::Accepted:
        onAccepted(engine, order, true);
        return;
    case OrderOutcome::AlreadyHolds:
        // An adapter that no call uses goes at once, and counts as an order; anything else held before and counts nothing.
        if (order.kind == OrderKind::Unload && !order.target.adapter.empty())
            onAccepted(engine, order, false);
        else
            readAnew(*engine);
        return;
    case OrderOutcome::Fenced:
        m_onFenced();
        return;
    case OrderOutcome::Unknown:
        engine->open = order;
        engine->reportDue = now + reportLag;
        return;
    case OrderOutcome::Conflict:
    case OrderOutcome::OtherEngine:
    case OrderOutcome::Refused:
        readAnew(*engine);
        return;
    }
}

void OrderDesk::readAnew(Engine& engine)
{
    engine.running.reset();
    engine.known = false;
    engine.reportDue = m_loop.now() + reportLag;
}

void OrderDesk::onAccepted(const EnginePointer& engine, const PlannedOrder& order, bool underWay)
{
    base::Instant now = m_loop.now();
    ++engine->orders;
    engine->reportsCountFrom = now + reportSettled;
    if (order.target.adapter.empty()) {
        engine->reportDue = now + std::max<base::Duration>(order.expected, reportLag);
        return;
    }
    auto& adapters = engine->loaded[order.target.model];
    if (order.kind == OrderKind::Unload) {
        // A call may still use it: it counts until a report shows it gone.
        if (underWay) {
            engine->leaving.insert(order.target);
            engine->reportDue = now + reportLag;
        } else {
            adapters.erase(order.target.adapter);
        }
        return;
    }
    adapters.insert(order.target.adapter);
    engine->inTransit[order.target] = now + adapterLoadTime;
    m_loop.at(now + adapterLoadTime, [this, order, weak = std::weak_ptr(engine)] {
        if (EnginePointer target = weak.lock()) {
            tell(*target, order.target, true);
            m_onChange();
        }
    });
}

void OrderDesk::tell(Engine& engine, const ModelTarget& target, bool loaded)
{
    engine.told[target] = { loaded, m_loop.now() + shortestNotice };
    m_onChange();
}

std::vector<LoadedNotice> OrderDesk::notices() const
{
    std::vector<LoadedNotice> list;
    base::Instant now = m_loop.now();
    for (const auto& [id, pointer] : m_engines) {
        Engine& engine = *pointer;
        std::erase_if(engine.told, [&engine, now](const auto& entry) {
            const auto& [target, told] = entry;
            auto model = engine.description.loaded.find(target.model);
            bool listed = model != engine.description.loaded.end() && (target.adapter.empty() || model->second.contains(target.adapter));
            return listed == told.loaded && now >= told.keepUntil;
        });
        for (const auto& [target, told] : engine.told)
            list.push_back({ id, engine.description.start, target, told.loaded });
    }
    return list;
}

} // namespace toucanstep::direct
