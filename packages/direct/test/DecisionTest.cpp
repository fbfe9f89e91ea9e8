#include "EventSplitter.h"
#include "toucanstep/direct/DemandTracker.h"
#include "toucanstep/direct/DesiredState.h"
#include "toucanstep/direct/FleetReports.h"
#include "toucanstep/direct/PlannerLeadership.h"
#include "toucanstep/direct/UpstreamSelection.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::direct;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };

UpstreamDescription engine(const std::string& id, const std::string& model, int64_t slots = 4)
{
    UpstreamDescription description;
    description.id = base::UpstreamId(id);
    description.service = base::ServiceId("narrator");
    description.domain = base::FailureDomain("a");
    description.slots = slots;
    description.loaded[base::ModelId(model)];
    return description;
}

UpstreamQuery asks(const std::string& model, const std::string& adapter = "")
{
    UpstreamQuery query;
    query.service = base::ServiceId("narrator");
    query.target = { base::ModelId(model), AdapterId(adapter) };
    query.domain = base::FailureDomain("a");
    return query;
}

} // namespace

TEST_GROUP(UpstreamSelection)
{
    UpstreamTable table;
    base::Instant now = start;

    std::string chosen(const UpstreamQuery& query)
    {
        UpstreamSelection choice = selectUpstream(table, query, now);
        return choice.blockReason == BlockReason::None ? choice.upstream.value() : "";
    }
    BlockReason blockReason(const UpstreamQuery& query) { return selectUpstream(table, query, now).blockReason; }
};

