// A gateway that talks to upstreams itself: callers' HTTP on one side, engines and services on the other, and between them
// keys, limits, routing and the placement of models. One loop thread; whoever starts it waits for the process's signals.
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
#include "toucanstep/direct/WireFormat.h"
#include "toucanstep/http1/Client.h"

#include <functional>
#include <memory>

namespace toucanstep::direct {

struct DirectGatewaySettings {
    base::InstanceId instance;
    base::FailureDomain domain;
    base::Endpoint callers;
    base::Endpoint readiness;
    // Datagrams and operators' HTTP of this gateway; other gateways reach it there.
    base::Endpoint peers;
    // The whole fleet starts for the first time: no planner was before.
    bool firstStart = false;
    // How long the planner's duty outlives its holder.
    base::Duration plannerLease = std::chrono::milliseconds(1500);
    // Between the orders of two planners. None is needed where engines refuse orders with an older fence.
    base::Duration plannerHandoverDelay {};
    // A change in the store must be in force here within this time.
    base::Duration changePropagationLimit = std::chrono::seconds(2);
    // From SIGTERM to SIGKILL.
    base::Duration terminationGrace = std::chrono::seconds(8);
    // Sends beyond the first of each call, over all gateways and a window: a part of the calls, and a number more.
    double retryRatio = 0.2;
    int64_t retrySlack = 50;
};

// How the store is watched where each answer of a watch is a call that is paid for.
struct WatchPollSettings {
    // Of upstreams, which change often: between an answer and the next call, so that changes come together.
    base::Duration pollDelay {};
    // Of the desired state, which seldom changes: how long one call waits for a change. A connection that has gone silent is
    // noticed a moment later.
    base::Duration longPollTimeout {};
};

// Makes the store's client.
using StoreFactory = std::function<std::unique_ptr<base::KeyValueStore>(io::EventLoop&, http1::Client&, WatchPollSettings)>;

class DirectGateway {
public:
    // Fails where an address cannot be bound.
    static base::Result<std::unique_ptr<DirectGateway>> start(DirectGatewaySettings, std::shared_ptr<const WireFormat>, StoreFactory);
    virtual ~DirectGateway() = default;
    // Not ready from now on; what runs and what still comes is served.
    virtual void leave() = 0;
    // Nothing runs any more, or the grace is nearly over.
    virtual bool drained() const = 0;
    virtual base::Endpoint callerEndpoint() const = 0;
};

} // namespace toucanstep::direct
