#include "toucanstep/node/Node.h"

#include "PublishedText.h"
#include "toucanstep/base/Digest.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/config/InForce.h"
#include "toucanstep/config/TextHistory.h"
#include "toucanstep/formats/EtcdStore.h"
#include "toucanstep/formats/InstanceList.h"
#include "toucanstep/node/HistoryFile.h"
#include "toucanstep/node/Keys.h"
#include "toucanstep/peers/Codec.h"
#include "toucanstep/peers/SingleReply.h"

#include <absl/hash/hash.h>
#include <algorithm>
#include <glog/logging.h>
#include <set>

namespace toucanstep::node {

namespace {

constexpr size_t startNonceBytes = 6;
// Answers with the text in force and its version, if it is newer than the version in the call.
constexpr std::string_view configurationMethod = "configuration";
constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

} // namespace

// Keeps the configuration in force up to date. config::InForce decides what to fetch from whom and what to install; this
// carries it out: a watch and reads of the service, and fetches from peers that are ahead.
class Node::ConfigurationFollower : public std::enable_shared_from_this<ConfigurationFollower> {
public:
    explicit ConfigurationFollower(Node& node)
        : m_node(node)
        , m_inForce(inForceOptions(node.m_options), absl::HashOf(node.m_startNonce), node.m_control->now())
    {
        for (const base::Endpoint& endpoint : node.m_settings.peers)
            m_inForce.addPeer(base::InstanceId(endpoint.text()), node.m_control->now());
    }

    void tick(base::Instant now)
    {
        if (!m_watch && now >= m_nextWatch) {
            // A service that refuses watches is not asked for one at every tick.
            m_nextWatch = now + m_node.m_options.configurationPollInterval / 4;
            openWatch();
        }
        addListedPeers(now);
        act(m_inForce.tick(now));
    }

    void versionSeen(const base::InstanceId& peer, base::Revision version)
    {
        act(m_inForce.onVersionSeen(peer, version, now()));
    }

    // The way from a version to the text in force, for a peer that asks; empty where the peer has it already.
    std::string answerPeer(base::Revision known) { return m_history.answerTo(known); }

private:
    class Listener final : public base::WatchListener {
    public:
        explicit Listener(ConfigurationFollower& follower)
            : m_loop(*follower.m_node.m_control)
            , m_follower(follower.weak_from_this())
        {
        }

        void onEvents(std::vector<base::WatchEvent> events, base::Revision) override
        {
            m_loop.post([follower = m_follower, events = std::move(events)] {
                if (auto alive = follower.lock())
                    alive->onEvents(events);
            });
        }

        void onEnd(base::Error) override
        {
            m_loop.post([follower = m_follower] {
                if (auto alive = follower.lock())
                    alive->m_watch.reset();
            });
        }

    private:
        io::EventLoop& m_loop;
        std::weak_ptr<ConfigurationFollower> m_follower;
    };

    static config::InForceOptions inForceOptions(const NodeOptions& options)
    {
        config::InForceOptions chosen;
        chosen.pollInterval = options.configurationPollInterval;
        return chosen;
    }

    base::Instant now() const { return m_node.m_control->now(); }

    // Gateways of the platform's list can be asked at the start, when the service may be down.
    void addListedPeers(base::Instant now)
    {
        if (m_installed.value())
            return;
        auto instances = m_node.m_instances.load();
        for (const InstanceRow* row : instances->inList(gatewayListName)) {
            if (row->instance != m_node.m_settings.instance && m_listedPeers.insert(row->instance).second)
                m_inForce.addPeer(row->instance, now);
        }
    }

    void openWatch()
    {
        m_watch = m_node.m_store->watch(std::string(configurationKey), base::Revision(m_installed.value() + 1), std::make_shared<Listener>(*this));
    }

    void onEvents(const std::vector<base::WatchEvent>& events)
    {
        for (const base::WatchEvent& event : events) {
            if (event.deleted || event.entry.key != configurationKey)
                continue;
            bool usable = keep({ event.entry.modified, event.entry.value });
            act(m_inForce.onWatchEvent(event.entry.modified, usable, now()));
        }
    }

