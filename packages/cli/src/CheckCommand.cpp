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

class CheckCommand final : public Command {
public:
    std::string name() const override { return "check"; }
    std::string summary() const override { return "Check a text and print every finding with its place."; }
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
        syntax.addOperand("FILE", "the text");
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

} // namespace toucanstep::cli
