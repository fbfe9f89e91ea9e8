// The operators' text in typed form: everything that governs service.
//
// A Configuration is immutable once it is in force; readers share it by std::shared_ptr<const Configuration>. It is made
// by parseConfiguration() (see Parser.h), which reports every finding with its place.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::config {

using KindId = base::StrongId<struct KindIdTag>;

// A kind of request: how much one answer in time is worth, and how long its callers wait by default.
struct RequestKind {
    KindId id;
    int64_t weight = 1;
    base::Duration defaultTimeout {};
};

struct ClientAccount {
    base::ClientAccountId id;
    // Tokens (prompt and completion) a second over the whole fleet, and the most that may be taken at once.
    base::Tokens tokensPerSecond;
    base::Tokens burst;
    // Share of a contended upstream, relative to other accounts.
    int64_t weight = 1;
    std::vector<base::KeyFingerprint> keys;
};

enum class PoolKind {
    Engines,
    Services,
};

// What the upstreams of a pool honour.
struct UpstreamCapabilities {
    // Refuses orders that do not come from the sidecar's identity.
    bool checksCaller = false;
    // Refuses orders with an old fencing number.
    bool fencing = false;
    // Takes a broken stream up again at an offset.
    bool resume = false;
    bool priority = false;
};

// Upstreams that are interchangeable. Its instances come from the platform's list under `listName`, never from the text.
struct UpstreamPool {
    base::PoolId id;
    PoolKind kind = PoolKind::Engines;
    std::string listName;
    UpstreamCapabilities capabilities;
    // Accelerator memory of one instance; engines only.
    base::Bytes memory;
    // Requests that one instance runs at once.
    int64_t slots = 1;
    // Expected generation speed of one stream, in tokens a second; engines only.
    int64_t tokensPerSecond = 50;
};

// A model, or an adapter when `baseModel` is set. An adapter loads into an instance that holds its base model.
struct Model {
    base::ModelId id;
    base::PoolId pool;
    std::optional<base::ModelId> baseModel;
    // The name and version by which engines and the weight store know it.
    std::string repositoryName;
    std::string version;
    base::Bytes memory;
    base::Bytes checkpoint;
    KindId kind;
    int64_t minimumReplicas = 0;
    int64_t maximumReplicas = 1;
};

// A plain service that requests are passed through to.
struct Service {
    base::ServiceId id;
    base::PoolId pool;
    KindId kind;
    bool idempotent = true;
    // How long outcomes of non-idempotent calls are kept.
    base::Duration retention {};
    // What is charged to the account for one call.
    base::Tokens cost;
    // Models and services that it cannot work without.
    std::vector<base::ModelId> dependsOnModels;
    std::vector<base::ServiceId> dependsOnServices;
};

struct LoadLimits {
    // Loads from the weight store at once at its full speed, and adapters in flight before it slows.
    int64_t concurrentLoads = 4;
    int64_t adaptersInFlight = 30;
    // Expected bytes a second from each tier for one load.
    base::Bytes remoteBytesPerSecond;
    base::Bytes diskBytesPerSecond;
    base::Bytes memoryBytesPerSecond;
};

struct Configuration {
    // The key-value service's revision that wrote this text; zero for a text that was not published.
    base::Revision version;
    std::vector<RequestKind> kinds;
    std::vector<ClientAccount> accounts;
    std::vector<UpstreamPool> pools;
    std::vector<Model> models;
    std::vector<Service> services;
    LoadLimits loads;

    const RequestKind* findKind(const KindId&) const;
    const ClientAccount* findAccount(const base::ClientAccountId&) const;
    // The account to which a key belongs; null for an unknown or withdrawn key.
    const ClientAccount* findAccountByKey(const base::KeyFingerprint&) const;
    const UpstreamPool* findPool(const base::PoolId&) const;
    const Model* findModel(const base::ModelId&) const;
    const Service* findService(const base::ServiceId&) const;
    // Builds the indexes behind the find functions; the parser calls it once.
    void buildIndexes();

private:
    struct Indexes;
    std::shared_ptr<const Indexes> m_indexes;
};

} // namespace toucanstep::config
