// Time of one planning tick at today's sizes and at the largest expected ones. Prints JSON.

#include "SlopeFit.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/placement/ReplicaPlan.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

using namespace toucanstep;
using namespace toucanstep::placement;

namespace {

struct Size {
    int engines;
    int models;
    int adapters;
};

const base::PoolId pool("engines");

config::Configuration makeConfiguration(const Size& size, std::mt19937_64& generator)
{
    config::Configuration configuration;
    config::UpstreamPool engines;
    engines.id = pool;
    engines.slots = 16;
    configuration.pools.push_back(engines);
    std::uniform_int_distribution<int64_t> gigabytes(10, 60);
    for (int index = 0; index < size.models; ++index) {
        config::Model model;
        model.id = base::ModelId(base::concat("model-", index));
        model.pool = pool;
        model.memory = base::Bytes(gigabytes(generator));
        model.maximumReplicas = 4;
        configuration.models.push_back(model);
    }
    std::uniform_int_distribution<int> anyModel(0, size.models - 1);
    for (int index = 0; index < size.adapters; ++index) {
        config::Model adapter;
        adapter.id = base::ModelId(base::concat("adapter-", index));
        adapter.pool = pool;
        adapter.memory = base::Bytes(1);
        adapter.baseModel = configuration.models[static_cast<size_t>(anyModel(generator))].id;
        configuration.models.push_back(adapter);
    }
    return configuration;
}

std::vector<EngineInstance> makeInstances(const Size& size, std::mt19937_64& generator)
{
    std::vector<EngineInstance> instances;
    std::uniform_int_distribution<int> anyModel(0, size.models - 1);
    for (int index = 0; index < size.engines; ++index) {
        EngineInstance instance;
        instance.id = base::UpstreamId(base::concat("engine-", index));
        instance.pool = pool;
        instance.domain = base::FailureDomain(base::concat("domain-", index % 3));
        instance.memory = base::Bytes(80);
        for (int copy = 0; copy < 3; ++copy)
            instance.cached.push_back({ base::ModelId(base::concat("model-", anyModel(generator))), CheckpointTier::Disk });
        instances.push_back(instance);
    }
    return instances;
}

using Rows = std::map<std::pair<base::ModelId, ReplicaSlot>, ReplicaRow>;

void apply(Rows& rows, const ReplicaIntent& intent)
{
    auto key = std::pair(intent.model, intent.slot);
    if (intent.kind == IntentKind::Remove) {
        rows.erase(key);
        return;
    }
    auto& row = rows[key];
    row.model = intent.model;
    row.slot = intent.slot;
    row.modified += base::Revision(1);
    // Holders give back at once.
    row.released = intent.kind == IntentKind::AskRelease;
    if (intent.kind != IntentKind::AskRelease)
        row.holder = intent.holder;
}

class Measurement {
public:
    explicit Measurement(const Size& size)
        : m_size(size)
        , m_generator(1)
        , m_configuration(makeConfiguration(size, m_generator))
        , m_instances(makeInstances(size, m_generator))
    {
        std::uniform_int_distribution<int64_t> concurrency(0, 20000);
        for (size_t index = 0; index < m_configuration.models.size(); index += 10)
            m_demand.push_back({ m_configuration.models[index].id, concurrency(m_generator), 0 });
    }

    nlohmann::json run()
    {
        auto first = tick();
        auto ticksToSettle = settle();
        std::vector<double> settled;
        constexpr int repetitions = 20;
        for (int repetition = 0; repetition < repetitions; ++repetition)
            settled.push_back(tick().milliseconds);
        std::sort(settled.begin(), settled.end());
        m_instances[0].presence = HolderPresence::Gone;
        auto death = tick();
        auto ticksAfterDeath = settle();
        return { { "engines", m_size.engines }, { "models", m_size.models }, { "adapters", m_size.adapters }, { "rows", m_rows.size() },
            { "first_tick_ms", first.milliseconds }, { "first_tick_intents", first.intents }, { "ticks_to_settle", ticksToSettle },
            { "settled_tick_p50_ms", settled[settled.size() / 2] }, { "settled_tick_max_ms", settled.back() }, { "death_tick_ms", death.milliseconds },
            { "death_tick_intents", death.intents }, { "ticks_after_death", ticksAfterDeath } };
    }

private:
    struct Tick {
        double milliseconds = 0;
        size_t intents = 0;
    };

    Tick tick()
    {
        PlanInput input { m_now, &m_configuration, m_instances, {}, m_demand };
        for (const auto& [key, row] : m_rows)
            input.rows.push_back(row);
        m_now += std::chrono::seconds(1);
        base::SteadyClock clock;
        auto before = clock.now();
        auto intents = m_planner.plan(input);
        auto spent = clock.now() - before;
        for (const auto& intent : intents)
            apply(m_rows, intent);
        return { std::chrono::duration<double, std::milli>(spent).count(), intents.size() };
    }

    int settle()
    {
        constexpr int most = 500;
        for (int ticks = 1; ticks <= most; ++ticks)
            if (tick().intents == 0)
                return ticks;
        return -1;
    }

    Size m_size;
    std::mt19937_64 m_generator;
    config::Configuration m_configuration;
    std::vector<EngineInstance> m_instances;
    std::vector<ModelDemand> m_demand;
    Rows m_rows;
    Planner m_planner { {} };
    base::Instant m_now;
};

} // namespace

int main()
{
    toucanstep::bench::SlopeFit settled("settled_tick_p50_ms", "engines");
    toucanstep::bench::SlopeFit first("first_tick_ms", "engines");
    for (const auto& size : { Size { 18, 55, 115 }, Size { 300, 300, 475 }, Size { 600, 600, 950 }, Size { 1200, 1200, 1900 } }) {
        nlohmann::json measured = Measurement(size).run();
        settled.add(size.engines, measured["settled_tick_p50_ms"].get<double>());
        first.add(size.engines, measured["first_tick_ms"].get<double>());
        std::cout << measured.dump() << std::endl;
    }
    std::cout << settled.json().dump() << "\n"
              << first.json().dump() << "\n";
    return 0;
}