    // Parses a text and keeps it until it is installed. False where this process cannot use it.
    bool keep(const config::PublishedText& published)
    {
        if (published.version <= m_installed || (m_candidate && m_candidate->version >= published.version))
            return true;
        auto configuration = internal::parsePublished(published);
        if (!configuration)
            return false;
        m_candidate = configuration;
        m_candidateText = published;
        return true;
    }

    void act(const config::InForceActions& actions)
    {
        for (const config::InForceAction& action : actions) {
            if (auto* fetch = std::get_if<config::FetchAction>(&action))
                this->fetch(*fetch);
            else
                install(std::get<config::InstallAction>(action).version);
        }
    }

    void install(base::Revision version)
    {
        if (!m_candidate || m_candidate->version < version || m_candidate->version <= m_installed)
            return;
        m_installed = m_candidateText.version;
        m_history.add(m_candidateText.version, std::move(m_candidateText.text));
        m_node.m_configuration.publish(m_candidate);
        m_node.m_metrics.gauge("toucanstep_configuration_version", "", static_cast<double>(m_installed.value()));
        base::LogLine("configuration_in_force").add("version", m_installed);
        m_node.record({ .kind = base::HistoryKind::ConfigurationInForce, .version = m_installed });
        std::shared_ptr<const config::Configuration> installed = std::move(m_candidate);
        m_candidate = nullptr;
        for (const ConfigurationListener& listener : m_node.m_configurationListeners)
            listener(installed);
    }

    void fetch(const config::FetchAction& fetch)
    {
        if (fetch.source.peer)
            fetchFromPeer(fetch);
        else
            fetchFromService(fetch);
    }

    void fetchFromService(const config::FetchAction& fetch)
    {
        // The text is read only where its revision is news: a poll that finds nothing costs a few hundred bytes.
        m_node.m_store->stat(std::string(configurationKey), fetch.deadline, onLoop([fetch](ConfigurationFollower& follower, const base::Outcome<base::RangeReply>& outcome) {
            auto* reply = std::get_if<base::RangeReply>(&outcome);
            if (!reply)
                follower.fetched(fetch.source, {}, config::FetchOutcome::Failed);
            else if (reply->entries.empty() || reply->entries.front().modified <= follower.m_installed)
                follower.fetched(fetch.source, {}, config::FetchOutcome::NothingNewer);
            else
                follower.readText(fetch);
        }));
    }

    void readText(const config::FetchAction& fetch)
    {
        m_node.m_store->get(std::string(configurationKey), fetch.deadline, onLoop([source = fetch.source](ConfigurationFollower& follower, const base::Outcome<base::RangeReply>& outcome) {
            auto* reply = std::get_if<base::RangeReply>(&outcome);
            if (reply && !reply->entries.empty())
                follower.fetchedText(source, { reply->entries.front().modified, reply->entries.front().value });
            else
                follower.fetched(source, {}, config::FetchOutcome::Failed);
        }));
    }

    // Carries an answer of the store to the control loop, if this object is still there.
    template <typename Continue>
    std::function<void(base::Outcome<base::RangeReply>)> onLoop(Continue next)
    {
        return [loop = m_node.m_control.get(), weak = weak_from_this(), next = std::move(next)](base::Outcome<base::RangeReply> outcome) {
            loop->post([weak, next, outcome = std::move(outcome)] {
                if (auto follower = weak.lock())
                    next(*follower, outcome);
            });
        };
    }

    void fetchFromPeer(const config::FetchAction& fetch)
    {
        auto instances = m_node.m_instances.load();
        const InstanceRow* row = instances->find(*fetch.source.peer);
        auto target = row ? std::optional(row->peer) : base::parseEndpoint(fetch.source.peer->value());
        if (!target) {
            fetched(fetch.source, {}, config::FetchOutcome::Failed);
            return;
        }
        // A delta that does not fit what is here is asked for again as a whole text.
        base::Revision known = std::exchange(m_wantsWhole, false) ? base::Revision() : fetch.known;
        std::string body = peers::FieldWriter().add(known.value()).finish();
        m_node.callFromControl({ *target, peers::Method(std::string(configurationMethod)), body, fetch.deadline }, [weak = weak_from_this(), source = fetch.source](const base::Outcome<std::string>& outcome) {
            if (auto follower = weak.lock())
                follower->onPeerAnswer(source, outcome);
        });
    }

