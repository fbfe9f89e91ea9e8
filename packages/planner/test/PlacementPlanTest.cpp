#include "toucanstep/planner/PlacementPlan.h"
#include "toucanstep/planner/StoreConcurrencyLimit.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace toucanstep;
using namespace toucanstep::planner;

namespace {

constexpr int64_t gigabyte = 1'000'000'000;
constexpr base::Instant start { std::chrono::hours(1) };

ModelTarget model(const std::string& name, const std::string& adapter = "") { return { base::ModelId(name), AdapterId(adapter) }; }

} // namespace

// Engines with memory for two models of 50 GB. Each test sets the loaded models and checks the planned orders.
TEST_GROUP(PlacementPlan)
{
    EngineTraits traits;
    PlacementInput input;
    PlacementPlanner planner { PlacementSettings {} };

    void setup() override
    {
        traits.memory = base::Bytes(100 * gigabyte);
        input.now = start;
        input.traits = &traits;
    }

    void addModel(const std::string& name, int64_t gigabytes = 50, int64_t adapters = 0)
    {
        ModelTraits added;
        added.id = base::ModelId(name);
        added.memory = base::Bytes(gigabytes * gigabyte);
        added.loadFromStore = std::chrono::seconds(6);
        added.loadFromMemory = std::chrono::milliseconds(400);
        added.loadFromDisk = std::chrono::milliseconds(600);
        added.adapters = adapters;
        added.adapterMemory = base::Bytes(adapters ? gigabyte / 10 : 0);
        traits.models.push_back(added);
        if (adapters)
            traits.adapterCapacity = 2;
    }

    PlannedEngine& addEngine(const std::string& id, std::initializer_list<const char*> loaded)
    {
        PlannedEngine engine;
        engine.id = base::UpstreamId(id);
        engine.slots = 8;
        for (const char* name : loaded)
            engine.loaded[base::ModelId(name)];
        input.engines.push_back(engine);
        return input.engines.back();
    }

    void wait(const ModelTarget& target, int64_t waiting = 1, int64_t running = 0) { input.demand.push_back({ target, waiting, running, 100 }); }

    // "load m at e" or "unload m at e", in planning order.
    std::vector<std::string> orders()
    {
        std::vector<std::string> texts;
        for (const auto& order : planner.plan(input).orders) {
            std::string target = order.target.model.value() + (order.target.adapter.empty() ? "" : "/" + order.target.adapter.value());
            texts.push_back((order.kind == OrderKind::Load ? "load " : "unload ") + target + " at " + order.upstream.value());
        }
        return texts;
    }
    void expectOrders(std::vector<std::string> expected)
    {
        auto given = orders();
        std::string got;
        for (const auto& order : given)
            got += order + "; ";
        CHECK_TRUE_TEXT(given == expected, got.c_str());
    }
};

TEST(PlacementPlan, LoadsUnloadedModelWhereItsWeightsAreCached)
{
    addModel("m");
    addEngine("free", {});
    addEngine("disk", {}).onDisk.insert(base::ModelId("m"));
    wait(model("m"));
    expectOrders({ "load m at disk" });
}

TEST(PlacementPlan, PrefersDiskWithEvictionToTheWeightStore)
{
    // Guards against a wait of six seconds instead of one: an engine with free memory loads the model from the weight store
    // although another, full of unused models, has it on its disk.
    addModel("m");
    addModel("idle");
    addModel("old");
    addEngine("free", {});
    addEngine("full", { "idle", "old" }).onDisk.insert(base::ModelId("m"));
    wait(model("m"));
    auto given = orders();
    LONGS_EQUAL(1, given.size());
    CHECK_TRUE(given[0].starts_with("unload") && given[0].ends_with("at full"));
}

TEST(PlacementPlan, FreedMemoryIsReservedForTheWaitingModel)
{
    // Guards against loading the evicted model again before the one that callers wait for.
    addModel("m");
    addModel("idle");
    addModel("old", 50);
    addEngine("full", { "idle", "old" }).onDisk = { base::ModelId("m"), base::ModelId("idle"), base::ModelId("old") };
    wait(model("m"));
    std::string victim = orders().at(0).substr(7, orders().at(0).find(" at") - 7);
    input.engines[0].loaded.erase(base::ModelId(victim));
    expectOrders({ "load m at full" });
}

