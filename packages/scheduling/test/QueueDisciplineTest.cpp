#include "toucanstep/scheduling/QueueDiscipline.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <vector>

using namespace toucanstep;
using namespace toucanstep::scheduling;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto step = std::chrono::milliseconds(25);
constexpr auto latencyTarget = std::chrono::milliseconds(300);
constexpr auto callerAbandonTimeout = std::chrono::seconds(2);
const QueueKey queueKey { base::ServiceId("engines"), { base::ModelId("m"), AdapterId() } };

struct Overload {
    int64_t servedInTime = 0;
    int64_t refused = 0;
    int64_t disconnected = 0;
    base::Duration longestWaitBeforeRefusal {};
};

struct WaitingCall {
    base::Instant arrived;
    uint64_t number;
};

// For ten seconds a call arrives every 25 ms and the engines take one every 50 ms; callers disconnect after two seconds.
Overload simulateOverload(bool byQueueClass)
{
    Overload result;
    StandingQueueDetector standingQueues;
    std::vector<WaitingCall> calls;
    for (int64_t tick = 0; tick < 400; ++tick) {
        base::Instant now = start + tick * step;
        calls.push_back({ now, static_cast<uint64_t>(tick) });
        std::erase_if(calls, [&](const WaitingCall& call) {
            bool disconnects = now - call.arrived >= callerAbandonTimeout;
            result.disconnected += disconnects ? 1 : 0;
            return disconnects;
        });
        auto positionOf = [&](const WaitingCall& call) {
            auto queueClass = byQueueClass ? queueClassOf(false, call.arrived, latencyTarget, now) : QueueClass::InTime;
            return QueuePosition { 0, queueClass, call.number };
        };
        std::sort(calls.begin(), calls.end(), [&](const WaitingCall& left, const WaitingCall& right) { return positionOf(left) < positionOf(right); });
        if (tick % 2) {
            result.servedInTime += now < calls.front().arrived + latencyTarget ? 1 : 0;
            calls.erase(calls.begin());
        }
        if (!byQueueClass)
            continue;
        standingQueues.beginPass(now);
        std::erase_if(calls, [&](const WaitingCall& call) {
            bool refused = positionOf(call).queueClass == QueueClass::Late && standingQueues.shouldRefuseLate(queueKey);
            if (refused)
                result.longestWaitBeforeRefusal = std::max<base::Duration>(result.longestWaitBeforeRefusal, now - call.arrived);
            result.refused += refused ? 1 : 0;
            return refused;
        });
        standingQueues.endPass();
    }
    return result;
}

} // namespace

TEST_GROUP(QueueDiscipline) {};

// Guards against overload in FIFO order. For seconds, twice as many calls arrived for one model as its engines could run.
// Each call waited until it was late, the engines ran only late calls, and half of the callers disconnected after two seconds
// without an answer.
TEST(QueueDiscipline, UnderOverloadEnginesRunCallsThatAreInTime)
{
    Overload firstInFirstOut = simulateOverload(false);
    Overload byQueueClass = simulateOverload(true);
    CHECK_TRUE(firstInFirstOut.servedInTime < 40);
    CHECK_TRUE(firstInFirstOut.disconnected > 100);
    CHECK_TRUE(byQueueClass.servedInTime > 180);
    LONGS_EQUAL(0, byQueueClass.disconnected);
    CHECK_TRUE(byQueueClass.refused > 100);
    CHECK_TRUE(byQueueClass.longestWaitBeforeRefusal < callerAbandonTimeout);
}

TEST(QueueDiscipline, AStartedStreamGoesFirstAndALateCallLast)
{
    QueuePosition started { 1, queueClassOf(true, start, latencyTarget, start + callerAbandonTimeout), 3 };
    QueuePosition inTime { 1, queueClassOf(false, start, latencyTarget, start), 2 };
    QueuePosition late { 1, queueClassOf(false, start, latencyTarget, start + latencyTarget), 1 };
    CHECK_TRUE(started < inTime);
    CHECK_TRUE(inTime < late);
    CHECK_TRUE(queueClassOf(false, start, {}, start + callerAbandonTimeout) == QueueClass::InTime);
    // A more urgent priority goes before all of them.
    CHECK_TRUE((QueuePosition { 0, QueueClass::Late, 9 }) < started);
}

TEST(QueueDiscipline, AShortBurstCausesNoRefusals)
{
    StandingQueueDetector standingQueues;
    for (int pass = 0; pass < 9; ++pass) {
        standingQueues.beginPass(start + pass * std::chrono::milliseconds(100));
        CHECK_FALSE(standingQueues.shouldRefuseLate(queueKey));
        standingQueues.endPass();
    }
    // The queue was empty in this pass.
    standingQueues.beginPass(start + std::chrono::milliseconds(900));
    standingQueues.endPass();
    standingQueues.beginPass(start + std::chrono::milliseconds(1500));
    CHECK_FALSE(standingQueues.shouldRefuseLate(queueKey));
}

// Guards against holding a call for its whole latency target before it is refused: all calls of an overloaded model were kept
// until they were late, and then told to come back.
TEST(QueueDiscipline, ACallThatWillBeLateIsRefusedOnArrival)
{
    // Ten calls a second end, so the fifth call in the queue waits for half a second.
    CHECK_TRUE(willBecomeLate(5, 10, latencyTarget));
    CHECK_FALSE(willBecomeLate(2, 10, latencyTarget));
    CHECK_FALSE(willBecomeLate(5, 0, latencyTarget));
}

TEST(QueueDiscipline, AQueueStandsWhileItsCallsAreRefusedOnArrival)
{
    StandingQueueDetector standingQueues;
    base::Instant now = start;
    for (int pass = 0; pass <= 11; ++pass, now += std::chrono::milliseconds(100)) {
        standingQueues.beginPass(now);
        standingQueues.shouldRefuseLate(queueKey);
        standingQueues.endPass();
    }
    CHECK_TRUE(standingQueues.isStanding(queueKey, now));
    for (int pass = 0; pass < 20; ++pass, now += std::chrono::milliseconds(100)) {
        standingQueues.onRefusedOnArrival(queueKey, now);
        standingQueues.beginPass(now);
        standingQueues.endPass();
    }
    CHECK_TRUE(standingQueues.isStanding(queueKey, now));
    now += std::chrono::milliseconds(300);
    CHECK_FALSE(standingQueues.isStanding(queueKey, now));
}
