// Replays one day of bursts with idle nights for 55 models on 18 engines against several keep-alive policies.
//
// Decisions are those of the libraries (Planner, ResidencyManager, LoadPermits); engine, network and callers are simulated
// without faults. Prints JSON: for each policy the idle ratio and the cold starts, and at equal wait the ratio of idling.
// Usage: keepalive_replay [--seed N]

#include "toucanstep/base/Text.h"
#include "toucanstep/placement/LoadPermits.h"
#include "toucanstep/placement/ReplicaPlan.h"
#include "toucanstep/placement/ResidencyManager.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <string>

using namespace toucanstep;
using namespace toucanstep::placement;
using namespace std::chrono_literals;

namespace {

constexpr int engineCount = 18;
constexpr int modelCount = 55;
constexpr int64_t engineMemory = 80;
constexpr auto day = 24h;
// What happens before this point teaches the policies and is not counted.
constexpr auto warmUp = 4h;
constexpr auto patience = 120s;
constexpr base::Duration network = 10ms;
constexpr double pi = 3.14159265358979;

base::Duration seconds(double count) { return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(count)); }

struct Arrival {
    base::Instant when;
    int model = 0;
    base::Duration service {};
};

// Sessions come at random, few at night; each is a burst of requests with short pauses. A few models are asked on a timer.
std::vector<Arrival> makeTrace(uint64_t seed)
{
    std::mt19937_64 generator(seed);
    std::vector<Arrival> trace;
    std::exponential_distribution<double> unit(1);
    std::uniform_real_distribution<double> share(0, 1);
    for (int model = 0; model < modelCount; ++model) {
        auto onTimer = model % 11 == 0;
        auto sessionsADay = 6 * std::pow(20, share(generator));
        auto requests = 2 + 10 * share(generator);
        auto pause = 2 + 18 * share(generator);
        auto phase = share(generator) * 0.2;
        double time = 0;
        while (time < base::toSeconds(day)) {
            time += onTimer ? 600 + 10 * share(generator) : unit(generator) * base::toSeconds(day) / sessionsADay / 2;
            auto daylight = std::max(0.02, std::sin(2 * pi * (time / base::toSeconds(day) + phase)));
            if (!onTimer && share(generator) > daylight)
                continue;
            auto left = onTimer ? 1 : 1 + static_cast<int>(unit(generator) * requests);
            for (auto when = time; left > 0; --left, when += unit(generator) * pause)
                trace.push_back({ base::Instant(seconds(when)), model, seconds(0.5 + unit(generator) * 3) });
        }
    }
    std::sort(trace.begin(), trace.end(), [](const auto& left, const auto& right) { return left.when < right.when; });
    return trace;
}

struct Fleet {
    config::Configuration configuration;
    std::vector<base::Duration> loadTimes;
    // Each model's home.
    std::vector<int> homes;
};

Fleet makeFleet(uint64_t seed)
{
    std::mt19937_64 generator(seed + 1);
    std::uniform_int_distribution<int64_t> memory(12, 64);
    Fleet fleet;
    const base::PoolId pool("engines");
    config::UpstreamPool engines;
    engines.id = pool;
    fleet.configuration.pools.push_back(engines);
    for (int index = 0; index < modelCount; ++index) {
        config::Model model;
        model.id = base::ModelId(base::concat(index));
        model.pool = pool;
        model.memory = base::Bytes(memory(generator));
        fleet.configuration.models.push_back(model);
        // Two units of memory a second.
        fleet.loadTimes.push_back(seconds(static_cast<double>(model.memory.value()) / 2));
    }
    PlanInput input;
    input.configuration = &fleet.configuration;
    for (int index = 0; index < engineCount; ++index)
        input.instances.push_back({ base::UpstreamId(base::concat(index)), pool, base::FailureDomain(base::concat(index % 3)), base::Bytes(engineMemory),
            HolderPresence::Present, {} });
    fleet.homes.resize(modelCount);
    for (const auto& intent : Planner({}).plan(input))
        fleet.homes[static_cast<size_t>(std::stoi(intent.model.value()))] = std::stoi(intent.holder.value());
    return fleet;
}

struct Totals {
    std::vector<double> coldWaits;
    std::vector<double> waits;
    double loadedSeconds = 0;
    double idleSeconds = 0;
    int64_t refused = 0;
    int64_t loads = 0;
};

