#include "Tool.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/cli/Command.h"

#include <nlohmann/json.hpp>

using namespace toucanstep;
using namespace toucanstep::cli::test;

TEST_GROUP(CommandLine)
{
    // A file that the test's end removes.
    std::string writeFile(const std::string& content)
    {
        std::string name = "/tmp/toucanstep-cli-XXXXXX";
        int descriptor = mkstemp(name.data());
        CHECK_TRUE(descriptor >= 0);
        close(descriptor);
        std::ofstream(name) << content;
        m_files.push_back(name);
        return name;
    }

    // The sample with one part replaced.
    std::string writeChanged(const std::string& part, const std::string& replacement)
    {
        std::string text = contentOf(sample);
        size_t offset = text.find(part);
        CHECK_TRUE(offset != std::string::npos);
        return writeFile(text.replace(offset, part.size(), replacement));
    }

    void teardown() override
    {
        for (const std::string& name : m_files)
            std::remove(name.c_str());
    }

    std::vector<std::string> m_files;
};

TEST(CommandLine, CheckIsSilentAboutACleanText)
{
    ToolRun outcome = runTool({ "check", sample });
    CHECK_EQUAL(0, outcome.status);
    STRCMP_EQUAL("", outcome.output.c_str());
    STRCMP_EQUAL("", outcome.errors.c_str());
}

TEST(CommandLine, CheckPrintsPlacePathAndSuggestion)
{
    std::string file = writeChanged("\"burst\"", "\"brust\"");
    ToolRun outcome = runTool({ "check", file });
    CHECK_EQUAL(1, outcome.status);
    std::string expected = file + ":5:14: error: accounts.first.burst: required field is missing (add \"burst\")\n" + file + ":6:32: error: accounts.first.brust: unknown field (did you mean \"burst\"?)\n";
    STRCMP_EQUAL(expected.c_str(), outcome.output.c_str());
}

TEST(CommandLine, CheckPrintsFindingsAsJson)
{
    ToolRun outcome = runTool({ "check", "--format", "json", writeChanged("24GiB", "24") });
    CHECK_EQUAL(1, outcome.status);
    auto finding = nlohmann::json::parse(outcome.output).at("findings").at(0);
    STRCMP_EQUAL("pools.language.memory", finding.at("path").get<std::string>().c_str());
    CHECK_EQUAL(10, finding.at("line").get<int>());
}

TEST(CommandLine, AFileThatCannotBeReadHasAStatusOfItsOwn)
{
    CHECK_EQUAL(2, runTool({ "check", "/nowhere/at/all.json" }).status);
    ToolRun folder = runTool({ "check", "/tmp" });
    CHECK_EQUAL(2, folder.status);
    STRCMP_EQUAL("toucanstep: cannot read \"/tmp\"\n", folder.errors.c_str());
    CHECK_EQUAL(1, runTool({ "check", writeFile("") }).status);
}

TEST(CommandLine, DiffNamesWhatChanged)
{
    ToolRun outcome = runTool({ "diff", sample, writeChanged("20000", "30000") });
    CHECK_EQUAL(1, outcome.status);
    STRCMP_EQUAL("changed accounts.first.burst: 20000 -> 30000\n", outcome.output.c_str());
    CHECK_EQUAL(0, runTool({ "diff", sample, sample }).status);
    CHECK_EQUAL(2, runTool({ "diff", sample, writeChanged("20000", "0") }).status);
    CHECK_EQUAL(2, runTool({ "diff", sample }).status);
}

TEST(CommandLine, ANewKeyMatchesItsDigestAndFitsTheText)
{
    ToolRun outcome = runTool({ "key", "new", "--account", "first", "--note", "desk \"one\"" });
    CHECK_EQUAL(0, outcome.status);
    size_t start = outcome.output.find("ts-");
    std::string key = outcome.output.substr(start, outcome.output.find('\n') - start);
    CHECK_EQUAL(67, key.size());
    std::string entry = outcome.output.substr(outcome.output.find('{'));
    STRCMP_CONTAINS(base::sha256Hex(key).c_str(), entry.c_str());
    CHECK_EQUAL(0, runTool({ "check", writeChanged("\"keys\": [", "\"keys\": [" + entry) }).status);
    CHECK_TRUE(runTool({ "key", "new" }).output != runTool({ "key", "new" }).output);
}

TEST(CommandLine, UnknownCommandsAndOptionsNameTheNearest)
{
    ToolRun command = runTool({ "chekc", sample });
    CHECK_EQUAL(2, command.status);
    STRCMP_CONTAINS("there is no command \"chekc\"; did you mean \"check\"?", command.errors.c_str());
    STRCMP_CONTAINS("did you mean \"key new\"?", runTool({ "key", "nwe" }).errors.c_str());
    ToolRun option = runTool({ "check", "--fromat", "json", sample });
    CHECK_EQUAL(2, option.status);
    STRCMP_CONTAINS("there is no option \"--fromat\"; did you mean \"--format\"?", option.errors.c_str());
    // The first letters of an option are not the option.
    CHECK_EQUAL(2, runTool({ "check", "--form", "json", sample }).status);
    CHECK_EQUAL(2, runTool({ "check", "--format", "xml", sample }).status);
}

TEST(CommandLine, EveryCommandHasHelpWithAnExampleAndExitStatuses)
{
    std::string list = runTool({ "--help" }).output;
    for (const cli::Command* command : cli::allCommands()) {
        STRCMP_CONTAINS(command->name().c_str(), list.c_str());
        std::istringstream words(command->name() + " --help");
        std::vector<std::string> arguments { std::istream_iterator<std::string>(words), {} };
        ToolRun help = runTool(arguments);
        CHECK_EQUAL(0, help.status);
        STRCMP_CONTAINS(command->example().c_str(), help.output.c_str());
        STRCMP_CONTAINS("Exit status\n  0  ", help.output.c_str());
    }
    CHECK_TRUE(cli::allCommands().size() >= 3);
    CHECK_EQUAL(2, runTool({}).status);
}
