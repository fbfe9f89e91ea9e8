#include "toucanstep/history/Checkers.h"
#include "toucanstep/history/Measures.h"
#include "toucanstep/testing/Property.h"

#include <functional>

using namespace toucanstep::base;
using namespace toucanstep::history;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start { std::chrono::hours(1) };

Instant at(int64_t millisecondsAfterStart) { return start + milliseconds(millisecondsAfterStart); }

using Events = std::vector<HistoryEvent>;

// A run in which every bound holds: one warm and one cold request, a call and its repeat, a refusal, a withdrawn key, a
// leaving upstream and two configurations.
Events cleanRun()
{
    InstanceId gateway("gateway-1");
    ClientAccountId farm("farm");
    RequestId first("r1");
    RequestId call("r2");
    RequestId repeat("r3");
    RequestId refused("r4");
    UpstreamId engine("engine-1");
    UpstreamId desk("desk-1");
    ModelId model("narrator");
    ServiceId seal("seal");
    KeyFingerprint key("k1");
    using enum HistoryKind;
    return {
        { .kind = ConfigurationInForce, .at = at(0), .recorder = gateway, .version = Revision(7) },
        { .kind = LimitInForce, .at = at(0), .recorder = gateway, .account = farm, .tokens = Tokens(10), .burst = Tokens(100) },
        { .kind = MemoryCapacity, .at = at(0), .upstream = engine, .bytes = Bytes(100) },
        { .kind = ReplicaDecided, .at = at(1), .upstream = engine, .model = model },
        { .kind = Offered, .at = at(10), .request = first, .account = farm, .key = key, .tokens = Tokens(60), .weight = 3, .deadline = at(2000) },
        { .kind = Admitted, .at = at(11), .recorder = gateway, .request = first, .account = farm, .key = key, .tokens = Tokens(60) },
        { .kind = ReplicaLoaded, .at = at(20), .upstream = engine, .model = model, .bytes = Bytes(80) },
        { .kind = WorkGiven, .at = at(420), .request = first, .upstream = engine },
        { .kind = RunStarted, .at = at(420), .request = first, .account = farm, .upstream = engine, .model = model },
        { .kind = FirstToken, .at = at(500), .request = first, .model = model, .cold = true },
        { .kind = RunEnded, .at = at(820), .request = first, .upstream = engine, .model = model, .digest = "d1" },
        { .kind = Answered, .at = at(830), .request = first, .account = farm, .digest = "d1", .complete = true },
        { .kind = Refunded, .at = at(831), .request = first, .account = farm, .tokens = Tokens(40) },
        { .kind = Offered, .at = at(900), .request = call, .account = farm, .service = seal, .key = key, .idempotencyKey = "i1", .tokens = Tokens(5), .deadline = at(2000) },
        { .kind = Admitted, .at = at(901), .recorder = gateway, .request = call, .account = farm, .key = key, .tokens = Tokens(5) },
        { .kind = WorkGiven, .at = at(902), .request = call, .upstream = desk },
        { .kind = RunStarted, .at = at(903), .request = call, .account = farm, .upstream = desk, .service = seal, .idempotencyKey = "i1" },
        { .kind = RunEnded, .at = at(910), .request = call, .upstream = desk, .digest = "d2" },
        { .kind = Answered, .at = at(911), .request = call, .account = farm, .digest = "d2", .complete = true },
        { .kind = Offered, .at = at(920), .request = repeat, .account = farm, .service = seal, .key = key, .idempotencyKey = "i1", .tokens = Tokens(5), .deadline = at(2000) },
        { .kind = Admitted, .at = at(921), .recorder = gateway, .request = repeat, .account = farm, .key = key, .tokens = Tokens(5) },
        { .kind = Answered, .at = at(922), .request = repeat, .account = farm, .digest = "d2", .complete = true },
        { .kind = Offered, .at = at(930), .request = refused, .account = farm, .key = key, .tokens = Tokens(90), .deadline = at(2000) },
        { .kind = Refused, .at = at(931), .request = refused, .account = farm, .code = RefusalCode::RateLimited, .ran = RanState::NotRun },
        { .kind = KeyWithdrawn, .at = at(1000), .key = key },
        { .kind = UpstreamLeaving, .at = at(1000), .upstream = engine },
        { .kind = ConfigurationInForce, .at = at(1100), .recorder = gateway, .version = Revision(8) },
        { .kind = ReplicaUnloaded, .at = at(1220), .upstream = engine, .model = model },
        { .kind = ReplicaWithdrawn, .at = at(1230), .upstream = engine, .model = model },
        { .kind = ConfigurationInForce, .at = at(9000), .recorder = gateway, .version = Revision(8) },
    };
}

