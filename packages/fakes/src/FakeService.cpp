#include "toucanstep/fakes/FakeService.h"

#include "DelayedTasks.h"
#include "RestartableServer.h"

#include <deque>
#include <nlohmann/json.hpp>

namespace toucanstep::fakes {

using namespace base;
using ExchangePointer = std::shared_ptr<formats::HttpExchange>;

namespace {
constexpr size_t keptRequests = 10'000;
}

class FakeService::Implementation {
public:
    explicit Implementation(FakeServiceOptions options)
        : m_options(std::move(options))
        , m_delay(m_options.delay)
        , m_server([this](const ExchangePointer& exchange) { receive(exchange); })
    {
    }

    ~Implementation()
    {
        m_tasks.stop();
        m_server.stop();
    }

    const internal::RestartableServer& server() const { return m_server; }
    void setDown(bool down) { m_server.setDown(down); }

    template <typename Body>
    auto locked(Body&& body)
    {
        std::lock_guard lock(m_mutex);
        return body(*this);
    }

    std::mutex m_mutex;
    const FakeServiceOptions m_options;
    Duration m_delay;
    int m_callsToCut = 0;
    int m_callsToFail = 0;
    int m_failureStatus = 0;
    int64_t m_crashes = 0;
    std::map<std::string, int64_t> m_runs;
    std::deque<formats::HttpRequest> m_requests;

private:
    void receive(const ExchangePointer& exchange)
    {
        Duration delay {};
        {
            std::lock_guard lock(m_mutex);
            m_requests.push_back(exchange->request());
            if (m_requests.size() > keptRequests)
                m_requests.pop_front();
            if (m_callsToFail > 0) {
                --m_callsToFail;
                exchange->respond(m_failureStatus, {}, "");
                return;
            }
            delay = m_delay;
        }
        bool poisoned = !m_options.poisonWord.empty() && exchange->request().body.find(m_options.poisonWord) != std::string::npos;
        if (poisoned)
            m_tasks.runAfter(delay, [this] { crash(); });
        else if (delay > Duration::zero())
            m_tasks.runAfter(delay, [this, exchange] { run(*exchange); });
        else
            run(*exchange);
    }

    void run(formats::HttpExchange& exchange)
    {
        const auto& request = exchange.request();
        std::string key(formats::findHeader(request.headers, "Idempotency-Key"));
        int64_t run = 0;
        bool cut = false;
        {
            std::lock_guard lock(m_mutex);
            run = ++m_runs[key];
            cut = m_callsToCut > 0;
            m_callsToCut -= cut ? 1 : 0;
        }
        if (cut) {
            exchange.abort();
            return;
        }
        nlohmann::json answer = { { "path", request.path }, { "key", key }, { "run", run } };
        exchange.respond(200, { { "Content-Type", "application/json" } }, answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

    // Runs on the tasks' thread, because the server waits for its own threads.
    void crash()
    {
        locked([](auto& self) { ++self.m_crashes; });
        m_server.setDown(true);
        m_tasks.runAfter(m_options.crashDowntime, [this] { m_server.setDown(false); });
    }

    internal::DelayedTasks m_tasks;
    internal::RestartableServer m_server;
};

FakeService::FakeService(FakeServiceOptions options)
    : m_implementation(std::make_unique<Implementation>(std::move(options)))
{
}

FakeService::~FakeService() = default;

std::string FakeService::url() const { return m_implementation->server().url(); }

uint16_t FakeService::port() const { return m_implementation->server().port(); }

void FakeService::setDelay(Duration delay)
{
    m_implementation->locked([&](auto& self) { self.m_delay = delay; });
}

void FakeService::cutAfterRunning(int calls)
{
    m_implementation->locked([&](auto& self) { self.m_callsToCut = calls; });
}

void FakeService::failNext(int calls, int status)
{
    m_implementation->locked([&](auto& self) {
        self.m_callsToFail = calls;
        self.m_failureStatus = status;
    });
}

void FakeService::setDown(bool down) { m_implementation->setDown(down); }

int64_t FakeService::runs(const std::string& idempotencyKey) const
{
    return m_implementation->locked([&](auto& self) {
        auto found = self.m_runs.find(idempotencyKey);
        return found == self.m_runs.end() ? int64_t(0) : found->second;
    });
}

std::map<std::string, int64_t> FakeService::allRuns() const
{
    return m_implementation->locked([](auto& self) { return self.m_runs; });
}

int64_t FakeService::crashes() const
{
    return m_implementation->locked([](auto& self) { return self.m_crashes; });
}

std::vector<formats::HttpRequest> FakeService::requests() const
{
    return m_implementation->locked([](auto& self) { return std::vector<formats::HttpRequest>(self.m_requests.begin(), self.m_requests.end()); });
}

} // namespace toucanstep::fakes
