// Storage tiers of model checkpoints and the expected load time from each.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/config/Configuration.h"

namespace toucanstep::placement {

// Ordered from fastest to slowest.
enum class CheckpointTier {
    Memory,
    Disk,
    Remote,
};

// Checkpoint size divided by the tier's bandwidth; zero if the bandwidth is not configured.
base::Duration loadTime(base::Bytes checkpoint, CheckpointTier, const config::LoadLimits&);

} // namespace toucanstep::placement
