#include "Store.h"

#include "toucanstep/base/Text.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>
#include <algorithm>
#include <stdexcept>

namespace toucanstep::review {

namespace {

constexpr int ok = 200;
constexpr int notFound = 404;
constexpr int conditionFailed = 412;
constexpr size_t pageItems = 500;
constexpr auto tickInterval = std::chrono::milliseconds(20);
constexpr std::string_view keepPath = "/-/kv-keep/";
constexpr std::string_view endPath = "/-/kv-lease-end/";

void reply(const std::shared_ptr<http1::ServerExchange>& exchange, int status, const Json& body)
{
    http1::AnswerHead head;
    head.status = status;
    head.headers.add("Content-Type", "application/json");
    exchange->answer(std::move(head), body.dump());
}

// The value of a parameter of the query; the keys here have no other characters to be unescaped.
std::string parameter(const std::string& target, const std::string& name)
{
    size_t query = target.find('?');
    size_t at = query == std::string::npos ? query : target.find(name + "=", query);
    if (at == std::string::npos)
        return {};
    at += name.size() + 1;
    return absl::StrReplaceAll(target.substr(at, target.find('&', at) - at), { { "%2F", "/" } });
}

int64_t numberOf(const std::string& text) { return text.empty() ? 0 : std::stoll(text); }

} // namespace

Store::Store()
{
    m_loop.runAndWait([this] {
        base::Error error;
        auto started = base::valueOr(error, [&] { return http1::Server::listen(m_loop, { "127.0.0.1", 0 }, *this); });
        if (!started)
            throw std::runtime_error("the store cannot listen");
        m_server = std::move(*started);
        m_endpoint = m_server->endpoint();
        tick();
    });
}

Store::~Store()
{
    m_loop.runAndWait([this] {
        m_loop.cancel(m_timer);
        m_watches.clear();
        m_server.reset();
    });
}

void Store::put(const std::string& key, const std::string& value)
{
    m_loop.runAndWait([&] {
        write(key, value, 0);
        answerWatches();
    });
}

void Store::onRequest(std::shared_ptr<http1::ServerExchange> exchange)
{
    const std::string& target = exchange->head().target;
    std::string path = target.substr(0, target.find('?'));
    if (path == "/-/kv-watch") {
        Watch watch { exchange, parameter(target, "prefix"), numberOf(parameter(target, "after")), m_loop.now() + std::chrono::milliseconds(numberOf(parameter(target, "wait_ms"))) };
        m_watches.push_back(std::move(watch));
        answerWatches();
        return;
    }
    std::pair<int, Json> answer { notFound, Json::object() };
    if (path == "/-/kv-range")
        answer = { ok, range(parameter(target, "prefix"), parameter(target, "after")) };
    else if (path == "/-/kv-key")
        answer = key(parameter(target, "key"));
    else if (path == "/-/kv-txn")
        answer = commit(Json::parse(exchange->body()));
    else if (path == "/-/kv-lease")
        answer = grant(Json::parse(exchange->body()));
    else if (path.starts_with(keepPath))
        answer = keep(numberOf(path.substr(keepPath.size())));
    else if (path.starts_with(endPath))
        answer = endLease(numberOf(path.substr(endPath.size())));
    reply(exchange, answer.first, answer.second);
    answerWatches();
}

Json Store::itemJson(const std::string& key, const Item& item)
{
    return { { "key", key }, { "data", absl::Base64Escape(item.value) }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } };
}

Json Store::range(const std::string& prefix, const std::string& after) const
{
    Json items = Json::array();
    bool more = false;
    for (const auto& [key, item] : m_items) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        more = items.size() >= pageItems;
        if (more)
            break;
        items.push_back(itemJson(key, item));
    }
    return { { "items", items }, { "has_more", more }, { "at", m_revision } };
}

