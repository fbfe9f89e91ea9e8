// Talks to one model engine: what it holds, orders to load and unload, and generation.
//
// Calls return at once; callbacks come on the HTTP client's thread, exactly once for each call.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/formats/HttpClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::formats {

enum class EngineModelPhase {
    Loading,
    Ready,
    Unloading,
};

struct EngineModel {
    // The name by which the engine knows the model or adapter.
    std::string name;
    EngineModelPhase phase = EngineModelPhase::Ready;
};

// An order to load or unload one model, or one adapter where `baseName` is set.
struct EngineOrder {
    std::string name;
    std::string baseName;
    std::string version;
    // Fencing number: an engine that honours it refuses an order with a smaller one than it has seen.
    base::Epoch fence;
    base::Instant deadline;
};

// Delayed figures of the engine; hints only.
struct EngineLoad {
    int64_t running = 0;
    int64_t waiting = 0;
    double cacheUse = 0;
};

struct GenerationCall {
    // `/v1/chat/completions` or `/v1/completions`.
    std::string path;
    std::string contentType;
    // The caller's body with the engine's name of the model; `stream` as the caller wanted it.
    std::string body;
    base::RequestId request;
    // Honoured by some engines; greater is more urgent.
    int64_t priority = 0;
    // Tokens that were already received, to take a broken stream up again; engines that honour `resume` only.
    int64_t resumeOffset = 0;
    base::Instant deadline;
    // Given up when nothing arrives for this long.
    base::Duration silenceLimit = std::chrono::seconds(0);
};

struct GenerationEnd {
    // Unavailable: the engine was never reached. Others: it may have run.
    std::optional<base::Error> error;
    int status = 0;
    // False where the answer broke off, also when the connection was closed in order before its end mark.
    bool whole = false;
};

class GenerationListener {
public:
    virtual ~GenerationListener() = default;
    virtual void onStart(int status, std::string contentType) = 0;
    // One piece of the answer: for a stream one server-sent event with its blank line, else part of the body.
    virtual void onPiece(std::string bytes) = 0;
    virtual void onEnd(GenerationEnd) = 0;
};

class EngineClient {
public:
    virtual ~EngineClient() = default;
    virtual void index(base::Instant deadline, std::function<void(base::Outcome<std::vector<EngineModel>>)>) = 0;
    // Rejected: the engine refused, with no effect. Unavailable: never reached. Timeout: may have had, or have, effect.
    virtual void load(EngineOrder, std::function<void(std::optional<base::Error>)>) = 0;
    virtual void unload(EngineOrder, std::function<void(std::optional<base::Error>)>) = 0;
    virtual void readLoad(base::Instant deadline, std::function<void(base::Outcome<EngineLoad>)>) = 0;
    // Destroying the handle cancels the engine's work.
    virtual std::unique_ptr<HttpCallHandle> generate(GenerationCall, std::shared_ptr<GenerationListener>) = 0;
};

std::unique_ptr<EngineClient> makeEngineClient(std::string url, std::shared_ptr<HttpClient>);

} // namespace toucanstep::formats
