// The platform's store as the users' pages describe it: items with revisions, transactions, leases that run out, and watches that wait.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/http1/Server.h"
#include "toucanstep/io/EventLoop.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::review {

using Json = nlohmann::json;

class Store final : public http1::RequestHandler {
public:
    Store();
    ~Store() override;
    base::Endpoint endpoint() const { return m_endpoint; }

    // What the operator or an engine writes.
    void put(const std::string& key, const std::string& value);

    void onRequest(std::shared_ptr<http1::ServerExchange>) override;

private:
    struct Item {
        std::string value;
        int64_t created = 0;
        int64_t revision = 0;
        int64_t lease = 0;
    };
    struct Event {
        int64_t revision = 0;
        std::string key;
        // Nothing for a removal.
        std::optional<Item> item;
    };
    struct Lease {
        std::chrono::milliseconds length { 0 };
        base::Instant end;
    };
    struct Watch {
        std::shared_ptr<http1::ServerExchange> exchange;
        std::string prefix;
        int64_t after = 0;
        base::Instant until;
    };

    static Json itemJson(const std::string& key, const Item&);
    Json range(const std::string& prefix, const std::string& after) const;
    std::pair<int, Json> commit(const Json& body);
    std::pair<int, Json> key(const std::string& name) const;
    std::pair<int, Json> grant(const Json& body);
    std::pair<int, Json> keep(int64_t lease);
    std::pair<int, Json> endLease(int64_t lease);
    void write(const std::string& key, const std::string& value, int64_t lease);
    void erase(const std::string& key);
    Json eventsOf(const Watch&) const;
    // Answers the watches that have events or have waited long enough.
    void answerWatches();
    void tick();

    io::EventLoop m_loop;
    std::unique_ptr<http1::Server> m_server;
    base::Endpoint m_endpoint;
    std::map<std::string, Item> m_items;
    std::vector<Event> m_events;
    std::map<int64_t, Lease> m_leases;
    std::vector<Watch> m_watches;
    int64_t m_revision = 1;
    int64_t m_lastLease = 0;
    io::EventLoop::TimerId m_timer = 0;
};

} // namespace toucanstep::review
