// Replays drawn demand against PlacementPlanner: engines with memory, host memory and disk, a weight store that a few loads share,
// slots, and calls that wait for them. Everything runs in memory, without messages or processes, in steps of 100 ms.
//
// Prints one JSON object for each policy: how long calls waited, what was loaded from where, and the same demand with loads that
// take no time, as a lower bound that no policy can pass. With --pass, prints how long one planning pass takes at several sizes.
// With --uneven, the demand for one model rises to several times its replicas' slots and then moves to two others, engines differ in
// speed, and each other model has single callers: placement by expected loss is compared with that in the order of priorities.

#include "toucanstep/base/Text.h"
#include "toucanstep/planner/PlacementPlan.h"
#include "toucanstep/planner/StoreConcurrencyLimit.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <chrono>
#include <cmath>
#include <deque>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numbers>
#include <random>

using namespace toucanstep;
using namespace toucanstep::planner;

namespace {

namespace options = boost::program_options;
using Json = nlohmann::json;

constexpr base::Instant origin { std::chrono::hours(1) };
constexpr double stepSeconds = 0.1;
constexpr size_t domains = 3;
constexpr std::array workFactors { 0.6, 1.0, 1.6 };
constexpr int64_t gigabyte = 1'000'000'000;
constexpr int64_t modelGigabytes = 70;
constexpr double storeSeconds = 7.8;
constexpr double diskSeconds = 0.84;
// Loads from the store that run at full speed.
constexpr double storeCapacity = 2;

struct Scenario {
    size_t engines = 60;
    size_t models = 113;
    double seconds = 60;
    double callsPerSecond = 250;
    double callSeconds = 0.9;
    // The share of the calls that moves to another model, and how long this takes. A new model becomes popular every `shiftEvery`.
    double popularShare = 0.3;
    double shiftSeconds = 8;
    double shiftEvery = 20;
    uint64_t seed = 1;
    int64_t slots = 16;
    int64_t engineGigabytes = 200;
    // Models whose weights an engine's disk holds.
    size_t diskPlaces = 6;
    // Callers leave after so many seconds.
    double abandonAfter = 2;
    // The pattern of uneven demand instead of the above, and whether the planner places by expected loss.
    bool uneven = false;
    bool byLoss = false;
};

struct Call {
    size_t model = 0;
    double arrived = 0;
    size_t domain = 0;
};

struct RunningCall {
    size_t model = 0;
    double ends = 0;
    size_t domain = 0;
};

struct SimulatedEngine {
    base::UpstreamId id;
    size_t domain = 0;
    double workFactor = 1;
    std::vector<size_t> loaded;
    // Most recently used first.
    std::deque<size_t> disk;
    std::vector<RunningCall> running;
    std::optional<PlannedOrder> order;
    size_t orderModel = 0;
    double orderSince = 0;
    double workLeft = 0;
    // Concurrent loads from the store, summed over the steps of the order.
    double storeLoadsSum = 0;
};

struct Result {
    // Of the models with single callers in uneven demand.
    int64_t singleCalls = 0;
    int64_t singleAbandoned = 0;
    int64_t calls = 0;
    int64_t served = 0;
    int64_t withinTarget = 0;
    int64_t abandoned = 0;
    double waitedSeconds = 0;
    int64_t storeLoads = 0;
    int64_t diskLoads = 0;
    int64_t unloads = 0;
    int64_t passes = 0;
    // Of this machine's time, in all passes of the planner.
    double passSeconds = 0;
};

class Replay {
public:
    Replay(const Scenario& scenario, const PlacementSettings& settings, bool freeLoads)
        : m_scenario(scenario)
        , m_planner(settings)
        , m_freeLoads(freeLoads)
        , m_random(scenario.seed)
        , m_waiting(scenario.models)
        , m_rates(scenario.models)
    {
        m_traits.memory = base::Bytes(scenario.engineGigabytes * gigabyte);
        for (size_t index = 0; index < scenario.models; ++index) {
            ModelTraits model;
            model.id = base::ModelId(base::concat("model-", index));
            model.memory = base::Bytes(modelGigabytes * gigabyte);
            model.loadFromStore = std::chrono::milliseconds(static_cast<int64_t>(storeSeconds * 1000));
            model.loadFromMemory = model.loadFromDisk = std::chrono::milliseconds(static_cast<int64_t>(diskSeconds * 1000));
            m_indexes[model.id] = index;
            m_traits.models.push_back(model);
        }
        std::uniform_int_distribution<size_t> anyModel(0, scenario.models - 1);
        for (size_t index = 0; index < scenario.engines; ++index) {
            SimulatedEngine engine;
            engine.id = base::UpstreamId(base::concat("engine-", index));
            for (int64_t place = 0; (place + 1) * modelGigabytes <= scenario.engineGigabytes; ++place)
                engine.loaded.push_back((index + static_cast<size_t>(place) * scenario.engines) % scenario.models);
            if (scenario.uneven) {
                engine.domain = index % domains;
                engine.workFactor = workFactors[index / domains % workFactors.size()];
            }
            engine.disk.assign(engine.loaded.begin(), engine.loaded.end());
            while (engine.disk.size() < scenario.diskPlaces)
                engine.disk.push_back(anyModel(m_random));
            m_engines.push_back(std::move(engine));
        }
    }

