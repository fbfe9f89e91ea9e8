#include "GatewayCore.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace toucanstep::direct {

namespace {

constexpr auto tickInterval = std::chrono::milliseconds(100);
// Per gateway of the fleet: bounds the rate at which the planner sends reports.
constexpr auto planSpacingPerGateway = std::chrono::microseconds(500);
constexpr auto sweepInterval = std::chrono::seconds(1);
// Poll delay as a percentage of the propagation limit; leaves time for a second request if the first one fails.
constexpr int pollDelayPercent = 38;
// The delay between polls of upstreams is drawn between these percentages of the poll delay.
constexpr int minPollPercent = 60;
constexpr int maxPollPercent = 150;
// A long poll is this much shorter than the propagation limit, so that a silent connection is abandoned within the limit.
constexpr auto silentConnectionMargin = std::chrono::milliseconds(500);
// Time without data from the store, beyond the poll delay, after which peers are asked for copies.
constexpr auto storeSilenceThreshold = std::chrono::milliseconds(900);
// Time without an answer, beyond the poll delay, that counts as an outage, so that expired entries get a grace period.
constexpr auto storeOutageThreshold = std::chrono::milliseconds(1500);

constexpr std::string_view metricsTarget = "/metrics";
constexpr std::string_view statusTarget = "/status";

using Json = nlohmann::json;

int64_t wallMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

CallDispatcherSettings callSettings(const DirectGatewaySettings& settings)
{
    CallDispatcherSettings calls;
    calls.instance = settings.instance;
    calls.domain = settings.domain;
    calls.limits.overshoot = settings.limitOvershoot;
    calls.limits.window = settings.limitWindow;
    calls.policies = settings.policies;
    calls.terminationGrace = settings.terminationGrace;
    calls.retries = { settings.retryRatio, settings.retrySlack, settings.retryWindow };
    return calls;
}

http1::ClientOptions clientOptions()
{
    http1::ClientOptions options;
    options.receiveBufferBytes = 128 * 1024;
    return options;
}

ReportRelaySettings relaySettings(const DirectGatewaySettings& settings)
{
    ReportRelaySettings relay;
    relay.enabled = settings.policies.relayReports && settings.regions.size() > 1;
    relay.minGateways = settings.policies.relayFromGateways;
    return relay;
}

base::Duration watchPollDelay(const DirectGatewaySettings& settings)
{
    return settings.changePropagationLimit * pollDelayPercent / 100;
}

WatchPollSettings watchPollSettings(const DirectGatewaySettings& settings)
{
    base::Duration pollDelay = watchPollDelay(settings);
    return { pollDelay, pollDelay * minPollPercent / 100, pollDelay * (maxPollPercent - minPollPercent) / 100, std::max(pollDelay, settings.changePropagationLimit - silentConnectionMargin) };
}

StoreMirrorSettings mirrorSettings(const DirectGatewaySettings& settings, const WireFormat& format)
{
    StoreMirrorSettings mirror;
    mirror.desiredStatePrefix = format.operatorPrefix();
    mirror.upstreamPrefix = format.upstreamPrefix();
    mirror.fleetPrefix = fleetPrefix;
    mirror.outageThreshold = watchPollDelay(settings) + storeOutageThreshold;
    mirror.silenceThreshold = watchPollDelay(settings) + storeSilenceThreshold;
    return mirror;
}

} // namespace

class GatewayCore::OperatorHandler final : public http1::RequestHandler {
public:
    explicit OperatorHandler(GatewayCore& core)
        : m_core(core)
    {
    }
    void onRequest(std::shared_ptr<http1::ServerExchange> exchange) override
    {
        constexpr int ok = 200;
        constexpr int unavailable = 503;
        constexpr int notFound = 404;
        const std::string& target = exchange->head().target;
        http1::AnswerHead head;
        head.status = ok;
        if (target == m_core.m_format->readinessTarget()) {
            head.status = m_core.ready() ? ok : unavailable;
            exchange->answer(std::move(head), m_core.ready() ? "ready\n" : "not ready\n");
        } else if (StoreMirror::isCopyRequest(target)) {
            auto copy = m_core.m_mirror.copyResponse(target);
            head.status = copy ? ok : notFound;
            exchange->answer(std::move(head), copy.value_or(""));
        } else if (target == metricsTarget) {
            exchange->answer(std::move(head), m_core.metricsText());
        } else if (target == statusTarget) {
            exchange->answer(std::move(head), m_core.statusText());
        } else {
            head.status = notFound;
            exchange->answer(std::move(head), "");
        }
    }

private:
    GatewayCore& m_core;
};

