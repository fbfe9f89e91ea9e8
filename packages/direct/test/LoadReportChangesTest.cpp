#include "toucanstep/direct/LoadReportChanges.h"

#include "toucanstep/direct/DemandReportChanges.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::direct;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto interval = std::chrono::milliseconds(100);
const base::UpstreamId engine("i-1");

LoadReport reportOf(const std::map<base::UpstreamId, UpstreamLoad>& use, int64_t sequence = 1)
{
    LoadReport report;
    report.sender = { base::InstanceId("edge-1"), Incarnation(7), sequence };
    for (const auto& [upstream, load] : use) {
        if (load.inFlight)
            report.use.push_back({ upstream, load });
    }
    return report;
}

} // namespace

TEST_GROUP(LoadReportChanges)
{
    LoadReportChanges changes;
    PeerLoads peers;
};

// Guards against reports that grow with the fleet: with a whole report to all others ten times a second, a gateway of 105
// received 2.9 MB/s, more than its link carries.
TEST(LoadReportChanges, AReportHoldsOnlyWhatHasChanged)
{
    std::map<base::UpstreamId, UpstreamLoad> use;
    for (int number = 0; number < 100; ++number)
        use[base::UpstreamId("i-" + std::to_string(number))] = { 1, 0 };
    LONGS_EQUAL(100, changes.next(reportOf(use), false).use.size());
    use[engine] = { 2, 1 };
    changes.next(reportOf(use), false);
    changes.next(reportOf(use), false);
    LONGS_EQUAL(0, changes.next(reportOf(use), false).use.size());
    use[engine] = { 3, 1 };
    LONGS_EQUAL(1, changes.next(reportOf(use), false).use.size());
    LONGS_EQUAL(100, changes.next(reportOf(use), true).use.size());
}

// Guards against one of the two rates by which a larger fleet floods its gateways: the number of reports.
TEST(LoadReportChanges, AGatewayReceivesABoundedNumberOfReports)
{
    CHECK_TRUE(loadReportInterval(22) == interval);
    for (size_t gateways : { 105, 350, 1000 })
        CHECK_TRUE(static_cast<double>(gateways) / base::toSeconds(loadReportInterval(gateways)) <= 401);
}

TEST(LoadReportChanges, AnUpstreamThatIsNoLongerUsedIsReported)
{
    peers.apply(changes.next(reportOf({ { engine, { 2, 1 } } }), false), start);
    LONGS_EQUAL(2, peers.loads().at(engine).inFlight);
    CHECK_TRUE(peers.takeChanged().contains(engine));
    peers.apply(changes.next(reportOf({}, 2), false), start);
    CHECK_TRUE(peers.loads().empty());
    CHECK_TRUE(peers.takeChanged().contains(engine));
}

// Guards against loads that are half known: a gateway that has just started would take the changes of a peer for all its calls.
TEST(LoadReportChanges, ChangesOfAnUnknownStartAreNotApplied)
{
    changes.next(reportOf({ { engine, { 2, 1 } } }), false);
    LoadReport change = changes.next(reportOf({ { engine, { 3, 1 } } }, 2), false);
    CHECK_FALSE(change.complete);
    CHECK_FALSE(peers.apply(change, start));
    CHECK_TRUE(peers.loads().empty());
}

TEST(LoadReportChanges, TheCallsOfASilentPeerAreForgotten)
{
    peers.apply(changes.next(reportOf({ { engine, { 2, 1 } } }), false), start);
    peers.expire(interval, start + 2 * interval);
    CHECK_TRUE(peers.loads().empty());
    CHECK_TRUE(peers.peers().empty());
}

TEST(LoadReportChanges, ChangesAreToldFromCompleteReports)
{
    LoadReport report = reportOf({ { engine, { 2, 1 } } });
    report.complete = false;
    auto decoded = decodeReport(encodeReport(report));
    CHECK_TRUE(decoded && !std::get<LoadReport>(*decoded).complete && !std::get<LoadReport>(*decoded).limits.complete);
    DemandReport demand { report.sender, {}, {}, false };
    CHECK_FALSE(std::get<DemandReport>(*decodeReport(encodeReport(demand))).complete);
    PlanReport plan { report.sender, base::Epoch(3), {}, {}, {}, false };
    CHECK_FALSE(std::get<PlanReport>(*decodeReport(encodeReport(plan))).complete);
}