    Result run()
    {
        for (m_now = 0; m_now < m_scenario.seconds; m_now += stepSeconds) {
            endCalls();
            advanceOrders();
            arrive();
            dispatch();
            plan();
        }
        return m_result;
    }

private:
    // The model that is becoming popular, and the part of the popular calls that it has already.
    std::pair<size_t, double> popular() const
    {
        double since = std::fmod(m_now, m_scenario.shiftEvery);
        auto shift = static_cast<size_t>(m_now / m_scenario.shiftEvery);
        return { (shift * 17 + 7) % m_scenario.models, std::min(1.0, since / m_scenario.shiftSeconds) };
    }

    // Calls per second of a model in uneven demand: model 0 rises within 3 s, and 20 s later its calls move to models 1 and 2.
    double unevenRate(size_t model) const
    {
        constexpr double risesAt = 10;
        constexpr double movesAt = 30;
        constexpr double riseSeconds = 3;
        constexpr double singleCallsPerSecond = 0.1;
        constexpr double timesSlots = 4;
        double high = timesSlots * static_cast<double>(m_scenario.slots) / m_scenario.callSeconds;
        double risen = std::clamp((m_now - risesAt) / riseSeconds, 0.0, 1.0);
        double moved = std::clamp((m_now - movesAt) / riseSeconds, 0.0, 1.0);
        if (model == 0)
            return high * std::max(risen - moved, 0.1);
        return model < 3 ? high * std::max(moved / 2, 0.05) : singleCallsPerSecond;
    }

    void arriveUnevenly()
    {
        constexpr double swing = 0.55;
        constexpr double period = 12;
        for (size_t model = 0; model < m_scenario.models; ++model) {
            m_rates[model] *= std::exp(-stepSeconds / 4);
            for (size_t domain = 0; domain < domains; ++domain) {
                double phase = 2 * std::numbers::pi * (m_now / period + static_cast<double>(domain) / domains);
                double rate = unevenRate(model) / domains * (1 + swing * std::sin(phase));
                for (int call = std::poisson_distribution<int>(rate * stepSeconds)(m_random); call > 0; --call) {
                    m_waiting[model].push_back({ model, m_now, domain });
                    m_rates[model] += 0.25;
                    ++m_result.calls;
                    m_result.singleCalls += model < 3 ? 0 : 1;
                }
            }
        }
    }

    void arrive()
    {
        if (m_scenario.uneven) {
            arriveUnevenly();
            return;
        }
        std::poisson_distribution<int> count(m_scenario.callsPerSecond * stepSeconds);
        std::uniform_real_distribution<double> draw(0, 1);
        std::uniform_int_distribution<size_t> anyModel(0, m_scenario.models - 1);
        auto [model, part] = popular();
        size_t earlier = (static_cast<size_t>(m_now / m_scenario.shiftEvery) * 17 + m_scenario.models * 17 - 10) % m_scenario.models;
        for (double& rate : m_rates)
            rate *= std::exp(-stepSeconds / 4);
        for (int call = count(m_random); call > 0; --call) {
            size_t target = anyModel(m_random);
            if (draw(m_random) < m_scenario.popularShare)
                target = draw(m_random) < part ? model : earlier;
            m_waiting[target].push_back({ target, m_now });
            m_rates[target] += 0.25;
            ++m_result.calls;
        }
    }

    bool isUnloading(const SimulatedEngine& engine, size_t model) const
    {
        return engine.order && engine.order->kind == OrderKind::Unload && engine.orderModel == model;
    }