GatewayCore::GatewayCore(io::EventLoop& loop, DirectGatewaySettings settings, std::shared_ptr<const WireFormat> format, const StoreFactory& makeStore)
    : m_loop(loop)
    , m_settings(std::move(settings))
    , m_format(std::move(format))
    , m_client(loop, clientOptions())
    , m_storeClient(loop)
    , m_store(makeStore(loop, m_storeClient, watchPollSettings(m_settings)))
    , m_calls(loop, m_client, *m_format, m_metrics, callSettings(m_settings))
    , m_engineController(
          loop, m_client, *m_format, m_calls.availability(), m_settings.instance.value(),
          { [this] { m_election.resign("an engine has seen a newer fencing token"); },
              [this] {
                  scheduleCoalesced(m_planReportTimer, &GatewayCore::sendPlanNow, std::max<base::Duration>(coalescingDelay, planSpacingPerGateway * m_transport->peers().size()));
                  scheduleCoalesced(m_planTimer, &GatewayCore::planNow, coalescingDelay);
              },
              [this](const UpstreamDescription& engine, const ResponseMetadata& answer) { m_calls.onAvailabilityStated(engine.id, engine.start, answer); } })
    , m_planner(PlacementSettings {})
    , m_mirror(loop, *m_store, m_client, mirrorSettings(m_settings, *m_format), *this)
    , m_election(loop, *m_store, m_mirror.part(StorePart::Fleet), m_settings, [this] { onElected(); })
    , m_claimKeeper(loop, *m_store, m_mirror.part(StorePart::Fleet), m_settings)
    , m_refusalRecord(loop, *m_store, m_mirror.part(StorePart::Fleet), m_calls.crashes())
    , m_operatorHandler(std::make_unique<OperatorHandler>(*this))
    , m_incarnation(wallMilliseconds())
{
    m_calls.limits().setSelf(m_settings.instance, m_loop.now());
    m_calls.limits().setShare(m_claimKeeper.claim());
}

GatewayCore::~GatewayCore()
{
    for (auto timer : { m_tickTimer, m_demandTimer, m_planTimer, m_planReportTimer })
        m_loop.cancel(timer);
    m_calls.shutDownAll();
}

base::Result<void> GatewayCore::start()
{
    BOOST_LEAF_ASSIGN(m_callerServer, http1::Server::listen(m_loop, m_settings.callers, m_calls));
    m_calls.callerMemory().setServer(m_callerServer.get());
    m_callerServer->setUploadListener(&m_calls.callerMemory());
    BOOST_LEAF_ASSIGN(m_readinessServer, http1::Server::listen(m_loop, m_settings.readiness, *m_operatorHandler));
    BOOST_LEAF_ASSIGN(m_operatorServer, http1::Server::listen(m_loop, m_settings.peers, *m_operatorHandler));
    BOOST_LEAF_ASSIGN(m_transport, FleetTransport::open(m_loop, m_operatorServer->endpoint(), [this](const FleetReport& report, const ReceivedReport& received) {
        m_relayedSending->onReceived(report, received);
        onReport(report);
    }));
    m_relayedSending = std::make_unique<RelayedSending>(
        m_loop, *m_transport, m_metrics, [this] { return nextSender(); }, ReportRelay(m_settings.instance, m_settings.domain, relaySettings(m_settings)));
    m_calls.onTargetMissing([this] { scheduleCoalesced(m_demandTimer, &GatewayCore::sendDemandNow, coalescingDelay); });
    m_mirror.start();
    tick();
    return {};
}

bool GatewayCore::ready() const
{
    // The list of upstreams may be long, and is used as it arrives.
    bool known = m_mirror.part(StorePart::DesiredState).synced() && m_mirror.part(StorePart::Fleet).synced() && !m_calls.upstreams().all().empty();
    return known && m_calls.desiredState() && m_calls.limits().mayChargeAll(m_loop.now()) && !m_calls.stop().begun();
}

