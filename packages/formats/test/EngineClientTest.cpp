#include "toucanstep/formats/EngineClient.h"
#include "ServerSentEvents.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/fakes/FakeEngine.h"
#include "toucanstep/testing/Property.h"
#include "toucanstep/testing/Waiting.h"

#include <nlohmann/json.hpp>
#include <thread>

using namespace toucanstep;
using namespace toucanstep::base;
using namespace toucanstep::formats;
using namespace toucanstep::testing;
using fakes::FakeEngine;

namespace {

class RecordingGeneration final : public GenerationListener {
public:
    void onStart(int, std::string type) override { contentTypes.put(std::move(type)); }
    void onPiece(std::string bytes) override { pieces.put(std::move(bytes)); }
    void onEnd(GenerationEnd end) override { ends.put(std::move(end)); }

    // All that arrived so far, joined.
    std::string text()
    {
        std::string all;
        while (auto piece = pieces.take(Duration::zero()))
            all += *piece;
        return all;
    }

    Mailbox<std::string> contentTypes;
    Mailbox<std::string> pieces;
    Mailbox<GenerationEnd> ends;
};

// The text of the tokens in a stream of events.
std::string tokensIn(const std::string& events)
{
    std::string text;
    formats::internal::ServerSentEvents reader;
    for (const auto& event : reader.take(events)) {
        if (!formats::internal::isEndMark(event))
            text += nlohmann::json::parse(event.substr(5)).at("choices").at(0).at("text").get<std::string>();
    }
    return text;
}

std::string bodyFor(const std::string& prompt, int tokens, bool stream = true)
{
    return nlohmann::json { { "model", "m" }, { "prompt", prompt }, { "max_tokens", tokens }, { "stream", stream } }.dump();
}

constexpr int endless = 1'000'000'000;

fakes::FakeEngineOptions defaultOptions()
{
    return {
        .checkpoints = { { .name = "m", .size = Bytes(1000) }, { .name = "big", .size = Bytes(5000) }, { .name = "a", .baseName = "m", .size = Bytes(10) } },
        .memoryLimit = Bytes(5500),
        .honoursFencing = true,
        .honoursPriority = true,
        .honoursResume = true,
        .poisonWord = "poison",
    };
}

} // namespace

TEST_GROUP(EngineClient)
{
    std::unique_ptr<FakeEngine> engine;
    std::shared_ptr<HttpClient> http = std::make_shared<HttpClient>();
    std::unique_ptr<EngineClient> client;

    void setup() override { start(defaultOptions()); }

    void start(fakes::FakeEngineOptions options)
    {
        engine = std::make_unique<FakeEngine>(std::move(options));
        client = makeEngineClient(engine->url(), http);
    }

    void teardown() override
    {
        client.reset();
        http.reset();
        engine.reset();
    }

    std::optional<Error> order(void(EngineClient::*kind)(EngineOrder, std::function<void(std::optional<Error>)>), EngineOrder order)
    {
        Mailbox<std::optional<Error>> replies;
        if (order.deadline == Instant())
            order.deadline = soon();
        (*client.*kind)(std::move(order), [&](auto error) { replies.put(std::move(error)); });
        return *replies.take();
    }

    std::optional<Error> load(EngineOrder wanted) { return order(&EngineClient::load, std::move(wanted)); }
    std::optional<Error> unload(EngineOrder wanted) { return order(&EngineClient::unload, std::move(wanted)); }

    std::vector<EngineModel> index()
    {
        Mailbox<Outcome<std::vector<EngineModel>>> replies;
        client->index(soon(), [&](auto outcome) { replies.put(std::move(outcome)); });
        return std::get<std::vector<EngineModel>>(*replies.take());
    }

    std::unique_ptr<HttpCallHandle> generate(const std::shared_ptr<RecordingGeneration>& listener, GenerationCall call)
    {
        call.path = "/v1/completions";
        call.deadline = soon();
        return client->generate(std::move(call), listener);
    }

    GenerationEnd generateWhole(const std::shared_ptr<RecordingGeneration>& listener, GenerationCall call)
    {
        auto handle = generate(listener, std::move(call));
        return *listener->ends.take();
    }
};

