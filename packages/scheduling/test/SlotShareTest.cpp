#include "toucanstep/scheduling/SlotShare.h"

#include "toucanstep/scheduling/CallTimes.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <string>
#include <vector>

using namespace toucanstep;
using namespace toucanstep::scheduling;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto millisecond = std::chrono::milliseconds(1);
constexpr int64_t reportMilliseconds = 100;
constexpr int64_t serviceMilliseconds = 1000;
constexpr double turnover = static_cast<double>(reportMilliseconds) / serviceMilliseconds;
constexpr int64_t slots = 48;
constexpr int64_t latencyMilliseconds = 300;
const ModelQueue queue { base::ServiceId("engines"), base::ModelId("m") };

struct Gateway {
    SlotShare share;
    std::vector<int64_t> waitingSince;
    std::vector<int64_t> endings;
    // As reported to the others.
    int64_t reportedInFlight = 0;
    QueuedCalls reportedQueued;

    QueuedCalls queued(int64_t now) const
    {
        QueuedCalls calls;
        for (int64_t since : waitingSince)
            ++(now - since < latencyMilliseconds ? calls.inTime : calls.late);
        return calls;
    }
};

struct Overload {
    int64_t mostInFlight = 0;
    int64_t sentInTime = 0;
    double meanInFlight = 0;
};

// For ten seconds, a call for one model arrives each 10 ms at one of 33 gateways in turn; its replicas have 48 slots and a call
// takes a second. Each gateway reports every 100 ms, at a moment of its own.
Overload simulateOverload(bool sharing)
{
    constexpr int64_t gatewayCount = 33;
    constexpr int64_t duration = 10000;
    constexpr int64_t arrivalMilliseconds = 10;
    constexpr int64_t settled = 3000;
    Overload result;
    std::vector<Gateway> gateways;
    for (int64_t number = 0; number < gatewayCount; ++number)
        gateways.push_back({ SlotShare("gateway-" + std::to_string(number)) });
    for (int64_t now = 0; now < duration; ++now) {
        if (now % arrivalMilliseconds == 0)
            gateways[static_cast<size_t>(now / arrivalMilliseconds * 7 % gatewayCount)].waitingSince.push_back(now);
        int64_t inFlight = 0;
        for (int64_t number = 0; number < gatewayCount; ++number) {
            Gateway& gateway = gateways[static_cast<size_t>(number)];
            std::erase_if(gateway.endings, [&](int64_t end) { return end <= now; });
            if ((now + number * 37) % reportMilliseconds == 0) {
                gateway.reportedInFlight = static_cast<int64_t>(gateway.endings.size());
                gateway.reportedQueued = gateway.queued(now);
            }
        }
        for (Gateway& gateway : gateways) {
            QueuedCallCounts peers;
            int64_t free = slots - static_cast<int64_t>(gateway.endings.size());
            for (const Gateway& other : gateways) {
                if (&other == &gateway)
                    continue;
                free -= other.reportedInFlight;
                if (other.reportedQueued.total()) {
                    peers[queue][0].inTime += other.reportedQueued.inTime;
                    peers[queue][0].late += other.reportedQueued.late;
                }
            }
            gateway.share.setPeers(peers);
            // Calls in time first, then the oldest.
            std::sort(gateway.waitingSince.begin(), gateway.waitingSince.end(), [&](int64_t left, int64_t right) {
                return std::pair(now - left >= latencyMilliseconds, left) < std::pair(now - right >= latencyMilliseconds, right);
            });
            while (free > 0 && !gateway.waitingSince.empty()) {
                bool inTime = now - gateway.waitingSince.front() < latencyMilliseconds;
                if (sharing && !gateway.share.takeSlot(queue, { 0, inTime ? QueueClass::InTime : QueueClass::Late }, { { 0, gateway.queued(now) } }, SlotShare::offeredSlots(free, slots - free, turnover), start + now * millisecond))
                    break;
                gateway.waitingSince.erase(gateway.waitingSince.begin());
                gateway.endings.push_back(now + serviceMilliseconds);
                result.sentInTime += inTime ? 1 : 0;
                --free;
            }
            inFlight += static_cast<int64_t>(gateway.endings.size());
        }
        if (now < settled)
            continue;
        result.mostInFlight = std::max(result.mostInFlight, inFlight);
        result.meanInFlight += static_cast<double>(inFlight) / static_cast<double>(duration - settled);
    }
    return result;
}

} // namespace

TEST_GROUP(SlotShare)
{
    SlotShare share { "gateway" };
};

// Guards against queues at the upstreams. Twice as many calls arrived as the replicas could run; all gateways sent a call for
// each slot that was reported free, the upstreams had twice as many calls as slots, and every first token was late.
TEST(SlotShare, GatewaysDoNotAllSendACallForTheSameFreeSlot)
{
    Overload uncoordinated = simulateOverload(false);
    Overload shared = simulateOverload(true);
    CHECK_TRUE(uncoordinated.mostInFlight > slots * 5 / 4);
    CHECK_TRUE(shared.mostInFlight <= slots * 5 / 4);
    // The slots are still used.
    CHECK_TRUE(shared.meanInFlight > 0.85 * static_cast<double>(slots));
    CHECK_TRUE(shared.sentInTime > 350);
}

