#include "toucanstep/fleet/EmbeddedFleet.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/node/Keys.h"

#include <array>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace toucanstep::fleet {

namespace {

constexpr std::array<const char*, 3> domains { "zone-a", "zone-b", "zone-c" };
constexpr base::Duration pollInterval = std::chrono::milliseconds(20);
constexpr base::Duration statusTimeout = std::chrono::seconds(2);

template <typename T>
T required(base::Result<T> result, std::string_view what)
{
    base::Error error;
    auto value = base::valueOr(error, [&] { return std::move(result); });
    CHECK(value) << what << ": " << error.message;
    return std::move(*value);
}

std::string gatewayName(int index)
{
    return base::concat("gateway-", index);
}

std::string sidecarName(const std::string& pool, int index)
{
    return base::concat(pool, "-", index);
}

// What the engines can load is what the store has.
fakes::FakeWeightStoreOptions weightsOf(const fakes::FakeEngineOptions& engine)
{
    fakes::FakeWeightStoreOptions store;
    store.rate = engine.remoteRate;
    for (const fakes::FakeCheckpoint& checkpoint : engine.checkpoints)
        store.weights[checkpoint.name] = { checkpoint.size, !checkpoint.baseName.empty() };
    return store;
}

void readRefusal(CallerReply& reply)
{
    constexpr bool throwing = false;
    auto body = nlohmann::json::parse(reply.http.body, nullptr, throwing);
    if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
        return;
    const auto& error = body["error"];
    reply.code = error.value("code", "");
    reply.ran = error.value("ran", "");
    if (error.contains("retry_after_ms") && error["retry_after_ms"].is_number_integer())
        reply.retryAfterMilliseconds = error["retry_after_ms"].get<int64_t>();
}

} // namespace

EmbeddedFleet::EmbeddedFleet(FleetOptions options)
    : m_options(std::move(options))
    , m_weights(weightsOf(m_options.engine))
    , m_client(std::make_shared<formats::HttpClient>())
{
    m_gateways.resize(static_cast<size_t>(m_options.gateways));
    for (int index = 0; index < m_options.engines; ++index) {
        fakes::FakeEngineOptions engine = m_options.engine;
        engine.weightStoreUrl = m_weights.url();
        m_engines.push_back(std::make_unique<fakes::FakeEngine>(engine));
        startSidecar(m_options.enginePool, index, m_engines.back()->url());
    }
    for (int index = 0; index < m_options.services; ++index) {
        m_services.push_back(std::make_unique<fakes::FakeService>());
        startSidecar(m_options.servicePool, index, m_services.back()->url());
    }
    for (int index = 0; index < m_options.gateways; ++index)
        startGateway(index);
}

EmbeddedFleet::~EmbeddedFleet()
{
    m_gateways.clear();
    m_sidecars.clear();
}

config::ProcessSettings EmbeddedFleet::settingsFor(config::Role role, const std::string& instance, int domain) const
{
    config::ProcessSettings settings;
    settings.role = role;
    settings.instance = base::InstanceId(instance);
    settings.failureDomain = base::FailureDomain(domains.at(static_cast<size_t>(domain) % domains.size()));
    settings.keyValueUrl = m_store.url();
    settings.instanceListUrl = m_list.url();
    settings.weightStoreUrl = m_weights.url();
    settings.fleetSecret = "embedded-fleet";
    return settings;
}

void EmbeddedFleet::startSidecar(const std::string& pool, int index, const std::string& upstreamUrl)
{
    config::ProcessSettings settings = settingsFor(config::Role::Sidecar, sidecarName(pool, index), index);
    settings.listName = pool;
    settings.pool = base::PoolId(pool);
    settings.upstreamUrl = upstreamUrl;
    m_sidecars.push_back(required(sidecar::Sidecar::start(settings, m_options.sidecar), "sidecar"));
    m_list.put(pool, { settings.instance, m_sidecars.back()->peerEndpoint(), settings.failureDomain, true, false });
}

void EmbeddedFleet::startGateway(int index)
{
    config::ProcessSettings settings = settingsFor(config::Role::Gateway, gatewayName(index), index);
    settings.listName = std::string(node::gatewayListName);
    auto& gateway = m_gateways.at(static_cast<size_t>(index));
    gateway = required(gateway::Gateway::start(settings, m_options.gateway), "gateway");
    m_list.put(std::string(node::gatewayListName), { settings.instance, gateway->peerEndpoint(), settings.failureDomain, true, false });
}

