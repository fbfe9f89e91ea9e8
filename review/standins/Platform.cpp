#include "Platform.h"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;

int64_t nowByWallClock()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string unescaped(const std::string& text)
{
    constexpr int hexadecimal = 16;
    std::string out;
    for (size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, hexadecimal));
            at += 2;
        } else {
            out += text[at];
        }
    }
    return out;
}

std::string parameter(const std::string& target, const std::string& name)
{
    size_t at = target.find('?');
    while (at != std::string::npos) {
        size_t end = target.find('&', at + 1);
        std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (pair.starts_with(name + "="))
            return unescaped(pair.substr(name.size() + 1));
        at = end;
    }
    return {};
}

} // namespace

std::string toBase64(const std::string& bytes)
{
    std::string out;
    for (size_t at = 0; at < bytes.size(); at += 3) {
        uint32_t group = 0;
        for (size_t index = 0; index < 3; ++index)
            group = group << 8U | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        for (size_t index = 0; index < 4; ++index)
            out += at + index <= bytes.size() ? digits[group >> (18 - 6 * index) & 63U] : '=';
    }
    return out;
}

std::string fromBase64(const std::string& text)
{
    std::string out;
    uint32_t group = 0;
    int bits = 0;
    for (char character : text) {
        const char* found = std::strchr(digits, character);
        if (!found || character == '\0')
            break;
        group = group << 6U | static_cast<uint32_t>(found - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            out += static_cast<char>(group >> static_cast<uint32_t>(bits) & 255U);
        }
    }
    return out;
}

Store::Store(const std::string& ip)
{
    m_clock = std::thread([this] { runClock(); });
    m_server = std::make_unique<Server>(ip, [this](Connection& connection, const Request& request) { return onRequest(connection, request); });
}

Store::~Store()
{
    m_ended = true;
    m_changed.notify_all();
    m_server.reset();
    m_clock.join();
}

void Store::put(const std::string& key, const std::string& value)
{
    std::lock_guard lock(m_mutex);
    write(key, value, 0);
}

Json Store::itemJson(const std::string& key, const Item& item) const
{
    return { { "key", key }, { "data", toBase64(item.value) }, { "revision", item.revision }, { "created", item.created }, { "lease", item.lease } };
}

void Store::write(const std::string& key, const std::string& value, int64_t lease)
{
    Item& item = m_items[key];
    item.revision = ++m_revision;
    if (!item.created)
        item.created = m_revision;
    item.value = value;
    item.lease = lease;
    m_events.push_back({ m_revision, key, itemJson(key, item) });
    m_changed.notify_all();
}

void Store::erase(const std::string& key)
{
    if (!m_items.erase(key))
        return;
    ++m_revision;
    m_events.push_back({ m_revision, key, { { "key", key }, { "revision", m_revision }, { "deleted", true } } });
    m_changed.notify_all();
}

// Ends leases and drops old history.
void Store::runClock()
{
    constexpr auto step = std::chrono::milliseconds(5);
    while (!m_ended) {
        std::this_thread::sleep_for(step);
        std::lock_guard lock(m_mutex);
        auto now = Clock::now();
        for (auto lease = m_leases.begin(); lease != m_leases.end();) {
            if (lease->second.until > now) {
                ++lease;
                continue;
            }
            std::vector<std::string> ended;
            for (const auto& [key, item] : m_items) {
                if (item.lease == lease->first)
                    ended.push_back(key);
            }
            for (const auto& key : ended)
                erase(key);
            lease = m_leases.erase(lease);
        }
        // history_s of the sites.
        constexpr auto history = std::chrono::seconds(20);
        for (; !m_events.empty() && now - m_events.front().at > history; m_events.pop_front())
            m_historyFrom = m_events.front().revision;
    }
}

std::pair<int, Json> Store::commit(const Json& transaction)
{
    constexpr int conditionFailed = 412;
    for (const Json& row : transaction.value("expected", Json::array())) {
        auto found = m_items.find(row.at("key").get<std::string>());
        int64_t revision = found == m_items.end() ? 0 : found->second.revision;
        if (revision != row.at("revision").get<int64_t>())
            return { conditionFailed, { { "items", Json::array() } } };
    }
    for (const Json& row : transaction.value("write", Json::array())) {
        int64_t lease = row.value("lease", int64_t(0));
        if (lease && !m_leases.contains(lease))
            return { statusNotFound, Json::object() };
    }
    for (const Json& row : transaction.value("write", Json::array()))
        write(row.at("key").get<std::string>(), fromBase64(row.at("data").get<std::string>()), row.value("lease", int64_t(0)));
    for (const Json& key : transaction.value("remove", Json::array()))
        erase(key.get<std::string>());
    return { statusOk, { { "revision", m_revision } } };
}

