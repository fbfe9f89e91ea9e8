// Demand moves to the adapters of a model whose engine has little memory left. Ends with 1 if the engine was ordered to load more than it
// can hold, 0 if not, 2 if the case could not run.

#include "Caller.h"
#include "Case.h"
#include "Gateway.h"
#include "ModelEngine.h"
#include "Record.h"
#include "Store.h"

#include <atomic>
#include <thread>

namespace {

using namespace toucanstep;
using review::Json;

constexpr double engineMemory = 100'000;
constexpr double assistantMemory = 60'000;
// 100 MB are left of the engine's memory, room for one adapter.
constexpr double reporterMemory = 39'900;
constexpr double adapterMemory = 66;
constexpr int adapterCount = 8;
constexpr auto length = std::chrono::seconds(12);

Json modelJson(const char* name, double memory, int adapters)
{
    return { { "name", name }, { "weights_mb", memory }, { "load_time_s", 1.0 }, { "adapters", adapters }, { "adapter_mb", adapterMemory }, { "warm_s", 0.5 }, { "disk_load_s", 0.8 } };
}

std::string desiredState()
{
    Json route { { "name", "r-1" }, { "hostname", "farm.example" }, { "prefix", "/report/" }, { "type", "streaming" }, { "timeout_ms", 12000 }, { "latency_slo_ms", 300 }, { "priority", 2 }, { "service", "narrator" }, { "attempts", 1 }, { "public", false }, { "sticky", true }, { "resumable", false }, { "gap_target_ms", 150 } };
    Json engine { { "slots", 32 }, { "kv_capacity", 90000 }, { "models", { modelJson("assistant", assistantMemory, adapterCount), modelJson("reporter", reporterMemory, 0) } }, { "weights_mb", engineMemory }, { "adapter_capacity", adapterCount }, { "loads_per_s", 5.0 } };
    Json service { { "name", "narrator" }, { "health_path", "/healthz" }, { "max_conns", 230 }, { "protocol", "h1" }, { "tls", false }, { "cold_start_s", 0.0 }, { "cold_per_s", 0.0 }, { "engine", engine } };
    Json tenant { { "name", "farm" }, { "api_keys", { "k1" } }, { "rate_per_s", 0 }, { "burst", 0 } };
    Json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 5000 }, { "idle_timeout_ms", 15000 } };
    return Json { { "version", 1 }, { "routes", { route } }, { "services", { service } }, { "tenants", { tenant } }, { "limits", limits } }.dump();
}

// Calls one after the other until the end.
void callUntil(const base::Endpoint& gateway, const std::string& name, const std::string& model, std::chrono::steady_clock::time_point end, review::Record& record)
{
    for (int count = 1; std::chrono::steady_clock::now() < end; ++count) {
        review::Request request;
        request.target = "/report/x";
        request.id = base::concat(name, "-", count);
        request.body = "{}";
        request.more = base::concat("Model: ", model, "\r\nToken-Usage: 543,282\r\nPrompt-Prefix: 5c1e07a2:172,", std::hash<std::string> {}(request.id) % 100000, ":371\r\n");
        record.add(base::concat("a caller sends ", request.id, " for ", model));
        review::Answer answer = callGateway(gateway, request);
        record.add(base::concat(request.id, " is answered ", answer.status, ", ", answer.whole ? "whole" : "cut", ", ", static_cast<int64_t>(answer.events().size()), " events"));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
}

int run(const std::string& folder, const std::string& recordPath, bool trouble)
{
    review::Record record(recordPath);
    review::Store store;
    review::EngineMemory memory { engineMemory, { { "assistant", assistantMemory }, { "reporter", reporterMemory } }, adapterMemory, adapterCount };
    review::ModelEngine engine("i-7f3a91c2", memory, { "assistant", "reporter" }, [&](const std::string& line) { record.add(line); });
    store.put("op/config", desiredState());
    store.put("servers/i-7f3a91c2", engine.entry("narrator"));
    review::GatewaySettings settings;
    settings.store = store.endpoint();
    review::Gateway gateway(folder, settings);
    if (!gateway.start() || !gateway.awaitReady())
        return review::couldNotRun;
    record.add("the gateway is ready");
    auto end = std::chrono::steady_clock::now() + length;
    std::atomic<bool> listed = true;
    std::thread beat([&] {
        while (listed) {
            if (!engine.overfilled())
                store.put("servers/i-7f3a91c2", engine.entry("narrator"));
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
        }
    });
    std::vector<std::thread> callers;
    for (int number = 1; number <= 4; ++number)
        callers.emplace_back([&, number] { callUntil(gateway.callers(), base::concat("reporter-", number), "reporter", end, record); });
    for (int number = 1; number <= 3; ++number) {
        std::string model = trouble ? base::concat("assistant/a", number) : std::string("assistant");
        callers.emplace_back([&, number, model] { callUntil(gateway.callers(), base::concat("assistant-", number), model, end, record); });
    }
    for (auto& caller : callers)
        caller.join();
    listed = false;
    beat.join();
    record.add(engine.overfilled() ? base::concat("LIMIT broken; ", engine.cutStreams(), " streams were lost") : std::string("LIMIT held"));
    return engine.overfilled() ? review::ruleBroken : review::ruleHeld;
}

} // namespace

int main(int count, char** arguments)
{
    return toucanstep::review::runCase(count, arguments, run);
}