void EmbeddedFleet::leaveGateway(int index)
{
    auto& gateway = m_gateways.at(static_cast<size_t>(index));
    base::InstanceId instance(gatewayName(index));
    base::FailureDomain domain(domains.at(static_cast<size_t>(index) % domains.size()));
    m_list.put(std::string(node::gatewayListName), { instance, gateway->peerEndpoint(), domain, false, true });
    gateway->leave();
    while (!gateway->drained())
        std::this_thread::sleep_for(pollInterval);
    gateway.reset();
    m_list.remove(std::string(node::gatewayListName), instance);
}

void EmbeddedFleet::leaveSidecar(int index)
{
    auto& sidecar = m_sidecars.at(static_cast<size_t>(index));
    bool isEngine = index < m_options.engines;
    const std::string& pool = isEngine ? m_options.enginePool : m_options.servicePool;
    int number = isEngine ? index : index - m_options.engines;
    base::InstanceId instance(sidecarName(pool, number));
    base::FailureDomain domain(domains.at(static_cast<size_t>(number) % domains.size()));
    m_list.put(pool, { instance, sidecar->peerEndpoint(), domain, false, true });
    sidecar->leave();
    while (!sidecar->drained())
        std::this_thread::sleep_for(pollInterval);
    sidecar.reset();
    m_list.remove(pool, instance);
}

base::Revision EmbeddedFleet::publish(const std::string& text)
{
    return m_store.put(std::string(node::configurationKey), text);
}

bool EmbeddedFleet::waitInForce(base::Revision version, base::Duration patience)
{
    base::Instant deadline = std::chrono::steady_clock::now() + patience;
    std::vector<uint16_t> ports;
    for (const auto& gateway : m_gateways) {
        if (gateway)
            ports.push_back(gateway->operatorPort());
    }
    for (const auto& sidecar : m_sidecars) {
        if (sidecar)
            ports.push_back(sidecar->operatorPort());
    }
    while (!ports.empty() && std::chrono::steady_clock::now() < deadline) {
        std::erase_if(ports, [&](uint16_t port) {
            formats::HttpCall call;
            call.url = base::concat("http://127.0.0.1:", port, "/status");
            call.deadline = std::chrono::steady_clock::now() + statusTimeout;
            formats::HttpReply reply = m_client->fetch(call);
            constexpr bool throwing = false;
            auto status = nlohmann::json::parse(reply.body, nullptr, throwing);
            return status.is_object() && status.value("configuration", int64_t { 0 }) >= version.value();
        });
        if (!ports.empty())
            std::this_thread::sleep_for(pollInterval);
    }
    return ports.empty();
}

bool EmbeddedFleet::waitServing(const CallerCall& call, base::Duration patience)
{
    base::Instant deadline = std::chrono::steady_clock::now() + patience;
    while (std::chrono::steady_clock::now() < deadline) {
        CallerReply reply = this->call(call);
        if (reply.http.ok())
            return true;
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

CallerReply EmbeddedFleet::call(const CallerCall& call)
{
    formats::HttpCall http;
    http.method = call.method;
    http.url = base::concat("http://127.0.0.1:", callerPort(call.gateway), call.path);
    http.headers = call.headers;
    if (!call.key.empty())
        http.headers.push_back({ "Authorization", "Bearer " + call.key });
    http.headers.push_back({ "Content-Type", "application/json" });
    http.body = call.body;
    base::Instant began = std::chrono::steady_clock::now();
    http.deadline = began + call.timeout;
    CallerReply reply;
    reply.http = m_client->fetch(http);
    reply.took = std::chrono::steady_clock::now() - began;
    readRefusal(reply);
    return reply;
}

uint16_t EmbeddedFleet::callerPort(int gateway) const
{
    return m_gateways.at(static_cast<size_t>(gateway))->callerPort();
}

uint16_t EmbeddedFleet::operatorPort(int gateway) const
{
    return m_gateways.at(static_cast<size_t>(gateway))->operatorPort();
}

} // namespace toucanstep::fleet
