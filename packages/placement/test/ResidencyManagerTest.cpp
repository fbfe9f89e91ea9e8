#include "EngineModel.h"
#include "toucanstep/testing/Property.h"

#include <memory>
#include <set>

using namespace toucanstep;
using namespace toucanstep::placement;
using namespace toucanstep::placement::testing;

namespace {

constexpr auto horizon = 10s;
const base::Bytes capacity(100);

base::Instant at(base::Duration sinceStart) { return base::Instant(std::chrono::hours(1)) + sinceStart; }

std::vector<ModelSpec> testModels()
{
    return { { base::ModelId("a"), base::Bytes(60), 2s, std::nullopt }, { base::ModelId("b"), base::Bytes(50), 3s, std::nullopt },
        { base::ModelId("c"), base::Bytes(30), 1s, std::nullopt }, { base::ModelId("d"), base::Bytes(90), 1s, std::nullopt }, { base::ModelId("a-x"), base::Bytes(10), 500ms, base::ModelId("a") } };
}

ResidencySettings settingsFor(bool fencing)
{
    return { .capacity = capacity, .fencing = fencing, .lateOrderHorizon = horizon, .orderTimeout = 1s };
}

bool alwaysPermit(const base::ModelId&, base::Instant) { return true; }

// Runs successive sidecar processes against one engine.
class SidecarHarness {
public:
    explicit SidecarHarness(ResidencySettings settings, bool engineFences)
        : engine(capacity, engineFences)
        , m_settings(settings)
    {
        for (const auto& spec : testModels())
            engine.addModel(spec);
        engine.onAnswer = [this](int sender, OrderId id, OrderOutcome outcome, base::Instant now) {
            if (sender != m_process)
                return;
            m_loading.erase(id);
            manager->onOrderResult(id, outcome, now);
        };
        engine.onIndex = [this](int sender, const EngineIndex& index, base::Instant now) {
            if (sender == m_process)
                manager->onIndex(index, now);
        };
        for (const auto& spec : testModels())
            rows.insert(spec.model);
        start();
    }

    // Replaces the current process, whose orders stay in flight, by a new one.
    void start()
    {
        ++m_process;
        m_loading.clear();
        manager = std::make_unique<ResidencyManager>(m_settings, makeLearntKeepAlive({ .minimumGapSamples = 2, .maximumRelativeDeviation = 0.8 }), base::Epoch(m_process), now);
        manager->setModelSpecs(testModels());
        for (const auto& model : rows)
            manager->grantRow(model, base::Epoch(1));
    }

    void crashEngine()
    {
        engine.crash();
        manager->onUpstreamCrashed(now);
    }

    void step(base::Duration duration, const std::function<Delivery()>& nextDelivery)
    {
        now += duration;
        engine.advance(now);
        for (const auto& order : manager->tick(now, alwaysPermit)) {
            if (order.kind == OrderKind::Load)
                duplicateLoad = duplicateLoad || !m_loading.emplace(order.id, order.model).second || countLoading(order.model) > 1;
            if (order.kind == OrderKind::Unload)
                unloadedInUse = unloadedInUse || inUse[order.model] > 0;
            engine.send(m_process, order, nextDelivery(), now);
        }
        for (const auto& spec : testModels())
            releaseIfPossible(spec.model);
    }

    // Advances in steps of 100 ms for the given time, over a network without delays or losses.
    void runFor(base::Duration duration)
    {
        for (base::Duration passed {}; passed < duration; passed += 100ms)
            step(100ms, [] { return Delivery { 0s, std::nullopt, false }; });
    }

    void releaseIfPossible(const base::ModelId& model)
    {
        if (!withdrawn.count(model) || !manager->mayRelease(model))
            return;
        manager->dropRow(model);
        withdrawn.erase(model);
        rows.erase(model);
    }

    bool loadedWithoutRow() const
    {
        for (const auto& model : engine.resident())
            if (!rows.count(model))
                return true;
        return false;
    }

