// Replays requests of five accounts at three gateways before six upstreams: routers under an even load, queues under a flood.
//
// Decisions are those of the routing library; engines, network and callers are simulated without faults. Prints JSON.
// Usage: routing_replay [--seed N]

#include "toucanstep/base/Text.h"
#include "toucanstep/routing/Admission.h"
#include "toucanstep/routing/RequestQueue.h"
#include "toucanstep/routing/Router.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <string>

using namespace toucanstep;
using namespace toucanstep::routing;
using namespace std::chrono_literals;

namespace {

constexpr int gatewayCount = 3;
constexpr int upstreamCount = 6;
constexpr int accountCount = 5;
constexpr int64_t slots = 4;
constexpr int64_t speed = 50;
constexpr double meanCost = 200;
constexpr base::Duration patience = 10s;
constexpr base::Duration network = 2ms;
constexpr base::Duration reportInterval = 500ms;
constexpr base::Duration length = 30min;

base::Duration seconds(double count) { return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(count)); }

struct Scenario {
    std::string name;
    // Requests a second of each account; the upstreams together serve six.
    std::vector<double> rates;
    bool randomRouter = false;
    bool fifo = false;
};

struct Request {
    QueuedRequest queued;
    int gateway = 0;
    int account = 0;
    base::Instant arrived;
    base::Instant deadline;
    DispatchNumber dispatch;
};

struct AccountTotals {
    int64_t asked = 0;
    int64_t startedInTime = 0;
    int64_t refusedAtOnce = 0;
    int64_t refusedLate = 0;
    std::vector<double> waits;
};

struct Sidecar {
    std::unique_ptr<RequestQueue> queue;
    std::map<base::RequestId, Request> requests;
    std::map<base::RequestId, base::Instant> runningUntil;
    int64_t sequence = 0;
    std::vector<DispatchNumber> seen = std::vector<DispatchNumber>(gatewayCount);
};

class Replay {
public:
    Replay(const Scenario& scenario, uint64_t seed)
        : m_scenario(scenario)
        , m_generator(seed)
        , m_tables(gatewayCount)
        , m_sidecars(upstreamCount)
        , m_totals(accountCount)
    {
        m_router = scenario.randomRouter ? makeRandomRouter() : makeExpectedWaitRouter({});
        for (int upstream = 0; upstream < upstreamCount; ++upstream) {
            m_sidecars[static_cast<size_t>(upstream)].queue = scenario.fifo ? makeFifoQueue() : makeFairQueue({});
            m_holders.push_back({ idOf(upstream), base::Epoch(1), HolderState::Loaded, std::nullopt });
            for (auto& table : m_tables)
                table.setConnected(idOf(upstream), true);
            reportRegularly(upstream);
        }
        for (int account = 0; account < accountCount; ++account)
            scheduleArrival(account);
    }

    nlohmann::json run()
    {
        while (!m_events.empty() && m_events.top().when < base::Instant(length)) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.when;
            event.body();
        }
        return describe();
    }