TEST(EngineClient, AModelAndItsAdapterAreLoadedAndUnloaded)
{
    CHECK_TRUE(index().empty());
    CHECK_TRUE(load({ .name = "a", .baseName = "m" })->kind == ErrorKind::Rejected);
    CHECK_FALSE(load({ .name = "m" }).has_value());
    CHECK_FALSE(load({ .name = "a", .baseName = "m" }).has_value());
    auto models = index();
    CHECK_EQUAL(2U, models.size());
    CHECK_TRUE(models[0].phase == EngineModelPhase::Ready);
    CHECK_FALSE(unload({ .name = "a", .baseName = "m" }).has_value());
    CHECK_FALSE(unload({ .name = "m" }).has_value());
    while (!index().empty())
        std::this_thread::yield();
    CHECK_EQUAL(0, engine->counters().memoryInUse.value());
    CHECK_EQUAL(0, engine->counters().memoryFaults);
    CHECK_TRUE(load({ .name = "unknown" })->kind == ErrorKind::Rejected);
}

TEST(EngineClient, AnOldFencingNumberIsRejectedWhereTheEngineHonoursIt)
{
    CHECK_FALSE(load({ .name = "m", .fence = Epoch(7) }).has_value());
    CHECK_TRUE(unload({ .name = "m", .fence = Epoch(6) })->kind == ErrorKind::Rejected);
    CHECK_EQUAL(1U, engine->readyModels().size());
    start({ .checkpoints = { { .name = "m" } } });
    CHECK_FALSE(load({ .name = "m", .fence = Epoch(7) }).has_value());
    CHECK_FALSE(unload({ .name = "m", .fence = Epoch(6) }).has_value());
}

TEST(EngineClient, AnOrderThatTimedOutMayLandLater)
{
    // Memory would be overcommitted. An order to load is never answered; its sender gives up and loads another model into
    // the same room; then the first order lands. The stand-in records the fault that a careless sender makes.
    engine->setLateOrders(std::chrono::milliseconds(100), fakes::LateOrderAnswer::Never);
    CHECK_TRUE(load({ .name = "big", .deadline = soon(std::chrono::milliseconds(20)) })->kind == ErrorKind::Timeout);
    CHECK_TRUE(index().empty());
    engine->holdNow("m");
    while (engine->counters().loads == 0)
        std::this_thread::yield();
    CHECK_EQUAL(1, engine->counters().memoryFaults);
    CHECK_EQUAL(6000, engine->counters().peakMemory.value());
}

TEST(EngineClient, AStreamIsWholeOnlyWithItsEndMark)
{
    engine->holdNow("m");
    auto listener = std::make_shared<RecordingGeneration>();
    auto end = generateWhole(listener, { .body = bodyFor("hello", 10), .request = RequestId("r1") });
    CHECK_TRUE(end.whole && !end.error);
    CHECK_EQUAL(200, end.status);
    STRCMP_EQUAL("text/event-stream", listener->contentTypes.take()->c_str());
    STRCMP_EQUAL(FakeEngine::answerText("m", "hello", 10).c_str(), tokensIn(listener->text()).c_str());
    CHECK_EQUAL(10, engine->counters().generatedTokens);
}

TEST(EngineClient, AnAnswerInOnePieceIsWholeToo)
{
    engine->holdNow("m");
    auto listener = std::make_shared<RecordingGeneration>();
    auto end = generateWhole(listener, { .body = bodyFor("hello", 3, false) });
    CHECK_TRUE(end.whole);
    auto json = nlohmann::json::parse(listener->text());
    CHECK_EQUAL(3, json.at("usage").at("completion_tokens").get<int>());
    STRCMP_EQUAL(FakeEngine::answerText("m", "hello", 3).c_str(), json.at("choices").at(0).at("text").get<std::string>().c_str());
}

