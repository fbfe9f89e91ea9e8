// What the operators' ports of gateways and sidecars tell.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/formats/HttpClient.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::cli::internal {

// One `IP:PORT` out of a list with commas. Empty parts are left out.
std::vector<std::string> splitAddresses(const std::string& list);

struct NodeStatus {
    std::string address;
    // Why the node's status is not known; nothing where it is.
    std::optional<std::string> failure;
    // The document at /status.
    nlohmann::json document;

    base::Revision version() const;
};

// Asks all nodes at once; the results come in the order of the addresses.
std::vector<NodeStatus> askStatus(formats::HttpClient&, const std::vector<std::string>& addresses, base::Instant deadline);

// Asks until each node has `version`, or a later one, in force. Gives the last answers of those that have not by `deadline`.
std::vector<NodeStatus> waitInForce(formats::HttpClient&, std::vector<std::string> addresses, base::Revision version, base::Instant deadline);

} // namespace toucanstep::cli::internal
