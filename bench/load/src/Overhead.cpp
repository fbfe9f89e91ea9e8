#include "Overhead.h"

#include "Quantile.h"
#include "Traffic.h"
#include "toucanstep/base/Text.h"

#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

namespace toucanstep::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t unlimited = 10'000;
constexpr int64_t manySlots = 512;
constexpr base::Duration callTimeout = seconds(30);

struct Target {
    std::string url;
    std::string key;
};

formats::HttpCall chatCall(const Target& target, const std::string& model, int64_t number, int64_t tokens, bool stream)
{
    nlohmann::json message = { { "role", "user" }, { "content", base::concat("reading ", number, " of the clamp") } };
    formats::HttpCall call;
    call.method = "POST";
    call.url = target.url + "/v1/chat/completions";
    call.headers = { { "Content-Type", "application/json" }, { "Authorization", "Bearer " + target.key } };
    call.body = nlohmann::json { { "model", model }, { "max_tokens", tokens }, { "stream", stream }, { "messages", { message } } }.dump();
    call.deadline = std::chrono::steady_clock::now() + callTimeout;
    return call;
}

// The engine whose sidecar holds the model, once one does.
InstancePointer holderOf(Fleet& fleet, const std::string& model)
{
    for (const InstancePointer& sidecar : fleet.sidecars()) {
        auto ready = sidecar->engine ? sidecar->engine->readyModels() : std::vector<std::string>();
        if (std::find(ready.begin(), ready.end(), model) != ready.end())
            return sidecar;
    }
    return nullptr;
}

// What both scenarios have in common: one gateway, one engine, limits out of the way.
class Overhead : public Scenario {
public:
    void adjust(FleetOptions& options) const override
    {
        options.gateways = 1;
        options.engines = 1;
        options.services = 1;
        options.text.rateFactor = unlimited;
        options.text.slots = manySlots;
        options.text.engineTick = tick();
    }

    std::vector<PlannedRequest> warmUp(const Deployment& deployment, std::mt19937_64& generator) const override
    {
        PlannedRequest request = chat(deployment.configuration().accounts.front(), warmModels(deployment).front(), generator);
        request.tokens = 1;
        request.timeout = callTimeout;
        return { request };
    }

    std::vector<PlannedRequest> plan(const Deployment&, std::mt19937_64&) override { return {}; }

    std::vector<Action> actions(const Deployment& deployment) override
    {
        m_model = warmModels(deployment).front().value();
        m_key = Deployment::key(deployment.configuration().accounts.front().id);
        return { { milliseconds(100), summary(), [this](Fleet& fleet) { measureFleet(fleet); } } };
    }

    void measure(const RunRecord&, RunResult& result) const override { result.extra.insert(m_figures.begin(), m_figures.end()); }

protected:
    virtual base::Duration tick() const = 0;
    virtual void measureFleet(Fleet&) = 0;

    Target pathOf(Fleet& fleet) const { return { base::concat("http://127.0.0.1:", fleet.callerPorts().front()), m_key }; }

    std::string m_model;
    std::string m_key;
    std::map<std::string, double> m_figures;
};

class Latency final : public Overhead {
public:
    std::string name() const override { return "latency"; }
    std::string summary() const override { return "latency through one gateway and one sidecar beside straight calls of the engine, and requests a second"; }

protected:
    base::Duration tick() const override { return milliseconds(1); }

    void measureFleet(Fleet& fleet) override
    {
        // Straight calls go to an engine of the same kind that no sidecar unloads between them.
        fakes::FakeEngineOptions options;
        options.checkpoints = fleet.deployment().checkpoints();
        options.tickLength = tick();
        options.maximumRunning = static_cast<size_t>(manySlots);
        fakes::FakeEngine engine(options);
        engine.holdNow(m_model);
        Target direct { engine.url(), "none" };
        compare(fleet, direct);
        // The first figure says what the tool and the stand-in themselves carry.
        throughput(direct, "direct");
        throughput(pathOf(fleet), "path");
    }

private:
    void compare(Fleet& fleet, const Target& engine)
    {
        constexpr int64_t calls = 1500;
        std::vector<double> direct;
        std::vector<double> path;
        Target gateway = pathOf(fleet);
        for (int64_t number = 0; number < calls; ++number) {
            timeOne(fleet, engine, number, direct);
            timeOne(fleet, gateway, number, path);
        }
        constexpr double middle = 0.5;
        constexpr double farTail = 0.99;
        if (direct.empty() || path.empty())
            return;
        m_figures["direct_p50_ms"] = *quantile(direct, middle);
        m_figures["direct_p99_ms"] = *quantile(direct, farTail);
        m_figures["path_p50_ms"] = *quantile(path, middle);
        m_figures["path_p99_ms"] = *quantile(path, farTail);
        m_figures["added_p50_ms"] = m_figures["path_p50_ms"] - m_figures["direct_p50_ms"];
        m_figures["added_p99_ms"] = m_figures["path_p99_ms"] - m_figures["direct_p99_ms"];
        m_figures["calls_compared"] = static_cast<double>(std::min(direct.size(), path.size()));
    }

