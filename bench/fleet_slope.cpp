// Measures what whole gateways and sidecars cost: calls to the key-value service, processor time and memory against nodes,
// rows, instances, requests and tokens.
//
// The daemons' own code runs as threads of this process (EmbeddedFleet) in front of the stand-ins, so processor time is
// that of the process: what the stand-ins and the caller take in it is measured apart, by asking them directly for the
// same. Prints one JSON object a line. Usage: fleet_slope [calls|rows|list|requests ...]

#include "SlopeFit.h"
#include "toucanstep/assignments/Row.h"
#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/fleet/EmbeddedFleet.h"

#include <atomic>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace toucanstep;
using bench::SlopeFit;

namespace {

constexpr std::string_view callerKey = "key-of-farm";
constexpr base::Duration patience = std::chrono::seconds(60);
constexpr double microsecondsPerSecond = 1e6;

std::string fleetText()
{
    std::string digest = base::sha256Hex(callerKey);
    return base::concat(R"({
  "kinds": { "chat": { "defaultTimeout": "25s" } },
  "accounts": { "farm": { "tokensPerSecond": 100000000, "burst": 200000000, "keys": [{ "sha256": ")",
        digest, R"(" }] } },
  "pools": { "language": { "kind": "engines", "listName": "language", "memory": "24GiB", "slots": 64, "tokensPerSecond": 500, "capabilities": { "resume": true, "fencing": true } } },
  "models": { "model-a": { "pool": "language", "kind": "chat", "memory": "8GiB", "checkpoint": "1GiB" } },
  "services": {},
  "loads": { "concurrentLoads": 4, "adaptersInFlight": 30, "remoteBytesPerSecond": "8GiB", "diskBytesPerSecond": "16GiB", "memoryBytesPerSecond": "64GiB" }
}
)");
}

