// How long a new request would wait for a slot of an upstream.
//
// Gateways and sidecars use the same calculation, so that a gateway does not send what the sidecar would refuse.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <vector>

namespace toucanstep::routing {

// What one client account has queued at an upstream, and what it has lately been served there.
struct AccountBacklog {
    base::ClientAccountId account;
    int64_t weight = 1;
    base::Tokens queued;
    // Tokens a second over about the last ten seconds: it is expected to ask for as much in the next ones.
    base::Tokens servedPerSecond;
};

// Exact figures of a sidecar about its own upstream.
struct UpstreamLoad {
    int64_t slots = 1;
    // Expected speed of one stream, in tokens a second.
    int64_t tokensPerSecond = 50;
    int64_t inFlight = 0;
    // Tokens that the requests in flight are still expected to take.
    base::Tokens inFlightTokens;
    // Only accounts that have something queued or were served lately.
    std::vector<AccountBacklog> backlog;
};

// A request that is not queued yet.
struct NewRequest {
    base::ClientAccountId account;
    int64_t accountWeight = 1;
    base::Tokens cost;
};

// Tokens that a fair queue serves before a new request that waits for `wait`: those of its own account, and of every other
// account what it has queued, but at most as much as its own and the request, scaled by the weights. So another's long queue
// is not waited for. An account that was lately served more than its fair part also waits for what the others go on to ask for.
base::Tokens tokensAhead(const std::vector<AccountBacklog>&, const NewRequest&, base::Duration wait);

// Zero while a slot is free: what is queued then waits for something else, for example for a model's load.
base::Duration expectedWait(const UpstreamLoad&, const NewRequest&);

} // namespace toucanstep::routing
