// Bytes of reports between failure domains, sent directly and through relays, and the time that the decisions of relays take.
//
// Runs the reports and the relays themselves, without network: each gateway reports the calls that it has at its upstreams, and one
// gateway is the planner. Prints one JSON line for each kind of report, and one for each size of fleet. Usage: relay_traffic

#include "toucanstep/direct/DemandReportChanges.h"
#include "toucanstep/direct/LoadReportChanges.h"
#include "toucanstep/direct/ReportRelay.h"
#include "toucanstep/upstreams/DomainSpill.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

using namespace toucanstep;
using namespace toucanstep::direct;
using std::chrono::milliseconds;
using Json = nlohmann::json;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto step = milliseconds(5);
// Of IPv4 and UDP.
constexpr int64_t headerBytes = 28;

struct Deployment {
    size_t gateways = 27;
    size_t domains = 3;
    size_t upstreams = 50;
    size_t accounts = 16;
    size_t models = 158;
    // Over the fleet.
    double callsPerSecond = 370;
};

struct Traffic {
    int64_t datagrams = 0;
    int64_t bytes = 0;
};

// The calls of one gateway, and the reports about them.
struct Gateway {
    base::InstanceId id;
    base::FailureDomain domain;
    std::map<base::UpstreamId, UpstreamLoad> use;
    std::map<base::ClientAccountId, base::Tokens> charges;
    std::deque<std::pair<base::Instant, base::UpstreamId>> ends;
    std::map<ModelTarget, TargetDemand> demand;
    LoadReportChanges loads;
    DemandReportChanges demands;
    std::unique_ptr<ReportRelay> relay;
    int64_t sequence = 0;
};

class Play {
public:
    Play(const Deployment& deployment, bool relays)
        : m_deployment(deployment)
    {
        ReportRelaySettings settings;
        settings.enabled = relays;
        for (size_t number = 0; number < deployment.gateways; ++number) {
            Gateway gateway { base::InstanceId("edge-" + std::to_string(number)), base::FailureDomain("zone-" + std::to_string(number % deployment.domains)) };
            gateway.relay = std::make_unique<ReportRelay>(gateway.id, gateway.domain, settings);
            m_numbers.emplace(gateway.id, number);
            m_gateways.push_back(std::move(gateway));
        }
    }

    void run(base::Duration duration)
    {
        base::Duration interval = loadReportInterval(m_gateways.size());
        for (base::Instant until = m_now + duration; m_now < until; m_now += step) {
            if ((m_now - start) % std::chrono::seconds(1) == base::Duration::zero())
                setPeers();
            makeCalls();
            for (size_t number = 0; number < m_gateways.size(); ++number) {
                Gateway& gateway = m_gateways[number];
                base::Duration phase = step * static_cast<int64_t>(number * 7);
                if ((m_now - start + phase) % interval == base::Duration::zero())
                    sendLoad(gateway);
                if ((m_now - start + phase) % milliseconds(200) == base::Duration::zero())
                    sendDemand(gateway);
                if (number == 0 && (m_now - start) % milliseconds(300) == base::Duration::zero())
                    sendPlan(gateway);
                if (auto due = gateway.relay->bundlesDue(); due && *due <= m_now)
                    sendBundles(gateway);
            }
        }
    }

