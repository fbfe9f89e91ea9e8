#include "toucanstep/fakes/FakeKeyValueService.h"

#include "DelayedTasks.h"
#include "KeyValueTable.h"
#include "RestartableServer.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/formats/Base64.h"

#include <nlohmann/json.hpp>

namespace toucanstep::fakes {

using namespace base;
using internal::KeyRange;
using internal::KeyValueTable;
using Json = nlohmann::json;
using ExchangePointer = std::shared_ptr<formats::HttpExchange>;

namespace {

constexpr Duration leaseCheckInterval = std::chrono::milliseconds(20);

// The codes are gRPC's, as the gateway shows them.
constexpr int invalidArgumentCode = 3;
constexpr int notFoundCode = 5;
constexpr int unavailableCode = 14;

struct GatewayError {
    int status;
    int code;
    std::string message;
};

GatewayError invalid(std::string message) { return { 400, invalidArgumentCode, std::move(message) }; }

std::string decoded(const Json& json, const char* name)
{
    auto bytes = formats::decodeBase64(json.value(name, ""));
    if (!bytes)
        throw invalid("illegal base64 data");
    return std::move(*bytes);
}

// 64-bit numbers come in quotes, or bare.
int64_t number(const Json& json, const char* name)
{
    if (!json.contains(name))
        return 0;
    const Json& value = json.at(name);
    return value.is_string() ? std::stoll(value.get<std::string>()) : value.get<int64_t>();
}

KeyRange rangeFromJson(const Json& json) { return { decoded(json, "key"), decoded(json, "range_end") }; }

Json toJson(const KeyValue& entry)
{
    Json json = { { "key", formats::encodeBase64(entry.key) }, { "mod_revision", concat(entry.modified) } };
    // Members that are zero or empty are left out, as proto3's mapping does.
    if (entry.created.value() > 0)
        json["create_revision"] = concat(entry.created);
    if (!entry.value.empty())
        json["value"] = formats::encodeBase64(entry.value);
    return json;
}

Json toJson(const WatchEvent& event)
{
    Json json = { { "kv", toJson(event.entry) } };
    if (event.deleted)
        json["type"] = "DELETE";
    return json;
}

Json headerOf(Revision revision) { return { { "cluster_id", "1" }, { "member_id", "1" }, { "revision", concat(revision) }, { "raft_term", "2" } }; }

std::string watchLine(Json result) { return Json { { "result", std::move(result) } }.dump() + "\n"; }

std::vector<Comparison> comparisonsFromJson(const Json& request)
{
    std::vector<Comparison> comparisons;
    for (const auto& json : request.value("compare", Json::array())) {
        if (json.value("target", "") != "MOD" || json.value("result", "") != "EQUAL")
            throw invalid("this stand-in compares only the modifying revision for equality");
        comparisons.push_back({ decoded(json, "key"), Revision(number(json, "mod_revision")) });
    }
    return comparisons;
}

Operation operationFromJson(const Json& json)
{
    if (json.contains("request_delete_range"))
        return DeleteOperation { decoded(json.at("request_delete_range"), "key") };
    const Json& request = json.at("request_put");
    PutOperation put { decoded(request, "key"), decoded(request, "value"), std::nullopt };
    if (int64_t lease = number(request, "lease"))
        put.lease = LeaseId(lease);
    return put;
}

struct Watcher {
    KeyRange range;
    ExchangePointer exchange;
    bool silenced = false;
};

} // namespace

class FakeKeyValueService::Implementation {
public:
    explicit Implementation(const FakeKeyValueServiceOptions& options)
        : m_options(options)
        , m_server([this](const ExchangePointer& exchange) { receive(exchange); })
    {
        expireLeases();
    }

    ~Implementation()
    {
        m_server.stop();
        m_tasks.stop();
    }

    std::string url() const { return m_server.url(); }
    void setDown(bool down) { m_server.setDown(down); }

    void receive(const ExchangePointer& exchange)
    {
        Duration delay {};
        {
            std::lock_guard lock(m_mutex);
            if (m_answering503) {
                fail(*exchange, { 503, unavailableCode, "etcdserver: no leader" });
                return;
            }
            delay = m_delay;
        }
        if (delay > Duration::zero())
            m_tasks.runAfter(delay, [this, exchange] { answer(exchange); });
        else
            answer(exchange);
    }

    // Runs `body` under the lock; for the fault switches and counters.
    template <typename Body>
    auto locked(Body&& body)
    {
        std::lock_guard lock(m_mutex);
        return body(*this);
    }

    Revision put(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        publish(m_table.apply({ PutOperation { key, value, std::nullopt } }));
        return m_table.revision();
    }

    void silenceWatches()
    {
        std::lock_guard lock(m_mutex);
        for (auto& [identity, watcher] : m_watchers)
            watcher.silenced = true;
    }

