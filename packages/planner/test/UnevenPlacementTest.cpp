#include "toucanstep/planner/PlacementPlan.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>

using namespace toucanstep;
using namespace toucanstep::planner;

namespace {

constexpr int64_t gigabyte = 1'000'000'000;
constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto passInterval = std::chrono::milliseconds(100);

std::string toText(const std::vector<PlannedOrder>& orders)
{
    std::string text;
    for (const auto& order : orders)
        text += (order.kind == OrderKind::Load ? "load " : "unload ") + order.target.model.value() + " at " + order.upstream.value() + "; ";
    return text;
}

} // namespace

// Engines with 8 slots and memory for one model of 50 GB unless a test says otherwise; a load from the store takes 8 s.
TEST_GROUP(UnevenPlacement)
{
    EngineTraits traits;
    PlacementInput input;
    PlacementPlanner planner { PlacementSettings {} };

    void setup() override
    {
        traits.memory = base::Bytes(50 * gigabyte);
        input.now = start;
        input.traits = &traits;
        input.unevenDemand = true;
        input.maxStoreLoads = 2;
    }

    void addModel(const std::string& name)
    {
        ModelTraits added;
        added.id = base::ModelId(name);
        added.memory = base::Bytes(50 * gigabyte);
        added.loadFromStore = std::chrono::seconds(8);
        added.loadFromMemory = added.loadFromDisk = std::chrono::milliseconds(800);
        traits.models.push_back(added);
    }

    PlannedEngine& addEngine(const std::string& id, const std::string& held = "", const std::string& domain = "")
    {
        PlannedEngine engine;
        engine.id = base::UpstreamId(id);
        engine.domain = base::FailureDomain(domain);
        engine.slots = 8;
        if (!held.empty())
            engine.loaded[base::ModelId(held)];
        input.engines.push_back(engine);
        return input.engines.back();
    }

    void demand(const std::string& name, int64_t waiting, int64_t running = 0, const std::string& domain = "")
    {
        input.demand.push_back({ { base::ModelId(name), AdapterId() }, waiting, running, (waiting + running) * 1000 });
        input.demandByDomain.push_back({ base::ModelId(name), base::FailureDomain(domain), waiting + running });
    }

    Placement plan()
    {
        Placement placement = planner.plan(input);
        input.now += passInterval;
        return placement;
    }
    void expectOrders(const std::string& expected) { STRCMP_EQUAL(expected.c_str(), toText(plan().orders).c_str()); }
};

// Guards against a changed plan at services whose engines state no speed: what is new in the input changes no order.
TEST(UnevenPlacement, PlansStayAsTheyAreWithoutUnevenDemand)
{
    CHECK_PROPERTY([] {
        EngineTraits traits;
        traits.memory = base::Bytes(100 * gigabyte);
        for (int index = 0; index < 6; ++index) {
            ModelTraits model;
            model.id = base::ModelId(std::string(1, static_cast<char>('a' + index)));
            model.memory = base::Bytes(50 * gigabyte);
            model.loadFromStore = std::chrono::seconds(8);
            model.loadFromDisk = model.loadFromMemory = std::chrono::milliseconds(800);
            traits.models.push_back(model);
        }
        auto anyModel = [&] { return traits.models[*rc::gen::inRange<size_t>(0, traits.models.size())].id; };
        PlacementPlanner plainPlanner { PlacementSettings {} };
        PlacementPlanner planner { PlacementSettings {} };
        for (int pass = 0; pass < 5; ++pass) {
            PlacementInput plain;
            plain.traits = &traits;
            plain.now = start + pass * std::chrono::seconds(1);
            for (int index = 0; index < 5; ++index) {
                PlannedEngine engine;
                engine.id = base::UpstreamId(std::string(1, static_cast<char>('0' + index)));
                engine.slots = 8;
                engine.loaded[anyModel()];
                engine.onDisk.insert(anyModel());
                plain.engines.push_back(engine);
            }
            for (int index = 0; index < 4; ++index)
                plain.demand.push_back({ { anyModel(), AdapterId() }, *rc::gen::inRange<int64_t>(0, 20), *rc::gen::inRange<int64_t>(0, 20), 3000 });
            PlacementInput input = plain;
            for (auto& engine : input.engines) {
                engine.workFactor = *rc::gen::inRange(1, 40) / 10.0;
                engine.domain = base::FailureDomain("west");
            }
            input.demandByDomain.push_back({ anyModel(), base::FailureDomain("west"), 100 });
            RC_ASSERT(toText(planner.plan(input).orders) == toText(plainPlanner.plan(plain).orders));
        }
    });
}

// Guards against callers that wait for seconds while an engine that has the weights on its disk is free.
TEST(UnevenPlacement, AFullModelIsLoadedFromADiskInTheSamePass)
{
    addModel("hot");
    addEngine("full", "hot");
    addEngine("free");
    addEngine("disk").onDisk.insert(base::ModelId("hot"));
    input.maxStoreLoads = 0;
    demand("hot", 4, 8);
    expectOrders("load hot at disk; ");
}