    EngineModel engine;
    std::unique_ptr<ResidencyManager> manager;
    base::Instant now = at(0s);
    std::set<base::ModelId> rows;
    std::set<base::ModelId> withdrawn;
    std::map<base::ModelId, int> inUse;
    bool duplicateLoad = false;
    bool unloadedInUse = false;

private:
    int countLoading(const base::ModelId& model) const
    {
        return static_cast<int>(std::count_if(m_loading.begin(), m_loading.end(), [&](const auto& entry) { return entry.second == model; }));
    }

    ResidencySettings m_settings;
    int m_process = 0;
    std::map<OrderId, base::ModelId> m_loading;
};

Delivery randomDelivery()
{
    auto delay = [] { return base::Duration(std::chrono::milliseconds(*rc::gen::inRange<int64_t>(0, 10000))); };
    Delivery delivery;
    switch (*rc::gen::weightedElement<int>({ { 6, 0 }, { 2, 1 }, { 1, 2 } })) {
    case 0:
        delivery.firstDelay = 10ms;
        break;
    case 1:
        delivery.firstDelay = delay();
        break;
    default:
        break;
    }
    if (*rc::gen::weightedElement<bool>({ { 6, false }, { 1, true } }))
        delivery.duplicateDelay = delay();
    delivery.indexDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
    delivery.answerLost = *rc::gen::weightedElement<bool>({ { 5, false }, { 1, true } });
    return delivery;
}

// Random history of requests, lost orders, engine crashes and sidecar restarts; checks all invariants after each step.
void checkHistory(ResidencySettings settings, bool engineFences)
{
    SidecarHarness harness(settings, engineFences);
    auto models = testModels();
    int64_t lastRequest = 0;
    std::map<base::ModelId, std::vector<base::RequestId>> waiting;
    auto steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
        const auto model = models[*rc::gen::inRange<size_t>(0, models.size())].model;
        auto& manager = *harness.manager;
        switch (*rc::gen::weightedElement<int>({ { 8, 0 }, { 4, 1 }, { 5, 2 }, { 5, 3 }, { 2, 4 }, { 1, 5 }, { 1, 6 }, { 2, 7 } })) {
        case 0:
            waiting[model].emplace_back(base::concat(++lastRequest));
            manager.addWaiter(model, waiting[model].back(), harness.now + 30s, harness.now);
            break;
        case 1:
            for (const auto& request : waiting[model])
                manager.removeWaiter(model, request, harness.now);
            waiting[model].clear();
            break;
        case 2:
            if (manager.beginUse(model, harness.now))
                ++harness.inUse[model];
            break;
        case 3:
            if (harness.inUse[model] > 0) {
                --harness.inUse[model];
                manager.endUse(model, harness.now);
            }
            break;
        case 4:
            if (harness.rows.count(model)) {
                manager.withdrawRow(model);
                harness.withdrawn.insert(model);
            } else {
                harness.rows.insert(model);
                manager.grantRow(model, base::Epoch(2));
            }
            break;
        case 5:
            harness.crashEngine();
            break;
        case 6:
            harness.inUse.clear();
            harness.withdrawn.clear();
            waiting.clear();
            harness.start();
            break;
        default:
            break;
        }
        harness.step(std::chrono::milliseconds(*rc::gen::inRange(10, 2500)), randomDelivery);
        RC_ASSERT(!harness.engine.overcommitted);
        RC_ASSERT(!harness.duplicateLoad);
        RC_ASSERT(!harness.unloadedInUse);
        RC_ASSERT(!harness.loadedWithoutRow());
        RC_ASSERT(harness.manager->predecessorOrdersMayApply() || harness.engine.used() <= harness.manager->reservedMemory());
    }
}

const toucanstep::testing::PropertyOptions manyHistories { .seed = 11, .maxSuccess = 2000, .maxSize = 100 };

} // namespace

TEST_GROUP(ResidencyManager)
{
    const base::ModelId a { "a" };
    const base::ModelId b { "b" };
    const base::ModelId c { "c" };
    const base::ModelId d { "d" };
    const base::ModelId adapter { "a-x" };
};

TEST(ResidencyManager, NoHistoryOvercommitsAnEngineThatHonoursFencing)
{
    CHECK_PROPERTY_WITH(manyHistories, [] { checkHistory(settingsFor(true), true); });
}

