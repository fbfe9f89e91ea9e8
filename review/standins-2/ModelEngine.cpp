#include "ModelEngine.h"

#include "toucanstep/base/Text.h"

#include <algorithm>
#include <stdexcept>

namespace toucanstep::review {

namespace {

constexpr int ok = 200;
constexpr int accepted = 202;
constexpr int badRequest = 400;
constexpr int conflict = 409;
constexpr int fenced = 412;
constexpr int misdirected = 421;
constexpr auto adapterTime = std::chrono::milliseconds(10);
constexpr auto modelTime = std::chrono::milliseconds(1000);

void reply(const std::shared_ptr<http1::ServerExchange>& exchange, int status, const Json& body)
{
    http1::AnswerHead head;
    head.status = status;
    head.headers.add("Content-Type", "application/json");
    exchange->answer(std::move(head), body.dump());
}

std::string headerOf(const http1::ServerExchange& exchange, std::string_view name)
{
    const std::string* value = exchange.head().headers.find(name);
    return value ? *value : std::string();
}

} // namespace

ModelEngine::ModelEngine(std::string id, EngineMemory memory, std::set<std::string> held, std::function<void(const std::string&)> record, StreamShape shape)
    : m_id(std::move(id))
    , m_memory(std::move(memory))
    , m_shape(shape)
    , m_record(std::move(record))
    , m_born(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
{
    for (const auto& model : held)
        m_held[model];
    m_loop.runAndWait([this] {
        base::Error error;
        auto started = base::valueOr(error, [&] { return http1::Server::listen(m_loop, { "127.0.0.1", 0 }, *this); });
        if (!started)
            throw std::runtime_error("a model engine cannot listen");
        m_server = std::move(*started);
        m_endpoint = m_server->endpoint();
    });
}

ModelEngine::~ModelEngine()
{
    m_loop.runAndWait([this] {
        m_streams.clear();
        m_server.reset();
    });
}

std::string ModelEngine::entry(const std::string& service)
{
    std::lock_guard lock(m_mutex);
    return Json { { "service", service }, { "address", m_endpoint.text() }, { "zone", "a" }, { "version", "v1" }, { "slots", 32 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "phase", "unified" }, { "models", models() }, { "sequence", m_orders }, { "born", m_born } }.dump();
}

bool ModelEngine::overfilled()
{
    std::lock_guard lock(m_mutex);
    return m_overfilled;
}

int ModelEngine::cutStreams()
{
    std::lock_guard lock(m_mutex);
    return m_cutStreams;
}

Json ModelEngine::models() const
{
    Json list = Json::array();
    for (const auto& [model, adapters] : m_held)
        list.push_back({ { "name", model }, { "version", 1 }, { "adapters", adapters } });
    return list;
}

size_t ModelEngine::adapters() const
{
    size_t count = 0;
    for (const auto& [model, adapters] : m_held)
        count += adapters.size();
    return count;
}

double ModelEngine::memoryUsed() const
{
    double used = static_cast<double>(adapters()) * m_memory.adapter;
    for (const auto& [model, adapters] : m_held)
        used += m_memory.models.at(model);
    return used;
}

void ModelEngine::onRequest(std::shared_ptr<http1::ServerExchange> exchange)
{
    std::lock_guard lock(m_mutex);
    if (headerOf(*exchange, "Target-Instance") != m_id) {
        http1::AnswerHead head;
        head.status = misdirected;
        head.headers.add("Instance-Id", m_id);
        exchange->answer(std::move(head), "");
        return;
    }
    if (exchange->head().target == "/-/report") {
        reply(exchange, ok, { { "phase", "unified" }, { "models", models() }, { "busy", m_busy }, { "sequence", m_orders }, { "queued", 0 }, { "active", m_streams.size() }, { "kv_used", 0 }, { "kv_total", 90000 }, { "supports", 0 }, { "born", m_born } });
        return;
    }
    if (exchange->head().target == "/-/order") {
        auto [status, answer] = order(*exchange);
        if (m_overfilled)
            crash();
        else
            reply(exchange, status, answer);
        return;
    }
    run(exchange);
}

std::pair<int, Json> ModelEngine::order(const http1::ServerExchange& exchange)
{
    Json body = Json::parse(exchange.body());
    std::string adapter = body.value("adapter", "");
    std::string what = base::concat(body.value("operation", ""), " ", body.value("model", ""), adapter.empty() ? "" : "/", adapter);
    if (!body.contains("holder") || !body.contains("fencing_token"))
        return { badRequest, Json::object() };
    if (body.at("fencing_token") < m_fence)
        return { fenced, Json::object() };
    m_fence = body.at("fencing_token");
    if (m_busy || (body.contains("expected") && body.at("expected") != m_orders))
        return { conflict, Json::object() };
    double before = memoryUsed();
    auto answer = adapter.empty() ? orderModel(body.at("operation"), body.at("model")) : orderAdapter(body.at("operation"), body.at("model"), adapter);
    m_overfilled = m_overfilled || memoryUsed() > m_memory.weights || adapters() > m_memory.adapterCapacity;
    m_record(base::concat(m_id, " gets the order ", what, " from ", body.at("holder").get<std::string>(), ": ", answer.first, "; it held ", before, " MB and ", memoryUsed(), " MB with it, of ", m_memory.weights, " MB; ", static_cast<int64_t>(adapters()), " adapters of ", static_cast<int64_t>(m_memory.adapterCapacity)));
    return answer;
}

std::pair<int, Json> ModelEngine::orderAdapter(const std::string& operation, const std::string& model, const std::string& adapter)
{
    auto held = m_held.find(model);
    if (held == m_held.end())
        return { misdirected, Json::object() };
    bool load = operation == "load";
    if (held->second.contains(adapter) == load)
        return { ok, Json::object() };
    ++m_orders;
    if (!load) {
        held->second.erase(adapter);
        return { ok, Json::object() };
    }
    held->second.insert(adapter);
    return { accepted, Json::object() };
}

std::pair<int, Json> ModelEngine::orderModel(const std::string& operation, const std::string& model)
{
    bool load = operation == "load";
    if (m_held.contains(model) == load)
        return { ok, Json::object() };
    ++m_orders;
    m_busy = true;
    if (load)
        m_held[model];
    m_loop.at(m_loop.now() + modelTime, [this, load, model] {
        std::lock_guard lock(m_mutex);
        m_busy = false;
        if (!load)
            m_held.erase(model);
    });
    return { accepted, Json::object() };
}

void ModelEngine::run(const std::shared_ptr<http1::ServerExchange>& exchange)
{
    std::string wanted = headerOf(*exchange, "Model");
    size_t slash = wanted.find('/');
    auto held = m_held.find(wanted.substr(0, slash));
    bool holds = held != m_held.end() && (slash == std::string::npos || held->second.contains(wanted.substr(slash + 1)));
    if (!holds) {
        http1::AnswerHead head;
        head.status = misdirected;
        head.headers.add("Attempt-Id", headerOf(*exchange, "Attempt-Id"));
        exchange->answer(std::move(head), "");
        return;
    }
    auto stream = std::make_shared<Stream>(Stream { exchange, headerOf(*exchange, "Attempt-Id") });
    m_streams.insert(stream);
    m_record(base::concat(m_id, " runs ", stream->id, " of ", wanted));
    exchange->onGone([this, weak = std::weak_ptr(stream)] {
        std::lock_guard lock(m_mutex);
        if (auto gone = weak.lock())
            m_streams.erase(gone);
    });
    http1::AnswerHead head;
    head.headers.add("Attempt-Id", stream->id);
    head.headers.add("Response-Signature", base::concat("3e1b.", stream->id));
    head.headers.add("Content-Type", "text/event-stream");
    exchange->begin(std::move(head));
    m_loop.at(m_loop.now() + adapterTime, [this, stream] { sendEvent(stream); });
}

void ModelEngine::sendEvent(const std::shared_ptr<Stream>& stream)
{
    std::lock_guard lock(m_mutex);
    if (!m_streams.contains(stream))
        return;
    std::string event = base::concat("id: ", stream->next, "\ndata: ", stream->id, " ");
    event.append(m_shape.eventBytes - std::min(event.size() + 2, m_shape.eventBytes), 'x');
    stream->exchange->write(event + "\n\n");
    if (stream->next++ < m_shape.events) {
        m_loop.at(m_loop.now() + m_shape.pause, [this, stream] { sendEvent(stream); });
        return;
    }
    m_streams.erase(stream);
    stream->exchange->end();
    m_record(base::concat(m_id, " has sent all ", m_shape.events, " events of ", stream->id));
}

// All that runs there is lost; it accepts no connection any more.
void ModelEngine::crash()
{
    m_cutStreams = static_cast<int>(m_streams.size());
    m_record(base::concat(m_id, " crashes: it was ordered to load more than it can hold; ", m_cutStreams, " streams run there"));
    m_streams.clear();
    m_loop.at(m_loop.now(), [this] { m_server.reset(); });
}

} // namespace toucanstep::review
