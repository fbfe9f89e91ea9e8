#include "EngineController.h"

#include "toucanstep/base/LogLine.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

// Engines answer an order within milliseconds. An order that is not answered in this time may still be executed.
constexpr auto controlTimeout = std::chrono::milliseconds(1000);
constexpr int statusOk = 200;

} // namespace

EngineController::EngineController(io::EventLoop& loop, http1::Client& client, const WireFormat& format, const UpstreamAvailability& availability, std::string holder, Handlers handlers)
    : m_loop(loop)
    , m_client(client)
    , m_format(format)
    , m_availability(availability)
    , m_holder(std::move(holder))
    , m_handlers(std::move(handlers))
{
}

EngineController::~EngineController() = default;

void EngineController::startTerm(base::Epoch fence)
{
    m_fence = fence;
    m_engines.clear();
    m_inheritedOrders.clear();
    m_inheritedFence = {};
}

void EngineController::takeOver(const PlannerHandover& handover, base::Instant now)
{
    if (handover.fence >= m_fence || handover.fence <= m_inheritedFence)
        return;
    base::LogLine("planner_state_taken_over").add("from_fence", handover.fence).add("fence", m_fence).add("orders", handover.state.orders.size()).add("max_store_loads", handover.state.maxStoreLoads);
    m_inheritedFence = handover.fence;
    m_inheritedAt = now;
    m_inheritedOrders.clear();
    if (handover.state.maxStoreLoads)
        m_storeLimit.adopt(static_cast<size_t>(handover.state.maxStoreLoads));
    for (const auto& order : handover.state.orders) {
        auto found = m_engines.find(order.upstream);
        if (found == m_engines.end())
            m_inheritedOrders.emplace(order.upstream, order);
        else
            found->second->inherit(order, now);
    }
}

PlannerState EngineController::state(base::Instant now) const
{
    PlannerState state;
    state.maxStoreLoads = static_cast<int64_t>(m_storeLimit.maxConcurrentLoads());
    for (const auto& [id, engine] : m_engines) {
        if (auto order = engine->executing(now))
            state.orders.push_back(std::move(*order));
    }
    return state;
}

void EngineController::onUpstream(const UpstreamDescription& description)
{
    auto found = m_engines.find(description.id);
    if (found == m_engines.end())
        return;
    if (found->second->description().start != description.start) {
        m_engines.erase(found);
        return;
    }
    found->second->setDescription(description);
}

void EngineController::onUpstreamGone(const base::UpstreamId& id)
{
    m_engines.erase(id);
}

std::vector<PlannedEngine> EngineController::engines(const UpstreamTable& table, const base::ServiceId& service, base::Instant now)
{
    std::vector<PlannedEngine> planned;
    for (const auto& [id, entry] : table.all()) {
        if (entry.description.service != service)
            continue;
        EnginePointer& engine = m_engines[id];
        if (!engine) {
            engine = std::make_shared<EngineRecord>(entry.description, now);
            auto inherited = m_inheritedOrders.extract(id);
            if (inherited) {
                inherited.mapped().age += now - m_inheritedAt;
                engine->inherit(inherited.mapped(), now);
            }
        }
        planned.push_back(engine->planningState(entry, now));
        planned.back().pausedUntil = m_availability.pausedAnywhereUntil(id, entry.description.start, now);
        planned.back().blocked |= m_availability.pausedUntil(id, now).has_value();
        planned.back().draining |= table.isEvacuated(entry) || m_availability.isLeaving(id, entry.description.start);
    }
    auto storeLoads = static_cast<size_t>(std::count_if(m_engines.begin(), m_engines.end(), [](const auto& item) { return item.second->loadsFromStore(); }));
    for (auto& [id, engine] : m_engines)
        engine->sampleStoreLoads(storeLoads);
    return planned;
}

void EngineController::tick(base::Instant now)
{
    for (auto& [id, engine] : m_engines) {
        if (engine->reportDue(now) && !m_availability.pausedUntil(id, now))
            fetchReport(engine);
    }
}

