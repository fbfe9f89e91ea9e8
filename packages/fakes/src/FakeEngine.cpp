#include "toucanstep/fakes/FakeEngine.h"

#include "CheckpointCache.h"
#include "DelayedTasks.h"
#include "EngineModels.h"
#include "EngineStream.h"
#include "PrefixCache.h"
#include "RestartableServer.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/formats/HttpClient.h"

#include <algorithm>
#include <charconv>
#include <deque>

namespace toucanstep::fakes {

using namespace base;
using internal::EngineModels;
using internal::EngineStream;
using internal::HeldModel;
using internal::ModelPhase;
using Json = nlohmann::json;
using ExchangePointer = std::shared_ptr<formats::HttpExchange>;

namespace {

constexpr size_t keptRequests = 10'000;
constexpr Duration fetchRetryDelay = std::chrono::milliseconds(50);
constexpr Duration longestFetch = std::chrono::hours(1);
constexpr Duration unloadCheckInterval = std::chrono::milliseconds(2);
constexpr Duration keptSamples = std::chrono::minutes(1);
constexpr std::string_view modelsPath = "/v2/repository/models/";

Instant now() { return std::chrono::steady_clock::now(); }

void respondJson(formats::HttpExchange& exchange, int status, const Json& body)
{
    exchange.respond(status, { { "Content-Type", "application/json" } }, body.dump());
}

// The repository's orders and the OpenAI side have errors of different shape.
void refuseOrder(formats::HttpExchange& exchange, int status, const std::string& reason) { respondJson(exchange, status, { { "error", reason } }); }

void refuseGeneration(formats::HttpExchange& exchange, int status, const std::string& reason)
{
    respondJson(exchange, status, { { "error", { { "message", reason }, { "type", "invalid_request_error" }, { "code", status } } } });
}

const char* stateName(ModelPhase phase)
{
    switch (phase) {
    case ModelPhase::Loading:
        return "LOADING";
    case ModelPhase::Ready:
        return "READY";
    case ModelPhase::Unloading:
        return "UNLOADING";
    }
    return "UNAVAILABLE";
}

Duration timeFor(Bytes size, int64_t rate)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(static_cast<double>(size.value()) / static_cast<double>(rate)));
}

struct Order {
    std::string name;
    Epoch fence;
};

struct LoadSample {
    Instant time;
    size_t running = 0;
    size_t waiting = 0;
    double cacheUse = 0;
};

} // namespace

class FakeEngine::Implementation {
public:
    explicit Implementation(FakeEngineOptions options)
        : m_options(std::move(options))
        , m_models(m_options.memoryLimit)
        , m_cache(m_options.hostMemoryLimit, m_options.diskLimit)
        , m_prefixes(m_options.prefixCacheTokens)
        , m_client(m_options.weightStoreUrl.empty() ? nullptr : std::make_unique<formats::HttpClient>())
        , m_server([this](const ExchangePointer& exchange) { receive(exchange); })
    {
        m_models.account(now());
    }

    ~Implementation()
    {
        m_tasks.stop();
        m_server.stop();
        m_client.reset();
    }

    const internal::RestartableServer& server() const { return m_server; }
    void setDown(bool down) { m_server.setDown(down); }
    void crash()
    {
        m_tasks.runAfter({}, [this] { crashNow(); });
    }

    void holdNow(const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        m_models.account(now());
        const FakeCheckpoint* checkpoint = findCheckpoint(name);
        if (!checkpoint || m_models.find(name))
            return;
        tell(*checkpoint, true, CheckpointTier::Memory);
        m_models.hold(*checkpoint).phase = ModelPhase::Ready;
        m_cache.put(name, checkpoint->size, CheckpointTier::Memory);
    }

    void setTier(const std::string& name, CheckpointTier tier)
    {
        std::lock_guard lock(m_mutex);
        if (const FakeCheckpoint* checkpoint = findCheckpoint(name))
            m_cache.put(name, checkpoint->size, tier);
    }

