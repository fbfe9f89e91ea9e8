#include "Callers.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/fakes/FakeEngine.h"

#include <condition_variable>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace toucanstep::bench {

namespace {

using nlohmann::json;

constexpr int connectionTries = 3;
constexpr base::Duration retryDelay = std::chrono::milliseconds(20);
constexpr base::Duration beyondDeadline = std::chrono::seconds(2);
constexpr std::string_view endMark = "[DONE]";
constexpr std::string_view dataPrefix = "data: ";

json parsed(std::string_view text)
{
    constexpr bool throwing = false;
    return json::parse(text, nullptr, throwing);
}

std::string textOfChoice(const json& object, const char* part)
{
    if (!object.is_object() || !object.contains("choices") || object["choices"].empty())
        return {};
    const json& choice = object["choices"][0];
    if (!choice.contains(part) || !choice[part].contains("content") || !choice[part]["content"].is_string())
        return {};
    return choice[part]["content"].get<std::string>();
}

} // namespace

std::string answerOf(const std::string& body, bool stream, bool& whole)
{
    whole = false;
    if (!stream) {
        json object = parsed(body);
        whole = object.is_object() && object.contains("choices");
        return textOfChoice(object, "message");
    }
    std::istringstream lines(body);
    std::string line;
    std::string text;
    while (std::getline(lines, line)) {
        if (line.rfind(dataPrefix, 0) != 0)
            continue;
        std::string data = line.substr(dataPrefix.size());
        if (data.rfind(endMark, 0) == 0)
            whole = true;
        else
            text += textOfChoice(parsed(data), "delta");
    }
    return text;
}

// One request with its retries where no gateway takes the connection. Lives until it has ended.
class Callers::Call final : public formats::HttpListener, public std::enable_shared_from_this<Callers::Call> {
public:
    Call(PlannedRequest planned, base::Instant begin)
    {
        m_outcome.intendedAt = begin + planned.at;
        m_outcome.planned = std::move(planned);
    }

    void send(formats::HttpClient& client, const std::vector<uint16_t>& ports)
    {
        std::lock_guard lock(m_mutex);
        if (ports.empty()) {
            m_outcome.error = "no gateway in service";
            m_outcome.endedAt = std::chrono::steady_clock::now();
            m_ended = true;
            return;
        }
        m_wantsRetry = false;
        const PlannedRequest& planned = m_outcome.planned;
        uint16_t port = ports[(planned.gateway + static_cast<size_t>(m_outcome.connectionRetries)) % ports.size()];
        formats::HttpCall call;
        call.method = "POST";
        call.url = base::concat("http://127.0.0.1:", port, planned.service.empty() ? "/v1/chat/completions" : base::concat("/v1/services/", planned.service, "/run"));
        call.headers = { { "Authorization", "Bearer " + planned.key }, { "Content-Type", "application/json" },
            { "Request-Timeout", base::concat(base::toSeconds(planned.timeout)) } };
        if (!planned.idempotencyKey.empty())
            call.headers.push_back({ "Idempotency-Key", planned.idempotencyKey });
        call.body = bodyOf(planned);
        call.deadline = m_outcome.intendedAt + planned.timeout + beyondDeadline;
        m_handle = client.start(std::move(call), shared_from_this());
    }

    void onStatus(int status, const formats::HttpHeaders& headers) override
    {
        std::lock_guard lock(m_mutex);
        m_outcome.status = status;
        m_outcome.request = base::RequestId(std::string(formats::findHeader(headers, "X-Request-Id")));
    }

    void onData(std::string_view data) override
    {
        std::lock_guard lock(m_mutex);
        if (m_body.empty())
            m_outcome.firstByteAt = std::chrono::steady_clock::now();
        m_body.append(data);
    }

