// Requests of the kinds that callers of the two deployments send.

#pragma once

#include "Callers.h"
#include "Deployment.h"

#include <random>
#include <vector>

namespace toucanstep::bench {

// Prompt and answer of the steady traffic; together what one request is charged.
inline constexpr int64_t steadyPromptTokens = 60;
inline constexpr int64_t steadyAnswerTokens = 120;

struct SteadyTraffic {
    base::Duration length = std::chrono::seconds(25);
    // Part of each account's rate that it uses.
    double partOfRate = 0.6;
    // Of the requests, how many go to an adapter of a warm model, and how many are orders that may run only once.
    double adapters = 0.3;
    double orders = 0;
    int64_t answerTokens = steadyAnswerTokens;
    base::Duration timeout = std::chrono::seconds(15);
};

// The models that steady traffic asks for; they fit into the fleet all at once.
std::vector<base::ModelId> warmModels(const Deployment&);
PlannedRequest chat(const config::ClientAccount&, const base::ModelId&, std::mt19937_64&);
// One order of each account at each gateway: from then on limits and calls are placed, also those of the baselines.
std::vector<PlannedRequest> firstOrders(const Deployment&, std::mt19937_64&);
// One request for each warm model, and the orders once more.
std::vector<PlannedRequest> warmUpTraffic(const Deployment&, std::mt19937_64&);
std::vector<PlannedRequest> steadyTraffic(const Deployment&, const SteadyTraffic&, std::mt19937_64&);
// What one account sends at that many times its rate.
std::vector<PlannedRequest> accountTraffic(const Deployment&, const config::ClientAccount&, const SteadyTraffic&, std::mt19937_64&);

} // namespace toucanstep::bench