// Guards against a weight store that is busy with single callers' models while most calls of one model are late.
TEST(UnevenPlacement, TheLargestLossComesBeforeSingleCallers)
{
    for (const char* name : { "a", "b", "hot" })
        addModel(name);
    addEngine("full", "hot");
    for (const char* id : { "1", "2", "3", "4" })
        addEngine(id);
    demand("a", 1);
    demand("b", 1);
    demand("hot", 24, 8);
    expectOrders("load hot at 1; load hot at 2; ");
    input.unevenDemand = false;
    planner = PlacementPlanner { PlacementSettings {} };
    expectOrders("load a at 1; load b at 2; ");
}

// Guards against starvation of a single caller: it gets its turn after two load times, whatever is lost elsewhere.
TEST(UnevenPlacement, ASingleCallerHasItsTurn)
{
    addModel("a");
    addModel("hot");
    addEngine("full", "hot");
    addEngine("busy").running = RunningOrder { OrderKind::Load, base::ModelId("hot"), LoadSource::WeightStore, std::chrono::seconds(8), start + std::chrono::seconds(16) };
    addEngine("free");
    input.maxStoreLoads = 1;
    demand("a", 1);
    demand("hot", 100, 8);
    for (int pass = 0; pass < 165; ++pass)
        CHECK_TRUE(plan().orders.empty());
    // The model with the larger loss has just had its turn, so its request is new.
    input.demand.erase(input.demand.begin() + 1);
    plan();
    demand("hot", 100, 8);
    input.engines[1].running.reset();
    input.engines[1].loaded[base::ModelId("hot")];
    expectOrders("load a at free; ");
}

// Guards against a permit that is held while a victim drains: another model's load takes it meanwhile.
TEST(UnevenPlacement, ADrainingVictimHoldsNoPermit)
{
    for (const char* name : { "a", "hot", "idle" })
        addModel(name);
    addEngine("1", "idle");
    input.maxStoreLoads = 1;
    demand("hot", 8);
    expectOrders("unload idle at 1; ");
    input.engines[0].running = RunningOrder { OrderKind::Unload, base::ModelId("idle"), LoadSource::HostMemory, {}, input.now };
    addEngine("2");
    demand("a", 1);
    expectOrders("load a at 2; ");
    // The victim is gone, but the permit is taken.
    input.engines[0].running.reset();
    input.engines[0].loaded.clear();
    input.engines[1].running = RunningOrder { OrderKind::Load, base::ModelId("a"), LoadSource::WeightStore, std::chrono::seconds(8), input.now + std::chrono::seconds(8) };
    expectOrders("");
}

// Guards against a model whose callers wait beside free engines without a reason in the log, and against a line for each pass.
TEST(UnevenPlacement, SaysWhyNoReplicaIsOrderedOnceASecond)
{
    addModel("hot");
    addEngine("full", "hot").inFlight = 8;
    addEngine("1");
    addEngine("2");
    input.maxStoreLoads = 1;
    input.engines[1].running = RunningOrder { OrderKind::Load, base::ModelId("other"), LoadSource::WeightStore, std::chrono::seconds(8), start + std::chrono::seconds(8) };
    demand("hot", 4, 8);
    auto unplaced = plan().unplaced;
    LONGS_EQUAL(1, unplaced.size());
    CHECK_TRUE(unplaced[0].obstacle == PlacementObstacle::NoPermit);
    size_t later = 0;
    for (int pass = 0; pass < 10; ++pass)
        later += plan().unplaced.size();
    LONGS_EQUAL(1, later);
}

// Guards against replicas that are all in one failure domain while callers of another one cross to it.
TEST(UnevenPlacement, PrefersTheUncoveredDomainAndThenTheFasterEngine)
{
    addModel("hot");
    addEngine("covers", "hot", "east");
    addEngine("a", "", "east");
    addEngine("b", "", "west").workFactor = 1.6;
    addEngine("c", "", "west").workFactor = 0.6;
    demand("hot", 2, 8, "east");
    demand("hot", 4, 2, "west");
    expectOrders("load hot at c; ");
}

// Guards against a busy model of which one disk has the weights: a further replica would take a load from the store.
TEST(UnevenPlacement, LoadsABusyModelAheadWhileTheStoreIsIdle)
{
    addModel("busy");
    addEngine("holder", "busy").onDisk.insert(base::ModelId("busy"));
    addEngine("free");
    demand("busy", 0, 4);
    std::string orders;
    for (int pass = 0; pass < 25 && orders.empty(); ++pass) {
        auto placement = plan();
        orders = toText(placement.orders);
        CHECK_TRUE(placement.orders.empty() || placement.orders[0].ahead);
    }
    STRCMP_EQUAL("load busy at free; ", orders.c_str());
    input.engines[1].onDisk.insert(base::ModelId("busy"));
    expectOrders("");
}