TEST(EngineClient, AModelThatIsNotLoadedIsAnsweredWith404)
{
    auto end = generateWhole(std::make_shared<RecordingGeneration>(), { .body = bodyFor("hello", 3) });
    CHECK_EQUAL(404, end.status);
}

TEST(EngineClient, ACrashIsSeenByEveryStreamThatRan)
{
    // Callers of innocent requests are hurt by one that crashes the engine: all streams break off without an end mark, the
    // engine is down for a while and comes back empty.
    engine->holdNow("m");
    std::vector<std::shared_ptr<RecordingGeneration>> listeners;
    std::vector<std::unique_ptr<HttpCallHandle>> handles;
    for (int index = 0; index < 5; ++index) {
        listeners.push_back(std::make_shared<RecordingGeneration>());
        handles.push_back(generate(listeners.back(), { .body = bodyFor("innocent", endless) }));
        CHECK_TRUE(listeners.back()->pieces.take().has_value());
    }
    listeners.push_back(std::make_shared<RecordingGeneration>());
    handles.push_back(generate(listeners.back(), { .body = bodyFor("some poison", 5) }));
    for (const auto& listener : listeners) {
        auto end = *listener->ends.take();
        CHECK_FALSE(end.whole);
        CHECK_TRUE(end.error->kind == ErrorKind::Timeout);
    }
    CHECK_TRUE(engine->readyModels().empty());
    CHECK_EQUAL(1, engine->counters().crashes);
    Mailbox<Outcome<EngineLoad>> replies;
    for (bool answered = false; !answered;) {
        client->readLoad(soon(), [&](auto outcome) { replies.put(std::move(outcome)); });
        answered = std::holds_alternative<EngineLoad>(*replies.take());
    }
}

TEST(EngineClient, ASilentStreamEndsAndIsResumedAtItsOffset)
{
    // A caller would wait for ever, or get tokens twice. The connection goes silent while the engine works on; the silence
    // limit ends it, and a new call with the offset brings the rest.
    engine->holdNow("m");
    auto first = std::make_shared<RecordingGeneration>();
    auto handle = generate(first, { .body = bodyFor("hello", 500), .request = RequestId("r1"), .silenceLimit = std::chrono::milliseconds(200) });
    std::string received = *first->pieces.take();
    engine->silenceStreams();
    auto end = *first->ends.take();
    CHECK_FALSE(end.whole);
    received = tokensIn(received + first->text());
    auto offset = std::count(received.begin(), received.end(), ' ');
    CHECK_TRUE(offset > 0 && offset < 500);
    auto second = std::make_shared<RecordingGeneration>();
    CHECK_TRUE(generateWhole(second, { .body = bodyFor("hello", 500), .request = RequestId("r1"), .resumeOffset = offset }).whole);
    STRCMP_EQUAL(FakeEngine::answerText("m", "hello", 500).c_str(), (received + tokensIn(second->text())).c_str());
}

TEST(EngineClient, ACancelledCallStopsTheEnginesWork)
{
    engine->holdNow("m");
    auto listener = std::make_shared<RecordingGeneration>();
    auto handle = generate(listener, { .body = bodyFor("hello", endless) });
    CHECK_TRUE(listener->pieces.take().has_value());
    handle.reset();
    while (engine->counters().cancelledStreams == 0)
        std::this_thread::yield();
}

TEST(EngineClient, AModelIsUnloadedOnlyAfterItsStreams)
{
    engine->holdNow("m");
    auto listener = std::make_shared<RecordingGeneration>();
    auto handle = generate(listener, { .body = bodyFor("hello", endless) });
    CHECK_TRUE(listener->pieces.take().has_value());
    CHECK_FALSE(unload({ .name = "m" }).has_value());
    CHECK_TRUE(index().at(0).phase == EngineModelPhase::Unloading);
    handle.reset();
    while (!index().empty())
        std::this_thread::yield();
}

