#include "toucanstep/direct/QueueDiscipline.h"

#include "toucanstep/direct/DemandTracker.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace toucanstep;
using namespace toucanstep::direct;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto step = std::chrono::milliseconds(25);
constexpr auto latencyTarget = std::chrono::milliseconds(300);
constexpr auto patience = std::chrono::seconds(2);
const QueueKey line { base::ServiceId("engines"), { base::ModelId("m"), AdapterId() } };

struct Overload {
    int64_t servedInTime = 0;
    int64_t refused = 0;
    int64_t left = 0;
    base::Duration longestUntilRefused {};
};

struct Waiting {
    base::Instant arrived;
    uint64_t number;
};

// For ten seconds a call comes every 25 ms, and the engines take one of them every 50 ms; callers leave after two seconds.
Overload replayOverload(bool inTurn)
{
    Overload result;
    StandingQueueDetector standing;
    std::vector<Waiting> calls;
    for (int64_t tick = 0; tick < 400; ++tick) {
        base::Instant now = start + tick * step;
        calls.push_back({ now, static_cast<uint64_t>(tick) });
        std::erase_if(calls, [&](const Waiting& call) {
            bool leaves = now - call.arrived >= patience;
            result.left += leaves ? 1 : 0;
            return leaves;
        });
        auto placeOf = [&](const Waiting& call) {
            auto turn = inTurn ? queueClassOf(false, call.arrived, latencyTarget, now) : QueueClass::InTime;
            return QueuePosition { 0, turn, call.number };
        };
        std::sort(calls.begin(), calls.end(), [&](const Waiting& left, const Waiting& right) { return placeOf(left) < placeOf(right); });
        if (tick % 2) {
            result.servedInTime += now < calls.front().arrived + latencyTarget ? 1 : 0;
            calls.erase(calls.begin());
        }
        if (!inTurn)
            continue;
        standing.beginPass(now);
        std::erase_if(calls, [&](const Waiting& call) {
            bool refused = placeOf(call).turn == QueueClass::Late && standing.shouldRefuseLate(line);
            if (refused)
                result.longestUntilRefused = std::max<base::Duration>(result.longestUntilRefused, now - call.arrived);
            result.refused += refused ? 1 : 0;
            return refused;
        });
        standing.endPass();
    }
    return result;
}

} // namespace

TEST_GROUP(QueueDiscipline) {};

// Twice as many callers came for one model as its engines could run, for seconds. Each waited in line until it was late, the
// engines ran late calls only, and half of the callers left after two seconds without a word.
TEST(QueueDiscipline, UnderOverloadTheEnginesRunCallsThatAreInTime)
{
    Overload firstInFirstOut = replayOverload(false);
    Overload inTurn = replayOverload(true);
    CHECK_TRUE(firstInFirstOut.servedInTime < 40);
    CHECK_TRUE(firstInFirstOut.left > 100);
    CHECK_TRUE(inTurn.servedInTime > 180);
    LONGS_EQUAL(0, inTurn.left);
    CHECK_TRUE(inTurn.refused > 100);
    CHECK_TRUE(inTurn.longestUntilRefused < patience);
}

TEST(QueueDiscipline, AStreamThatHasBegunGoesFirstAndALateCallLast)
{
    QueuePosition begun { 1, queueClassOf(true, start, latencyTarget, start + patience), 3 };
    QueuePosition inTime { 1, queueClassOf(false, start, latencyTarget, start), 2 };
    QueuePosition late { 1, queueClassOf(false, start, latencyTarget, start + latencyTarget), 1 };
    CHECK_TRUE(begun < inTime);
    CHECK_TRUE(inTime < late);
    CHECK_TRUE(queueClassOf(false, start, {}, start + patience) == QueueClass::InTime);
    // A more urgent rank goes before all of them.
    CHECK_TRUE((QueuePosition { 0, QueueClass::Late, 9 }) < begun);
}

TEST(QueueDiscipline, AShortBurstRefusesNobody)
{
    StandingQueueDetector standing;
    for (int look = 0; look < 9; ++look) {
        standing.beginPass(start + look * std::chrono::milliseconds(100));
        CHECK_FALSE(standing.shouldRefuseLate(line));
        standing.endPass();
    }
    // The line was empty in between.
    standing.beginPass(start + std::chrono::milliseconds(900));
    standing.endPass();
    standing.beginPass(start + std::chrono::milliseconds(1500));
    CHECK_FALSE(standing.shouldRefuseLate(line));
}

// A model was loaded nowhere for eleven seconds although a disk had it: its callers were refused as soon as they came, since
// no load was expected in their time, so nobody waited, and the planner evicts and loads only for callers who wait.
TEST(QueueDiscipline, CallersThatAreRefusedAtOnceStillCountForThePlanner)
{
    DemandTracker demand;
    ModelTarget target { base::ModelId("m"), AdapterId() };
    demand.onArrival(target, start);
    demand.onRefused(target, start + patience);
    LONGS_EQUAL(1, demand.summary(start + latencyTarget).front().waiting);
    LONGS_EQUAL(0, demand.summary(start + patience).front().waiting);
}