    std::map<std::string, Traffic> crossed;
    // Bytes that each gateway sent, within its domain as well.
    std::map<base::InstanceId, int64_t> sentBy;

private:
    void setPeers()
    {
        for (auto& gateway : m_gateways) {
            std::set<base::InstanceId> peers;
            for (const auto& other : m_gateways) {
                if (other.id != gateway.id)
                    peers.insert(other.id);
            }
            gateway.relay->setPeers(peers, loadReportInterval(m_gateways.size()), m_now);
        }
    }
    void makeCalls()
    {
        std::uniform_real_distribution<double> part(0, 1);
        constexpr auto callTime = milliseconds(800);
        for (auto& gateway : m_gateways) {
            for (; !gateway.ends.empty() && gateway.ends.front().first <= m_now; gateway.ends.pop_front()) {
                if (--gateway.use[gateway.ends.front().second].inFlight == 0)
                    gateway.use.erase(gateway.ends.front().second);
            }
            if (part(m_random) >= m_deployment.callsPerSecond / static_cast<double>(m_gateways.size()) * base::toSeconds(step))
                continue;
            base::UpstreamId upstream("i-0a3f" + std::to_string(m_random() % m_deployment.upstreams));
            ++gateway.use[upstream].inFlight;
            gateway.use[upstream].awaiting = static_cast<int64_t>(m_random() % 2);
            gateway.ends.emplace_back(m_now + callTime, upstream);
            gateway.charges[base::ClientAccountId("account-" + std::to_string(m_random() % m_deployment.accounts))] += base::Tokens(700);
            ModelTarget target { base::ModelId("model-" + std::to_string(m_random() % m_deployment.models)), AdapterId() };
            TargetDemand& demand = gateway.demand[target];
            demand.target = target;
            demand.arrivalsPerKilosecond += 100;
            demand.awaitingThousandths = static_cast<int64_t>(m_random() % 2000);
        }
    }
    ReportSender nextSender(Gateway& gateway) { return { gateway.id, Incarnation(1'790'000'000'000), ++gateway.sequence, gateway.relay->forwards(m_now) }; }

    void send(const Gateway& from, const base::InstanceId& to, size_t bytes, const std::string& kind)
    {
        sentBy[from.id] += static_cast<int64_t>(bytes) + headerBytes;
        if (m_gateways[m_numbers.at(to)].domain == from.domain)
            return;
        ++crossed[kind].datagrams;
        crossed[kind].bytes += static_cast<int64_t>(bytes) + headerBytes;
    }
    void sendToAll(Gateway& gateway, const FleetReport& report, const ReportSender& sender, const std::string& kind)
    {
        std::string encoded = encodeReport(report);
        for (const auto& receiver : gateway.relay->directReceivers(m_now))
            send(gateway, receiver, encoded.size(), kind);
        bool urgent = kind == "plan";
        gateway.relay->collect(sender, report.index(), encoded, urgent, m_now);
        for (auto& other : m_gateways) {
            if (const auto* load = std::get_if<LoadReport>(&report); load && other.id != gateway.id)
                other.relay->onLoadReport(*load, m_now);
            if (other.id != gateway.id && other.domain == gateway.domain)
                other.relay->collect(sender, report.index(), encoded, urgent, m_now);
        }
    }
    void sendLoad(Gateway& gateway)
    {
        LoadReport report;
        report.sender = nextSender(gateway);
        report.configuration = ConfigurationVersion(12);
        report.directories = { base::Revision(81234), base::Revision(81250), base::Revision(81251) };
        report.domain = gateway.domain;
        for (const auto& [upstream, load] : gateway.use)
            report.use.push_back({ upstream, load });
        for (const auto& [account, total] : gateway.charges)
            report.limits.charges.push_back({ account, total });
        report.limits.liveSetDigest = static_cast<int64_t>(m_random() >> 2);
        LoadReport changes = gateway.loads.next(std::move(report), false);
        sendToAll(gateway, changes, changes.sender, "load");
    }
    void sendDemand(Gateway& gateway)
    {
        std::vector<TargetDemand> demand;
        for (const auto& [target, entry] : gateway.demand)
            demand.push_back(entry);
        bool complete = (m_now - start) % milliseconds(400) < milliseconds(200);
        DemandReport report { nextSender(gateway), gateway.demands.next(demand, complete), std::nullopt, complete };
        if (&gateway != &m_gateways.front())
            send(gateway, m_gateways.front().id, encodeReport(report).size(), "demand");
        for (auto& [target, entry] : gateway.demand)
            entry.arrivalsPerKilosecond = entry.arrivalsPerKilosecond * 9 / 10;
    }
    void sendPlan(Gateway& gateway)
    {
        PlanReport report { nextSender(gateway), base::Epoch(4), {}, {} };
        report.complete = (m_now - start) % milliseconds(900) == base::Duration::zero();
        // Replicas that were loaded lately, and models that are loaded nowhere.
        for (size_t number = 0; number < (report.complete ? 20 : 2); ++number)
            report.notices.push_back({ base::UpstreamId("i-0a3f" + std::to_string(number)), StartId(7), { base::ModelId("model-" + std::to_string(number)), AdapterId() }, true });
        for (size_t number = 0; number < 12; ++number)
            report.expected.push_back({ { base::ModelId("model-" + std::to_string(100 + number)), AdapterId() }, milliseconds(7800) });
        sendToAll(gateway, report, report.sender, "plan");
    }
    void sendBundles(Gateway& gateway)
    {
        for (auto& bundle : gateway.relay->takeBundles(m_now)) {
            base::InstanceId to = bundle.to;
            RelayedReports sent { nextSender(gateway), true, std::move(bundle.reports) };
            size_t bytes = encodeReport(sent).size();
            send(gateway, to, bytes, "bundle");
            Gateway& entry = m_gateways[m_numbers.at(to)];
            for (const auto& member : entry.relay->handOnTo(sent, m_now))
                send(entry, member, bytes, "handed_on");
        }
    }

