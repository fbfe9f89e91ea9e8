#include "Explanation.h"
#include "OperatorPorts.h"
#include "ServiceOptions.h"
#include "TextFile.h"
#include "toucanstep/base/Text.h"

namespace toucanstep::cli {

namespace {

using namespace internal;

constexpr int exitRefused = 3;
constexpr int64_t mostEngines = 1000;
constexpr base::Duration answerLimit = std::chrono::seconds(3);

std::optional<placement::CheckpointTier> readTier(const std::string& name)
{
    if (name == "memory")
        return placement::CheckpointTier::Memory;
    if (name == "disk")
        return placement::CheckpointTier::Disk;
    if (name == "remote")
        return placement::CheckpointTier::Remote;
    return std::nullopt;
}

// The options; nothing, with a message, where they are not usable.
std::optional<Question> readQuestion(const Arguments& arguments, std::ostream& errors)
{
    auto model = readRequired(arguments, "model", errors);
    auto account = readRequired(arguments, "account", errors);
    auto prompt = readNumber(arguments.text("prompt-tokens"));
    auto maximum = readNumber(arguments.text("max-tokens"));
    auto tier = readTier(arguments.text("tier"));
    if (!prompt || !maximum || !tier)
        errors << "toucanstep explain: --prompt-tokens and --max-tokens take whole numbers, --tier one of memory, disk, remote\n";
    if (!model || !account || !prompt || !maximum || !tier)
        return std::nullopt;
    Question question { base::ModelId(*model), base::ClientAccountId(*account), base::Tokens(*prompt), base::Tokens(*maximum), std::nullopt, *tier };
    if (arguments.text("timeout").empty())
        return question;
    question.timeout = readSeconds(arguments, "timeout", errors);
    return question.timeout ? std::optional(question) : std::nullopt;
}

int64_t numberIn(const nlohmann::json& document, const char* name)
{
    auto found = document.find(name);
    return found != document.end() && found->is_number_integer() ? found->get<int64_t>() : 0;
}

// The engine behind a sidecar's status; nothing for any other node.
std::optional<AssumedEngine> engineOf(const NodeStatus& status, const config::Configuration& configuration)
{
    const nlohmann::json& document = status.document;
    auto pool = document.find("pool");
    if (pool == document.end() || !pool->is_string())
        return std::nullopt;
    const config::UpstreamPool* known = configuration.findPool(base::PoolId(pool->get<std::string>()));
    if (!known || known->kind != config::PoolKind::Engines)
        return std::nullopt;
    AssumedEngine engine;
    auto name = document.find("instance");
    engine.instance.id = base::UpstreamId(name != document.end() && name->is_string() ? name->get<std::string>() : status.address);
    engine.instance.pool = known->id;
    // Each in a domain of its own, since the status does not tell.
    engine.instance.domain = base::FailureDomain(engine.instance.id.value());
    engine.instance.memory = known->memory;
    engine.inFlight = numberIn(document, "running");
    engine.leaving = document.contains("leaving") && document["leaving"].is_boolean() && document["leaving"].get<bool>();
    if (engine.leaving)
        engine.instance.presence = placement::HolderPresence::Leaving;
    if (auto loaded = document.find("loaded"); loaded != document.end() && loaded->is_array()) {
        for (const nlohmann::json& model : *loaded) {
            if (model.is_string())
                engine.loaded.push_back(base::ModelId(model.get<std::string>()));
        }
    }
    for (const base::ModelId& model : engine.loaded)
        engine.instance.cached.push_back({ model, placement::CheckpointTier::Memory });
    return engine;
}

AssumedFleet fetchFleet(const std::vector<std::string>& addresses, const config::Configuration& configuration)
{
    formats::HttpClient client;
    AssumedFleet fleet;
    for (const NodeStatus& status : askStatus(client, addresses, base::deadlineAfter(base::SteadyClock().now(), answerLimit))) {
        if (status.failure) {
            fleet.assumptions.push_back(base::concat(status.address, " is left out, since it cannot be reached: ", *status.failure));
            continue;
        }
        if (auto engine = engineOf(status, configuration))
            fleet.engines.push_back(std::move(*engine));
        else
            fleet.assumptions.push_back(base::concat(status.address, " is left out, since it is no sidecar of an engine in a pool of the text"));
    }
    fleet.assumptions.push_back(base::concat("the engines are the ", fleet.engines.size(), " whose sidecars answered, each in a failure domain of its own"));
    fleet.assumptions.push_back("the requests that run there are about to end");
    return fleet;
}

class ExplainCommand final : public Command {
public:
    std::string name() const override { return "explain"; }
    std::string summary() const override { return "Tell why a request would be routed, placed or refused, by a dry run of the decisions."; }
    std::string example() const override { return "toucanstep explain samples/first.json --model small --account first --max-tokens 300"; }
    std::vector<ExitStatus> exitStatuses() const override
    {
        return {
            { exitGood, "the request would be served" },
            { exitUnusable, "the text cannot be read or is not clean, or the command line is wrong" },
            { exitRefused, "the request would be refused" },
            { exitUnreachable, "with --operator: no sidecar of an engine answered" },
        };
    }

    void declare(Syntax& syntax) const override
    {
        syntax.addOperand("FILE", "the text");
        syntax.addOption("model", "the model's id in the text");
        syntax.addOption("account", "the client account's id in the text");
        syntax.addOption("prompt-tokens", "tokens of the prompt", "100");
        syntax.addOption("max-tokens", "the most tokens of the answer", "256");
        syntax.addOption("timeout", "seconds in which the answer is of use; by default those of the model's kind");
        syntax.addOption("tier", "where a cold engine finds the checkpoint: memory, disk or remote", "remote");
        syntax.addOption("engines", "engines to invent in each pool", "3");
        syntax.addOption("operator", "operator ports of sidecars to ask instead of inventing engines, IP:PORT with commas");
    }

    int run(const Arguments& arguments, Streams streams) const override
    {
        auto question = readQuestion(arguments, streams.errors);
        auto engines = readNumber(arguments.text("engines"));
        if (!engines || *engines > mostEngines)
            streams.errors << "toucanstep explain: --engines takes a whole number of at most " << mostEngines << "\n";
        if (!question || !engines || *engines > mostEngines)
            return exitUnusable;
        int status = exitGood;
        auto configuration = readConfigurationFile(arguments.text("FILE"), streams.errors, status);
        if (!configuration)
            return status;
        std::vector<std::string> addresses = splitAddresses(arguments.text("operator"));
        AssumedFleet fleet = addresses.empty() ? inventFleet(*configuration, static_cast<int>(*engines)) : fetchFleet(addresses, *configuration);
        if (!addresses.empty() && fleet.engines.empty()) {
            for (const std::string& assumption : fleet.assumptions)
                streams.errors << "toucanstep explain: " << assumption << "\n";
            return exitUnreachable;
        }
        return explain(*question, *configuration, fleet, streams.output) ? exitRefused : exitGood;
    }
};

const RegisterCommand<ExplainCommand> registration;

} // namespace

} // namespace toucanstep::cli
