// Where a gateway charges a request's whole cost before it runs, and gives back what was not used.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/config/Configuration.h"
#include "toucanstep/limits/AdmissionPolicy.h"

#include <functional>
#include <memory>
#include <optional>

namespace toucanstep::gateway::internal {

// Runs on the traffic loop.
class LimitGate {
public:
    // Nothing: admitted. A refusal is always NotRun.
    using Callback = std::function<void(std::optional<base::Refusal>)>;

    virtual ~LimitGate() = default;
    virtual void onConfiguration(const config::Configuration&, base::Instant now) = 0;
    // Calls back exactly once, at once or later.
    virtual void charge(const limits::AccountCharge&, Callback) = 0;
    // An admitted request has ended; `unused` tokens go back.
    virtual void settle(const base::RequestId&, base::Tokens unused) = 0;
};

// Turns a policy's decision into the refusal that the caller gets.
base::Refusal limitRefusal(base::RefusalCode, std::optional<base::Instant> retryAt);

} // namespace toucanstep::gateway::internal
