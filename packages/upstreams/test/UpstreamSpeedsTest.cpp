#include "toucanstep/upstreams/UpstreamSpeeds.h"

#include "SpeedReplay.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::upstreams;
using toucanstep::upstreams::testing::ReplayResult;
using toucanstep::upstreams::testing::SpeedReplay;

namespace {

const base::ServiceId service("narrator");
const base::UpstreamId engine("i-engine");
constexpr StartId firstStart(1);
constexpr StartId secondStart(2);

StatedLoad states(int64_t workPercent) { return { 1, 0, 32, workPercent }; }

UpstreamDescription describe(const base::UpstreamId& id, int64_t slots = 32)
{
    UpstreamDescription description;
    description.id = id;
    description.service = service;
    description.start = firstStart;
    description.slots = slots;
    return description;
}

UpstreamQuery asks(const UpstreamSpeeds* speeds)
{
    UpstreamQuery query;
    query.service = service;
    query.speeds = speeds;
    return query;
}

bool isSame(const UpstreamSelection& left, const UpstreamSelection& right)
{
    return left.blockReason == right.blockReason && left.upstream == right.upstream && left.freeSlots == right.freeSlots && left.inFlight == right.inFlight && left.limitedBy == right.limitedBy;
}

} // namespace

TEST_GROUP(UpstreamSpeeds)
{
    UpstreamSpeeds speeds;
    base::Instant now { std::chrono::hours(1) };

    double factor(StartId start = firstStart) const { return speeds.workFactor(engine, start, now); }
    void state(int64_t percent, int times = 1)
    {
        for (int count = 0; count < times; ++count) {
            now += std::chrono::milliseconds(200);
            speeds.onStated(service, engine, firstStart, states(percent), now);
        }
    }
    // Another engine of usual speed and this one answer; this one takes `ratio` times as long.
    void answer(double ratio, int64_t percent, int times)
    {
        const base::UpstreamId other("i-other");
        for (int count = 0; count < times; ++count) {
            for (int usual = 0; usual < 3; ++usual) {
                speeds.onStated(service, other, firstStart, states(100), now);
                speeds.onAnswerStarted(other, firstStart, { base::Tokens(900), std::chrono::milliseconds(100) }, now);
            }
            state(percent);
            speeds.onAnswerStarted(engine, firstStart, { base::Tokens(900), std::chrono::microseconds(std::lround(100'000 * ratio)) }, now);
        }
    }
};

TEST(UpstreamSpeeds, WithoutAStatedSpeedAnUpstreamIsUsual)
{
    speeds.onStated(service, engine, firstStart, { 1, 0, 32, std::nullopt }, now);
    speeds.onAnswerStarted(engine, firstStart, { base::Tokens(900), std::chrono::seconds(9) }, now);
    CHECK_TRUE(factor() == 1);
    CHECK_FALSE(speeds.hasStated(service));
}

TEST(UpstreamSpeeds, FollowsWhatAnUpstreamStates)
{
    state(160, 30);
    DOUBLES_EQUAL(1.6, factor(), 0.05);
    CHECK_TRUE(speeds.hasStated(service));
}

// Guards against the figures of a process that has ended being used for the next one.
TEST(UpstreamSpeeds, ARestartedUpstreamIsUsual)
{
    state(160, 30);
    CHECK_TRUE(factor(secondStart) == 1);
}

// Guards against all gateways turning to one upstream after it has stated a low figure once.
TEST(UpstreamSpeeds, AFreshLowFigureCountsLessWithEachCallSince)
{
    state(160, 30);
    state(40, 3);
    double before = factor();
    for (int call = 0; call < 4; ++call)
        speeds.onCall(service, engine, firstStart, now);
    CHECK_TRUE(before < 1.25);
    CHECK_TRUE(factor() > before + 0.1);
}

// Guards against a gateway that was suspended going on with the figures of before.
TEST(UpstreamSpeeds, FiguresAge)
{
    state(100, 30);
    state(400, 5);
    double fresh = factor();
    now += std::chrono::seconds(5);
    CHECK_TRUE(fresh > 2.2);
    CHECK_TRUE(factor() < 1.7);
    now += std::chrono::minutes(3);
    DOUBLES_EQUAL(1, factor(), 0.05);
}

// Guards against an upstream that attracts calls by stating a speed that it does not have.
TEST(UpstreamSpeeds, AnswersThatContradictTheStatedFigureCountInstead)
{
    answer(3, 25, 10);
    CHECK_TRUE(factor() < 1);
    answer(3, 25, 40);
    CHECK_TRUE(speeds.isContradicted(engine, firstStart));
    CHECK_TRUE(factor() > 2);
    answer(0.25, 25, 400);
    CHECK_FALSE(speeds.isContradicted(engine, firstStart));
    DOUBLES_EQUAL(0.25, factor(), 0.1);
}

TEST(UpstreamSpeeds, TheFactorStaysInItsRange)
{
    CHECK_PROPERTY([] {
        UpstreamSpeeds learning;
        base::Instant time { std::chrono::hours(1) };
        for (int step = 0; step < 60; ++step) {
            time += std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
            learning.onStated(service, engine, firstStart, states(*rc::gen::inRange<int64_t>(1, 10000)), time);
            learning.onAnswerStarted(engine, firstStart, { base::Tokens(*rc::gen::arbitrary<int64_t>()), std::chrono::milliseconds(*rc::gen::inRange(-5, 60000)), *rc::gen::inRange(-3, 90) }, time);
            learning.onAnswerEnded(engine, firstStart, { std::chrono::milliseconds(*rc::gen::inRange(0, 60000)), *rc::gen::inRange(0, 5000) }, time);
            double factor = learning.workFactor(engine, firstStart, time);
            RC_ASSERT(factor >= UpstreamSpeeds::minFactor && factor <= UpstreamSpeeds::maxFactor);
        }
    });
}

TEST(UpstreamSpeeds, ASlowUpstreamIsFilledLessAndAFastOneNotMore)
{
    auto freeSlots = [&](int64_t percent, int64_t slots) {
        UpstreamTable table;
        table.put(describe(engine, slots), now);
        state(percent, 200);
        return selectUpstream(table, asks(&speeds), now).freeSlots;
    };
    LONGS_EQUAL(32, freeSlots(50, 32));
    LONGS_EQUAL(4, freeSlots(800, 32));
    LONGS_EQUAL(1, freeSlots(800, 3));
}

// Guards against a change of decisions at services whose upstreams state no speed.
TEST(UpstreamSpeeds, WithoutAStatedSpeedEverySelectionIsAsBefore)
{
    CHECK_PROPERTY([] {
        UpstreamTable table;
        UpstreamSpeeds learning;
        base::Instant time { std::chrono::hours(1) };
        // Another service states its speeds.
        learning.onStated(base::ServiceId("other"), base::UpstreamId("i-elsewhere"), firstStart, states(400), time);
        for (int number = 0; number < 6; ++number) {
            UpstreamDescription description = describe(base::UpstreamId("i-" + std::to_string(number)), *rc::gen::inRange(1, 9));
            description.domain = base::FailureDomain(*rc::gen::inRange(0, 2) ? "a" : "b");
            table.put(description, time);
        }
        for (int step = 0; step < 60; ++step) {
            time += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
            base::UpstreamId any("i-" + std::to_string(*rc::gen::inRange(0, 6)));
            table.setPeersLoad(any, { *rc::gen::inRange(0, 9), *rc::gen::inRange(0, 4) });
            learning.onStated(service, any, firstStart, { 1, 0, 32, std::nullopt }, time);
            learning.onAnswerStarted(any, firstStart, { base::Tokens(9), std::chrono::milliseconds(*rc::gen::inRange(0, 900)) }, time);
            UpstreamQuery query = asks(nullptr);
            query.domain = base::FailureDomain("a");
            query.spreadKey = std::to_string(step);
            query.promptPrefix = step % 2 ? "5c1e07a2" : "";
            query.turnover = *rc::gen::inRange(0, 100) * 0.01;
            UpstreamSelection before = selectUpstream(table, query, time);
            query.speeds = &learning;
            RC_ASSERT(isSame(before, selectUpstream(table, query, time)));
            if (before.blockReason == BlockReason::None) {
                table.onDispatched(before.upstream, time);
                learning.onCall(service, before.upstream, firstStart, time);
            }
        }
    });
}

// Guards against an upstream that was slow once and gets no call again, so that nobody learns that it is not slow any more.
TEST(UpstreamSpeeds, EachUpstreamGetsTrialCalls)
{
    CHECK_PROPERTY([] {
        constexpr int upstreams = 8;
        constexpr int gapLimit = upstreams * UpstreamSpeeds::callsPerTrial * 2;
        UpstreamTable table;
        UpstreamSpeeds learning;
        base::Instant time { std::chrono::hours(1) };
        std::map<base::UpstreamId, std::pair<int, int64_t>> lastCallAndWork;
        for (int number = 0; number < upstreams; ++number) {
            base::UpstreamId id("i-" + std::to_string(number));
            table.put(describe(id), time);
            lastCallAndWork[id] = { 0, *rc::gen::inRange<int64_t>(25, 800) };
        }
        auto interval = std::chrono::milliseconds(*rc::gen::inRange(80, 1000));
        for (int call = 1; call < gapLimit * 2; ++call) {
            time += interval;
            UpstreamQuery query = asks(&learning);
            query.spreadKey = std::to_string(call);
            base::UpstreamId chosen = selectUpstream(table, query, time).upstream;
            learning.onCall(service, chosen, firstStart, time);
            lastCallAndWork[chosen].first = call;
            learning.onStated(service, chosen, firstStart, states(lastCallAndWork[chosen].second), time);
            for (const auto& [id, known] : lastCallAndWork)
                RC_ASSERT(call - known.first < gapLimit);
        }
    });
}

// Guards against late calls that wait at slow upstreams while fast ones are free, and against all gateways choosing the same fast one.
TEST(UpstreamSpeeds, FewerCallsAreLateThanByCountingCalls)
{
    for (uint64_t seed : { 1, 2, 3 }) {
        ReplayResult counting = SpeedReplay({ .gateways = 27, .seed = seed }).run();
        ReplayResult estimating = SpeedReplay({ .gateways = 27, .useSpeeds = true, .seed = seed }).run();
        CHECK_TRUE(estimating.late * 3 < counting.late);
        CHECK_TRUE(estimating.mostAwaiting < counting.mostAwaiting);
        CHECK_TRUE(estimating.longestQueueSeconds < counting.longestQueueSeconds);
        CHECK_TRUE(estimating.fewestCalls > 0);
        ReplayResult countingAlone = SpeedReplay({ .callsPerSecond = 400, .seed = seed }).run();
        ReplayResult estimatingAlone = SpeedReplay({ .callsPerSecond = 400, .useSpeeds = true, .seed = seed }).run();
        CHECK_TRUE(estimatingAlone.late <= countingAlone.late);
        CHECK_TRUE(estimatingAlone.longestQueueSeconds <= countingAlone.longestQueueSeconds);
    }
}

// Guards against estimates that help only while gateways hear each other and share the callers evenly.
TEST(UpstreamSpeeds, HoldsForGatewaysThatAreCutOffAndForCallersAtOneOfThem)
{
    for (bool allAtOne : { false, true }) {
        ReplayResult counting = SpeedReplay({ .gateways = 27, .allAtOne = allAtOne, .cutOff = 9 }).run();
        ReplayResult estimating = SpeedReplay({ .gateways = 27, .useSpeeds = true, .allAtOne = allAtOne, .cutOff = 9 }).run();
        CHECK_TRUE(estimating.late <= counting.late / 2);
        CHECK_TRUE(estimating.longestQueueSeconds <= counting.longestQueueSeconds);
    }
}

// Guards against an upstream that states a false speed being overloaded by it.
TEST(UpstreamSpeeds, AFalselyFastUpstreamGetsNoMoreThanItsPart)
{
    constexpr size_t slow = 2;
    ReplayResult result = SpeedReplay({ .gateways = 3, .useSpeeds = true, .falselyFast = slow }).run();
    constexpr int64_t upstreams = 51;
    CHECK_TRUE(result.falselyFastCalls < result.calls / 2 / upstreams * 3 / 2);
}