    void onEnd(std::optional<base::Error> error) override
    {
        std::lock_guard lock(m_mutex);
        bool neverReached = error && error->kind == base::ErrorKind::Unavailable && m_outcome.status == 0;
        if (neverReached && m_outcome.connectionRetries + 1 < connectionTries) {
            ++m_outcome.connectionRetries;
            m_wantsRetry = true;
            return;
        }
        m_outcome.endedAt = std::chrono::steady_clock::now();
        judge(error);
        m_body.clear();
        m_ended = true;
    }

    bool ended() const
    {
        std::lock_guard lock(m_mutex);
        return m_ended;
    }
    bool wantsRetry() const
    {
        std::lock_guard lock(m_mutex);
        return m_wantsRetry;
    }
    Outcome outcome() const
    {
        std::lock_guard lock(m_mutex);
        return m_outcome;
    }

private:
    static std::string bodyOf(const PlannedRequest& planned)
    {
        if (!planned.service.empty())
            return json { { "order", planned.prompt } }.dump();
        json message = { { "role", "user" }, { "content", planned.prompt } };
        return json { { "model", planned.model }, { "max_tokens", planned.tokens }, { "stream", planned.stream }, { "messages", { message } } }.dump();
    }

    void judge(const std::optional<base::Error>& error)
    {
        constexpr int firstRefusal = 300;
        constexpr int success = 200;
        if (error)
            m_outcome.error = error->message;
        if (m_outcome.status >= firstRefusal) {
            json body = parsed(m_body);
            if (body.is_object() && body.contains("error") && body["error"].is_object()) {
                m_outcome.code = body["error"].value("code", "");
                m_outcome.ran = body["error"].value("ran", "");
            }
            return;
        }
        if (m_outcome.status < success) {
            m_outcome.cut = true;
            return;
        }
        const PlannedRequest& planned = m_outcome.planned;
        if (!planned.service.empty()) {
            m_outcome.whole = !error;
            m_outcome.cut = !m_outcome.whole;
            return;
        }
        std::string text = answerOf(m_body, planned.stream, m_outcome.whole);
        m_outcome.whole = m_outcome.whole && !error;
        m_outcome.cut = !m_outcome.whole;
        std::string expected = fakes::FakeEngine::answerText(planned.model, planned.prompt, planned.tokens);
        m_outcome.wrong = m_outcome.whole ? text != expected : expected.rfind(text, 0) != 0;
    }

    mutable std::mutex m_mutex;
    Outcome m_outcome;
    std::string m_body;
    std::unique_ptr<formats::HttpCallHandle> m_handle;
    bool m_ended = false;
    bool m_wantsRetry = false;
};

Callers::Callers(Ports ports)
    : m_ports(std::move(ports))
{
}

std::vector<Outcome> Callers::run(std::vector<PlannedRequest> plan, base::Instant begin)
{
    std::sort(plan.begin(), plan.end(), [](const PlannedRequest& left, const PlannedRequest& right) { return left.at < right.at; });
    std::vector<std::shared_ptr<Call>> calls;
    std::vector<std::shared_ptr<Call>> open;
    auto tend = [&] {
        std::erase_if(open, [](const auto& call) { return call->ended(); });
        for (const auto& call : open) {
            if (call->wantsRetry())
                call->send(m_client, m_ports());
        }
    };
    for (PlannedRequest& planned : plan) {
        base::Instant due = begin + planned.at;
        while (std::chrono::steady_clock::now() + retryDelay < due) {
            std::this_thread::sleep_for(retryDelay);
            tend();
        }
        std::this_thread::sleep_until(due);
        calls.push_back(std::make_shared<Call>(std::move(planned), begin));
        open.push_back(calls.back());
        calls.back()->send(m_client, m_ports());
    }
    while (!open.empty()) {
        std::this_thread::sleep_for(retryDelay);
        tend();
    }
    std::vector<Outcome> outcomes;
    for (const auto& call : calls)
        outcomes.push_back(call->outcome());
    return outcomes;
}

} // namespace toucanstep::bench
