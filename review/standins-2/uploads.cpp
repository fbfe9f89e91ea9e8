// Upstreams read large requests slowly, until the gateway that holds these exceeds the memory of its machine and is killed, as the
// platform does. Ends with 1 if more than three requests to a sound upstream, sent on kept connections, end without an answer by that, 0 if
// not, 2 if the case could not run.

#include "Caller.h"
#include "Case.h"
#include "Gateway.h"
#include "Record.h"
#include "SlowUpstream.h"
#include "Store.h"

#include <atomic>
#include <memory>
#include <set>
#include <thread>

namespace {

using namespace toucanstep;
using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

// The least memory of an edge machine of the users' sheets.
constexpr int memoryMegabytes = 120;
// A platform that counts in units of 1,024 gives a little more.
constexpr size_t memoryLimit = size_t(memoryMegabytes) * 1024 * 1024;
constexpr double processorShare = 0.068;
// From the start to the large requests.
constexpr auto calmTime = std::chrono::seconds(25);
constexpr auto troubleTime = std::chrono::seconds(12);
// Half of what a caller may send.
constexpr size_t uploadBytes = 2'050'000;
constexpr int uploadsPerAccount = 8;
constexpr size_t slowBytesPerSecond = 100'000;
constexpr int accounts = 4;
// Between the beginnings of two large requests.
constexpr auto uploadPause = std::chrono::milliseconds(40);
constexpr int photoUpstreams = 3;
constexpr int bookers = 24;
constexpr int allowedLost = 3;

std::string keyOf(int account) { return base::concat("k", account); }

Json route(const char* name, const char* type, const char* service, int attempts)
{
    return { { "name", name }, { "hostname", "farm.example" }, { "prefix", base::concat("/", name, "/") }, { "type", type }, { "timeout_ms", 12000 }, { "latency_slo_ms", 1000 }, { "priority", 2 }, { "service", service }, { "attempts", attempts }, { "public", false }, { "sticky", false }, { "resumable", false } };
}

Json service(const char* name)
{
    return { { "name", name }, { "health_path", "/healthz" }, { "max_conns", 230 }, { "protocol", "h1" }, { "tls", false }, { "cold_start_s", 0.0 }, { "cold_per_s", 0.0 } };
}

std::string desiredState()
{
    Json tenants = Json::array();
    for (int account = 0; account < accounts; ++account)
        tenants.push_back({ { "name", base::concat("tenant-", account) }, { "api_keys", { keyOf(account) } }, { "rate_per_s", 0 }, { "burst", 0 } });
    Json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 5000 }, { "idle_timeout_ms", 15000 } };
    return Json { { "version", 1 }, { "routes", { route("photo", "idempotent", "photos", 2), route("book", "non_idempotent", "booking", 1) } }, { "services", { service("photos"), service("booking") } }, { "tenants", tenants }, { "limits", limits } }.dump();
}

struct Counts {
    std::atomic<int> answered = 0;
    // The connection ended without an answer after the upstream had got the request.
    std::atomic<int> lost = 0;
};

