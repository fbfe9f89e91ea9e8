// What the operators have written, as a gateway that talks to upstreams itself needs it: routes, services, accounts.
//
// A DesiredState is immutable once it is in force; readers share it by std::shared_ptr<const DesiredState>. Whoever reads
// it from a format fills the lists and calls buildIndexes() once.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/config/Configuration.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::direct {

using RouteId = base::StrongId<struct RouteIdTag>;
// The operators' own number of a desired state. Versions grow, in uneven steps.
using ConfigurationVersion = base::StrongNumber<struct ConfigurationVersionTag>;

// What may be done again when the outcome of an attempt is not known.
enum class Repeatability {
    Idempotent,
    AtMostOnce,
};

struct Destination {
    base::ServiceId service;
    // Relative to the route's other destinations.
    int64_t weight = 1;
};

struct Route {
    RouteId id;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    Repeatability repeatability = Repeatability::AtMostOnce;
    // The answer is a series of events.
    bool streaming = false;
    // A broken stream may be taken up again at another upstream behind its last event.
    bool resumable = false;
    // Needs no key.
    bool allowsAnonymous = false;
    // Longest time for which a caller is kept waiting for the end of the answer.
    base::Duration timeout {};
    // Within this time the answer (of a stream: its first event) earns its full worth; zero where none is stated.
    base::Duration latencyTarget {};
    // A caller of this route leaves once nothing has come for this long; zero where callers wait to the end.
    base::Duration callerAbandonTimeout {};
    // 0 is the most urgent.
    int64_t priority = 0;
    // Upstreams on which one request may run.
    int64_t attempts = 1;
    std::vector<Destination> destinations;

    // A resumable stream counts as idempotent: a second run goes on behind what was delivered.
    bool mayRepeat() const { return repeatability == Repeatability::Idempotent || resumable; }
};

struct ModelTraits {
    base::ModelId id;
    base::Bytes memory;
    // Expected times of a load from the weight store, from the engine's host memory, and from its disk.
    base::Duration loadFromStore {};
    base::Duration loadFromMemory {};
    base::Duration loadFromDisk {};
    int64_t adapters = 0;
    base::Bytes adapterMemory;
};

struct EngineTraits {
    std::vector<ModelTraits> models;
    // For models and adapters together.
    base::Bytes memory;
    // Adapters that one engine holds at most.
    int64_t adapterCapacity = 0;

    const ModelTraits* findModel(const base::ModelId&) const;
};

struct ServiceTraits {
    base::ServiceId id;
    // Set for pools of model engines.
    std::optional<EngineTraits> engine;
};

struct Account {
    config::ClientAccount limits;
    // Goes before the priority of the route, where set.
    std::optional<int64_t> priority;
    // What a call that states no tokens costs; 1 where calls are counted and not tokens.
    base::Tokens baseCost { 1 };
    bool countsTokens = false;

    bool limited() const { return limits.tokensPerSecond.value() > 0; }
};

// What callers may send, and how long they may take for it.
struct CallerBounds {
    size_t headBytes = 16 * 1024;
    size_t bodyBytes = 4 * 1024 * 1024;
    base::Duration headTimeout = std::chrono::seconds(5);
    base::Duration idleTimeout = std::chrono::seconds(15);
};

struct DesiredState {
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<ServiceTraits> services;
    // Without accounts no call needs a key.
    std::vector<Account> accounts;
    CallerBounds callers;

    // The route of that host with the longest prefix that begins `path`; null where there is none.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    const ServiceTraits* findService(const base::ServiceId&) const;
    const Account* findAccountByKey(const base::KeyFingerprint&) const;
    void buildIndexes();

private:
    std::map<std::string, std::vector<size_t>, std::less<>> m_routesByHost;
    std::map<base::KeyFingerprint, size_t> m_accountsByKey;
};

} // namespace toucanstep::direct