    void dispatch()
    {
        constexpr double target = 0.3;
        std::exponential_distribution<double> duration(1 / m_scenario.callSeconds);
        for (size_t model = 0; model < m_waiting.size(); ++model) {
            auto& calls = m_waiting[model];
            while (!calls.empty() && m_now - calls.front().arrived > m_scenario.abandonAfter) {
                m_result.singleAbandoned += model < 3 ? 0 : 1;
                calls.pop_front();
                ++m_result.abandoned;
            }
            while (!calls.empty()) {
                SimulatedEngine* best = nullptr;
                for (auto& engine : m_engines) {
                    bool holds = std::find(engine.loaded.begin(), engine.loaded.end(), model) != engine.loaded.end() && !isUnloading(engine, model);
                    bool free = static_cast<int64_t>(engine.running.size()) < m_scenario.slots;
                    if (holds && free && (!best || engine.running.size() < best->running.size()))
                        best = &engine;
                }
                if (!best)
                    break;
                double waited = m_now - calls.front().arrived;
                best->running.push_back({ model, m_now + duration(m_random) * best->workFactor, calls.front().domain });
                calls.pop_front();
                ++m_result.served;
                m_result.withinTarget += waited < target ? 1 : 0;
                m_result.waitedSeconds += waited;
            }
        }
    }

    void endCalls()
    {
        for (auto& engine : m_engines)
            std::erase_if(engine.running, [&](const auto& call) { return call.ends <= m_now; });
    }

    void advanceOrders()
    {
        auto fromStore = static_cast<double>(std::count_if(m_engines.begin(), m_engines.end(), [](const SimulatedEngine& engine) {
            return engine.order && engine.order->kind == OrderKind::Load && engine.order->source == LoadSource::WeightStore;
        }));
        double storeSpeed = std::min(1.0, storeCapacity / std::max(fromStore, 1.0));
        for (auto& engine : m_engines) {
            if (!engine.order)
                continue;
            bool slowed = engine.order->kind == OrderKind::Load && engine.order->source == LoadSource::WeightStore;
            engine.workLeft -= stepSeconds * (slowed ? storeSpeed : 1);
            engine.storeLoadsSum += fromStore;
            bool inUse = engine.order->kind == OrderKind::Unload && std::any_of(engine.running.begin(), engine.running.end(), [&](const auto& call) { return call.model == engine.orderModel; });
            if (engine.workLeft <= 0 && !inUse)
                finishOrder(engine);
        }
    }

    void finishOrder(SimulatedEngine& engine)
    {
        if (engine.order->kind == OrderKind::Unload) {
            std::erase(engine.loaded, engine.orderModel);
        } else {
            engine.loaded.push_back(engine.orderModel);
            std::erase(engine.disk, engine.orderModel);
            engine.disk.push_front(engine.orderModel);
            if (engine.disk.size() > m_scenario.diskPlaces)
                engine.disk.pop_back();
            if (engine.order->source == LoadSource::WeightStore)
                m_storeLimit.onLoadEnded(engine.order->expected, std::chrono::milliseconds(static_cast<int64_t>((m_now - engine.orderSince) * 1000)), engine.storeLoadsSum / std::max((m_now - engine.orderSince) / stepSeconds, 1.0));
        }
        engine.order.reset();
    }

    base::Instant instantOf(double seconds) const { return origin + std::chrono::milliseconds(static_cast<int64_t>(seconds * 1000)); }

    static base::FailureDomain domainOf(size_t domain) { return base::FailureDomain(base::concat("domain-", domain)); }

    PlannedEngine planningState(const SimulatedEngine& engine) const
    {
        PlannedEngine state;
        state.id = engine.id;
        for (size_t model : engine.loaded)
            state.loaded[m_traits.models[model].id];
        for (size_t model : engine.disk)
            state.onDisk.insert(m_traits.models[model].id);
        state.domain = domainOf(engine.domain);
        state.workFactor = engine.workFactor;
        state.slots = m_scenario.slots;
        state.inFlight = static_cast<int64_t>(engine.running.size());
        if (engine.order)
            state.running = RunningOrder { engine.order->kind, engine.order->target.model, engine.order->source, engine.order->expected, instantOf(engine.orderSince) + engine.order->expected };
        return state;
    }

    void addDemandByDomain(PlacementInput& input) const
    {
        input.unevenDemand = true;
        std::map<std::pair<size_t, size_t>, int64_t> calls;
        for (const auto& engine : m_engines) {
            for (const auto& call : engine.running)
                ++calls[{ call.model, call.domain }];
        }
        for (const auto& waiting : m_waiting) {
            for (const auto& call : waiting)
                ++calls[{ call.model, call.domain }];
        }
        for (const auto& [key, count] : calls)
            input.demandByDomain.push_back({ m_traits.models[key.first].id, domainOf(key.second), count });
    }

