#include "OutputFormat.h"
#include "TextFile.h"
#include "toucanstep/cli/Command.h"

#include <nlohmann/json.hpp>

namespace toucanstep::cli {

namespace {

nlohmann::json asJson(const base::Finding& finding)
{
    return {
        { "file", finding.place.file },
        { "line", finding.place.line },
        { "column", finding.place.column },
        { "severity", finding.severity == base::Severity::Error ? "error" : "warning" },
        { "path", finding.path },
        { "message", finding.message },
        { "suggestion", finding.suggestion },
    };
}

std::string asJson(const base::Findings& findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const base::Finding& finding : findings.all())
        list.push_back(asJson(finding));
    // Names in the text may hold bytes that are no UTF-8; they are shown replaced.
    return nlohmann::json { { "findings", std::move(list) } }.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

SettingsChecker& settingsChecker()
{
    static SettingsChecker checker;
    return checker;
}

int checkSettings(const std::string& file, const std::string& text, internal::OutputFormat format, Streams streams)
{
    auto findings = settingsChecker()(text);
    if (format == internal::OutputFormat::Json) {
        nlohmann::json list = nlohmann::json::array();
        for (const auto& finding : findings)
            list.push_back({ { "file", file }, { "severity", "error" }, { "message", finding } });
        streams.output << nlohmann::json { { "findings", std::move(list) } }.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
    } else {
        for (const auto& finding : findings)
            streams.output << file << ": error: " << finding << "\n";
    }
    return findings.empty() ? exitGood : exitFindings;
}

class CheckCommand final : public Command {
public:
    std::string name() const override { return "check"; }
    std::string summary() const override { return "Check a text, or the settings file of a direct gateway, and print every finding with its place."; }
    std::string example() const override { return "toucanstep check samples/clampwise.json"; }
    std::vector<ExitStatus> exitStatuses() const override
    {
        return {
            { exitGood, "the text is clean" },
            { exitFindings, "there are findings, errors or warnings" },
            { exitUnusable, "the file cannot be read, or the command line is wrong" },
        };
    }

    void declare(Syntax& syntax) const override
    {
        syntax.addOperand("FILE", "the text; a direct gateway's settings file ends with .toml");
        internal::declareFormat(syntax);
    }

    int run(const Arguments& arguments, Streams streams) const override
    {
        auto format = internal::readFormat(arguments, streams.errors);
        if (!format)
            return exitUnusable;
        std::string file = arguments.text("FILE");
        auto text = internal::readTextFile(file, streams.errors);
        if (!text)
            return exitUnusable;
        if (file.ends_with(".toml") && settingsChecker())
            return checkSettings(file, *text, *format, streams);
        base::Findings findings = config::parseConfiguration(file, *text).findings;
        if (*format == internal::OutputFormat::Json)
            streams.output << asJson(findings) << "\n";
        else
            streams.output << findings.render();
        return findings.empty() ? exitGood : exitFindings;
    }
};

const RegisterCommand<CheckCommand> registration;

} // namespace

void setSettingsChecker(SettingsChecker checker)
{
    settingsChecker() = std::move(checker);
}

} // namespace toucanstep::cli