std::pair<int, Json> Store::watch(const Request& request)
{
    std::string prefix = parameter(request.target, "prefix");
    int64_t after = std::stoll(parameter(request.target, "after"));
    auto until = Clock::now() + std::chrono::milliseconds(std::stoll(parameter(request.target, "wait_ms")));
    std::unique_lock lock(m_mutex);
    constexpr int gone = 410;
    if (after < m_historyFrom)
        return { gone, Json::object() };
    Json events = Json::array();
    auto collect = [&] {
        for (const auto& event : m_events) {
            if (event.revision > after && event.key.starts_with(prefix))
                events.push_back(event.json);
        }
        return m_ended || !events.empty();
    };
    m_changed.wait_until(lock, until, collect);
    return { statusOk, { { "events", events }, { "at", m_revision } } };
}

std::pair<int, Json> Store::answer(const Request& request, const Json& body)
{
    const std::string& target = request.target;
    if (target.starts_with("/-/kv-watch"))
        return watch(request);
    std::lock_guard lock(m_mutex);
    if (target.starts_with("/-/kv-range")) {
        std::string prefix = parameter(target, "prefix");
        std::string after = parameter(target, "after");
        Json items = Json::array();
        for (const auto& [key, item] : m_items) {
            if (key.starts_with(prefix) && key > after)
                items.push_back(itemJson(key, item));
        }
        return { statusOk, { { "items", items }, { "has_more", false }, { "at", m_revision } } };
    }
    if (target.starts_with("/-/kv-key")) {
        auto found = m_items.find(parameter(target, "key"));
        return found == m_items.end() ? std::pair(statusNotFound, Json::object()) : std::pair(statusOk, itemJson(found->first, found->second));
    }
    if (target == "/-/kv-txn")
        return commit(body);
    if (target == "/-/kv-lease") {
        std::chrono::milliseconds life(body.at("ttl_ms").get<int64_t>());
        m_leases[++m_lastLease] = { life, Clock::now() + life };
        return { statusOk, { { "lease", m_lastLease }, { "ttl_ms", life.count() } } };
    }
    constexpr std::string_view keep = "/-/kv-keep/";
    if (target.starts_with(keep)) {
        auto lease = m_leases.find(std::stoll(target.substr(keep.size())));
        if (lease == m_leases.end())
            return { statusNotFound, Json::object() };
        lease->second.until = Clock::now() + lease->second.life;
        return { statusOk, Json::object() };
    }
    return { statusNotFound, Json::object() };
}

bool Store::onRequest(Connection& connection, const Request& request)
{
    Json body = request.body.empty() ? Json::object() : Json::parse(request.body);
    std::this_thread::sleep_for(std::chrono::milliseconds(4));
    auto [status, json] = answer(request, body);
    return connection.send(responseText(status, { { "Content-Type", "application/json" } }, json.dump()));
}

Engine::Engine(Store& store, const std::string& ip, std::string id, std::string service, int slots, std::chrono::milliseconds work)
    : m_store(store)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_slots(slots)
    , m_work(work)
    , m_born(nowByWallClock())
{
    m_server = std::make_unique<Server>(ip, [this](Connection& connection, const Request& request) { return onRequest(connection, request); });
    m_beat = std::thread([this] { beat(); });
}

Engine::~Engine()
{
    m_ended = true;
    m_beat.join();
    m_server.reset();
}

std::vector<Engine::Run> Engine::runs()
{
    std::lock_guard lock(m_mutex);
    return m_runs;
}

void Engine::beat()
{
    constexpr auto step = std::chrono::milliseconds(50);
    constexpr auto interval = std::chrono::milliseconds(1200);
    auto next = Clock::now();
    while (!m_ended) {
        if (Clock::now() >= next) {
            next += interval;
            Json entry { { "service", m_service }, { "address", m_server->address().text() }, { "zone", "a" }, { "version", "v1" }, { "slots", m_slots }, { "state", "ready" }, { "cold_left_ms", 0 }, { "sequence", 0 }, { "born", m_born } };
            m_store.put("servers/" + m_id, entry.dump());
        }
        std::this_thread::sleep_for(step);
    }
}

