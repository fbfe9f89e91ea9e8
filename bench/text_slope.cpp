// Measures how long a change of the desired state takes to come into force at every gateway of a fleet, and what it costs,
// against the size of the text and the number of gateways.
//
// Gateways run as threads of this process in front of the stand-in store, whose answers pass piece by piece as on a link of
// 10 Mbit/s for each gateway. All share this machine's cores, so the share of a core that a gateway has is not reproduced: the
// processor time of reading a text is measured apart. Prints one JSON object a line. Usage: text_slope [GATEWAYS ...]

#include "PlatformFormat.h"
#include "PlatformStore.h"
#include "SlopeFit.h"
#include "StandIns.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/direct/DirectGateway.h"
#include "toucanstep/http1/Client.h"
#include "toucanstep/testing/Waiting.h"

#include <csignal>
#include <iostream>
#include <thread>

using namespace toucanstep;
using bench::SlopeFit;
using platform::test::Json;
using platform::test::StandInStore;

namespace {

constexpr double microsecondsPerSecond = 1e6;
constexpr auto patience = std::chrono::seconds(60);
constexpr platform::test::Pace smallLink { 12500, std::chrono::milliseconds(10) };
// As the gateways of the users' platform set them for changes that must be in force within three seconds.
constexpr base::Duration changeBound = std::chrono::seconds(3);

std::string textOf(int routes, int version)
{
    Json list = Json::array();
    for (int number = 0; number < routes; ++number) {
        std::string name = base::concat("r-", 100000 + number);
        list.push_back({ { "name", name }, { "hostname", "farm.example" }, { "prefix", base::concat("/", name, "/") }, { "type", "idempotent" }, { "timeout_ms", 4000 },
            { "latency_slo_ms", 300 }, { "priority", 3 }, { "service", "orders" }, { "attempts", 2 }, { "public", true }, { "sticky", false } });
    }
    list.push_back({ { "name", "version" }, { "hostname", "127.0.0.1" }, { "prefix", base::concat("/version-", version, "/") }, { "type", "idempotent" }, { "timeout_ms", 4000 }, { "service", "orders" }, { "public", true } });
    return Json { { "version", version }, { "routes", list }, { "services", { { { "name", "orders" } } } }, { "tenants", Json::array() } }.dump();
}

double threadSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

void measureReading()
{
    constexpr int repeats = 5;
    platform::PlatformFormat format;
    SlopeFit bytes("text_bytes", "routes");
    SlopeFit reading("reading_us", "routes");
    for (int routes : { 100, 1500, 5000, 20000 }) {
        std::string text = textOf(routes, 1);
        bytes.add(routes, static_cast<double>(text.size()));
        double began = threadSeconds();
        std::string reason;
        for (int count = 0; count < repeats; ++count)
            format.readDesiredState(text, reason);
        reading.add(routes, (threadSeconds() - began) / repeats * microsecondsPerSecond);
    }
    std::cout << bytes.json().dump() << "\n"
              << reading.json().dump() << "\n";
}

// Gateways before one store.
class Fleet {
public:
    explicit Fleet(int gateways)
    {
        m_store.put("op/config", textOf(10, 1));
        for (int number = 0; number < gateways; ++number)
            m_gateways.push_back(startGateway(base::concat("edge-", 100 + number)));
        m_loop.runAndWait([this] { m_client = std::make_unique<http1::Client>(m_loop); });
        awaitVersion(1);
        m_store.setPace(smallLink);
    }
    ~Fleet()
    {
        m_loop.runAndWait([this] { m_client.reset(); });
    }

