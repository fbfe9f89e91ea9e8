#include "EventSplitter.h"
#include "toucanstep/direct/FleetReports.h"
#include "toucanstep/direct/PlannerLeadership.h"
#include "toucanstep/planner/DemandTracker.h"
#include "toucanstep/serving/DesiredState.h"
#include "toucanstep/testing/Property.h"
#include "toucanstep/upstreams/UpstreamSelection.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::direct;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };

} // namespace

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
    load.crashes.crashes = { { routing::CrashId("x"), std::chrono::seconds(4), { { { CallTrait(-5), { CallTrait(6), CallTrait(7) } }, std::chrono::milliseconds(37) }, { { CallTrait(-6), {} }, {} } } } };
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
    LONGS_EQUAL(-5, crash.suspects.at(0).traits.request.value());
    LONGS_EQUAL(2, crash.suspects.at(0).traits.parts.size());
    LONGS_EQUAL(7, crash.suspects.at(0).traits.parts.at(1).value());
    LONGS_EQUAL(37, base::toMilliseconds(crash.suspects.at(0).inFlight.value()));
    CHECK_FALSE(crash.suspects.at(1).inFlight.has_value());
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

    load.limits.joining = true;
    load.limits.share = 0.125;
    load.limits.acknowledged = { base::InstanceId("k") };
    loadBack = std::get<LoadReport>(*decodeReport(encodeReport(load)));
    CHECK_TRUE(loadBack.limits.joining);
    STRCMP_EQUAL("k", loadBack.limits.acknowledged.at(0).value().c_str());
    DOUBLES_EQUAL(0.125, loadBack.limits.share, 1e-9);
    load.limits.share = 1;
    load.limits.joining = false;
    load.limits.acknowledged.clear();

    size_t withoutAccounts = encodeReport(load).size();
    load.queuedAccounts = { { { base::ServiceId("s"), base::ModelId("m") }, { { 1, { { base::ClientAccountId("a"), 4 } } } } } };
    load.waitingTokens = { { base::ClientAccountId("a"), base::Tokens(900) } };
    loadBack = std::get<LoadReport>(*decodeReport(encodeReport(load)));
    CHECK_TRUE(loadBack.queuedAccounts == load.queuedAccounts && loadBack.waitingTokens == load.waitingTokens);
    load.queuedAccounts.clear();
    load.waitingTokens.clear();
    LONGS_EQUAL(withoutAccounts, encodeReport(load).size());

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