void GatewayCore::tick()
{
    base::Instant now = m_loop.now();
    m_election.tick();
    m_claimKeeper.tick();
    m_calls.fleetShare().setMembership(m_election.registered(), m_election.leaseEnd(), now);
    m_peerLoads.expire(reportLifetime(), now);
    applyPeerLoads();
    logRateShares();
    sendLoadReport();
    m_calls.crashes().setMakesTrials(isPlanner());
    m_calls.tick();
    if (m_election.leadership().maySendOrders(now))
        plan();
    else if (isPlanner())
        readEngines();
    sendDemand();
    sendPlan();
    m_mirror.catchUp(copySources(), m_election.lastAnswer());
    if (now >= m_nextSweep) {
        m_nextSweep = now + sweepInterval;
        m_client.sweep();
        m_storeClient.sweep();
        updatePeers();
        if (m_election.leadership().maySendOrders(now))
            m_refusalRecord.write();
    }
    if (m_calls.stop().begun())
        drain();
    m_calls.stop().onRuns(now);
    m_tickTimer = m_loop.at(now + tickInterval, [this] { tick(); });
}

void GatewayCore::logRateShares()
{
    AccountLimits::RateShares shares = m_calls.limits().rateShares(m_loop.now());
    if (shares == m_loggedShares)
        return;
    m_loggedShares = shares;
    base::LogLine("limit_shares_changed").add("gateways", shares.total).add("heard", shares.live).add("spendable", shares.spendable).add("own_percent", std::lround(shares.own * 100)).add("claim", m_claimKeeper.claim().isSettled() ? "settled" : "joining").add("registered", m_election.registered() ? "yes" : "no").add("list_synced", m_mirror.part(StorePart::Fleet).synced() ? "yes" : "no");
    m_metrics.gauge("toucanstep_limit_gateways", "", static_cast<double>(shares.total));
    m_metrics.gauge("toucanstep_limit_gateways_heard", "", static_cast<double>(shares.live));
}

void GatewayCore::scheduleCoalesced(io::EventLoop::TimerId& timer, void (GatewayCore::*task)(), base::Duration delay)
{
    if (timer)
        return;
    timer = m_loop.at(m_loop.now() + delay, [this, &timer, task] {
        timer = 0;
        (this->*task)();
    });
}

void GatewayCore::sendDemandNow()
{
    if (isPlanner()) {
        planNow();
        return;
    }
    m_nextDemand = {};
    sendDemand();
}

void GatewayCore::planNow()
{
    if (m_election.leadership().maySendOrders(m_loop.now()))
        plan();
}

void GatewayCore::sendPlanNow()
{
    m_nextPlanReport = {};
    sendPlan();
}

void GatewayCore::leave(base::Instant noticed)
{
    StopClock& stop = m_calls.stop();
    if (stop.begun())
        return;
    size_t running = m_calls.running();
    size_t waiting = m_calls.waiting();
    m_callerServer->closeAfterAnswers();
    m_calls.beginStop(noticed);
    base::LogLine("leaving").add("running", running).add("waiting", waiting).add("refused", running - m_calls.running()).add("connections", m_callerServer->connections()).add("noticed_after_ms", base::toMilliseconds(noticed - stop.earliestSignal())).add("acted_after_ms", base::toMilliseconds(m_loop.now() - noticed));
    m_election.leave();
    m_claimKeeper.leave();
}

void GatewayCore::drain()
{
    base::Instant now = m_loop.now();
    const StopClock& stop = m_calls.stop();
    if (now > stop.intakeEnd())
        m_callerServer->stop();
    size_t unsent = m_callerServer->unsentBytes();
    // What is not acknowledged of an answer may be lost with the process, and so is a request that it has begun to read.
    bool idle = now > stop.intakeEnd() && !m_calls.running() && !m_callerServer->connections() && !m_callerServer->closingConnections() && !unsent;
    bool drained = idle || now > stop.end();
    if (drained && !m_drained)
        base::LogLine("drained").add("cause", idle ? "idle" : "grace").add("after_ms", base::toMilliseconds(now - stop.noticed())).add("running", m_calls.running()).add("connections", m_callerServer->connections()).add("closing", m_callerServer->closingConnections()).add("unsent_bytes", unsent);
    m_drained = drained;
}

// ---- store updates

void GatewayCore::onEntry(const base::KeyValue& entry)
{
    if (entry.key == m_format->desiredStateKey())
        setDesiredState(entry);
    else if (entry.key.starts_with(m_format->evacuationPrefix()))
        evacuate(base::FailureDomain(entry.key.substr(m_format->evacuationPrefix().size())));
    else if (entry.key.starts_with(m_format->upstreamPrefix()))
        setUpstream(entry);
    else if (entry.key.starts_with(memberPrefix) || entry.key.starts_with(claimPrefix))
        m_listChanged = true;
    else if (entry.key.starts_with(refusalPrefix))
        m_refusalRecord.onEntry(entry);
}

