// What a run sends and what it breaks. Every scenario is bounded in count and time, and the same for one seed.

#pragma once

#include "Callers.h"
#include "Fleet.h"
#include "RunResult.h"

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace toucanstep::bench {

// Something that is done to the fleet at a time since the beginning of the plan.
struct Action {
    base::Duration at = base::Duration::zero();
    std::string what;
    std::function<void(Fleet&)> act;
};

struct RunRecord {
    base::Instant begin;
    base::Instant end;
    std::vector<Outcome> outcomes;
    std::vector<base::HistoryEvent> events;
    fakes::FakeKeyValueCounters storeAtBegin;
    fakes::FakeKeyValueCounters storeAtEnd;
    int64_t engineCrashes = 0;
};

class Scenario {
public:
    virtual ~Scenario() = default;
    virtual std::string name() const = 0;
    virtual std::string summary() const = 0;
    virtual void adjust(FleetOptions&) const { }
    // Sent before the measured part, so that what the scenario does not measure is loaded and placed.
    virtual std::vector<PlannedRequest> warmUp(const Deployment&, std::mt19937_64&) const { return {}; }
    virtual std::vector<PlannedRequest> plan(const Deployment&, std::mt19937_64&) = 0;
    virtual std::vector<Action> actions(const Deployment&) { return {}; }
    // Adds what only this scenario measures.
    virtual void measure(const RunRecord&, RunResult&) const { }
};

// In the order in which the list shows them.
std::vector<std::unique_ptr<Scenario>> allScenarios();
std::unique_ptr<Scenario> findScenario(std::string_view name);

// A way in which the daemons are started: the product, or a baseline of the project's own.
struct Variant {
    std::string name;
    std::string summary;
    std::vector<std::string> arguments;
};

const std::vector<Variant>& allVariants();
const Variant* findVariant(std::string_view name);

} // namespace toucanstep::bench