void EngineController::fetchReport(const EnginePointer& engine)
{
    engine->onReportRequested();
    sendRequest(engine, m_format.reportRequest(engine->description().id), [this](const EnginePointer& target, const base::Outcome<http1::FetchedAnswer>& outcome) {
        const auto* answer = std::get_if<http1::FetchedAnswer>(&outcome);
        auto report = answer && answer->status == statusOk ? m_format.readReport(answer->body) : std::nullopt;
        if (!report) {
            base::LogLine("engine_report_failed").add("upstream", target->description().id).add("status", answer ? answer->status : 0).add("reason", answer ? "unreadable" : std::get<base::Error>(outcome).message);
            target->onReportFailed(m_loop.now());
            return;
        }
        if (target->onReport(*report, m_loop.now(), m_storeLimit))
            m_handlers.onChange();
    });
}

void EngineController::sendRequest(const EnginePointer& engine, const ControlRequest& request, ResponseHandler handler)
{
    const UpstreamDescription& described = engine->description();
    http1::fetch(m_loop, m_client, { described.id.value(), described.endpoint }, request.method, request.target, request.headers, request.body, m_loop.now() + controlTimeout,
        [this, handler = std::move(handler), weak = std::weak_ptr(engine)](const base::Outcome<http1::FetchedAnswer>& outcome) {
            EnginePointer target = weak.lock();
            if (!target)
                return;
            if (const auto* answer = std::get_if<http1::FetchedAnswer>(&outcome))
                m_handlers.onAnswer(target->description(), m_format.readVerdict({ answer->status, "", answer->headers }));
            handler(target, outcome);
        });
}

void EngineController::execute(const PlannedOrder& planned, base::Instant now)
{
    auto found = m_engines.find(planned.upstream);
    if (found == m_engines.end() || found->second->blocked())
        return;
    EngineOrder order = found->second->onSending(planned, now);
    order.holder = m_holder;
    order.fence = m_fence;
    auto request = m_format.orderRequest(order);
    if (!request) {
        base::LogLine("order_not_sent").add("upstream", planned.upstream).add("reason", "the platform's format cannot express the order's names");
        onOrderAnswered(found->second, planned, OrderOutcome::Refused);
        return;
    }
    base::LogLine("order_sent").add("upstream", planned.upstream).add("order", planned.kind == OrderKind::Load ? "load" : "unload").add("model", planned.target.model).add("adapter", planned.target.adapter).add("source", toText(planned.source)).add("expected_ms", base::toMilliseconds(planned.expected)).add("expected_orders", order.expectedOrders).add("fence", m_fence);
    if (planned.kind == OrderKind::Unload)
        m_handlers.onChange();
    sendRequest(found->second, *request, [this, planned](const EnginePointer& target, const base::Outcome<http1::FetchedAnswer>& answered) {
        OrderOutcome outcome = OrderOutcome::Unknown;
        if (const auto* answer = std::get_if<http1::FetchedAnswer>(&answered))
            outcome = m_format.readOrderOutcome(answer->status);
        else if (std::get<base::Error>(answered).kind == base::ErrorKind::Unavailable)
            outcome = OrderOutcome::Refused;
        onOrderAnswered(target, planned, outcome);
    });
}

void EngineController::onOrderAnswered(const EnginePointer& engine, const PlannedOrder& order, OrderOutcome outcome)
{
    base::Instant now = m_loop.now();
    base::LogLine("order_answered").add("upstream", order.upstream).add("model", order.target.model).add("adapter", order.target.adapter).add("outcome", static_cast<int64_t>(outcome));
    engine->onAnswered(order, outcome, now);
    if (outcome == OrderOutcome::Fenced) {
        m_handlers.onFenced();
        return;
    }
    if (outcome != OrderOutcome::Accepted || order.kind != OrderKind::Load || order.target.adapter.empty())
        return;
    m_loop.at(now + adapterLoadTime, [this, order, weak = std::weak_ptr(engine)] {
        if (EnginePointer target = weak.lock()) {
            target->announce(order.target, true, m_loop.now());
            m_handlers.onChange();
        }
    });
}

std::vector<LoadedNotice> EngineController::notices() const
{
    std::vector<LoadedNotice> list;
    for (const auto& [id, engine] : m_engines)
        engine->appendNotices(list, m_loop.now());
    return list;
}

} // namespace toucanstep::direct
