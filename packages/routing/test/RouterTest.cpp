#include "Fixtures.h"
#include "toucanstep/routing/Admission.h"
#include "toucanstep/testing/Property.h"

#include <map>

using namespace toucanstep;
using namespace toucanstep::routing;
using namespace toucanstep::routing::fixtures;

TEST_GROUP(Router)
{
    const base::UpstreamId first { "u1" };
    const base::UpstreamId second { "u2" };
    UpstreamTable table;
    PrefixIndex prefixes { 100, 10min };
    RandomGenerator generator { 1 };
    std::unique_ptr<Router> router = makeExpectedWaitRouter({});

    void connect(const base::UpstreamId& upstream, int64_t inFlight, int64_t tokens)
    {
        table.setConnected(upstream, true);
        table.report(upstream, makeReport(1, inFlight, tokens), at(0s));
    }

    RouteDecision decide(const std::vector<Holder>& holders, base::Duration timeout = 60s)
    {
        return router->choose(makeRouteRequest(at(1s), timeout), holders, table, prefixes, generator);
    }
};

TEST(Router, TheHolderWithTheShorterWaitIsChosen)
{
    connect(first, 4, 4000);
    connect(second, 1, 1000);
    auto decision = decide({ makeLoadedHolder("u1", 7), makeLoadedHolder("u2", 9) });
    CHECK_TRUE(decision.chosen == second);
    CHECK_EQUAL(9, decision.epoch.value());
    CHECK_TRUE(decision.reason == RouteReason::LeastWait);
    CHECK_FALSE(decision.refusal.has_value());
    STRCMP_EQUAL("u1:eligible:2500ms:epoch7,u2:eligible:0ms:epoch9", describeCandidates(decision).c_str());
}

TEST(Router, OwnDispatchesAreAddedUntilAReportIncludesThem)
{
    // A burst of eight requests reaches one gateway within a millisecond. All of them are routed before the first response carries
    // a new report; a gateway that does not count its own dispatches can send them all to one upstream.
    connect(first, 0, 0);
    connect(second, 0, 0);
    std::map<base::UpstreamId, int> chosen;
    for (int index = 0; index < 8; ++index) {
        auto decision = decide({ makeLoadedHolder("u1"), makeLoadedHolder("u2") });
        ++chosen[*decision.chosen];
        table.dispatched(*decision.chosen, { base::ClientAccountId("farm"), 1, base::Tokens(100) });
    }
    CHECK_EQUAL(4, chosen[first]);
    CHECK_EQUAL(4, chosen[second]);
    auto report = makeReport(2, 4, 400);
    report.lastDispatchSeen = DispatchNumber(4);
    table.report(first, report, at(1s));
    CHECK_TRUE(table.find(first)->unreported.empty());
    CHECK_EQUAL(4, UpstreamTable::currentLoad(*table.find(first)).inFlight);
}

TEST(Router, AReportThatArrivesAfterANewerOneIsIgnored)
{
    connect(first, 0, 0);
    CHECK_TRUE(table.report(first, makeReport(5, 4, 400), at(1s)));
    CHECK_FALSE(table.report(first, makeReport(4, 0, 0), at(2s)));
    CHECK_EQUAL(4, table.find(first)->report.load.inFlight);
}

TEST(Router, AnotherAccountsLongQueueIsNoReasonToRefuse)
{
    // One account floods an upstream. The gateway refused another account's single request with a timeout of ten seconds, because
    // it counted the whole queue as its wait; the sidecar's fair queue would have served it within two seconds.
    connect(first, 4, 400);
    auto report = makeReport(2, 4, 400);
    report.load.backlog = { { base::ClientAccountId("ferry"), 1, base::Tokens(1000000) } };
    table.report(first, report, at(0s));
    auto decision = decide({ makeLoadedHolder("u1") }, 10s);
    CHECK_TRUE(decision.chosen == first);
    CHECK_TRUE(decision.expectedWait < 2s);
}

TEST(Router, TheWaitOfAnAccountAboveItsShareIncludesTheDemandOfOthers)
{
    // An account floods an upstream while four others send occasional requests. Its expected wait assumed the throughput of the
    // whole upstream, so its requests were queued, and a third of them were refused only at their deadline.
    UpstreamLoad load { .slots = 4, .tokensPerSecond = 50, .inFlight = 4, .inFlightTokens = base::Tokens(400) };
    load.backlog = { { base::ClientAccountId("ferry"), 1, base::Tokens(1800), base::Tokens(120) } };
    NewRequest flood { base::ClientAccountId("ferry"), 1, base::Tokens(200) };
    CHECK_TRUE(expectedWait(load, flood) < 10s);
    load.backlog.push_back({ base::ClientAccountId("farm"), 1, base::Tokens(0), base::Tokens(80) });
    CHECK_TRUE(expectedWait(load, flood) > 14s);
    NewRequest small { base::ClientAccountId("farm"), 1, base::Tokens(200) };
    CHECK_TRUE(expectedWait(load, small) < 2s);
}

