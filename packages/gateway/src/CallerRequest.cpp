#include "toucanstep/gateway/CallerRequest.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace toucanstep::gateway {

namespace {

using Json = nlohmann::json;

constexpr std::string_view servicesPrefix = "/v1/services/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr size_t longestIdempotencyKey = 256;
constexpr int64_t largestMaximumTokens = 1'000'000;

base::Refusal refuse(base::RefusalCode code, std::string message)
{
    // Nothing was sent anywhere yet.
    return base::Refusal { code, base::RanState::NotRun, std::move(message), std::nullopt };
}

// Unknown, withdrawn and missing keys take the same way, so that neither answer nor time tells them apart.
const config::ClientAccount* authenticate(const formats::HttpRequest& request, const config::Configuration& configuration, base::KeyFingerprint& fingerprint)
{
    std::string_view header = formats::findHeader(request.headers, "Authorization");
    std::string_view key = header.substr(0, bearerPrefix.size()) == bearerPrefix ? header.substr(bearerPrefix.size()) : std::string_view();
    fingerprint = base::KeyFingerprint(base::sha256Hex(key));
    return configuration.findAccountByKey(fingerprint);
}

// Seconds, with a fraction, as in the Request-Timeout header; nothing where there is none.
std::variant<base::Duration, base::Refusal> timeoutOf(const formats::HttpRequest& request, base::Duration byDefault)
{
    std::string_view header = formats::findHeader(request.headers, "Request-Timeout");
    if (header.empty())
        return byDefault;
    double seconds = 0;
    if (!absl::SimpleAtod(base::abslView(header), &seconds) || !(seconds > 0))
        return refuse(base::RefusalCode::BadRequest, "Request-Timeout is a positive number of seconds, for example 2.5");
    double bounded = std::min(seconds, static_cast<double>(longestTimeoutSeconds));
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(bounded));
}

void appendContent(const Json& content, std::string& prompt)
{
    if (content.is_string())
        prompt += content.get_ref<const std::string&>();
    else if (content.is_array()) {
        for (const Json& part : content) {
            if (part.is_object() && part.contains("text") && part["text"].is_string())
                prompt += part["text"].get_ref<const std::string&>();
        }
    }
}

std::optional<base::Refusal> readPrompt(const Json& body, bool chat, std::string& prompt)
{
    if (chat) {
        if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty())
            return refuse(base::RefusalCode::BadRequest, "messages: must be a list with at least one message");
        for (const Json& message : body["messages"]) {
            if (!message.is_object() || !message.contains("role") || !message["role"].is_string())
                return refuse(base::RefusalCode::BadRequest, "messages: each must be an object with a role");
            if (message.contains("content"))
                appendContent(message["content"], prompt);
        }
        return std::nullopt;
    }
    if (!body.contains("prompt") || !(body["prompt"].is_string() || body["prompt"].is_array()))
        return refuse(base::RefusalCode::BadRequest, "prompt: must be a text or a list of texts");
    appendContent(body["prompt"], prompt);
    if (body["prompt"].is_array()) {
        for (const Json& part : body["prompt"]) {
            if (part.is_string())
                prompt += part.get_ref<const std::string&>();
        }
    }
    return std::nullopt;
}

std::optional<base::Refusal> readMaximumTokens(const Json& body, base::Tokens& maximum)
{
    for (const char* name : { "max_completion_tokens", "max_tokens" }) {
        if (!body.contains(name) || body[name].is_null())
            continue;
        if (!body[name].is_number_integer() || body[name].get<int64_t>() < 1 || body[name].get<int64_t>() > largestMaximumTokens)
            return refuse(base::RefusalCode::BadRequest, base::concat(name, ": must be a whole number from 1 to ", largestMaximumTokens));
        maximum = base::Tokens(body[name].get<int64_t>());
        return std::nullopt;
    }
    return std::nullopt;
}

ParsedCallerRequest parseModelRequest(const formats::HttpRequest& http, const config::Configuration& configuration, CallerRequest request, base::Instant now)
{
    constexpr bool throwing = false;
    Json body = Json::parse(http.body, nullptr, throwing);
    if (!body.is_object())
        return refuse(base::RefusalCode::BadRequest, "the body must be a JSON object");
    if (!body.contains("model") || !body["model"].is_string())
        return refuse(base::RefusalCode::BadRequest, "model: must be a text");
    request.targetId = body["model"].get<std::string>();
    const config::Model* model = configuration.findModel(base::ModelId(request.targetId));
    if (!model)
        return refuse(base::RefusalCode::UnknownModel, "this model is not served; GET /v1/models lists those that are");

    bool chat = http.path == "/v1/chat/completions";
    if (auto refusal = readPrompt(body, chat, request.prompt))
        return *refusal;
    request.maximumTokens = defaultMaximumTokens;
    if (auto refusal = readMaximumTokens(body, request.maximumTokens))
        return *refusal;
    if (body.contains("stream") && !body["stream"].is_boolean() && !body["stream"].is_null())
        return refuse(base::RefusalCode::BadRequest, "stream: must be true or false");
    request.stream = body.value("stream", Json()).is_boolean() && body["stream"].get<bool>();

    const config::RequestKind* kind = configuration.findKind(model->kind);
    auto timeout = timeoutOf(http, kind ? kind->defaultTimeout : std::chrono::seconds(longestTimeoutSeconds));
    if (auto* refusal = std::get_if<base::Refusal>(&timeout))
        return *refusal;
    request.deadline = now + std::get<base::Duration>(timeout);
    request.kind = model->kind;
    request.pool = model->pool;
    request.promptTokens = base::Tokens(static_cast<int64_t>(request.prompt.size()) / bytesPerToken + 1);
    request.body = http.body;
    if (model->repositoryName != request.targetId) {
        // Upstreams know the model by the name under which its checkpoint is stored.
        body["model"] = model->repositoryName;
        request.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
    }
    return request;
}

