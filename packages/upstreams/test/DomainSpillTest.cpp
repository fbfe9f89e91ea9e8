#include "toucanstep/upstreams/DomainSpill.h"

#include "toucanstep/testing/Property.h"
#include "toucanstep/upstreams/UpstreamSelection.h"

#include <CppUTest/TestHarness.h>
#include <cmath>
#include <queue>
#include <random>

using namespace toucanstep;
using namespace toucanstep::upstreams;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto promptTime = std::chrono::milliseconds(40);
constexpr auto latencyTarget = std::chrono::milliseconds(400);

base::UpstreamId engineId(size_t number) { return base::UpstreamId("i-" + std::to_string(number)); }
base::FailureDomain domainId(size_t number) { return base::FailureDomain(std::string(1, static_cast<char>('a' + number))); }

struct Played {
    int calls = 0;
    int left = 0;
    int late = 0;
};

// Three failure domains with four engines each; the traffic of each rises and falls by 55 % of its mean in its own phase. An engine
// reads its prompts one after the other and then runs the calls concurrently.
Played play(double callsPerSecond, bool spill, uint64_t seed)
{
    constexpr size_t domains = 3;
    constexpr size_t engines = 12;
    constexpr auto runTime = std::chrono::milliseconds(800);
    constexpr auto playTime = std::chrono::seconds(24);
    UpstreamTable table;
    for (size_t number = 0; number < engines; ++number) {
        UpstreamDescription description;
        description.id = engineId(number);
        description.service = base::ServiceId("narrator");
        description.domain = domainId(number % domains);
        description.slots = 32;
        table.put(description, start);
    }
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> part(0, 1);
    std::vector<base::Instant> readUntil(engines, start);
    struct Event {
        base::Instant at;
        size_t engine;
        bool ends;
        bool operator>(const Event& other) const { return at > other.at; }
    };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    Played played;
    constexpr auto step = std::chrono::milliseconds(1);
    for (base::Instant now = start; now < start + playTime; now += step) {
        for (; !events.empty() && events.top().at <= now; events.pop()) {
            table.onBytesReceived(engineId(events.top().engine), now);
            if (events.top().ends)
                table.onEnded(engineId(events.top().engine), true);
            else
                table.onAnswerBegun(engineId(events.top().engine));
        }
        for (size_t domain = 0; domain < domains; ++domain) {
            double phase = base::toSeconds(now - start) / 12 + static_cast<double>(domain) / domains;
            if (part(random) >= callsPerSecond / domains * base::toSeconds(step) * (1 + 0.55 * std::sin(phase * 2 * M_PI)))
                continue;
            UpstreamQuery query;
            query.service = base::ServiceId("narrator");
            query.domain = domainId(domain);
            query.spreadKey = std::to_string(++played.calls);
            if (spill)
                query.promptsInTime = promptsInTime(now + latencyTarget - promptTime, promptTime, now);
            auto chosen = selectUpstream(table, query, now).upstream;
            if (chosen.empty())
                continue;
            auto number = static_cast<size_t>(std::stoi(chosen.value().substr(2)));
            table.onDispatched(chosen, now);
            readUntil[number] = std::max(readUntil[number], now) + promptTime;
            events.push({ readUntil[number], number, false });
            events.push({ readUntil[number] + runTime, number, true });
            played.left += number % domains != domain ? 1 : 0;
            played.late += readUntil[number] - now > latencyTarget ? 1 : 0;
        }
    }
    return played;
}

} // namespace

TEST_GROUP(DomainSpill) {};

// Guards against calls that leave a domain with room: every small difference drew them to another one.
TEST(DomainSpill, FewerCallsLeaveThanByAConstantCost)
{
    Played constant = play(150, false, 1);
    Played bySpill = play(150, true, 1);
    CHECK_TRUE(bySpill.left * 2 < constant.left);
    CHECK_TRUE(bySpill.late <= constant.late);
}

// Guards against calls that stay in a full domain until they are late.
TEST(DomainSpill, CallsLeaveAFullDomain)
{
    Played constant = play(270, false, 2);
    Played bySpill = play(270, true, 2);
    CHECK_TRUE(bySpill.left > 0);
    CHECK_TRUE(bySpill.late <= constant.late + constant.calls / 100);
}

// Guards against a call that is made late by staying, and against another choice than before where nothing is known.
TEST(DomainSpill, StayingNeverCostsMoreThanTheCallHas)
{
    CHECK_FALSE(promptsInTime(start + latencyTarget, base::Duration::zero(), start).has_value());
    DOUBLES_EQUAL(0, *promptsInTime(start, promptTime, start + latencyTarget), 0);
    CHECK_PROPERTY([] {
        auto slots = *rc::gen::inRange<int64_t>(0, 200);
        DomainRoom room { slots, *rc::gen::inRange<int64_t>(0, slots + 1), *rc::gen::inRange<int64_t>(0, 40) };
        double prompts = *rc::gen::inRange(0, 400) / 10.0;
        double cost = additionalLeavingCost(room, prompts);
        RC_ASSERT(cost >= 0);
        RC_ASSERT(cost <= std::max(prompts - static_cast<double>(room.leastAwaiting), 0.0));
        DomainRoom fuller = room;
        fuller.freeSlots /= 2;
        RC_ASSERT(additionalLeavingCost(fuller, prompts) <= cost);
    });
}

// Guards against calls that stay with an upstream that fails because it has free slots.
TEST(DomainSpill, AFailingUpstreamIsNoRoom)
{
    UpstreamTable table;
    UpstreamDescription description;
    description.id = engineId(0);
    description.domain = domainId(0);
    description.slots = 32;
    table.put(description, start);
    std::vector<const UpstreamEntry*> holders { table.find(engineId(0)) };
    LONGS_EQUAL(32, roomIn(domainId(0), holders, start).freeSlots);
    LONGS_EQUAL(0, roomIn(domainId(1), holders, start).freeSlots);
    table.onFailure(engineId(0), start);
    LONGS_EQUAL(0, roomIn(domainId(0), holders, start).freeSlots);
}