void GatewayCore::onRemoved(const std::string& key)
{
    if (key.starts_with(m_format->upstreamPrefix())) {
        base::UpstreamId id(key.substr(m_format->upstreamPrefix().size()));
        base::LogLine("upstream_gone").add("upstream", id);
        m_calls.upstreams().remove(id);
        m_calls.callLimits().remove(id);
        m_engineController.onUpstreamGone(id);
        m_client.forget(id.value());
    } else if (key.starts_with(m_format->evacuationPrefix())) {
        endEvacuation(base::FailureDomain(key.substr(m_format->evacuationPrefix().size())));
    } else if (key.starts_with(memberPrefix) || key.starts_with(claimPrefix)) {
        m_listChanged = true;
    }
}

void GatewayCore::evacuate(const base::FailureDomain& domain)
{
    base::LogLine("domain_evacuated").add("domain", domain);
    m_calls.upstreams().evacuate(domain);
}

// The list may show only later that upstreams of the domain have become cold.
void GatewayCore::endEvacuation(const base::FailureDomain& domain)
{
    base::LogLine("domain_evacuation_ended").add("domain", domain);
    base::Duration coldFor {};
    if (auto state = m_calls.desiredState()) {
        for (const auto& service : state->services)
            coldFor = std::max(coldFor, service.coldStart ? service.coldStart->duration : base::Duration::zero());
    }
    m_calls.upstreams().endEvacuation(domain, m_loop.now() + coldFor);
    m_calls.wakeWaiting();
}

void GatewayCore::onDirectoryUpdated()
{
    if (std::exchange(m_listChanged, false))
        updatePeers();
    if (auto answered = m_mirror.lastAnswer())
        m_calls.setLastStoreContact(*answered);
    if (auto answered = m_mirror.part(StorePart::Fleet).lastAnswer(); answered && answered != m_lastListAnswer) {
        m_lastListAnswer = answered;
        m_calls.fleetShare().onListAnswer(*answered);
    }
    m_claimKeeper.onDirectoryUpdated();
    shareUpstreamList();
    if (auto planner = m_election.onDirectoryUpdated())
        setPlannerPeer(*planner);
    m_calls.wakeWaiting();
}

void GatewayCore::setDesiredState(const base::KeyValue& entry)
{
    std::string reason;
    base::Instant began = m_loop.now();
    auto state = m_format->readDesiredState(entry.value, reason);
    int64_t readMilliseconds = base::toMilliseconds(m_loop.now() - began);
    if (!state) {
        base::LogLine("desired_state_unreadable").add("revision", entry.modified).add("reason", reason);
        m_metrics.count("toucanstep_unreadable_entries_total", "what=\"desired_state\"");
        return;
    }
    auto inForce = m_calls.desiredState();
    if (inForce && inForce->version >= state->version)
        return;
    base::LogLine("desired_state_in_force").add("version", state->version).add("routes", state->routes.size()).add("accounts", state->accounts.size()).add("revision", entry.modified).add("bytes", entry.value.size()).add("read_ms", readMilliseconds);
    m_metrics.gauge("toucanstep_desired_state_version", "", static_cast<double>(state->version.value()));
    m_metrics.gauge("toucanstep_desired_state_bytes", "", static_cast<double>(entry.value.size()));
    http1::ServerBounds bounds;
    bounds.headBytes = state->callers.headBytes;
    bounds.bodyBytes = state->callers.bodyBytes;
    bounds.requestTimeout = state->callers.headTimeout;
    bounds.idleTimeout = state->callers.idleTimeout;
    m_callerServer->setBounds(bounds);
    m_calls.setDesiredState(std::move(state));
}

void GatewayCore::setUpstream(const base::KeyValue& entry)
{
    std::string reason;
    auto description = m_format->readUpstream(entry.key, entry.value, reason);
    if (!description) {
        base::LogLine("upstream_entry_unreadable").add("key", entry.key).add("reason", reason);
        m_metrics.count("toucanstep_unreadable_entries_total", "what=\"upstream\"");
        return;
    }
    const UpstreamEntry* known = m_calls.upstreams().find(description->id);
    if (!known || known->description.draining != description->draining || known->description.start != description->start) {
        base::LogLine("upstream_seen").add("upstream", description->id).add("service", description->service).add("endpoint", description->endpoint.text()).add("draining", description->draining ? "yes" : "no").add("models", description->loaded.size());
    }
    if (auto region = m_settings.regions.find(description->domain); region != m_settings.regions.end())
        description->region = region->second;
    m_engineController.onUpstream(*description);
    base::UpstreamId id = description->id;
    m_calls.upstreams().put(std::move(*description), m_loop.now());
    if (auto load = m_peerLoads.loads().find(id); load != m_peerLoads.loads().end())
        m_calls.upstreams().setPeersLoad(id, load->second);
}

