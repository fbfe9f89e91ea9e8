#include "toucanstep/gateway/CallerRequest.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/config/Parser.h"
#include "toucanstep/testing/Property.h"

#include <nlohmann/json.hpp>

using namespace toucanstep;
using namespace toucanstep::gateway;

namespace {

constexpr std::string_view key = "the-key";

std::string text()
{
    return R"({
      "kinds": { "chat": { "defaultTimeout": "30s" } },
      "accounts": { "farm": { "tokensPerSecond": 100, "burst": 1000, "keys": [{ "sha256": ")"
        + base::sha256Hex(key) + R"(" }] } },
      "pools": { "language": { "kind": "engines", "memory": "24GiB" }, "application": { "kind": "services" } },
      "models": { "clamp": { "pool": "language", "kind": "chat", "memory": "8GiB", "repositoryName": "clamp-7b" } },
      "services": { "orders": { "pool": "application", "kind": "chat", "idempotent": false, "retention": "1h", "cost": 3 } }
    })";
}

} // namespace

TEST_GROUP(CallerRequest)
{
    std::shared_ptr<const config::Configuration> m_configuration;
    base::Instant m_now { std::chrono::hours(3) };

    void setup() override
    {
        auto parsed = config::parseConfiguration("text", text());
        CHECK_TRUE_TEXT(parsed.configuration != nullptr, parsed.findings.render().c_str());
        m_configuration = parsed.configuration;
    }

    formats::HttpRequest chat(std::string body) const
    {
        return { "POST", "/v1/chat/completions", "", { { "authorization", "Bearer " + std::string(key) } }, std::move(body) };
    }

    base::Refusal refusalOf(const formats::HttpRequest& http) const
    {
        auto parsed = parseCallerRequest(http, *m_configuration, m_now);
        CHECK_TRUE(std::holds_alternative<base::Refusal>(parsed));
        return std::get<base::Refusal>(parsed);
    }

    CallerRequest requestOf(const formats::HttpRequest& http) const
    {
        auto parsed = parseCallerRequest(http, *m_configuration, m_now);
        if (auto* refusal = std::get_if<base::Refusal>(&parsed))
            FAIL(refusal->message.c_str());
        return std::get<CallerRequest>(parsed);
    }
};

TEST(CallerRequest, AChatRequestIsReadWithItsCostAndDeadline)
{
    CallerRequest request = requestOf(chat(R"({"model":"clamp","max_tokens":50,"stream":true,"messages":[{"role":"user","content":"12345678"}]})"));
    STRCMP_EQUAL("farm", request.account.value().c_str());
    CHECK_EQUAL(3, request.promptTokens.value());
    CHECK_EQUAL(53, request.cost().value());
    CHECK_TRUE(request.stream);
    CHECK_TRUE(request.deadline == m_now + std::chrono::seconds(30));
}

TEST(CallerRequest, TheUpstreamSeesTheNameOfTheCheckpoint)
{
    CallerRequest request = requestOf(chat(R"({"model":"clamp","messages":[{"role":"user","content":"x"}]})"));
    STRCMP_EQUAL("clamp-7b", nlohmann::json::parse(request.body)["model"].get<std::string>().c_str());
}

TEST(CallerRequest, TheCallersTimeoutReplacesTheKindsDefault)
{
    auto http = chat(R"({"model":"clamp","messages":[{"role":"user","content":"x"}]})");
    http.headers.push_back({ "Request-Timeout", "2.5" });
    CHECK_TRUE(requestOf(http).deadline == m_now + std::chrono::milliseconds(2500));
    http.headers.back().value = "nan";
    CHECK_TRUE(refusalOf(http).code == base::RefusalCode::BadRequest);
    http.headers.back().value = "1e300";
    CHECK_TRUE(requestOf(http).deadline == m_now + std::chrono::seconds(longestTimeoutSeconds));
}

// A caller without a key, with an unknown one and with one that was withdrawn must not be told apart, or keys could be
// found out by trying.
TEST(CallerRequest, MissingAndUnknownKeysGetTheSameAnswer)
{
    auto missing = chat("{}");
    missing.headers.clear();
    auto unknown = chat("{}");
    unknown.headers = { { "Authorization", "Bearer other" } };
    CHECK_TRUE(refusalOf(missing).code == base::RefusalCode::Unauthorized);
    STRCMP_EQUAL(refusalBody(refusalOf(missing), m_now).c_str(), refusalBody(refusalOf(unknown), m_now).c_str());
}

TEST(CallerRequest, EveryWrongBodyIsRefusedBeforeAnythingRan)
{
    for (const char* body : { "", "[]", "{", "{}", R"({"model":1})", R"({"model":"clamp"})", R"({"model":"clamp","messages":[]})", R"({"model":"clamp","messages":[1]})",
             R"({"model":"clamp","messages":[{"role":"user"}],"max_tokens":0})", R"({"model":"clamp","messages":[{"role":"user"}],"max_tokens":"x"})", R"({"model":"clamp","messages":[{"role":"user"}],"stream":1})" }) {
        base::Refusal refusal = refusalOf(chat(body));
        CHECK_TRUE_TEXT(refusal.code == base::RefusalCode::BadRequest, body);
        CHECK_TRUE(refusal.ran == base::RanState::NotRun);
    }
    CHECK_TRUE(refusalOf(chat(R"({"model":"other","messages":[{"role":"user"}]})")).code == base::RefusalCode::UnknownModel);
}

// A sealing order without an idempotency key cannot be told from its own repeat: run twice, it sends two crews.
TEST(CallerRequest, ACallThatMayRunOnceNeedsItsKey)
{
    formats::HttpRequest http { "POST", "/v1/services/orders/clamps/7", "a=b", { { "Authorization", "Bearer " + std::string(key) } }, "x" };
    CHECK_TRUE(refusalOf(http).code == base::RefusalCode::IdempotencyKeyRequired);
    http.headers.push_back({ "idempotency-key", "k" });
    CallerRequest request = requestOf(http);
    CHECK_FALSE(request.idempotent);
    STRCMP_EQUAL("/clamps/7?a=b", request.path.c_str());
    CHECK_EQUAL(3, request.cost().value());
    http.method = "GET";
    CHECK_TRUE(requestOf(http).idempotent);
}

TEST(CallerRequest, ARefusalTellsWhenToComeBackAndNeverTooEarly)
{
    base::Refusal refusal { base::RefusalCode::RateLimited, base::RanState::NotRun, "later", m_now + std::chrono::microseconds(1500100) };
    auto body = nlohmann::json::parse(refusalBody(refusal, m_now));
    CHECK_EQUAL(1501, body["error"]["retry_after_ms"].get<int>());
    STRCMP_EQUAL("not_run", body["error"]["ran"].get<std::string>().c_str());
    STRCMP_EQUAL("2", std::string(formats::findHeader(refusalHeaders(refusal, m_now), "Retry-After")).c_str());
}
