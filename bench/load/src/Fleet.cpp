#include "Fleet.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/node/Keys.h"

#include <array>
#include <csignal>
#include <fstream>
#include <glog/logging.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

namespace toucanstep::bench {

namespace {

constexpr std::array<const char*, 3> domains { "zone-a", "zone-b", "zone-c" };
constexpr base::Duration pollInterval = std::chrono::milliseconds(20);
constexpr base::Duration startPatience = std::chrono::seconds(20);
constexpr base::Duration stopPatience = std::chrono::seconds(8);
constexpr base::Duration statusTimeout = std::chrono::seconds(2);
constexpr base::Duration quietBeforePlaced = std::chrono::seconds(1);
constexpr const char* anyPort = "127.0.0.1:0";
constexpr const char* secretFile = "fleet-secret";

std::filesystem::path makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "toucanstep-bench-XXXXXX").string();
    CHECK(mkdtemp(pattern.data())) << "cannot make a folder for the run";
    return pattern;
}

fakes::FakeWeightStoreOptions weightsOf(const Deployment& deployment)
{
    fakes::FakeWeightStoreOptions options;
    for (const fakes::FakeCheckpoint& checkpoint : deployment.checkpoints())
        options.weights[checkpoint.name] = { checkpoint.size, !checkpoint.baseName.empty() };
    options.rate = remoteBytesPerSecond;
    options.fullSpeedLoads = static_cast<size_t>(deployment.configuration().loads.concurrentLoads);
    options.adapterLimit = static_cast<size_t>(deployment.configuration().loads.adaptersInFlight);
    return options;
}

fakes::FakeKeyValueServiceOptions storeOptions(const std::shared_ptr<TruthRecorder>& truth)
{
    fakes::FakeKeyValueServiceOptions options;
    options.observer = [truth](const std::vector<base::WatchEvent>& changes) { truth->onRowsChanged(changes); };
    return options;
}

} // namespace

Fleet::Fleet(std::shared_ptr<const Deployment> deployment, FleetOptions options)
    : m_deployment(std::move(deployment))
    , m_options(std::move(options))
    , m_folder(makeFolder())
    , m_truth(std::make_shared<TruthRecorder>())
    , m_store(std::make_unique<fakes::FakeKeyValueService>(storeOptions(m_truth)))
    , m_list(std::make_unique<fakes::FakeInstanceList>())
    , m_weights(std::make_unique<fakes::FakeWeightStore>(weightsOf(*m_deployment)))
    , m_client(std::make_unique<formats::HttpClient>())
{
    std::ofstream(m_folder / secretFile) << "the secret of the bench's fleet";
}

Fleet::~Fleet()
{
    m_gateways.clear();
    m_sidecars.clear();
}

InstancePointer Fleet::makeInstance(const base::PoolId& pool, const std::string& listName)
{
    auto instance = std::make_shared<Instance>();
    std::lock_guard lock(m_mutex);
    int number = m_started[listName]++;
    instance->id = base::InstanceId(base::concat(listName, "-", number));
    instance->domain = base::FailureDomain(domains.at(static_cast<size_t>(number) % domains.size()));
    instance->listName = listName;
    instance->pool = pool;
    instance->historyFile = (m_folder / base::concat(instance->id, ".history")).string();
    instance->logFile = (m_folder / base::concat(instance->id, ".log")).string();
    return instance;
}

void Fleet::makeUpstream(Instance& instance)
{
    const config::UpstreamPool* pool = m_deployment->configuration().findPool(instance.pool);
    if (pool->kind == config::PoolKind::Services) {
        fakes::FakeServiceOptions options;
        options.delay = m_options.serviceDelay;
        options.poisonWord = m_options.poisonWord;
        instance.service = std::make_unique<fakes::FakeService>(options);
        return;
    }
    fakes::FakeEngineOptions options;
    options.checkpoints = m_deployment->checkpoints();
    options.memoryLimit = pool->memory;
    options.memoryRate = memoryBytesPerSecond;
    options.diskRate = diskBytesPerSecond;
    options.remoteRate = remoteBytesPerSecond;
    options.weightStoreUrl = m_weights->url();
    options.tickLength = m_options.text.engineTick;
    options.maximumRunning = static_cast<size_t>(m_options.text.slots ? m_options.text.slots : pool->slots);
    options.honoursFencing = true;
    options.honoursPriority = true;
    options.honoursResume = true;
    options.poisonWord = m_options.poisonWord;
    base::UpstreamId upstream(instance.id.value());
    options.observer = [truth = m_truth, upstream](const fakes::FakeEngineChange& change) { truth->onEngineChange(upstream, change); };
    m_truth->record({ .kind = base::HistoryKind::MemoryCapacity, .upstream = upstream, .bytes = pool->memory });
    instance.engine = std::make_unique<fakes::FakeEngine>(options);
}