    void plan()
    {
        PlacementInput input;
        input.now = instantOf(m_now);
        input.traits = &m_traits;
        input.maxStoreLoads = m_storeLimit.maxConcurrentLoads();
        std::vector<int64_t> running(m_scenario.models);
        for (const auto& engine : m_engines) {
            input.engines.push_back(planningState(engine));
            for (const auto& call : engine.running)
                ++running[call.model];
        }
        if (m_scenario.byLoss)
            addDemandByDomain(input);
        for (size_t model = 0; model < m_scenario.models; ++model) {
            auto waiting = static_cast<int64_t>(m_waiting[model].size());
            if (waiting || running[model] || m_rates[model] > 0.02)
                input.demand.push_back({ { m_traits.models[model].id, AdapterId() }, waiting, running[model], static_cast<int64_t>(m_rates[model] * 1000) });
        }
        auto began = std::chrono::steady_clock::now();
        Placement placement = m_planner.plan(input);
        m_result.passSeconds += std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        ++m_result.passes;
        for (const auto& order : placement.orders)
            startOrder(order);
    }

    void startOrder(const PlannedOrder& order)
    {
        auto& engine = *std::find_if(m_engines.begin(), m_engines.end(), [&](const SimulatedEngine& candidate) { return candidate.id == order.upstream; });
        engine.order = order;
        engine.orderModel = m_indexes.at(order.target.model);
        engine.orderSince = m_now;
        engine.workLeft = stepSeconds;
        engine.storeLoadsSum = 0;
        if (order.kind == OrderKind::Unload) {
            ++m_result.unloads;
            return;
        }
        bool fromStore = order.source == LoadSource::WeightStore;
        ++(fromStore ? m_result.storeLoads : m_result.diskLoads);
        if (!m_freeLoads)
            engine.workLeft = fromStore ? storeSeconds : diskSeconds;
    }

    Scenario m_scenario;
    PlacementPlanner m_planner;
    bool m_freeLoads;
    std::mt19937_64 m_random;
    EngineTraits m_traits;
    std::map<base::ModelId, size_t> m_indexes;
    StoreConcurrencyLimit m_storeLimit;
    std::vector<SimulatedEngine> m_engines;
    std::vector<std::deque<Call>> m_waiting;
    std::vector<double> m_rates;
    double m_now = 0;
    Result m_result;
};

Json toJson(const std::string& policy, const std::vector<Result>& results)
{
    Result sum;
    std::vector<double> late;
    for (const Result& result : results) {
        sum.calls += result.calls;
        sum.served += result.served;
        sum.abandoned += result.abandoned;
        sum.waitedSeconds += result.waitedSeconds;
        sum.storeLoads += result.storeLoads;
        sum.diskLoads += result.diskLoads;
        sum.unloads += result.unloads;
        sum.singleCalls += result.singleCalls;
        sum.singleAbandoned += result.singleAbandoned;
        late.push_back(1 - static_cast<double>(result.withinTarget) / static_cast<double>(result.calls));
    }
    double mean = 0;
    double variance = 0;
    auto count = static_cast<double>(late.size());
    for (double value : late)
        mean += value / count;
    for (double value : late)
        variance += (value - mean) * (value - mean);
    Json json { { "policy", policy }, { "runs", late.size() }, { "calls", sum.calls }, { "late_or_abandoned", mean }, { "standard_error", late.size() > 1 ? std::sqrt(variance / (count - 1) / count) : 0 }, { "abandoned", sum.abandoned },
        { "mean_wait_ms", sum.waitedSeconds * 1000 / static_cast<double>(std::max<int64_t>(sum.served, 1)) }, { "store_loads", sum.storeLoads }, { "disk_loads", sum.diskLoads }, { "unloads", sum.unloads } };
    if (sum.singleCalls)
        json["single_callers_abandoned"] = static_cast<double>(sum.singleAbandoned) / static_cast<double>(sum.singleCalls);
    return json;
}

std::vector<std::pair<std::string, PlacementSettings>> policies()
{
    PlacementSettings standard;
    PlacementSettings noHysteresis;
    noHysteresis.surplusAfter = {};
    PlacementSettings lateSecondReplica;
    lateSecondReplica.slotsPerReplica = 1;
    PlacementSettings earlyReplicas;
    earlyReplicas.slotsPerReplica = 0.25;
    PlacementSettings keepsIdle;
    keepsIdle.idleBeforeEviction = std::chrono::seconds(3);
    PlacementSettings shortReservation;
    shortReservation.reservationTime = {};
    return { { "standard", standard }, { "no hysteresis", noHysteresis }, { "a replica per full engine", lateSecondReplica }, { "a replica per quarter of an engine", earlyReplicas }, { "idle models stay 3 s", keepsIdle }, { "no reservation", shortReservation } };
}

void replayPolicies(Scenario scenario, uint64_t seeds)
{
    auto play = [&](const std::string& name, const PlacementSettings& settings, bool freeLoads) {
        std::vector<Result> results;
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            scenario.seed = seed;
            results.push_back(Replay(scenario, settings, freeLoads).run());
        }
        std::cout << toJson(name, results).dump() << std::endl;
    };
    for (const auto& [name, settings] : policies())
        play(name, settings, false);
    play("bound: loads take no time", PlacementSettings {}, true);
}

