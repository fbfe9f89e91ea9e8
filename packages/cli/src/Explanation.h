// A dry run of the decisions about one request, by the same libraries that gateways and sidecars run.
//
// The state of the fleet is invented or was read from the operators' ports; what of it is assumed is listed with it. The
// order is that of a real request: the account's limit, the rows of the model, the gateway's routing, the sidecar's check.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/config/Configuration.h"
#include "toucanstep/placement/ReplicaPlan.h"
#include "toucanstep/routing/ExpectedWait.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace toucanstep::cli::internal {

struct Question {
    base::ModelId model;
    base::ClientAccountId account;
    base::Tokens promptTokens;
    base::Tokens maximumTokens;
    // The kind's default where it is absent.
    std::optional<base::Duration> timeout;
    // Where a cold engine would find the checkpoint.
    placement::CheckpointTier tier = placement::CheckpointTier::Remote;
};

struct AssumedEngine {
    placement::EngineInstance instance;
    int64_t inFlight = 0;
    base::Tokens inFlightTokens;
    bool leaving = false;
    std::vector<base::ModelId> loaded;
};

struct AssumedFleet {
    std::vector<AssumedEngine> engines;
    // Each one sentence, for the reader.
    std::vector<std::string> assumptions;
};

// Idle engines with nothing loaded, over three failure domains, in every pool of engines.
AssumedFleet inventFleet(const config::Configuration&, int enginesPerPool);

// Writes one line for each step, and gives the refusal that the caller would get; nothing where the request is served.
std::optional<base::Refusal> explain(const Question&, const config::Configuration&, const AssumedFleet&, std::ostream&);

} // namespace toucanstep::cli::internal
