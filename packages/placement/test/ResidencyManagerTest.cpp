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

std::vector<ModelSpec> someModels()
{
    return { { base::ModelId("a"), base::Bytes(60), 2s, std::nullopt }, { base::ModelId("b"), base::Bytes(50), 3s, std::nullopt },
        { base::ModelId("c"), base::Bytes(30), 1s, std::nullopt }, { base::ModelId("d"), base::Bytes(90), 1s, std::nullopt }, { base::ModelId("a-x"), base::Bytes(10), 500ms, base::ModelId("a") } };
}

ResidencySettings settingsFor(bool fencing)
{
    return { .capacity = capacity, .fencing = fencing, .lateOrderHorizon = horizon, .orderTimeout = 1s };
}

bool always(const base::ModelId&, base::Instant) { return true; }

// One sidecar process after another before one engine.
class Host {
public:
    explicit Host(ResidencySettings settings, bool engineFences)
        : engine(capacity, engineFences)
        , m_settings(settings)
    {
        for (const auto& spec : someModels())
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
        for (const auto& spec : someModels())
            rows.insert(spec.model);
        start();
    }

    // The present process dies with its orders on their way, and another takes its place.
    void start()
    {
        ++m_process;
        m_loading.clear();
        manager = std::make_unique<ResidencyManager>(m_settings, makeLearntKeepAlive({ .gapsBeforeTrust = 2, .maximumRelativeDeviation = 0.8 }), base::Epoch(m_process), now);
        manager->setModelSpecs(someModels());
        for (const auto& model : rows)
            manager->grantRow(model, base::Epoch(1));
    }

    void crashEngine()
    {
        engine.crash();
        manager->onUpstreamCrashed(now);
    }

    void step(base::Duration duration, const std::function<Fate()>& nextFate)
    {
        now += duration;
        engine.advance(now);
        for (const auto& order : manager->tick(now, always)) {
            if (order.kind == OrderKind::Load)
                doubled = doubled || !m_loading.emplace(order.id, order.model).second || countLoading(order.model) > 1;
            if (order.kind == OrderKind::Unload)
                unloadedInUse = unloadedInUse || inUse[order.model] > 0;
            engine.give(m_process, order, nextFate(), now);
        }
        for (const auto& spec : someModels())
            releaseIfPossible(spec.model);
    }

