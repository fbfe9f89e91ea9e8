#include "OutputFormat.h"
#include "TextFile.h"
#include "toucanstep/cli/Command.h"
#include "toucanstep/config/Difference.h"

#include <nlohmann/json.hpp>

namespace toucanstep::cli {

namespace {

std::string asJson(const std::vector<config::Change>& changes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const config::Change& change : changes)
        list.push_back({ { "change", std::string(config::changeKindName(change.kind)) }, { "path", change.path }, { "before", change.before }, { "after", change.after } });
    return nlohmann::json { { "changes", std::move(list) } }.dump(2);
}

class DiffCommand final : public Command {
public:
    std::string name() const override { return "diff"; }
    std::string summary() const override { return "Show what is added, dropped and changed between two texts, by path."; }
    std::string example() const override { return "toucanstep diff before.json after.json"; }
    std::vector<ExitStatus> exitStatuses() const override
    {
        return {
            { exitGood, "the two texts say the same" },
            { exitFindings, "there are differences" },
            { exitUnusable, "a file cannot be read or is not clean, or the command line is wrong" },
        };
    }

    void declare(Syntax& syntax) const override
    {
        syntax.addOperand("OLD", "the text before");
        syntax.addOperand("NEW", "the text after");
        internal::declareFormat(syntax);
    }

    int run(const Arguments& arguments, Streams streams) const override
    {
        auto format = internal::readFormat(arguments, streams.errors);
        if (!format)
            return exitUnusable;
        int status = exitGood;
        auto before = internal::readConfigurationFile(arguments.text("OLD"), streams.errors, status);
        auto after = internal::readConfigurationFile(arguments.text("NEW"), streams.errors, status);
        if (!before || !after)
            return status;
        std::vector<config::Change> changes = config::difference(*before, *after);
        if (*format == internal::OutputFormat::Json)
            streams.output << asJson(changes) << "\n";
        else
            streams.output << config::renderDifference(changes);
        return changes.empty() ? exitGood : exitFindings;
    }
};

const RegisterCommand<DiffCommand> registration;

} // namespace

} // namespace toucanstep::cli
