#include "ConfigurationArchive.h"
#include "OperatorPorts.h"
#include "ServiceOptions.h"
#include "TextFile.h"
#include "toucanstep/base/Digest.h"
#include "toucanstep/config/Difference.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <cstdlib>

namespace toucanstep::cli {

namespace {

using namespace internal;

constexpr int exitNotInForce = 6;
constexpr size_t nonceBytes = 16;

// The version to be replaced: a number, or `none` for the first text. Nothing, with a message, for anything else.
std::optional<base::Revision> readExpected(const Arguments& arguments, std::ostream& errors)
{
    std::string text = arguments.text("expect");
    if (text == "none")
        return base::Revision();
    auto number = readNumber(text);
    if (number && *number > 0)
        return base::Revision(*number);
    errors << "toucanstep: --expect takes the version to be replaced, as `toucanstep history` shows it, or \"none\"; it is \"" << text << "\"\n";
    return std::nullopt;
}

std::string readWho(const Arguments& arguments)
{
    if (std::string who = arguments.text("who"); !who.empty())
        return who;
    const char* user = std::getenv("USER");
    return user && *user ? user : "unknown";
}

struct Request {
    std::string file;
    std::string store;
    base::Duration timeout {};
    base::Duration wait {};
    std::vector<std::string> operators;
    Publication publication;
    std::shared_ptr<const config::Configuration> configuration;
};

// The options; nothing, with a message, where they are not usable.
std::optional<Request> readOptions(const Arguments& arguments, std::ostream& errors)
{
    auto store = readRequired(arguments, "store", errors);
    auto expected = readExpected(arguments, errors);
    auto timeout = readSeconds(arguments, "timeout", errors);
    if (!store || !expected || !timeout)
        return std::nullopt;
    Request request;
    request.file = arguments.text("FILE");
    request.store = *store;
    request.timeout = *timeout;
    request.operators = splitAddresses(arguments.text("operator"));
    request.publication.expected = *expected;
    bool waits = !arguments.text("wait").empty();
    if (waits != !request.operators.empty()) {
        errors << "toucanstep: --wait and --operator go together\n";
        return std::nullopt;
    }
    if (waits) {
        auto wait = readSeconds(arguments, "wait", errors);
        if (!wait)
            return std::nullopt;
        request.wait = *wait;
    }
    return request;
}

int reportLostRace(const Request& request, const LostRace& lost, Streams streams)
{
    if (lost.winner.version == base::Revision()) {
        streams.errors << "toucanstep: nothing was published by you: no text is published yet; use --expect none\n";
        return exitLostRace;
    }
    streams.errors << "toucanstep: nothing was published by you: version " << lost.winner.version << " is there, not "
                   << (request.publication.expected == base::Revision() ? "none" : std::to_string(request.publication.expected.value())) << "\n";
    auto winner = config::parseConfiguration("published", lost.winner.text, lost.winner.version);
    if (!winner.configuration) {
        streams.errors << "toucanstep: it cannot be compared, since it is not clean by this program's check\n";
        return exitLostRace;
    }
    streams.output << "from version " << lost.winner.version << " to " << request.file << ":\n"
                   << config::renderDifference(config::difference(*winner.configuration, *request.configuration));
    return exitLostRace;
}

int reportWait(const Request& request, base::Revision version, Streams streams)
{
    formats::HttpClient client;
    std::vector<NodeStatus> behind = waitInForce(client, request.operators, version, base::deadlineAfter(base::SteadyClock().now(), request.wait));
    streams.output << "in force at " << request.operators.size() - behind.size() << " of " << request.operators.size() << " nodes\n";
    for (const NodeStatus& status : behind) {
        streams.output << "not in force at " << status.address << ": ";
        if (status.failure)
            streams.output << *status.failure << "\n";
        else
            streams.output << "has version " << status.version() << "\n";
    }
    return behind.empty() ? exitGood : exitNotInForce;
}

int report(const Request& request, const PublicationOutcome& outcome, Streams streams)
{
    if (const auto* lost = std::get_if<LostRace>(&outcome))
        return reportLostRace(request, *lost, streams);
    if (const auto* unknown = std::get_if<OutcomeUnknown>(&outcome)) {
        streams.errors << "toucanstep: it is not known whether the text was published (" << unknown->reason
                       << "); see `toucanstep history` for nonce " << request.publication.nonce << " before you publish again\n";
        return exitOutcomeUnknown;
    }
    if (const auto* failed = std::get_if<NotPublished>(&outcome)) {
        streams.errors << "toucanstep: nothing was published: " << failed->reason << "\n";
        return exitUnreachable;
    }
    const auto& published = std::get<Published>(outcome);
    streams.output << "published version " << published.version << "\n";
    if (!published.historyHasText)
        streams.errors << "toucanstep: the text is too large for the history, which keeps its digest only\n";
    return request.operators.empty() ? exitGood : reportWait(request, published.version, streams);
}

class PublishCommand final : public Command {
public:
    std::string name() const override { return "publish"; }
    std::string summary() const override { return "Check a text and put it in force in place of the version that it was made from."; }
    std::string example() const override
    {
        return "toucanstep publish samples/first.json --store http://127.0.0.1:2379 --expect none --wait 10 --operator 127.0.0.1:9001,127.0.0.1:9002";
    }
    std::vector<ExitStatus> exitStatuses() const override
    {
        return {
            { exitGood, "published; with --wait, in force at every node that was named" },
            { exitFindings, "the text has errors; nothing was published" },
            { exitUnusable, "the file cannot be read, or the command line is wrong" },
            { exitLostRace, "another version is there than the expected one; nothing was published, and the differences are shown" },
            { exitOutcomeUnknown, "the service's answer was lost and reading back did not settle it: the text may still come into force" },
            { exitUnreachable, "the service cannot be reached or refused the call; nothing was published" },
            { exitNotInForce, "published, but not in force everywhere within the wait" },
        };
    }

    void declare(Syntax& syntax) const override
    {
        syntax.addOperand("FILE", "the text");
        declareStore(syntax);
        syntax.addOption("expect", "the version that the text replaces, or none");
        syntax.addOption("who", "the name that the history shows; by default that of the login");
        syntax.addOption("wait", "seconds to wait until the nodes have the text in force");
        syntax.addOption("operator", "operator ports of the nodes to wait for, IP:PORT with commas");
        declareTimeout(syntax);
    }

    int run(const Arguments& arguments, Streams streams) const override
    {
        auto request = readOptions(arguments, streams.errors);
        if (!request)
            return exitUnusable;
        auto text = readTextFile(request->file, streams.errors);
        if (!text)
            return exitUnusable;
        config::ParsedConfiguration parsed = config::parseConfiguration(request->file, *text);
        streams.errors << parsed.findings.render();
        if (!parsed.configuration)
            return exitFindings;
        request->configuration = parsed.configuration;
        request->publication.text = std::move(*text);
        request->publication.who = readWho(arguments);
        request->publication.when = absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::Now(), absl::UTCTimeZone());
        request->publication.nonce = base::randomHex(nonceBytes);
        auto store = openStore(request->store);
        return report(*request, ConfigurationArchive(*store, request->timeout).publish(request->publication), streams);
    }
};

const RegisterCommand<PublishCommand> registration;

} // namespace

} // namespace toucanstep::cli
