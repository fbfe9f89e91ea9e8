// The process beside one upstream, and the only one that talks to it: admission, fair queue, loads and unloads, memory,
// calls that may run only once.

#pragma once

#include "toucanstep/base/Result.h"
#include "toucanstep/config/Settings.h"
#include "toucanstep/node/Node.h"

#include <memory>

namespace toucanstep::sidecar {

enum class PlacementMode {
    // Loads only models whose replica rows name this instance.
    Rows,
    // Baseline, the first version of the path: any model of the pool may be loaded when it is asked for.
    OnDemand,
};

enum class QueueMode {
    Fair,
    // Baseline: first in, first out.
    Fifo,
};

enum class KeepAliveMode {
    Learnt,
    // Baseline: a fixed time, least recently used goes first.
    Fixed,
};

struct SidecarOptions {
    // A sidecar checks keys a second time, and hears of new versions with every request: it polls less often.
    node::NodeOptions node { .configurationPollInterval = std::chrono::seconds(5) };
    PlacementMode placement = PlacementMode::Rows;
    QueueMode queue = QueueMode::Fair;
    KeepAliveMode keepAlive = KeepAliveMode::Learnt;
    base::Duration fixedKeepAlive = std::chrono::minutes(5);
    // Loads ask for a permit of the weight store; off for the baseline without permits.
    bool loadPermits = true;
};

class Sidecar {
public:
    static base::Result<std::unique_ptr<Sidecar>> start(config::ProcessSettings, SidecarOptions = {});
    virtual ~Sidecar() = default;

    virtual base::Endpoint peerEndpoint() const = 0;
    virtual uint16_t operatorPort() const = 0;
    // Takes no new work, finishes what runs and gives its rows back; drained() tells when it may end.
    virtual void leave() = 0;
    virtual bool drained() const = 0;
};

} // namespace toucanstep::sidecar
