#include "CheckpointCache.h"
#include "toucanstep/fakes/FakeEngine.h"
#include "toucanstep/fakes/FakeService.h"
#include "toucanstep/fakes/FakeWeightStore.h"
#include "toucanstep/formats/HttpClient.h"

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace toucanstep;
using namespace toucanstep::base;
using namespace toucanstep::fakes;
using namespace toucanstep::formats;

namespace {

Instant soon() { return std::chrono::steady_clock::now() + std::chrono::seconds(30); }

// Weights so large that no load ends within a test.
FakeWeightStoreOptions endlessWeights()
{
    return { .weights = { { "m", { Bytes(1'000'000'000'000'000) } }, { "small", { Bytes(1000) } } }, .refuseBeyond = 2 };
}

} // namespace

TEST_GROUP(Fakes)
{
    std::unique_ptr<HttpClient> client = std::make_unique<HttpClient>();

    HttpReply get(const std::string& url) { return client->fetch({ .url = url, .deadline = soon() }); }

    HttpReply post(const std::string& url, const std::string& key, const std::string& body = "{}")
    {
        return client->fetch({ .method = "POST", .url = url, .headers = { { "Idempotency-Key", key } }, .body = body, .deadline = soon() });
    }

    void teardown() override { client.reset(); }
};

TEST(Fakes, TheWeightStoreTellsSizesAndAnswersWhenTheLoadHasEnded)
{
    FakeWeightStore store(endlessWeights());
    auto head = client->fetch({ .method = "HEAD", .url = store.url() + "/weights/m", .deadline = soon() });
    STRCMP_EQUAL("1000000000000000", std::string(findHeader(head.headers, "X-Checkpoint-Bytes")).c_str());
    CHECK_TRUE(get(store.url() + "/weights/small").ok());
    CHECK_EQUAL(404, get(store.url() + "/weights/none").status);
    CHECK_EQUAL(1, store.counters().finishedLoads);
}

TEST(Fakes, AnOverdrivenWeightStoreRefuses)
{
    FakeWeightStore store(endlessWeights());
    for (int index = 0; index < 2; ++index)
        client->fetchAsync({ .url = store.url() + "/weights/m", .deadline = soon() }, [](const HttpReply&) {});
    while (store.counters().loadsInFlight < 2)
        std::this_thread::yield();
    CHECK_EQUAL(429, get(store.url() + "/weights/small").status);
    store.setDown(true);
    CHECK_EQUAL(0U, store.counters().loadsInFlight);
}

TEST(Fakes, AnEngineFetchesARemoteCheckpointOnceAndFindsItCachedThen)
{
    FakeWeightStore store(endlessWeights());
    FakeEngine engine({ .checkpoints = { { .name = "small", .size = Bytes(1000) } }, .weightStoreUrl = store.url() });
    for (int round = 0; round < 2; ++round) {
        CHECK_TRUE(post(engine.url() + "/v2/repository/models/small/load", "").ok());
        CHECK_TRUE(engine.tier("small") == CheckpointTier::Memory);
        CHECK_TRUE(post(engine.url() + "/v2/repository/models/small/unload", "").ok());
        while (!engine.readyModels().empty() || engine.counters().memoryInUse.value() > 0)
            std::this_thread::yield();
    }
    CHECK_EQUAL(1, store.counters().loads);
    CHECK_EQUAL(2, engine.counters().loads);
}

TEST(Fakes, AnEngineStopsWhileItLoadsAndGenerates)
{
    FakeWeightStore store(endlessWeights());
    FakeEngine engine({ .checkpoints = { { .name = "m", .size = Bytes(1) }, { .name = "n", .size = Bytes(1) } }, .weightStoreUrl = store.url() });
    engine.holdNow("n");
    client->fetchAsync({ .method = "POST", .url = engine.url() + "/v2/repository/models/m/load", .body = "{}", .deadline = soon() }, [](const HttpReply&) {});
    client->fetchAsync({ .method = "POST", .url = engine.url() + "/v1/completions", .body = R"({"model":"n","prompt":"p","max_tokens":1000000,"stream":true})", .deadline = soon() }, [](const HttpReply&) {});
    while (store.counters().loadsInFlight == 0 || engine.counters().generatedTokens == 0)
        std::this_thread::yield();
}

TEST(Fakes, CheckpointsMoveDownATierWhenTheyNoLongerFit)
{
    internal::CheckpointCache cache(Bytes(10), Bytes(10));
    for (const char* name : { "a", "b", "c" })
        cache.put(name, Bytes(6), CheckpointTier::Memory);
    CHECK_TRUE(cache.tier("c") == CheckpointTier::Memory);
    CHECK_TRUE(cache.tier("b") == CheckpointTier::Disk);
    CHECK_TRUE(cache.tier("a") == CheckpointTier::Remote);
}

TEST(Fakes, AServiceCountsWhatRanAlsoWhereTheAnswerWasCut)
{
    FakeService service;
    CHECK_TRUE(post(service.url() + "/orders", "k1").ok());
    service.cutAfterRunning(1);
    CHECK_TRUE(post(service.url() + "/orders", "k1").error->kind == ErrorKind::Timeout);
    service.failNext(1, 503);
    CHECK_EQUAL(503, post(service.url() + "/orders", "k1").status);
    CHECK_EQUAL(2, service.runs("k1"));
    CHECK_EQUAL(3U, service.requests().size());
}

TEST(Fakes, APoisonousCallCrashesAServiceWhichComesBack)
{
    FakeService service({ .poisonWord = "poison", .crashDowntime = std::chrono::milliseconds(20) });
    CHECK_TRUE(post(service.url() + "/orders", "k1", "poison").error->kind == ErrorKind::Timeout);
    while (!post(service.url() + "/orders", "k2").ok())
        std::this_thread::yield();
    CHECK_EQUAL(0, service.runs("k1"));
    CHECK_EQUAL(1, service.crashes());
}