TEST(SlotShare, WithoutWaitingCallsElsewhereEverySlotMayBeTaken)
{
    CHECK_TRUE(share.takeSlot(queue, { 1, QueueClass::InTime }, { { 1, { 1, 0 } } }, 1, start));
    share.setPeers({ { { base::ServiceId("engines"), base::ModelId("other") }, { { 0, { 50, 50 } } } } });
    CHECK_TRUE(share.takeSlot(queue, { 1, QueueClass::InTime }, { { 1, { 1, 0 } } }, 1, start));
}

// Guards against a gateway that gets no slot for seconds once calls wait elsewhere again, because the slots that it took while
// nobody else waited were charged to its share.
TEST(SlotShare, SlotsTakenWhileNobodyElseWaitsAreNotCharged)
{
    share.setPeers({ { queue, { { 1, { 1, 0 } } } } });
    share.takeSlot(queue, { 1, QueueClass::InTime }, { { 1, { 1, 0 } } }, 1, start);
    share.setPeers({});
    for (int call = 0; call < 50; ++call)
        CHECK_TRUE(share.takeSlot(queue, { 1, QueueClass::InTime }, { { 1, { 1, 0 } } }, 1, start + call * millisecond));
    share.setPeers({ { queue, { { 1, { 1, 0 } } } } });
    bool taken = false;
    for (int64_t pass = 1; pass <= 10 && !taken; ++pass)
        taken = share.takeSlot(queue, { 1, QueueClass::InTime }, { { 1, { 1, 0 } } }, 4, start + 50 * millisecond + pass * 100 * millisecond);
    CHECK_TRUE(taken);
}

TEST(SlotShare, LateCallsLeaveTheSlotsToCallsInTimeElsewhere)
{
    share.setPeers({ { queue, { { 1, { 4, 0 } } } } });
    for (int64_t pass = 0; pass < 50; ++pass)
        CHECK_FALSE(share.takeSlot(queue, { 1, QueueClass::Late }, { { 1, { 0, 9 } } }, 4, start + pass * 100 * millisecond));
    CHECK_TRUE(share.takeSlot(queue, { 1, QueueClass::Resuming }, { { 1, { 0, 9 } } }, 4, start));
}

TEST(SlotShare, CallsInTimeDoNotWaitForLateCallsElsewhere)
{
    share.setPeers({ { queue, { { 1, { 0, 90 } } } } });
    CHECK_TRUE(share.takeSlot(queue, { 1, QueueClass::InTime }, { { 1, { 1, 0 } } }, 1, start));
}

TEST(SlotShare, LessUrgentCallsLeaveTheSlotsToMoreUrgentOnesElsewhere)
{
    share.setPeers({ { queue, { { 0, { 0, 4 } } } } });
    for (int64_t pass = 0; pass < 50; ++pass)
        CHECK_FALSE(share.takeSlot(queue, { 1, QueueClass::InTime }, { { 1, { 9, 0 } } }, 4, start + pass * 100 * millisecond));
    CHECK_TRUE(share.takeSlot(queue, { 0, QueueClass::InTime }, { { 0, { 1, 0 } } }, 4, start));
}

TEST_GROUP(CallTimes)
{
    CallTimes times;
};

TEST(CallTimes, ReservesNothingBeforeTheFirstAnswer)
{
    CHECK_TRUE(times.startReserve(queue, 300 * millisecond) == base::Duration::zero());
}

// Guards against calling every call late on arrival once an upstream is slow.
TEST(CallTimes, ReservesAtMostHalfOfTheLatencyTarget)
{
    times.onAnswerStarted(queue, 40 * millisecond);
    CHECK_TRUE(times.startReserve(queue, 300 * millisecond) >= 40 * millisecond);
    CHECK_TRUE(times.startReserve(queue, 300 * millisecond) <= 80 * millisecond);
    for (int answers = 0; answers < 100; ++answers)
        times.onAnswerStarted(queue, 2000 * millisecond);
    CHECK_TRUE(times.startReserve(queue, 300 * millisecond) == 150 * millisecond);
}

TEST(CallTimes, TurnoverIsThePartOfTheRunningCallsThatEnd)
{
    DOUBLES_EQUAL(0, times.turnover(queue, 100 * millisecond), 0.001);
    times.onAnswerEnded(queue, 1000 * millisecond);
    DOUBLES_EQUAL(0.1, times.turnover(queue, 100 * millisecond), 0.001);
    DOUBLES_EQUAL(1, times.turnover(queue, 5000 * millisecond), 0.001);
}
