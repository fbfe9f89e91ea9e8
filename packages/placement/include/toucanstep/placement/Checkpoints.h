// Where a checkpoint lies, and how long a load from there takes.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/config/Configuration.h"

namespace toucanstep::placement {

// Fastest first.
enum class CheckpointTier {
    Memory,
    Disk,
    Remote,
};

// Bytes over the tier's speed; zero where the speed is not set.
base::Duration loadTime(base::Bytes checkpoint, CheckpointTier, const config::LoadLimits&);

} // namespace toucanstep::placement