    // Steps on until the model can be used or the time is over.
    void settle(base::Duration duration)
    {
        for (base::Duration passed {}; passed < duration; passed += 100ms)
            step(100ms, [] { return Fate { 0s, std::nullopt, false }; });
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
    bool doubled = false;
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

Fate randomFate()
{
    auto delay = [] { return base::Duration(std::chrono::milliseconds(*rc::gen::inRange<int64_t>(0, 10000))); };
    Fate fate;
    switch (*rc::gen::weightedElement<int>({ { 6, 0 }, { 2, 1 }, { 1, 2 } })) {
    case 0:
        fate.lands = 10ms;
        break;
    case 1:
        fate.lands = delay();
        break;
    default:
        break;
    }
    if (*rc::gen::weightedElement<bool>({ { 6, false }, { 1, true } }))
        fate.duplicateLands = delay();
    fate.indexDelay = std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
    fate.answerLost = *rc::gen::weightedElement<bool>({ { 5, false }, { 1, true } });
    return fate;
}

// A history of requests, losses, crashes of the engine and deaths of the sidecar; checks every bound after each step.
void checkHistory(ResidencySettings settings, bool engineFences)
{
    Host host(settings, engineFences);
    auto models = someModels();
    int64_t lastRequest = 0;
    std::map<base::ModelId, std::vector<base::RequestId>> waiting;
    auto steps = *rc::gen::inRange(1, 120);
    for (int step = 0; step < steps; ++step) {
        const auto model = models[*rc::gen::inRange<size_t>(0, models.size())].model;
        auto& manager = *host.manager;
        switch (*rc::gen::weightedElement<int>({ { 8, 0 }, { 4, 1 }, { 5, 2 }, { 5, 3 }, { 2, 4 }, { 1, 5 }, { 1, 6 }, { 2, 7 } })) {
        case 0:
            waiting[model].emplace_back(base::concat(++lastRequest));
            manager.addWaiter(model, waiting[model].back(), host.now + 30s, host.now);
            break;
        case 1:
            for (const auto& request : waiting[model])
                manager.removeWaiter(model, request, host.now);
            waiting[model].clear();
            break;
        case 2:
            if (manager.beginUse(model, host.now))
                ++host.inUse[model];
            break;
        case 3:
            if (host.inUse[model] > 0) {
                --host.inUse[model];
                manager.endUse(model, host.now);
            }
            break;
        case 4:
            if (host.rows.count(model)) {
                manager.withdrawRow(model);
                host.withdrawn.insert(model);
            } else {
                host.rows.insert(model);
                manager.grantRow(model, base::Epoch(2));
            }
            break;
        case 5:
            host.crashEngine();
            break;
        case 6:
            host.inUse.clear();
            host.withdrawn.clear();
            waiting.clear();
            host.start();
            break;
        default:
            break;
        }
        host.step(std::chrono::milliseconds(*rc::gen::inRange(10, 2500)), randomFate);
        RC_ASSERT(!host.engine.overcommitted);
        RC_ASSERT(!host.doubled);
        RC_ASSERT(!host.unloadedInUse);
        RC_ASSERT(!host.loadedWithoutRow());
        RC_ASSERT(host.manager->predecessorMayAct() || host.engine.used() <= host.manager->reservedMemory());
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

TEST(ResidencyManager, TheCheckOfHistoriesRejectsTrustInFencingThatIsNotThere)
{
    CHECK_FALSE(toucanstep::testing::counterexample(manyHistories, [] { checkHistory(settingsFor(true), false); }).empty());
}

TEST(ResidencyManager, TheCheckOfHistoriesRejectsFreeingMemoryOnTheFirstIndex)
{
    auto hasty = settingsFor(false);
    hasty.lateOrderHorizon = 0s;
    CHECK_FALSE(toucanstep::testing::counterexample(manyHistories, [&] { checkHistory(hasty, false); }).empty());
}

TEST(ResidencyManager, ManyWaitersMakeOneLoad)
{
    // A cold model is asked for by fifty callers at three gateways within a second; each gateway ordered a load.
    Host host(settingsFor(true), true);
    host.settle(1s);
    for (int index = 0; index < 50; ++index)
        host.manager->addWaiter(a, base::RequestId(base::concat(index)), host.now + 30s, host.now);
    host.settle(100ms);
    CHECK_TRUE(host.manager->state(a) == ResidencyState::Loading);
    CHECK_TRUE(*host.manager->expectedLoadEnd(a, host.now) == host.now + 2s);
    host.settle(3s);
    CHECK_TRUE(host.manager->usable(a));
    CHECK_EQUAL(1, host.engine.loadsBegun);
}

TEST(ResidencyManager, ASidecarThatDiesInMidLoadLeavesALoadThatItsSuccessorTakesOver)
{
    // The sidecar is killed while the engine loads a model. Its successor saw free memory, loaded a second model into it,
    // and the engine ran out of memory once the first load ended.
    Host host(settingsFor(true), true);
    host.settle(1s);
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 30s, host.now);
    host.settle(500ms);
    host.start();
    host.manager->addWaiter(b, base::RequestId("2"), host.now + 30s, host.now);
    host.settle(500ms);
    CHECK_TRUE(host.manager->state(a) == ResidencyState::Loading);
    CHECK_TRUE(host.manager->state(b) != ResidencyState::Loading);
    host.settle(10s);
    CHECK_TRUE(host.manager->usable(b));
    CHECK_FALSE(host.engine.overcommitted);
}

TEST(ResidencyManager, AnOrderThatTimedOutKeepsItsMemoryUntilItCanLandNoLonger)
{
    // An order to load gets no answer. The index shows nothing, the sidecar frees the memory and loads another model;
    // then the first order arrives after all.
    Host host(settingsFor(false), false);
    host.settle(horizon + 1s);
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 30s, host.now);
    host.step(100ms, [] { return Fate { 9s, std::nullopt, false }; });
    host.manager->removeWaiter(a, base::RequestId("1"), host.now);
    host.manager->addWaiter(b, base::RequestId("2"), host.now + 60s, host.now);
    host.settle(8s);
    CHECK_TRUE(host.manager->state(a) == ResidencyState::Unknown);
    CHECK_TRUE(host.manager->state(b) == ResidencyState::Assigned);
    host.settle(20s);
    CHECK_TRUE(host.manager->usable(b));
    CHECK_FALSE(host.engine.overcommitted);
}

TEST(ResidencyManager, AFenceSettlesAnOrderThatTimedOutWithoutWaiting)
{
    Host host(settingsFor(true), true);
    host.settle(1s);
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 30s, host.now);
    host.step(100ms, [] { return Fate { 9s, std::nullopt, false }; });
    host.manager->removeWaiter(a, base::RequestId("1"), host.now);
    host.manager->addWaiter(b, base::RequestId("2"), host.now + 60s, host.now);
    // The order's own time limit is five seconds; the engine's new fence then proves that it has no effect.
    host.settle(9s);
    CHECK_TRUE(host.manager->usable(b));
    host.settle(5s);
    CHECK_FALSE(host.engine.isResident(a));
}

TEST(ResidencyManager, AnEngineThatIgnoresFencingGetsNoLoadWhileAPredecessorsOrderMayLand)
{
    // A sidecar is killed just after it sent an order to load. The engine ignores fencing, the order is still on its way,
    // and the successor's first index shows an empty engine.
    Host host(settingsFor(false), false);
    host.settle(horizon + 1s);
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 30s, host.now);
    host.step(100ms, [] { return Fate { 9s, std::nullopt, false }; });
    host.start();
    host.manager->addWaiter(b, base::RequestId("2"), host.now + 60s, host.now);
    CHECK_TRUE(*host.manager->expectedLoadEnd(b, host.now) == host.now + horizon + 3s);
    host.settle(9500ms);
    CHECK_TRUE(host.manager->state(a) == ResidencyState::Loading);
    CHECK_TRUE(host.manager->state(b) == ResidencyState::Assigned);
    host.settle(30s);
    CHECK_TRUE(host.manager->usable(b));
    CHECK_FALSE(host.engine.overcommitted);
}