bool Fleet::launch(const InstancePointer& instance, const char* role)
{
    nlohmann::json settings = { { "role", role }, { "instance", instance->id.value() }, { "failureDomain", instance->domain.value() }, { "peerListen", anyPort },
        { "operatorListen", anyPort }, { "keyValueUrl", m_store->url() }, { "instanceListUrl", m_list->url() }, { "weightStoreUrl", m_weights->url() },
        { "listName", instance->listName }, { "fleetSecretFile", secretFile }, { "historyFile", instance->historyFile } };
    if (instance->pool.empty())
        settings["callerListen"] = anyPort;
    else {
        settings["pool"] = instance->pool.value();
        settings["upstreamUrl"] = instance->engine ? instance->engine->url() : instance->service->url();
    }
    std::string file = (m_folder / base::concat(instance->id, ".json")).string();
    std::ofstream(file) << settings.dump(2) << "\n";
    DaemonOptions options { m_options.daemonProgram, { "--settings", file }, instance->logFile };
    options.arguments.insert(options.arguments.end(), m_options.daemonArguments.begin(), m_options.daemonArguments.end());
    instance->daemon = std::make_unique<DaemonProcess>(options);
    auto ports = instance->daemon->waitListening(startPatience);
    if (!ports) {
        std::lock_guard lock(m_mutex);
        m_complaints.push_back(base::concat(instance->id, " did not come up; see ", instance->logFile));
        return false;
    }
    instance->ports = *ports;
    m_list->put(instance->listName, { instance->id, ports->peer, instance->domain, true, false });
    return true;
}

InstancePointer Fleet::startGateway()
{
    InstancePointer instance = makeInstance({}, std::string(node::gatewayListName));
    if (!launch(instance, "gateway"))
        return nullptr;
    std::lock_guard lock(m_mutex);
    instance->inService = !m_readinessMatters;
    m_gateways.push_back(instance);
    return instance;
}

InstancePointer Fleet::startSidecar(const base::PoolId& pool)
{
    InstancePointer instance = makeInstance(pool, m_deployment->configuration().findPool(pool)->listName);
    makeUpstream(*instance);
    if (!launch(instance, "sidecar"))
        return nullptr;
    std::lock_guard lock(m_mutex);
    instance->inService = !m_readinessMatters;
    m_sidecars.push_back(instance);
    return instance;
}

bool Fleet::start()
{
    for (const config::UpstreamPool& pool : m_deployment->configuration().pools) {
        int count = pool.kind == config::PoolKind::Engines ? m_options.engines : m_options.services;
        for (int index = 0; index < count; ++index) {
            if (!startSidecar(pool.id))
                return false;
        }
    }
    for (int index = 0; index < m_options.gateways; ++index) {
        if (!startGateway())
            return false;
    }
    int64_t factor = m_options.text.rateFactor;
    for (const config::ClientAccount& account : m_deployment->configuration().accounts) {
        base::Tokens rate(account.tokensPerSecond.value() * factor);
        m_truth->record({ .kind = base::HistoryKind::LimitInForce, .account = account.id, .tokens = rate, .burst = base::Tokens(Deployment::burstOf(account) * factor) });
    }
    bool inForce = waitInForce(publish(m_deployment->text(m_options.text)), startPatience);
    m_readinessMatters = true;
    return inForce;
}

base::Revision Fleet::publish(const std::string& text)
{
    return m_store->put(std::string(node::configurationKey), text);
}

std::vector<InstancePointer> Fleet::instances() const
{
    std::lock_guard lock(m_mutex);
    std::vector<InstancePointer> all = m_gateways;
    all.insert(all.end(), m_sidecars.begin(), m_sidecars.end());
    return all;
}

formats::HttpReply Fleet::askOperator(const Instance& instance, std::string_view path)
{
    formats::HttpCall call;
    call.url = base::concat("http://127.0.0.1:", instance.ports.operatorPort, path);
    call.deadline = std::chrono::steady_clock::now() + statusTimeout;
    return m_client->fetch(call);
}

