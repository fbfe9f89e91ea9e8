// A model engine as the users' pages describe it: it holds models and adapters in a limited memory, takes orders, tells its state and runs
// streams. Ordered to load more than it can hold, it crashes.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/http1/Server.h"
#include "toucanstep/io/EventLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace toucanstep::review {

using Json = nlohmann::json;

struct EngineMemory {
    double weights = 0;
    std::map<std::string, double> models;
    double adapter = 0;
    size_t adapterCapacity = 8;
};

struct StreamShape {
    int events = 40;
    size_t eventBytes = 30;
    std::chrono::milliseconds pause { 50 };
};

class ModelEngine final : public http1::RequestHandler {
public:
    // `record` is called with what happens, from the engine's thread.
    ModelEngine(std::string id, EngineMemory, std::set<std::string> held, std::function<void(const std::string&)> record, StreamShape = {});
    ~ModelEngine() override;

    // The entry that it writes to the store.
    std::string entry(const std::string& service);
    // It was ordered to load more than it can hold.
    bool overfilled();
    // Streams that were running when it crashed.
    int cutStreams();

    void onRequest(std::shared_ptr<http1::ServerExchange>) override;

private:
    struct Stream {
        std::shared_ptr<http1::ServerExchange> exchange;
        std::string id;
        int next = 1;
    };

    Json models() const;
    double memoryUsed() const;
    size_t adapters() const;
    std::pair<int, Json> order(const http1::ServerExchange&);
    std::pair<int, Json> orderAdapter(const std::string& operation, const std::string& model, const std::string& adapter);
    std::pair<int, Json> orderModel(const std::string& operation, const std::string& model);
    // Begins a stream, or says why not.
    void run(const std::shared_ptr<http1::ServerExchange>&);
    void sendEvent(const std::shared_ptr<Stream>&);
    void crash();

    std::string m_id;
    EngineMemory m_memory;
    StreamShape m_shape;
    std::function<void(const std::string&)> m_record;
    io::EventLoop m_loop;
    std::unique_ptr<http1::Server> m_server;
    base::Endpoint m_endpoint;
    std::mutex m_mutex;
    std::map<std::string, std::set<std::string>> m_held;
    std::set<std::shared_ptr<Stream>> m_streams;
    int64_t m_orders = 0;
    int64_t m_fence = 0;
    bool m_busy = false;
    bool m_overfilled = false;
    int m_cutStreams = 0;
    int64_t m_born = 0;
};

} // namespace toucanstep::review
