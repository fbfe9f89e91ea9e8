#include "toucanstep/fakes/FakeWeightStore.h"

#include "DelayedTasks.h"
#include "RestartableServer.h"
#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::fakes {

using namespace base;
using ExchangePointer = std::shared_ptr<formats::HttpExchange>;

namespace {

constexpr std::string_view weightsPath = "/weights/";
constexpr Duration tickLength = std::chrono::milliseconds(2);

struct Load {
    ExchangePointer exchange;
    double bytesLeft = 0;
    bool adapter = false;
};

} // namespace

class FakeWeightStore::Implementation {
public:
    explicit Implementation(FakeWeightStoreOptions options)
        : m_options(std::move(options))
        , m_server([this](const ExchangePointer& exchange) { receive(exchange); })
    {
    }

    ~Implementation()
    {
        m_tasks.stop();
        m_server.stop();
    }

    std::string url() const { return m_server.url(); }

    void setDown(bool down)
    {
        m_server.setDown(down);
        if (!down)
            return;
        std::lock_guard lock(m_mutex);
        m_loads.clear();
    }

    void setSpeed(double factor)
    {
        std::lock_guard lock(m_mutex);
        m_speed = factor;
    }

    FakeWeightStoreCounters counters()
    {
        std::lock_guard lock(m_mutex);
        FakeWeightStoreCounters counters = m_counters;
        counters.loadsInFlight = m_loads.size();
        return counters;
    }

private:
    void receive(const ExchangePointer& exchange)
    {
        const auto& request = exchange->request();
        auto found = m_options.weights.end();
        if (request.path.rfind(weightsPath, 0) == 0)
            found = m_options.weights.find(request.path.substr(weightsPath.size()));
        if (found == m_options.weights.end()) {
            exchange->respond(404, {}, "");
            return;
        }
        formats::HttpHeaders headers = { { "Content-Type", "application/octet-stream" }, { "X-Checkpoint-Bytes", concat(found->second.size) } };
        if (request.method == "HEAD")
            exchange->respond(200, std::move(headers), "");
        else if (begin(exchange, found->second, std::move(headers)))
            exchange->onCallerGone([this, left = exchange.get()] { remove(left); });
    }

    bool begin(const ExchangePointer& exchange, const FakeWeight& weight, formats::HttpHeaders headers)
    {
        std::lock_guard lock(m_mutex);
        if (m_loads.size() >= m_options.refuseBeyond) {
            ++m_counters.refusedLoads;
            exchange->respond(429, { { "Retry-After", "1" } }, "");
            return false;
        }
        exchange->startStream(200, std::move(headers));
        m_loads.push_back({ exchange, static_cast<double>(weight.size.value()), weight.adapter });
        ++m_counters.loads;
        m_counters.peakLoadsInFlight = std::max(m_counters.peakLoadsInFlight, m_loads.size());
        if (!m_ticking) {
            m_ticking = true;
            m_progressed = std::chrono::steady_clock::now();
            m_tasks.runAfter(tickLength, [this] { tick(); });
        }
        return true;
    }

    void remove(const formats::HttpExchange* exchange)
    {
        std::lock_guard lock(m_mutex);
        std::erase_if(m_loads, [&](const Load& load) { return load.exchange.get() == exchange; });
    }

    double bytesPerSecondOfOne() const
    {
        auto adapters = static_cast<size_t>(std::count_if(m_loads.begin(), m_loads.end(), [](const Load& load) { return load.adapter; }));
        double share = std::min(1.0, static_cast<double>(m_options.fullSpeedLoads) / static_cast<double>(std::max<size_t>(1, m_loads.size())));
        double slowing = adapters > m_options.adapterLimit ? m_options.overdrivenFactor : 1.0;
        return static_cast<double>(m_options.rate) * share * slowing * m_speed;
    }

    void tick()
    {
        std::lock_guard lock(m_mutex);
        Instant now = std::chrono::steady_clock::now();
        double bytes = bytesPerSecondOfOne() * toSeconds(now - m_progressed);
        m_progressed = now;
        std::erase_if(m_loads, [&](Load& load) {
            load.bytesLeft -= bytes;
            if (load.bytesLeft > 0)
                return false;
            load.exchange->write("checkpoint");
            load.exchange->finish();
            ++m_counters.finishedLoads;
            return true;
        });
        m_ticking = !m_loads.empty();
        if (m_ticking)
            m_tasks.runAt(now + tickLength, [this] { tick(); });
    }

    const FakeWeightStoreOptions m_options;
    std::mutex m_mutex;
    std::vector<Load> m_loads;
    FakeWeightStoreCounters m_counters;
    double m_speed = 1;
    bool m_ticking = false;
    Instant m_progressed;
    internal::DelayedTasks m_tasks;
    internal::RestartableServer m_server;
};

FakeWeightStore::FakeWeightStore(FakeWeightStoreOptions options)
    : m_implementation(std::make_unique<Implementation>(std::move(options)))
{
}

FakeWeightStore::~FakeWeightStore() = default;

std::string FakeWeightStore::url() const { return m_implementation->url(); }

void FakeWeightStore::setSpeed(double factor) { m_implementation->setSpeed(factor); }

void FakeWeightStore::setDown(bool down) { m_implementation->setDown(down); }

FakeWeightStoreCounters FakeWeightStore::counters() const { return m_implementation->counters(); }

} // namespace toucanstep::fakes
