#include "toucanstep/formats/EngineClient.h"

#include "JsonAccess.h"
#include "ServerSentEvents.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <charconv>

namespace toucanstep::formats {

namespace {

using namespace base;
using internal::Json;
using internal::parseJson;
using internal::ServerSentEvents;
using internal::textMember;

constexpr int firstServerErrorStatus = 500;
constexpr size_t quotedBodyBytes = 200;

// Answers of the 500s may come from something between here and the engine, which can have taken the order on.
std::optional<Error> errorOf(const HttpReply& reply)
{
    if (reply.error)
        return reply.error;
    if (reply.ok())
        return std::nullopt;
    auto kind = reply.status >= firstServerErrorStatus ? ErrorKind::Timeout : ErrorKind::Rejected;
    return Error { kind, concat("the engine answered ", reply.status, ": ", std::string_view(reply.body).substr(0, quotedBodyBytes)) };
}

// Nothing for a model that the engine knows of but does not hold.
std::optional<EngineModelPhase> phaseFromState(std::string_view state)
{
    if (state == "READY")
        return EngineModelPhase::Ready;
    if (state == "LOADING")
        return EngineModelPhase::Loading;
    if (state == "UNLOADING")
        return EngineModelPhase::Unloading;
    return std::nullopt;
}

Outcome<std::vector<EngineModel>> modelsFromText(std::string_view text)
{
    auto json = parseJson(text);
    if (!json || !json->is_array())
        return Error { ErrorKind::Malformed, "the engine's index is not a list" };
    std::vector<EngineModel> models;
    for (const auto& entry : *json) {
        std::string name = textMember(entry, "name");
        if (name.empty())
            return Error { ErrorKind::Malformed, "a model of the engine's index has no name" };
        if (auto phase = phaseFromState(textMember(entry, "state")))
            models.push_back({ .name = std::move(name), .phase = *phase });
    }
    return models;
}

bool endsWith(std::string_view text, std::string_view end)
{
    return text.size() >= end.size() && text.substr(text.size() - end.size()) == end;
}

// Adds one line of Prometheus text to the figures: `name{labels} value`.
void addMetric(std::string_view line, EngineLoad& load)
{
    if (line.empty() || line.front() == '#')
        return;
    auto name = line.substr(0, line.find_first_of("{ "));
    auto braces = line.rfind('}');
    auto rest = line.substr(braces == std::string_view::npos ? name.size() : braces + 1);
    rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
    double value = 0;
    std::from_chars(rest.data(), rest.data() + rest.size(), value);
    if (endsWith(name, "num_requests_running"))
        load.running += static_cast<int64_t>(value);
    else if (endsWith(name, "num_requests_waiting"))
        load.waiting += static_cast<int64_t>(value);
    else if (endsWith(name, "cache_usage_perc"))
        load.cacheUse = std::max(load.cacheUse, value);
}

EngineLoad loadFromText(std::string_view text)
{
    EngineLoad load;
    while (!text.empty()) {
        auto end = std::min(text.find('\n'), text.size());
        addMetric(text.substr(0, end), load);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return load;
}

// Cuts the answer into pieces and finds out whether it is whole. The engine's closing of the connection proves nothing: a
// stream counts as whole only with its end mark.
class GenerationReader final : public HttpListener {
public:
    explicit GenerationReader(std::shared_ptr<GenerationListener> listener)
        : m_listener(std::move(listener))
    {
    }

    void onStatus(int status, const HttpHeaders& headers) override
    {
        m_status = status;
        std::string type(findHeader(headers, "Content-Type"));
        m_streaming = type.rfind("text/event-stream", 0) == 0;
        m_listener->onStart(status, std::move(type));
    }

    void onData(std::string_view data) override
    {
        if (!m_streaming) {
            m_listener->onPiece(std::string(data));
            return;
        }
        for (auto& event : m_events.take(data)) {
            m_endMarkSeen = m_endMarkSeen || internal::isEndMark(event);
            m_listener->onPiece(std::move(event));
        }
    }

    void onEnd(std::optional<Error> error) override
    {
        if (auto rest = m_events.rest(); !rest.empty())
            m_listener->onPiece(std::move(rest));
        bool whole = m_streaming ? m_endMarkSeen : !error;
        GenerationEnd end { .status = m_status, .whole = whole };
        if (!whole)
            end.error = error ? std::move(error) : Error { ErrorKind::Timeout, "the engine ended the answer before its end mark" };
        m_listener->onEnd(std::move(end));
    }

private:
    std::shared_ptr<GenerationListener> m_listener;
    ServerSentEvents m_events;
    int m_status = 0;
    bool m_streaming = false;
    bool m_endMarkSeen = false;
};

class HttpEngineClient final : public EngineClient {
public:
    HttpEngineClient(std::string url, std::shared_ptr<HttpClient> client)
        : m_url(std::move(url))
        , m_client(std::move(client))
    {
    }

    void index(Instant deadline, std::function<void(Outcome<std::vector<EngineModel>>)> callback) override
    {
        auto onReply = [callback = std::move(callback)](const HttpReply& reply) {
            if (auto error = errorOf(reply))
                callback(std::move(*error));
            else
                callback(modelsFromText(reply.body));
        };
        m_client->fetchAsync(post("/v2/repository/index", Json::object(), deadline), std::move(onReply));
    }

    void load(EngineOrder order, std::function<void(std::optional<Error>)> callback) override
    {
        if (order.baseName.empty())
            send(concat("/v2/repository/models/", order.name, "/load"), { { "parameters", { { "version", order.version } } } }, order, std::move(callback));
        else
            send("/v1/load_lora_adapter", { { "lora_name", order.name }, { "lora_path", order.name }, { "base_model_name", order.baseName } }, order, std::move(callback));
    }

    void unload(EngineOrder order, std::function<void(std::optional<Error>)> callback) override
    {
        if (order.baseName.empty())
            send(concat("/v2/repository/models/", order.name, "/unload"), Json::object(), order, std::move(callback));
        else
            send("/v1/unload_lora_adapter", { { "lora_name", order.name } }, order, std::move(callback));
    }

    void readLoad(Instant deadline, std::function<void(Outcome<EngineLoad>)> callback) override
    {
        auto onReply = [callback = std::move(callback)](const HttpReply& reply) {
            if (auto error = errorOf(reply))
                callback(std::move(*error));
            else
                callback(loadFromText(reply.body));
        };
        m_client->fetchAsync({ .url = m_url + "/metrics", .deadline = deadline }, std::move(onReply));
    }

    std::unique_ptr<HttpCallHandle> generate(GenerationCall call, std::shared_ptr<GenerationListener> listener) override
    {
        HttpCall request { .method = "POST", .url = m_url + call.path, .body = std::move(call.body), .deadline = call.deadline, .silenceLimit = call.silenceLimit };
        request.headers = {
            { "Content-Type", call.contentType.empty() ? "application/json" : call.contentType },
            { "X-Request-Id", call.request.value() },
            { "X-Request-Priority", concat(call.priority) },
        };
        if (call.resumeOffset > 0)
            request.headers.push_back({ "X-Resume-Offset", concat(call.resumeOffset) });
        return m_client->start(std::move(request), std::make_shared<GenerationReader>(std::move(listener)));
    }

private:
    HttpCall post(std::string_view path, const Json& body, Instant deadline) const
    {
        return { .method = "POST", .url = concat(m_url, path), .headers = { { "Content-Type", "application/json" } }, .body = body.dump(), .deadline = deadline };
    }

    void send(std::string_view path, const Json& body, const EngineOrder& order, std::function<void(std::optional<Error>)> callback)
    {
        HttpCall call = post(path, body, order.deadline);
        call.headers.push_back({ "X-Fencing-Epoch", concat(order.fence) });
        m_client->fetchAsync(std::move(call), [callback = std::move(callback)](const HttpReply& reply) { callback(errorOf(reply)); });
    }

    const std::string m_url;
    const std::shared_ptr<HttpClient> m_client;
};

} // namespace

std::unique_ptr<EngineClient> makeEngineClient(std::string url, std::shared_ptr<HttpClient> client)
{
    return std::make_unique<HttpEngineClient>(std::move(url), std::move(client));
}

} // namespace toucanstep::formats