double quantile(std::vector<double>& values, double part)
{
    if (values.empty())
        return 0;
    auto place = values.begin() + static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

using MakePolicy = std::function<std::unique_ptr<KeepAlivePolicy>()>;

class Replay {
public:
    Replay(const Fleet& fleet, const std::vector<Arrival>& trace, const MakePolicy& makePolicy)
        : m_fleet(fleet)
        , m_trace(trace)
        , m_waiting(modelCount)
        , m_running(modelCount)
    {
        for (int engine = 0; engine < engineCount; ++engine) {
            ResidencySettings settings { .capacity = base::Bytes(engineMemory), .fencing = true };
            m_engines.push_back(std::make_unique<ResidencyManager>(settings, makePolicy(), base::Epoch(1), base::Instant()));
            std::vector<ModelSpec> specs;
            for (int model = 0; model < modelCount; ++model)
                if (homeOf(model) == engine)
                    specs.push_back({ idOf(model), modelOf(model).memory, loadTimeOf(model), std::nullopt });
            m_engines.back()->setModelSpecs(specs);
            for (const auto& spec : specs)
                m_engines.back()->grantRow(spec.model, base::Epoch(1));
            m_resident.emplace_back();
        }
    }

    Totals run()
    {
        constexpr auto interval = 1s;
        size_t next = 0;
        for (base::Instant now; now < base::Instant(day); now += interval) {
            while (true) {
                auto arrival = next < m_trace.size() ? m_trace[next].when : base::Instant::max();
                auto event = m_events.empty() ? base::Instant::max() : m_events.top().when;
                auto first = std::min(arrival, event);
                if (first > now)
                    break;
                m_now = first;
                if (event <= arrival)
                    runEvent();
                else
                    arrive(m_trace[next++]);
            }
            m_now = now;
            account(interval);
            for (int engine = 0; engine < engineCount; ++engine)
                tick(engine);
        }
        return std::move(m_totals);
    }

private:
    struct Event {
        base::Instant when;
        int64_t order = 0;
        std::function<void()> body;
        bool operator<(const Event& other) const { return std::tie(when, order) > std::tie(other.when, other.order); }
    };
    struct Request {
        base::RequestId id;
        base::Instant arrived;
        base::Duration service {};
        bool cold = false;
    };

    static base::ModelId idOf(int model) { return base::ModelId(base::concat(model)); }
    int homeOf(int model) const { return m_fleet.homes[static_cast<size_t>(model)]; }
    const config::Model& modelOf(int model) const { return m_fleet.configuration.models[static_cast<size_t>(model)]; }
    base::Duration loadTimeOf(int model) const { return m_fleet.loadTimes[static_cast<size_t>(model)]; }
    ResidencyManager& manager(int engine) { return *m_engines[static_cast<size_t>(engine)]; }
    bool isCounted() const { return m_now >= base::Instant(warmUp); }

    void at(base::Duration delay, std::function<void()> body) { m_events.push({ m_now + delay, ++m_lastEvent, std::move(body) }); }

    void runEvent()
    {
        auto event = m_events.top();
        m_events.pop();
        event.body();
    }

    void arrive(const Arrival& arrival)
    {
        auto engine = homeOf(arrival.model);
        Request request { base::RequestId(base::concat(++m_lastRequest)), m_now, arrival.service, !manager(engine).usable(idOf(arrival.model)) };
        if (!request.cold) {
            start(arrival.model, request);
            return;
        }
        manager(engine).addWaiter(idOf(arrival.model), request.id, m_now + patience, m_now);
        m_waiting[static_cast<size_t>(arrival.model)].push_back(request);
        tick(engine);
    }

    void start(int model, const Request& request)
    {
        manager(homeOf(model)).beginUse(idOf(model), m_now);
        ++m_running[static_cast<size_t>(model)];
        auto wait = base::toSeconds(m_now - request.arrived);
        if (isCounted()) {
            m_totals.waits.push_back(wait);
            if (request.cold)
                m_totals.coldWaits.push_back(wait);
        }
        at(request.service, [this, model] {
            manager(homeOf(model)).endUse(idOf(model), m_now);
            --m_running[static_cast<size_t>(model)];
        });
    }

    void serveWaiting(int model)
    {
        auto& waiting = m_waiting[static_cast<size_t>(model)];
        auto& home = manager(homeOf(model));
        for (const auto& request : waiting) {
            start(model, request);
            home.removeWaiter(idOf(model), request.id, m_now);
        }
        waiting.clear();
    }

    void refuseLate(int model)
    {
        std::erase_if(m_waiting[static_cast<size_t>(model)], [&](const auto& request) {
            if (m_now - request.arrived < patience)
                return false;
            manager(homeOf(model)).removeWaiter(idOf(model), request.id, m_now);
            m_totals.refused += isCounted() ? 1 : 0;
            return true;
        });
    }

    void tick(int engine)
    {
        for (int model = 0; model < modelCount; ++model)
            if (homeOf(model) == engine)
                refuseLate(model);
        auto permission = [&](const base::ModelId& model, base::Instant deadline) { return mayLoad(engine, std::stoi(model.value()), deadline); };
        for (const auto& order : manager(engine).tick(m_now, permission))
            carryOut(engine, order);
    }

    bool mayLoad(int engine, int model, base::Instant deadline)
    {
        auto permit = m_permits.requestPermit({ base::UpstreamId(base::concat(engine)), idOf(model), PermitKind::Model, deadline, 1, loadTimeOf(model) }, m_now);
        if (permit)
            m_held[model] = permit->id;
        return permit.has_value();
    }

    void carryOut(int engine, const ResidencyOrder& order)
    {
        auto& resident = m_resident[static_cast<size_t>(engine)];
        auto& home = manager(engine);

        switch (order.kind) {
        case OrderKind::Load: {
            auto model = std::stoi(order.model.value());
            resident[order.model] = EngineModelState::Loading;
            m_totals.loads += isCounted() ? 1 : 0;
            at(loadTimeOf(model), [this, model, id = order.id, &resident, &home] {
                resident[idOf(model)] = EngineModelState::Ready;
                m_permits.release(m_held[model]);
                home.onOrderResult(id, OrderOutcome::Done, m_now);
                serveWaiting(model);
                tickWaitingEngines();
            });
            return;
        }
        case OrderKind::Unload:
            at(network, [this, order, engine, &resident, &home] {
                resident.erase(order.model);
                home.onOrderResult(order.id, OrderOutcome::Done, m_now);
                tick(engine);
            });
            return;
        case OrderKind::ReadIndex:
            at(network, [this, order, engine, &resident, &home] {
                EngineIndex index { m_now - network / 2, {} };
                for (const auto& [model, state] : resident)
                    index.entries.push_back({ model, state });
                home.onIndex(index, m_now);
                home.onOrderResult(order.id, OrderOutcome::Done, m_now);
                tick(engine);
            });
            return;
        case OrderKind::RaiseFence:
            at(network, [this, order, &home] { home.onOrderResult(order.id, OrderOutcome::Done, m_now); });
            return;
        }
    }

    // A permit is free: those who wait for one ask again.
    void tickWaitingEngines()
    {
        for (int model = 0; model < modelCount; ++model)
            if (!m_waiting[static_cast<size_t>(model)].empty() && manager(homeOf(model)).state(idOf(model)) == ResidencyState::Reserved)
                tick(homeOf(model));
    }

    void account(base::Duration interval)
    {
        if (!isCounted())
            return;
        for (const auto& resident : m_resident)
            for (const auto& [id, state] : resident) {
                auto model = static_cast<size_t>(std::stoi(id.value()));
                m_totals.loadedSeconds += base::toSeconds(interval);
                if (m_running[model] == 0 && m_waiting[model].empty())
                    m_totals.idleSeconds += base::toSeconds(interval);
            }
    }

    const Fleet& m_fleet;
    const std::vector<Arrival>& m_trace;
    std::vector<std::unique_ptr<ResidencyManager>> m_engines;
    std::vector<std::map<base::ModelId, EngineModelState>> m_resident;
    std::vector<std::vector<Request>> m_waiting;
    std::vector<int> m_running;
    LoadPermits m_permits { {} };
    std::map<int, PermitId> m_held;
    std::priority_queue<Event> m_events;
    int64_t m_lastEvent = 0;
    int64_t m_lastRequest = 0;
    base::Instant m_now;
    Totals m_totals;
};

nlohmann::json describe(const std::string& policy, double setting, Totals totals)
{
    auto requests = static_cast<double>(totals.waits.size());
    double sum = 0;
    for (auto wait : totals.waits)
        sum += wait;
    return { { "policy", policy }, { "setting", setting }, { "requests", totals.waits.size() }, { "refused", totals.refused }, { "loads", totals.loads },
        { "cold_ratio", static_cast<double>(totals.coldWaits.size()) / requests }, { "cold_start_p99_s", quantile(totals.coldWaits, 0.99) },
        { "wait_p99_s", quantile(totals.waits, 0.99) }, { "wait_mean_s", sum / requests }, { "idle_accelerator_ratio", totals.idleSeconds / totals.loadedSeconds },
        { "idle_accelerator_hours", totals.idleSeconds / 3600 }, { "loaded_accelerator_hours", totals.loadedSeconds / 3600 } };
}

} // namespace