// Guards against several evictions for one replica. An engine that is already evicting looks slightly slower than the next
// one, so seven engines in turn unloaded a model for the same replica. Calls for seven models were rejected, and the memory
// on six engines stayed empty for two seconds.
TEST(PlacementPlan, EvictsOnlyOnceForOneReplica)
{
    addModel("m");
    for (const char* id : { "one", "two", "three" }) {
        std::string held = std::string("held-") + id;
        addModel(held);
        addModel(held + "-too");
        PlannedEngine& engine = addEngine(id, {});
        engine.loaded[base::ModelId(held)];
        engine.loaded[base::ModelId(held + "-too")];
        engine.onDisk = { base::ModelId("m"), base::ModelId(held), base::ModelId(held + "-too") };
    }
    wait(model("m"));
    auto given = planner.plan(input).orders;
    LONGS_EQUAL(1, given.size());
    CHECK_TRUE(given[0].kind == OrderKind::Unload);
    PlannedEngine& first = *std::find_if(input.engines.begin(), input.engines.end(), [&](const auto& engine) { return engine.id == given[0].upstream; });
    first.running = RunningOrder { OrderKind::Unload, given[0].target.model, LoadSource::HostMemory, {}, input.now };
    input.now += std::chrono::milliseconds(100);
    expectOrders({});
    first.running.reset();
    first.loaded.erase(given[0].target.model);
    input.now += std::chrono::milliseconds(100);
    expectOrders({ "load m at " + first.id.value() });
}

TEST(PlacementPlan, ReleasesReservationsThatAreNoLongerNeeded)
{
    // Guards against a reservation that outlives its need: the callers leave before the memory is free, and other models
    // cannot use it for two seconds.
    addModel("m");
    addModel("idle");
    addModel("old");
    addModel("n");
    PlannedEngine& engine = addEngine("full", { "idle", "old" });
    engine.onDisk = { base::ModelId("m"), base::ModelId("n") };
    wait(model("m"));
    std::string victim = orders().at(0).substr(7, orders().at(0).find(" at") - 7);
    engine.loaded.erase(base::ModelId(victim));
    input.demand.clear();
    wait(model("n"));
    input.now += std::chrono::milliseconds(100);
    expectOrders({ "load n at full" });
}

TEST(PlacementPlan, DoesNotEvictModelsInUse)
{
    addModel("m");
    addModel("busy");
    addModel("also");
    addEngine("full", { "busy", "also" }).onDisk.insert(base::ModelId("m"));
    wait(model("m"));
    wait(model("busy"), 0, 1);
    wait(model("also"), 1, 0);
    expectOrders({});
}

TEST(PlacementPlan, EvictsLeastRecentlyUsedModelFirst)
{
    addModel("m");
    addModel("new");
    addModel("old");
    PlannedEngine& engine = addEngine("full", { "new", "old" });
    engine.onDisk.insert(base::ModelId("m"));
    wait(model("old"), 0, 1);
    orders();
    input.now += std::chrono::seconds(3);
    input.demand.clear();
    wait(model("new"), 0, 1);
    orders();
    input.now += std::chrono::seconds(3);
    input.demand.clear();
    wait(model("m"));
    expectOrders({ "unload old at full" });
}

TEST(PlacementPlan, OrdersNeverExceedMemory)
{
    addModel("m", 60);
    addModel("n", 60);
    addEngine("one", {});
    wait(model("m"));
    wait(model("n"));
    LONGS_EQUAL(1, orders().size());
    // A model that is being loaded occupies its memory.
    input.engines[0].running = RunningOrder { OrderKind::Load, base::ModelId("m"), LoadSource::WeightStore, std::chrono::seconds(6), start + std::chrono::seconds(6) };
    expectOrders({});
    input.engines[0].running.reset();
    input.engines[0].loaded[base::ModelId("m")];
    input.demand = { { model("n"), 1, 0, 100 }, { model("m"), 0, 1, 100 } };
    expectOrders({});
}

