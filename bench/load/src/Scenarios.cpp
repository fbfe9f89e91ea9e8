#include "Scenario.h"

#include "Overhead.h"
#include "Traffic.h"
#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"

#include <csignal>
#include <iostream>
#include <set>
#include <thread>

namespace toucanstep::bench {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Duration leavePatience = seconds(20);

// Every model that is no adapter is idle, and its first requests come at all gateways at once.
class Burst final : public Scenario {
public:
    std::string name() const override { return "burst"; }
    std::string summary() const override { return "every idle model gets its first requests, at all gateways at once"; }

    std::vector<PlannedRequest> plan(const Deployment& deployment, std::mt19937_64& generator) override
    {
        constexpr size_t gateways = 3;
        constexpr int64_t answerTokens = 32;
        constexpr base::Duration patience = seconds(40);
        std::uniform_int_distribution<int64_t> spread(0, base::Duration(milliseconds(50)).count());
        const auto& accounts = deployment.configuration().accounts;
        std::vector<PlannedRequest> requests;
        for (const base::ModelId& model : deployment.baseModels()) {
            for (size_t gateway = 0; gateway < gateways; ++gateway) {
                requests.push_back(chat(accounts[requests.size() % accounts.size()], model, generator));
                requests.back().at = base::Duration(spread(generator));
                requests.back().gateway = gateway;
                requests.back().tokens = answerTokens;
                requests.back().timeout = patience;
            }
        }
        return requests;
    }
};

class Flood final : public Scenario {
public:
    std::string name() const override { return "flood"; }
    std::string summary() const override { return "one account sends five times its rate, the others stay within theirs"; }
    std::vector<PlannedRequest> warmUp(const Deployment& deployment, std::mt19937_64& generator) const override { return warmUpTraffic(deployment, generator); }

    std::vector<PlannedRequest> plan(const Deployment& deployment, std::mt19937_64& generator) override
    {
        constexpr double flooding = 5;
        constexpr size_t flooder = 1;
        std::vector<PlannedRequest> requests;
        const auto& accounts = deployment.configuration().accounts;
        for (size_t index = 0; index < accounts.size(); ++index) {
            SteadyTraffic traffic;
            traffic.partOfRate = index == flooder ? flooding : traffic.partOfRate;
            auto own = accountTraffic(deployment, accounts[index], traffic, generator);
            requests.insert(requests.end(), own.begin(), own.end());
        }
        return requests;
    }
};

class KeyValueOutage final : public Scenario {
public:
    std::string name() const override { return "kv-outage"; }
    std::string summary() const override { return "the key-value service is down for 15 s; before it an answer is lost, within it a gateway is killed and later dropped from the list"; }
    std::vector<PlannedRequest> warmUp(const Deployment& deployment, std::mt19937_64& generator) const override { return warmUpTraffic(deployment, generator); }

    std::vector<PlannedRequest> plan(const Deployment& deployment, std::mt19937_64& generator) override
    {
        constexpr double orders = 0.15;
        SteadyTraffic traffic;
        traffic.length = seconds(34);
        traffic.orders = orders;
        return steadyTraffic(deployment, traffic, generator);
    }

    std::vector<Action> actions(const Deployment&) override
    {
        return {
            { seconds(5), "the next answers of the key-value service are lost", [](Fleet& fleet) { fleet.store().loseNextAnswers(2); } },
            { seconds(6), "key-value service down", [](Fleet& fleet) { fleet.store().setDown(true); } },
            { seconds(10), "a gateway is killed", [](Fleet& fleet) { fleet.kill(fleet.gateways().front()); } },
            { seconds(17), "the list drops the killed gateway", [](Fleet& fleet) { fleet.dropFromList(fleet.gateways().front()); } },
            { seconds(21), "key-value service up", [](Fleet& fleet) { fleet.store().setDown(false); } },
        };
    }
};

class Leave final : public Scenario {
public:
    std::string name() const override { return "leave"; }
    std::string summary() const override { return "every gateway and every sidecar is replaced under load, one after the other"; }
    std::vector<PlannedRequest> warmUp(const Deployment& deployment, std::mt19937_64& generator) const override { return warmUpTraffic(deployment, generator); }

    std::vector<PlannedRequest> plan(const Deployment& deployment, std::mt19937_64& generator) override
    {
        constexpr double partOfRate = 0.4;
        constexpr double orders = 0.1;
        SteadyTraffic traffic;
        traffic.length = seconds(50);
        traffic.partOfRate = partOfRate;
        traffic.orders = orders;
        return steadyTraffic(deployment, traffic, generator);
    }