TEST(ResidencyManager, NoHistoryOvercommitsAnEngineThatIgnoresFencing)
{
    CHECK_PROPERTY_WITH(manyHistories, [] { checkHistory(settingsFor(false), false); });
}

TEST(ResidencyManager, HistoryCheckDetectsRelianceOnMissingFencing)
{
    CHECK_FALSE(toucanstep::testing::counterexample(manyHistories, [] { checkHistory(settingsFor(true), false); }).empty());
}

TEST(ResidencyManager, HistoryCheckDetectsMemoryFreedOnTheFirstIndex)
{
    auto withoutHorizon = settingsFor(false);
    withoutHorizon.lateOrderHorizon = 0s;
    CHECK_FALSE(toucanstep::testing::counterexample(manyHistories, [&] { checkHistory(withoutHorizon, false); }).empty());
}

TEST(ResidencyManager, ManyWaitersCauseOneLoad)
{
    // Fifty callers at three gateways request a cold model within a second. The fault: each gateway
    // ordered its own load.
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    for (int index = 0; index < 50; ++index)
        harness.manager->addWaiter(a, base::RequestId(base::concat(index)), harness.now + 30s, harness.now);
    harness.runFor(100ms);
    CHECK_TRUE(harness.manager->state(a) == ResidencyState::Loading);
    CHECK_TRUE(*harness.manager->expectedLoadEnd(a, harness.now) == harness.now + 2s);
    harness.runFor(3s);
    CHECK_TRUE(harness.manager->usable(a));
    CHECK_EQUAL(1, harness.engine.loadsBegun);
}

TEST(ResidencyManager, ALoadOfACrashedSidecarIsTakenOverByItsSuccessor)
{
    // The sidecar is killed while the engine loads a model. The fault: its successor saw free memory and loaded a second
    // model, and the engine ran out of memory when the first load ended.
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 30s, harness.now);
    harness.runFor(500ms);
    harness.start();
    harness.manager->addWaiter(b, base::RequestId("2"), harness.now + 30s, harness.now);
    harness.runFor(500ms);
    CHECK_TRUE(harness.manager->state(a) == ResidencyState::Loading);
    CHECK_TRUE(harness.manager->state(b) != ResidencyState::Loading);
    harness.runFor(10s);
    CHECK_TRUE(harness.manager->usable(b));
    CHECK_FALSE(harness.engine.overcommitted);
}

TEST(ResidencyManager, ATimedOutLoadKeepsItsMemoryUntilItCanNoLongerTakeEffect)
{
    // A load order times out. The fault: the index does not show the model, the sidecar frees its memory and loads another
    // model, and then the delayed first order takes effect.
    SidecarHarness harness(settingsFor(false), false);
    harness.runFor(horizon + 1s);
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 30s, harness.now);
    harness.step(100ms, [] { return Delivery { 9s, std::nullopt, false }; });
    harness.manager->removeWaiter(a, base::RequestId("1"), harness.now);
    harness.manager->addWaiter(b, base::RequestId("2"), harness.now + 60s, harness.now);
    harness.runFor(8s);
    CHECK_TRUE(harness.manager->state(a) == ResidencyState::Unknown);
    CHECK_TRUE(harness.manager->state(b) == ResidencyState::Assigned);
    harness.runFor(20s);
    CHECK_TRUE(harness.manager->usable(b));
    CHECK_FALSE(harness.engine.overcommitted);
}

TEST(ResidencyManager, AFenceSettlesAnOrderThatTimedOutWithoutWaiting)
{
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 30s, harness.now);
    harness.step(100ms, [] { return Delivery { 9s, std::nullopt, false }; });
    harness.manager->removeWaiter(a, base::RequestId("1"), harness.now);
    harness.manager->addWaiter(b, base::RequestId("2"), harness.now + 60s, harness.now);
    // The order times out after five seconds; raising the fence then guarantees that it has no effect.
    harness.runFor(9s);
    CHECK_TRUE(harness.manager->usable(b));
    harness.runFor(5s);
    CHECK_FALSE(harness.engine.isResident(a));
}