    Deployment m_deployment;
    std::mt19937_64 m_random { 1 };
    std::vector<Gateway> m_gateways;
    std::map<base::InstanceId, size_t> m_numbers;
    base::Instant m_now = start;
};

void printTraffic()
{
    constexpr int seconds = 10;
    for (bool relays : { false, true }) {
        Play play({}, relays);
        play.run(std::chrono::seconds(2));
        play.crossed.clear();
        play.sentBy.clear();
        play.run(std::chrono::seconds(seconds));
        Traffic total;
        for (const auto& [kind, traffic] : play.crossed) {
            std::cout << Json { { "relays", relays }, { "kind", kind }, { "datagrams_per_s", traffic.datagrams / seconds }, { "bytes_per_s", traffic.bytes / seconds } } << "\n";
            total.datagrams += traffic.datagrams;
            total.bytes += traffic.bytes;
        }
        std::cout << Json { { "relays", relays }, { "kind", "total" }, { "datagrams_per_s", total.datagrams / seconds }, { "bytes_per_s", total.bytes / seconds } } << "\n";
        int64_t most = 0;
        for (const auto& [id, bytes] : play.sentBy)
            most = std::max(most, bytes);
        std::cout << Json { { "relays", relays }, { "most_bytes_per_s_of_one_gateway", most / seconds } } << "\n";
    }
}

template <typename Task>
double microsecondsOf(int runs, const Task& task)
{
    auto began = std::chrono::steady_clock::now();
    for (int run = 0; run < runs; ++run)
        task();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count() / runs;
}

void printDecisions(size_t gateways, size_t upstreams)
{
    constexpr size_t domains = 10;
    constexpr int runs = 2000;
    ReportRelaySettings settings;
    settings.enabled = true;
    settings.minGateways = 2;
    ReportRelay relay(base::InstanceId("edge-0"), base::FailureDomain("zone-0"), settings);
    std::set<base::InstanceId> peers;
    for (size_t number = 1; number < gateways; ++number)
        peers.insert(base::InstanceId("edge-" + std::to_string(number)));
    relay.setPeers(peers, loadReportInterval(gateways), start);
    for (size_t number = 1; number < gateways; ++number) {
        LoadReport report;
        report.sender = { base::InstanceId("edge-" + std::to_string(number)), Incarnation(1), 1, true };
        report.domain = base::FailureDomain("zone-" + std::to_string(number % domains));
        relay.onLoadReport(report, start);
    }
    size_t receivers = 0;
    double choice = microsecondsOf(runs, [&] { receivers = relay.directReceivers(start).size(); });
    UpstreamTable table;
    std::vector<const UpstreamEntry*> holders;
    for (size_t number = 0; number < upstreams; ++number) {
        UpstreamDescription description;
        description.id = base::UpstreamId("i-" + std::to_string(number));
        description.domain = base::FailureDomain("zone-" + std::to_string(number % domains));
        description.slots = 32;
        table.put(description, start);
        holders.push_back(table.find(description.id));
    }
    double cost = 0;
    double spill = microsecondsOf(runs, [&] { cost += additionalLeavingCost(roomIn(base::FailureDomain("zone-0"), holders, start), 9); });
    std::cout << Json { { "gateways", gateways }, { "holders", upstreams }, { "choice_of_paths_us", choice }, { "direct_receivers", receivers }, { "domain_spill_us", spill }, { "spill_cost", cost / runs } } << "\n";
}

} // namespace

int main()
{
    printTraffic();
    for (size_t gateways : { 4, 33, 350 })
        printDecisions(gateways, 1200);
    return 0;
}
