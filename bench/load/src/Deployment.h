// A deployment to run a scenario on: a text read from a sample, with loads and bursts scaled to a run of some seconds, and
// with keys that the bench holds.

#pragma once

#include "toucanstep/config/Configuration.h"
#include "toucanstep/fakes/FakeEngine.h"

#include <string>
#include <vector>

namespace toucanstep::bench {

// The bench's stand-ins read checkpoints at these speeds, so that a checkpoint of 14 GiB takes a little over a second.
inline constexpr int64_t remoteBytesPerSecond = 12LL * 1024 * 1024 * 1024;
inline constexpr int64_t diskBytesPerSecond = 3 * remoteBytesPerSecond;
inline constexpr int64_t memoryBytesPerSecond = 12 * remoteBytesPerSecond;
// One token of each running stream in this time.
inline constexpr base::Duration engineTick = std::chrono::milliseconds(5);

struct TextOptions {
    // Every account then has only its first key.
    bool withoutSecondKeys = false;
    // Every account's rate and burst, times this.
    int64_t rateFactor = 1;
    // Requests that one upstream runs at once; zero keeps the sample's.
    int64_t slots = 0;
    base::Duration engineTick = bench::engineTick;
};

class Deployment {
public:
    // Fails with a message on the standard error and an empty result where the sample can't be read.
    static std::shared_ptr<const Deployment> read(const std::string& sampleFile);

    const config::Configuration& configuration() const { return *m_configuration; }
    // The text to publish.
    std::string text(const TextOptions& = {}) const;
    // The key that the bench uses for an account; number 0 or 1.
    static std::string key(const base::ClientAccountId&, int number = 0);
    std::vector<fakes::FakeCheckpoint> checkpoints() const;
    // Models that are no adapters, in the text's order.
    std::vector<base::ModelId> baseModels() const;
    std::vector<base::ModelId> adapters() const;
    // How long the bare store takes for the checkpoint from that tier, with nothing else under way.
    base::Duration bareLoadTime(base::Bytes, fakes::CheckpointTier) const;
    // The scaled burst of an account: four seconds of its rate.
    static int64_t burstOf(const config::ClientAccount&);

private:
    std::shared_ptr<const config::Configuration> m_configuration;
};

} // namespace toucanstep::bench