TEST(ResidencyManager, AnEngineThatIgnoresFencingGetsNoLoadWhileAPredecessorsOrderMayTakeEffect)
{
    // A sidecar is killed just after sending a load order. The engine ignores fencing, the order is still in flight, and the
    // successor's first index shows an empty engine.
    SidecarHarness harness(settingsFor(false), false);
    harness.runFor(horizon + 1s);
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 30s, harness.now);
    harness.step(100ms, [] { return Delivery { 9s, std::nullopt, false }; });
    harness.start();
    harness.manager->addWaiter(b, base::RequestId("2"), harness.now + 60s, harness.now);
    CHECK_TRUE(*harness.manager->expectedLoadEnd(b, harness.now) == harness.now + horizon + 3s);
    harness.runFor(9500ms);
    CHECK_TRUE(harness.manager->state(a) == ResidencyState::Loading);
    CHECK_TRUE(harness.manager->state(b) == ResidencyState::Assigned);
    harness.runFor(30s);
    CHECK_TRUE(harness.manager->usable(b));
    CHECK_FALSE(harness.engine.overcommitted);
}

TEST(ResidencyManager, AnEnginesCrashFreesMemoryOnlyAfterALaterIndex)
{
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 60s, harness.now);
    harness.runFor(5s);
    CHECK_TRUE(harness.manager->usable(a));
    harness.crashEngine();
    CHECK_FALSE(harness.manager->usable(a));
    CHECK_EQUAL(60, harness.manager->reservedMemory().value());
    harness.runFor(10s);
    CHECK_TRUE(harness.manager->usable(a));
    CHECK_EQUAL(2, harness.engine.loadsBegun);
}

TEST(ResidencyManager, AnIndexFromBeforeACrashDoesNotMakeAModelUsable)
{
    // The index was read while the model was loaded and arrives after the engine crashed. The fault: requests were sent to an
    // empty engine.
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 60s, harness.now);
    harness.runFor(5s);
    auto read = harness.engine.index();
    read.readBegan = harness.now + 1ms;
    harness.manager->onUpstreamCrashed(harness.now + 2ms);
    harness.manager->onIndex(read, harness.now + 3ms);
    CHECK_FALSE(harness.manager->usable(a));
}

TEST(ResidencyManager, AResponseFromACrashedEngineDoesNotMakeAModelUsable)
{
    // The engine reports the model as loaded and crashes; the crash is detected before the response arrives.
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 60s, harness.now);
    auto orders = harness.manager->tick(harness.now, alwaysPermit);
    CHECK_TRUE(orders.at(0).kind == OrderKind::Load);
    harness.manager->onUpstreamCrashed(harness.now + 1ms);
    harness.manager->onOrderResult(orders.at(0).id, OrderOutcome::Done, harness.now + 2ms);
    CHECK_TRUE(harness.manager->state(a) == ResidencyState::Unknown);
}

TEST(ResidencyManager, AnIndexFromBeforeAnUnloadEndedDoesNotMakeAModelUsable)
{
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 60s, harness.now);
    harness.runFor(5s);
    auto read = harness.engine.index();
    read.readBegan = harness.now + 2ms;
    harness.manager->removeWaiter(a, base::RequestId("1"), harness.now);
    harness.manager->withdrawRow(a);
    auto orders = harness.manager->tick(harness.now + 1ms, alwaysPermit);
    CHECK_TRUE(orders.at(0).kind == OrderKind::Unload);
    harness.manager->onOrderResult(orders.at(0).id, OrderOutcome::Done, harness.now + 3ms);
    harness.manager->onIndex(read, harness.now + 4ms);
    CHECK_TRUE(harness.manager->state(a) == ResidencyState::Unloading);
}

TEST(ResidencyManager, ALoadWhoseCallersLeftIsCancelledBeforeItBegins)
{
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    auto never = [](const base::ModelId&, base::Instant) { return false; };
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 60s, harness.now);
    harness.manager->tick(harness.now, never);
    CHECK_TRUE(harness.manager->state(a) == ResidencyState::Reserved);
    harness.manager->removeWaiter(a, base::RequestId("1"), harness.now);
    harness.manager->tick(harness.now, never);
    CHECK_TRUE(harness.manager->state(a) == ResidencyState::Assigned);
    CHECK_EQUAL(0, harness.engine.loadsBegun);
}

