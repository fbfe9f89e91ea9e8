#include "EngineStream.h"

#include "PrefixCache.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/fakes/FakeEngine.h"

#include <charconv>

namespace toucanstep::fakes::internal {

using base::concat;
using Json = nlohmann::json;

namespace {

int64_t numberHeader(const formats::HttpHeaders& headers, std::string_view name)
{
    auto text = formats::findHeader(headers, name);
    int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string promptOf(const Json& body, bool chat)
{
    if (!chat)
        return body.at("prompt").get<std::string>();
    std::string prompt;
    for (const auto& message : body.at("messages"))
        prompt += (prompt.empty() ? "" : "\n") + message.at("content").get<std::string>();
    return prompt;
}

int64_t tokensOf(const Json& body, int64_t defaultTokens)
{
    if (body.contains("max_completion_tokens"))
        return body.at("max_completion_tokens").get<int64_t>();
    return body.value("max_tokens", defaultTokens);
}

} // namespace

EngineStream::EngineStream(std::shared_ptr<formats::HttpExchange> exchange, int64_t defaultTokens, bool honoursResume)
    : m_exchange(std::move(exchange))
{
    const auto& request = m_exchange->request();
    Json body = Json::parse(request.body);
    m_chat = request.path == "/v1/chat/completions";
    m_model = body.at("model").get<std::string>();
    m_prompt = promptOf(body, m_chat);
    m_promptTokens = static_cast<int64_t>(m_prompt.size()) / charactersPerToken + 1;
    m_tokens = tokensOf(body, defaultTokens);
    m_streaming = body.value("stream", false);
    m_includeUsage = body.contains("stream_options") && body.at("stream_options").value("include_usage", false);
    m_id = std::string(formats::findHeader(request.headers, "X-Request-Id"));
    m_priority = numberHeader(request.headers, "X-Request-Priority");
    if (honoursResume)
        m_firstToken = m_nextToken = std::min(m_tokens, numberHeader(request.headers, "X-Resume-Offset"));
}

bool EngineStream::advance()
{
    if (!begun && m_streaming && !silenced)
        m_exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
    begun = true;
    if (m_nextToken < m_tokens) {
        std::string text = FakeEngine::answerText(m_model, m_prompt, m_nextToken + 1, m_nextToken);
        ++m_nextToken;
        if (m_streaming)
            writeEvent(chunk(text, m_nextToken == m_tokens));
    }
    if (m_nextToken < m_tokens)
        return false;
    finish();
    return true;
}

void EngineStream::writeEvent(const Json& event)
{
    if (!silenced)
        m_exchange->write(concat("data: ", event.dump(), "\n\n"));
}

Json EngineStream::envelope(const char* object) const
{
    return { { "id", m_id }, { "object", object }, { "created", 0 }, { "model", m_model } };
}

Json EngineStream::chunk(const std::string& text, bool last) const
{
    Json choice = { { "index", 0 }, { "finish_reason", last ? Json("length") : Json() } };
    if (m_chat)
        choice["delta"] = { { "content", text } };
    else
        choice["text"] = text;
    Json json = envelope(m_chat ? "chat.completion.chunk" : "text_completion");
    json["choices"] = Json::array({ std::move(choice) });
    return json;
}

Json EngineStream::usage() const
{
    return { { "prompt_tokens", m_promptTokens }, { "completion_tokens", m_tokens }, { "total_tokens", m_promptTokens + m_tokens } };
}

void EngineStream::finish()
{
    if (silenced)
        return;
    if (m_streaming) {
        if (m_includeUsage) {
            Json last = envelope(m_chat ? "chat.completion.chunk" : "text_completion");
            last["choices"] = Json::array();
            last["usage"] = usage();
            writeEvent(last);
        }
        m_exchange->write("data: [DONE]\n\n");
        m_exchange->finish();
        return;
    }
    std::string text = FakeEngine::answerText(m_model, m_prompt, m_tokens, m_firstToken);
    Json choice = { { "index", 0 }, { "finish_reason", "length" } };
    if (m_chat)
        choice["message"] = { { "role", "assistant" }, { "content", std::move(text) } };
    else
        choice["text"] = std::move(text);
    Json json = envelope(m_chat ? "chat.completion" : "text_completion");
    json["choices"] = Json::array({ std::move(choice) });
    json["usage"] = usage();
    m_exchange->respond(200, { { "Content-Type", "application/json" } }, json.dump());
}

} // namespace toucanstep::fakes::internal
