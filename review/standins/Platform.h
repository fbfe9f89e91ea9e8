// Stand-ins of the users' platform: its store, its engines, and the machines that run `toucanstepd direct`.

#pragma once

#include "Http.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <sys/types.h>

namespace review {

using Json = nlohmann::json;

// The platform's metadata store, as PROTOCOL.md tells it.
class Store {
public:
    explicit Store(const std::string& ip);
    ~Store();
    Address address() const { return m_server->address(); }
    // What the operator or an engine writes.
    void put(const std::string& key, const std::string& value);

private:
    struct Item {
        std::string value;
        int64_t revision = 0;
        int64_t created = 0;
        int64_t lease = 0;
    };
    struct Event {
        int64_t revision = 0;
        std::string key;
        Json json;
        Clock::time_point at = Clock::now();
    };
    struct Lease {
        std::chrono::milliseconds life {};
        Clock::time_point until;
    };

    bool onRequest(Connection&, const Request&);
    std::pair<int, Json> answer(const Request&, const Json& body);
    std::pair<int, Json> watch(const Request&);
    std::pair<int, Json> commit(const Json& transaction);
    void write(const std::string& key, const std::string& value, int64_t lease);
    void erase(const std::string& key);
    Json itemJson(const std::string& key, const Item&) const;
    void runClock();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_events;
    std::map<int64_t, Lease> m_leases;
    int64_t m_revision = 10;
    // The newest change that is no longer in the history.
    int64_t m_historyFrom = 0;
    int64_t m_lastLease = 0;
    std::atomic<bool> m_ended = false;
    std::thread m_clock;
    std::unique_ptr<Server> m_server;
};

// One engine of a plain service: it runs each request for a time and answers with its digest.
class Engine {
public:
    struct Run {
        std::string id;
        std::string tenant;
        std::string target;
        Clock::time_point arrived;
    };
    Engine(Store&, const std::string& ip, std::string id, std::string service, int slots, std::chrono::milliseconds work);
    ~Engine();
    std::vector<Run> runs();
    // Of its answers to requests.
    void setBody(std::string body) { m_body = std::move(body); }

private:
    bool onRequest(Connection&, const Request&);
    void beat();

    Store& m_store;
    std::string m_id;
    std::string m_service;
    int m_slots;
    std::chrono::milliseconds m_work;
    int64_t m_born;
    std::string m_body = "ok";
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::atomic<int> m_running = 0;
    std::atomic<bool> m_ended = false;
    std::unique_ptr<Server> m_server;
    std::thread m_beat;
};

// One model engine: it tells its state, carries out orders, and runs requests for the models that it holds.
class ModelEngine {
public:
    // Changes the body of an answer that the engine hands out wrongly; `answers` counts them, this one included.
    using Spoil = std::function<void(const std::string& target, int answers, std::string& body)>;
    // `models`: those that it holds at first.
    ModelEngine(Store&, const std::string& ip, std::string id, std::string service, int slots, std::set<std::string> models, std::chrono::milliseconds loadTime);
    ~ModelEngine();
    void setSpoil(Spoil);
    std::set<std::string> models();
    int answers() const { return m_answers; }
    int orders() const { return m_orders; }

private:
    bool onRequest(Connection&, const Request&);
    std::pair<int, Json> report();
    std::pair<int, Json> order(const Json& body);
    void finishOrder();
    Json modelList() const;
    void beat();

    Store& m_store;
    std::string m_id;
    std::string m_service;
    int m_slots;
    std::chrono::milliseconds m_loadTime;
    int64_t m_born;
    std::mutex m_mutex;
    std::set<std::string> m_models;
    // The model that is being loaded, and until when.
    std::optional<std::pair<std::string, Clock::time_point>> m_loading;
    int64_t m_fence = 0;
    Spoil m_spoil;
    std::atomic<int> m_orders = 0;
    std::atomic<int> m_answers = 0;
    std::atomic<bool> m_ended = false;
    std::unique_ptr<Server> m_server;
    std::thread m_beat;
};

// Where the processes' settings and logs lie, the ports that all machines share, and what differs between the users' sites.
struct Site {
    std::string program;
    std::string folder;
    uint16_t frontend = 0;
    uint16_t readiness = 0;
    uint16_t peers = 0;
    Address store;
    bool fencingEnforced = true;
    int quotaTolerance = 0;
    double quotaOvershoot = 0;
    // Contracts beside those that all sites have, as text of the settings file.
    std::string moreContracts;
    int contactMilliseconds = 3000;
    int drainMilliseconds = 2000;
    int configApplyMilliseconds = 2000;
};

// One machine that runs the deploy file's command.
class Machine {
public:
    Machine(const Site&, std::string name, std::string zone, std::string ip);
    ~Machine();
    // `first`: the whole system starts for the first time.
    void start(bool first);
    void signal(int number) const;
    // Waits until the process has ended, and kills it after that time.
    bool awaitEnd(std::chrono::milliseconds most);
    bool running();
    bool ready() const;
    bool awaitReady(std::chrono::milliseconds most) const;
    Address callers() const { return { m_ip, m_site.frontend }; }
    const std::string& name() const { return m_name; }

private:
    void writeSettings(bool first) const;

    const Site& m_site;
    std::string m_name;
    std::string m_zone;
    std::string m_ip;
    pid_t m_process = 0;
};

std::string toBase64(const std::string&);
std::string fromBase64(const std::string&);

} // namespace review
