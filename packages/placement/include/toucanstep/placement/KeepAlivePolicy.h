// How long an idle model stays loaded, and which idle model goes first when memory is short.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <memory>
#include <optional>

namespace toucanstep::placement {

// An idle loaded model.
struct IdleModel {
    base::ModelId model;
    base::Instant idleSince;
    // Expected time of loading it again from where its checkpoint lies.
    base::Duration loadTime {};
    base::Bytes memory;
};

// When an idle model's next request is foreseen.
struct ExpectedReturn {
    base::Instant earliest;
    // Past this point the foresight was wrong.
    base::Instant latest;
};

class KeepAlivePolicy {
public:
    virtual ~KeepAlivePolicy() = default;
    // A request for the model arrived, whether it is loaded or not.
    virtual void onRequest(const base::ModelId&, base::Instant now) = 0;
    // The model's last request ended. Said again while it stays idle it changes nothing.
    virtual void onIdle(const IdleModel&) = 0;
    virtual void forget(const base::ModelId&) = 0;
    // When it is to be unloaded if no request comes before.
    virtual base::Instant keepUntil(const IdleModel&) const = 0;
    // Set for a model whose idle gaps are so alike that loading it shortly before its next request pays.
    virtual std::optional<ExpectedReturn> expectedReturn(const base::ModelId&) const = 0;
    // Under memory pressure the idle model with the least cost goes first. Comparable only within one policy.
    virtual double evictionCost(const IdleModel&, base::Instant now) const = 0;
};

struct LearntKeepAliveSettings {
    // Idle seconds that are worth one second of a caller's waiting for a load.
    double idleSecondsPerWaitSecond = 4;
    // Gaps seen before the model's own history decides; ski rental until then.
    int64_t gapsBeforeTrust = 8;
    // Weight of an older gap against the next newer one.
    double decay = 0.97;
    base::Duration longest = std::chrono::minutes(30);
    // Gaps are alike if their standard deviation is at most this part of their mean; 0 foresees nothing.
    double maximumRelativeDeviation = 0.05;
};

// Keeps the model for the time that would have cost least over its own past idle gaps; ski rental while there are few.
std::unique_ptr<KeepAlivePolicy> makeLearntKeepAlive(LearntKeepAliveSettings);
// Baseline: a fixed time, and least recently used goes first.
std::unique_ptr<KeepAlivePolicy> makeFixedKeepAlive(base::Duration);

} // namespace toucanstep::placement
