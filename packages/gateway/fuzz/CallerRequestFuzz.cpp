// Any body and any path of a caller gives a typed request or a refusal, and never ends the process.

#include "toucanstep/base/Digest.h"
#include "toucanstep/config/Parser.h"
#include "toucanstep/gateway/CallerRequest.h"

#include <cstdlib>

using namespace toucanstep;

namespace {

std::shared_ptr<const config::Configuration> configuration()
{
    std::string text = R"({"kinds":{"chat":{"defaultTimeout":"30s"}},"accounts":{"a":{"tokensPerSecond":1,"burst":10,"keys":[{"sha256":")"
        + base::sha256Hex("k") + R"("}]}},"pools":{"p":{"kind":"engines","memory":"24GiB"},"s":{"kind":"services"}},
        "models":{"m":{"pool":"p","kind":"chat","memory":"8GiB","repositoryName":"other"}},
        "services":{"o":{"pool":"s","kind":"chat","idempotent":false,"retention":"1h"}}})";
    return config::parseConfiguration("text", text).configuration;
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    static const std::shared_ptr<const config::Configuration> text = configuration();
    if (!text)
        abort();
    std::string input(reinterpret_cast<const char*>(data), size);
    base::Instant now(std::chrono::hours(1));
    formats::HttpRequest http { "POST", "/v1/chat/completions", "", { { "Authorization", "Bearer k" }, { "Request-Timeout", input.substr(0, 6) } }, input };
    gateway::parseCallerRequest(http, *text, now);
    http.path = "/v1/completions";
    http.headers.pop_back();
    gateway::parseCallerRequest(http, *text, now);
    http.path = "/v1/services/" + input;
    http.headers.push_back({ "Idempotency-Key", input });
    auto parsed = gateway::parseCallerRequest(http, *text, now);
    if (auto* refusal = std::get_if<base::Refusal>(&parsed)) {
        refusal->message += input;
        gateway::refusalBody(*refusal, now);
    }
    return 0;
}
