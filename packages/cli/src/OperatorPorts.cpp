#include "OperatorPorts.h"

#include "toucanstep/base/Text.h"

#include <absl/strings/str_split.h>
#include <future>
#include <thread>

namespace toucanstep::cli::internal {

namespace {

constexpr int statusOk = 200;
constexpr base::Duration pollInterval = std::chrono::milliseconds(100);
// A node that does not answer is asked again in the next round, so that one silent connection does not use up the wait.
constexpr base::Duration answerLimit = std::chrono::seconds(2);

NodeStatus interpret(std::string address, const formats::HttpReply& reply)
{
    NodeStatus status;
    status.address = std::move(address);
    if (reply.error) {
        status.failure = reply.error->message;
        return status;
    }
    constexpr bool throwing = false;
    status.document = nlohmann::json::parse(reply.body, nullptr, throwing);
    if (reply.status != statusOk || !status.document.is_object())
        status.failure = base::concat("HTTP ", reply.status, " without a status document");
    return status;
}

} // namespace

std::vector<std::string> splitAddresses(const std::string& list)
{
    return absl::StrSplit(list, ',', absl::SkipWhitespace());
}

base::Revision NodeStatus::version() const
{
    if (failure)
        return {};
    auto found = document.find("configuration");
    return found != document.end() && found->is_number_integer() ? base::Revision(found->get<int64_t>()) : base::Revision();
}

std::vector<NodeStatus> askStatus(formats::HttpClient& client, const std::vector<std::string>& addresses, base::Instant deadline)
{
    std::vector<std::future<formats::HttpReply>> replies;
    for (const std::string& address : addresses) {
        auto promise = std::make_shared<std::promise<formats::HttpReply>>();
        replies.push_back(promise->get_future());
        formats::HttpCall call;
        call.url = base::concat("http://", address, "/status");
        call.deadline = deadline;
        // A connection kept from an earlier round may have gone silent meanwhile.
        call.freshConnection = true;
        client.fetchAsync(std::move(call), [promise](formats::HttpReply reply) { promise->set_value(std::move(reply)); });
    }
    std::vector<NodeStatus> statuses;
    for (size_t index = 0; index < addresses.size(); ++index)
        statuses.push_back(interpret(addresses[index], replies[index].get()));
    return statuses;
}

std::vector<NodeStatus> waitInForce(formats::HttpClient& client, std::vector<std::string> addresses, base::Revision version, base::Instant deadline)
{
    base::SteadyClock clock;
    while (true) {
        base::Instant roundEnd = std::min(deadline, base::deadlineAfter(clock.now(), answerLimit));
        std::vector<NodeStatus> behind = askStatus(client, addresses, roundEnd);
        std::erase_if(behind, [&](const NodeStatus& status) { return status.version() >= version; });
        if (behind.empty() || clock.now() + pollInterval >= deadline)
            return behind;
        addresses.clear();
        for (const NodeStatus& status : behind)
            addresses.push_back(status.address);
        std::this_thread::sleep_for(pollInterval);
    }
}

} // namespace toucanstep::cli::internal
