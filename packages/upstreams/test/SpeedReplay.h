// Engines of uneven speed before gateways that choose at once: a third needs 0.6 of the usual time, a third 1.0 and a third 1.6, and
// each needs 2.5 times as long for 0.6 s at a time, 15 % of the time. An engine reads prompts one after the other and answers
// concurrently. Gateways hear each other's calls every 100 ms.

#pragma once

#include "toucanstep/upstreams/UpstreamSelection.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace toucanstep::upstreams::testing {

struct ReplaySettings {
    size_t gateways = 1;
    double callsPerSecond = 260;
    bool useSpeeds = false;
    // All calls come to the first gateway.
    bool allAtOne = false;
    // The first so many gateways and the others do not hear each other, nor do those hear one another.
    size_t cutOff = 0;
    bool statesSpeed = true;
    // The engine that states a quarter of the usual time, whatever its speed.
    std::optional<size_t> falselyFast;
    uint64_t seed = 1;
};

struct ReplayResult {
    int64_t calls = 0;
    int64_t late = 0;
    int64_t mostAwaiting = 0;
    // The longest time that an engine would have needed to read its queued prompts, but for its slow times.
    double longestQueueSeconds = 0;
    // The number of calls to the engine with the fewest.
    int64_t fewestCalls = 0;
    // Calls to the engine that states a false speed, in the last half.
    int64_t falselyFastCalls = 0;
};

class SpeedReplay {
public:
    explicit SpeedReplay(const ReplaySettings& settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        for (size_t number = 0; number < engineCount; ++number)
            m_engines.push_back({ id(number), number % 3 == 0 ? 0.6 : number % 3 == 1 ? 1.0
                                                                                      : 1.6,
                {}, {}, {}, 0 });
        for (size_t number = 0; number < settings.gateways; ++number) {
            auto gateway = std::make_unique<Gateway>();
            for (const Engine& engine : m_engines)
                gateway->table.put(description(engine.id), m_now);
            m_gateways.push_back(std::move(gateway));
        }
    }

    ReplayResult run()
    {
        for (int step = 0; step < steps; ++step) {
            m_now += stepTime;
            m_lastHalf = step >= steps / 2;
            advanceEngines();
            int64_t arrivals = std::poisson_distribution<int64_t>(m_settings.callsPerSecond * base::toSeconds(stepTime))(m_random);
            for (int64_t count = 0; count < arrivals; ++count)
                m_waiting.push_back({ std::uniform_int_distribution<size_t>(0, m_settings.allAtOne ? 0 : m_settings.gateways - 1)(m_random), m_now });
            std::deque<Call> stillWaiting;
            for (Call& call : m_waiting) {
                if (!send(call))
                    stillWaiting.push_back(call);
            }
            m_waiting = std::move(stillWaiting);
            if (step % stepsPerReport == 0)
                report();
        }
        auto fewest = std::min_element(m_engines.begin(), m_engines.end(), [](const Engine& left, const Engine& right) { return left.calls < right.calls; });
        m_result.fewestCalls = fewest->calls;
        return m_result;
    }

private:
    static constexpr size_t engineCount = 51;
    static constexpr auto stepTime = std::chrono::milliseconds(10);
    static constexpr int steps = 3000;
    static constexpr int stepsPerReport = 10;
    static constexpr double promptSeconds = 0.1;
    static constexpr double answerSeconds = 1;
    static constexpr int64_t answerBytes = 1000;
    static constexpr auto latencyTarget = std::chrono::milliseconds(400);

    struct Gateway {
        UpstreamTable table;
        UpstreamSpeeds speeds;
    };
    struct Call {
        size_t gateway = 0;
        base::Instant arrived;
        base::Instant sent;
        base::Instant started;
        int64_t awaitingBefore = 0;
        double workLeft = promptSeconds;
    };
    struct Engine {
        base::UpstreamId id;
        double factor = 1;
        base::Instant slowUntil;
        std::deque<Call> prompts;
        std::vector<Call> answers;
        int64_t calls = 0;
    };

    static base::UpstreamId id(size_t number) { return base::UpstreamId("engine-" + std::to_string(number)); }
    static base::ServiceId service() { return base::ServiceId("narrator"); }
    static UpstreamDescription description(const base::UpstreamId& upstream)
    {
        UpstreamDescription description;
        description.id = upstream;
        description.service = service();
        description.slots = 32;
        return description;
    }

    double factorNow(const Engine& engine) const { return engine.factor * (engine.slowUntil > m_now ? 2.5 : 1); }

