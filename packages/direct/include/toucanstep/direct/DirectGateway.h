// A gateway that connects to upstreams directly. It serves callers over HTTP, forwards their calls to engines and services,
// and handles API keys, limits, routing and model placement. It runs on one event loop thread; the embedding program
// handles signals.
//
//     auto gateway = DirectGateway::start(settings, format, makeStore);
//     ... SIGTERM ...
//     gateway->leave();
//     while (!gateway->drained()) wait;

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/direct/Imports.h"
#include "toucanstep/direct/LoadPolicies.h"
#include "toucanstep/direct/WireFormat.h"
#include "toucanstep/http1/Client.h"

#include <functional>
#include <map>
#include <memory>

namespace toucanstep::direct {

struct DirectGatewaySettings {
    base::InstanceId instance;
    base::FailureDomain domain;
    std::map<base::FailureDomain, base::RegionId> regions;
    base::Endpoint callers;
    base::Endpoint readiness;
    // Address of this gateway for datagrams from other gateways and for operators' HTTP requests.
    base::Endpoint peers;
    // The fleet starts for the first time, so there was no planner before.
    bool firstStart = false;
    // Lease of the planner role: how long the role stays taken after its holder has died.
    base::Duration plannerLease = std::chrono::milliseconds(1500);
    // Minimum delay between orders of successive planners. Zero if engines reject orders with an older fencing token.
    base::Duration plannerHandoverDelay {};
    // Part of a processor core that this gateway may use. Gateways with more of it take the planner role first.
    double processorShare = 1;
    // A change in the store must take effect within this time.
    base::Duration changePropagationLimit = std::chrono::seconds(2);
    // From SIGTERM to SIGKILL.
    base::Duration terminationGrace = std::chrono::seconds(8);
    // Fleet-wide retry budget: in each window this fraction of the calls plus a fixed number.
    double retryRatio = 0.2;
    int64_t retrySlack = 50;
    base::Duration retryWindow = std::chrono::seconds(10);
    // The part of rate x window + burst by which an account's calls may exceed it in a window of that length.
    double limitOvershoot = 0;
    base::Duration limitWindow {};
    LoadPolicies policies;
};

// How the store is watched if each answer to a watch is a billed request.
struct WatchPollSettings {
    // Delay between an answer with changes and the next request, so that changes are batched.
    base::Duration pollDelay {};
    // The same for upstreams, which change often, and by how much it may be longer. Gateways that share the answers then rarely
    // ask at the same moment.
    base::Duration upstreamPollDelay {};
    base::Duration upstreamPollDelaySpread {};
    // For the desired state, which seldom changes: how long one request waits for a change. A connection that has gone
    // silent is detected shortly after this time.
    base::Duration longPollTimeout {};
};

// Creates the client of the store.
using StoreFactory = std::function<std::unique_ptr<base::KeyValueStore>(io::EventLoop&, http1::Client&, WatchPollSettings)>;

class DirectGateway {
public:
    // Fails if an address cannot be bound.
    static base::Result<std::unique_ptr<DirectGateway>> start(DirectGatewaySettings, std::shared_ptr<const WireFormat>, StoreFactory);
    virtual ~DirectGateway() = default;
    // Reports not ready from now on; running and new calls are still served.
    virtual void leave() = 0;
    // No call is running any more, or the termination grace period is nearly over.
    virtual bool drained() const = 0;
    virtual base::Endpoint callerEndpoint() const = 0;
    // Where metrics and status are read, and peers call.
    virtual base::Endpoint operatorEndpoint() const = 0;
};

} // namespace toucanstep::direct