TEST(PlacementPlan, LimitsConcurrentLoadsFromTheWeightStore)
{
    for (int number = 0; number < 8; ++number) {
        addModel("m" + std::to_string(number));
        addEngine("e" + std::to_string(number), {});
        wait(model("m" + std::to_string(number)));
    }
    LONGS_EQUAL(4, orders().size());
}

TEST(PlacementPlan, LoadsModelsWithWaitingCallersBeforeIdleOnes)
{
    addModel("idle", 50);
    addModel("wanted", 50);
    addEngine("one", {});
    wait(model("wanted"));
    expectOrders({ "load wanted at one" });
}

TEST(PlacementPlan, BusyModelGetsAnotherReplica)
{
    addModel("m");
    addEngine("one", { "m" }).inFlight = 8;
    addEngine("two", {});
    wait(model("m"), 4, 8);
    expectOrders({ "load m at two" });
}

// Guards against long prefill queues that free slots hide. Demand moved to a model with one replica on an engine with 128
// slots: no call waited at a gateway, but prompts are processed sequentially, so first tokens were a second late for six
// seconds while other engines held unused models.
TEST(PlacementPlan, LongPrefillQueuesAddAReplicaInPlaceOfAnIdleModel)
{
    addModel("m");
    addModel("idle");
    addModel("old");
    addEngine("one", { "m" }).slots = 128;
    PlannedEngine& other = addEngine("two", { "idle", "old" });
    other.slots = 128;
    other.onDisk = { base::ModelId("m"), base::ModelId("idle"), base::ModelId("old") };
    input.demand.push_back({ model("m"), 0, 10, 8000, 500 });
    expectOrders({});
    input.demand.back().awaitingThousandths = 5000;
    auto given = orders();
    LONGS_EQUAL(1, given.size());
    CHECK_TRUE(given[0].starts_with("unload") && given[0].ends_with("at two"));
}

TEST(PlacementPlan, ReportsExpectedLoadTimes)
{
    addModel("m");
    addEngine("one", {}).onDisk.insert(base::ModelId("m"));
    wait(model("m"));
    Placement placement = planner.plan(input);
    LONGS_EQUAL(1, placement.expected.size());
    LONGS_EQUAL(600, base::toMilliseconds(placement.expected[0].in));
}

TEST(PlacementPlan, LoadsAdapterOnEngineThatHoldsItsModel)
{
    addModel("m", 50, 8);
    addEngine("other", {});
    addEngine("holder", { "m" });
    wait(model("m", "a1"));
    auto given = orders();
    CHECK_TRUE(std::find(given.begin(), given.end(), "load m/a1 at holder") != given.end());
}

// Guards against adapter orders that the engine rejects because it is executing a model order.
TEST(PlacementPlan, LoadsAdapterWhereNoModelOrderIsRunning)
{
    addModel("m", 50, 8);
    addModel("n");
    addEngine("one", { "m" }).running = RunningOrder { OrderKind::Load, base::ModelId("n"), LoadSource::WeightStore, std::chrono::seconds(6), start + std::chrono::seconds(6) };
    addEngine("two", { "m" }).inFlight = 5;
    wait(model("m", "a1"));
    expectOrders({ "load m/a1 at two" });
}

TEST(PlacementPlan, UnloadsAnUnusedAdapterAtFullCapacity)
{
    addModel("m", 50, 8);
    PlannedEngine& engine = addEngine("holder", { "m" });
    engine.loaded[base::ModelId("m")] = { AdapterId("a1"), AdapterId("a2") };
    wait(model("m", "a1"), 0, 1);
    wait(model("m", "a3"));
    expectOrders({ "unload m/a2 at holder" });
}

TEST(PlacementPlan, LoadsModelsOfADrainingEngineElsewhere)
{
    addModel("m");
    addEngine("leaving", { "m" }).draining = true;
    addEngine("two", {});
    wait(model("m"), 0, 1);
    expectOrders({ "load m at two" });
}

