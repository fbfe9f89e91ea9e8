#include "toucanstep/planner/EngineRecord.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::planner;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto second = std::chrono::seconds(1);
const base::ModelId modelName("m");

ModelTarget adapter(const std::string& name) { return { modelName, AdapterId(name) }; }
PlannedOrder order(OrderKind kind, const ModelTarget& target) { return { base::UpstreamId("e"), kind, target, LoadSource::WeightStore, {} }; }

UpstreamDescription description()
{
    UpstreamDescription described;
    described.id = base::UpstreamId("e");
    described.loaded[modelName];
    return described;
}

EngineReport report(int64_t orders, std::set<AdapterId> adapters)
{
    EngineReport shown;
    shown.loaded[modelName] = std::move(adapters);
    shown.orders = orders;
    return shown;
}

} // namespace

TEST_GROUP(EngineRecord)
{
    EngineRecord record { description(), start };
    StoreConcurrencyLimit storeLimit;
    UpstreamEntry listed;

    void setup() override { listed.description = description(); }
    size_t adaptersPlannedFor(base::Instant now) { return record.planningState(listed, now).loaded[modelName].size(); }
    bool isAnnounced(const ModelTarget& target, base::Instant now)
    {
        std::vector<LoadedNotice> notices;
        record.appendNotices(notices, now);
        for (const auto& notice : notices) {
            if (notice.target == target)
                return notice.loaded;
        }
        FAIL("no notice for the target");
        return false;
    }
};

// Guards against a second load of a model that is already being loaded. An engine rejects adapter orders while it executes a
// model order; the rejection made the planner forget that order.
TEST(EngineRecord, ARejectedAdapterOrderLeavesTheModelOrderRunning)
{
    record.onReportRequested();
    record.onReport(report(0, {}), start, storeLimit);
    PlannedOrder load = order(OrderKind::Load, { base::ModelId("other"), AdapterId() });
    load.expected = 8 * second;
    record.onSending(load, start);
    record.onAnswered(load, OrderOutcome::Accepted, start);
    PlannedOrder adapterLoad = order(OrderKind::Load, adapter("a"));
    record.onSending(adapterLoad, start + second);
    record.onAnswered(adapterLoad, OrderOutcome::Conflict, start + second);
    PlannedEngine state = record.planningState(listed, start + second);
    CHECK_TRUE(state.running.has_value());
    STRCMP_EQUAL("other", state.running->model.value().c_str());
}

// Guards against a second load of a model after a change of planners: the engine says that it is busy, but not with what.
TEST(EngineRecord, ABusyEngineExecutesTheOrderOfTheEarlierPlanner)
{
    record.inherit({ base::UpstreamId("e"), StartId(), OrderKind::Load, base::ModelId("other"), true, 8 * second, 2 * second }, start);
    CHECK_FALSE(record.planningState(listed, start).running.has_value());
    EngineReport busy = report(1, {});
    busy.busy = true;
    record.onReportRequested();
    record.onReport(busy, start, storeLimit);
    PlannedEngine state = record.planningState(listed, start);
    STRCMP_EQUAL("other", state.running->model.value().c_str());
    CHECK_TRUE(state.running->source == LoadSource::WeightStore);
    CHECK_TRUE(state.running->expectedEnd == start + 6 * second);
    CHECK_FALSE(state.runsUnknownOrder);
}

TEST(EngineRecord, AnIdleEngineHasEndedTheOrderOfTheEarlierPlanner)
{
    record.inherit({ base::UpstreamId("e"), StartId(), OrderKind::Load, base::ModelId("other"), true, 8 * second, 2 * second }, start);
    record.onReportRequested();
    record.onReport(report(1, {}), start, storeLimit);
    CHECK_FALSE(record.planningState(listed, start).running.has_value());
}

// Guards against overfilling an engine with a resent order. The response to an order for the last free place is lost, and a
// delayed order of the previous planner, which was killed, takes that place. If the planner then resends its own order with
// the new order count, the engine loads one adapter too many and crashes; it happened with a ninth adapter on eight places.
TEST(EngineRecord, PlansAnewAfterAnUnansweredOrder)
{
    record.onReportRequested();
    record.onReport(report(7, { AdapterId("a1") }), start, storeLimit);
    record.onSending(order(OrderKind::Load, adapter("mine")), start);
    record.onAnswered(order(OrderKind::Load, adapter("mine")), OrderOutcome::Unknown, start + second);
    CHECK_TRUE(record.blocked());

    record.onReportRequested();
    CHECK_TRUE(record.onReport(report(8, { AdapterId("a1"), AdapterId("landed-late") }), start + 2 * second, storeLimit));

    CHECK_FALSE(record.blocked());
    UNSIGNED_LONGS_EQUAL(2, adaptersPlannedFor(start + 2 * second));
    LONGS_EQUAL(8, record.onSending(order(OrderKind::Unload, adapter("a1")), start + 2 * second).expectedOrders);
}