// Reports are lost, repeated and delayed in any pattern. Whoever has received the last complete report and all since, or a
// complete one after the losses, knows exactly the loads of the sender; the sums over peers are those of their loads.
TEST(LoadReportChanges, ReceiversKnowTheSendersLoadsWhateverWasLost)
{
    CHECK_PROPERTY([] {
        constexpr size_t senders = 3;
        std::vector<LoadReportChanges> reported(senders);
        std::vector<std::map<base::UpstreamId, UpstreamLoad>> use(senders);
        PeerLoads received;
        int64_t sequence = 0;
        auto send = [&](size_t sender, bool lost) {
            LoadReport report = reportOf(use[sender], ++sequence);
            report.sender.instance = base::InstanceId("edge-" + std::to_string(sender));
            report = reported[sender].next(std::move(report), false);
            if (!lost)
                received.apply(std::get<LoadReport>(*decodeReport(encodeReport(report))), start);
        };
        int events = *rc::gen::inRange(1, 150);
        for (int count = 0; count < events; ++count) {
            auto sender = *rc::gen::inRange<size_t>(0, senders);
            base::UpstreamId upstream("i-" + std::to_string(*rc::gen::inRange(0, 6)));
            use[sender][upstream] = { *rc::gen::inRange<int64_t>(0, 4), 0 };
            send(sender, *rc::gen::inRange(0, 3) == 0);
        }
        for (int settle = 0; settle < 11; ++settle) {
            for (size_t sender = 0; sender < senders; ++sender)
                send(sender, false);
        }
        std::map<base::UpstreamId, int64_t> sums;
        for (const auto& loads : use) {
            for (const auto& [upstream, load] : loads)
                sums[upstream] += load.inFlight;
        }
        for (const auto& [upstream, sum] : sums) {
            auto known = received.loads().find(upstream);
            RC_ASSERT((known == received.loads().end() ? 0 : known->second.inFlight) == sum);
        }
    });
}

TEST_GROUP(DemandReportChanges)
{
    DemandReportChanges changes;
    PeerDemand peers;
    const ModelTarget target { base::ModelId("m"), AdapterId() };

    int64_t waiting()
    {
        std::map<ModelTarget, TargetDemand> sums;
        peers.addTo(sums);
        return sums[target].waiting;
    }
    void report(const std::vector<TargetDemand>& demand, bool complete)
    {
        peers.apply({ { base::InstanceId("edge-1"), Incarnation(1), 1 }, changes.next(demand, complete), {}, complete }, start);
    }
};

// Guards against demand that is counted in the failure domain of the planner instead of that of the gateway that has it.
TEST(DemandReportChanges, CallsAreCountedInTheDomainOfTheirGateway)
{
    report({ { target, 3, 2 }, { { target.model, AdapterId("a") }, 0, 4 } }, true);
    PeerDemand::CallsByDomain calls;
    PeerDemand::add({ target, 1 }, base::FailureDomain("east"), calls);
    peers.addTo(calls, [](const base::InstanceId& id) { return base::FailureDomain(id == base::InstanceId("edge-1") ? "west" : ""); });
    LONGS_EQUAL(2, calls.size());
    LONGS_EQUAL(9, calls[std::pair(target.model, base::FailureDomain("west"))]);
    LONGS_EQUAL(1, calls[std::pair(target.model, base::FailureDomain("east"))]);
}

// Guards against a model that is kept for callers who have left: an entry that is gone has to be reported too.
TEST(DemandReportChanges, WhatNoLongerWaitsIsReported)
{
    report({ { target, 3 } }, true);
    LONGS_EQUAL(3, waiting());
    LONGS_EQUAL(0, changes.next({ { target, 3 } }, false).size());
    report({ { target, 1 } }, false);
    LONGS_EQUAL(1, waiting());
    report({}, false);
    LONGS_EQUAL(0, waiting());
}

TEST(DemandReportChanges, SmallChangesWaitForACompleteReport)
{
    changes.next({ { target, 0, 8, 10000 } }, true);
    LONGS_EQUAL(0, changes.next({ { target, 0, 9, 11000 } }, false).size());
    LONGS_EQUAL(1, changes.next({ { target, 0, 12, 11000 } }, false).size());
    LONGS_EQUAL(1, changes.next({ { target, 0, 13, 11000 } }, true).size());
}
