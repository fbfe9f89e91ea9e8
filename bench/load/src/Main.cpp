// The load and experiment tool: real daemons on loopback before the stand-ins, one scenario, one or two variants.

#include "Run.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <fstream>
#include <glog/logging.h>
#include <iostream>

namespace {

namespace options = boost::program_options;
using namespace toucanstep::bench;

constexpr int exitGood = 0;
constexpr int exitBreaks = 1;
constexpr int exitUnusable = 2;

struct CommandLine {
    RunOptions run;
    std::string variant = "product";
    std::string baseline;
    std::string reportFile;
    std::vector<std::string> words;
    bool json = false;
    bool list = false;
    bool help = false;
};

options::options_description describe(CommandLine& line)
{
    options::options_description described("bench/run SCENARIO [--seed N] [--baseline NAME] [--json]");
    auto add = described.add_options();
    add("help", "show this text");
    add("list", "name the scenarios and variants");
    add("seed", options::value(&line.run.seed), "the same seed gives the same requests at the same times");
    add("variant", options::value(&line.variant), "what to run; the product unless given");
    add("baseline", options::value(&line.baseline), "a second variant, run after the first on the same seed and shown beside it");
    add("json", "print one JSON object a line instead of the table");
    add("keep", "leave settings, logs and histories of the daemons behind");
    add("daemon", options::value(&line.run.daemonProgram), "the daemon's program");
    add("sample", options::value(&line.run.sampleFile), "the operators' text to run on");
    add("version", options::value(&line.run.version), "what the JSON names as the version");
    add("report", options::value(&line.reportFile), "write one HTML page from the JSON files that are named instead of a scenario");
    add("words", options::value(&line.words), "scenario, or JSON files");
    return described;
}

void showList()
{
    for (const auto& scenario : allScenarios())
        std::cout << scenario->name() << ": " << scenario->summary() << "\n";
    std::cout << "\n";
    for (const Variant& variant : allVariants())
        std::cout << variant.name << ": " << variant.summary << "\n";
}

int writeReport(const CommandLine& line)
{
    std::vector<RunResult> results;
    for (const std::string& name : line.words) {
        std::ifstream file(name);
        std::string text;
        if (!file)
            std::cerr << "cannot read " << name << "\n";
        while (std::getline(file, text)) {
            if (auto result = resultFromJson(text))
                results.push_back(*result);
            else
                std::cerr << name << ": a line is no result\n";
        }
    }
    std::ofstream page(line.reportFile);
    page << renderReport(results);
    return page && !results.empty() ? exitGood : exitUnusable;
}

int runVariants(const CommandLine& line)
{
    std::vector<std::string> names { line.variant };
    if (!line.baseline.empty())
        names.push_back(line.baseline);
    std::vector<RunResult> results;
    for (const std::string& name : names) {
        const Variant* variant = findVariant(name);
        if (!variant) {
            std::cerr << "no variant " << name << "; --list names them\n";
            return exitUnusable;
        }
        auto result = runScenario(line.run, *variant, std::cerr);
        if (!result)
            return exitUnusable;
        results.push_back(std::move(*result));
    }
    for (const RunResult& result : results) {
        for (const std::string& text : result.breaks)
            std::cerr << result.variant << " broke " << text << "\n";
        if (line.json)
            std::cout << toJson(result) << "\n";
    }
    if (!line.json)
        std::cout << renderTable(results);
    // A baseline breaks bounds by its nature; the status judges what was asked to run.
    return results.front().boundBreaks.value_or(0) ? exitBreaks : exitGood;
}

} // namespace

int main(int argc, char** argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    FLAGS_minloglevel = google::GLOG_ERROR;
    std::signal(SIGPIPE, SIG_IGN);
    CommandLine line;
    options::options_description described = describe(line);
    try {
        options::positional_options_description positional;
        positional.add("words", -1);
        options::variables_map values;
        options::store(options::command_line_parser(argc, argv).options(described).positional(positional).run(), values);
        options::notify(values);
        line.help = values.contains("help");
        line.list = values.contains("list");
        line.json = values.contains("json");
        line.run.keepFolder = values.contains("keep");
    } catch (const options::error& error) {
        std::cerr << error.what() << "\n"
                  << described;
        return exitUnusable;
    }
    if (line.list) {
        showList();
        return exitGood;
    }
    if (!line.reportFile.empty())
        return writeReport(line);
    if (line.help || line.words.size() != 1 || !findScenario(line.words.front())) {
        std::cout << described;
        return line.help ? exitGood : exitUnusable;
    }
    line.run.scenario = line.words.front();
    return runVariants(line);
}
