// The process that callers talk to: keys, limits, routing, answers.

#pragma once

#include "toucanstep/base/Result.h"
#include "toucanstep/config/Settings.h"
#include "toucanstep/node/Node.h"

#include <memory>

namespace toucanstep::gateway {

enum class LimitMode {
    // Shares of every limit are held by gateways under assignments.
    Shares,
    // Baseline: each of the listed gateways has 1/N of every limit.
    Static,
};

enum class RouteMode {
    ExpectedWait,
    // Baseline: any connected holder, evenly.
    Random,
};

enum class HomeMode {
    // Holders are the instances that the replica rows name.
    Rows,
    // Baseline, the first version of the path: the home is found by hashing over the listed instances.
    Hash,
};

struct GatewayOptions {
    node::NodeOptions node;
    LimitMode limits = LimitMode::Shares;
    RouteMode routing = RouteMode::ExpectedWait;
    HomeMode homes = HomeMode::Rows;
};

class Gateway {
public:
    static base::Result<std::unique_ptr<Gateway>> start(config::ProcessSettings, GatewayOptions = {});
    virtual ~Gateway() = default;

    virtual uint16_t callerPort() const = 0;
    virtual base::Endpoint peerEndpoint() const = 0;
    virtual uint16_t operatorPort() const = 0;
    // Takes no new work, finishes what runs and hands its rows over; drained() tells when it may end.
    virtual void leave() = 0;
    virtual bool drained() const = 0;
};

} // namespace toucanstep::gateway