int main(int argc, char** argv)
{
    uint64_t seed = 1;
    if (argc == 3 && std::string(argv[1]) == "--seed")
        seed = std::stoull(argv[2]);
    auto trace = makeTrace(seed);
    auto fleet = makeFleet(seed);
    nlohmann::json report { { "seed", seed }, { "arrivals", trace.size() }, { "runs", nlohmann::json::array() } };
    for (auto keep : { 5, 15, 30, 60, 120, 300, 600, 1200 })
        report["runs"].push_back(
            describe("fixed", keep, Replay(fleet, trace, [&] { return makeFixedKeepAlive(std::chrono::seconds(keep)); }).run()));
    for (auto price : { 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0 })
        report["runs"].push_back(
            describe("learnt", price, Replay(fleet, trace, [&] { return makeLearntKeepAlive({ .idleSecondsPerWaitSecond = price }); }).run()));
    for (auto price : { 1.0, 2.0, 4.0, 8.0, 16.0, 32.0 })
        report["runs"].push_back(describe("learnt_without_foresight", price,
            Replay(fleet, trace, [&] { return makeLearntKeepAlive({ .idleSecondsPerWaitSecond = price, .maximumRelativeDeviation = 0 }); }).run()));
    std::cout << report.dump(1) << "\n";
    return 0;
}