// Which requests the sound upstream has got.
class Arrivals {
public:
    void note(const std::string& line)
    {
        constexpr std::string_view mark = " runs ";
        size_t at = line.find(mark);
        std::lock_guard lock(m_mutex);
        if (at != std::string::npos)
            m_ids.insert(line.substr(at + mark.size()));
    }
    bool contains(const std::string& id)
    {
        std::lock_guard lock(m_mutex);
        return m_ids.contains(id);
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_ids;
};

// Books one call after the other on a connection that it keeps.
void book(const base::Endpoint& gateway, int number, Clock::time_point end, Arrivals& arrivals, Counts& counts, review::Record& record)
{
    auto connection = std::make_unique<review::KeptConnection>(gateway);
    for (int count = 1; Clock::now() < end; ++count) {
        review::Request request;
        request.target = "/book/x";
        request.id = base::concat("book-", number, "-", count);
        request.key = keyOf(number % accounts);
        request.body = "{}";
        request.timeLimit = std::chrono::milliseconds(4000);
        record.add(request.id + " is sent on a kept connection");
        auto sent = Clock::now();
        review::Answer answer = connection->call(request);
        bool closed = !answer.status && Clock::now() < sent + request.timeLimit;
        bool lost = closed && arrivals.contains(request.id);
        record.add(base::concat(request.id, answer.status ? base::concat(" is answered ", answer.status) : std::string(lost ? " was passed on, and its connection ends without an answer" : " finds its connection closed")));
        counts.answered += answer.status ? 1 : 0;
        counts.lost += lost ? 1 : 0;
        if (!answer.status || answer.hasHeader("connection: close")) {
            std::this_thread::sleep_for(std::chrono::milliseconds(200));
            connection = std::make_unique<review::KeptConnection>(gateway);
        }
    }
}

// The platform: kills the process that exceeds the memory of its machine, and starts it again.
void boundMemory(review::Gateway& gateway, const std::atomic<bool>& ending, review::Record& record)
{
    constexpr auto betweenLooks = std::chrono::milliseconds(5);
    constexpr auto restartDelay = std::chrono::milliseconds(500);
    constexpr size_t megabyte = 1'000'000;
    size_t most = 0;
    while (!ending) {
        size_t memory = gateway.memory();
        most = std::max(most, memory);
        if (memory > memoryLimit) {
            record.add(base::concat("the platform kills the gateway, which has ", memory / megabyte, " MB resident of ", memoryLimit / megabyte));
            gateway.kill();
            std::this_thread::sleep_for(restartDelay);
            gateway.start();
        }
        std::this_thread::sleep_for(betweenLooks);
    }
    record.add(base::concat("the most memory of a gateway was ", most / megabyte, " MB"));
}

int run(const std::string& folder, const std::string& recordPath, bool trouble)
{
    review::Record record(recordPath);
    review::Store store;
    Arrivals arrivals;
    auto note = [&](const std::string& line) { record.add(line); };
    std::vector<std::unique_ptr<review::SlowUpstream>> photos;
    for (int number = 0; number < photoUpstreams; ++number) {
        std::string id = base::concat("i-photos-", number);
        photos.push_back(std::make_unique<review::SlowUpstream>(id, review::SlowUpstream::Pace { trouble ? slowBytesPerSecond : 0 }, note));
        store.put("servers/" + id, photos.back()->entry("photos"));
    }
    review::SlowUpstream booking("i-booking-0", { 0, std::chrono::milliseconds(1000) }, [&](const std::string& line) {
        arrivals.note(line);
        record.add(line);
    });
    store.put("servers/i-booking-0", booking.entry("booking"));
    store.put("op/config", desiredState());
    review::GatewaySettings settings;
    settings.store = store.endpoint();
    settings.memoryMegabytes = memoryMegabytes;
    settings.processorShare = processorShare;
    review::Gateway gateway(folder, settings);
    if (!gateway.start() || !gateway.awaitReady())
        return review::couldNotRun;
    record.add("the gateway is ready");
    std::atomic<bool> ending = false;
    std::thread platform([&] { boundMemory(gateway, ending, record); });
    auto uploadsFrom = Clock::now() + calmTime;
    auto end = uploadsFrom + troubleTime;
    Counts counts;
    std::vector<std::thread> callers;
    for (int number = 0; number < bookers; ++number)
        callers.emplace_back([&, number] { book(gateway.callers(), number, end, arrivals, counts, record); });
    std::this_thread::sleep_until(uploadsFrom);
    for (int number = 0; number < accounts * uploadsPerAccount; ++number) {
        callers.emplace_back([&, number] {
            review::Request request;
            request.target = "/photo/x";
            request.id = base::concat("photo-", number);
            request.key = keyOf(number % accounts);
            request.body = std::string(uploadBytes, 'x');
            request.timeLimit = std::chrono::milliseconds(10000);
            record.add(base::concat(request.id, " is sent, ", uploadBytes, " bytes"));
            review::Answer answer = callGateway(gateway.callers(), request);
            record.add(base::concat(request.id, answer.status ? base::concat(" is answered ", answer.status) : std::string(" is not answered")));
        });
        std::this_thread::sleep_for(uploadPause);
    }
    for (auto& caller : callers)
        caller.join();
    ending = true;
    platform.join();
    bool isBroken = counts.lost > allowedLost;
    record.add(base::concat("LOST ", isBroken ? "broken" : "held", ": ", counts.answered.load(), " bookings answered, ", counts.lost.load(), " passed on and not answered, ", allowedLost, " allowed"));
    return isBroken ? review::ruleBroken : review::ruleHeld;
}

} // namespace

int main(int count, char** arguments)
{
    return toucanstep::review::runCase(count, arguments, run);
}