    std::vector<Action> actions(const Deployment&) override
    {
        return { { seconds(2), "rolling replacement of all gateways and sidecars", [](Fleet& fleet) { replaceAll(fleet); } } };
    }

private:
    // As a platform does it: the new instance is ready before the old one is told to leave.
    static void replace(Fleet& fleet, const InstancePointer& added, const InstancePointer& leaving)
    {
        constexpr base::Duration gap = milliseconds(700);
        if (added)
            fleet.waitReady(added, leavePatience);
        std::this_thread::sleep_for(gap);
        fleet.leave(leaving, leavePatience);
    }

    static void replaceAll(Fleet& fleet)
    {
        for (const InstancePointer& gateway : fleet.gateways())
            replace(fleet, fleet.startGateway(), gateway);
        for (const InstancePointer& sidecar : fleet.sidecars())
            replace(fleet, fleet.startSidecar(sidecar->pool), sidecar);
    }
};

class Silent final : public Scenario {
public:
    std::string name() const override { return "silent"; }
    std::string summary() const override { return "connections go silent in the middle of answers: two sidecars stop for 6 s, and engines stop sending without closing"; }
    std::vector<PlannedRequest> warmUp(const Deployment& deployment, std::mt19937_64& generator) const override { return warmUpTraffic(deployment, generator); }

    std::vector<PlannedRequest> plan(const Deployment& deployment, std::mt19937_64& generator) override
    {
        constexpr int64_t longAnswer = 400;
        SteadyTraffic traffic;
        traffic.length = seconds(28);
        traffic.answerTokens = longAnswer;
        traffic.timeout = seconds(25);
        return steadyTraffic(deployment, traffic, generator);
    }

    std::vector<Action> actions(const Deployment&) override
    {
        return {
            { seconds(6), "two busy sidecars stop", [this](Fleet& fleet) { stopBusiest(fleet); } },
            { seconds(12), "they go on", [this](Fleet&) { resume(); } },
            { seconds(18), "the streams of all engines fall silent", [](Fleet& fleet) { silenceEngines(fleet); } },
        };
    }

private:
    void stopBusiest(Fleet& fleet)
    {
        constexpr size_t stopped = 2;
        for (const InstancePointer& sidecar : fleet.sidecars()) {
            bool busy = sidecar->engine && !sidecar->engine->readyModels().empty();
            if (!busy || m_stopped.size() == stopped)
                continue;
            sidecar->daemon->signal(SIGSTOP);
            m_stopped.push_back(sidecar);
        }
    }

    void resume()
    {
        for (const InstancePointer& sidecar : m_stopped)
            sidecar->daemon->signal(SIGCONT);
    }

    static void silenceEngines(Fleet& fleet)
    {
        for (const InstancePointer& sidecar : fleet.sidecars()) {
            if (sidecar->engine)
                sidecar->engine->silenceStreams();
        }
    }

    std::vector<InstancePointer> m_stopped;
};

// One account has a second key, which is taken out of the text while callers use it.
class Withdraw final : public Scenario {
public:
    std::string name() const override { return "withdraw"; }
    std::string summary() const override { return "keys are withdrawn while callers use them, and the key-value service goes down right after one process has heard of it"; }
    std::vector<PlannedRequest> warmUp(const Deployment& deployment, std::mt19937_64& generator) const override { return warmUpTraffic(deployment, generator); }

    std::vector<PlannedRequest> plan(const Deployment& deployment, std::mt19937_64& generator) override
    {
        SteadyTraffic traffic;
        traffic.length = seconds(20);
        traffic.adapters = 0;
        std::vector<PlannedRequest> requests = steadyTraffic(deployment, traffic, generator);
        for (size_t index = 0; index < requests.size(); index += 2)
            requests[index].key = Deployment::key(requests[index].account, 1);
        return requests;
    }

    std::vector<Action> actions(const Deployment& deployment) override
    {
        return {
            { seconds(6), "second keys withdrawn, then the key-value service goes down", [this, &deployment](Fleet& fleet) { withdraw(fleet, deployment); } },
            { seconds(14), "key-value service up", [](Fleet& fleet) { fleet.store().setDown(false); } },
        };
    }

