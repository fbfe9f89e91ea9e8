// A small embedded fleet with a text of its own, for tests of the whole path under failure.

#pragma once

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/fleet/EmbeddedFleet.h"
#include "toucanstep/testing/Property.h"

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace toucanstep::fleet {

// Waits are bounded by this; a test that comes near it has failed.
inline constexpr base::Duration generous = std::chrono::seconds(30);

inline constexpr std::string_view farmKey = "key-of-farm";
inline constexpr std::string_view otherKey = "key-of-other";
inline constexpr std::string_view poisonWord = "POISON";

struct TextOptions {
    bool withOtherKey = true;
    int64_t farmRate = 1'000'000;
};

inline std::string fleetText(const TextOptions& options = {})
{
    auto key = [](std::string_view value) { return base::concat("{ \"sha256\": \"", base::sha256Hex(value), "\" }"); };
    return base::concat(R"({
  "kinds": { "chat": { "defaultTimeout": "25s" }, "order": { "defaultTimeout": "15s" } },
  "accounts": {
    "farm": { "tokensPerSecond": )",
        options.farmRate, R"(, "burst": 2000000, "keys": [)", key(farmKey), R"(] },
    "other": { "tokensPerSecond": 1000000, "burst": 2000000, "keys": [)",
        options.withOtherKey ? key(otherKey) : std::string(), R"(] }
  },
  "pools": {
    "language": { "kind": "engines", "listName": "language", "memory": "24GiB", "slots": 16, "tokensPerSecond": 500, "capabilities": { "resume": true, "fencing": true } },
    "application": { "kind": "services", "listName": "application", "slots": 16 }
  },
  "models": {
    "model-a": { "pool": "language", "kind": "chat", "memory": "8GiB", "checkpoint": "1GiB" },
    "model-b": { "pool": "language", "kind": "chat", "memory": "8GiB", "checkpoint": "1GiB" },
    "model-c": { "pool": "language", "kind": "chat", "memory": "8GiB", "checkpoint": "1GiB" }
  },
  "services": { "orders": { "pool": "application", "kind": "order", "idempotent": false, "retention": "1h", "cost": 1 } },
  "loads": { "concurrentLoads": 4, "adaptersInFlight": 30, "remoteBytesPerSecond": "8GiB", "diskBytesPerSecond": "16GiB", "memoryBytesPerSecond": "64GiB" }
}
)");
}

inline FleetOptions fleetOptions()
{
    FleetOptions options;
    constexpr base::Bytes checkpointSize { 1'000'000'000 };
    for (const char* name : { "model-a", "model-b", "model-c" })
        options.engine.checkpoints.push_back({ .name = name, .size = checkpointSize });
    options.engine.remoteRate = 8'000'000'000;
    options.engine.memoryLimit = base::Bytes(24LL * 1024 * 1024 * 1024);
    options.engine.honoursFencing = true;
    options.engine.honoursResume = true;
    options.engine.poisonWord = std::string(poisonWord);
    return options;
}

inline CallerCall chatCall(std::string_view model, std::string_view prompt, int tokens, bool stream, int gateway = 0, std::string_view key = farmKey)
{
    CallerCall call;
    call.path = "/v1/chat/completions";
    call.key = std::string(key);
    call.gateway = gateway;
    call.timeout = generous;
    call.body = base::concat(R"({"model":")", model, R"(","max_tokens":)", tokens, R"(,"stream":)", stream ? "true" : "false", R"(,"messages":[{"role":"user","content":")", prompt, R"("}]})");
    return call;
}

inline CallerCall orderCall(std::string_view key, std::string_view body, int gateway = 0)
{
    CallerCall call;
    call.path = "/v1/services/orders/orders";
    call.key = std::string(farmKey);
    call.gateway = gateway;
    call.body = std::string(body);
    call.timeout = generous;
    call.headers = { { "Idempotency-Key", std::string(key) } };
    return call;
}

// Whether a streamed answer has its end mark and exactly this many tokens.
inline bool isWhole(const CallerReply& reply, int tokens)
{
    size_t events = 0;
    for (size_t at = reply.http.body.find("data:"); at != std::string::npos; at = reply.http.body.find("data:", at + 1))
        ++events;
    bool ended = reply.http.body.find("data: [DONE]") != std::string::npos;
    return reply.http.ok() && ended && events >= static_cast<size_t>(tokens);
}

// Calls `done` until it holds or `generous` has passed.
inline bool eventually(const std::function<bool()>& done)
{
    base::Instant deadline = std::chrono::steady_clock::now() + generous;
    while (std::chrono::steady_clock::now() < deadline) {
        if (done())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
}

inline std::future<CallerReply> callAsync(EmbeddedFleet& fleet, CallerCall call)
{
    return std::async(std::launch::async, [&fleet, call = std::move(call)] { return fleet.call(call); });
}

} // namespace toucanstep::fleet