// Guards against calls that are refused for as long as the only engine with their model limits its calls.
TEST(PlacementPlan, LoadsModelsThatALimitedEngineCannotServeElsewhere)
{
    addModel("m");
    addModel("rare");
    addEngine("limited", { "m", "rare" }).callLimit = 1.0;
    addEngine("two", {});
    // A tenth of a call a second each.
    wait(model("m"), 0, 1);
    wait(model("rare"), 0, 1);
    expectOrders({});
    wait(model("m"), 3, 0);
    expectOrders({ "load m at two" });
}

// Guards against callers that wait for the end of a pause while another engine could have loaded their model in less time.
TEST(PlacementPlan, LoadsAModelElsewhereIfThatIsFasterThanThePauseOfItsEngine)
{
    addModel("m");
    PlannedEngine& paused = addEngine("paused", { "m" });
    paused.pausedUntil = input.now + std::chrono::milliseconds(100);
    addEngine("two", {});
    wait(model("m"), 0, 1);
    expectOrders({});
    wait(model("m"), 3, 0);
    expectOrders({});
    input.engines.front().pausedUntil = input.now + std::chrono::seconds(60);
    expectOrders({ "load m at two" });
}

// Guards against an overloaded engine that is given further models.
TEST(PlacementPlan, ALimitedEngineGetsNoModelWhileAnotherCanTakeIt)
{
    addModel("m");
    addEngine("limited", {}).callLimit = 1.0;
    addEngine("two", {});
    wait(model("m"));
    expectOrders({ "load m at two" });
    input.engines.pop_back();
    PlacementPlanner alone { PlacementSettings {} };
    CHECK_FALSE(alone.plan(input).orders.empty());
}

TEST(PlacementPlan, DoesNotWaitForAnEngineWithAnUnknownOrder)
{
    // Guards against waiting for an engine whose order is unknown after a change of planners: its free memory made it the
    // best candidate, and calls for a busy model were rejected while other engines could have loaded it at once.
    addModel("m");
    addModel("idle");
    addModel("old");
    addEngine("one", { "m" }).inFlight = 8;
    PlannedEngine& unknown = addEngine("unknown", {});
    unknown.blocked = true;
    unknown.runsUnknownOrder = true;
    addEngine("full", { "idle", "old" });
    wait(model("m"), 5, 8);
    auto given = orders();
    LONGS_EQUAL(1, given.size());
    CHECK_TRUE(given[0].ends_with("at full"));
}

TEST(PlacementPlan, ReservesTheWeightStoreForUrgentRequests)
{
    addModel("wanted");
    addModel("absent");
    addEngine("one", {});
    addEngine("two", {});
    wait(model("wanted"));
    LONGS_EQUAL(1, orders().size());
}

TEST(PlacementPlan, DoesNotUnloadAnAdapterTwice)
{
    // Guards against repeated unload orders for an adapter that a call still uses: one engine got eight of them, after which
    // its order count was wrong.
    addModel("m", 50, 8);
    PlannedEngine& engine = addEngine("holder", { "m" });
    engine.loaded[base::ModelId("m")] = { AdapterId("a1"), AdapterId("a2") };
    engine.adaptersUnloading = { model("m", "a2") };
    wait(model("m", "a1"), 0, 1);
    wait(model("m", "a3"));
    expectOrders({});
}

// Guards against one replica at a time for a model whose demand rises. Memory was freed for one replica, and until that one
// was loaded no other engine was considered: three copies on disks took five seconds in place of one and a half.
TEST(PlacementPlan, ARisingModelGetsAllItsReplicasTogether)
{
    addModel("m");
    addEngine("first", { "m" }).inFlight = 8;
    for (const char* id : { "one", "two", "three" }) {
        std::string held = std::string("held-") + id;
        addModel(held);
        addModel(held + "-too");
        PlannedEngine& engine = addEngine(id, {});
        engine.loaded[base::ModelId(held)];
        engine.loaded[base::ModelId(held + "-too")];
        engine.onDisk = { base::ModelId("m"), base::ModelId(held), base::ModelId(held + "-too") };
    }
    wait(model("m"), 20, 8);
    auto given = planner.plan(input).orders;
    LONGS_EQUAL(3, given.size());
    for (const auto& order : given)
        CHECK_TRUE(order.kind == OrderKind::Unload);
    // All unloads run: no engine is asked twice, and none but these.
    for (auto& engine : input.engines) {
        auto order = std::find_if(given.begin(), given.end(), [&](const PlannedOrder& sent) { return sent.upstream == engine.id; });
        if (order != given.end())
            engine.running = RunningOrder { OrderKind::Unload, order->target.model, LoadSource::HostMemory, {}, input.now };
    }
    input.now += std::chrono::milliseconds(100);
    expectOrders({});
}