    CheckpointTier tier(const std::string& name)
    {
        std::lock_guard lock(m_mutex);
        return m_cache.tier(name);
    }

    void setLateOrders(Duration delay, LateOrderAnswer answer)
    {
        std::lock_guard lock(m_mutex);
        m_orderDelay = delay;
        m_orderAnswer = answer;
    }

    void silenceStreams()
    {
        std::lock_guard lock(m_mutex);
        for (auto* list : { &m_running, &m_waiting }) {
            for (const auto& stream : *list)
                stream->silenced = true;
        }
    }

    void cutStreams()
    {
        std::lock_guard lock(m_mutex);
        m_models.account(now());
        for (auto* list : { &m_running, &m_waiting }) {
            for (const auto& stream : *list) {
                stream->exchange().abort();
                release(*stream);
                ++m_counters.cancelledStreams;
            }
            list->clear();
        }
    }

    FakeEngineCounters counters()
    {
        std::lock_guard lock(m_mutex);
        m_models.account(now());
        FakeEngineCounters counters = m_counters;
        m_models.addTo(counters);
        return counters;
    }

    std::vector<FakeEngineRequest> requests()
    {
        std::lock_guard lock(m_mutex);
        return { m_requests.begin(), m_requests.end() };
    }

    std::vector<std::string> readyModels()
    {
        std::lock_guard lock(m_mutex);
        std::vector<std::string> names;
        for (const auto& [name, model] : m_models.held()) {
            if (model.phase == ModelPhase::Ready)
                names.push_back(name);
        }
        return names;
    }

private:
    using StreamPointer = std::shared_ptr<EngineStream>;

    // Requests.

    void receive(const ExchangePointer& exchange)
    {
        const std::string& path = exchange->request().path;
        try {
            if (path == "/v1/chat/completions" || path == "/v1/completions")
                generate(exchange);
            else if (path == "/v1/models")
                listModels(*exchange);
            else if (path == "/metrics")
                showMetrics(*exchange);
            else if (path == "/health" || path == "/v2/health/ready")
                exchange->respond(200, {}, "");
            else if (path == "/v2/repository/index")
                showIndex(*exchange);
            else
                takeOrder(exchange, path);
        } catch (const Json::exception& error) {
            refuseGeneration(*exchange, 400, error.what());
        }
    }

    void takeOrder(const ExchangePointer& exchange, const std::string& path)
    {
        if (path == "/v1/load_lora_adapter")
            load(exchange, orderFor(*exchange, adapterName(*exchange)));
        else if (path == "/v1/unload_lora_adapter")
            unload(*exchange, orderFor(*exchange, adapterName(*exchange)));
        else if (auto name = modelOfPath(path, "/load"))
            load(exchange, orderFor(*exchange, *name));
        else if (auto name = modelOfPath(path, "/unload"))
            unload(*exchange, orderFor(*exchange, *name));
        else
            refuseGeneration(*exchange, 404, "no such path");
    }

    static std::string adapterName(const formats::HttpExchange& exchange)
    {
        return Json::parse(exchange.request().body).at("lora_name").get<std::string>();
    }

    static std::optional<std::string> modelOfPath(const std::string& path, std::string_view verb)
    {
        if (path.rfind(modelsPath, 0) != 0 || path.size() <= modelsPath.size() + verb.size())
            return std::nullopt;
        size_t nameSize = path.size() - modelsPath.size() - verb.size();
        if (path.compare(modelsPath.size() + nameSize, verb.size(), verb) != 0)
            return std::nullopt;
        return path.substr(modelsPath.size(), nameSize);
    }

    static Order orderFor(const formats::HttpExchange& exchange, std::string name)
    {
        auto text = formats::findHeader(exchange.request().headers, "X-Fencing-Epoch");
        int64_t fence = 0;
        std::from_chars(text.data(), text.data() + text.size(), fence);
        return { std::move(name), Epoch(fence) };
    }