private:
    struct Event {
        base::Instant when;
        int64_t order = 0;
        std::function<void()> body;
        bool operator<(const Event& other) const { return std::tie(when, order) > std::tie(other.when, other.order); }
    };

    static base::UpstreamId idOf(int upstream) { return base::UpstreamId(base::concat(upstream)); }
    Sidecar& sidecar(int upstream) { return m_sidecars[static_cast<size_t>(upstream)]; }
    UpstreamTable& table(int gateway) { return m_tables[static_cast<size_t>(gateway)]; }
    AccountTotals& totals(int account) { return m_totals[static_cast<size_t>(account)]; }
    void after(base::Duration delay, std::function<void()> body) { m_events.push({ m_now + delay, ++m_lastEvent, std::move(body) }); }

    void scheduleArrival(int account)
    {
        std::exponential_distribution<double> pause(m_scenario.rates[static_cast<size_t>(account)]);
        after(seconds(pause(m_generator)), [this, account] {
            arrive(account);
            scheduleArrival(account);
        });
    }

    void arrive(int account)
    {
        std::exponential_distribution<double> cost(1 / meanCost);
        std::uniform_int_distribution<int> anyGateway(0, gatewayCount - 1);
        Request request;
        request.gateway = anyGateway(m_generator);
        request.account = account;
        request.arrived = m_now;
        request.deadline = m_now + patience;
        request.queued.id = base::RequestId(base::concat(++m_lastRequest));
        request.queued.account = base::ClientAccountId(base::concat("account", account));
        request.queued.kind = "ask";
        request.queued.cost = base::Tokens(20 + static_cast<int64_t>(cost(m_generator)));
        request.queued.latestStart = request.deadline;
        ++totals(account).asked;

        RouteRequest route { .id = request.queued.id, .model = base::ModelId("m"), .account = request.queued.account };
        route.now = m_now;
        route.deadline = request.deadline;
        route.cost = request.queued.cost;
        auto decision = m_router->choose(route, m_holders, table(request.gateway), m_prefixes, m_generator);
        if (decision.refusal) {
            ++totals(account).refusedAtOnce;
            return;
        }
        auto upstream = std::stoi(decision.chosen->value());
        request.dispatch = table(request.gateway).dispatched(*decision.chosen, newRequest(request));
        after(network, [this, request, upstream] { receive(request, upstream); });
    }

    static NewRequest newRequest(const Request& request) { return { request.queued.account, 1, request.queued.cost }; }

    UpstreamLoad loadOf(int upstream)
    {
        auto& known = sidecar(upstream);
        UpstreamLoad load { .slots = slots, .tokensPerSecond = speed, .inFlight = static_cast<int64_t>(known.runningUntil.size()) };
        for (const auto& [id, until] : known.runningUntil)
            load.inFlightTokens += base::Tokens(static_cast<int64_t>(base::toSeconds(until - m_now) * speed));
        load.backlog = known.queue->backlog();
        return load;
    }

    void receive(const Request& request, int upstream)
    {
        auto& known = sidecar(upstream);
        known.seen[static_cast<size_t>(request.gateway)] = request.dispatch;
        auto verdict = admit({ newRequest(request), request.deadline }, loadOf(upstream), m_now);
        if (verdict.refusal || known.queue->push(request.queued, verdict.expectedWait, m_now)) {
            ++totals(request.account).refusedAtOnce;
            reportTo(request.gateway, upstream);
            return;
        }
        known.requests.emplace(request.queued.id, request);
        startNext(upstream);
    }

    void startNext(int upstream)
    {
        auto& known = sidecar(upstream);
        for (const auto& expired : known.queue->takeExpired(m_now)) {
            auto place = known.requests.find(expired.request.id);
            ++totals(place->second.account).refusedLate;
            reportTo(place->second.gateway, upstream);
            known.requests.erase(place);
        }
        while (static_cast<int64_t>(known.runningUntil.size()) < slots) {
            auto next = known.queue->pop(m_now, [](const auto&) { return true; });
            if (!next)
                return;
            auto request = known.requests.at(next->id);
            auto& account = totals(request.account);
            ++account.startedInTime;
            account.waits.push_back(base::toSeconds(m_now - request.arrived));
            auto service = seconds(static_cast<double>(next->cost.value()) / speed);
            known.runningUntil[next->id] = m_now + service;
            reportTo(request.gateway, upstream);
            after(service, [this, id = next->id, upstream, gateway = request.gateway] {
                sidecar(upstream).runningUntil.erase(id);
                sidecar(upstream).requests.erase(id);
                startNext(upstream);
                reportTo(gateway, upstream);
            });
        }
    }

    void reportTo(int gateway, int upstream)
    {
        auto& known = sidecar(upstream);
        UpstreamReport report;
        report.sequence = ++known.sequence;
        report.load = loadOf(upstream);
        report.lastDispatchSeen = known.seen[static_cast<size_t>(gateway)];
        after(network, [this, gateway, upstream, report] { table(gateway).report(idOf(upstream), report, m_now); });
    }

    void reportRegularly(int upstream)
    {
        for (int gateway = 0; gateway < gatewayCount; ++gateway)
            reportTo(gateway, upstream);
        after(reportInterval, [this, upstream] { reportRegularly(upstream); });
    }

    static double quantile(std::vector<double> values, double part)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        return values[static_cast<size_t>(part * static_cast<double>(values.size() - 1))];
    }

    nlohmann::json describe() const
    {
        nlohmann::json accounts = nlohmann::json::array();
        std::vector<double> all;
        for (const auto& account : m_totals) {
            all.insert(all.end(), account.waits.begin(), account.waits.end());
            accounts.push_back({ { "asked", account.asked }, { "started_in_time", static_cast<double>(account.startedInTime) / static_cast<double>(account.asked) },
                { "refused_at_once", account.refusedAtOnce }, { "refused_late", account.refusedLate }, { "wait_p50_s", quantile(account.waits, 0.5) },
                { "wait_p99_s", quantile(account.waits, 0.99) } });
        }
        return { { "scenario", m_scenario.name }, { "router", m_scenario.randomRouter ? "random" : "expected_wait" },
            { "queue", m_scenario.fifo ? "fifo" : "fair" }, { "wait_p50_s", quantile(all, 0.5) }, { "wait_p99_s", quantile(all, 0.99) },
            { "accounts", accounts } };
    }

    Scenario m_scenario;
    RandomGenerator m_generator;
    std::unique_ptr<Router> m_router;
    std::vector<UpstreamTable> m_tables;
    std::vector<Sidecar> m_sidecars;
    std::vector<AccountTotals> m_totals;
    std::vector<Holder> m_holders;
    PrefixIndex m_prefixes { 10, 1min };
    std::priority_queue<Event> m_events;
    int64_t m_lastEvent = 0;
    int64_t m_lastRequest = 0;
    base::Instant m_now;
};

} // namespace

int main(int argc, char** argv)
{
    uint64_t seed = 1;
    if (argc == 3 && std::string(argv[1]) == "--seed")
        seed = std::stoull(argv[2]);
    // An even load of 85 %, and one account that asks for five times an equal part.
    const std::vector<double> even(accountCount, 0.85 * 6 / 1.1 / accountCount);
    const std::vector<double> flood { 6, 0.6, 0.6, 0.6, 0.6 };
    nlohmann::json report { { "seed", seed }, { "runs", nlohmann::json::array() } };
    for (const auto& scenario : { Scenario { "even", even, false, false }, Scenario { "even", even, true, false }, Scenario { "flood", flood, false, false },
             Scenario { "flood", flood, false, true }, Scenario { "flood", flood, true, true } })
        report["runs"].push_back(Replay(scenario, seed).run());
    std::cout << report.dump(1) << "\n";
    return 0;
}
