#include "AnswerStream.h"
#include "ServiceOptions.h"
#include "TextFile.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace toucanstep::cli {

namespace {

using namespace internal;

constexpr int exitNotRun = 3;
constexpr int exitMayHaveRun = 4;
// The gateway refuses at the deadline; its refusal needs a little time to arrive.
constexpr base::Duration grace = std::chrono::seconds(2);

// The key in a file, without the spaces and line ends around it. Nothing, with a message that does not show it, where the
// file holds anything else.
std::optional<std::string> readKey(const std::string& file, std::ostream& errors)
{
    auto content = readTextFile(file, errors);
    if (!content)
        return std::nullopt;
    constexpr std::string_view blanks = " \t\r\n";
    size_t begin = content->find_first_not_of(blanks);
    size_t end = content->find_last_not_of(blanks);
    std::string key = begin == std::string::npos ? std::string() : content->substr(begin, end - begin + 1);
    // A line end inside would begin another header.
    bool printable = std::all_of(key.begin(), key.end(), [](char character) { return character > ' ' && character < '\x7f'; });
    if (!key.empty() && printable)
        return key;
    errors << "toucanstep: \"" << file << "\" does not hold one key and nothing else\n";
    return std::nullopt;
}

struct Call {
    std::string gateway;
    std::string key;
    std::string model;
    std::string prompt;
    std::optional<int64_t> maximumTokens;
    base::Duration timeout {};
};

std::optional<Call> readCall(const Arguments& arguments, std::ostream& errors)
{
    auto gateway = readRequired(arguments, "gateway", errors);
    auto keyFile = readRequired(arguments, "key-file", errors);
    auto model = readRequired(arguments, "model", errors);
    auto prompt = readRequired(arguments, "prompt", errors);
    auto timeout = readSeconds(arguments, "timeout", errors);
    if (!gateway || !keyFile || !model || !prompt || !timeout)
        return std::nullopt;
    std::string maximum = arguments.text("max-tokens");
    Call call { *gateway, {}, *model, *prompt, readNumber(maximum), *timeout };
    if (!call.maximumTokens && !maximum.empty()) {
        errors << "toucanstep: --max-tokens takes a whole number\n";
        return std::nullopt;
    }
    auto key = readKey(*keyFile, errors);
    if (!key)
        return std::nullopt;
    call.key = std::move(*key);
    return call;
}

formats::HttpCall toHttp(const Call& call)
{
    nlohmann::json body {
        { "model", call.model },
        { "stream", true },
        { "messages", { { { "role", "user" }, { "content", call.prompt } } } },
    };
    if (call.maximumTokens)
        body["max_tokens"] = *call.maximumTokens;
    formats::HttpCall http;
    http.method = "POST";
    http.url = base::concat(call.gateway, "/v1/chat/completions");
    http.headers = {
        { "Authorization", base::concat("Bearer ", call.key) },
        { "Content-Type", "application/json" },
        { "Request-Timeout", base::concat(base::toSeconds(call.timeout)) },
    };
    http.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    http.deadline = base::deadlineAfter(base::SteadyClock().now(), call.timeout + grace);
    return http;
}

int reportRefusal(const RefusalText& refusal, std::ostream& errors)
{
    errors << "toucanstep: refused: " << refusal.code << ", " << refusal.ran << ": " << refusal.message;
    if (refusal.retryAfterMilliseconds)
        errors << "; ask again in " << *refusal.retryAfterMilliseconds << " ms";
    errors << "\n";
    return refusal.ran == "not_run" ? exitNotRun : exitMayHaveRun;
}

int report(const AnswerEnding& ending, Streams streams)
{
    if (ending.status)
        streams.output << "\n";
    if (ending.refusal)
        return reportRefusal(*ending.refusal, streams.errors);
    if (ending.error && ending.error->kind == base::ErrorKind::Unavailable) {
        streams.errors << "toucanstep: the gateway cannot be reached: " << ending.error->message << "\n";
        return exitUnreachable;
    }
    // The end mark alone tells that nothing is missing; a connection may close cleanly before it.
    if (ending.whole)
        return exitGood;
    streams.errors << "toucanstep: the answer was cut: " << (ending.error ? ending.error->message : base::concat("HTTP ", ending.status, " without an end mark")) << "\n";
    return exitMayHaveRun;
}

class CallCommand final : public Command {
public:
    std::string name() const override { return "call"; }
    std::string summary() const override { return "Ask a model and print its answer as it comes."; }
    std::string example() const override
    {
        return "toucanstep call --gateway http://127.0.0.1:8080 --key-file farm.key --model clamp-narrative --prompt \"Is the face safe?\"";
    }
    std::vector<ExitStatus> exitStatuses() const override
    {
        return {
            { exitGood, "the whole answer was printed" },
            { exitUnusable, "the key's file cannot be read, or the command line is wrong" },
            { exitNotRun, "refused, and the request did not run" },
            { exitMayHaveRun, "refused or cut, and the request may have run" },
            { exitUnreachable, "the gateway cannot be reached; nothing was sent" },
        };
    }

    void declare(Syntax& syntax) const override
    {
        syntax.addOption("gateway", "URL of a gateway, by IP number");
        // A key in the arguments would show in the list of processes and in the shell's history.
        syntax.addOption("key-file", "file that holds the caller's key");
        syntax.addOption("model", "the model's id in the text");
        syntax.addOption("prompt", "what to ask");
        syntax.addOption("max-tokens", "the most tokens of the answer");
        syntax.addOption("timeout", "seconds in which the answer is of use", "30");
    }

    int run(const Arguments& arguments, Streams streams) const override
    {
        auto call = readCall(arguments, streams.errors);
        if (!call)
            return exitUnusable;
        formats::HttpClient client;
        auto stream = std::make_shared<AnswerStream>(streams.output);
        std::future<AnswerEnding> ending = stream->ending();
        auto handle = client.start(toHttp(*call), stream);
        return report(ending.get(), streams);
    }
};

const RegisterCommand<CallCommand> registration;

} // namespace

} // namespace toucanstep::cli