bool Fleet::waitReady(const InstancePointer& instance, base::Duration patience)
{
    base::Instant deadline = std::chrono::steady_clock::now() + patience;
    while (!askOperator(*instance, "/readyz").ok()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            std::lock_guard lock(m_mutex);
            m_complaints.push_back(base::concat(instance->id, " was not ready ", base::toMilliseconds(patience), " ms after its start"));
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    std::lock_guard lock(m_mutex);
    instance->inService = true;
    return true;
}

int Fleet::countInForce(base::Revision version)
{
    int count = 0;
    for (const InstancePointer& instance : instances()) {
        if (!instance->inService)
            continue;
        formats::HttpReply reply = askOperator(*instance, "/status");
        constexpr bool throwing = false;
        auto status = nlohmann::json::parse(reply.body, nullptr, throwing);
        count += status.is_object() && status.value("configuration", int64_t { 0 }) >= version.value() ? 1 : 0;
    }
    return count;
}

bool Fleet::waitInForce(base::Revision version, base::Duration patience)
{
    base::Instant deadline = std::chrono::steady_clock::now() + patience;
    auto all = instances();
    auto expected = std::count_if(all.begin(), all.end(), [](const InstancePointer& instance) { return instance->inService; });
    while (countInForce(version) < expected) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void Fleet::waitPlaced(base::Duration patience)
{
    base::Instant deadline = std::chrono::steady_clock::now() + patience;
    int64_t rows = -1;
    base::Instant changed = std::chrono::steady_clock::now();
    while (std::chrono::steady_clock::now() < std::min(deadline, changed + quietBeforePlaced)) {
        if (m_truth->replicaRowsWritten() != rows) {
            rows = m_truth->replicaRowsWritten();
            changed = std::chrono::steady_clock::now();
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

void Fleet::stop()
{
    auto all = instances();
    for (const InstancePointer& instance : all) {
        instance->inService = false;
        if (instance->daemon)
            instance->daemon->signal(SIGTERM);
    }
    base::Instant deadline = std::chrono::steady_clock::now() + stopPatience;
    for (const InstancePointer& instance : all) {
        if (!instance->daemon)
            continue;
        if (!instance->daemon->waitEnded(base::remaining(std::chrono::steady_clock::now(), deadline)))
            m_complaints.push_back(base::concat(instance->id, " had not ended ", base::toMilliseconds(stopPatience), " ms after SIGTERM to the whole fleet"));
        instance->daemon.reset();
    }
}

std::vector<InstancePointer> Fleet::gateways() const
{
    std::lock_guard lock(m_mutex);
    return m_gateways;
}

std::vector<InstancePointer> Fleet::sidecars() const
{
    std::lock_guard lock(m_mutex);
    return m_sidecars;
}

std::vector<uint16_t> Fleet::callerPorts() const
{
    std::lock_guard lock(m_mutex);
    std::vector<uint16_t> ports;
    for (const InstancePointer& gateway : m_gateways) {
        if (gateway->inService)
            ports.push_back(gateway->ports.callerPort);
    }
    return ports;
}

bool Fleet::leave(const InstancePointer& instance, base::Duration patience)
{
    m_list->put(instance->listName, { instance->id, instance->ports.peer, instance->domain, false, true });
    {
        std::lock_guard lock(m_mutex);
        instance->inService = false;
    }
    instance->daemon->signal(SIGTERM);
    bool ended = instance->daemon->waitEnded(patience);
    if (!ended) {
        std::lock_guard lock(m_mutex);
        m_complaints.push_back(base::concat(instance->id, " had not ended ", base::toMilliseconds(patience), " ms after SIGTERM"));
    }
    instance->daemon.reset();
    dropFromList(instance);
    // The host goes with its instance: an engine's memory is free from then on.
    if (instance->engine)
        instance->engine->crash();
    return ended;
}

void Fleet::kill(const InstancePointer& instance)
{
    {
        std::lock_guard lock(m_mutex);
        instance->inService = false;
    }
    instance->daemon->signal(SIGKILL);
    instance->daemon->waitEnded(stopPatience);
    instance->killedAt = std::chrono::steady_clock::now();
}

void Fleet::dropFromList(const InstancePointer& instance)
{
    m_list->remove(instance->listName, instance->id);
}

} // namespace toucanstep::bench