    void showIndex(formats::HttpExchange& exchange)
    {
        std::lock_guard lock(m_mutex);
        Json index = Json::array();
        for (const auto& checkpoint : m_options.checkpoints) {
            const HeldModel* model = m_models.find(checkpoint.name);
            index.push_back({ { "name", checkpoint.name }, { "version", "1" }, { "state", model ? stateName(model->phase) : "UNAVAILABLE" } });
        }
        respondJson(exchange, 200, index);
    }

    void listModels(formats::HttpExchange& exchange)
    {
        std::lock_guard lock(m_mutex);
        Json data = Json::array();
        for (const auto& [name, model] : m_models.held()) {
            const std::string& baseName = model.checkpoint.baseName;
            if (model.phase == ModelPhase::Ready)
                data.push_back({ { "id", name }, { "object", "model" }, { "created", 0 }, { "owned_by", "engine" }, { "parent", baseName.empty() ? Json() : Json(baseName) } });
        }
        respondJson(exchange, 200, { { "object", "list" }, { "data", std::move(data) } });
    }

    void showMetrics(formats::HttpExchange& exchange)
    {
        std::lock_guard lock(m_mutex);
        Instant asOf = now() - m_options.metricsLag;
        LoadSample shown;
        for (const auto& sample : m_samples) {
            if (sample.time <= asOf)
                shown = sample;
        }
        std::string text = concat("# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running{engine=\"0\"} ", shown.running,
            "\n# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting{engine=\"0\"} ", shown.waiting,
            "\n# TYPE vllm:gpu_cache_usage_perc gauge\nvllm:gpu_cache_usage_perc{engine=\"0\"} ", shown.cacheUse, "\n");
        exchange.respond(200, { { "Content-Type", "text/plain; version=0.0.4" } }, std::move(text));
    }

    // Orders. The functions below need m_mutex unless they take it.

    const FakeCheckpoint* findCheckpoint(const std::string& name) const
    {
        for (const auto& checkpoint : m_options.checkpoints) {
            if (checkpoint.name == name)
                return &checkpoint;
        }
        return nullptr;
    }

    // Refuses an order with an old fencing number, if this engine looks at them.
    bool admit(formats::HttpExchange& exchange, const Order& order)
    {
        if (!m_options.honoursFencing || m_models.takeFence(order.fence))
            return true;
        ++m_counters.refusedOrders;
        refuseOrder(exchange, 409, "the fencing number is old");
        return false;
    }

    void load(const ExchangePointer& exchange, const Order& order)
    {
        std::lock_guard lock(m_mutex);
        if (!admit(*exchange, order))
            return;
        if (m_orderDelay <= Duration::zero()) {
            apply(exchange, order);
            return;
        }
        m_tasks.runAfter(m_orderDelay, [this, order] {
            std::lock_guard lock(m_mutex);
            if (!m_options.honoursFencing || m_models.isFenceCurrent(order.fence))
                apply(nullptr, order);
        });
        if (m_orderAnswer == LateOrderAnswer::AtOnce)
            exchange->respond(200, {}, "");
    }

    // Carries out an order to load. There is no exchange for a late order, whose answer was given or lost before.
    void apply(const ExchangePointer& exchange, const Order& order)
    {
        const FakeCheckpoint* checkpoint = findCheckpoint(order.name);
        std::string reason = checkpoint ? whyNotLoadable(*checkpoint) : "no such model";
        if (!reason.empty()) {
            ++m_counters.refusedOrders;
            if (exchange)
                refuseOrder(*exchange, 400, reason);
            return;
        }
        HeldModel* model = m_models.find(order.name);
        if (model && model->phase == ModelPhase::Ready) {
            if (exchange)
                exchange->respond(200, {}, "");
            return;
        }
        if (exchange)
            m_loadWaiters[order.name].push_back(exchange);
        if (!model)
            beginLoad(*checkpoint);
    }

    std::string whyNotLoadable(const FakeCheckpoint& checkpoint)
    {
        const HeldModel* model = m_models.find(checkpoint.name);
        if (model && model->phase == ModelPhase::Unloading)
            return "the model is being unloaded";
        const HeldModel* baseModel = m_models.find(checkpoint.baseName);
        if (!checkpoint.baseName.empty() && (!baseModel || baseModel->phase != ModelPhase::Ready))
            return "the adapter's model is not loaded";
        return {};
    }