TEST(Router, ADeadlineThatNoHolderCanMeetIsRefusedWithARetryTime)
{
    connect(first, 4, 16000);
    auto decision = decide({ makeLoadedHolder("u1") }, 4s);
    CHECK_FALSE(decision.chosen.has_value());
    CHECK_TRUE(decision.refusal->code == base::RefusalCode::DeadlineUnreachable);
    CHECK_TRUE(decision.refusal->ran == base::RanState::NotRun);
    // 16,000 tokens in four streams of 100 tokens per second: the first ends after 10 s, so a timeout of 4 s is enough from 6 s on.
    CHECK_TRUE(*decision.refusal->retryAt == at(7s));
}

TEST(Router, LeavingTerminatingAndDisconnectedUpstreamsGetNoNewWork)
{
    connect(first, 0, 0);
    connect(second, 4, 400);
    table.setTerminating(first, true);
    CHECK_TRUE(decide({ makeLoadedHolder("u1"), makeLoadedHolder("u2") }).chosen == second);
    table.setTerminating(first, false);
    auto leaving = makeReport(2, 0, 0);
    leaving.leaving = true;
    table.report(first, leaving, at(0s));
    CHECK_TRUE(decide({ makeLoadedHolder("u1"), makeLoadedHolder("u2") }).chosen == second);
    table.setConnected(second, false);
    auto decision = decide({ makeLoadedHolder("u1"), makeLoadedHolder("u2") });
    CHECK_FALSE(decision.chosen.has_value());
    CHECK_TRUE(decision.refusal->code == base::RefusalCode::NoCapacity);
    CHECK_TRUE(decision.candidates[0].verdict == CandidateVerdict::Leaving);
    CHECK_TRUE(decision.candidates[1].verdict == CandidateVerdict::Disconnected);
}

TEST(Router, AStaleOrQuarantiningUpstreamIsTheLastResort)
{
    connect(first, 0, 0);
    connect(second, 2, 200);
    auto suspect = makeReport(2, 1, 100);
    suspect.quarantining = true;
    table.report(first, suspect, at(0s));
    CHECK_TRUE(decide({ makeLoadedHolder("u1"), makeLoadedHolder("u2") }).chosen == second);
    CHECK_TRUE(decide({ makeLoadedHolder("u1") }).chosen == first);
    auto later = makeRouteRequest(at(100s), 60s);
    auto decision = router->choose(later, { makeLoadedHolder("u2") }, table, prefixes, generator);
    CHECK_TRUE(decision.chosen == second);
    CHECK_TRUE(decision.reason == RouteReason::StaleHolder);
}

TEST(Router, ColdHoldersAreComparedByTheEndOfTheirLoads)
{
    connect(first, 0, 0);
    connect(second, 0, 0);
    Holder slow { first, base::Epoch(1), HolderState::Cold, at(20s) };
    Holder fast { second, base::Epoch(1), HolderState::Loading, at(5s) };
    auto decision = decide({ slow, fast });
    CHECK_TRUE(decision.chosen == second);
    CHECK_TRUE(decision.reason == RouteReason::ColdHolder);
    auto refused = decide({ slow, fast }, 2s);
    CHECK_TRUE(refused.refusal->code == base::RefusalCode::DeadlineUnreachable);
    CHECK_TRUE(*refused.refusal->retryAt == at(3s));
}

TEST(Router, PrefixAffinityAppliesOnlyWhileTheUpstreamIsNotOverloaded)
{
    connect(first, 1, 100);
    connect(second, 0, 0);
    auto request = makeRouteRequest(at(1s), 60s);
    request.prefixes = { PrefixFingerprint(1), PrefixFingerprint(2) };
    prefixes.stored(first, PrefixFingerprint(1), at(0s));
    auto decision = router->choose(request, { makeLoadedHolder("u1"), makeLoadedHolder("u2") }, table, prefixes, generator);
    CHECK_TRUE(decision.chosen == first);
    CHECK_TRUE(decision.reason == RouteReason::PrefixAffinity);
    table.report(first, makeReport(2, 4, 4000), at(0s));
    CHECK_TRUE(router->choose(request, { makeLoadedHolder("u1"), makeLoadedHolder("u2") }, table, prefixes, generator).chosen == second);
}