TEST(ResidencyManager, AnEnginesCrashFreesMemoryOnlyAfterALaterIndex)
{
    Host host(settingsFor(true), true);
    host.settle(1s);
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 60s, host.now);
    host.settle(5s);
    CHECK_TRUE(host.manager->usable(a));
    host.crashEngine();
    CHECK_FALSE(host.manager->usable(a));
    CHECK_EQUAL(60, host.manager->reservedMemory().value());
    host.settle(10s);
    CHECK_TRUE(host.manager->usable(a));
    CHECK_EQUAL(2, host.engine.loadsBegun);
}

TEST(ResidencyManager, AnIndexFromBeforeACrashDoesNotMakeAModelUsable)
{
    // The index was read while the model was loaded, and arrives after the engine died: requests went to an empty engine.
    Host host(settingsFor(true), true);
    host.settle(1s);
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 60s, host.now);
    host.settle(5s);
    auto read = host.engine.index();
    read.readBegan = host.now + 1ms;
    host.manager->onUpstreamCrashed(host.now + 2ms);
    host.manager->onIndex(read, host.now + 3ms);
    CHECK_FALSE(host.manager->usable(a));
}

TEST(ResidencyManager, AnAnswerOfAnEngineThatDiedSinceDoesNotMakeAModelUsable)
{
    // The engine answers that the model is loaded and dies; the crash is noticed first, the answer arrives after it.
    Host host(settingsFor(true), true);
    host.settle(1s);
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 60s, host.now);
    auto orders = host.manager->tick(host.now, always);
    CHECK_TRUE(orders.at(0).kind == OrderKind::Load);
    host.manager->onUpstreamCrashed(host.now + 1ms);
    host.manager->onOrderResult(orders.at(0).id, OrderOutcome::Done, host.now + 2ms);
    CHECK_TRUE(host.manager->state(a) == ResidencyState::Unknown);
}

TEST(ResidencyManager, AnIndexFromBeforeAnUnloadEndedDoesNotMakeAModelUsable)
{
    Host host(settingsFor(true), true);
    host.settle(1s);
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 60s, host.now);
    host.settle(5s);
    auto read = host.engine.index();
    read.readBegan = host.now + 2ms;
    host.manager->removeWaiter(a, base::RequestId("1"), host.now);
    host.manager->withdrawRow(a);
    auto orders = host.manager->tick(host.now + 1ms, always);
    CHECK_TRUE(orders.at(0).kind == OrderKind::Unload);
    host.manager->onOrderResult(orders.at(0).id, OrderOutcome::Done, host.now + 3ms);
    host.manager->onIndex(read, host.now + 4ms);
    CHECK_TRUE(host.manager->state(a) == ResidencyState::Unloading);
}

TEST(ResidencyManager, ALoadWhoseCallersLeftIsCancelledBeforeItBegins)
{
    Host host(settingsFor(true), true);
    host.settle(1s);
    auto never = [](const base::ModelId&, base::Instant) { return false; };
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 60s, host.now);
    host.manager->tick(host.now, never);
    CHECK_TRUE(host.manager->state(a) == ResidencyState::Reserved);
    host.manager->removeWaiter(a, base::RequestId("1"), host.now);
    host.manager->tick(host.now, never);
    CHECK_TRUE(host.manager->state(a) == ResidencyState::Assigned);
    CHECK_EQUAL(0, host.engine.loadsBegun);
}