ParsedCallerRequest parseServiceRequest(const formats::HttpRequest& http, const config::Configuration& configuration, CallerRequest request, base::Instant now)
{
    std::string rest = http.path.substr(servicesPrefix.size());
    size_t slash = rest.find('/');
    request.target = peers::TargetKind::Service;
    request.targetId = rest.substr(0, slash);
    const config::Service* service = configuration.findService(base::ServiceId(request.targetId));
    if (!service)
        return refuse(base::RefusalCode::UnknownService, "this service is not offered");
    request.path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!http.query.empty())
        base::append(request.path, "?", http.query);

    request.idempotent = service->idempotent || http.method == "GET" || http.method == "HEAD";
    request.idempotencyKey = std::string(formats::findHeader(http.headers, "Idempotency-Key"));
    if (!request.idempotent && request.idempotencyKey.empty())
        return refuse(base::RefusalCode::IdempotencyKeyRequired, "calls of this service may run only once: send an Idempotency-Key header, and the same one when you repeat the call");
    if (request.idempotencyKey.size() > longestIdempotencyKey)
        return refuse(base::RefusalCode::BadRequest, base::concat("Idempotency-Key: at most ", longestIdempotencyKey, " characters"));

    const config::RequestKind* kind = configuration.findKind(service->kind);
    auto timeout = timeoutOf(http, kind ? kind->defaultTimeout : std::chrono::seconds(longestTimeoutSeconds));
    if (auto* refusal = std::get_if<base::Refusal>(&timeout))
        return *refusal;
    request.deadline = now + std::get<base::Duration>(timeout);
    request.kind = service->kind;
    request.pool = service->pool;
    request.promptTokens = service->cost;
    request.body = http.body;
    return request;
}

bool startsWith(const std::string& text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

int64_t retryMilliseconds(base::Instant now, base::Instant retryAt)
{
    // Rounded up: a caller that comes back at the named time must not find the refusal still standing.
    return base::toMilliseconds(base::remaining(now, retryAt) + std::chrono::microseconds(999));
}

} // namespace

ParsedCallerRequest parseCallerRequest(const formats::HttpRequest& http, const config::Configuration& configuration, base::Instant now)
{
    CallerRequest request;
    const config::ClientAccount* account = authenticate(http, configuration, request.key);
    if (!account)
        return refuse(base::RefusalCode::Unauthorized, "no account has this key");
    request.account = account->id;
    request.httpMethod = http.method;
    request.path = http.path;
    request.contentType = std::string(formats::findHeader(http.headers, "Content-Type"));
    request.fingerprint = base::sha256Hex(base::concat(account->id, "\n", http.path, "\n", http.body));

    if (http.path == "/v1/models" && http.method == "GET")
        return ModelListRequest { account->id };
    bool completion = http.path == "/v1/chat/completions" || http.path == "/v1/completions";
    if (completion && http.method == "POST")
        return parseModelRequest(http, configuration, std::move(request), now);
    if (startsWith(http.path, servicesPrefix))
        return parseServiceRequest(http, configuration, std::move(request), now);
    return refuse(base::RefusalCode::BadRequest, "POST /v1/chat/completions, POST /v1/completions, GET /v1/models and /v1/services/{name}/... are served here");
}

std::string refusalBody(const base::Refusal& refusal, base::Instant now)
{
    Json error {
        { "message", refusal.message },
        { "type", httpStatus(refusal.code) >= 500 ? "server_error" : "invalid_request_error" },
        { "code", std::string(refusalCodeName(refusal.code)) },
        { "ran", std::string(ranStateName(refusal.ran)) },
        { "retry_after_ms", nullptr },
    };
    if (refusal.retryAt)
        error["retry_after_ms"] = retryMilliseconds(now, *refusal.retryAt);
    return Json { { "error", error } }.dump(-1, ' ', false, Json::error_handler_t::replace);
}

formats::HttpHeaders refusalHeaders(const base::Refusal& refusal, base::Instant now)
{
    formats::HttpHeaders headers { { "Content-Type", "application/json" } };
    if (refusal.retryAt) {
        constexpr int64_t millisecondsPerSecond = 1000;
        int64_t seconds = (retryMilliseconds(now, *refusal.retryAt) + millisecondsPerSecond - 1) / millisecondsPerSecond;
        headers.push_back({ "Retry-After", base::concat(seconds) });
    }
    if (refusal.code == base::RefusalCode::Unauthorized)
        headers.push_back({ "WWW-Authenticate", "Bearer" });
    return headers;
}

std::string modelListBody(const config::Configuration& configuration)
{
    Json models = Json::array();
    for (const config::Model& model : configuration.models)
        models.push_back({ { "id", model.id.value() }, { "object", "model" }, { "owned_by", "toucanstep" } });
    return Json { { "object", "list" }, { "data", models } }.dump();
}

} // namespace toucanstep::gateway