History historyOf(const Events& events)
{
    History history;
    for (const auto& event : events)
        history.add(event);
    return history;
}

std::string bounds(const std::vector<Break>& breaks)
{
    std::string names;
    for (const Break& found : breaks)
        names += found.bound + (found.events.empty() ? " (no events) " : " ");
    return names;
}

// The bounds that break once `fault` has been done to the clean run; each must be named with its events.
std::string boundsAfter(const std::function<void(Events&)>& fault)
{
    Events events = cleanRun();
    fault(events);
    return bounds(checkAll(historyOf(events)));
}

HistoryEvent& find(Events& events, HistoryKind kind, const std::string& request)
{
    return *std::find_if(events.begin(), events.end(), [&](const auto& event) { return event.kind == kind && event.request.value() == request; });
}

void remove(Events& events, HistoryKind kind, const std::string& request)
{
    events.erase(events.begin() + (&find(events, kind, request) - events.data()));
}

HistoryEvent copyOf(Events& events, HistoryKind kind, const std::string& request) { return find(events, kind, request); }

} // namespace

TEST_GROUP(Checkers) {};

TEST(Checkers, FindNothingInACleanRun)
{
    STRCMP_EQUAL("", boundsAfter([](Events&) {}).c_str());
    LONGS_EQUAL(11, allCheckers().size());
}

TEST(Checkers, CatchAnAccountThatGetsMoreThanItsBurst)
{
    auto admitMore = [](Events& events) {
        HistoryEvent more = copyOf(events, HistoryKind::Admitted, "r2");
        more.request = RequestId("r9");
        more.tokens = Tokens(90);
        events.push_back(more);
    };
    STRCMP_EQUAL("limit_windows ", boundsAfter(admitMore).c_str());
}

TEST(Checkers, CatchAnAccountWithNoLimit)
{
    auto noLimit = [](Events& events) { events.erase(events.begin() + 1); };
    STRCMP_EQUAL("limit_windows ", boundsAfter(noLimit).c_str());
}