    void timeOne(Fleet& fleet, const Target& target, int64_t number, std::vector<double>& times)
    {
        base::Instant began = std::chrono::steady_clock::now();
        bool good = fleet.client().fetch(chatCall(target, m_model, number, 1, false)).ok();
        base::Duration took = std::chrono::steady_clock::now() - began;
        if (good)
            times.push_back(std::chrono::duration<double, std::milli>(took).count());
        else
            m_figures["calls_failed"] += 1;
    }

    // Closed loop: every worker sends its next request as soon as it has the answer to the last.
    void throughput(const Target& target, const std::string& way)
    {
        constexpr int workers = 64;
        constexpr int clients = 4;
        constexpr base::Duration length = seconds(5);
        std::vector<std::unique_ptr<formats::HttpClient>> senders;
        for (int index = 0; index < clients; ++index)
            senders.push_back(std::make_unique<formats::HttpClient>());
        std::atomic<int64_t> answered { 0 };
        std::atomic<int64_t> failed { 0 };
        base::Instant end = std::chrono::steady_clock::now() + length;
        std::vector<std::thread> threads;
        threads.reserve(workers);
        for (int worker = 0; worker < workers; ++worker) {
            threads.emplace_back([&, worker] {
                for (int64_t number = 0; std::chrono::steady_clock::now() < end; ++number) {
                    bool good = senders[static_cast<size_t>(worker % clients)]->fetch(chatCall(target, m_model, number, 1, false)).ok();
                    (good ? answered : failed).fetch_add(1);
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        m_figures[way + "_requests_per_s"] = static_cast<double>(answered) / base::toSeconds(length);
        m_figures[way + "_requests_failed"] = static_cast<double>(failed);
    }
};

class Memory final : public Overhead {
public:
    std::string name() const override { return "memory"; }
    std::string summary() const override { return "resident memory of a gateway and a sidecar, idle and under 500 streams"; }

protected:
    base::Duration tick() const override { return milliseconds(50); }

    void measureFleet(Fleet& fleet) override
    {
        InstancePointer holder = holderOf(fleet, m_model);
        if (!holder)
            return;
        note(fleet, holder, "idle");
        constexpr int streams = 500;
        constexpr int64_t tokens = 200;
        std::atomic<int> whole { 0 };
        std::atomic<int> ended { 0 };
        for (int64_t number = 0; number < streams; ++number) {
            fleet.client().fetchAsync(chatCall(pathOf(fleet), m_model, number, tokens, true), [&](const formats::HttpReply& reply) {
                whole += reply.ok() && reply.body.find("[DONE]") != std::string::npos ? 1 : 0;
                ++ended;
            });
        }
        std::this_thread::sleep_for(seconds(5));
        m_figures["streams_running"] = static_cast<double>(streams - ended);
        note(fleet, holder, "streams");
        while (ended < streams)
            std::this_thread::sleep_for(milliseconds(20));
        m_figures["streams_whole"] = static_cast<double>(whole);
    }

private:
    void note(Fleet& fleet, const InstancePointer& holder, const std::string& when)
    {
        constexpr double mebibyte = 1024.0 * 1024.0;
        if (auto bytes = fleet.gateways().front()->daemon->residentBytes())
            m_figures["gateway_" + when + "_mib"] = static_cast<double>(*bytes) / mebibyte;
        if (auto bytes = holder->daemon->residentBytes())
            m_figures["sidecar_" + when + "_mib"] = static_cast<double>(*bytes) / mebibyte;
    }
};

} // namespace

std::unique_ptr<Scenario> makeLatencyScenario() { return std::make_unique<Latency>(); }

std::unique_ptr<Scenario> makeMemoryScenario() { return std::make_unique<Memory>(); }

} // namespace toucanstep::bench