    void beginLoad(const FakeCheckpoint& checkpoint)
    {
        m_models.account(now());
        ++m_counters.loads;
        CheckpointTier tier = m_cache.tier(checkpoint.name);
        tell(checkpoint, true, tier);
        int64_t number = m_models.hold(checkpoint).loadNumber;
        if (tier == CheckpointTier::Remote && m_client) {
            fetch(checkpoint, number);
            return;
        }
        int64_t rate = tier == CheckpointTier::Memory ? m_options.memoryRate : tier == CheckpointTier::Disk ? m_options.diskRate
                                                                                                            : m_options.remoteRate;
        m_tasks.runAfter(timeFor(checkpoint.size, rate), [this, name = checkpoint.name, number] { finishLoad(name, number); });
    }

    void fetch(const FakeCheckpoint& checkpoint, int64_t number)
    {
        formats::HttpCall call { .url = concat(m_options.weightStoreUrl, "/weights/", checkpoint.name), .deadline = now() + longestFetch };
        m_client->fetchAsync(std::move(call), [this, checkpoint, number](const formats::HttpReply& reply) {
            if (reply.ok())
                m_tasks.runAfter(timeFor(checkpoint.size, m_options.memoryRate), [this, name = checkpoint.name, number] { finishLoad(name, number); });
            else
                m_tasks.runAfter(fetchRetryDelay, [this, checkpoint, number] {
                    std::lock_guard lock(m_mutex);
                    if (isLoading(checkpoint.name, number))
                        fetch(checkpoint, number);
                });
        });
    }

    bool isLoading(const std::string& name, int64_t number)
    {
        const HeldModel* model = m_models.find(name);
        return model && model->loadNumber == number && model->phase == ModelPhase::Loading;
    }

    void finishLoad(const std::string& name, int64_t number)
    {
        std::lock_guard lock(m_mutex);
        if (!isLoading(name, number))
            return;
        m_models.account(now());
        HeldModel* model = m_models.find(name);
        model->phase = ModelPhase::Ready;
        m_cache.put(name, model->checkpoint.size, CheckpointTier::Memory);
        for (const auto& exchange : takeLoadWaiters(name))
            exchange->respond(200, {}, "");
    }

    std::vector<ExchangePointer> takeLoadWaiters(const std::string& name)
    {
        auto waiters = std::move(m_loadWaiters[name]);
        m_loadWaiters.erase(name);
        return waiters;
    }

    void unload(formats::HttpExchange& exchange, const Order& order)
    {
        std::lock_guard lock(m_mutex);
        if (!admit(exchange, order))
            return;
        exchange.respond(200, {}, "");
        std::vector<std::string> names;
        for (const auto& [name, model] : m_models.held()) {
            if (name == order.name || model.checkpoint.baseName == order.name)
                names.push_back(name);
        }
        for (const auto& name : names)
            beginUnload(name);
    }

    void beginUnload(const std::string& name)
    {
        HeldModel* model = m_models.find(name);
        if (model->phase == ModelPhase::Unloading)
            return;
        m_models.account(now());
        ++m_counters.unloads;
        model->phase = ModelPhase::Unloading;
        for (const auto& exchange : takeLoadWaiters(name))
            refuseOrder(*exchange, 400, "the model was unloaded meanwhile");
        m_tasks.runAfter(m_options.unloadTime, [this, name, number = model->loadNumber] { finishUnload(name, number); });
    }

    void finishUnload(const std::string& name, int64_t number)
    {
        std::lock_guard lock(m_mutex);
        const HeldModel* model = m_models.find(name);
        if (!model || model->loadNumber != number)
            return;
        if (model->requests > 0) {
            m_tasks.runAfter(unloadCheckInterval, [this, name, number] { finishUnload(name, number); });
            return;
        }
        m_models.account(now());
        tell(model->checkpoint, false);
        m_models.release(name);
    }