    FakeKeyValueCounters counters()
    {
        std::lock_guard lock(m_mutex);
        FakeKeyValueCounters counters = m_counters;
        counters.watchesWaiting = static_cast<int64_t>(m_watchers.size());
        return counters;
    }

    bool m_answering503 = false;
    Duration m_delay {};
    int m_answersToLose = 0;
    KeyValueTable m_table;

private:
    static void fail(formats::HttpExchange& exchange, const GatewayError& error)
    {
        Json body = { { "error", error.message }, { "code", error.code }, { "message", error.message } };
        exchange.respond(error.status, { { "Content-Type", "application/json" } }, body.dump());
    }

    void answer(const ExchangePointer& exchange)
    {
        const auto& request = exchange->request();
        try {
            if (request.body.size() > m_options.maximumRequestBytes)
                throw invalid("etcdserver: request is too large");
            Json body = Json::parse(request.body);
            if (request.path == "/v3/watch")
                beginWatch(exchange, body.at("create_request"));
            else
                reply(*exchange, request.path, body);
        } catch (const GatewayError& error) {
            fail(*exchange, error);
        } catch (const std::exception& error) {
            fail(*exchange, invalid(error.what()));
        }
    }

    void reply(formats::HttpExchange& exchange, const std::string& path, const Json& body)
    {
        std::lock_guard lock(m_mutex);
        bool lose = false;
        Json answer;
        if (path == "/v3/kv/range")
            answer = range(body);
        else if (path == "/v3/kv/txn") {
            answer = transact(body);
            lose = m_answersToLose > 0;
            m_answersToLose -= lose ? 1 : 0;
        } else if (path == "/v3/lease/grant")
            answer = grantLease(body);
        else if (path == "/v3/lease/keepalive")
            answer = keepLeaseAlive(body);
        else
            throw GatewayError { 404, notFoundCode, "Not Found" };
        if (lose)
            exchange.abort();
        else
            exchange.respond(200, { { "Content-Type", "application/json" } }, answer.dump());
    }

    Json range(const Json& request)
    {
        ++m_counters.reads;
        Json answer = { { "header", headerOf(m_table.revision()) } };
        bool keysOnly = request.value("keys_only", false);
        std::vector<KeyValue> entries = m_table.range(rangeFromJson(request));
        if (!entries.empty())
            answer["count"] = concat(entries.size());
        if (request.value("sort_target", "") == "MOD" && request.value("sort_order", "") == "DESCEND")
            std::sort(entries.begin(), entries.end(), [](const KeyValue& left, const KeyValue& right) { return left.modified > right.modified; });
        if (int64_t limit = number(request, "limit"); limit > 0 && entries.size() > static_cast<size_t>(limit))
            entries.resize(static_cast<size_t>(limit));
        for (const auto& entry : entries) {
            answer["kvs"].push_back(toJson(entry));
            if (keysOnly)
                answer["kvs"].back().erase("value");
        }
        return answer;
    }

    Json transact(const Json& request)
    {
        ++m_counters.transactions;
        auto comparisons = comparisonsFromJson(request);
        std::vector<Operation> operations;
        for (const auto& json : request.value("success", Json::array()))
            operations.push_back(operationFromJson(json));
        checkOperations(comparisons, operations);
        bool committed = std::all_of(comparisons.begin(), comparisons.end(), [this](const auto& comparison) { return m_table.holds(comparison); });
        if (committed) {
            auto events = m_table.apply(operations);
            m_counters.writes += events.empty() ? 0 : 1;
            publish(events);
        }
        Json answer = { { "header", headerOf(m_table.revision()) } };
        if (committed)
            answer["succeeded"] = true;
        return answer;
    }

    void checkOperations(const std::vector<Comparison>& comparisons, const std::vector<Operation>& operations) const
    {
        if (comparisons.size() > m_options.maximumOperations || operations.size() > m_options.maximumOperations)
            throw invalid("etcdserver: too many operations in txn request");
        std::set<std::string> keys;
        for (const auto& operation : operations) {
            const auto* put = std::get_if<PutOperation>(&operation);
            if (put && put->lease && !m_table.hasLease(put->lease->value()))
                throw GatewayError { 404, notFoundCode, "etcdserver: requested lease not found" };
            if (!keys.insert(put ? put->key : std::get<DeleteOperation>(operation).key).second)
                throw invalid("etcdserver: duplicate key given in txn request");
        }
    }

    Json grantLease(const Json& request)
    {
        ++m_counters.leaseCalls;
        auto seconds = number(request, "TTL");
        int64_t lease = m_table.grantLease(std::chrono::seconds(seconds), std::chrono::steady_clock::now());
        return { { "header", headerOf(m_table.revision()) }, { "ID", concat(lease) }, { "TTL", concat(seconds) } };
    }