void GatewayCore::updatePeers()
{
    std::map<base::InstanceId, base::Endpoint> peers;
    std::set<base::InstanceId> members;
    std::map<base::InstanceId, ListedClaim> claims;
    const auto& entries = m_mirror.part(StorePart::Fleet).entries();
    for (auto entry = entries.lower_bound(std::string(memberPrefix)); entry != entries.end() && entry->first.starts_with(memberPrefix); ++entry) {
        base::InstanceId id(entry->first.substr(memberPrefix.size()));
        auto endpoint = base::parseEndpoint(entry->second.value);
        if (id == m_settings.instance || !endpoint)
            continue;
        peers.emplace(id, *endpoint);
        members.insert(id);
        claims.emplace(id, ListedClaim());
    }
    for (auto entry = entries.lower_bound(std::string(claimPrefix)); entry != entries.end() && entry->first.starts_with(claimPrefix); ++entry) {
        base::InstanceId id(entry->first.substr(claimPrefix.size()));
        if (id == m_settings.instance)
            continue;
        auto claim = readClaim(entry->second.value);
        claims[id] = { entry->second.created, entry->second.modified, claim && claim->settled };
        if (claim)
            peers.emplace(id, claim->endpoint);
    }
    m_calls.fleetShare().setListed(members, m_loop.now());
    // A peer that has only lost contact with the store still sends reports although its key has expired with its lease.
    for (const auto& [id, peer] : m_peerLoads.peers()) {
        auto known = m_transport->peers().find(id);
        if (!peers.contains(id) && known != m_transport->peers().end())
            peers.emplace(id, known->second);
    }
    m_hasNewPeers |= !std::includes(m_transport->peers().begin(), m_transport->peers().end(), peers.begin(), peers.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    m_transport->setPeers(std::move(peers));
    m_calls.limits().setPeers(claims, m_loop.now());
    m_relayedSending->updatePeers(reportInterval());
    m_calls.setReportInterval(m_relayedSending->relay().effectiveInterval());
    m_calls.setStaysInDomain(m_relayedSending->relay().isActive());
}

std::vector<CopySource> GatewayCore::copySources() const
{
    std::vector<CopySource> sources;
    size_t peersBefore = 0;
    for (const auto& [id, peer] : m_peerLoads.peers()) {
        auto endpoint = m_transport->peers().find(id);
        if (endpoint == m_transport->peers().end())
            continue;
        sources.push_back({ { id.value(), endpoint->second }, peer.directories });
        if (id < m_settings.instance)
            ++peersBefore;
    }
    std::rotate(sources.begin(), sources.begin() + static_cast<ptrdiff_t>(peersBefore), sources.end());
    return sources;
}

std::string GatewayCore::metricsText()
{
    if (auto answered = m_mirror.lastAnswer())
        m_metrics.gauge("toucanstep_store_silence_seconds", "", base::toSeconds(m_loop.now() - *answered));
    m_metrics.gauge("toucanstep_directory_revision", "", static_cast<double>(m_mirror.part(StorePart::DesiredState).revision().value()));
    m_calls.speeds().writeGauges(m_calls.upstreams(), m_loop.now());
    return m_metrics.render();
}

std::string GatewayCore::statusText() const
{
    auto state = m_calls.desiredState();
    Json evacuated = Json::array();
    for (const auto& domain : m_calls.upstreams().evacuatedDomains())
        evacuated.push_back(domain.value());
    Json status {
        { "instance", m_settings.instance.value() },
        { "ready", ready() },
        { "version", state ? state->version.value() : 0 },
        { "directory_revision", m_mirror.part(StorePart::DesiredState).revision().value() },
        { "upstreams", m_calls.upstreams().all().size() },
        { "evacuated_domains", evacuated },
        { "planner", isPlanner() },
        { "running", m_calls.running() },
        { "waiting", m_calls.waiting() },
    };
    // Names of failure domains come from keys of the store, which may hold any bytes.
    return status.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace toucanstep::direct
