// What gateways and sidecars have in common: two threads, connections to peers and platform, the configuration in force,
// the platform's list of instances, metrics, the operators' port.
//
// Control state belongs to the control loop's thread, where the registered systems run each tick; requests belong to the
// traffic loop's thread. What traffic needs of control state is published as snapshots.
//
//     Node node(settings);
//     node.addMethod(peers::Method("run"), handler);     // runs on the traffic loop
//     node.addSystem([](base::Instant now) { ... });     // runs on the control loop
//     node.start();

#pragma once

#include "toucanstep/base/History.h"
#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Metrics.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/config/Configuration.h"
#include "toucanstep/config/Settings.h"
#include "toucanstep/formats/HttpClient.h"
#include "toucanstep/formats/HttpServer.h"
#include "toucanstep/formats/InstanceList.h"
#include "toucanstep/io/EventLoop.h"
#include "toucanstep/node/InstanceTable.h"
#include "toucanstep/node/Snapshot.h"
#include "toucanstep/peers/PeerClient.h"
#include "toucanstep/peers/PeerServer.h"

#include <atomic>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace toucanstep::node {

// Answers with the nonce of the process's start, which tells it apart from others on the same instance.
inline constexpr std::string_view startNonceMethod = "start_nonce";

struct NodeOptions {
    base::Duration tickInterval = std::chrono::milliseconds(50);
    base::Duration configurationPollInterval = std::chrono::seconds(2);
    base::Duration instanceListPollInterval = std::chrono::milliseconds(500);
    base::Duration storeTimeout = std::chrono::milliseconds(800);
};

// One answer of the platform's list, as the parts that prove presence and absence need it.
struct ListingAnswer {
    std::string listName;
    formats::InstanceListing listing;
    base::Instant sentAt;
};

class Node {
public:
    using ListingListener = std::function<void(const ListingAnswer&)>;
    using System = std::function<void(base::Instant now)>;
    using ConfigurationListener = std::function<void(std::shared_ptr<const config::Configuration>)>;

    explicit Node(config::ProcessSettings, NodeOptions = {});
    // Stops both loops. Whatever the handlers and systems refer to must still be there.
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    // To be called before start().
    void addMethod(peers::Method, peers::PeerServer::Handler);
    void addSystem(System);
    // Called on the control loop, after a newer version was published to readers.
    void onConfiguration(ConfigurationListener);
    // Called on the control loop for every answer of the platform's list.
    void onListing(ListingListener);
    void setStatus(std::function<nlohmann::json()>);

    base::Result<void> start();
    // Stops both threads, so that owners can take their state apart. The destructor does the same.
    void stop();

    const config::ProcessSettings& settings() const { return m_settings; }
    const NodeOptions& options() const { return m_options; }
    io::EventLoop& control() { return *m_control; }
    io::EventLoop& traffic() { return *m_traffic; }
    // To be used on the traffic loop.
    peers::PeerClient& peers() { return *m_peers; }
    std::shared_ptr<formats::HttpClient> http() { return m_http; }
    base::KeyValueStore& store() { return *m_store; }
    base::MetricsRegistry& metrics() { return m_metrics; }
    // Whether a history is kept; what costs time only for its sake is then left out.
    bool recordsHistory() const { return m_recordsHistory; }
    // Fills in the time and this start of the process, and records.
    void record(base::HistoryEvent);
    void recordAt(base::Instant, base::HistoryEvent);
    std::shared_ptr<const config::Configuration> configuration() const { return m_configuration.load(); }
    std::shared_ptr<const InstanceTable> instances() const { return m_instances.load(); }
    // Peers' calls that are still being answered. Not to be called on the traffic loop.
    size_t openPeerCalls();
    // Whether the platform's list has been read under every name that matters here. Called on the control loop.
    bool hasListedAll() const;
    base::Endpoint peerEndpoint() const { return m_peerEndpoint; }
    uint16_t operatorPort() const;
    // Names this start of the process, apart from every other.
    const std::string& startNonce() const { return m_startNonce; }

    // Whether the balancer may send new work here.
    void setReady(bool ready) { m_ready = ready; }
    bool ready() const { return m_ready; }

    // A message of a peer carried the version that it has in force. Safe from any thread.
    void versionSeen(const base::InstanceId& peer, base::Revision version);

    // Calls a peer from the control loop, and calls back there.
    void callFromControl(peers::OutgoingCall, std::function<void(base::Outcome<std::string>)>);

private:
    class ConfigurationFollower;
    class InstanceListPoller;

    void tick();
    void answerOperator(const std::shared_ptr<formats::HttpExchange>&);
    void dispatch(peers::IncomingCall, std::shared_ptr<peers::PeerResponder>);

    config::ProcessSettings m_settings;
    NodeOptions m_options;
    std::string m_startNonce;
    base::MetricsRegistry m_metrics;
    bool m_recordsHistory = false;
    std::unique_ptr<base::HistoryRecorder> m_history;
    std::shared_ptr<formats::HttpClient> m_http;
    std::shared_ptr<base::KeyValueStore> m_store;
    Snapshot<config::Configuration> m_configuration;
    Snapshot<InstanceTable> m_instances;
    std::atomic<bool> m_ready { false };
    base::Endpoint m_peerEndpoint;
    std::vector<System> m_systems;
    std::vector<ConfigurationListener> m_configurationListeners;
    std::vector<ListingListener> m_listingListeners;
    std::function<nlohmann::json()> m_status;
    absl::flat_hash_map<peers::Method, peers::PeerServer::Handler> m_methods;
    std::unique_ptr<io::EventLoop> m_control;
    std::unique_ptr<io::EventLoop> m_traffic;
    std::unique_ptr<peers::PeerServer> m_server;
    std::unique_ptr<peers::PeerClient> m_peers;
    std::shared_ptr<ConfigurationFollower> m_follower;
    std::shared_ptr<InstanceListPoller> m_poller;
    std::unique_ptr<formats::HttpServer> m_operator;
    bool m_stopped = false;
};

} // namespace toucanstep::node
