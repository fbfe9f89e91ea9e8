#include "toucanstep/placement/Checkpoints.h"

namespace toucanstep::placement {

namespace {

base::Bytes speedOf(CheckpointTier tier, const config::LoadLimits& limits)
{
    switch (tier) {
    case CheckpointTier::Memory:
        return limits.memoryBytesPerSecond;
    case CheckpointTier::Disk:
        return limits.diskBytesPerSecond;
    case CheckpointTier::Remote:
        return limits.remoteBytesPerSecond;
    }
    return limits.remoteBytesPerSecond;
}

} // namespace

base::Duration loadTime(base::Bytes checkpoint, CheckpointTier tier, const config::LoadLimits& limits)
{
    auto speed = speedOf(tier, limits);
    if (speed.value() <= 0)
        return base::Duration::zero();
    std::chrono::duration<double> seconds(static_cast<double>(checkpoint.value()) / static_cast<double>(speed.value()));
    return std::chrono::duration_cast<base::Duration>(seconds);
}

} // namespace toucanstep::placement