    void onPeerAnswer(const config::ConfigurationSource& source, const base::Outcome<std::string>& outcome)
    {
        auto* reply = std::get_if<std::string>(&outcome);
        if (reply && reply->empty()) {
            fetched(source, {}, config::FetchOutcome::NothingNewer);
            return;
        }
        base::Error error;
        auto published = reply ? base::valueOr(error, [&] { return m_history.readAnswer(*reply); }) : std::nullopt;
        m_wantsWhole = reply && !published;
        if (published)
            fetchedText(source, { published->version, std::move(published->text) });
        else
            fetched(source, {}, config::FetchOutcome::Failed);
    }

    void fetchedText(const config::ConfigurationSource& source, const config::PublishedText& published)
    {
        bool usable = keep(published);
        fetched(source, published.version, usable ? config::FetchOutcome::Text : config::FetchOutcome::Unusable);
    }

    void fetched(const config::ConfigurationSource& source, base::Revision version, config::FetchOutcome outcome)
    {
        act(m_inForce.onFetched(source, version, outcome, now()));
    }

    Node& m_node;
    config::InForce m_inForce;
    base::Revision m_installed;
    config::TextHistory m_history;
    std::shared_ptr<const config::Configuration> m_candidate;
    config::PublishedText m_candidateText;
    std::set<base::InstanceId> m_listedPeers;
    bool m_wantsWhole = false;
    base::Instant m_nextWatch;
    std::unique_ptr<base::WatchHandle> m_watch;
};

// Reads the platform's list under every name that matters to this process and publishes what was read last.
class Node::InstanceListPoller : public std::enable_shared_from_this<InstanceListPoller> {
public:
    explicit InstanceListPoller(Node& node)
        : m_node(node)
        , m_list(formats::makeInstanceList(node.m_settings.instanceListUrl, node.m_http))
    {
    }

    void tick(base::Instant now)
    {
        // Until every list has been read once there is no use in waiting for the next turn.
        bool complete = hasReadAll();
        if (now < m_nextPoll && (complete || now < m_nextEarlyPoll))
            return;
        m_nextEarlyPoll = now + m_node.m_options.tickInterval * 2;
        m_nextPoll = now + m_node.m_options.instanceListPollInterval;
        for (const std::string& name : names())
            read(name, now);
    }

    bool hasReadAll() const
    {
        std::set<std::string> wanted = names();
        return std::includes(m_read.begin(), m_read.end(), wanted.begin(), wanted.end());
    }

private:
    // Sidecars need the gateways and their own pool; gateways need every pool.
    std::set<std::string> names() const
    {
        std::set<std::string> names { std::string(gatewayListName), m_node.m_settings.listName };
        if (m_node.m_settings.role == config::Role::Gateway) {
            for (const config::UpstreamPool& pool : m_node.configuration()->pools)
                names.insert(pool.listName);
        }
        names.erase("");
        return names;
    }

    void read(const std::string& name, base::Instant now)
    {
        m_list->read(name, now + m_node.m_options.storeTimeout, [loop = m_node.m_control.get(), weak = weak_from_this(), name, now](base::Outcome<formats::InstanceListing> outcome) {
            loop->post([weak, name, now, outcome = std::move(outcome)] {
                auto poller = weak.lock();
                if (auto* listing = std::get_if<formats::InstanceListing>(&outcome); poller && listing)
                    poller->install(name, *listing, now);
            });
        });
    }

