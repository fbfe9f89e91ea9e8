#include "EngineRecord.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::direct;

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
    size_t adaptersPlannedFor(base::Instant now) { return record.planned(listed, now).loaded[modelName].size(); }
    bool told(const ModelTarget& target, base::Instant now)
    {
        std::vector<LoadedNotice> notices;
        record.appendNotices(notices, now);
        for (const auto& notice : notices) {
            if (notice.target == target)
                return notice.loaded;
        }
        FAIL("nothing was told of the target");
        return false;
    }
};

// An engine with places for eight adapters crashed under its callers. The planner had ordered a ninth: its order for the
// eighth got no answer, and before it could land, an order of the planner that had been killed took the last place. The
// report showed that the planner's own order had not landed, so it was sent once more, with the new count of orders.
TEST(EngineRecord, AnOrderWithoutAnswerIsNotSentAgainButPlannedAnew)
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

// Callers were turned away from an adapter that its engine held: the order to unload it had been lost, calls had been
// stopped before it was sent, and nobody said that they may go there again.
TEST(EngineRecord, AnUnloadThatDidNotHappenLetsCallsComeAgain)
{
    record.onReportRequested();
    record.onReport(report(0, { AdapterId("a1") }), start, storeLimit);
    record.onSending(order(OrderKind::Unload, adapter("a1")), start);
    CHECK_FALSE(told(adapter("a1"), start));
    record.onAnswered(order(OrderKind::Unload, adapter("a1")), OrderOutcome::Unknown, start + second);
    record.onReportRequested();
    record.onReport(report(0, { AdapterId("a1") }), start + 2 * second, storeLimit);
    CHECK_TRUE(told(adapter("a1"), start + 2 * second));
}

TEST(EngineRecord, AReportFromBeforeAnAcceptedOrderSaysNothing)
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

// An engine that takes orders at once, late or never, as the history says. Late ones check the count of orders when they land.
struct LateEngine {
    static constexpr size_t places = 3;
    int64_t orders = 0;
    std::set<AdapterId> adapters;
    std::vector<EngineOrder> late;
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
        // An adapter that no call uses goes at once, which is answered like an order that held before.
        return given.kind == OrderKind::Load ? OrderOutcome::Accepted : OrderOutcome::AlreadyHolds;
    }
};

} // namespace

// The same with chance in place of the story: answers are lost, orders land late, and planners are killed and followed by
// others that know nothing. However these meet, no engine is ordered to hold more than it has places for.
TEST(EngineRecord, NoHistoryOfLateOrdersAndNewPlannersOverfillsAnEngine)
{
    CHECK_PROPERTY([] {
        LateEngine engine;
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
            } else if (event == 1 && !engine.late.empty()) {
                engine.take(engine.late.front());
                engine.late.erase(engine.late.begin());
            } else if (!planner.blocked()) {
                auto held = planner.planned(listed, now).loaded[modelName];
                bool load = held.size() < LateEngine::places && !held.contains(chosen);
                if (!load && !held.contains(chosen))
                    continue;
                PlannedOrder wanted = order(load ? OrderKind::Load : OrderKind::Unload, adapter(chosen.value()));
                EngineOrder sent = planner.onSending(wanted, now);
                bool lost = event < 5;
                if (lost)
                    engine.late.push_back(sent);
                planner.onAnswered(wanted, lost ? OrderOutcome::Unknown : engine.take(sent), now);
            }
        }
        RC_ASSERT(engine.mostHeld <= LateEngine::places);
    });
}
