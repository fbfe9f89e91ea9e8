// Estimates how long a new request would wait for a slot of an upstream.
//
// Gateways and sidecars use the same calculation, so that a gateway does not send requests that the sidecar would refuse.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <vector>

namespace toucanstep::routing {

// Tokens that one client account has queued at an upstream, and its recent service rate there.
struct AccountBacklog {
    base::ClientAccountId account;
    int64_t weight = 1;
    base::Tokens queued;
    // Average over about the last ten seconds. The account is expected to continue requesting tokens at this rate.
    base::Tokens servedPerSecond;
};

// The load of an upstream as measured by its own sidecar.
struct UpstreamLoad {
    int64_t slots = 1;
    // Expected throughput of one stream.
    int64_t tokensPerSecond = 50;
    int64_t inFlight = 0;
    // Expected remaining tokens of the requests in flight.
    base::Tokens inFlightTokens;
    // Only accounts with queued requests or recent service.
    std::vector<AccountBacklog> backlog;
};

// A request that is not queued yet.
struct NewRequest {
    base::ClientAccountId account;
    int64_t accountWeight = 1;
    base::Tokens cost;
};

// Tokens that a fair queue serves before a new request that waits for `wait`. These are all queued tokens of its own account
// and, of each other account, its queued tokens up to its fair share: the own queued tokens plus the request's cost, scaled by
// the ratio of the weights. So a request does not wait for the whole of another account's long queue. If its account was
// recently served more than its fair share, the tokens that the others are expected to request during `wait` count too.
base::Tokens tokensAhead(const std::vector<AccountBacklog>&, const NewRequest&, base::Duration wait);

// Zero while a slot is free: requests that are queued then wait for something else, for example for a model to load.
base::Duration expectedWait(const UpstreamLoad&, const NewRequest&);

} // namespace toucanstep::routing
