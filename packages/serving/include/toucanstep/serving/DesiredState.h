// The operators' configuration as a direct gateway needs it: routes, services and client accounts.
//
// A DesiredState is immutable once it is in force; readers share it as std::shared_ptr<const DesiredState>. A parser fills
// the lists and then calls buildIndexes() once.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/config/Configuration.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::serving {

using RouteId = base::StrongId<struct RouteIdTag>;
// Assigned by the operators. Versions increase, but not necessarily by one.
using ConfigurationVersion = base::StrongNumber<struct ConfigurationVersionTag>;

// Whether a call may be retried when the outcome of an attempt is unknown.
enum class Repeatability {
    Idempotent,
    AtMostOnce,
};

struct Destination {
    base::ServiceId service;
    // Relative to the weights of the route's other destinations.
    int64_t weight = 1;
};

struct Route {
    RouteId id;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    Repeatability repeatability = Repeatability::AtMostOnce;
    // The response is an event stream.
    bool streaming = false;
    // A broken stream may be resumed at another upstream after the last delivered event.
    bool resumable = false;
    // Calls need no API key.
    bool allowsAnonymous = false;
    // Maximum time until the end of the response.
    base::Duration timeout {};
    // Latency objective for the response, or for the first event of a stream; zero if none is configured.
    base::Duration latencyTarget {};
    // Callers of this route disconnect after this long without data; zero if they wait until the timeout.
    base::Duration callerAbandonTimeout {};
    // 0 is the most urgent.
    int64_t priority = 0;
    // Maximum number of times one request may be sent; a send that is known not to have run does not count.
    int64_t attempts = 1;
    std::vector<Destination> destinations;
    // Regions whose upstreams may run its calls; empty for all.
    std::set<base::RegionId> allowedRegions;

    // A resumable stream counts as idempotent, since a second run continues after the events already delivered.
    bool mayRepeat() const { return repeatability == Repeatability::Idempotent || resumable; }
};

struct ModelTraits {
    base::ModelId id;
    base::Bytes memory;
    // Expected load times from the weight store, from the engine's host memory and from its disk.
    base::Duration loadFromStore {};
    base::Duration loadFromMemory {};
    base::Duration loadFromDisk {};
    int64_t adapters = 0;
    base::Bytes adapterMemory;
};

struct EngineTraits {
    std::vector<ModelTraits> models;
    // Shared by models and adapters.
    base::Bytes memory;
    // Maximum number of adapters on one engine.
    int64_t adapterCapacity = 0;
    // Tokens of all calls that one engine holds at a time, prompts and outputs; zero if it is not stated.
    base::Tokens tokenCapacity;

    const ModelTraits* findModel(const base::ModelId&) const;
};

// An upstream that has started a short time ago is cold, and crashes at a high rate of calls.
struct ColdStartTraits {
    base::Duration duration {};
    // Tolerated by one upstream, from all gateways together.
    int64_t callsPerSecond = 0;
};

struct ServiceTraits {
    base::ServiceId id;
    std::optional<ColdStartTraits> coldStart;
    // Only set for pools of model engines.
    std::optional<EngineTraits> engine;
};

struct Account {
    config::ClientAccount limits;
    // Overrides the priority of the route.
    std::optional<int64_t> priority;
    // Cost of a call that specifies no token count; 1 if calls rather than tokens are counted.
    base::Tokens baseCost { 1 };
    bool countsTokens = false;
    // Regions whose upstreams may run its calls; empty for all.
    std::set<base::RegionId> allowedRegions;

    bool limited() const { return limits.tokensPerSecond.value() > 0; }
};

// Size and time limits for callers' requests.
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
    // If empty, no call needs an API key.
    std::vector<Account> accounts;
    CallerBounds callers;

    // Returns the route of that host with the longest prefix of `path`, or null if there is none.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    const ServiceTraits* findService(const base::ServiceId&) const;
    const Account* findAccountByKey(const base::KeyFingerprint&) const;
    void buildIndexes();

private:
    std::map<std::string, std::vector<size_t>, std::less<>> m_routesByHost;
    std::map<base::KeyFingerprint, size_t> m_accountsByKey;
};

} // namespace toucanstep::serving