TEST(ResidencyManager, AModelInUseIsNeverEvictedAndAnIdleOneMakesRoom)
{
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 60s, harness.now);
    harness.runFor(3s);
    CHECK_TRUE(harness.manager->beginUse(a, harness.now));
    harness.manager->removeWaiter(a, base::RequestId("1"), harness.now);
    harness.manager->addWaiter(b, base::RequestId("2"), harness.now + 60s, harness.now);
    harness.runFor(30s);
    CHECK_TRUE(harness.manager->usable(a));
    CHECK_FALSE(harness.manager->usable(b));
    harness.manager->endUse(a, harness.now);
    harness.runFor(5s);
    CHECK_TRUE(harness.manager->usable(b));
    CHECK_FALSE(harness.engine.isResident(a));
}

TEST(ResidencyManager, APeriodicallyRequestedModelIsPreloadedAndUnloadedIfNoRequestFollows)
{
    // A model is requested every ten minutes. Kept loaded, it idles for ten minutes; unloaded, each caller waits for a load.
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    for (int request = 0; request < 4; ++request) {
        harness.manager->addWaiter(c, base::RequestId(base::concat(request)), harness.now + 60s, harness.now);
        harness.runFor(1500ms);
        CHECK_TRUE(harness.manager->beginUse(c, harness.now));
        harness.manager->removeWaiter(c, base::RequestId(base::concat(request)), harness.now);
        harness.manager->endUse(c, harness.now);
        harness.runFor(590s);
        CHECK_FALSE(harness.engine.isResident(c));
        harness.runFor(9500ms);
    }
    CHECK_TRUE(harness.manager->usable(c));
    harness.runFor(600s);
    CHECK_FALSE(harness.engine.isResident(c));
}

TEST(ResidencyManager, MemoryBeingFreedForOneModelIsNotGivenToALaterOne)
{
    // A large model waits for an idle one to be unloaded. The fault: small models requested later took the free memory each
    // time, and the large model's callers timed out.
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 60s, harness.now);
    harness.runFor(3s);
    harness.manager->removeWaiter(a, base::RequestId("1"), harness.now);
    harness.manager->addWaiter(d, base::RequestId("2"), harness.now + 20s, harness.now);
    harness.manager->addWaiter(c, base::RequestId("3"), harness.now + 60s, harness.now);
    harness.runFor(100ms);
    CHECK_TRUE(harness.manager->state(c) == ResidencyState::Assigned);
    harness.runFor(3s);
    CHECK_TRUE(harness.manager->usable(d));
}

TEST(ResidencyManager, AnAdapterLoadsItsBaseModelAndIsUnloadedBeforeIt)
{
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    harness.manager->addWaiter(adapter, base::RequestId("1"), harness.now + 60s, harness.now);
    CHECK_TRUE(*harness.manager->expectedLoadEnd(adapter, harness.now) == harness.now + 2500ms);
    harness.runFor(4s);
    CHECK_TRUE(harness.manager->usable(adapter));
    CHECK_TRUE(harness.manager->usable(a));
    harness.manager->removeWaiter(adapter, base::RequestId("1"), harness.now);
    harness.manager->addWaiter(b, base::RequestId("2"), harness.now + 60s, harness.now);
    harness.runFor(6s);
    CHECK_TRUE(harness.manager->usable(b));
    CHECK_FALSE(harness.engine.isResident(a) || harness.engine.isResident(adapter));
}

TEST(ResidencyManager, AModelWithoutARowIsUnloadedAndNotLoaded)
{
    SidecarHarness harness(settingsFor(true), true);
    harness.runFor(1s);
    harness.manager->addWaiter(a, base::RequestId("1"), harness.now + 60s, harness.now);
    harness.runFor(4s);
    harness.manager->withdrawRow(a);
    harness.withdrawn.insert(a);
    CHECK_FALSE(harness.manager->mayRelease(a));
    harness.runFor(20s);
    CHECK_FALSE(harness.engine.isResident(a));
    CHECK_EQUAL(0, harness.rows.count(a));
    CHECK_FALSE(harness.manager->expectedLoadEnd(a, harness.now).has_value());
    CHECK_EQUAL(1, harness.engine.loadsBegun);
}