    void tell(const FakeCheckpoint& checkpoint, bool held, CheckpointTier tier = CheckpointTier::Memory) const
    {
        if (m_options.observer)
            m_options.observer({ checkpoint.name, checkpoint.size, held, tier });
    }

    // Generation.

    void generate(const ExchangePointer& exchange)
    {
        StreamPointer stream;
        {
            std::lock_guard lock(m_mutex);
            const auto& request = exchange->request();
            m_requests.push_back({ request.path, request.headers, request.body });
            if (m_requests.size() > keptRequests)
                m_requests.pop_front();
            stream = std::make_shared<EngineStream>(exchange, m_options.defaultAnswerTokens, m_options.honoursResume);
            if (!enqueue(stream))
                return;
        }
        // Comes after the lock, because a caller who has left already makes the call happen at once.
        std::weak_ptr<EngineStream> weak = stream;
        exchange->onCallerGone([this, weak] {
            if (auto left = weak.lock())
                cancel(left);
        });
    }

    bool enqueue(const StreamPointer& stream)
    {
        HeldModel* model = m_models.find(stream->model());
        if (!model || model->phase != ModelPhase::Ready) {
            refuseGeneration(stream->exchange(), 404, concat("The model `", stream->model(), "` does not exist."));
            return false;
        }
        m_models.account(now());
        ++model->requests;
        ++m_counters.requests;
        m_waiting.push_back(stream);
        sample();
        if (!m_ticking) {
            m_ticking = true;
            m_tasks.runAfter(m_options.tickLength, [this] { tick(); });
        }
        return true;
    }

    void cancel(const StreamPointer& stream)
    {
        std::lock_guard lock(m_mutex);
        for (auto* list : { &m_running, &m_waiting }) {
            auto found = std::find(list->begin(), list->end(), stream);
            if (found == list->end())
                continue;
            m_models.account(now());
            list->erase(found);
            release(*stream);
            ++m_counters.cancelledStreams;
        }
    }

    void release(const EngineStream& stream)
    {
        if (HeldModel* model = m_models.find(stream.model()))
            --model->requests;
    }

    void tick()
    {
        Instant begun = now();
        bool poisoned = false;
        {
            std::lock_guard lock(m_mutex);
            m_models.account(begun);
            poisoned = admitWaiting();
            if (!poisoned)
                advanceRunning();
            sample();
            m_ticking = !m_running.empty() || !m_waiting.empty();
            if (m_ticking && !poisoned)
                m_tasks.runAt(begun + m_options.tickLength, [this] { tick(); });
        }
        if (poisoned)
            crashNow();
    }

    // Moves streams into the batch. Returns true if one of them crashes the engine.
    bool admitWaiting()
    {
        while (m_running.size() < m_options.maximumRunning && !m_waiting.empty()) {
            auto next = m_waiting.begin();
            if (m_options.honoursPriority)
                next = std::max_element(m_waiting.begin(), m_waiting.end(), [](const auto& left, const auto& right) { return left->priority() < right->priority(); });
            StreamPointer stream = *next;
            m_waiting.erase(next);
            m_running.push_back(stream);
            int64_t cached = m_prefixes.take(stream->model(), stream->prompt());
            stream->promptLeft = stream->promptTokens() - cached;
            m_counters.promptTokens += stream->promptTokens();
            m_counters.cachedPromptTokens += cached;
            if (!m_options.poisonWord.empty() && stream->prompt().find(m_options.poisonWord) != std::string::npos)
                return true;
        }
        return false;
    }

    void advanceRunning()
    {
        std::vector<StreamPointer> unfinished;
        for (const auto& stream : m_running) {
            stream->promptLeft -= m_options.promptTokensPerTick;
            if (stream->promptLeft > 0) {
                unfinished.push_back(stream);
                continue;
            }
            ++m_counters.generatedTokens;
            if (!stream->advance()) {
                unfinished.push_back(stream);
                continue;
            }
            release(*stream);
            ++m_counters.finishedStreams;
        }
        m_running = std::move(unfinished);
    }

