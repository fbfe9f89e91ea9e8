#include "ConfigurationArchive.h"
#include "ServiceOptions.h"

#include <iomanip>

namespace toucanstep::cli {

namespace {

using namespace internal;

constexpr int versionWidth = 10;
constexpr int whenWidth = 21;
constexpr int whoWidth = 20;
constexpr size_t shownDigest = 16;

void print(const HistoryEntry& entry, std::ostream& output)
{
    output << std::left << std::setw(versionWidth) << entry.version.value() << std::setw(versionWidth) << entry.replaced.value()
           << std::setw(whenWidth) << entry.when << std::setw(whoWidth) << entry.who << " " << entry.digest.substr(0, shownDigest) << "  "
           << entry.nonce << "\n";
}

class HistoryCommand final : public Command {
public:
    std::string name() const override { return "history"; }
    std::string summary() const override { return "Show the last versions of the text, with who published them and when, or print one."; }
    std::string example() const override { return "toucanstep history --store http://127.0.0.1:2379"; }
    std::vector<ExitStatus> exitStatuses() const override
    {
        return {
            { exitGood, "the history was read; it may be empty" },
            { exitFindings, "the version that --text names is not kept, or without its text" },
            { exitUnusable, "the command line is wrong" },
            { exitUnreachable, "the service cannot be reached or refused the call" },
        };
    }

    void declare(Syntax& syntax) const override
    {
        declareStore(syntax);
        syntax.addOption("text", "print the text of this version instead");
        declareTimeout(syntax);
    }

    int run(const Arguments& arguments, Streams streams) const override
    {
        auto url = readRequired(arguments, "store", streams.errors);
        auto timeout = readSeconds(arguments, "timeout", streams.errors);
        auto wanted = readNumber(arguments.text("text"));
        if (!url || !timeout)
            return exitUnusable;
        if (!wanted && !arguments.text("text").empty()) {
            streams.errors << "toucanstep: --text takes a version\n";
            return exitUnusable;
        }
        auto store = openStore(*url);
        auto outcome = ConfigurationArchive(*store, *timeout).history();
        if (auto* error = std::get_if<base::Error>(&outcome)) {
            streams.errors << "toucanstep: the history cannot be read: " << error->message << "\n";
            return exitUnreachable;
        }
        const auto& entries = std::get<std::vector<HistoryEntry>>(outcome);
        return wanted ? printText(entries, base::Revision(*wanted), streams) : printAll(entries, streams);
    }

private:
    static int printAll(const std::vector<HistoryEntry>& entries, Streams streams)
    {
        streams.output << std::left << std::setw(versionWidth) << "version" << std::setw(versionWidth) << "replaced" << std::setw(whenWidth) << "when"
                       << std::setw(whoWidth) << "who"
                       << " " << std::setw(shownDigest) << "digest"
                       << "  nonce\n";
        for (const HistoryEntry& entry : entries)
            print(entry, streams.output);
        return exitGood;
    }

    static int printText(const std::vector<HistoryEntry>& entries, base::Revision version, Streams streams)
    {
        for (const HistoryEntry& entry : entries) {
            if (entry.version != version || !entry.text)
                continue;
            streams.output << *entry.text;
            return exitGood;
        }
        streams.errors << "toucanstep: the history does not keep the text of version " << version << "\n";
        return exitFindings;
    }
};

const RegisterCommand<HistoryCommand> registration;

} // namespace

} // namespace toucanstep::cli
