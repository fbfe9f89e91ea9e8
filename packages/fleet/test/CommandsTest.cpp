#include "FleetFixture.h"

#include "toucanstep/cli/Command.h"
#include "toucanstep/cli/CommandLine.h"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace toucanstep;
using namespace toucanstep::fleet;

namespace {

class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& content)
        : m_name("/tmp/toucanstep-fleet-XXXXXX")
    {
        int descriptor = mkstemp(m_name.data());
        CHECK_TRUE(descriptor >= 0);
        close(descriptor);
        std::ofstream(m_name) << content;
    }
    ~TemporaryFile() { std::remove(m_name.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;

    const std::string& name() const { return m_name; }

private:
    std::string m_name;
};

struct ToolRun {
    int status = 0;
    std::string output;
    std::string errors;
};

ToolRun runTool(const std::vector<std::string>& arguments)
{
    std::ostringstream output;
    std::ostringstream errors;
    int status = cli::runCommandLine(arguments, output, errors);
    return { status, output.str(), errors.str() };
}

} // namespace

TEST_GROUP(Commands)
{
    std::unique_ptr<EmbeddedFleet> m_fleet;

    void setup() override { m_fleet = std::make_unique<EmbeddedFleet>(fleetOptions()); }
    void teardown() override { m_fleet.reset(); }

    std::string operatorPorts() const { return base::concat("127.0.0.1:", m_fleet->operatorPort(0), ",127.0.0.1:", m_fleet->operatorPort(1)); }

    ToolRun publish(const std::string& file, const std::string& expected)
    {
        return runTool({ "publish", file, "--store", m_fleet->store().url(), "--expect", expected, "--wait", "30", "--operator", operatorPorts() });
    }

    ToolRun call(std::string_view key)
    {
        TemporaryFile keyFile { std::string(key) };
        std::string gateway = base::concat("http://127.0.0.1:", m_fleet->callerPort(0));
        return runTool({ "call", "--gateway", gateway, "--key-file", keyFile.name(), "--model", "model-c", "--prompt", "hello", "--max-tokens", "5" });
    }
};

// An operator publishes a text, sees it in force at running gateways, and asks a model. Then a key leaves the text: once
// publish says that the text is in force, no gateway takes the key any more.
TEST(Commands, WhatIsPublishedIsInForceAtRunningGateways)
{
    TemporaryFile first(fleetText());
    ToolRun published = publish(first.name(), "none");
    LONGS_EQUAL_TEXT(cli::exitGood, published.status, (published.output + published.errors).c_str());
    CHECK_TRUE(published.output.find("in force at 2 of 2 nodes") != std::string::npos);
    CHECK_TRUE(m_fleet->waitServing(chatCall("model-c", "warm up", 1, false), generous));
    ToolRun status = runTool({ "status", "--operator", operatorPorts() });
    LONGS_EQUAL_TEXT(cli::exitGood, status.status, status.output.c_str());
    CHECK_TRUE_TEXT(status.output.find(" gateway gateway-0 version=") != std::string::npos, status.output.c_str());
    CHECK_TRUE_TEXT(status.output.find("rows=-") == std::string::npos, status.output.c_str());
    ToolRun answered = call(otherKey);
    LONGS_EQUAL_TEXT(cli::exitGood, answered.status, answered.errors.c_str());

    TemporaryFile second(fleetText({ .withOtherKey = false }));
    ToolRun withdrawn = publish(second.name(), std::to_string(m_fleet->store().revision().value()));
    // Rows are written to the same service, so its revision has moved on and is not the version of the text.
    LONGS_EQUAL(3, withdrawn.status);
    std::string version = published.output.substr(std::string("published version ").size());
    withdrawn = publish(second.name(), version.substr(0, version.find('\n')));
    LONGS_EQUAL_TEXT(cli::exitGood, withdrawn.status, (withdrawn.output + withdrawn.errors).c_str());
    ToolRun refused = call(otherKey);
    LONGS_EQUAL(3, refused.status);
    CHECK_TRUE_TEXT(refused.errors.find("unauthorized, not_run") != std::string::npos, refused.errors.c_str());
}