// A limit is lowered while requests run. What was let in before stays right; what is let in after has to keep the new one.
TEST(Checkers, JudgeEachWindowByTheLimitsOfItsTime)
{
    auto admitted = [](int64_t when, int64_t tokens) {
        return HistoryEvent { .kind = HistoryKind::Admitted, .at = at(when), .recorder = InstanceId("g"), .request = RequestId(std::to_string(when)), .account = ClientAccountId("a"), .tokens = Tokens(tokens) };
    };
    auto limit = [](int64_t when, int64_t burst) {
        return HistoryEvent { .kind = HistoryKind::LimitInForce, .at = at(when), .recorder = InstanceId("g"), .account = ClientAccountId("a"), .tokens = Tokens(1), .burst = Tokens(burst) };
    };
    Events lowered { limit(0, 100), admitted(10, 100), limit(1000, 10), admitted(11'000, 10) };
    STRCMP_EQUAL("", bounds(checkAll(historyOf(lowered))).c_str());
    lowered.push_back(admitted(11'010, 10));
    STRCMP_EQUAL("limit_windows ", bounds(checkAll(historyOf(lowered))).c_str());
}

TEST(Checkers, CatchAReplicaThatNobodyDecided)
{
    auto loadElsewhere = [](Events& events) {
        events.push_back({ .kind = HistoryKind::MemoryCapacity, .at = at(1), .upstream = UpstreamId("engine-2"), .bytes = Bytes(100) });
        events.push_back({ .kind = HistoryKind::ReplicaLoaded, .at = at(600), .upstream = UpstreamId("engine-2"), .model = ModelId("narrator"), .bytes = Bytes(80) });
        events.push_back({ .kind = HistoryKind::ReplicaUnloaded, .at = at(700), .upstream = UpstreamId("engine-2"), .model = ModelId("narrator") });
    };
    STRCMP_EQUAL("replicas_over_decided ", boundsAfter(loadElsewhere).c_str());
    auto withdrawTooEarly = [](Events& events) {
        events.push_back({ .kind = HistoryKind::ReplicaWithdrawn, .at = at(700), .upstream = UpstreamId("engine-1"), .model = ModelId("narrator") });
    };
    STRCMP_EQUAL("replicas_over_decided ", boundsAfter(withdrawTooEarly).c_str());
}

TEST(Checkers, CatchMemoryThatIsPromisedTwice)
{
    auto loadSecond = [](Events& events) {
        events.push_back({ .kind = HistoryKind::ReplicaDecided, .at = at(500), .upstream = UpstreamId("engine-1"), .model = ModelId("other") });
        events.push_back({ .kind = HistoryKind::ReplicaLoaded, .at = at(600), .upstream = UpstreamId("engine-1"), .model = ModelId("other"), .bytes = Bytes(21) });
    };
    STRCMP_EQUAL("memory_overcommitted ", boundsAfter(loadSecond).c_str());
}

TEST(Checkers, CatchACallThatRanTwice)
{
    auto runRepeat = [](Events& events) {
        HistoryEvent run = copyOf(events, HistoryKind::RunStarted, "r2");
        run.request = RequestId("r3");
        events.push_back(run);
    };
    STRCMP_EQUAL("doubled_calls ", boundsAfter(runRepeat).c_str());
}

TEST(Checkers, CatchARefusalThatSaysNotRunThoughItRan)
{
    auto runLate = [](Events& events) {
        events.push_back({ .kind = HistoryKind::RunStarted, .at = at(980), .request = RequestId("r4"), .account = ClientAccountId("farm"), .upstream = UpstreamId("engine-1") });
    };
    STRCMP_EQUAL("false_not_run ", boundsAfter(runLate).c_str());
}

TEST(Checkers, CatchForeignAndCutAnswersThatPassAsWhole)
{
    auto crossed = [](Events& events) { find(events, HistoryKind::Answered, "r1").digest = "d2"; };
    STRCMP_EQUAL("foreign_or_cut_answers ", boundsAfter(crossed).c_str());
    auto cut = [](Events& events) { remove(events, HistoryKind::RunEnded, "r1"); };
    STRCMP_EQUAL("foreign_or_cut_answers ", boundsAfter(cut).c_str());
    auto foreignAccount = [](Events& events) { find(events, HistoryKind::RunStarted, "r1").account = ClientAccountId("mill"); };
    STRCMP_EQUAL("foreign_or_cut_answers ", boundsAfter(foreignAccount).c_str());
    auto toldAsCut = [](Events& events) {
        find(events, HistoryKind::Answered, "r1").complete = false;
        find(events, HistoryKind::Answered, "r1").digest = "half";
    };
    STRCMP_EQUAL("", boundsAfter(toldAsCut).c_str());
}

TEST(Checkers, CatchARequestThatIsNeverAnswered)
{
    auto drop = [](Events& events) { remove(events, HistoryKind::Refused, "r4"); };
    STRCMP_EQUAL("dropped_requests ", boundsAfter(drop).c_str());
    auto late = [](Events& events) { find(events, HistoryKind::Refused, "r4").at = at(2300); };
    STRCMP_EQUAL("dropped_requests ", boundsAfter(late).c_str());
    auto stillWaiting = [](Events& events) { find(events, HistoryKind::Offered, "r4").deadline = at(60'000); };
    STRCMP_EQUAL("", boundsAfter([&](Events& events) { stillWaiting(events); drop(events); }).c_str());
}

TEST(Checkers, CatchAWithdrawnKeyThatStillWorks)
{
    auto useLate = [](Events& events) { find(events, HistoryKind::Admitted, "r2").at = at(4001); };
    STRCMP_EQUAL("withdrawn_keys ", boundsAfter(useLate).c_str());
    // A request that waited in a queue while its key was withdrawn.
    auto runLate = [](Events& events) { find(events, HistoryKind::WorkGiven, "r2").at = at(4001); };
    STRCMP_EQUAL("withdrawn_keys ", boundsAfter(runLate).c_str());
}

TEST(Checkers, CatchNewWorkForALeavingUpstream)
{
    auto giveLate = [](Events& events) {
        events.push_back({ .kind = HistoryKind::WorkGiven, .at = at(4001), .request = RequestId("r9"), .upstream = UpstreamId("engine-1") });
    };
    STRCMP_EQUAL("leaving_upstreams ", boundsAfter(giveLate).c_str());
}

TEST(Checkers, CatchAConfigurationThatGoesBack)
{
    auto goBack = [](Events& events) { events.back().version = Revision(7); };
    STRCMP_EQUAL("configuration_going_back ", boundsAfter(goBack).c_str());
}

TEST(Checkers, CatchAnUpstreamThatSeesAKey)
{
    auto show = [](Events& events) { find(events, HistoryKind::RunStarted, "r1").keySeen = true; };
    STRCMP_EQUAL("keys_seen ", boundsAfter(show).c_str());
}

TEST(Checkers, RenderABreakWithItsEvents)
{
    Events events = cleanRun();
    find(events, HistoryKind::RunStarted, "r1").keySeen = true;
    auto breaks = checkAll(historyOf(events));
    STRCMP_CONTAINS("keys_seen: upstream engine-1 saw the caller's key\n    {", breaks.at(0).render().c_str());
    STRCMP_CONTAINS("\"request\":\"r1\"", breaks.at(0).render().c_str());
}

TEST_GROUP(History) {};

TEST(History, LinesOfSeveralProcessesAreMergedByTime)
{
    std::string first;
    std::string second;
    int index = 0;
    for (const auto& event : cleanRun())
        (index++ % 2 ? first : second) += encodeHistoryEvent(event) + "\n";
    History history;
    history.addLines(first);
    history.addLines(second);
    LONGS_EQUAL(0, history.malformedLines());
    LONGS_EQUAL(cleanRun().size(), history.events().size());
    LONGS_EQUAL(0, checkAll(history).size());
}

// A process is killed while it writes. Its last line is cut off, which says nothing about the bounds; a broken line in the
// middle, however, may hide an event, and has to be told.
TEST(History, ACutOffLastLineIsLeftOutAndABrokenOneCounted)
{
    std::string line = encodeHistoryEvent(cleanRun().front());
    History history;
    history.addLines(line + "\n" + line.substr(0, 20));
    LONGS_EQUAL(1, history.events().size());
    LONGS_EQUAL(0, history.malformedLines());
    history.addLines("{\"kind\":\"nonsense\"}\n{\"kind\":\"offered\",\"tokens\":\"many\"}\n");
    LONGS_EQUAL(2, history.malformedLines());
}

TEST_GROUP(Measures) {};

TEST(Measures, AreComputedFromTheCleanRun)
{
    Measures measures = measure(historyOf(cleanRun()));
    LONGS_EQUAL(4, measures.requests);
    LONGS_EQUAL(3, measures.answered);
    LONGS_EQUAL(1, measures.refused);
    LONGS_EQUAL(0, measures.boundBreaks);
    DOUBLES_EQUAL(490, measures.coldStartP50.value(), 0.001);
    // Loaded for 1,200 ms and running for 400 ms of them.
    DOUBLES_EQUAL(800.0 / 1200.0, measures.idleAcceleratorRatio.value(), 0.001);
    DOUBLES_EQUAL(1, measures.worstAccount.value(), 0.001);
    DOUBLES_EQUAL(0, measures.wrongfulRefusals.value(), 0.001);
}

TEST(Measures, CountARefusalThatAnExactBucketWouldNotHaveMade)
{
    Events events = cleanRun();
    find(events, HistoryKind::Offered, "r4").tokens = Tokens(50);
    Measures measures = measure(historyOf(events));
    LONGS_EQUAL(1, measures.wronglyRefused);
    DOUBLES_EQUAL(0.25, measures.wrongfulRefusals.value(), 0.001);
    // Weights 3 + 1 + 1 of 3 + 1 + 1 + 1 were answered.
    DOUBLES_EQUAL(5.0 / 6.0, measures.worstAccount.value(), 0.001);
}

// An account sends more than its rate. Which of its requests are let in is a matter of chance, so the replay chooses others
// than the gateways did; as long as it got as many, nobody was refused wrongly.
TEST(Measures, DoNotBlameGatewaysForChoosingOtherRequestsOfAFlood)
{
    Events events = cleanRun();
    find(events, HistoryKind::Offered, "r4").tokens = Tokens(50);
    Events more {
        { .kind = HistoryKind::Offered, .at = at(940), .request = RequestId("r5"), .account = ClientAccountId("farm"), .tokens = Tokens(50), .deadline = at(2000) },
        { .kind = HistoryKind::Admitted, .at = at(941), .recorder = InstanceId("gateway-1"), .request = RequestId("r5"), .account = ClientAccountId("farm"), .tokens = Tokens(50) },
        { .kind = HistoryKind::RunEnded, .at = at(950), .request = RequestId("r5"), .digest = "d5" },
        { .kind = HistoryKind::Answered, .at = at(951), .request = RequestId("r5"), .account = ClientAccountId("farm"), .digest = "d5", .complete = true },
    };
    events.insert(events.end(), more.begin(), more.end());
    Measures measures = measure(historyOf(events));
    LONGS_EQUAL(0, measures.wronglyRefused);
    DOUBLES_EQUAL(1, measures.worstAccount.value(), 0.001);
}

TEST(Measures, AreAbsentWhereTheHistoryCannotGiveThem)
{
    Measures measures = measure(History {});
    CHECK_FALSE(measures.coldStartP99.has_value());
    CHECK_FALSE(measures.idleAcceleratorRatio.has_value());
    CHECK_FALSE(measures.worstAccount.has_value());
    CHECK_FALSE(measures.wrongfulRefusals.has_value());
}
