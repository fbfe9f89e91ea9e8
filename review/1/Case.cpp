// A model engine hands out one wrong bit in one of its reports, while callers' orders run at a sound engine of another service.
//
//     case-1 PROGRAM FOLDER RECORD TROUBLE
//
// TROUBLE 0: the same, and the report is right. Exits with 1 if LOST was broken, with 0 if it held, with 2 if it couldn't run.

#include "../standins/Callers.h"

#include <csignal>
#include <fstream>
#include <iostream>

namespace review {

namespace {

constexpr const char* host = "desk.example";
constexpr const char* key = "i9n73hh2b9wu3fexd9dn";
constexpr int modelMegabytes = 30000;
constexpr int engineMegabytes = 70000;
constexpr auto loadTime = std::chrono::milliseconds(1000);
// To each machine.
constexpr double ordersPerSecond = 24;
constexpr auto rareEach = std::chrono::milliseconds(2500);
constexpr auto restartDelay = std::chrono::milliseconds(500);

Json modelJson(const std::string& name)
{
    return { { "name", name }, { "weights_mb", modelMegabytes }, { "load_time_s", 6.0 }, { "disk_load_s", 1.0 }, { "warm_s", 0.8 }, { "adapters", 0 }, { "adapter_mb", 40.0 } };
}

Json routeJson(const std::string& name, const std::string& type, const std::string& service, int timeout)
{
    return { { "name", name }, { "hostname", host }, { "prefix", "/" + name + "/" }, { "type", type }, { "timeout_ms", timeout }, { "latency_slo_ms", 600 }, { "priority", 1 }, { "service", service }, { "attempts", 1 }, { "public", false }, { "sticky", false }, { "resumable", false }, { "gap_target_ms", 250 } };
}

std::string desiredState()
{
    Json models = Json::array();
    for (const char* name : { "daka51", "rada74", "ravo48", "nymi57", "gopu49" })
        models.push_back(modelJson(name));
    Json engine { { "slots", 16 }, { "kv_capacity", 139274 }, { "models", models }, { "weights_mb", engineMegabytes }, { "adapter_capacity", 8 }, { "loads_per_s", 3.7 } };
    Json pool { { "name", "pool" }, { "health_path", "/healthz" }, { "max_conns", 630 }, { "engine", engine } };
    Json desk { { "name", "desk" }, { "health_path", "/healthz" }, { "max_conns", 400 } };
    Json limits { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
    Json tenant { { "name", "hule930" }, { "api_keys", { key } }, { "rate_per_s", 0 }, { "burst", 0 } };
    return Json { { "version", 7 }, { "routes", { routeJson("order", "non_idempotent", "desk", 5000), routeJson("ask", "streaming", "pool", 15000) } }, { "services", { pool, desk } }, { "limits", limits }, { "tenants", { tenant } } }.dump();
}

// The platform starts a process that has ended again after a short delay.
int restartIfEnded(Machine& machine, std::ofstream& record, Clock::time_point start)
{
    if (machine.running())
        return 0;
    record << secondsSince(start, Clock::now()) << " s: the process of " << machine.name() << " has ended by itself" << std::endl;
    std::this_thread::sleep_for(restartDelay);
    machine.start(false);
    record << secondsSince(start, Clock::now()) << " s: " << machine.name() << " starts again\n";
    return 1;
}

int run(const std::string& program, const std::string& folder, const std::string& recordPath, bool trouble)
{
    constexpr auto startTime = std::chrono::seconds(10);
    constexpr auto askTime = std::chrono::seconds(30);
    constexpr int cannotRun = 2;
    constexpr int allowed = 3;
    std::ofstream record(recordPath);
    auto start = Clock::now();
    Store store("127.0.0.1");
    Site site;
    site.program = program;
    site.folder = folder;
    site.store = store.address();
    std::vector<std::string> ips { "127.0.3.1", "127.0.3.2", "127.0.3.3" };
    site.frontend = freePort(ips);
    site.readiness = freePort(ips);
    site.peers = freePort(ips);
    store.put("op/config", desiredState());
    constexpr int slots = 64;
    constexpr auto work = std::chrono::milliseconds(400);
    Engine desk(store, "127.0.0.1", "i-1", "desk", slots, work);
    ModelEngine first(store, "127.0.0.1", "i-2", "pool", 16, { "daka51", "rada74" }, loadTime);
    ModelEngine second(store, "127.0.0.1", "i-3", "pool", 16, { "daka51", "rada74" }, loadTime);
    std::vector<std::unique_ptr<Machine>> machines;
    for (size_t number = 0; number < ips.size(); ++number) {
        machines.push_back(std::make_unique<Machine>(site, "edge-a-" + std::to_string(number + 1), "a", ips[number]));
        machines.back()->start(true);
    }
    for (auto& machine : machines) {
        if (!machine->awaitReady(startTime))
            return cannotRun;
    }
    std::this_thread::sleep_for(startTime);

    std::atomic<int> spoiled = 0;
    auto spoil = [&](const std::string& target, int answers, std::string& body) {
        size_t name = body.find("\"name\":\"");
        constexpr int oneOf = 50;
        if (spoiled || target != "/-/report" || answers < oneOf || name == std::string::npos)
            return;
        ++spoiled;
        constexpr unsigned char flipped = 0x80;
        size_t at = name + 9;
        body[at] = static_cast<char>(static_cast<unsigned char>(body[at]) ^ flipped);
        record << secondsSince(start, Clock::now()) << " s: answer " << answers << " of an engine of the pool, a report, has one wrong bit, in byte " << at << std::endl;
    };
    if (trouble) {
        first.setSpoil(spoil);
        second.setSpoil(spoil);
    }

    CallLog orders;
    CallLog asks;
    int ended = 0;
    {
        constexpr int threads = 12;
        std::vector<std::unique_ptr<Callers>> callers;
        CallShape order { "POST", host, "/order/1", key, { { "Content-Length", "0" } }, 5000 };
        for (auto& machine : machines) {
            callers.push_back(std::make_unique<Callers>(orders, *machine, order, ordersPerSecond, threads));
            // Busy and rare models.
            for (const char* model : { "daka51", "rada74" })
                callers.push_back(std::make_unique<Callers>(asks, *machine, CallShape { "POST", host, "/ask/1", key, { { "Model", model }, { "Token-Usage", "1460,80" }, { "Content-Length", "0" } }, 15000 }, 10, 2));
        }
        auto until = Clock::now() + askTime;
        size_t next = 0;
        while (Clock::now() < until) {
            const char* rare = std::array { "ravo48", "nymi57", "gopu49" }.at(next % 3);
            Callers one(asks, *machines[next++ % machines.size()], CallShape { "POST", host, "/ask/1", key, { { "Model", rare }, { "Token-Usage", "1460,80" }, { "Content-Length", "0" } }, 15000 }, 0.4, 1);
            auto pause = Clock::now() + rareEach;
            while (Clock::now() < pause) {
                for (auto& machine : machines)
                    ended += restartIfEnded(*machine, record, start);
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        }
    }
    int lost = 0;
    std::map<std::string, int> runs;
    for (const auto& engineRun : desk.runs())
        ++runs[engineRun.id];
    std::map<std::string, std::map<int, int>> answers;
    for (const auto& call : orders.list()) {
        ++answers[call.machine][call.status];
        if (call.status || !runs[call.id])
            continue;
        ++lost;
        record << "order " << call.id << " sent to " << call.machine << " at " << secondsSince(start, call.at) << " s: ran " << runs[call.id] << " times, connection closed without an answer at " << secondsSince(start, call.answered) << " s\n";
    }
    std::map<int, int> askAnswers;
    for (const auto& call : asks.list())
        ++askAnswers[call.status];
    for (const auto& [machine, counts] : answers) {
        record << machine << " answered orders:";
        for (const auto& [status, count] : counts)
            record << " " << count << " x " << status;
        record << "\n";
    }
    record << "asked of models:";
    for (const auto& [status, count] : askAnswers)
        record << " " << count << " x " << status;
    record << "\nanswers of the pool's engines: " << first.answers() << " and " << second.answers() << ", orders " << first.orders() << " and " << second.orders() << "\n";
    bool broken = lost > allowed;
    record << lost << " orders ran and their connections closed without an answer; " << ended << " processes ended by themselves\n"
           << (broken ? "LOST is broken" : "LOST held") << "\n";
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