    // Milliseconds from the store's acknowledgement until the last gateway has a text of so many routes in force; -1 where one
    // has not within `patience`.
    int64_t change(int routes)
    {
        std::string text = textOf(routes, ++m_version);
        m_store.put("op/config", text);
        base::Instant acknowledged = m_loop.now();
        return awaitVersion(m_version) ? base::toMilliseconds(m_loop.now() - acknowledged) : -1;
    }
    int64_t sentBytes() const { return m_store.sentBytes(); }

private:
    std::unique_ptr<direct::DirectGateway> startGateway(const std::string& name)
    {
        direct::DirectGatewaySettings settings;
        settings.instance = base::InstanceId(name);
        settings.domain = base::FailureDomain("a");
        settings.callers = settings.readiness = settings.peers = { "127.0.0.1", 0 };
        settings.firstStart = true;
        settings.changePropagationLimit = changeBound;
        base::Endpoint at = m_store.endpoint();
        base::Error error;
        auto started = base::valueOr(error, [&] {
            return direct::DirectGateway::start(settings, std::make_shared<platform::PlatformFormat>(), [at](io::EventLoop& loop, http1::Client& client, direct::WatchPollSettings polling) {
                return platform::makePlatformStore(loop, client, at, { .watchPause = polling.pollDelay, .upstreamPause = polling.upstreamPollDelay, .upstreamPauseSpread = polling.upstreamPollDelaySpread, .textWait = polling.longPollTimeout });
            });
        });
        if (!started)
            throw std::runtime_error("a gateway cannot start: " + error.message);
        return std::move(*started);
    }

    bool awaitVersion(int version)
    {
        constexpr auto look = std::chrono::milliseconds(20);
        base::Instant until = m_loop.now() + patience;
        for (const auto& gateway : m_gateways) {
            while (!inForce(*gateway, version)) {
                if (m_loop.now() > until)
                    return false;
                std::this_thread::sleep_for(look);
            }
        }
        return true;
    }

    // The newest text has a route of its own number, which no upstream serves: 503 where it is in force, 404 where it is not.
    bool inForce(const direct::DirectGateway& gateway, int version)
    {
        constexpr int notFound = 404;
        testing::Mailbox<int> statuses;
        http1::HeaderList headers;
        headers.add("Attempt-Id", base::concat("look-", ++m_looks));
        headers.add("Deadline-Ms", "100");
        m_loop.runAndWait([&] {
            std::string target = base::concat("/version-", version, "/");
            http1::fetch(m_loop, *m_client, { "gateway", gateway.callerEndpoint() }, "GET", target, headers, "", m_loop.now() + std::chrono::seconds(5), [&](base::Outcome<http1::FetchedAnswer> outcome) {
                const auto* answer = std::get_if<http1::FetchedAnswer>(&outcome);
                statuses.put(answer ? answer->status : notFound);
            });
        });
        return statuses.take().value_or(notFound) != notFound;
    }

    StandInStore m_store;
    io::EventLoop m_loop;
    std::unique_ptr<http1::Client> m_client;
    std::vector<std::unique_ptr<direct::DirectGateway>> m_gateways;
    int m_version = 1;
    int m_looks = 0;
};

void measureFleet(int gateways)
{
    Fleet fleet(gateways);
    for (int routes : { 100, 1500, 5000 }) {
        int64_t before = fleet.sentBytes();
        int64_t milliseconds = fleet.change(routes);
        double kilobytes = static_cast<double>(fleet.sentBytes() - before) / 1000 / gateways;
        std::cout << Json { { "gateways", gateways }, { "routes", routes }, { "in_force_everywhere_ms", milliseconds }, { "kilobytes_a_gateway", kilobytes } }.dump() << std::endl;
    }
}

} // namespace

int main(int count, char** arguments)
{
    signal(SIGPIPE, SIG_IGN);
    try {
        measureReading();
        std::vector<int> sizes;
        for (int index = 1; index < count; ++index)
            sizes.push_back(std::stoi(arguments[index]));
        if (sizes.empty())
            sizes = { 7, 28, 100 };
        for (int gateways : sizes)
            measureFleet(gateways);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "text_slope: " << error.what() << "\n";
        return 2;
    }
}