// Guards against more loads than the store carries, whatever the demand, the reservations and the ends of loads.
TEST(UnevenPlacement, LoadsThatRunStayWithinTheLimit)
{
    CHECK_PROPERTY_WITH((toucanstep::testing::PropertyOptions { .seed = 1, .maxSuccess = 60 }), [&] {
        input = {};
        input.traits = &traits;
        input.unevenDemand = true;
        input.now = start;
        input.maxStoreLoads = *rc::gen::inRange<size_t>(1, 4);
        traits.models.clear();
        for (const char* name : { "a", "b", "c", "d", "e", "f" })
            addModel(name);
        for (const char* id : { "0", "1", "2", "3", "4" })
            addEngine(id, traits.models[*rc::gen::inRange<size_t>(0, 6)].id.value());
        PlacementPlanner fresh { PlacementSettings {} };
        for (int pass = 0; pass < 100; ++pass) {
            input.demand.clear();
            input.demandByDomain.clear();
            for (const auto& model : traits.models)
                demand(model.id.value(), *rc::gen::inRange<int64_t>(0, 30), *rc::gen::inRange<int64_t>(0, 8));
            for (const auto& order : fresh.plan(input).orders) {
                auto engine = std::find_if(input.engines.begin(), input.engines.end(), [&](const auto& item) { return item.id == order.upstream; });
                RC_ASSERT(!engine->running);
                engine->running = RunningOrder { order.kind, order.target.model, order.source, order.expected, input.now + order.expected };
            }
            auto loads = static_cast<size_t>(std::count_if(input.engines.begin(), input.engines.end(), [](const auto& engine) { return engine.running && engine.running->kind == OrderKind::Load; }));
            RC_ASSERT(loads <= input.maxStoreLoads);
            input.now += passInterval * 5;
            for (auto& engine : input.engines) {
                if (!engine.running || engine.running->expectedEnd > input.now || *rc::gen::inRange(0, 3) == 0)
                    continue;
                if (engine.running->kind == OrderKind::Load)
                    engine.loaded[engine.running->model];
                else
                    engine.loaded.erase(engine.running->model);
                engine.running.reset();
            }
        }
    });
}

// Replays the load of the page of requirements: demand for one model rises to four times its replica's slots within 3 s beside 30
// models that are loaded nowhere with one waiting caller each, then moves to two others. Guards against an order of requests that
// leaves more calls without a slot than the order of priorities, and against starvation of the single callers.
TEST(UnevenPlacement, LeavesFewerCallsWithoutASlotThanTheOrderOfPriorities)
{
    constexpr int models = 158;
    constexpr int singles = 30;
    constexpr double seconds = 60;
    traits.memory = base::Bytes(150 * gigabyte);
    for (int index = 0; index < models; ++index)
        addModel(std::to_string(index));
    auto nameOf = [&](int index) { return traits.models[static_cast<size_t>(index)].id; };
    auto replay = [&](bool byLoss) {
        input.engines.clear();
        for (int index = 0; index < 50; ++index) {
            PlannedEngine& engine = addEngine(std::to_string(index));
            engine.slots = 32;
            // The last models are loaded nowhere.
            for (int place = 0; place < 3; ++place)
                engine.loaded[nameOf((index + place * 50) % (models - singles))];
        }
        input.unevenDemand = byLoss;
        input.now = start;
        planner = PlacementPlanner { PlacementSettings {} };
        std::map<base::UpstreamId, double> left;
        std::pair<double, double> lost;
        for (double now = 0; now < seconds; now += 0.1) {
            input.demand.clear();
            input.demandByDomain.clear();
            auto ask = [&](int index, double calls, double& unserved) {
                auto replicas = std::count_if(input.engines.begin(), input.engines.end(), [&](const auto& engine) { return engine.loaded.contains(nameOf(index)); });
                auto running = std::min<int64_t>(std::llround(calls), 32 * replicas);
                unserved += (calls - static_cast<double>(running)) * 0.1;
                demand(nameOf(index).value(), std::llround(calls) - running, running);
            };
            double risen = std::clamp((now - 10) / 3, 0.0, 1.0);
            double moved = std::clamp((now - 40) / 3, 0.0, 1.0);
            ask(0, 8 + 120 * (risen - moved), lost.first);
            ask(1, 4 + 60 * moved, lost.first);
            ask(2, 4 + 60 * moved, lost.first);
            for (int index = models - singles; index < models && now > 9; ++index)
                ask(index, 1, lost.second);
            for (const auto& order : plan().orders) {
                auto engine = std::find_if(input.engines.begin(), input.engines.end(), [&](const auto& item) { return item.id == order.upstream; });
                engine->running = RunningOrder { order.kind, order.target.model, order.source, order.expected, input.now + order.expected };
                left[engine->id] = order.kind == OrderKind::Load ? base::toSeconds(order.expected) : 0.2;
            }
            for (auto& engine : input.engines) {
                if (!engine.running || (left[engine.id] -= 0.1) > 0)
                    continue;
                if (engine.running->kind == OrderKind::Load)
                    engine.loaded[engine.running->model];
                else
                    engine.loaded.erase(engine.running->model);
                engine.running.reset();
            }
        }
        return lost;
    };
    auto [byPriority, singlesByPriority] = replay(false);
    auto [byLoss, singlesByLoss] = replay(true);
    CHECK_COMPARE(byLoss, <, byPriority / 2);
    CHECK_COMPARE(singlesByLoss, <, singlesByPriority * 1.5);
}
