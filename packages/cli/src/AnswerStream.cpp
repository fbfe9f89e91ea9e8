#include "AnswerStream.h"

#include <nlohmann/json.hpp>

namespace toucanstep::cli::internal {

namespace {

constexpr int statusOk = 200;
constexpr bool throwing = false;
constexpr std::string_view dataPrefix = "data:";
constexpr std::string_view endMark = "[DONE]";

std::string textOf(const nlohmann::json& object, const char* name)
{
    auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

// The refusal in a body or event; nothing where it has another shape.
std::optional<RefusalText> readRefusal(const nlohmann::json& document)
{
    if (!document.is_object() || !document.contains("error") || !document["error"].is_object())
        return std::nullopt;
    const nlohmann::json& error = document["error"];
    RefusalText refusal { textOf(error, "code"), textOf(error, "ran"), textOf(error, "message"), std::nullopt };
    if (auto retry = error.find("retry_after_ms"); retry != error.end() && retry->is_number_integer())
        refusal.retryAfterMilliseconds = retry->get<int64_t>();
    return refusal;
}

// The text of a chunk in OpenAI's shape; empty for a chunk without any.
std::string deltaOf(const nlohmann::json& document)
{
    if (!document.is_object() || !document.contains("choices") || !document["choices"].is_array() || document["choices"].empty())
        return {};
    const nlohmann::json& choice = document["choices"].front();
    if (!choice.is_object() || !choice.contains("delta") || !choice["delta"].is_object())
        return {};
    return textOf(choice["delta"], "content");
}

} // namespace

void AnswerStream::onData(std::string_view data)
{
    m_pending += data;
    if (m_ending.status != statusOk)
        return;
    size_t begin = 0;
    for (size_t end = m_pending.find('\n'); end != std::string::npos; end = m_pending.find('\n', begin)) {
        onLine(std::string_view(m_pending).substr(begin, end - begin));
        begin = end + 1;
    }
    m_pending.erase(0, begin);
}

void AnswerStream::onLine(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (line.substr(0, dataPrefix.size()) != dataPrefix)
        return;
    line.remove_prefix(dataPrefix.size());
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    onEvent(line);
}

void AnswerStream::onEvent(std::string_view event)
{
    if (event == endMark) {
        m_ending.whole = true;
        return;
    }
    nlohmann::json document = nlohmann::json::parse(event, nullptr, throwing);
    if (auto refusal = readRefusal(document))
        m_ending.refusal = refusal;
    else
        m_output << deltaOf(document) << std::flush;
}

void AnswerStream::onEnd(std::optional<base::Error> error)
{
    m_ending.error = std::move(error);
    if (m_ending.status != statusOk)
        m_ending.refusal = readRefusal(nlohmann::json::parse(m_pending, nullptr, throwing));
    m_promise.set_value(m_ending);
}

} // namespace toucanstep::cli::internal