    void advanceEngines()
    {
        constexpr auto slowTime = std::chrono::milliseconds(600);
        constexpr double slowPart = 0.15;
        constexpr double begins = 0.01 / (0.6 * (1 - slowPart) / slowPart);
        for (Engine& engine : m_engines) {
            if (engine.slowUntil <= m_now && std::uniform_real_distribution<>()(m_random) < begins)
                engine.slowUntil = m_now + slowTime;
            double work = base::toSeconds(stepTime) / factorNow(engine);
            for (Call& call : engine.answers) {
                call.workLeft -= work;
                if (call.workLeft <= 0)
                    end(engine, call);
            }
            std::erase_if(engine.answers, [](const Call& call) { return call.workLeft <= 0; });
            while (work > 0 && !engine.prompts.empty()) {
                double done = std::min(work, engine.prompts.front().workLeft);
                engine.prompts.front().workLeft -= done;
                work -= done;
                if (engine.prompts.front().workLeft <= 0)
                    begin(engine);
            }
        }
    }

    void begin(Engine& engine)
    {
        Call call = engine.prompts.front();
        engine.prompts.pop_front();
        Gateway& gateway = *m_gateways[call.gateway];
        call.started = m_now;
        call.workLeft = answerSeconds;
        ++m_result.calls;
        m_result.late += m_now - call.arrived > latencyTarget ? 1 : 0;
        gateway.table.onAnswerBegun(engine.id);
        gateway.table.onBytesReceived(engine.id, m_now);
        if (m_settings.statesSpeed) {
            bool isFalse = m_settings.falselyFast && engine.id == id(*m_settings.falselyFast);
            StatedLoad load { static_cast<int64_t>(engine.answers.size()), static_cast<int64_t>(engine.prompts.size()), 32, isFalse ? 25 : std::lround(factorNow(engine) * 100) };
            gateway.speeds.onStated(service(), engine.id, StartId(), load, m_now);
        }
        gateway.speeds.onAnswerStarted(engine.id, StartId(), { base::Tokens(900), m_now - call.sent, call.awaitingBefore }, m_now);
        engine.answers.push_back(call);
    }

    void end(const Engine& engine, const Call& call)
    {
        Gateway& gateway = *m_gateways[call.gateway];
        gateway.table.onEnded(engine.id, true);
        gateway.speeds.onAnswerEnded(engine.id, StartId(), { m_now - call.started, answerBytes }, m_now);
    }

    bool send(Call& call)
    {
        Gateway& gateway = *m_gateways[call.gateway];
        UpstreamQuery query;
        query.service = service();
        query.spreadKey = std::to_string(m_random());
        query.speeds = m_settings.useSpeeds ? &gateway.speeds : nullptr;
        UpstreamSelection choice = selectUpstream(gateway.table, query, m_now);
        if (choice.blockReason != BlockReason::None)
            return false;
        auto engine = std::find_if(m_engines.begin(), m_engines.end(), [&](const Engine& each) { return each.id == choice.upstream; });
        call.sent = m_now;
        call.awaitingBefore = gateway.table.find(engine->id)->awaiting();
        gateway.table.onDispatched(engine->id, m_now);
        gateway.speeds.onCall(service(), engine->id, StartId(), m_now);
        engine->prompts.push_back(call);
        ++engine->calls;
        if (m_lastHalf && m_settings.falselyFast && engine->id == id(*m_settings.falselyFast))
            ++m_result.falselyFastCalls;
        auto queued = static_cast<int64_t>(engine->prompts.size());
        m_result.mostAwaiting = std::max(m_result.mostAwaiting, queued);
        m_result.longestQueueSeconds = std::max(m_result.longestQueueSeconds, static_cast<double>(queued) * promptSeconds * engine->factor);
        return true;
    }

    void report()
    {
        for (const Engine& engine : m_engines) {
            UpstreamLoad all;
            for (auto place = m_gateways.begin() + static_cast<ptrdiff_t>(m_settings.cutOff); place != m_gateways.end(); ++place) {
                const auto& gateway = *place;
                all.inFlight += gateway->table.find(engine.id)->own.inFlight;
                all.awaiting += gateway->table.find(engine.id)->own.awaiting;
            }
            for (auto place = m_gateways.begin() + static_cast<ptrdiff_t>(m_settings.cutOff); place != m_gateways.end(); ++place) {
                const auto& gateway = *place;
                const UpstreamLoad& own = gateway->table.find(engine.id)->own;
                gateway->table.setPeersLoad(engine.id, { all.inFlight - own.inFlight, all.awaiting - own.awaiting });
            }
        }
    }

    ReplaySettings m_settings;
    std::mt19937_64 m_random;
    base::Instant m_now { std::chrono::hours(1) };
    bool m_lastHalf = false;
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::deque<Call> m_waiting;
    ReplayResult m_result;
};

} // namespace toucanstep::upstreams::testing
