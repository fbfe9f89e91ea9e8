#include "OperatorPorts.h"
#include "ServiceOptions.h"
#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::cli {

namespace {

using namespace internal;

// A number of the document; a dash where the node does not tell it.
std::string number(const nlohmann::json& document, const char* name)
{
    auto found = document.find(name);
    return found != document.end() && found->is_number_integer() ? std::to_string(found->get<int64_t>()) : "-";
}

std::string text(const nlohmann::json& document, const char* name)
{
    auto found = document.find(name);
    return found != document.end() && found->is_string() ? found->get<std::string>() : "-";
}

bool flag(const nlohmann::json& document, const char* name)
{
    auto found = document.find(name);
    return found != document.end() && found->is_boolean() && found->get<bool>();
}

std::string loadOf(const nlohmann::json& document)
{
    if (document.contains("requests"))
        return base::concat("requests=", number(document, "requests"));
    std::string load = base::concat("queued=", number(document, "queued"), " running=", number(document, "running"));
    if (document.contains("memory_capacity"))
        base::append(load, " memory=", number(document, "memory_taken"), "/", number(document, "memory_capacity"));
    if (auto loaded = document.find("loaded"); loaded != document.end() && loaded->is_array())
        base::append(load, " loaded=", loaded->size());
    return load;
}

std::string describe(const NodeStatus& status)
{
    if (status.failure)
        return base::concat(status.address, " unreachable: ", *status.failure);
    const nlohmann::json& document = status.document;
    std::string line = base::concat(status.address, " ", text(document, "role"), " ", text(document, "instance"));
    if (document.contains("pool"))
        base::append(line, " pool=", text(document, "pool"));
    base::append(line, " version=", status.version(), " rows=", number(document, "rows"), " ", loadOf(document));
    base::append(line, flag(document, "leaving") ? " leaving" : flag(document, "ready") ? " ready"
                                                                                        : " not-ready");
    return line;
}

class StatusCommand final : public Command {
public:
    std::string name() const override { return "status"; }
    std::string summary() const override { return "Show each node's role, version in force, rows held and load, one line each."; }
    std::string example() const override { return "toucanstep status --operator 127.0.0.1:9001,127.0.0.1:9002"; }
    std::vector<ExitStatus> exitStatuses() const override
    {
        return {
            { exitGood, "every node answered, and all have the same version in force" },
            { exitFindings, "every node answered, but the versions differ" },
            { exitUnusable, "the command line is wrong" },
            { exitUnreachable, "at least one node cannot be reached or gives no status" },
        };
    }

    void declare(Syntax& syntax) const override
    {
        syntax.addOption("operator", "operator ports of the nodes, IP:PORT with commas");
        syntax.addOption("timeout", "seconds to wait for the answers", "3");
    }

    int run(const Arguments& arguments, Streams streams) const override
    {
        std::vector<std::string> addresses = splitAddresses(arguments.text("operator"));
        auto timeout = readSeconds(arguments, "timeout", streams.errors);
        if (!timeout)
            return exitUnusable;
        if (addresses.empty()) {
            streams.errors << "toucanstep: --operator is missing\n";
            return exitUnusable;
        }
        formats::HttpClient client;
        std::vector<NodeStatus> nodes = askStatus(client, addresses, base::deadlineAfter(base::SteadyClock().now(), *timeout));
        for (const NodeStatus& node : nodes)
            streams.output << describe(node) << "\n";
        if (std::any_of(nodes.begin(), nodes.end(), [](const NodeStatus& node) { return node.failure.has_value(); }))
            return exitUnreachable;
        bool same = std::all_of(nodes.begin(), nodes.end(), [&](const NodeStatus& node) { return node.version() == nodes.front().version(); });
        return same ? exitGood : exitFindings;
    }
};

const RegisterCommand<StatusCommand> registration;

} // namespace

} // namespace toucanstep::cli
