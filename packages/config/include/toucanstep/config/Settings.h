// Settings of one process: its addresses, failure domain, peers and secrets. JSON with comments, checked like the text.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/Findings.h"
#include "toucanstep/base/StrongTypes.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::config {

enum class Role {
    Gateway,
    Sidecar,
};

using base::Endpoint;
using base::parseEndpoint;

struct ProcessSettings {
    Role role = Role::Gateway;
    base::InstanceId instance;
    base::FailureDomain failureDomain;
    // Where other processes of the system reach this one.
    Endpoint peerListen;
    // Health, metrics and status.
    Endpoint operatorListen;
    // Callers' HTTP; gateways only.
    Endpoint callerListen;
    // A few gateways to learn the others from.
    std::vector<Endpoint> peers;
    std::string keyValueUrl;
    std::string instanceListUrl;
    std::string weightStoreUrl;
    // The name of this instance's slice in the platform's list.
    std::string listName;
    // The fleet's secret, read from the file that the settings name. Never logged.
    std::string fleetSecret;
    // Sidecars only: the pool and the upstream beside this process.
    base::PoolId pool;
    std::string upstreamUrl;
    // Where to write the history of decisions, one JSON object a line; empty for none. For tests and the bench.
    std::string historyFile;
};

struct ParsedSettings {
    std::optional<ProcessSettings> settings;
    base::Findings findings;
};

ParsedSettings parseSettings(std::string_view file, std::string_view text);

} // namespace toucanstep::config