TEST(Router, AChoiceIsReachableInTimeAndExcludesARefusal)
{
    CHECK_PROPERTY_WITH(testing::PropertyOptions { .maxSuccess = 3000 }, [] {
        UpstreamTable upstreams;
        std::vector<Holder> holders;
        auto count = *rc::gen::inRange(0, 5);
        for (int index = 0; index < count; ++index) {
            base::UpstreamId id(base::concat("u", index));
            upstreams.setConnected(id, *rc::gen::arbitrary<bool>());
            upstreams.setTerminating(id, *rc::gen::weightedElement<bool>({ { 4, false }, { 1, true } }));
            auto report = makeReport(1, *rc::gen::inRange(0, 6), *rc::gen::inRange(0, 10000));
            report.quarantining = *rc::gen::arbitrary<bool>();
            upstreams.report(id, report, at(std::chrono::seconds(*rc::gen::inRange(0, 5))));
            auto state = *rc::gen::element(HolderState::Cold, HolderState::Loading, HolderState::Loaded);
            std::optional<base::Instant> end;
            if (*rc::gen::arbitrary<bool>())
                end = at(std::chrono::seconds(*rc::gen::inRange(0, 20)));
            holders.push_back({ id, base::Epoch(1), state, end });
        }
        auto request = makeRouteRequest(at(5s), std::chrono::seconds(*rc::gen::inRange(0, 15)));
        RandomGenerator random { 7 };
        auto decision = makeExpectedWaitRouter({})->choose(request, holders, upstreams, PrefixIndex(10, 1min), random);
        RC_ASSERT(decision.chosen.has_value() != decision.refusal.has_value());
        RC_ASSERT(decision.candidates.size() == holders.size());
        if (!decision.chosen) {
            RC_ASSERT(decision.refusal->ran == base::RanState::NotRun);
            return;
        }
        const auto* entry = upstreams.find(*decision.chosen);
        RC_ASSERT(entry->connected && !entry->terminating);
        RC_ASSERT(request.now + decision.expectedWait <= request.deadline);
    });
}

TEST(Router, TheRandomBaselineUsesAllReachableHolders)
{
    connect(first, 4, 4000);
    connect(second, 0, 0);
    auto random = makeRandomRouter();
    std::map<base::UpstreamId, int> chosen;
    for (int index = 0; index < 100; ++index)
        ++chosen[*random->choose(makeRouteRequest(at(1s), 60s), { makeLoadedHolder("u1"), makeLoadedHolder("u2") }, table, prefixes, generator).chosen];
    CHECK_TRUE(chosen[first] > 20 && chosen[second] > 20);
}

TEST_GROUP(PrefixIndex) {};

TEST(PrefixIndex, LateAndLostEventsAreTolerated)
{
    PrefixIndex index(2, 1min);
    base::UpstreamId upstream("u1");
    index.evicted(upstream, PrefixFingerprint(9));
    index.stored(upstream, PrefixFingerprint(1), at(0s));
    index.stored(upstream, PrefixFingerprint(1), at(1s));
    CHECK_EQUAL(1, index.size());
    index.stored(upstream, PrefixFingerprint(2), at(2s));
    index.stored(upstream, PrefixFingerprint(3), at(3s));
    CHECK_EQUAL(2, index.size());
    CHECK_TRUE(index.match({ PrefixFingerprint(1) }, at(3s)).empty());
    CHECK_EQUAL(2, index.match({ PrefixFingerprint(1), PrefixFingerprint(2) }, at(3s))[0].blocks);
    CHECK_TRUE(index.match({ PrefixFingerprint(2) }, at(100s)).empty());
    index.forget(upstream);
    CHECK_EQUAL(0, index.size());
}

TEST(PrefixIndex, PromptsShareTheFingerprintsOfTheirCommonBlocks)
{
    std::string common(2 * prefixBlockBytes, 'a');
    auto left = prefixesOf(base::ModelId("m"), common + std::string(prefixBlockBytes, 'b'));
    auto right = prefixesOf(base::ModelId("m"), common + std::string(prefixBlockBytes, 'c'));
    CHECK_EQUAL(3, left.size());
    CHECK_TRUE(left[0] == right[0] && left[1] == right[1] && left[2] != right[2]);
    CHECK_TRUE(prefixesOf(base::ModelId("other"), common)[0] != left[0]);
    CHECK_TRUE(prefixesOf(base::ModelId("m"), "short").empty());
}

TEST_GROUP(Admission) {};

TEST(Admission, ARequestThatCannotMeetItsDeadlineIsRefusedBeforeQueueing)
{
    UpstreamLoad load { .slots = 1, .tokensPerSecond = 100, .inFlight = 1, .inFlightTokens = base::Tokens(500) };
    AdmissionRequest request { .request = { base::ClientAccountId("farm"), 1, base::Tokens(10) }, .deadline = at(3s) };
    auto verdict = admit(request, load, at(0s));
    CHECK_TRUE(verdict.expectedWait == 5s);
    CHECK_TRUE(verdict.refusal->code == base::RefusalCode::DeadlineUnreachable);
    CHECK_TRUE(*verdict.refusal->retryAt == at(2s));
    request.deadline = at(6s);
    CHECK_FALSE(admit(request, load, at(0s)).refusal.has_value());
    request.expectedLoadEnd = at(7s);
    CHECK_TRUE(admit(request, load, at(0s)).refusal.has_value());
}
