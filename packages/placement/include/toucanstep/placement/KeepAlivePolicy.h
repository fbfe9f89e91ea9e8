// Policies that decide how long an idle model stays loaded and which idle model is evicted first under memory pressure.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <memory>
#include <optional>

namespace toucanstep::placement {

// A loaded model without running requests.
struct IdleModel {
    base::ModelId model;
    base::Instant idleSince;
    // Expected time to reload the model from the tier that holds its checkpoint.
    base::Duration loadTime {};
    base::Bytes memory;
};

// The time window in which an idle model's next request is predicted.
struct PredictedRequest {
    base::Instant earliest;
    // If no request has arrived by this time, the prediction was wrong.
    base::Instant latest;
};

class KeepAlivePolicy {
public:
    virtual ~KeepAlivePolicy() = default;
    // A request for the model arrived, whether it is loaded or not.
    virtual void onRequest(const base::ModelId&, base::Instant now) = 0;
    // The model's last request ended. Further calls while the model stays idle have no effect.
    virtual void onIdle(const IdleModel&) = 0;
    virtual void forget(const base::ModelId&) = 0;
    // When the model should be unloaded if no request arrives earlier.
    virtual base::Instant keepUntil(const IdleModel&) const = 0;
    // Set only for a model whose idle gaps are regular enough that preloading it for its next request pays off.
    virtual std::optional<PredictedRequest> predictNextRequest(const base::ModelId&) const = 0;
    // Under memory pressure the idle model with the lowest cost is evicted first. Costs of different policies are not
    // comparable.
    virtual double evictionCost(const IdleModel&, base::Instant now) const = 0;
};

struct LearntKeepAliveSettings {
    // How many idle seconds cost as much as one second of a caller waiting for a load.
    double idleSecondsPerWaitSecond = 4;
    // Idle gaps observed before the model's own history is used; until then the policy follows the ski-rental rule.
    int64_t minimumGapSamples = 8;
    // Exponential decay: the weight of a gap relative to the next newer one.
    double decay = 0.97;
    base::Duration maximumKeepAlive = std::chrono::minutes(30);
    // Gaps count as regular if their standard deviation is at most this fraction of their mean; 0 disables prediction.
    double maximumRelativeDeviation = 0.05;
};

// Uses the keep-alive time that would have had the lowest cost over the model's past idle gaps; falls back to the ski-rental
// rule while there are too few of them.
std::unique_ptr<KeepAlivePolicy> makeLearntKeepAlive(LearntKeepAliveSettings);
// Baseline: a fixed keep-alive time and LRU eviction.
std::unique_ptr<KeepAlivePolicy> makeFixedKeepAlive(base::Duration);

} // namespace toucanstep::placement