    Json keepLeaseAlive(const Json& request)
    {
        ++m_counters.leaseCalls;
        auto left = m_table.keepLeaseAlive(number(request, "ID"), std::chrono::steady_clock::now());
        Json result = { { "header", headerOf(m_table.revision()) }, { "ID", concat(number(request, "ID")) } };
        if (left)
            result["TTL"] = concat(std::chrono::duration_cast<std::chrono::seconds>(*left).count());
        return { { "result", std::move(result) } };
    }

    void beginWatch(const ExchangePointer& exchange, const Json& request)
    {
        Watcher watcher { rangeFromJson(request), exchange };
        Revision from(number(request, "start_revision"));
        {
            std::lock_guard lock(m_mutex);
            ++m_counters.watchesBegun;
            exchange->startStream(200, { { "Content-Type", "application/json" } });
            exchange->write(watchLine({ { "header", headerOf(m_table.revision()) }, { "created", true } }));
            if (from.value() > 0 && from <= m_table.compacted()) {
                exchange->write(watchLine({ { "header", headerOf(m_table.revision()) }, { "canceled", true }, { "compact_revision", concat(m_table.compacted()) } }));
                exchange->finish();
                return;
            }
            if (from.value() > 0)
                deliver(watcher, m_table.eventsFrom(from, watcher.range));
            m_watchers.emplace(exchange.get(), std::move(watcher));
        }
        // Comes after the lock, because a caller who has left already makes the call happen at once.
        exchange->onCallerGone([this, identity = exchange.get()] {
            std::lock_guard lock(m_mutex);
            m_watchers.erase(identity);
        });
    }

    void publish(const std::vector<WatchEvent>& events)
    {
        if (m_options.observer && !events.empty())
            m_options.observer(events);
        for (auto position = m_watchers.begin(); position != m_watchers.end();) {
            std::vector<WatchEvent> wanted;
            for (const auto& event : events) {
                if (position->second.range.contains(event.entry.key))
                    wanted.push_back(event);
            }
            bool alive = position->second.silenced || deliver(position->second, wanted);
            position = alive ? std::next(position) : m_watchers.erase(position);
        }
    }

    bool deliver(const Watcher& watcher, const std::vector<WatchEvent>& events)
    {
        if (events.empty())
            return true;
        Json result = { { "header", headerOf(m_table.revision()) } };
        for (const auto& event : events)
            result["events"].push_back(toJson(event));
        return watcher.exchange->write(watchLine(std::move(result)));
    }

    void expireLeases()
    {
        {
            std::lock_guard lock(m_mutex);
            publish(m_table.expireLeases(std::chrono::steady_clock::now()));
        }
        m_tasks.runAfter(leaseCheckInterval, [this] { expireLeases(); });
    }

    const FakeKeyValueServiceOptions m_options;
    std::mutex m_mutex;
    std::map<formats::HttpExchange*, Watcher> m_watchers;
    FakeKeyValueCounters m_counters;
    internal::DelayedTasks m_tasks;
    internal::RestartableServer m_server;
};

FakeKeyValueService::FakeKeyValueService(const FakeKeyValueServiceOptions& options)
    : m_implementation(std::make_unique<Implementation>(options))
{
}

FakeKeyValueService::~FakeKeyValueService() = default;

std::string FakeKeyValueService::url() const { return m_implementation->url(); }

void FakeKeyValueService::setDown(bool down) { m_implementation->setDown(down); }

void FakeKeyValueService::setAnswering503(bool answering)
{
    m_implementation->locked([&](auto& self) { self.m_answering503 = answering; });
}

void FakeKeyValueService::setDelay(Duration delay)
{
    m_implementation->locked([&](auto& self) { self.m_delay = delay; });
}

void FakeKeyValueService::loseNextAnswers(int count)
{
    m_implementation->locked([&](auto& self) { self.m_answersToLose = count; });
}

void FakeKeyValueService::silenceWatches() { m_implementation->silenceWatches(); }

void FakeKeyValueService::compact()
{
    m_implementation->locked([](auto& self) { self.m_table.compact(); });
}

FakeKeyValueCounters FakeKeyValueService::counters() const { return m_implementation->counters(); }

Revision FakeKeyValueService::revision() const
{
    return m_implementation->locked([](auto& self) { return self.m_table.revision(); });
}

std::optional<std::string> FakeKeyValueService::value(const std::string& key) const
{
    return m_implementation->locked([&](auto& self) -> std::optional<std::string> {
        auto found = self.m_table.entries().find(key);
        if (found == self.m_table.entries().end())
            return std::nullopt;
        return found->second.data.value;
    });
}

Revision FakeKeyValueService::put(const std::string& key, const std::string& value) { return m_implementation->put(key, value); }

} // namespace toucanstep::fakes
