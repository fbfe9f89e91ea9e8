// A whole fleet for one run: the stand-ins as threads of the bench, and real daemons before them.
//
// An instance is a host: a sidecar's instance comes with an upstream of its own, and replacing it brings a new one.

#pragma once

#include "DaemonProcess.h"
#include "Deployment.h"
#include "TruthRecorder.h"

#include "toucanstep/fakes/FakeInstanceList.h"
#include "toucanstep/fakes/FakeKeyValueService.h"
#include "toucanstep/fakes/FakeService.h"
#include "toucanstep/fakes/FakeWeightStore.h"
#include "toucanstep/formats/HttpClient.h"

#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace toucanstep::bench {

struct FleetOptions {
    std::string daemonProgram;
    // Arguments that every daemon gets, such as those of a baseline.
    std::vector<std::string> daemonArguments;
    int gateways = 3;
    int engines = 18;
    int services = 3;
    std::string poisonWord;
    base::Duration serviceDelay = std::chrono::milliseconds(20);
    TextOptions text;
};

// One instance of the platform with its daemon. Upstreams are null where they do not apply.
struct Instance {
    base::InstanceId id;
    base::FailureDomain domain;
    std::string listName;
    base::PoolId pool;
    std::unique_ptr<fakes::FakeEngine> engine;
    std::unique_ptr<fakes::FakeService> service;
    std::unique_ptr<DaemonProcess> daemon;
    DaemonPorts ports;
    // Callers are sent to gateways that are in service only.
    bool inService = false;
    base::Instant killedAt;
    std::string historyFile;
    std::string logFile;
};

using InstancePointer = std::shared_ptr<Instance>;

class Fleet {
public:
    Fleet(std::shared_ptr<const Deployment>, FleetOptions);
    // Ends every daemon.
    ~Fleet();

    // Starts all instances and publishes the text; false where a daemon did not come up or the text did not come in force.
    bool start();
    base::Revision publish(const std::string& text);
    bool waitInForce(base::Revision, base::Duration patience);
    // How many processes have that version in force.
    int countInForce(base::Revision);
    // Waits until no replica row was written for a second.
    void waitPlaced(base::Duration patience);
    // SIGTERM to all daemons, and waits for their end; their histories are then complete.
    void stop();

    // Instances that run or ran, in the order in which they were started.
    std::vector<InstancePointer> gateways() const;
    std::vector<InstancePointer> sidecars() const;
    // Caller ports of gateways in service.
    std::vector<uint16_t> callerPorts() const;

    // Waits until the instance says on /readyz that it is ready, as a platform does before it sends callers there.
    bool waitReady(const InstancePointer&, base::Duration patience);
    InstancePointer startGateway();
    InstancePointer startSidecar(const base::PoolId&);
    // The platform's planned stop: the list shows it terminating, SIGTERM, and once it has ended the list drops it.
    // Returns false where it had not ended within `patience` and was killed.
    bool leave(const InstancePointer&, base::Duration patience);
    void kill(const InstancePointer&);
    void dropFromList(const InstancePointer&);

    fakes::FakeKeyValueService& store() { return *m_store; }
    fakes::FakeWeightStore& weights() { return *m_weights; }
    TruthRecorder& truth() { return *m_truth; }
    formats::HttpClient& client() { return *m_client; }
    const Deployment& deployment() const { return *m_deployment; }
    const std::filesystem::path& folder() const { return m_folder; }
    // Where the daemons that ended badly are told.
    const std::vector<std::string>& complaints() const { return m_complaints; }

private:
    InstancePointer makeInstance(const base::PoolId&, const std::string& listName);
    void makeUpstream(Instance&);
    bool launch(const InstancePointer&, const char* role);
    formats::HttpReply askOperator(const Instance&, std::string_view path);
    std::vector<InstancePointer> instances() const;

    std::shared_ptr<const Deployment> m_deployment;
    FleetOptions m_options;
    std::filesystem::path m_folder;
    std::shared_ptr<TruthRecorder> m_truth;
    std::unique_ptr<fakes::FakeKeyValueService> m_store;
    std::unique_ptr<fakes::FakeInstanceList> m_list;
    std::unique_ptr<fakes::FakeWeightStore> m_weights;
    std::unique_ptr<formats::HttpClient> m_client;
    mutable std::mutex m_mutex;
    std::vector<InstancePointer> m_gateways;
    std::vector<InstancePointer> m_sidecars;
    std::map<std::string, int> m_started;
    std::vector<std::string> m_complaints;
    // At the start of the fleet all processes are in service; a later one is once it says that it is ready.
    bool m_readinessMatters = false;
};

} // namespace toucanstep::bench