TEST(ResidencyManager, AModelInUseIsNeverEvictedAndAnIdleOneMakesRoom)
{
    Host host(settingsFor(true), true);
    host.settle(1s);
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 60s, host.now);
    host.settle(3s);
    CHECK_TRUE(host.manager->beginUse(a, host.now));
    host.manager->removeWaiter(a, base::RequestId("1"), host.now);
    host.manager->addWaiter(b, base::RequestId("2"), host.now + 60s, host.now);
    host.settle(30s);
    CHECK_TRUE(host.manager->usable(a));
    CHECK_FALSE(host.manager->usable(b));
    host.manager->endUse(a, host.now);
    host.settle(5s);
    CHECK_TRUE(host.manager->usable(b));
    CHECK_FALSE(host.engine.isResident(a));
}

TEST(ResidencyManager, AModelOnATimerIsLoadedBeforeItsRequestAndUnloadedIfItStaysAway)
{
    // A forecast is asked for every ten minutes. Kept loaded it idles for ten minutes, unloaded each caller waits for a load.
    Host host(settingsFor(true), true);
    host.settle(1s);
    for (int request = 0; request < 4; ++request) {
        host.manager->addWaiter(c, base::RequestId(base::concat(request)), host.now + 60s, host.now);
        host.settle(1500ms);
        CHECK_TRUE(host.manager->beginUse(c, host.now));
        host.manager->removeWaiter(c, base::RequestId(base::concat(request)), host.now);
        host.manager->endUse(c, host.now);
        host.settle(590s);
        CHECK_FALSE(host.engine.isResident(c));
        host.settle(9500ms);
    }
    CHECK_TRUE(host.manager->usable(c));
    host.settle(600s);
    CHECK_FALSE(host.engine.isResident(c));
}

TEST(ResidencyManager, MemoryThatIsBeingFreedForOneIsNotTakenByALaterOne)
{
    // A large model waits for an idle one to be unloaded. Small ones that were asked for later took the free rest each
    // time, and the large one's callers gave up.
    Host host(settingsFor(true), true);
    host.settle(1s);
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 60s, host.now);
    host.settle(3s);
    host.manager->removeWaiter(a, base::RequestId("1"), host.now);
    host.manager->addWaiter(d, base::RequestId("2"), host.now + 20s, host.now);
    host.manager->addWaiter(c, base::RequestId("3"), host.now + 60s, host.now);
    host.settle(100ms);
    CHECK_TRUE(host.manager->state(c) == ResidencyState::Assigned);
    host.settle(3s);
    CHECK_TRUE(host.manager->usable(d));
}

TEST(ResidencyManager, AnAdapterBringsItsBaseModelAndLeavesBeforeIt)
{
    Host host(settingsFor(true), true);
    host.settle(1s);
    host.manager->addWaiter(adapter, base::RequestId("1"), host.now + 60s, host.now);
    CHECK_TRUE(*host.manager->expectedLoadEnd(adapter, host.now) == host.now + 2500ms);
    host.settle(4s);
    CHECK_TRUE(host.manager->usable(adapter));
    CHECK_TRUE(host.manager->usable(a));
    host.manager->removeWaiter(adapter, base::RequestId("1"), host.now);
    host.manager->addWaiter(b, base::RequestId("2"), host.now + 60s, host.now);
    host.settle(6s);
    CHECK_TRUE(host.manager->usable(b));
    CHECK_FALSE(host.engine.isResident(a) || host.engine.isResident(adapter));
}

TEST(ResidencyManager, AModelWithoutARowIsUnloadedAndNotLoaded)
{
    Host host(settingsFor(true), true);
    host.settle(1s);
    host.manager->addWaiter(a, base::RequestId("1"), host.now + 60s, host.now);
    host.settle(4s);
    host.manager->withdrawRow(a);
    host.withdrawn.insert(a);
    CHECK_FALSE(host.manager->mayRelease(a));
    host.settle(20s);
    CHECK_FALSE(host.engine.isResident(a));
    CHECK_EQUAL(0, host.rows.count(a));
    CHECK_FALSE(host.manager->expectedLoadEnd(a, host.now).has_value());
    CHECK_EQUAL(1, host.engine.loadsBegun);
}