TEST(EngineClient, AnEngineThatHonoursPriorityTakesTheMoreUrgentFirst)
{
    auto options = defaultOptions();
    options.maximumRunning = 1;
    start(options);
    engine->holdNow("m");
    auto running = std::make_shared<RecordingGeneration>();
    auto handle = generate(running, { .body = bodyFor("first", endless) });
    CHECK_TRUE(running->pieces.take().has_value());
    auto ordinary = std::make_shared<RecordingGeneration>();
    auto ordinaryHandle = generate(ordinary, { .body = bodyFor("ordinary", endless), .priority = 1 });
    while (engine->counters().requests < 2)
        std::this_thread::yield();
    auto urgent = std::make_shared<RecordingGeneration>();
    auto urgentHandle = generate(urgent, { .body = bodyFor("urgent", endless), .priority = 2 });
    while (engine->counters().requests < 3)
        std::this_thread::yield();
    handle.reset();
    CHECK_TRUE(urgent->pieces.take().has_value());
    CHECK_TRUE(ordinary->text().empty());
}

TEST(EngineClient, TheLoadFiguresLag)
{
    auto options = defaultOptions();
    options.metricsLag = std::chrono::hours(1);
    for (bool lagging : { true, false }) {
        start(options);
        options.metricsLag = Duration::zero();
        engine->holdNow("m");
        auto listener = std::make_shared<RecordingGeneration>();
        auto handle = generate(listener, { .body = bodyFor("hello", endless) });
        CHECK_TRUE(listener->pieces.take().has_value());
        Mailbox<Outcome<EngineLoad>> replies;
        client->readLoad(soon(), [&](auto outcome) { replies.put(std::move(outcome)); });
        auto load = std::get<EngineLoad>(*replies.take());
        CHECK_EQUAL(lagging ? 0 : 1, load.running);
        CHECK_EQUAL(!lagging, load.cacheUse > 0);
    }
}

TEST(EngineClient, APromptsBeginningIsReadOnce)
{
    engine->holdNow("m");
    const std::string prompt(1024, 'x');
    generateWhole(std::make_shared<RecordingGeneration>(), { .body = bodyFor(prompt, 1) });
    generateWhole(std::make_shared<RecordingGeneration>(), { .body = bodyFor(prompt + "more", 1) });
    CHECK_EQUAL(256, engine->counters().cachedPromptTokens);
}

TEST(EngineClient, HeadersOfRequestsAreRecorded)
{
    engine->holdNow("m");
    generateWhole(std::make_shared<RecordingGeneration>(), { .body = bodyFor("p", 1), .request = RequestId("r9"), .priority = 4 });
    auto requests = engine->requests();
    CHECK_EQUAL(1U, requests.size());
    STRCMP_EQUAL("r9", std::string(findHeader(requests[0].headers, "X-Request-Id")).c_str());
    STRCMP_EQUAL("4", std::string(findHeader(requests[0].headers, "X-Request-Priority")).c_str());
    CHECK_TRUE(findHeader(requests[0].headers, "Authorization").empty());
}

TEST(EngineClient, EventsAreCutAlikeHoweverTheBytesArrive)
{
    const std::string stream = "data: a\n\ndata: b\r\n\r\n: c\n\ndata: [DONE]\n\nrest";
    CHECK_PROPERTY([&](const std::vector<uint8_t>& steps) {
        formats::internal::ServerSentEvents reader;
        std::vector<std::string> events;
        size_t position = 0;
        auto feed = [&](size_t size) {
            for (auto& event : reader.take(std::string_view(stream).substr(position, size)))
                events.push_back(std::move(event));
            position = std::min(stream.size(), position + size);
        };
        for (uint8_t step : steps)
            feed(step % 5);
        feed(stream.size());
        RC_ASSERT(events == (std::vector<std::string> { "data: a\n\n", "data: b\r\n\r\n", ": c\n\n", "data: [DONE]\n\n" }));
        RC_ASSERT(reader.rest() == "rest");
    });
    CHECK_TRUE(formats::internal::isEndMark("data: [DONE]\n\n") && formats::internal::isEndMark("data:[DONE]\r\n\r\n"));
    CHECK_FALSE(formats::internal::isEndMark("data: \n\n") || formats::internal::isEndMark("data: [DONE] x\n\n") || formats::internal::isEndMark(""));
}