std::pair<int, Json> Store::key(const std::string& name) const
{
    auto found = m_items.find(name);
    if (found == m_items.end())
        return { notFound, Json::object() };
    Json item = itemJson(name, found->second);
    item["at"] = m_revision;
    return { ok, item };
}

std::pair<int, Json> Store::commit(const Json& body)
{
    Json current = Json::array();
    bool holds = true;
    for (const Json& row : body.value("expected", Json::array())) {
        auto found = m_items.find(row.at("key").get<std::string>());
        int64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("revision").get<int64_t>();
        if (found != m_items.end())
            current.push_back(itemJson(found->first, found->second));
    }
    if (!holds)
        return { conditionFailed, { { "items", current } } };
    Json rows = body.value("write", Json::array());
    bool leasesStand = std::all_of(rows.begin(), rows.end(), [this](const Json& row) {
        int64_t lease = row.value("lease", int64_t(0));
        return !lease || m_leases.contains(lease);
    });
    if (!leasesStand)
        return { notFound, Json::object() };
    for (const Json& row : rows) {
        std::string value;
        absl::Base64Unescape(row.at("data").get<std::string>(), &value);
        write(row.at("key").get<std::string>(), value, row.value("lease", int64_t(0)));
    }
    for (const Json& key : body.value("remove", Json::array()))
        erase(key.get<std::string>());
    return { ok, { { "revision", m_revision } } };
}

std::pair<int, Json> Store::grant(const Json& body)
{
    constexpr int64_t shortest = 1000;
    std::chrono::milliseconds length(std::max(body.at("ttl_ms").get<int64_t>(), shortest));
    m_leases[++m_lastLease] = { length, m_loop.now() + length };
    return { ok, { { "lease", m_lastLease }, { "ttl_ms", length.count() } } };
}

std::pair<int, Json> Store::keep(int64_t lease)
{
    auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return { notFound, Json::object() };
    found->second.end = m_loop.now() + found->second.length;
    return { ok, { { "ttl_ms", found->second.length.count() } } };
}

std::pair<int, Json> Store::endLease(int64_t lease)
{
    if (!m_leases.erase(lease))
        return { notFound, Json::object() };
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const auto& key : keys)
        erase(key);
    return { ok, Json::object() };
}

void Store::write(const std::string& key, const std::string& value, int64_t lease)
{
    Item& item = m_items[key];
    item.revision = ++m_revision;
    item.created = item.created ? item.created : m_revision;
    item.value = value;
    item.lease = lease;
    m_events.push_back({ m_revision, key, item });
}

void Store::erase(const std::string& key)
{
    if (m_items.erase(key))
        m_events.push_back({ ++m_revision, key, std::nullopt });
}

Json Store::eventsOf(const Watch& watch) const
{
    Json events = Json::array();
    for (const auto& event : m_events) {
        if (event.revision <= watch.after || !event.key.starts_with(watch.prefix))
            continue;
        if (event.item)
            events.push_back(itemJson(event.key, *event.item));
        else
            events.push_back({ { "key", event.key }, { "revision", event.revision }, { "deleted", true } });
    }
    return events;
}

void Store::answerWatches()
{
    std::vector<Watch> waiting;
    for (auto& watch : std::exchange(m_watches, {})) {
        Json events = eventsOf(watch);
        if (events.empty() && m_loop.now() < watch.until)
            waiting.push_back(std::move(watch));
        else
            reply(watch.exchange, ok, { { "events", events }, { "at", m_revision } });
    }
    m_watches.insert(m_watches.end(), waiting.begin(), waiting.end());
}

void Store::tick()
{
    std::vector<int64_t> ended;
    for (const auto& [lease, state] : m_leases) {
        if (state.end <= m_loop.now())
            ended.push_back(lease);
    }
    for (int64_t lease : ended)
        endLease(lease);
    answerWatches();
    m_timer = m_loop.at(m_loop.now() + tickInterval, [this] { tick(); });
}

} // namespace toucanstep::review
