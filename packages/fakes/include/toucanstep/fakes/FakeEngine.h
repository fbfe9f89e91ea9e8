// A stand-in for a model engine: OpenAI-compatible generation, KServe V2 repository orders, vLLM's adapter orders, and
// Prometheus figures, over HTTP. It generates by ticks: in each tick every running stream gets one token.
//
//     FakeEngine engine({ .checkpoints = { { .name = "m", .size = Bytes(16'000'000'000) } } });
//     engine.holdNow("m");
//
// A token's text is made from model, prompt and position, so that a test can tell a whole answer, and whose it is, with
// FakeEngine::answerText(). An order to load is answered once the model is loaded; one to unload is answered at once, and the
// index shows the model as UNLOADING until its streams have ended. Adapters stand in the index beside the models.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/formats/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::fakes {

struct FakeCheckpoint {
    std::string name;
    // The model that an adapter belongs to; empty for a model.
    std::string baseName;
    base::Bytes size;
};

enum class CheckpointTier {
    Remote,
    Disk,
    Memory,
};

// What an engine does with its memory: a checkpoint takes it from the start of its load until it has been unloaded.
struct FakeEngineChange {
    std::string name;
    base::Bytes size;
    bool held = false;
    // Where the checkpoint lay when its load began.
    CheckpointTier tier = CheckpointTier::Remote;
};

struct FakeEngineOptions {
    std::vector<FakeCheckpoint> checkpoints;
    // Accelerator memory. Going above it is not refused, but recorded as a fault.
    base::Bytes memoryLimit { 80'000'000'000 };
    // How much of the checkpoints stays in the host's memory and on its disk once loaded.
    base::Bytes hostMemoryLimit { 200'000'000'000 };
    base::Bytes diskLimit { 1'000'000'000'000 };
    // Bytes a second at which a checkpoint is read from where it lies.
    int64_t memoryRate = 20'000'000'000;
    int64_t diskRate = 4'000'000'000;
    int64_t remoteRate = 1'000'000'000;
    // Where set, remote checkpoints are fetched from this FakeWeightStore at its pace.
    std::string weightStoreUrl;
    base::Duration unloadTime = base::Duration::zero();

    base::Duration tickLength = std::chrono::milliseconds(1);
    size_t maximumRunning = 64;
    // Prompt tokens that one stream reads in a tick before its first token.
    int64_t promptTokensPerTick = 4000;
    // Tokens of prompts whose beginnings are remembered; these are not read again.
    int64_t prefixCacheTokens = 100'000;
    int64_t defaultAnswerTokens = 16;
    // Tokens of running streams at which the KV cache counts as full.
    int64_t cacheTokens = 1'000'000;
    base::Duration metricsLag = base::Duration::zero();

    bool honoursFencing = false;
    bool honoursPriority = false;
    bool honoursResume = false;

    // A prompt that holds this word crashes the engine once it runs.
    std::string poisonWord;
    base::Duration crashDowntime = std::chrono::milliseconds(200);

    // Hears every change in the order in which it happens. Called under the engine's lock: it must not call back.
    std::function<void(const FakeEngineChange&)> observer;
};

struct FakeEngineCounters {
    int64_t requests = 0;
    int64_t promptTokens = 0;
    int64_t cachedPromptTokens = 0;
    int64_t generatedTokens = 0;
    int64_t finishedStreams = 0;
    int64_t cancelledStreams = 0;
    int64_t loads = 0;
    int64_t unloads = 0;
    int64_t refusedOrders = 0;
    int64_t crashes = 0;
    // Times at which the memory in use went above the limit.
    int64_t memoryFaults = 0;
    base::Bytes memoryInUse;
    base::Bytes peakMemory;
    // Summed over models: the time for which they were loaded, and that part with at least one request.
    base::Duration loadedTime {};
    base::Duration busyTime {};
};

// One request for generation, as it arrived; headers included, so that a test can show that no caller's key got here.
struct FakeEngineRequest {
    std::string path;
    formats::HttpHeaders headers;
    std::string body;
};

enum class LateOrderAnswer {
    AtOnce,
    // The order looks lost to whoever gave it, and is carried out all the same.
    Never,
};

// Every call is safe from any thread.
class FakeEngine {
public:
    explicit FakeEngine(FakeEngineOptions);
    ~FakeEngine();

    std::string url() const;
    uint16_t port() const;

    // The text of the answer from token `from` up to `tokens`. A chat's prompt is its messages' contents joined by line feeds.
    static std::string answerText(std::string_view model, std::string_view prompt, int64_t tokens, int64_t from = 0);

    // Loads at once, past all orders.
    void holdNow(const std::string& name);
    void setTier(const std::string& name, CheckpointTier);
    CheckpointTier tier(const std::string& name) const;
    // Orders to load take effect this much later; zero switches it off.
    void setLateOrders(base::Duration delay, LateOrderAnswer);
    // Streams that run now go on but deliver nothing, and their connections stay open.
    void silenceStreams();
    // Breaks off the connections of all streams that run now.
    void cutStreams();
    // While down, connections are refused; models stay loaded.
    void setDown(bool);
    // Drops all connections, forgets models and fencing numbers, and comes back after the downtime.
    void crash();

    FakeEngineCounters counters() const;
    // The newest ten thousand at most.
    std::vector<FakeEngineRequest> requests() const;
    std::vector<std::string> readyModels() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace toucanstep::fakes
