#include "FakeHttpSide.h"
#include "Tool.h"

#include "toucanstep/cli/Command.h"

using namespace toucanstep;
using namespace toucanstep::cli::test;

TEST_GROUP(ExplainCommand) {
    ToolRun explain(const std::string& file, std::vector<std::string> more = {}, const std::string& model = "small") {
        std::vector<std::string> arguments { "explain", file, "--model", model, "--account", "first" };
arguments.insert(arguments.end(), more.begin(), more.end());
return runTool(arguments);
}
}
;

TEST(ExplainCommand, ARequestThatIsServedShowsEveryStepAndWhatIsAssumed)
{
    ToolRun run = explain(sample);
    LONGS_EQUAL_TEXT(cli::exitGood, run.status, run.output.c_str());
    for (const char* part : { "assumed: ", "request: model small", "limits: cost 356 tokens against a burst of 20000", "placement: row 0 at language-", "routing: language-", "sidecar: cold", "result: served" })
        CHECK_TRUE_TEXT(run.prints(part), run.output.c_str());
    STRCMP_EQUAL(run.output.c_str(), explain(sample).output.c_str());
}

TEST(ExplainCommand, ACostAboveTheBurstIsRefusedAsSuch)
{
    LONGS_EQUAL(cli::exitGood, explain(sample, { "--prompt-tokens", "0", "--max-tokens", "20000" }).status);
    ToolRun run = explain(sample, { "--prompt-tokens", "1", "--max-tokens", "20000" });
    LONGS_EQUAL(3, run.status);
    CHECK_TRUE_TEXT(run.prints("result: refused cost_above_burst, not_run"), run.output.c_str());
}

TEST(ExplainCommand, ALoadThatEndsTooLateIsRefusedByTheSidecar)
{
    // A caller wants an answer at once from a model that is loaded nowhere, and is refused. The operator wonders why: the
    // load from the weight store alone takes longer than the caller waits.
    TemporaryFile slow(replaced(contentOf(sample), "\"memory\": \"8GiB\" }", "\"memory\": \"8GiB\", \"checkpoint\": \"8GiB\" }"));
    ToolRun run = explain(slow.name(), { "--timeout", "1.5" });
    LONGS_EQUAL_TEXT(3, run.status, run.output.c_str());
    CHECK_TRUE_TEXT(run.prints("result: refused deadline_unreachable, not_run"), run.output.c_str());
    CHECK_TRUE_TEXT(run.prints("ask again in"), run.output.c_str());
    LONGS_EQUAL(cli::exitGood, explain(slow.name(), { "--timeout", "1.5", "--tier", "memory" }).status);
}

TEST(ExplainCommand, UnknownNamesAndPoolsWithoutEnginesAreRefused)
{
    CHECK_TRUE(explain(sample, {}, "smal").prints("refused unknown_model"));
    CHECK_TRUE(runTool({ "explain", sample, "--model", "small", "--account", "second" }).prints("refused unauthorized"));
    ToolRun run = explain(sample, { "--engines", "0" });
    LONGS_EQUAL(3, run.status);
    CHECK_TRUE_TEXT(run.prints("placement: no row") && run.prints("refused no_capacity"), run.output.c_str());
}

TEST(ExplainCommand, TheStateOfTheFleetCanBeFetched)
{
    FakeHttpSide sidecar(std::string(R"({"role":"sidecar","instance":"s1","pool":"language","running":1,"loaded":["small"],"leaving":false})"));
    FakeHttpSide gateway(std::string(R"({"role":"gateway","instance":"g1","requests":0})"));
    ToolRun run = explain(sample, { "--operator", sidecar.address() + "," + gateway.address() + ",127.0.0.1:1" });
    LONGS_EQUAL_TEXT(cli::exitGood, run.status, run.output.c_str());
    for (const char* part : { "assumed: the engines are the 1 whose sidecars answered", "is left out, since it is no sidecar", "127.0.0.1:1 is left out", "routing: s1", "sidecar: loaded" })
        CHECK_TRUE_TEXT(run.prints(part), run.output.c_str());
    LONGS_EQUAL(5, explain(sample, { "--operator", "127.0.0.1:1" }).status);
}

TEST(ExplainCommand, WrongCallsHaveAStatusOfTheirOwn)
{
    LONGS_EQUAL(cli::exitUnusable, explain("/nowhere/text.json").status);
    LONGS_EQUAL(cli::exitUnusable, explain(sample, { "--max-tokens", "many" }).status);
    LONGS_EQUAL(cli::exitUnusable, explain(sample, { "--tier", "tape" }).status);
    LONGS_EQUAL(cli::exitUnusable, explain(sample, { "--engines", "1001" }).status);
    LONGS_EQUAL(cli::exitUnusable, runTool({ "explain", sample, "--model", "small" }).status);
}