TEST(UpstreamSelection, ChoosesLeastBusyEngineThatHoldsTheModel)
{
    table.put(engine("one", "m"), now);
    table.put(engine("two", "m"), now);
    table.put(engine("other", "n"), now);
    table.onDispatched(base::UpstreamId("one"), now);
    STRCMP_EQUAL("two", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, SpreadsSimultaneousCallsOfSeveralGatewaysOverIdleUpstreams)
{
    // Guards against a queue at one engine while others are idle: gateways that do not know each other's calls yet see the same
    // idle engines, and each would choose the first in the list.
    for (const char* id : { "one", "two", "three" })
        table.put(engine(id, "m"), now);
    std::set<std::string> used;
    for (int call = 0; call < 30; ++call) {
        UpstreamQuery query = asks("m");
        query.spreadKey = std::to_string(call);
        used.insert(chosen(query));
    }
    LONGS_EQUAL(3, used.size());
}

TEST(UpstreamSelection, CountsCallsOfOtherGateways)
{
    table.put(engine("one", "m"), now);
    table.put(engine("two", "m"), now);
    table.setPeersLoad({ { base::UpstreamId("one"), { 3, 3 } } });
    STRCMP_EQUAL("two", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, PrefersEngineWithFewerPromptsInPrefillQueue)
{
    // Guards against late first tokens while another engine is free: an engine with many slots looked idle although a dozen
    // prompts were queued there, and prefix affinity sent more calls to it.
    table.put(engine("one", "m", 128), now);
    table.put(engine("two", "m", 128), now);
    UpstreamQuery query = asks("m");
    query.promptPrefix = "5c1e07a2";
    std::string home = chosen(query);
    std::string other = home == "one" ? "two" : "one";
    for (int call = 0; call < 4; ++call)
        table.onDispatched(base::UpstreamId(home), now);
    for (int call = 0; call < 12; ++call) {
        table.onDispatched(base::UpstreamId(other), now);
        table.onAnswerBegun(base::UpstreamId(other));
    }
    STRCMP_EQUAL(other.c_str(), chosen(query).c_str());
    // The responses have begun, so prefix affinity decides again.
    for (int call = 0; call < 4; ++call)
        table.onAnswerBegun(base::UpstreamId(home));
    STRCMP_EQUAL(home.c_str(), chosen(query).c_str());
}

TEST(UpstreamSelection, ReportsTheBlockReason)
{
    CHECK_TRUE(blockReason(asks("m")) == BlockReason::NoUpstream);
    table.put(engine("one", "m", 1), now);
    CHECK_TRUE(blockReason(asks("n")) == BlockReason::NotLoaded);
    CHECK_TRUE(blockReason(asks("m", "a1")) == BlockReason::AdapterNotLoaded);
    CHECK_TRUE(blockReason(asks("n", "a1")) == BlockReason::NotLoaded);
    table.onDispatched(base::UpstreamId("one"), now);
    CHECK_TRUE(blockReason(asks("m")) == BlockReason::Full);
}

// Guards against the crash of an engine that has just started: gateways that cannot know the others' calls saw an idle engine
// and sent it all that waited.
TEST(UpstreamSelection, AColdEngineGetsNoCallFromAGatewayWithoutAPartOfItsRate)
{
    FleetShare share({}, base::InstanceId("edge-1"));
    ColdStartLimit unsettled({}, share);
    UpstreamDescription cold = engine("one", "m");
    cold.coldFor = std::chrono::seconds(3);
    table.put(cold, now);
    UpstreamQuery query = asks("m");
    query.coldStarts = &unsettled;
    query.coldCallsPerSecond = 29;
    UpstreamSelection choice = selectUpstream(table, query, now);
    CHECK_TRUE(choice.blockReason == BlockReason::Cold);
    CHECK_TRUE(choice.acceptedFrom == now + std::chrono::seconds(3));
    table.put(engine("two", "m"), now);
    STRCMP_EQUAL("two", chosen(query).c_str());
    now += std::chrono::seconds(3);
    table.remove(base::UpstreamId("two"));
    STRCMP_EQUAL("one", chosen(query).c_str());
}

// Guards against an overloaded upstream that goes on getting calls although another one holds the model.
TEST(UpstreamSelection, AnUpstreamThatAdvertisesALimitGetsNoCallFromAGatewayWithoutAPartOfIt)
{
    FleetShare share({}, base::InstanceId("edge-1"));
    UpstreamCallLimits limits(share);
    UpstreamDescription limited = engine("one", "m");
    table.put(limited, now);
    UpstreamQuery query = asks("m");
    query.callLimits = &limits;
    STRCMP_EQUAL("one", chosen(query).c_str());
    limits.onAnswer(limited.id, limited.start, 2.0, now);
    UpstreamSelection choice = selectUpstream(table, query, now);
    CHECK_TRUE(choice.blockReason == BlockReason::CallLimit);
    CHECK_FALSE(choice.acceptedFrom.has_value());
    table.put(engine("two", "m"), now);
    STRCMP_EQUAL("two", chosen(query).c_str());
    // A free slot of the other one is waited for.
    UpstreamEntry* other = table.find(base::UpstreamId("two"));
    for (int64_t call = 0; call < other->description.slots; ++call)
        table.onDispatched(other->description.id, now);
    CHECK_TRUE(selectUpstream(table, query, now).blockReason == BlockReason::Full);
}

// Guards against an upstream that gets calls within the pause for which it has asked, and all calls at once at its end.
TEST(UpstreamSelection, AnUpstreamGetsNoCallInItsPauseAndFewAfterIt)
{
    UpstreamAvailability availability;
    UpstreamDescription pausing = engine("one", "m");
    table.put(pausing, now);
    UpstreamQuery query = asks("m");
    query.availability = &availability;
    base::Instant end = now + std::chrono::seconds(3);
    availability.onPauseAsked(pausing.id, pausing.start, end, now);
    // The list shows it anew.
    table.remove(pausing.id);
    table.put(pausing, now);
    UpstreamSelection choice = selectUpstream(table, query, now);
    CHECK_TRUE(choice.blockReason == BlockReason::Paused);
    CHECK_TRUE(choice.acceptedFrom == end);
    now = end;
    choice = selectUpstream(table, query, now);
    CHECK_TRUE(choice.blockReason == BlockReason::None && choice.limitedBy == BlockReason::Paused);
    LONGS_EQUAL(1, choice.freeSlots);
    table.onDispatched(pausing.id, now);
    CHECK_TRUE(selectUpstream(table, query, now).blockReason == BlockReason::Paused);
    table.onAnswerBegun(pausing.id);
    availability.onAccepted(pausing.id, now);
    LONGS_EQUAL(2, selectUpstream(table, query, now).freeSlots);
}

// Guards against calls to a domain that the operator has emptied, and against a rush to its engines afterwards: they may have
// become cold meanwhile, which the list shows only later.
TEST(UpstreamSelection, AnEvacuatedDomainGetsNoCallsAndIsColdAfterwards)
{
    FleetShare share({}, base::InstanceId("edge-1"));
    ColdStartLimit unsettled({}, share);
    table.put(engine("one", "m"), now);
    UpstreamQuery query = asks("m");
    query.coldStarts = &unsettled;
    query.coldCallsPerSecond = 29;
    table.evacuate(base::FailureDomain("a"));
    CHECK_TRUE(blockReason(query) == BlockReason::NoUpstream);
    table.endEvacuation(base::FailureDomain("a"), now + std::chrono::seconds(3));
    CHECK_TRUE(blockReason(query) == BlockReason::Cold);
    now += std::chrono::seconds(3);
    STRCMP_EQUAL("one", chosen(query).c_str());
}

// Guards against a call that runs outside the regions to which its route or its account is bound.
TEST(UpstreamSelection, ACallRunsOnlyInTheRegionsOfItsRouteAndItsAccount)
{
    UpstreamDescription north = engine("one", "m");
    north.region = base::RegionId("north");
    UpstreamDescription south = engine("two", "m");
    south.region = base::RegionId("south");
    table.put(north, now);
    table.put(south, now);
    std::set<base::RegionId> both { base::RegionId("north"), base::RegionId("south") };
    std::set<base::RegionId> onlySouth { base::RegionId("south") };
    std::set<base::RegionId> elsewhere { base::RegionId("west") };
    UpstreamQuery query = asks("m");
    query.routeRegions = &both;
    query.accountRegions = &onlySouth;
    STRCMP_EQUAL("two", chosen(query).c_str());
    query.routeRegions = &elsewhere;
    CHECK_TRUE(blockReason(query) == BlockReason::OutsideRegions);
}

TEST(UpstreamSelection, DrainingEngineGetsNoNewCalls)
{
    UpstreamDescription leaving = engine("one", "m");
    leaving.draining = true;
    table.put(leaving, now);
    CHECK_TRUE(blockReason(asks("m")) == BlockReason::NoUpstream);
}

TEST(UpstreamSelection, TriedUpstreamIsNotChosenAgain)
{
    table.put(engine("one", "m"), now);
    std::set<base::UpstreamId> tried { base::UpstreamId("one") };
    UpstreamQuery query = asks("m");
    query.triedUpstreams = &tried;
    CHECK_TRUE(blockReason(query) == BlockReason::NoUpstream);
}

TEST(UpstreamSelection, FailingEngineGetsFewerCallsUntilFailuresDecay)
{
    // Guards against losing a share of the calls to an engine that fails them while its health check succeeds.
    table.put(engine("one", "m"), now);
    table.put(engine("two", "m"), now);
    table.onDispatched(base::UpstreamId("two"), now);
    table.onFailure(base::UpstreamId("one"), now);
    STRCMP_EQUAL("two", chosen(asks("m")).c_str());
    now += std::chrono::seconds(20);
    STRCMP_EQUAL("one", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, UnreachableUpstreamIsSkippedForAWhile)
{
    table.put(engine("one", "m"), now);
    table.onUnreachable(base::UpstreamId("one"), now);
    CHECK_TRUE(blockReason(asks("m")) == BlockReason::NoUpstream);
    now += std::chrono::seconds(1);
    STRCMP_EQUAL("one", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, UnresponsiveEngineIsTheLastChoice)
{
    table.put(engine("one", "m"), now);
    table.put(engine("two", "m"), now);
    table.onDispatched(base::UpstreamId("one"), now);
    now += std::chrono::seconds(2);
    for (int count = 0; count < 3; ++count)
        table.onDispatched(base::UpstreamId("two"), now);
    STRCMP_EQUAL("two", chosen(asks("m")).c_str());
    table.onBytesReceived(base::UpstreamId("one"), now);
    STRCMP_EQUAL("one", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, CallsWithASharedPromptGoToOneEngine)
{
    for (const char* id : { "one", "two", "three" })
        table.put(engine(id, "m", 32), now);
    UpstreamQuery query = asks("m");
    query.promptPrefix = "5c1e07a2";
    std::string first = chosen(query);
    table.onDispatched(base::UpstreamId(first), now);
    STRCMP_EQUAL(first.c_str(), chosen(query).c_str());
}

TEST(UpstreamSelection, PlannerNoticeOverridesTheListUntilItExpires)
{
    table.put(engine("one", "m"), now);
    table.addNotice({ base::UpstreamId("one"), StartId(), { base::ModelId("n"), AdapterId() }, true }, now + std::chrono::seconds(1));
    table.addNotice({ base::UpstreamId("one"), StartId(), { base::ModelId("m"), AdapterId() }, false }, now + std::chrono::seconds(1));
    STRCMP_EQUAL("one", chosen(asks("n")).c_str());
    CHECK_TRUE(blockReason(asks("m")) == BlockReason::NotLoaded);
    now += std::chrono::seconds(1);
    STRCMP_EQUAL("one", chosen(asks("m")).c_str());
}

TEST(UpstreamSelection, RestartedEngineLosesTheOldState)
{
    table.put(engine("one", "m"), now);
    table.addNotice({ base::UpstreamId("one"), StartId(), { base::ModelId("n"), AdapterId() }, true }, now + std::chrono::seconds(9));
    table.onFailure(base::UpstreamId("one"), now);
    UpstreamDescription again = engine("one", "m");
    again.start = StartId(7);
    table.put(again, now);
    CHECK_TRUE(blockReason(asks("n")) == BlockReason::NotLoaded);
    DOUBLES_EQUAL(0, UpstreamTable::recentFailures(*table.find(base::UpstreamId("one")), now), 0.001);
}

TEST_GROUP(DesiredState) {};

TEST(DesiredState, LongestPathPrefixOfTheHostWins)
{
    DesiredState state;
    for (const char* prefix : { "/a/", "/a/b/", "/" }) {
        Route route;
        route.id = RouteId(prefix);
        route.host = "farm.example";
        route.prefix = prefix;
        state.routes.push_back(route);
    }
    state.buildIndexes();
    STRCMP_EQUAL("/a/b/", state.findRoute("farm.example:80", "/a/b/c")->id.value().c_str());
    STRCMP_EQUAL("/a/", state.findRoute("farm.example", "/a/x")->id.value().c_str());
    STRCMP_EQUAL("/", state.findRoute("farm.example", "/x")->id.value().c_str());
    CHECK_TRUE(state.findRoute("other.example", "/a/") == nullptr);
}

TEST_GROUP(PlannerLeadership)
{
    PlannerLeadership leadership { { std::chrono::milliseconds(1500), std::chrono::milliseconds(300), std::chrono::seconds(3) }, base::InstanceId("self"), false };
    const base::InstanceId self { "self" };
    const base::InstanceId other { "other" };
};

TEST(PlannerLeadership, LeaseCountsFromTheTimeTheRenewalWasSent)
{
    // Guards against two planners at once: a machine is suspended while the response to its renewal is in flight, and would
    // count the lease from the time at which it reads the response.
    leadership.onAcquired(base::Epoch(4), start, start, true);
    CHECK_TRUE(leadership.maySendOrders(start + std::chrono::milliseconds(1199)));
    CHECK_FALSE(leadership.maySendOrders(start + std::chrono::milliseconds(1200)));
    leadership.onRenewed(start + std::chrono::milliseconds(500));
    CHECK_TRUE(leadership.maySendOrders(start + std::chrono::milliseconds(1600)));
    CHECK_FALSE(leadership.maySendOrders(start + std::chrono::milliseconds(1700)));
}

TEST(PlannerLeadership, SuccessorPausesBeforeItsFirstOrder)
{
    leadership.onAcquired(base::Epoch(4), start, start, false);
    leadership.onRenewed(start + std::chrono::seconds(10));
    CHECK_FALSE(leadership.maySendOrders(start + std::chrono::milliseconds(2999)));
    CHECK_TRUE(leadership.maySendOrders(start + std::chrono::seconds(3)));
}

TEST(PlannerLeadership, NoOrdersAfterLeadershipIsLost)
{
    leadership.onAcquired(base::Epoch(4), start, start, true);
    leadership.onLost();
    CHECK_FALSE(leadership.maySendOrders(start));
}

// Guards against a long pause after all gateways are killed and restarted within a second: the old planner's key stays until
// its lease ends, and another gateway then becomes the planner and pauses. Nothing was loaded for five seconds, although the
// last planner could have resumed at once.
TEST(PlannerLeadership, LastPlannerResumesWithoutAPause)
{
    LeadershipRecord record { self, self };
    CHECK_TRUE(leadership.mayCampaign(record, start));
    CHECK_TRUE(leadership.canResume(record));
    leadership.onAcquired(base::Epoch(4), start, start, leadership.canResume(record));
    CHECK_TRUE(leadership.maySendOrders(start));
    CHECK_FALSE(leadership.needsRecording());
}

TEST(PlannerLeadership, OtherGatewaysGiveTheLastPlannerAHeadStart)
{
    LeadershipRecord record { std::nullopt, other };
    CHECK_FALSE(leadership.mayCampaign(record, start));
    CHECK_FALSE(leadership.mayCampaign(record, start + std::chrono::milliseconds(399)));
    CHECK_TRUE(leadership.mayCampaign(record, start + std::chrono::milliseconds(400)));
    CHECK_FALSE(leadership.canResume(record));
    // There was a planner meanwhile, so the head start begins anew.
    CHECK_FALSE(leadership.mayCampaign({ other, other }, start + std::chrono::seconds(1)));
    CHECK_FALSE(leadership.mayCampaign(record, start + std::chrono::seconds(2)));
}

// Guards against interleaved orders of two planners: a gateway that was elected, killed during its pause and restarted must
// not regard itself as the last one that sent orders.
TEST(PlannerLeadership, ProcessRestartedDuringItsPausePausesAgain)
{
    LeadershipRecord paused { self, base::InstanceId() };
    CHECK_TRUE(leadership.mayCampaign(paused, start));
    CHECK_FALSE(leadership.canResume(paused));
    leadership.onAcquired(base::Epoch(4), start, start, leadership.canResume(paused));
    CHECK_FALSE(leadership.maySendOrders(start + std::chrono::seconds(1)));
    CHECK_TRUE(leadership.needsRecording());
}

TEST(PlannerLeadership, WithoutALastPlannerOnlyAFirstStartNeedsNoPause)
{
    CHECK_FALSE(leadership.canResume({}));
    CHECK_TRUE(PlannerLeadership({}, self, true).canResume({}));
}

TEST_GROUP(FleetReports) {};

TEST(FleetReports, EveryReportTypeRoundTrips)
{
    ReportSender sender { base::InstanceId("g"), Incarnation(5), 9 };
    LoadReport load { sender, ConfigurationVersion(3), { base::Revision(40), base::Revision(39), base::Revision(41) }, true, { { base::UpstreamId("e"), { 2, 1 } } } };
    load.limits = { sender.incarnation, { { base::ClientAccountId("c"), base::Tokens(7) } }, { base::InstanceId("h") }, 77, { { base::ClientAccountId("c"), base::Tokens(-8) } } };
    load.crashes.crashes = { { routing::CrashId("x"), std::chrono::seconds(4), { { CallTrait(-5), { CallTrait(6), CallTrait(7) } } } } };
    load.crashes.cleared = { CallTrait(8) };
    load.crashes.refusals = { { CallTrait(9), std::chrono::seconds(3) } };
    auto loadBack = std::get<LoadReport>(*decodeReport(encodeReport(load)));
    LONGS_EQUAL(9, loadBack.sender.sequence);
    CHECK_TRUE(load.directories == loadBack.directories);
    LONGS_EQUAL(2, loadBack.use.at(0).load.inFlight);
    LONGS_EQUAL(1, loadBack.use.at(0).load.awaiting);
    LONGS_EQUAL(5, loadBack.limits.incarnation.value());
    LONGS_EQUAL(7, loadBack.limits.charges.at(0).total.value());
    LONGS_EQUAL(77, loadBack.limits.liveSetDigest);
    LONGS_EQUAL(-8, loadBack.limits.balances.at(0).balance.value());
    const CrashReport& crash = loadBack.crashes.crashes.at(0);
    STRCMP_EQUAL("x", crash.crash.value().c_str());
    LONGS_EQUAL(4000, base::toMilliseconds(crash.age));
    LONGS_EQUAL(-5, crash.suspects.at(0).request.value());
    LONGS_EQUAL(2, crash.suspects.at(0).parts.size());
    LONGS_EQUAL(7, crash.suspects.at(0).parts.at(1).value());
    LONGS_EQUAL(8, loadBack.crashes.cleared.at(0).value());
    LONGS_EQUAL(9, loadBack.crashes.refusals.at(0).trait.value());
    LONGS_EQUAL(3000, base::toMilliseconds(loadBack.crashes.refusals.at(0).remaining));
    STRCMP_EQUAL("h", loadBack.limits.silentPeers.at(0).value().c_str());

    load.availability = { { base::UpstreamId("e"), StartId(8), true }, { base::UpstreamId("f"), StartId(9), false, std::chrono::milliseconds(2500) } };
    load.callLimits = { { base::UpstreamId("e"), StartId(8), 2.8, std::chrono::seconds(3) }, { base::UpstreamId("f"), StartId(9), std::nullopt, std::chrono::seconds(1) } };
    loadBack = std::get<LoadReport>(*decodeReport(encodeReport(load)));
    DOUBLES_EQUAL(2.8, loadBack.callLimits.at(0).limit.value_or(-1), 1e-9);
    LONGS_EQUAL(3000, base::toMilliseconds(loadBack.callLimits.at(0).age));
    CHECK_FALSE(loadBack.callLimits.at(1).limit.has_value());
    LONGS_EQUAL(9, loadBack.callLimits.at(1).start.value());
    LONGS_EQUAL(2, loadBack.availability.size());
    CHECK_TRUE(loadBack.availability.at(0).leaving && loadBack.availability.at(0).start == StartId(8));
    CHECK_FALSE(loadBack.availability.at(1).leaving);
    LONGS_EQUAL(2500, base::toMilliseconds(loadBack.availability.at(1).pauseLeft));

    load.partRequests = { { "e", std::chrono::milliseconds(123456) } };
    load.partLoans = { { "f", base::InstanceId("h"), std::chrono::milliseconds(7890), 3, 22 } };
    loadBack = std::get<LoadReport>(*decodeReport(encodeReport(load)));
    STRCMP_EQUAL("e", loadBack.partRequests.at(0).resource.c_str());
    LONGS_EQUAL(123456, base::toMilliseconds(loadBack.partRequests.at(0).sentAt));
    const PartLoan& loan = loadBack.partLoans.at(0);
    STRCMP_EQUAL("h", loan.borrower.value().c_str());
    LONGS_EQUAL(7890, base::toMilliseconds(loan.sentAt));
    LONGS_EQUAL(3, loan.rank);
    LONGS_EQUAL(22, loan.count);

    load.queued = { { { base::ServiceId("s"), base::ModelId("m") }, { { 1, { 4, 5 } } } } };
    loadBack = std::get<LoadReport>(*decodeReport(encodeReport(load)));
    LONGS_EQUAL(4, loadBack.queued.begin()->second.at(1).inTime);
    LONGS_EQUAL(5, loadBack.queued.begin()->second.at(1).late);

    PlannerState state { { { base::UpstreamId("e"), StartId(8), OrderKind::Load, base::ModelId("m"), true, std::chrono::seconds(8), std::chrono::seconds(2) } }, 3 };
    DemandReport demand { sender, { { { base::ModelId("m"), AdapterId("a1") }, 1, 2, 300, 1500 } } };
    CHECK_FALSE(std::get<DemandReport>(*decodeReport(encodeReport(demand))).handover.has_value());
    demand.handover = { base::Epoch(4), state };
    auto demandBack = std::get<DemandReport>(*decodeReport(encodeReport(demand)));
    STRCMP_EQUAL("a1", demandBack.demand.at(0).target.adapter.value().c_str());
    LONGS_EQUAL(300, demandBack.demand.at(0).arrivalsPerKilosecond);
    LONGS_EQUAL(1500, demandBack.demand.at(0).awaitingThousandths);
    LONGS_EQUAL(4, demandBack.handover->fence.value());
    LONGS_EQUAL(3, demandBack.handover->state.maxStoreLoads);
    const ExecutingOrder& orderBack = demandBack.handover->state.orders.at(0);
    STRCMP_EQUAL("m", orderBack.model.value().c_str());
    CHECK_TRUE(orderBack.fromWeightStore && orderBack.kind == OrderKind::Load);
    LONGS_EQUAL(2000, base::toMilliseconds(orderBack.age));

    PlanReport plan { sender, base::Epoch(6), { { base::UpstreamId("e"), StartId(8), { base::ModelId("m"), AdapterId() }, true } }, { { { base::ModelId("n"), AdapterId() }, std::chrono::milliseconds(250) } } };
    plan.state = state;
    auto planBack = std::get<PlanReport>(*decodeReport(encodeReport(plan)));
    LONGS_EQUAL(6, planBack.fence.value());
    CHECK_TRUE(planBack.notices.at(0).loaded);
    LONGS_EQUAL(250, base::toMilliseconds(planBack.expected.at(0).in));
    LONGS_EQUAL(8000, base::toMilliseconds(planBack.state.orders.at(0).expected));
}

// Guards against rejecting the reports of gateways of an earlier build, which lack the newest fields, during an update.
TEST(FleetReports, ReportsOfAnEarlierBuildAreRead)
{
    auto load = decodeReport(std::string("\x9a\x94\x01\xa1g\x05\x09\x03\x90\xc2\x90\x90\x90\x90\x07\x90", 16));
    CHECK_TRUE(load && std::get<LoadReport>(*load).queued.empty());
    auto plan = decodeReport(std::string("\x94\x94\x03\xa1g\x05\x09\x06\x90\x90", 10));
    CHECK_TRUE(plan && std::get<PlanReport>(*plan).state.orders.empty());
}

TEST(FleetReports, RejectsInvalidBytes)
{
    CHECK_FALSE(decodeReport("").has_value());
    CHECK_FALSE(decodeReport("\x93\x01\x02\x03").has_value());
    CHECK_PROPERTY([](const std::string& bytes) { decodeReport(bytes); });
}

TEST(FleetReports, RejectsOutOfRangeNumbers)
{
    // Guards against the conversion of a floating-point number outside the integer range, by which a datagram from any sender
    // could set counts to arbitrary values.
    CHECK_FALSE(decodeReport(std::string("\x92\x94\x02\xa1g\xcb\x7f\xef\xff\xff\xff\xff\xff\xff\x09\x90", 16)).has_value());
    PlanReport plan { { base::InstanceId("g"), Incarnation(5), 9 }, base::Epoch(6), {}, { { { base::ModelId("n"), AdapterId() }, std::chrono::hours(48) } } };
    CHECK_FALSE(decodeReport(encodeReport(plan)).has_value());
}

TEST(FleetReports, RejectsTruncatedReports)
{
    std::string whole = encodeReport(DemandReport { { base::InstanceId("g"), Incarnation(5), 9 }, { { { base::ModelId("m"), AdapterId("a1") }, 1, 2, 300 } } });
    for (size_t size = 0; size < whole.size(); ++size)
        CHECK_FALSE(decodeReport(whole.substr(0, size)).has_value());
}

TEST_GROUP(EventSplitter) {};

TEST(EventSplitter, PassesOnOnlyCompleteEvents)
{
    EventSplitter events;
    STRCMP_EQUAL("", events.feed("id: 1\ndata: a\n").c_str());
    STRCMP_EQUAL("id: 1\ndata: a\n\n", events.feed("\nid: 2\nda").c_str());
    STRCMP_EQUAL("1", events.lastId().c_str());
    CHECK_TRUE(events.hasPartial());
    events.dropPartial();
    STRCMP_EQUAL("id: 2\ndata: b\n\n", events.feed("id: 2\ndata: b\n\n").c_str());
    STRCMP_EQUAL("2", events.lastId().c_str());
    CHECK_FALSE(events.hasPartial());
}

TEST(EventSplitter, AStreamCannotResumeFromWithinAnEventThatIsTooLargeToHold)
{
    EventSplitter events;
    events.feed("id: 1\ndata: a\n\nid: 2\ndata: ");
    STRCMP_EQUAL("id: 2\ndata: ", events.releasePartial().c_str());
    CHECK_TRUE(events.hasPartial());
    STRCMP_EQUAL("", events.lastId().c_str());
    events.dropPartial();
    CHECK_TRUE(events.hasPartial());
    STRCMP_EQUAL("b\n\nid: 3\ndata: c\n\n", events.feed("b\n\nid: 3\ndata: c\n\n").c_str());
    CHECK_FALSE(events.hasPartial());
    STRCMP_EQUAL("3", events.lastId().c_str());
}

TEST(EventSplitter, EventsDoNotDependOnChunkBoundaries)
{
    CHECK_PROPERTY([] {
        std::string stream;
        for (int event = 1; event <= 5; ++event)
            stream += "id: " + std::to_string(event) + "\r\ndata: x\r\n\r\n";
        EventSplitter events;
        std::string passed;
        for (size_t at = 0; at < stream.size();) {
            size_t size = *rc::gen::inRange<size_t>(1, 9);
            passed += events.feed(std::string_view(stream).substr(at, size));
            at += size;
        }
        RC_ASSERT(passed == stream);
        RC_ASSERT(events.lastId() == "5");
    });
}

TEST_GROUP(DemandTracker) {};

TEST(DemandTracker, EndedDemandDecaysAndIsRemoved)
{
    DemandTracker book;
    ModelTarget target { base::ModelId("m"), AdapterId() };
    for (int call = 0; call < 40; ++call)
        book.onArrival(target, start + std::chrono::milliseconds(100 * call));
    base::Instant now = start + std::chrono::seconds(4);
    int64_t rate = book.summary(now).at(0).arrivalsPerKilosecond;
    CHECK_TRUE(rate > 5000 && rate < 10000);
    CHECK_TRUE(book.summary(now + std::chrono::seconds(60)).empty());
    book.onWaiting(target, 1);
    LONGS_EQUAL(1, book.summary(now + std::chrono::seconds(120)).at(0).waiting);
}

TEST(DemandTracker, QueuedPromptsAreAveragedOverTime)
{
    DemandTracker book;
    ModelTarget target { base::ModelId("m"), AdapterId() };
    for (int call = 0; call < 4; ++call)
        book.onSent(target, start);
    int64_t soon = book.summary(start + std::chrono::milliseconds(100)).at(0).awaitingThousandths;
    int64_t later = book.summary(start + std::chrono::seconds(8)).at(0).awaitingThousandths;
    CHECK_TRUE(soon > 0 && soon < 400);
    CHECK_TRUE(later > 3900 && later <= 4000);
    for (int call = 0; call < 4; ++call)
        book.onAnswerBegun(target, start + std::chrono::seconds(8));
    TargetDemand begun = book.summary(start + std::chrono::seconds(16)).at(0);
    CHECK_TRUE(begun.awaitingThousandths < 100);
    LONGS_EQUAL(4, begun.running);
    for (int call = 0; call < 4; ++call)
        book.onEnded(target, true, start + std::chrono::seconds(16));
    CHECK_TRUE(book.summary(start + std::chrono::seconds(17)).empty());
}