// Guards against giving the freed memory to another model because calls that were running delayed the unload.
TEST(PlacementPlan, AReservationOutlivesASlowUnload)
{
    addModel("m");
    addModel("n");
    addModel("idle");
    addModel("old");
    PlannedEngine& engine = addEngine("full", { "idle", "old" });
    engine.onDisk = { base::ModelId("m"), base::ModelId("n") };
    wait(model("m"));
    auto given = planner.plan(input).orders;
    LONGS_EQUAL(1, given.size());
    engine.running = RunningOrder { OrderKind::Unload, given[0].target.model, LoadSource::HostMemory, {}, input.now };
    wait(model("n"), 2);
    for (int pass = 0; pass < 30; ++pass) {
        input.now += std::chrono::milliseconds(100);
        expectOrders({});
    }
    engine.running.reset();
    engine.loaded.erase(given[0].target.model);
    expectOrders({ "load m at full" });
}

// Guards against a model that is loaded nowhere because the engine that was to make room for it does not answer any more.
TEST(PlacementPlan, AnEngineThatDoesNotEndItsUnloadLosesTheReservation)
{
    addModel("m");
    addModel("idle");
    addModel("old");
    addEngine("silent", { "idle", "old" }).onDisk = { base::ModelId("m") };
    wait(model("m"));
    auto given = planner.plan(input).orders;
    LONGS_EQUAL(1, given.size());
    input.engines[0].running = RunningOrder { OrderKind::Unload, given[0].target.model, LoadSource::HostMemory, {}, input.now };
    addEngine("free", {}).onDisk = { base::ModelId("m") };
    expectOrders({});
    input.now += std::chrono::seconds(6);
    expectOrders({ "load m at free" });
}

// Guards against evicting a replica whose calls run for seconds while another engine holds a model that nobody uses. The
// waiting callers of the new model were served three seconds later.
TEST(PlacementPlan, PrefersAnIdleVictimToASurplusReplicaWithRunningCalls)
{
    addModel("m");
    addModel("busy");
    addModel("idle");
    addModel("other");
    addEngine("surplus", { "busy", "other" }).onDisk = { base::ModelId("m") };
    addEngine("quiet", { "idle", "other" }).onDisk = { base::ModelId("m") };
    addEngine("second", { "busy", "other" });
    input.demand.push_back({ model("busy"), 0, 4, 3000 });
    input.demand.push_back({ model("other"), 0, 6, 3000 });
    wait(model("m"));
    expectOrders({ "unload idle at quiet" });
}

// Guards against evicting a replica in a short trough of its demand and loading it again at the next peak.
TEST(PlacementPlan, AReplicaIsSurplusOnlyAfterItsDemandHasStayedLow)
{
    addModel("m");
    addModel("busy");
    addModel("also");
    addEngine("one", { "busy", "also" }).inFlight = 8;
    addEngine("two", { "busy", "also" }).onDisk = { base::ModelId("m") };
    input.demand = { { model("busy"), 0, 8, 3000 }, { model("also"), 0, 8, 3000 } };
    expectOrders({});
    input.now += std::chrono::seconds(1);
    input.demand = { { model("busy"), 0, 2, 3000 }, { model("also"), 0, 8, 3000 }, { model("m"), 1, 0, 100 } };
    expectOrders({});
    input.now += std::chrono::seconds(3);
    expectOrders({ "unload busy at two" });
}

