#include "FakeHttpSide.h"
#include "Tool.h"

#include "toucanstep/cli/Command.h"

using namespace toucanstep;
using namespace toucanstep::cli::test;

TEST_GROUP(StatusCommand)
{
    FakeHttpSide m_gateway { std::string(R"({"role":"gateway","instance":"g1","configuration":7,"requests":3,"ready":true,"leaving":false})") };
    FakeHttpSide m_sidecar { std::string(R"({"role":"sidecar","instance":"s1","pool":"language","configuration":7,"rows":2,"queued":4,"running":1,)"
                                         R"("memory_taken":8,"memory_capacity":24,"loaded":["a"],"ready":true,"leaving":true})") };
};

TEST(StatusCommand, EachNodeHasOneLine)
{
    ToolRun run = runTool({ "status", "--operator", m_gateway.address() + "," + m_sidecar.address() });
    LONGS_EQUAL(cli::exitGood, run.status);
    std::string expected = m_gateway.address() + " gateway g1 version=7 rows=- requests=3 ready\n"
        + m_sidecar.address() + " sidecar s1 pool=language version=7 rows=2 queued=4 running=1 memory=8/24 loaded=1 leaving\n";
    STRCMP_EQUAL(expected.c_str(), run.output.c_str());
}

TEST(StatusCommand, ANodeThatCannotBeReachedIsSaidSo)
{
    // One node is gone and one answers with something else. The others are shown all the same, and the status tells
    // scripts that the picture is not whole.
    FakeHttpSide other(std::string("hello"));
    ToolRun run = runTool({ "status", "--operator", "127.0.0.1:1," + other.address() + "," + m_gateway.address() });
    LONGS_EQUAL(5, run.status);
    CHECK_TRUE_TEXT(run.prints("127.0.0.1:1 unreachable: "), run.output.c_str());
    CHECK_TRUE_TEXT(run.prints(other.address() + " unreachable: HTTP 200 without a status document"), run.output.c_str());
    CHECK_TRUE_TEXT(run.prints(m_gateway.address() + " gateway g1"), run.output.c_str());
}

TEST(StatusCommand, ASilentNodeIsGivenUpAtTheTimeout)
{
    // The connection stands and no answer ever comes. Without a bound the command would hang with it.
    FakeHttpSide silent([](const std::shared_ptr<formats::HttpExchange>&) {});
    ToolRun run = runTool({ "status", "--operator", silent.address(), "--timeout", "0.2" });
    LONGS_EQUAL(5, run.status);
    CHECK_TRUE(run.prints("unreachable"));
}

TEST(StatusCommand, DifferentVersionsAreToldByTheStatus)
{
    FakeHttpSide behind(std::string(R"({"role":"gateway","instance":"g2","configuration":6})"));
    LONGS_EQUAL(cli::exitFindings, runTool({ "status", "--operator", m_gateway.address() + "," + behind.address() }).status);
    LONGS_EQUAL(cli::exitUnusable, runTool({ "status" }).status);
}
