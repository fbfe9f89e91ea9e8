#include "ConfigurationArchive.h"
#include "OutputFormat.h"
#include "ServiceOptions.h"
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
    std::string summary() const override { return "Show what is added, dropped and changed from one text, or the published one, to another, by path."; }
    std::string example() const override { return "toucanstep diff before.json after.json"; }
    std::vector<ExitStatus> exitStatuses() const override
    {
        return {
            { exitGood, "the two texts say the same" },
            { exitFindings, "there are differences" },
            { exitUnusable, "a text cannot be read or is not clean, or the command line is wrong" },
            { internal::exitUnreachable, "with --store: the service cannot be reached or refused the call, or no text is published" },
        };
    }

    void declare(Syntax& syntax) const override
    {
        syntax.addOperand("OLD", "the text before; with --store, the text to compare the published one with");
        syntax.addOptionalOperand("NEW", "the text after; not with --store");
        internal::declareStore(syntax);
        internal::declareTimeout(syntax);
        internal::declareFormat(syntax);
    }

    int run(const Arguments& arguments, Streams streams) const override
    {
        auto format = internal::readFormat(arguments, streams.errors);
        if (!format)
            return exitUnusable;
        bool published = !arguments.text("store").empty();
        if (published != arguments.text("NEW").empty()) {
            streams.errors << "toucanstep diff: takes OLD and NEW, or --store and one text\n";
            return exitUnusable;
        }
        int status = exitGood;
        auto before = published ? readPublished(arguments, streams.errors, status) : internal::readConfigurationFile(arguments.text("OLD"), streams.errors, status);
        auto after = internal::readConfigurationFile(arguments.text(published ? "OLD" : "NEW"), streams.errors, status);
        if (!before || !after)
            return status;
        std::vector<config::Change> changes = config::difference(*before, *after);
        if (*format == internal::OutputFormat::Json)
            streams.output << asJson(changes) << "\n";
        else
            streams.output << config::renderDifference(changes);
        return changes.empty() ? exitGood : exitFindings;
    }

private:
    // The configuration in force; nothing, with a message, where it cannot be had. `status` is then the exit status to end with.
    static std::shared_ptr<const config::Configuration> readPublished(const Arguments& arguments, std::ostream& errors, int& status)
    {
        status = exitUnusable;
        auto timeout = internal::readSeconds(arguments, "timeout", errors);
        if (!timeout)
            return nullptr;
        auto store = internal::openStore(arguments.text("store"));
        auto outcome = internal::ConfigurationArchive(*store, *timeout).current();
        if (auto* error = std::get_if<base::Error>(&outcome)) {
            errors << "toucanstep: the published text cannot be read: " << error->message << "\n";
            status = internal::exitUnreachable;
            return nullptr;
        }
        const auto& published = std::get<internal::PublishedVersion>(outcome);
        if (published.version == base::Revision()) {
            errors << "toucanstep: no text is published yet\n";
            status = internal::exitUnreachable;
            return nullptr;
        }
        config::ParsedConfiguration parsed = config::parseConfiguration("published", published.text, published.version);
        if (!parsed.configuration) {
            errors << parsed.findings.render();
            return nullptr;
        }
        status = exitGood;
        errors << "from version " << published.version << "\n";
        return parsed.configuration;
    }
};

const RegisterCommand<DiffCommand> registration;

} // namespace

} // namespace toucanstep::cli