    void measure(const RunRecord& record, RunResult& result) const override
    {
        double last = 0;
        for (const base::HistoryEvent& event : record.events) {
            bool letIn = event.kind == base::HistoryKind::Admitted && m_fingerprints.contains(event.key.value()) && event.at > m_withdrawnAt;
            last = letIn ? std::max(last, base::toSeconds(event.at - m_withdrawnAt)) : last;
        }
        result.extra["withdrawn_key_last_let_in_s"] = last;
        result.extra["processes_told_before_outage"] = m_told;
    }

private:
    void withdraw(Fleet& fleet, const Deployment& deployment)
    {
        m_withdrawnAt = std::chrono::steady_clock::now();
        for (const config::ClientAccount& account : deployment.configuration().accounts) {
            std::string fingerprint = base::sha256Hex(Deployment::key(account.id, 1));
            m_fingerprints.insert(fingerprint);
            fleet.truth().record({ .kind = base::HistoryKind::KeyWithdrawn, .key = base::KeyFingerprint(fingerprint) });
        }
        base::Revision version = fleet.publish(deployment.text({ .withoutSecondKeys = true }));
        constexpr base::Duration patience = seconds(2);
        while (m_told == 0 && std::chrono::steady_clock::now() < m_withdrawnAt + patience)
            m_told = fleet.countInForce(version);
        fleet.store().setDown(true);
    }

    base::Instant m_withdrawnAt;
    std::set<std::string> m_fingerprints;
    int m_told = 0;
};

class Poison final : public Scenario {
public:
    std::string name() const override { return "poison"; }
    std::string summary() const override { return "one request that crashes its engine is sent again and again at all gateways, among innocent ones"; }
    std::vector<PlannedRequest> warmUp(const Deployment& deployment, std::mt19937_64& generator) const override { return warmUpTraffic(deployment, generator); }
    void adjust(FleetOptions& options) const override { options.poisonWord = poisonWord; }

    std::vector<PlannedRequest> plan(const Deployment& deployment, std::mt19937_64& generator) override
    {
        constexpr size_t repeats = 20;
        constexpr base::Duration first = seconds(4);
        constexpr base::Duration gap = milliseconds(700);
        SteadyTraffic traffic;
        traffic.length = seconds(24);
        std::vector<PlannedRequest> requests = steadyTraffic(deployment, traffic, generator);
        const config::ClientAccount& account = deployment.configuration().accounts.front();
        PlannedRequest poison = chat(account, warmModels(deployment).front(), generator);
        poison.prompt = base::concat("read this ", poisonWord);
        for (size_t index = 0; index < repeats; ++index) {
            poison.at = first + gap * static_cast<int64_t>(index);
            poison.gateway = index;
            requests.push_back(poison);
        }
        return requests;
    }

    void measure(const RunRecord& record, RunResult& result) const override
    {
        int64_t innocent = 0;
        int64_t served = 0;
        for (const Outcome& outcome : record.outcomes) {
            if (outcome.planned.prompt.find(poisonWord) != std::string::npos)
                continue;
            ++innocent;
            served += outcome.whole ? 1 : 0;
        }
        result.extra["engine_crashes"] = static_cast<double>(record.engineCrashes);
        result.extra["innocent_served"] = innocent ? static_cast<double>(served) / static_cast<double>(innocent) : 0;
    }

private:
    static constexpr const char* poisonWord = "POISON";
};

} // namespace

std::vector<std::unique_ptr<Scenario>> allScenarios()
{
    std::vector<std::unique_ptr<Scenario>> scenarios;
    scenarios.push_back(std::make_unique<Burst>());
    scenarios.push_back(std::make_unique<Flood>());
    scenarios.push_back(std::make_unique<KeyValueOutage>());
    scenarios.push_back(std::make_unique<Leave>());
    scenarios.push_back(std::make_unique<Silent>());
    scenarios.push_back(std::make_unique<Withdraw>());
    scenarios.push_back(std::make_unique<Poison>());
    scenarios.push_back(makeLatencyScenario());
    scenarios.push_back(makeMemoryScenario());
    return scenarios;
}

std::unique_ptr<Scenario> findScenario(std::string_view name)
{
    for (auto& scenario : allScenarios()) {
        if (scenario->name() == name)
            return std::move(scenario);
    }
    return nullptr;
}

const std::vector<Variant>& allVariants()
{
    static const std::vector<Variant> variants {
        { "product", "as it ships", {} },
        { "first", "first version of the path: loads on demand, 1/N of every limit at each gateway", { "--placement", "on-demand", "--limits", "static" } },
        { "lru", "fixed keep-alive, least recently used goes first", { "--keep-alive", "fixed" } },
        { "random", "random routing", { "--routing", "random" } },
        { "no-permits", "no load permits", { "--load-permits", "off" } },
        { "fifo", "first-in-first-out queue", { "--queue", "fifo" } },
        { "static-limits", "1/N of every limit at each gateway", { "--limits", "static" } },
    };
    return variants;
}

const Variant* findVariant(std::string_view name)
{
    for (const Variant& variant : allVariants()) {
        if (variant.name == name)
            return &variant;
    }
    return nullptr;
}

} // namespace toucanstep::bench