    void sample()
    {
        Instant time = now();
        int64_t tokens = 0;
        for (const auto& stream : m_running)
            tokens += stream->tokensHeld();
        m_samples.push_back({ time, m_running.size(), m_waiting.size(), static_cast<double>(tokens) / static_cast<double>(m_options.cacheTokens) });
        while (m_samples.size() > 1 && m_samples.front().time < time - m_options.metricsLag - keptSamples)
            m_samples.pop_front();
    }

    // Runs on the tasks' thread, without the lock, because the server waits for its own threads.
    void crashNow()
    {
        {
            std::lock_guard lock(m_mutex);
            ++m_counters.crashes;
            forget();
        }
        m_server.setDown(true);
        {
            // Orders that were taken between the two are forgotten with the rest.
            std::lock_guard lock(m_mutex);
            forget();
        }
        m_tasks.runAfter(m_options.crashDowntime, [this] { m_server.setDown(false); });
    }

    void forget()
    {
        m_models.account(now());
        for (const auto& [name, model] : m_models.held())
            tell(model.checkpoint, false);
        m_models.clear();
        m_prefixes.clear();
        m_loadWaiters.clear();
        m_running.clear();
        m_waiting.clear();
        m_samples.clear();
        m_ticking = false;
    }

    const FakeEngineOptions m_options;
    std::mutex m_mutex;
    EngineModels m_models;
    internal::CheckpointCache m_cache;
    internal::PrefixCache m_prefixes;
    FakeEngineCounters m_counters;
    std::deque<FakeEngineRequest> m_requests;
    std::deque<LoadSample> m_samples;
    Duration m_orderDelay {};
    LateOrderAnswer m_orderAnswer = LateOrderAnswer::AtOnce;
    std::map<std::string, std::vector<ExchangePointer>> m_loadWaiters;
    std::vector<StreamPointer> m_waiting;
    std::vector<StreamPointer> m_running;
    bool m_ticking = false;
    std::unique_ptr<formats::HttpClient> m_client;
    internal::DelayedTasks m_tasks;
    internal::RestartableServer m_server;
};

FakeEngine::FakeEngine(FakeEngineOptions options)
    : m_implementation(std::make_unique<Implementation>(std::move(options)))
{
}

FakeEngine::~FakeEngine() = default;

std::string FakeEngine::url() const { return m_implementation->server().url(); }

uint16_t FakeEngine::port() const { return m_implementation->server().port(); }

std::string FakeEngine::answerText(std::string_view model, std::string_view prompt, int64_t tokens, int64_t from)
{
    uint64_t hash = internal::hashText(prompt, internal::hashText(model));
    std::string text;
    for (int64_t token = from; token < tokens; ++token)
        append(text, absl::Hex(static_cast<uint32_t>(hash), absl::kZeroPad8), "-", token, " ");
    return text;
}

void FakeEngine::holdNow(const std::string& name) { m_implementation->holdNow(name); }

void FakeEngine::setTier(const std::string& name, CheckpointTier tier) { m_implementation->setTier(name, tier); }

CheckpointTier FakeEngine::tier(const std::string& name) const { return m_implementation->tier(name); }

void FakeEngine::setLateOrders(Duration delay, LateOrderAnswer answer) { m_implementation->setLateOrders(delay, answer); }

void FakeEngine::silenceStreams() { m_implementation->silenceStreams(); }

void FakeEngine::cutStreams() { m_implementation->cutStreams(); }

void FakeEngine::setDown(bool down) { m_implementation->setDown(down); }

void FakeEngine::crash() { m_implementation->crash(); }

FakeEngineCounters FakeEngine::counters() const { return m_implementation->counters(); }

std::vector<FakeEngineRequest> FakeEngine::requests() const { return m_implementation->requests(); }

std::vector<std::string> FakeEngine::readyModels() const { return m_implementation->readyModels(); }

} // namespace toucanstep::fakes