// Guards against rejected calls for an adapter that is loaded: calls stop before the unload order is sent, and if the order
// is lost they have to be allowed again.
TEST(EngineRecord, AllowsCallsAgainAfterALostUnload)
{
    record.onReportRequested();
    record.onReport(report(0, { AdapterId("a1") }), start, storeLimit);
    record.onSending(order(OrderKind::Unload, adapter("a1")), start);
    CHECK_FALSE(isAnnounced(adapter("a1"), start));
    record.onAnswered(order(OrderKind::Unload, adapter("a1")), OrderOutcome::Unknown, start + second);
    record.onReportRequested();
    record.onReport(report(0, { AdapterId("a1") }), start + 2 * second, storeLimit);
    CHECK_TRUE(isAnnounced(adapter("a1"), start + 2 * second));
}

TEST(EngineRecord, IgnoresReportsOlderThanAnAcceptedOrder)
{
    record.onReportRequested();
    record.onReport(report(0, {}), start, storeLimit);
    record.onSending(order(OrderKind::Load, adapter("a1")), start);
    record.onAnswered(order(OrderKind::Load, adapter("a1")), OrderOutcome::Accepted, start);
    record.onReportRequested();
    CHECK_FALSE(record.onReport(report(0, {}), start + std::chrono::milliseconds(100), storeLimit));
    UNSIGNED_LONGS_EQUAL(1, adaptersPlannedFor(start));
}

namespace {

// An engine that receives orders at once, delayed or never. A delayed order is checked against the order count on arrival.
struct DelayedEngine {
    static constexpr size_t capacity = 3;
    int64_t orders = 0;
    std::set<AdapterId> adapters;
    std::vector<EngineOrder> delayed;
    size_t mostHeld = 0;

    OrderOutcome take(const EngineOrder& given)
    {
        if (given.expectedOrders != orders)
            return OrderOutcome::Conflict;
        bool held = adapters.contains(given.target.adapter);
        if (held == (given.kind == OrderKind::Load))
            return OrderOutcome::AlreadyHolds;
        ++orders;
        if (given.kind == OrderKind::Load)
            adapters.insert(given.target.adapter);
        else
            adapters.erase(given.target.adapter);
        mostHeld = std::max(mostHeld, adapters.size());
        // The unload of an unused adapter is completed at once, which is answered as if it had been unloaded before.
        return given.kind == OrderKind::Load ? OrderOutcome::Accepted : OrderOutcome::AlreadyHolds;
    }
};

} // namespace

// The same with random histories: responses are lost, orders arrive late, and planners are replaced by new ones without any
// state. In none of them may an engine hold more adapters than its capacity.
TEST(EngineRecord, DelayedOrdersAndNewPlannersNeverOverfillAnEngine)
{
    CHECK_PROPERTY([] {
        DelayedEngine engine;
        StoreConcurrencyLimit storeLimit;
        UpstreamEntry listed;
        listed.description = description();
        EngineRecord planner(description(), start);
        base::Instant now = start;
        auto steps = *rc::gen::inRange(1, 120);
        for (int step = 0; step < steps; ++step) {
            now += second;
            AdapterId chosen(std::string(1, *rc::gen::inRange('a', 'g')));
            int event = *rc::gen::inRange(0, 8);
            if (planner.reportDue(now)) {
                planner.onReportRequested();
                planner.onReport(report(engine.orders, engine.adapters), now, storeLimit);
            }
            if (event == 0) {
                planner = EngineRecord(description(), now);
            } else if (event == 1 && !engine.delayed.empty()) {
                engine.take(engine.delayed.front());
                engine.delayed.erase(engine.delayed.begin());
            } else if (!planner.blocked()) {
                auto held = planner.planningState(listed, now).loaded[modelName];
                bool load = held.size() < DelayedEngine::capacity && !held.contains(chosen);
                if (!load && !held.contains(chosen))
                    continue;
                PlannedOrder wanted = order(load ? OrderKind::Load : OrderKind::Unload, adapter(chosen.value()));
                EngineOrder sent = planner.onSending(wanted, now);
                bool lost = event < 5;
                if (lost)
                    engine.delayed.push_back(sent);
                planner.onAnswered(wanted, lost ? OrderOutcome::Unknown : engine.take(sent), now);
            }
        }
        RC_ASSERT(engine.mostHeld <= DelayedEngine::capacity);
    });
}
