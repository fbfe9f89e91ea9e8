#include "FakeHttpSide.h"
#include "Tool.h"

#include "toucanstep/cli/Command.h"

#include <nlohmann/json.hpp>

using namespace toucanstep;
using namespace toucanstep::cli::test;

namespace {

using Exchange = std::shared_ptr<formats::HttpExchange>;

std::string chunk(const std::string& text)
{
    return "data: " + nlohmann::json { { "choices", { { { "delta", { { "content", text } } } } } } }.dump() + "\n\n";
}

std::string refusal(const std::string& ran)
{
    return R"({"error":{"code":"rate_limited","ran":")" + ran + R"(","message":"too much","retry_after_ms":250}})";
}

} // namespace

TEST_GROUP(CallCommand)
{
    ToolRun call(const FakeHttpSide& gateway, const std::string& timeout = "5")
    {
        return runTool({ "call", "--gateway", "http://" + gateway.address(), "--key-file", m_key.name(), "--model", "small", "--prompt", "Is it safe?", "--timeout", timeout });
    }

    TemporaryFile m_key { "ts-secret\n" };
};

TEST(CallCommand, TheAnswerIsPrintedAndTheKeyIsInTheHeaderOnly)
{
    std::string authorization;
    std::string body;
    FakeHttpSide gateway([&](const Exchange& exchange) {
        authorization = std::string(formats::findHeader(exchange->request().headers, "Authorization"));
        body = exchange->request().body;
        exchange->startStream(200, { { "Content-Type", "text/event-stream" } });
        // Pieces end anywhere, also inside an event.
        std::string whole = chunk("Yes, ") + chunk("feed it.") + "data: [DONE]\n\n";
        exchange->write(whole.substr(0, 20));
        exchange->write(whole.substr(20));
        exchange->finish();
    });
    ToolRun run = call(gateway);
    LONGS_EQUAL_TEXT(cli::exitGood, run.status, run.errors.c_str());
    STRCMP_EQUAL("Yes, feed it.\n", run.output.c_str());
    STRCMP_EQUAL("Bearer ts-secret", authorization.c_str());
    STRCMP_EQUAL("small", nlohmann::json::parse(body)["model"].get<std::string>().c_str());
    STRCMP_EQUAL("", run.errors.c_str());
}

TEST(CallCommand, RefusalsAreToldApartByWhetherTheRequestRan)
{
    FakeHttpSide refusing([](const Exchange& exchange) { exchange->respond(429, {}, refusal("not_run")); });
    ToolRun run = call(refusing);
    LONGS_EQUAL(3, run.status);
    STRCMP_EQUAL("toucanstep: refused: rate_limited, not_run: too much; ask again in 250 ms\n", run.errors.c_str());
    FakeHttpSide unsure([](const Exchange& exchange) { exchange->respond(502, {}, refusal("may_have_run")); });
    LONGS_EQUAL(4, call(unsure).status);
}

TEST(CallCommand, AnAnswerWithoutItsEndMarkIsNotTakenForWhole)
{
    // The stream ends cleanly at the level of HTTP, but its last part never came. A caller who trusts the closed
    // connection would act on half an answer.
    FakeHttpSide cut([](const Exchange& exchange) {
        exchange->startStream(200, {});
        exchange->write(chunk("Yes, but"));
        exchange->finish();
    });
    ToolRun run = call(cut);
    LONGS_EQUAL(4, run.status);
    CHECK_TRUE_TEXT(run.prints("Yes, but"), run.output.c_str());
    CHECK_TRUE_TEXT(run.complains("cut"), run.errors.c_str());
}

TEST(CallCommand, ARefusalInsideTheStreamIsReported)
{
    FakeHttpSide broken([](const Exchange& exchange) {
        exchange->startStream(200, {});
        exchange->write(chunk("Yes"));
        exchange->abortAfter("data: " + refusal("may_have_run") + "\n\n");
    });
    ToolRun run = call(broken);
    LONGS_EQUAL(4, run.status);
    CHECK_TRUE_TEXT(run.complains("rate_limited"), run.errors.c_str());
}

TEST(CallCommand, ASilentGatewayIsGivenUp)
{
    // The gateway takes the request and never answers: whether it ran is not known, and the command must still end.
    FakeHttpSide silent([](const Exchange&) {});
    LONGS_EQUAL(4, call(silent, "0.1").status);
}

TEST(CallCommand, AGatewayThatCannotBeReachedAndAWrongKeyFileHaveStatusesOfTheirOwn)
{
    std::vector<std::string> arguments { "call", "--gateway", "http://127.0.0.1:1", "--key-file", m_key.name(), "--model", "small", "--prompt", "Hi" };
    LONGS_EQUAL(5, runTool(arguments).status);
    TemporaryFile two("ts-first\nts-second\n");
    arguments[4] = two.name();
    ToolRun run = runTool(arguments);
    LONGS_EQUAL(cli::exitUnusable, run.status);
    CHECK_FALSE(run.complains("ts-"));
    arguments[4] = "/nowhere/key";
    LONGS_EQUAL(cli::exitUnusable, runTool(arguments).status);
}