void replayUneven(Scenario scenario, uint64_t seeds)
{
    scenario.uneven = true;
    scenario.engines = 50;
    scenario.models = 158;
    scenario.slots = 32;
    scenario.engineGigabytes = 230;
    scenario.abandonAfter = 8;
    // With six, nearly every model is on some disk, and few single callers need the weight store.
    for (auto [diskPlaces, byLoss] : { std::pair<size_t, bool>(6, false), { 6, true }, { 3, false }, { 3, true } }) {
        scenario.diskPlaces = diskPlaces;
        scenario.byLoss = byLoss;
        std::vector<Result> results;
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            scenario.seed = seed;
            results.push_back(Replay(scenario, PlacementSettings {}, false).run());
        }
        std::cout << toJson(base::concat(byLoss ? "expected loss" : "priorities", ", ", diskPlaces, " models on a disk"), results).dump() << std::endl;
    }
}

void measurePass()
{
    constexpr double callsPerEngine = 4;
    auto measure = [&](size_t engines, size_t models, bool byLoss) {
        Scenario scenario;
        scenario.engines = engines;
        scenario.models = models;
        scenario.seconds = 10;
        scenario.byLoss = byLoss;
        scenario.callsPerSecond = callsPerEngine * static_cast<double>(engines);
        Result result = Replay(scenario, PlacementSettings {}, false).run();
        std::cout << Json { { "engines", engines }, { "models", models }, { "by_loss", byLoss }, { "passes", result.passes }, { "pass_ms", result.passSeconds * 1000 / static_cast<double>(result.passes) } }.dump() << std::endl;
    };
    for (auto [engines, models] : { std::pair<size_t, size_t>(1, 2), { 50, 158 }, { 60, 113 }, { 300, 300 }, { 600, 600 }, { 1200, 1200 } }) {
        for (bool byLoss : { false, true })
            measure(engines, models, byLoss);
    }
}

} // namespace

int main(int argc, char** argv)
{
    Scenario scenario;
    uint64_t seeds = 8;
    options::options_description described("placement_replay: policies of placement on drawn demand, one JSON object each");
    auto add = described.add_options();
    add("help", "prints this text");
    add("pass", "prints how long a planning pass takes at several sizes");
    add("uneven", "compares the order by expected loss with that by priorities on uneven demand; only seconds and seeds apply");
    add("engines", options::value(&scenario.engines)->default_value(scenario.engines), "number of engines");
    add("models", options::value(&scenario.models)->default_value(scenario.models), "number of models");
    add("seconds", options::value(&scenario.seconds)->default_value(scenario.seconds), "simulated seconds a run");
    add("calls", options::value(&scenario.callsPerSecond)->default_value(scenario.callsPerSecond), "calls a second");
    add("popular", options::value(&scenario.popularShare)->default_value(scenario.popularShare), "share of the calls that are for the popular model, from 0 to 1");
    add("seeds", options::value(&seeds)->default_value(seeds), "runs of each policy");
    options::variables_map given;
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        options::notify(given);
    } catch (const options::error& error) {
        std::cerr << "placement_replay: " << error.what() << "\n";
        return 2;
    }
    if (given.count("help")) {
        std::cout << described;
        return 0;
    }
    if (!scenario.engines || !scenario.models || scenario.seconds <= 0 || scenario.callsPerSecond <= 0 || !seeds || scenario.popularShare < 0 || scenario.popularShare > 1) {
        std::cerr << "placement_replay: engines, models, seconds, calls and seeds must be above 0, popular from 0 to 1\n";
        return 2;
    }
    if (given.count("pass"))
        measurePass();
    else if (given.count("uneven"))
        replayUneven(scenario, seeds);
    else
        replayPolicies(scenario, seeds);
    return 0;
}
