// Callers read their answers slowly, but well within their time limits. Ends with 1 if the gateway closes more than three kept connections
// before their answers, which a sound engine has given, are whole; 0 if not, 2 if the case could not run.

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

constexpr double modelMemory = 72'700;
// The longest stream and the largest events of the users' site files: 57 KB.
constexpr review::StreamShape longStream { 159, 360, std::chrono::milliseconds(12) };
// A small window, of which a caller takes all that is there every 5 s: the answer is read in 20 s.
constexpr review::Pace slowPace { 16 * 1024, 16 * 1024, std::chrono::milliseconds(5000) };
constexpr review::Pace promptPace { 16 * 1024, 16 * 1024, std::chrono::milliseconds(0) };
constexpr auto timeLimit = std::chrono::milliseconds(25000);
constexpr int callers = 8;
constexpr int allowedLost = 3;

std::string desiredState()
{
    Json route { { "name", "r-1" }, { "hostname", "farm.example" }, { "prefix", "/report/" }, { "type", "streaming" }, { "timeout_ms", timeLimit.count() }, { "latency_slo_ms", 3000 }, { "priority", 1 }, { "service", "narrator" }, { "attempts", 1 }, { "public", false }, { "sticky", true }, { "resumable", false }, { "gap_target_ms", 200 } };
    Json model { { "name", "assistant" }, { "weights_mb", modelMemory }, { "load_time_s", 6.0 }, { "adapters", 0 }, { "adapter_mb", 66.0 }, { "warm_s", 0.6 }, { "disk_load_s", 0.8 } };
    Json engine { { "slots", 32 }, { "kv_capacity", 90000 }, { "models", { model } }, { "weights_mb", 200'000.0 }, { "adapter_capacity", 8 }, { "loads_per_s", 5.0 } };
    Json service { { "name", "narrator" }, { "health_path", "/healthz" }, { "max_conns", 230 }, { "protocol", "h1" }, { "tls", false }, { "cold_start_s", 0.0 }, { "cold_per_s", 0.0 }, { "engine", engine } };
    Json tenant { { "name", "farm" }, { "api_keys", { "k1" } }, { "rate_per_s", 0 }, { "burst", 0 } };
    Json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 5000 }, { "idle_timeout_ms", 15000 } };
    return Json { { "version", 1 }, { "routes", { route } }, { "services", { service } }, { "tenants", { tenant } }, { "limits", limits } }.dump();
}

review::Request requestOf(const std::string& id)
{
    review::Request request;
    request.target = "/report/x";
    request.id = id;
    request.body = "{}";
    request.more = base::concat("Model: assistant\r\nToken-Usage: 543,1272\r\nPrompt-Prefix: 5c1e07a2:172,", std::hash<std::string> {}(id) % 100000, ":371\r\n");
    request.timeLimit = timeLimit;
    return request;
}

// One answer that is read at once, so that the connection is a kept one, and one that is read at the pace of the case.
void read(const base::Endpoint& gateway, int number, review::Pace pace, std::atomic<int>& whole, std::atomic<int>& lost, review::Record& record)
{
    review::KeptConnection connection(gateway, promptPace);
    auto call = [&](const std::string& id) {
        record.add(id + " is sent");
        auto sent = std::chrono::steady_clock::now();
        review::Answer answer = connection.call(requestOf(id));
        auto took = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - sent);
        record.add(base::concat(id, " is answered ", answer.status, " and ", answer.whole ? "whole" : (answer.ended ? "cut by the gateway" : "not whole"), " after ", took.count(), " ms of ", timeLimit.count(), ", ", static_cast<int64_t>(answer.events().size()), " events"));
        return answer;
    };
    call(base::concat("first-", number));
    connection.setPace(pace);
    review::Answer answer = call(base::concat("slow-", number));
    whole += answer.whole ? 1 : 0;
    lost += !answer.whole && answer.ended ? 1 : 0;
}

int run(const std::string& folder, const std::string& recordPath, bool trouble)
{
    review::Record record(recordPath);
    review::Store store;
    review::ModelEngine engine(
        "i-7f3a91c2", { 200'000, { { "assistant", modelMemory } }, 66, 8 }, { "assistant" }, [&](const std::string& line) { record.add(line); }, longStream);
    store.put("op/config", desiredState());
    store.put("servers/i-7f3a91c2", engine.entry("narrator"));
    review::GatewaySettings settings;
    settings.store = store.endpoint();
    review::Gateway gateway(folder, settings);
    if (!gateway.start() || !gateway.awaitReady())
        return review::couldNotRun;
    record.add("the gateway is ready");
    std::atomic<int> whole = 0;
    std::atomic<int> lost = 0;
    std::vector<std::thread> threads;
    for (int number = 1; number <= callers; ++number)
        threads.emplace_back([&, number] { read(gateway.callers(), number, trouble ? slowPace : promptPace, whole, lost, record); });
    for (auto& thread : threads)
        thread.join();
    if (whole + lost < callers)
        return review::couldNotRun;
    bool isBroken = lost > allowedLost;
    record.add(base::concat("LOST ", isBroken ? "broken" : "held", ": ", whole.load(), " answers whole, ", lost.load(), " cut by the gateway, ", allowedLost, " allowed"));
    return isBroken ? review::ruleBroken : review::ruleHeld;
}

} // namespace

int main(int count, char** arguments)
{
    return toucanstep::review::runCase(count, arguments, run);
}
