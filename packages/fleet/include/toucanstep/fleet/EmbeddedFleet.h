// A whole fleet in one process: gateways and sidecars as threads on loopback, in front of the project's stand-ins. For
// the demo and for tests of the whole path; it starts no process and binds ephemeral ports only.
//
//     EmbeddedFleet fleet({ .gateways = 2, .engines = 2 });
//     fleet.publish(text);
//     CallerReply reply = fleet.call({ .path = "/v1/chat/completions", .key = key, .body = body });

#pragma once

#include "toucanstep/fakes/FakeEngine.h"
#include "toucanstep/fakes/FakeInstanceList.h"
#include "toucanstep/fakes/FakeKeyValueService.h"
#include "toucanstep/fakes/FakeService.h"
#include "toucanstep/fakes/FakeWeightStore.h"
#include "toucanstep/formats/HttpClient.h"
#include "toucanstep/gateway/Gateway.h"
#include "toucanstep/sidecar/Sidecar.h"

#include <memory>
#include <string>
#include <vector>

namespace toucanstep::fleet {

struct FleetOptions {
    int gateways = 2;
    int engines = 2;
    int services = 1;
    gateway::GatewayOptions gateway;
    sidecar::SidecarOptions sidecar;
    fakes::FakeEngineOptions engine;
    // The names under which the text's pools find their instances.
    std::string enginePool = "language";
    std::string servicePool = "application";
};

struct CallerCall {
    std::string method = "POST";
    std::string path;
    std::string key;
    std::string body;
    formats::HttpHeaders headers;
    base::Duration timeout = std::chrono::seconds(20);
    int gateway = 0;
};

struct CallerReply {
    formats::HttpReply http;
    base::Duration took {};
    // The refusal's stable code and `ran`; empty for an answer.
    std::string code;
    std::string ran;
    int64_t retryAfterMilliseconds = -1;
};

class EmbeddedFleet {
public:
    explicit EmbeddedFleet(FleetOptions);
    ~EmbeddedFleet();
    EmbeddedFleet(const EmbeddedFleet&) = delete;
    EmbeddedFleet& operator=(const EmbeddedFleet&) = delete;

    // Writes the text as `publish` would, and returns its version.
    base::Revision publish(const std::string& text);
    // Waits until every process has at least that version in force; false where that takes longer than `patience`.
    bool waitInForce(base::Revision, base::Duration patience);
    // Waits until callers are served: shares and homes are placed. Tries a request of the given call until it is not
    // refused for want of capacity.
    bool waitServing(const CallerCall&, base::Duration patience);

    CallerReply call(const CallerCall&);
    uint16_t callerPort(int gateway) const;
    uint16_t operatorPort(int gateway) const;

    void startGateway(int index);
    // Ends a gateway as a planned stop does, and takes it from the list.
    void leaveGateway(int index);
    void leaveSidecar(int index);

    fakes::FakeKeyValueService& store() { return m_store; }
    fakes::FakeInstanceList& list() { return m_list; }
    fakes::FakeEngine& engine(int index) { return *m_engines.at(static_cast<size_t>(index)); }
    fakes::FakeService& service(int index) { return *m_services.at(static_cast<size_t>(index)); }
    formats::HttpClient& client() { return *m_client; }

private:
    config::ProcessSettings settingsFor(config::Role, const std::string& instance, int domain) const;
    void startSidecar(const std::string& pool, int index, const std::string& upstreamUrl);

    FleetOptions m_options;
    fakes::FakeKeyValueService m_store;
    fakes::FakeInstanceList m_list;
    fakes::FakeWeightStore m_weights;
    std::vector<std::unique_ptr<fakes::FakeEngine>> m_engines;
    std::vector<std::unique_ptr<fakes::FakeService>> m_services;
    std::vector<std::unique_ptr<sidecar::Sidecar>> m_sidecars;
    std::vector<std::unique_ptr<gateway::Gateway>> m_gateways;
    std::shared_ptr<formats::HttpClient> m_client;
};

} // namespace toucanstep::fleet
