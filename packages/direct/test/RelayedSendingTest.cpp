#include "RelayedSending.h"

#include "toucanstep/testing/Waiting.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace toucanstep;
using namespace toucanstep::direct;
using std::chrono::milliseconds;

namespace {

constexpr size_t gatewayCount = 6;
constexpr auto interval = milliseconds(40);

uint16_t freePort()
{
    int probe = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    bool bound = !bind(probe, reinterpret_cast<sockaddr*>(&address), length) && !getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length);
    CHECK_TRUE(bound);
    close(probe);
    return ntohs(address.sin_port);
}

// The reports of one gateway over real sockets.
class Sender {
public:
    Sender(io::EventLoop& loop, size_t number, const std::array<base::Endpoint, gatewayCount>& endpoints, bool enabled)
        : m_loop(loop)
        , m_domain(number < gatewayCount / 2 ? "a" : "b")
        , m_id("gateway-" + std::to_string(number))
    {
        ReportRelaySettings settings;
        settings.enabled = enabled;
        settings.minGateways = gatewayCount;
        settings.collectingTime = milliseconds(10);
        transport = FleetTransport::open(loop, endpoints[number], [this](const FleetReport& report, const ReceivedReport& received) {
            relayed += received.relayed ? 1 : 0;
            bundles += std::holds_alternative<RelayedReports>(report) ? 1 : 0;
            sending->onReceived(report, received);
            if (const auto* load = std::get_if<LoadReport>(&report))
                heard.insert(load->sender.instance);
            plans += std::holds_alternative<PlanReport>(report) ? 1 : 0;
        }).value();
        sending = std::make_unique<RelayedSending>(
            loop, *transport, metrics, [this] { return nextSender(); }, ReportRelay(m_id, m_domain, settings));
        std::map<base::InstanceId, base::Endpoint> peers;
        for (size_t other = 0; other < gatewayCount; ++other) {
            if (other != number)
                peers.emplace("gateway-" + std::to_string(other), endpoints[other]);
        }
        transport->setPeers(std::move(peers));
        sending->updatePeers(interval);
        m_timer = loop.at(loop.now(), [this] { report(); });
    }
    ~Sender() { m_loop.cancel(m_timer); }

    std::unique_ptr<FleetTransport> transport;
    base::MetricsRegistry metrics;
    std::unique_ptr<RelayedSending> sending;
    std::set<base::InstanceId> heard;
    int relayed = 0;
    int bundles = 0;
    int plans = 0;

private:
    ReportSender nextSender() { return { m_id, Incarnation(1), ++m_sequence, sending->statesRelays() }; }
    void report()
    {
        LoadReport load;
        load.sender = nextSender();
        load.domain = m_domain;
        sending->sendToAll(load);
        sending->sendToAll(PlanReport { nextSender(), base::Epoch(1), {}, {} });
        m_timer = m_loop.at(m_loop.now() + interval, [this] { report(); });
    }

    io::EventLoop& m_loop;
    base::FailureDomain m_domain;
    base::InstanceId m_id;
    int64_t m_sequence = 0;
    io::EventLoop::TimerId m_timer = 0;
};

} // namespace

TEST_GROUP(RelayedSending)
{
    io::EventLoop loop;
    std::array<std::unique_ptr<Sender>, gatewayCount> senders;

    void start(bool enabled)
    {
        std::array<base::Endpoint, gatewayCount> endpoints;
        for (auto& endpoint : endpoints)
            endpoint = { "127.0.0.1", freePort() };
        loop.runAndWait([&] {
            for (size_t number = 0; number < gatewayCount; ++number)
                senders[number] = std::make_unique<Sender>(loop, number, endpoints, enabled);
        });
    }
    bool allOf(const std::function<bool(const Sender&)>& condition)
    {
        bool all = true;
        loop.runAndWait([&] { all = std::all_of(senders.begin(), senders.end(), [&](const auto& sender) { return condition(*sender); }); });
        return all;
    }
    bool eventually(const std::function<bool(const Sender&)>& condition)
    {
        for (base::Instant bound = testing::soon(); std::chrono::steady_clock::now() < bound;) {
            if (allOf(condition))
                return true;
            std::this_thread::sleep_for(interval);
        }
        return false;
    }
    void teardown() override
    {
        loop.runAndWait([&] { senders = {}; });
    }
};

// Guards against reports that are lost or misread on their way through two gateways.
TEST(RelayedSending, ReportsOfAnotherDomainArriveInBundles)
{
    start(true);
    CHECK_TRUE(eventually([](const Sender& sender) { return sender.relayed > 20 && sender.bundles > 5; }));
    CHECK_TRUE(allOf([](const Sender& sender) { return sender.heard.size() == gatewayCount - 1 && sender.plans > 0; }));
    loop.runAndWait([&] {
        for (auto& sender : senders)
            sender->heard.clear();
    });
    CHECK_TRUE(eventually([](const Sender& sender) { return sender.heard.size() == gatewayCount - 1; }));
}

// Guards against a change for deployments without the policy.
TEST(RelayedSending, WithoutThePolicyNoBundleIsSent)
{
    start(false);
    CHECK_TRUE(eventually([](const Sender& sender) { return sender.heard.size() == gatewayCount - 1 && sender.plans > 20; }));
    CHECK_TRUE(allOf([](const Sender& sender) { return sender.bundles == 0 && !sender.sending->statesRelays(); }));
}