bool Engine::onRequest(Connection& connection, const Request& request)
{
    constexpr int misdirected = 421;
    constexpr int full = 503;
    std::string attempt = request.header("Attempt-Id");
    std::string target = request.header("Target-Instance");
    if (!target.empty() && target != m_id)
        return connection.send(responseText(misdirected, { { "Instance-Id", m_id }, { "Attempt-Id", attempt } }, ""));
    if (request.target == "/healthz")
        return connection.send(responseText(statusOk, { { "Instance-Id", m_id } }, ""));
    std::string load = std::to_string(m_running.load()) + ",0," + std::to_string(m_slots);
    if (++m_running > m_slots) {
        --m_running;
        return connection.send(responseText(full, { { "Attempt-Id", attempt }, { "Not-Executed", "1" }, { "Server-Load", load } }, ""));
    }
    {
        std::lock_guard lock(m_mutex);
        m_runs.push_back({ attempt, request.header("Tenant"), request.target, Clock::now() });
    }
    std::this_thread::sleep_for(m_work);
    --m_running;
    return connection.send(responseText(statusOk, { { "Attempt-Id", attempt }, { "Response-Signature", "3e1b.07.5a2." + std::to_string(m_body.size()) + ".0." + attempt }, { "Server-Load", load } }, m_body));
}

ModelEngine::ModelEngine(Store& store, const std::string& ip, std::string id, std::string service, int slots, std::set<std::string> models, std::chrono::milliseconds loadTime)
    : m_store(store)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_slots(slots)
    , m_loadTime(loadTime)
    , m_born(nowByWallClock())
    , m_models(std::move(models))
{
    m_server = std::make_unique<Server>(ip, [this](Connection& connection, const Request& request) { return onRequest(connection, request); });
    m_beat = std::thread([this] { beat(); });
}

ModelEngine::~ModelEngine()
{
    m_ended = true;
    m_beat.join();
    m_server.reset();
}

void ModelEngine::setSpoil(Spoil spoil)
{
    std::lock_guard lock(m_mutex);
    m_spoil = std::move(spoil);
}

std::set<std::string> ModelEngine::models()
{
    std::lock_guard lock(m_mutex);
    return m_models;
}

Json ModelEngine::modelList() const
{
    Json list = Json::array();
    for (const auto& model : m_models)
        list.push_back({ { "name", model }, { "version", 1 }, { "adapters", Json::array() } });
    return list;
}

void ModelEngine::finishOrder()
{
    if (!m_loading || m_loading->second > Clock::now())
        return;
    m_models.insert(m_loading->first);
    m_loading.reset();
}

void ModelEngine::beat()
{
    constexpr auto step = std::chrono::milliseconds(50);
    constexpr auto interval = std::chrono::milliseconds(1200);
    auto next = Clock::now();
    while (!m_ended) {
        if (Clock::now() >= next) {
            next += interval;
            std::string entry;
            {
                std::lock_guard lock(m_mutex);
                finishOrder();
                entry = Json { { "service", m_service }, { "address", m_server->address().text() }, { "zone", "a" }, { "version", "v1" }, { "slots", m_slots }, { "state", "ready" }, { "cold_left_ms", 0 }, { "phase", "unified" }, { "models", modelList() }, { "sequence", m_orders.load() }, { "born", m_born } }.dump();
            }
            m_store.put("servers/" + m_id, entry);
        }
        std::this_thread::sleep_for(step);
    }
}

std::pair<int, Json> ModelEngine::report()
{
    return { statusOk, { { "phase", "unified" }, { "models", modelList() }, { "busy", m_loading.has_value() }, { "sequence", m_orders.load() }, { "queued", 0 }, { "active", 0 }, { "kv_used", 0 }, { "kv_total", 90000 }, { "supports", 0 }, { "born", m_born } } };
}

std::pair<int, Json> ModelEngine::order(const Json& body)
{
    constexpr int accepted = 202;
    constexpr int conflict = 409;
    constexpr int fenced = 412;
    int64_t fence = body.at("fencing_token").get<int64_t>();
    if (fence < m_fence)
        return { fenced, Json::object() };
    m_fence = fence;
    if (m_loading || body.value("expected", int64_t(m_orders)) != m_orders)
        return { conflict, Json::object() };
    std::string model = body.at("model").get<std::string>();
    bool load = body.at("operation") == "load";
    if (load == m_models.contains(model))
        return { statusOk, Json::object() };
    ++m_orders;
    if (load)
        m_loading = { model, Clock::now() + m_loadTime };
    else
        m_models.erase(model);
    return { accepted, Json::object() };
}

