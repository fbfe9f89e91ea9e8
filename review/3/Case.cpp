// Desired states come in quick succession while the text is large and the machines have links of 10 Mbit/s.
//
//     case-3 PROGRAM FOLDER RECORD TROUBLE
//
// TROUBLE 0: one change in place of many. Exits with 1 if CONFIG was broken, with 0 if it held, with 2 if it couldn't run.

#include "../standins/Callers.h"
#include "../standins/Link.h"

#include <fstream>
#include <iostream>

namespace review {

namespace {

constexpr const char* host = "desk.example";
constexpr const char* key = "i9n73hh2b9wu3fexd9dn";
// Taken away by one of the versions.
constexpr const char* revokedKey = "n2ctnfzs989anu6wsjnb";
constexpr int revokingVersion = 10;
// 10 Mbit/s.
constexpr double linkBytesPerSecond = 1'250'000;
// Two times what a day of the site adds at once.
constexpr int largeRoutes = 2 * 1724;
// Three times what the site names, one after the other.
constexpr auto stormTime = std::chrono::milliseconds(12000);
constexpr auto stormGap = std::chrono::milliseconds(330);
constexpr auto applyTime = std::chrono::milliseconds(3000);
constexpr auto watchTime = std::chrono::seconds(32);

Json routeJson(const std::string& name)
{
    return { { "name", "r-" + name }, { "hostname", host }, { "prefix", "/" + name + "/" }, { "type", "idempotent" }, { "timeout_ms", 800 }, { "latency_slo_ms", 150 }, { "priority", 2 }, { "service", "desk" }, { "attempts", 2 }, { "public", false }, { "sticky", false }, { "resumable", false }, { "gap_target_ms", 0 } };
}

std::string desiredState(int version)
{
    Json routes = Json::array();
    for (int number = 0; number < largeRoutes; ++number)
        routes.push_back(routeJson("big" + std::to_string(number)));
    for (int number = 1; number <= version; ++number)
        routes.push_back(routeJson("n" + std::to_string(number)));
    Json keys = version < revokingVersion ? Json { key, revokedKey } : Json { key };
    Json tenant { { "name", "hule930" }, { "api_keys", keys }, { "rate_per_s", 0 }, { "burst", 0 } };
    Json service { { "name", "desk" }, { "health_path", "/healthz" }, { "max_conns", 400 } };
    Json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
    return Json { { "version", version }, { "routes", routes }, { "services", { service } }, { "limits", limits }, { "tenants", { tenant } } }.dump();
}

int run(const std::string& program, const std::string& folder, const std::string& recordPath, bool trouble)
{
    constexpr auto startTime = std::chrono::seconds(20);
    constexpr auto settleTime = std::chrono::seconds(8);
    constexpr int cannotRun = 2;
    constexpr int notFound = 404;
    constexpr int statusOk = 200;
    std::ofstream record(recordPath);
    auto start = Clock::now();
    Store store("127.0.0.1");
    std::vector<std::string> ips { "127.0.5.1", "127.0.5.2", "127.0.5.3" };
    std::vector<std::unique_ptr<Link>> links;
    std::vector<Site> sites(ips.size());
    uint16_t frontend = freePort(ips);
    uint16_t readiness = freePort(ips);
    uint16_t peers = freePort(ips);
    store.put("op/config", desiredState(1));
    Engine engine(store, "127.0.0.1", "i-1", "desk", 32, std::chrono::milliseconds(5));
    std::vector<std::unique_ptr<Machine>> machines;
    for (size_t number = 0; number < ips.size(); ++number) {
        links.push_back(std::make_unique<Link>(store.address(), linkBytesPerSecond));
        Site& site = sites[number];
        site.program = program;
        site.folder = folder;
        site.frontend = frontend;
        site.readiness = readiness;
        site.peers = peers;
        site.store = links.back()->address();
        site.moreContracts = "\"health\",\"pool\",";
        site.contactMilliseconds = 4000;
        site.drainMilliseconds = 3000;
        site.configApplyMilliseconds = 3000;
        machines.push_back(std::make_unique<Machine>(site, "edge-a-" + std::to_string(number + 1), "a", ips[number]));
        machines.back()->start(true);
    }
    for (auto& machine : machines) {
        if (!machine->awaitReady(startTime))
            return cannotRun;
    }
    std::this_thread::sleep_for(settleTime);

    std::mutex mutex;
    std::map<int, Clock::time_point> acked { { 1, start } };
    std::atomic<bool> ended = false;
    int notKnown = 0;
    int runRevoked = 0;
    double latest = 0;
    auto probe = [&](const Machine& machine, bool withRevokedKey) {
        std::unique_ptr<Connection> connection;
        while (!ended) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            int due = 0;
            auto now = Clock::now();
            double since = 0;
            {
                std::lock_guard lock(mutex);
                for (const auto& [version, at] : acked)
                    due = now - at > applyTime ? version : due;
                if (withRevokedKey && due < revokingVersion)
                    continue;
                since = secondsSince(acked.at(withRevokedKey ? revokingVersion : due), now);
            }
            if (!connection)
                connection = Connection::open(machine.callers(), now + std::chrono::seconds(1));
            std::string id = newId();
            std::optional<Response> response;
            if (connection) {
                connection->send("GET /n" + std::to_string(withRevokedKey ? 1 : due) + "/x HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: 800\r\nCredential: " + (withRevokedKey ? revokedKey : key) + "\r\n\r\n");
                response = connection->readResponse(now + std::chrono::seconds(1));
            }
            if (!response) {
                connection.reset();
                continue;
            }
            bool old = withRevokedKey ? response->status == statusOk : response->status == notFound;
            if (!old)
                continue;
            std::lock_guard lock(mutex);
            ++(withRevokedKey ? runRevoked : notKnown);
            latest = std::max(latest, since);
            if (withRevokedKey)
                record << secondsSince(start, now) << " s: " << machine.name() << " has " << id << " run with a key that version " << revokingVersion << " took away " << since << " s ago\n";
            else
                record << secondsSince(start, now) << " s: " << machine.name() << " answers 404 to " << id << " on a route that version " << due << " has had for " << since << " s\n";
        }
    };
    std::vector<std::thread> probes;
    for (auto& machine : machines) {
        for (bool withRevokedKey : { false, true })
            probes.emplace_back([&probe, &machine, withRevokedKey] { probe(*machine, withRevokedKey); });
    }
    record << "the text has " << desiredState(2).size() << " bytes" << std::endl;
    auto stormEnd = Clock::now() + stormTime;
    int version = trouble ? 1 : revokingVersion - 1;
    do {
        store.put("op/config", desiredState(++version));
        std::lock_guard lock(mutex);
        acked[version] = Clock::now();
        record << secondsSince(start, acked[version]) << " s: version " << version << " is acknowledged\n";
        if (!trouble)
            break;
    } while (std::this_thread::sleep_for(stormGap), Clock::now() < stormEnd);
    std::this_thread::sleep_for(watchTime);
    ended = true;
    for (auto& each : probes)
        each.join();
    for (auto& machine : machines) {
        if (!machine->running())
            return cannotRun;
    }
    bool broken = notKnown || runRevoked;
    record << version << " is the last version\n"
           << notKnown << " requests answered 404 on routes that were there, " << runRevoked << " run with the key that was taken away, all sent later than 3 s after the ack, the last " << latest << " s after it\n"
           << (broken ? "CONFIG is broken" : "CONFIG held") << "\n";
    return broken ? 1 : 0;
}

} // namespace

} // namespace review

int main(int count, char** arguments)
{
    constexpr int wanted = 5;
    constexpr int cannotRun = 2;
    if (count != wanted)
        return cannotRun;
    try {
        return review::run(arguments[1], arguments[2], arguments[3], std::string(arguments[4]) != "0");
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return cannotRun;
    }
}