fleet::FleetOptions optionsOf(int gateways, int engines)
{
    fleet::FleetOptions options;
    options.gateways = gateways;
    options.engines = engines;
    options.services = 0;
    options.engine.checkpoints.push_back({ .name = "model-a", .size = base::Bytes(1'000'000'000) });
    options.engine.remoteRate = 8'000'000'000;
    options.engine.memoryLimit = base::Bytes(24LL * 1024 * 1024 * 1024);
    options.engine.honoursFencing = true;
    options.engine.honoursResume = true;
    return options;
}

std::string bodyOf(int tokens)
{
    return base::concat(R"({"model":"model-a","max_tokens":)", tokens, R"(,"stream":true,"messages":[{"role":"user","content":"how dry is the clamp"}]})");
}

fleet::CallerCall callOf(int tokens)
{
    fleet::CallerCall call;
    call.path = "/v1/chat/completions";
    call.key = std::string(callerKey);
    call.timeout = patience;
    call.body = bodyOf(tokens);
    return call;
}

double processorSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    auto seconds = [](const timeval& time) { return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / microsecondsPerSecond; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double residentBytes()
{
    std::ifstream file("/proc/self/statm");
    int64_t size = 0;
    int64_t resident = 0;
    file >> size >> resident;
    return static_cast<double>(resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

void print(const nlohmann::json& line) { std::cout << line.dump() << std::endl; }

void requireServing(fleet::EmbeddedFleet& fleet)
{
    if (!fleet.waitInForce(fleet.publish(fleetText()), patience) || !fleet.waitServing(callOf(1), patience)) {
        std::cerr << "the fleet does not serve\n";
        std::exit(1);
    }
}

// What an idle fleet asks of the service and of the processor in a span.
struct Idle {
    double reads = 0;
    double transactions = 0;
    double watches = 0;
    double cores = 0;
};

Idle idleOf(fleet::EmbeddedFleet& fleet, base::Duration span)
{
    auto before = fleet.store().counters();
    double spentBefore = processorSeconds();
    auto began = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(span);
    double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    auto after = fleet.store().counters();
    return { static_cast<double>(after.reads - before.reads) / seconds, static_cast<double>(after.transactions - before.transactions) / seconds,
        static_cast<double>(after.watchesWaiting), (processorSeconds() - spentBefore) / seconds };
}

// ---- calls to the key-value service, processor time and memory of idle nodes

void measureNodes(const std::string& role, const std::vector<std::pair<int, int>>& sizes)
{
    SlopeFit reads(base::concat("idle_reads_per_s_", role), "nodes");
    SlopeFit watches(base::concat("watches_waiting_", role), "nodes");
    SlopeFit cores(base::concat("idle_cores_", role), "nodes");
    SlopeFit memory(base::concat("resident_bytes_", role), "nodes");
    for (auto [gateways, engines] : sizes) {
        double before = residentBytes();
        fleet::EmbeddedFleet fleet(optionsOf(gateways, engines));
        requireServing(fleet);
        std::this_thread::sleep_for(std::chrono::seconds(3));
        Idle idle = idleOf(fleet, std::chrono::seconds(9));
        int nodes = role == "gateway" ? gateways : engines;
        reads.add(nodes, idle.reads);
        watches.add(nodes, idle.watches);
        cores.add(nodes, idle.cores);
        memory.add(nodes, residentBytes() - before);
        print({ { "gateways", gateways }, { "engines", engines }, { "idle_reads_per_s", idle.reads }, { "idle_transactions_per_s", idle.transactions }, { "watches", idle.watches }, { "idle_cores", idle.cores } });
    }
    for (const SlopeFit* fit : { &reads, &watches, &cores, &memory })
        print(fit->json());
}

// ---- rows

std::pair<std::string, std::string> rowOf(int index)
{
    assignments::Row row;
    // A kind that no system of this fleet acts on, so that the rows only have to be known.
    row.key = { assignments::RowKind::CallPartition, base::concat("language-model-", index), 0 };
    row.holder = { base::InstanceId(base::concat("engine-", index % 1200)), assignments::StartNonce("5f2a9c01be77") };
    row.epoch = base::Epoch(900'000 + index);
    row.writer = assignments::WriteNonce(base::concat("gateway-17/5f2a9c01be77/", index));
    constexpr size_t payloadBytes = 40;
    row.payload = std::string(payloadBytes, 'p');
    return { storageKey(row.key), encodeRow(row) };
}

// Bytes and processor time of one read of all rows, by the stand-in's HTTP server and client alone.
std::pair<double, double> readAllRows(fleet::EmbeddedFleet& fleet)
{
    constexpr int reads = 10;
    formats::HttpCall call;
    call.method = "POST";
    call.url = fleet.store().url() + "/v3/kv/range";
    // "/toucanstep/assignments/" up to "/toucanstep/assignments0".
    call.body = R"({"key":"L3RvdWNhbnN0ZXAvYXNzaWdubWVudHMv","range_end":"L3RvdWNhbnN0ZXAvYXNzaWdubWVudHMw"})";
    double bytes = 0;
    double before = processorSeconds();
    for (int read = 0; read < reads; ++read) {
        call.deadline = std::chrono::steady_clock::now() + patience;
        bytes = static_cast<double>(fleet.client().fetch(call).body.size());
    }
    return { bytes, (processorSeconds() - before) / reads };
}

// Waits until what was written has been taken in everywhere: processor time of one span no longer falls.
Idle settledIdle(fleet::EmbeddedFleet& fleet)
{
    constexpr int most = 10;
    constexpr double alike = 0.8;
    std::this_thread::sleep_for(std::chrono::seconds(10));
    Idle last = idleOf(fleet, std::chrono::seconds(3));
    for (int span = 0; span < most; ++span) {
        Idle next = idleOf(fleet, std::chrono::seconds(3));
        if (next.cores >= alike * last.cores)
            break;
        last = next;
    }
    return idleOf(fleet, std::chrono::seconds(6));
}

void measureRows()
{
    constexpr int gateways = 2;
    constexpr int engines = 2;
    constexpr int nodes = gateways + engines;
    fleet::EmbeddedFleet fleet(optionsOf(gateways, engines));
    requireServing(fleet);
    SlopeFit bytes("bytes_of_one_read_of_all_rows", "rows");
    SlopeFit standIn("ms_of_one_direct_read_of_all_rows", "rows");
    SlopeFit cores("idle_cores_per_node", "rows");
    SlopeFit memory("resident_bytes_per_node", "rows");
    SlopeFit reads("idle_reads_per_s_per_node", "rows");
    int written = 0;
    double atFirst = residentBytes();
    SlopeFit event("ms_of_one_row_event_per_node", "rows");
    Idle idle = settledIdle(fleet);
    for (int rows : { 0, 1000, 2000, 3400 }) {
        for (; written < rows; ++written) {
            auto [key, value] = rowOf(written);
            fleet.store().put(key, value);
        }
        idle = settledIdle(fleet);
        constexpr int events = 100;
        double before = processorSeconds();
        auto began = std::chrono::steady_clock::now();
        for (int count = 0; rows && count < events; ++count) {
            auto [key, value] = rowOf(count);
            fleet.store().put(key, value);
        }
        std::this_thread::sleep_for(std::chrono::seconds(3));
        double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        if (rows)
            event.add(rows, 1000 * (processorSeconds() - before - idle.cores * seconds) / events / nodes);
        auto [readBytes, readSeconds] = readAllRows(fleet);
        constexpr double milliseconds = 1000;
        bytes.add(rows, readBytes);
        standIn.add(rows, milliseconds * readSeconds);
        cores.add(rows, idle.cores / nodes);
        reads.add(rows, idle.reads / nodes);
        memory.add(rows, (residentBytes() - atFirst) / nodes);
    }
    for (const SlopeFit* fit : { &bytes, &standIn, &cores, &reads, &memory, &event })
        print(fit->json());
}

// ---- the platform's list

void measureList()
{
    SlopeFit bytes("bytes_of_one_read_of_the_list", "instances");
    SlopeFit time("ms_of_one_read_of_the_list", "instances");
    fakes::FakeInstanceList list;
    formats::HttpClient client;
    int listed = 0;
    for (int instances : { 50, 400, 1200 }) {
        for (; listed < instances; ++listed) {
            base::Endpoint endpoint { .address = "10.20.30.40", .port = 7000 };
            list.put("language", { base::InstanceId(base::concat("language-engine-", listed)), endpoint, base::FailureDomain("zone-a"), true, false });
        }
        constexpr int reads = 20;
        double before = processorSeconds();
        for (int read = 0; read < reads; ++read) {
            formats::HttpCall call;
            call.url = list.url() + "/apis/discovery.k8s.io/v1/endpointslices?labelSelector=kubernetes.io/service-name%3Dlanguage";
            call.deadline = std::chrono::steady_clock::now() + patience;
            formats::HttpReply reply = client.fetch(call);
            if (read == 0)
                bytes.add(instances, static_cast<double>(reply.body.size()));
        }
        constexpr double milliseconds = 1000;
        time.add(instances, milliseconds * (processorSeconds() - before) / reads);
    }
    for (const SlopeFit* fit : { &bytes, &time })
        print(fit->json());
}

// ---- requests and tokens

// Processor time for each request of so many that run over a few callers, less what the fleet takes when idle.
template <typename Call>
double secondsPerRequest(int requests, double idleCores, const Call& call)
{
    constexpr int callers = 8;
    auto began = std::chrono::steady_clock::now();
    double before = processorSeconds();
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&] {
            for (int count = 0; count < requests / callers; ++count)
                call();
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    double spent = processorSeconds() - before;
    double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    int made = requests / callers * callers;
    return (spent - idleCores * seconds) / made;
}

void measureRequests()
{
    fleet::EmbeddedFleet fleet(optionsOf(2, 1));
    requireServing(fleet);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    Idle idle = idleOf(fleet, std::chrono::seconds(6));
    // An engine of its own, as the fleet's sidecar unloads an idle model.
    fakes::FakeEngine engine(optionsOf(1, 1).engine);
    engine.holdNow("model-a");
    SlopeFit whole("path_us_per_request", "tokens");
    SlopeFit standIn("engine_and_caller_us_per_request", "tokens");
    SlopeFit calls("service_calls_above_idle_per_request", "tokens");
    SlopeFit bytes("answer_bytes_at_the_engine", "tokens");
    constexpr int requests = 400;
    for (int tokens : { 1, 50, 100, 200 }) {
        auto storeBefore = fleet.store().counters();
        auto began = std::chrono::steady_clock::now();
        double perRequest = secondsPerRequest(requests, idle.cores, [&] {
            if (!fleet.call(callOf(tokens)).http.ok())
                std::cerr << "a request failed\n";
        });
        double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        auto storeAfter = fleet.store().counters();
        double asked = static_cast<double>(storeAfter.reads + storeAfter.transactions - storeBefore.reads - storeBefore.transactions);
        calls.add(tokens, (asked - seconds * (idle.reads + idle.transactions)) / requests);
        whole.add(tokens, microsecondsPerSecond * perRequest);
        std::atomic<int64_t> answerBytes { 0 };
        double direct = secondsPerRequest(requests, idle.cores, [&] {
            formats::HttpCall call;
            call.method = "POST";
            call.url = engine.url() + "/v1/chat/completions";
            call.headers = { { "Content-Type", "application/json" } };
            call.body = bodyOf(tokens);
            call.deadline = std::chrono::steady_clock::now() + patience;
            formats::HttpReply reply = fleet.client().fetch(call);
            answerBytes = static_cast<int64_t>(reply.body.size());
            if (!reply.ok())
                std::cerr << "a direct request failed\n";
        });
        standIn.add(tokens, microsecondsPerSecond * direct);
        bytes.add(tokens, static_cast<double>(answerBytes.load()));
    }
    for (const SlopeFit* fit : { &whole, &standIn, &bytes, &calls })
        print(fit->json());
}

} // namespace

int main(int argc, char** argv)
{
    std::set<std::string> chosen(argv + 1, argv + argc);
    auto wants = [&](const char* part) { return chosen.empty() || chosen.contains(part); };
    if (wants("calls")) {
        measureNodes("gateway", { { 2, 2 }, { 4, 2 }, { 6, 2 } });
        measureNodes("sidecar", { { 2, 2 }, { 2, 4 }, { 2, 6 } });
    }
    if (wants("rows"))
        measureRows();
    if (wants("list"))
        measureList();
    if (wants("requests"))
        measureRequests();
    return 0;
}