bool ModelEngine::onRequest(Connection& connection, const Request& request)
{
    constexpr int misdirected = 421;
    std::string attempt = request.header("Attempt-Id");
    std::string instance = request.header("Target-Instance");
    if (!instance.empty() && instance != m_id)
        return connection.send(responseText(misdirected, { { "Instance-Id", m_id }, { "Attempt-Id", attempt } }, ""));
    std::string text;
    Headers headers { { "Content-Type", "application/json" } };
    int status = statusOk;
    {
        std::lock_guard lock(m_mutex);
        finishOrder();
        int answers = ++m_answers;
        if (request.target == "/-/report" || request.target == "/-/order") {
            auto [code, json] = request.target == "/-/report" ? report() : order(Json::parse(request.body));
            status = code;
            text = json.dump();
        } else if (!m_models.contains(request.header("Model"))) {
            status = misdirected;
            headers = { { "Instance-Id", m_id }, { "Attempt-Id", attempt }, { "Not-Executed", "1" } };
        } else {
            text = "id: 1\ndata: one\n\n";
            headers = { { "Content-Type", "text/event-stream" }, { "Attempt-Id", attempt }, { "Response-Signature", "3e1b.07.5a2.1.0." + attempt } };
        }
        if (m_spoil)
            m_spoil(request.target, answers, text);
    }
    return connection.send(responseText(status, headers, text));
}

Machine::Machine(const Site& site, std::string name, std::string zone, std::string ip)
    : m_site(site)
    , m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_ip(std::move(ip))
{
}

Machine::~Machine()
{
    if (m_process <= 0)
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    waitpid(m_process, nullptr, 0);
}

void Machine::writeSettings(bool first) const
{
    std::ofstream file(m_site.folder + "/" + m_name + ".toml");
    file << "node_name = \"" << m_name << "\"\nrole = \"gateway\"\nmachine_class = \"edge\"\nserves = [\"edge\"]\nip = \"" << m_ip << "\"\nzone = \"" << m_zone << "\"\nregion = \"r\"\n"
         << "port_range = [" << m_site.peers << "," << m_site.peers << "]\nbootstrap = " << (first ? "true" : "false") << "\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"tenants\",\"quota\"," << m_site.moreContracts << "\"platform\"]\n"
         << "[zones]\na = \"r\"\nb = \"r\"\nc = \"r\"\n"
         << "[listen]\nfrontend = \"" << m_ip << ":" << m_site.frontend << "\"\nreadiness = \"" << m_ip << ":" << m_site.readiness << "\"\n"
         << "[limits]\ncpu_quota = 0.19\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n"
         << "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = " << m_site.contactMilliseconds << "\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = " << m_site.drainMilliseconds << "\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = " << m_site.configApplyMilliseconds << "\nrollback_slack_ms = 250\n"
         << "retry_budget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 52\nquota_window_s = 8\nquota_overshoot = " << m_site.quotaOvershoot << "\nquota_tolerance = " << m_site.quotaTolerance << "\nrecovery_s = 12\npass_ms = 120\n"
         << "fencing_enforced = " << (m_site.fencingEnforced ? "true" : "false") << "\nlease_ms = 3000\nthaw_ms = 300\nrate_window_s = 5\nload_overshoot = 1.1\n"
         << "[platform]\naddress = \"" << m_site.store.text() << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n";
}

void Machine::start(bool first)
{
    writeSettings(first);
    std::string log = m_site.folder + "/" + m_name + ".log";
    std::string boot = "TOUCANSTEP_BOOT=" + m_site.folder + "/" + m_name + ".toml";
    std::string program = m_site.program;
    std::string mode = "direct";
    std::array<char*, 3> arguments { program.data(), mode.data(), nullptr };
    std::array<char*, 2> environment { boot.data(), nullptr };
    m_process = fork();
    if (m_process)
        return;
    // Does not outlive the case, whatever ends that.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execve(program.c_str(), arguments.data(), environment.data());
    _exit(127);
}

void Machine::signal(int number) const
{
    if (m_process > 0)
        kill(m_process, number);
}

bool Machine::running()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process)
        m_process = 0;
    return m_process > 0;
}

bool Machine::awaitEnd(std::chrono::milliseconds most)
{
    auto until = Clock::now() + most;
    while (running() && Clock::now() < until)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    if (!running())
        return true;
    signal(SIGKILL);
    waitpid(m_process, nullptr, 0);
    m_process = 0;
    return false;
}

bool Machine::ready() const
{
    auto until = Clock::now() + std::chrono::milliseconds(500);
    auto connection = Connection::open({ m_ip, m_site.readiness }, until);
    if (!connection || !connection->send("GET /-/readyz HTTP/1.1\r\nHost: h\r\n\r\n"))
        return false;
    auto response = connection->readResponse(until);
    return response && response->status == statusOk;
}

bool Machine::awaitReady(std::chrono::milliseconds most) const
{
    auto until = Clock::now() + most;
    while (!ready()) {
        if (Clock::now() > until)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

} // namespace review