    void install(const std::string& name, const formats::InstanceListing& listing, base::Instant sentAt)
    {
        auto table = std::make_shared<InstanceTable>(*m_node.m_instances.load());
        std::erase_if(table->rows, [&](const InstanceRow& row) { return row.listName == name; });
        for (const formats::ListedInstance& listed : listing.instances)
            table->rows.push_back({ listed.instance, listed.endpoint, listed.failureDomain, name, listed.ready, listed.terminating });
        m_node.m_instances.publish(table);
        m_read.insert(name);
        for (const ListingListener& listener : m_node.m_listingListeners)
            listener({ name, listing, sentAt });
    }

    Node& m_node;
    std::unique_ptr<formats::InstanceList> m_list;
    std::set<std::string> m_read;
    base::Instant m_nextPoll;
    base::Instant m_nextEarlyPoll;
};

Node::Node(config::ProcessSettings settings, NodeOptions options)
    : m_settings(std::move(settings))
    , m_options(options)
    , m_startNonce(base::randomHex(startNonceBytes))
    , m_http(std::make_shared<formats::HttpClient>())
    , m_control(std::make_unique<io::EventLoop>())
    , m_traffic(std::make_unique<io::EventLoop>())
{
    m_recordsHistory = !m_settings.historyFile.empty();
    if (m_recordsHistory)
        m_history = std::make_unique<HistoryFile>(m_settings.historyFile);
    else
        m_history = std::make_unique<NoHistory>();
    m_store = formats::makeEtcdStore(m_settings.keyValueUrl, m_http);
    m_follower = std::make_shared<ConfigurationFollower>(*this);
    m_poller = std::make_shared<InstanceListPoller>(*this);
    addMethod(peers::Method(std::string(configurationMethod)), [this](const peers::IncomingCall& call, std::shared_ptr<peers::PeerResponder> responder) {
        peers::FieldReader reader(call.body);
        base::Revision known(reader.number());
        m_control->post([this, known, follower = std::weak_ptr(m_follower), responder = std::move(responder)] {
            auto alive = follower.lock();
            std::string answer = alive ? alive->answerPeer(known) : std::string();
            m_traffic->post([responder, answer = std::move(answer)] {
                responder->send(answer);
                responder->finish();
            });
        });
    });
    addMethod(peers::Method(std::string(startNonceMethod)), [this](const peers::IncomingCall&, const std::shared_ptr<peers::PeerResponder>& responder) {
        responder->send(m_startNonce);
        responder->finish();
    });
}

Node::~Node()
{
    stop();
}

void Node::stop()
{
    if (m_stopped)
        return;
    m_stopped = true;
    m_operator.reset();
    m_control->runAndWait([this] {
        m_systems.clear();
        m_follower.reset();
        m_poller.reset();
    });
    m_traffic->runAndWait([this] { m_server.reset(); });
    // Tasks on the loops may use the store and the peers, so both stay until the loops have ended.
    m_control->stop();
    m_traffic->stop();
    // Calls that still run end here; their callbacks may still post to the loops, which drop them once stopped.
    m_peers.reset();
    m_store.reset();
    m_http.reset();
}

void Node::addMethod(peers::Method method, peers::PeerServer::Handler handler)
{
    m_methods[std::move(method)] = std::move(handler);
}

void Node::addSystem(System system)
{
    m_systems.push_back(std::move(system));
}

void Node::onConfiguration(ConfigurationListener listener)
{
    m_configurationListeners.push_back(std::move(listener));
}

void Node::onListing(ListingListener listener)
{
    m_listingListeners.push_back(std::move(listener));
}

void Node::setStatus(std::function<nlohmann::json()> status)
{
    m_status = std::move(status);
}

base::Result<void> Node::start()
{
    peers::PeerIdentity identity { m_settings.instance, m_settings.fleetSecret };
    base::Error error;
    std::optional<base::Endpoint> endpoint;
    m_traffic->runAndWait([&] {
        auto server = base::valueOr(error, [&] {
            return peers::PeerServer::listen(*m_traffic, m_settings.peerListen, identity, [this](peers::IncomingCall call, std::shared_ptr<peers::PeerResponder> responder) { dispatch(std::move(call), std::move(responder)); });
        });
        if (!server)
            return;
        m_server = std::move(*server);
        endpoint = m_server->endpoint();
        m_peers = std::make_unique<peers::PeerClient>(*m_traffic, identity);
    });
    if (!endpoint)
        return base::fail(error.kind, error.message);
    m_peerEndpoint = *endpoint;

    formats::HttpServerOptions operatorOptions { .address = m_settings.operatorListen.address, .port = m_settings.operatorListen.port, .threads = 1 };
    BOOST_LEAF_ASSIGN(m_operator, formats::HttpServer::start(operatorOptions, [this](const std::shared_ptr<formats::HttpExchange>& exchange) { answerOperator(exchange); }));
    m_control->post([this] { tick(); });
    return {};
}

void Node::versionSeen(const base::InstanceId& peer, base::Revision version)
{
    // Most messages carry the version in force; only news is worth a task.
    if (version <= m_configuration.load()->version)
        return;
    m_control->post([follower = std::weak_ptr(m_follower), peer, version] {
        if (auto alive = follower.lock())
            alive->versionSeen(peer, version);
    });
}

void Node::record(base::HistoryEvent event)
{
    if (m_recordsHistory)
        recordAt(m_control->now(), std::move(event));
}

void Node::recordAt(base::Instant at, base::HistoryEvent event)
{
    event.at = at;
    event.recorder = base::InstanceId(base::concat(m_settings.instance, "/", m_startNonce));
    m_history->record(event);
}

uint16_t Node::operatorPort() const
{
    return m_operator ? m_operator->port() : 0;
}

bool Node::hasListedAll() const
{
    return m_poller && m_poller->hasReadAll();
}

size_t Node::openPeerCalls()
{
    size_t calls = 0;
    m_traffic->runAndWait([&] { calls = m_server ? m_server->openCalls() : 0; });
    return calls;
}

void Node::tick()
{
    if (!m_follower)
        return;
    base::Instant now = m_control->now();
    m_follower->tick(now);
    m_poller->tick(now);
    for (const System& system : m_systems)
        system(now);
    m_control->at(now + m_options.tickInterval, [this] { tick(); });
}

void Node::dispatch(peers::IncomingCall call, std::shared_ptr<peers::PeerResponder> responder)
{
    auto found = m_methods.find(call.method);
    if (found == m_methods.end()) {
        base::LogLine("peer_unknown_method").add("method", call.method).add("from", call.from);
        responder->abort();
        return;
    }
    found->second(std::move(call), std::move(responder));
}

void Node::answerOperator(const std::shared_ptr<formats::HttpExchange>& exchange)
{
    const std::string& path = exchange->request().path;
    if (path == "/healthz")
        exchange->respond(statusOk, { { "Content-Type", "text/plain" } }, "ok\n");
    else if (path == "/readyz")
        exchange->respond(m_ready ? statusOk : statusUnavailable, { { "Content-Type", "text/plain" } }, m_ready ? "ready\n" : "not ready\n");
    else if (path == "/metrics")
        exchange->respond(statusOk, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.render());
    else if (path == "/status") {
        nlohmann::json status = m_status ? m_status() : nlohmann::json::object();
        status["instance"] = m_settings.instance.value();
        status["start"] = m_startNonce;
        status["ready"] = m_ready.load();
        status["configuration"] = m_configuration.load()->version.value();
        exchange->respond(statusOk, { { "Content-Type", "application/json" } }, status.dump(2) + "\n");
    } else
        exchange->respond(statusNotFound, { { "Content-Type", "text/plain" } }, "/healthz /readyz /metrics /status\n");
}

void Node::callFromControl(peers::OutgoingCall call, std::function<void(base::Outcome<std::string>)> callback)
{
    m_traffic->post([this, call = std::move(call), callback = std::move(callback)]() mutable {
        if (!m_peers)
            return;
        auto onControl = [loop = m_control.get(), callback = std::move(callback)](base::Outcome<std::string> outcome) {
            loop->post([callback, outcome = std::move(outcome)]() mutable { callback(std::move(outcome)); });
        };
        m_peers->call(std::move(call), std::make_shared<peers::SingleReply>(std::move(onControl)));
    });
}

} // namespace toucanstep::node