// Guards against loads from the weight store for models that engines hold which are not listed yet. A planner that started
// with the fleet spent the store's first eight seconds on four of them.
TEST(PlacementPlan, WhileAFleetIsBeingListedNothingIsLoadedFromTheStoreWithoutDemand)
{
    addModel("m");
    addEngine("one", {});
    expectOrders({});
    input.now += std::chrono::seconds(1);
    addEngine("two", {});
    expectOrders({});
    input.now += std::chrono::milliseconds(1500);
    expectOrders({});
    input.now += std::chrono::seconds(1);
    expectOrders({ "load m at one" });
}

// Guards against loads without waiting callers that occupy the weight store when the first caller comes.
TEST(PlacementPlan, LoadsWithoutWaitingCallersLeaveOneStoreLoadFree)
{
    for (int number = 0; number < 4; ++number) {
        addModel("m" + std::to_string(number));
        addEngine("e" + std::to_string(number), {});
    }
    input.maxStoreLoads = 2;
    expectOrders({});
    input.now += std::chrono::seconds(3);
    LONGS_EQUAL(1, orders().size());
}

// Guards against loads from the weight store for a queue that lasts a moment: such loads, eight seconds each, delayed those of
// models without any replica.
TEST(PlacementPlan, AMomentaryQueueIsNoReasonForALoadFromTheStore)
{
    addModel("m");
    addEngine("one", { "m" }).inFlight = 5;
    addEngine("two", {});
    wait(model("m"), 1, 5);
    expectOrders({});
    input.engines[1].onDisk.insert(base::ModelId("m"));
    expectOrders({ "load m at two" });
    input.engines[1].onDisk.clear();
    input.demand = { { model("m"), 3, 8, 100 } };
    expectOrders({ "load m at two" });
}

TEST_GROUP(StoreConcurrencyLimit) {};

TEST(StoreConcurrencyLimit, SlowLoadsLowerTheLimit)
{
    // Above the store's capacity additional concurrent loads only make all of them end later.
    StoreConcurrencyLimit storeLimit;
    size_t first = storeLimit.maxConcurrentLoads();
    storeLimit.onLoadEnded(std::chrono::seconds(6), std::chrono::seconds(12), static_cast<double>(storeLimit.maxConcurrentLoads()));
    CHECK_TRUE(storeLimit.maxConcurrentLoads() < first);
    for (int load = 0; load < 20; ++load)
        storeLimit.onLoadEnded(std::chrono::seconds(6), std::chrono::seconds(12), static_cast<double>(storeLimit.maxConcurrentLoads()));
    LONGS_EQUAL(2, storeLimit.maxConcurrentLoads());
    for (int load = 0; load < 12; ++load)
        storeLimit.onLoadEnded(std::chrono::seconds(6), std::chrono::milliseconds(6200), static_cast<double>(storeLimit.maxConcurrentLoads()));
    LONGS_EQUAL(4, storeLimit.maxConcurrentLoads());
}

// Guards against learning the capacity of the store one slow load at a time, each twice as long as it need be.
TEST(StoreConcurrencyLimit, ASlowLoadShowsTheCapacity)
{
    StoreConcurrencyLimit storeLimit;
    storeLimit.adopt(8);
    storeLimit.onLoadEnded(std::chrono::seconds(6), std::chrono::seconds(12), 8);
    LONGS_EQUAL(4, storeLimit.maxConcurrentLoads());
}

TEST(StoreConcurrencyLimit, TheLimitRisesWithEachLoadAtFullSpeedUntilOneIsSlow)
{
    StoreConcurrencyLimit storeLimit;
    size_t first = storeLimit.maxConcurrentLoads();
    for (size_t load = 1; load <= 3; ++load) {
        storeLimit.onLoadEnded(std::chrono::seconds(6), std::chrono::seconds(6), static_cast<double>(storeLimit.maxConcurrentLoads()));
        LONGS_EQUAL(first + load, storeLimit.maxConcurrentLoads());
    }
    // One load at a time does not show that more would run at full speed.
    storeLimit.onLoadEnded(std::chrono::seconds(6), std::chrono::seconds(6), 1);
    LONGS_EQUAL(first + 3, storeLimit.maxConcurrentLoads());
}
