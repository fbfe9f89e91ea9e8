#include "toucanstep/upstreams/UpstreamAvailability.h"
#include "toucanstep/testing/Property.h"
#include "toucanstep/upstreams/UpstreamSelection.h"

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace toucanstep;
using namespace toucanstep::upstreams;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto second = std::chrono::seconds(1);
const base::UpstreamId upstream("i-1");

UpstreamDescription described(StartId startId = StartId(1))
{
    UpstreamDescription description;
    description.id = upstream;
    description.service = base::ServiceId("orders");
    description.start = startId;
    description.slots = 8;
    return description;
}

// What a gateway's process keeps in memory.
struct Gateway {
    UpstreamTable table;
    UpstreamAvailability availability;

    bool sends(base::Instant now)
    {
        UpstreamQuery query;
        query.service = base::ServiceId("orders");
        query.availability = &availability;
        return selectUpstream(table, query, now).blockReason == BlockReason::None;
    }
};

} // namespace

TEST_GROUP(UpstreamAvailability)
{
    UpstreamAvailability availability;
};

TEST(UpstreamAvailability, APauseIsKeptToItsLatestEnd)
{
    CHECK_TRUE(availability.onPauseAsked(upstream, StartId(1), start + 3 * second, start));
    // The answer to a call that was sent before the first rejection.
    CHECK_FALSE(availability.onPauseAsked(upstream, StartId(1), start + second, start));
    CHECK_FALSE(availability.onAccepted(upstream, start + second));
    CHECK_TRUE(availability.pausedUntil(upstream, start + 2 * second) == start + 3 * second);
    CHECK_FALSE(availability.pausedUntil(upstream, start + 3 * second).has_value());
    CHECK_FALSE(availability.onPauseAsked(base::UpstreamId("i-2"), StartId(1), start, start));
}

// Guards against an upstream that is overloaded again as soon as its pause ends.
TEST(UpstreamAvailability, AfterAPauseTheRequestsDoubleWithEachAnswer)
{
    base::Instant end = start + 3 * second;
    availability.onPauseAsked(upstream, StartId(1), end, start);
    LONGS_EQUAL(1, availability.maxAwaiting(upstream, end).value_or(-1));
    int answers = 0;
    while (availability.maxAwaiting(upstream, end)) {
        CHECK_TRUE(availability.onAccepted(upstream, end));
        ++answers;
    }
    LONGS_EQUAL(8, answers);
    availability.onPauseAsked(upstream, StartId(1), end + second, end);
    LONGS_EQUAL(1, availability.maxAwaiting(upstream, end + second).value_or(-1));
    CHECK_FALSE(availability.maxAwaiting(upstream, end + 60 * second).has_value());
}

TEST(UpstreamAvailability, AnUpstreamThatLeavesStaysSoUntilItStartsAgain)
{
    Gateway gateway;
    gateway.table.put(described(), start);
    CHECK_TRUE(gateway.sends(start));
    CHECK_TRUE(gateway.availability.onLeaving(upstream, StartId(1), start));
    CHECK_FALSE(gateway.availability.onLeaving(upstream, StartId(1), start + second));
    auto isListed = [&](const base::UpstreamId& id) { return gateway.table.find(id) != nullptr; };
    // Its entry says that it is ready, goes, and comes again.
    for (auto time : { start + 2 * second, start + std::chrono::hours(2) }) {
        gateway.table.put(described(), time);
        gateway.availability.expire(time, isListed);
        CHECK_FALSE(gateway.sends(time));
        gateway.table.remove(upstream);
        gateway.table.put(described(), time);
        CHECK_FALSE(gateway.sends(time));
    }
    gateway.table.put(described(StartId(2)), start + std::chrono::hours(2));
    CHECK_TRUE(gateway.sends(start + std::chrono::hours(2)));
    gateway.table.remove(upstream);
    gateway.availability.expire(start + std::chrono::hours(3), isListed);
    CHECK_FALSE(gateway.availability.isLeaving(upstream, StartId(1)));
}

// Guards against calls from gateways that have not heard it themselves, and against pauses that bind gateways of which they were not asked.
TEST(UpstreamAvailability, PeersLearnThatAnUpstreamLeavesAndThePlannerOfPauses)
{
    availability.onPauseAsked(upstream, StartId(1), start + 3 * second, start);
    const base::UpstreamId other("i-2");
    availability.onLeaving(other, StartId(4), start);
    UpstreamAvailability peer;
    auto tell = [&](base::Instant now) {
        size_t news = 0;
        for (const auto& heard : availability.heardLately(now))
            news += peer.onPeerHeard(heard, now) ? 1 : 0;
        return news;
    };
    LONGS_EQUAL(1, tell(start + second));
    LONGS_EQUAL(0, tell(start + second));
    CHECK_TRUE(peer.isLeaving(other, StartId(4)));
    CHECK_FALSE(peer.isLeaving(other, StartId(5)));
    CHECK_FALSE(peer.pausedUntil(upstream, start + second).has_value());
    CHECK_TRUE(peer.pausedAnywhereUntil(upstream, StartId(1), start + second) == start + 3 * second);
    CHECK_FALSE(peer.pausedAnywhereUntil(upstream, StartId(2), start + second).has_value());
    CHECK_FALSE(peer.pausedAnywhereUntil(upstream, StartId(1), start + 3 * second).has_value());
    // It tells only what it has heard itself.
    CHECK_TRUE(peer.heardLately(start + second).empty());
    CHECK_TRUE(availability.heardLately(start + 10 * second).empty());
}

// Guards against reports that grow with the number of upstreams that leave at once.
TEST(UpstreamAvailability, PeersAreToldTheNewestOnly)
{
    for (int number = 0; number < 100; ++number)
        availability.onLeaving(base::UpstreamId("i-" + std::to_string(number)), StartId(1), start + std::chrono::milliseconds(number));
    auto told = availability.heardLately(start + second);
    LONGS_EQUAL(16, told.size());
    STRCMP_EQUAL("i-99", told.front().upstream.value().c_str());
}

// Guards against requests in a pause, whatever happens meanwhile: lists that come and go, further rejections, gateways that start again.
TEST(UpstreamAvailability, NoRequestOfAnyGatewayArrivesInAPause)
{
    CHECK_PROPERTY([] {
        constexpr auto step = std::chrono::milliseconds(100);
        // From half a second after a rejection, the platform counts requests.
        constexpr auto tolerance = 5 * step;
        auto count = *rc::gen::inRange<size_t>(1, 6);
        std::vector<Gateway> gateways(count);
        struct Rejection {
            base::Instant at;
            base::Instant until;
        };
        std::vector<std::vector<Rejection>> rejections(count);
        std::vector<std::vector<base::Instant>> underWay(count);
        for (base::Instant now = start; now < start + 20 * second; now += step) {
            auto number = *rc::gen::inRange<size_t>(0, count);
            Gateway& gateway = gateways[number];
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                gateway.table.remove(upstream);
                break;
            case 1:
                gateway = Gateway();
                rejections[number].clear();
                break;
            default:
                gateway.table.put(described(), now);
            }
            for (size_t index = 0; index < count; ++index) {
                // A request arrives after up to 300 ms, the time for opening a connection.
                for (base::Instant& arrival : underWay[index]) {
                    if (arrival > now)
                        continue;
                    arrival = base::Instant::max();
                    for (const Rejection& rejection : rejections[index])
                        RC_ASSERT(now < rejection.at + tolerance || now >= rejection.until);
                    if (*rc::gen::inRange(0, 3) == 0) {
                        base::Instant until = now + step * *rc::gen::inRange(0, 60);
                        rejections[index].push_back({ now, until });
                        gateways[index].availability.onPauseAsked(upstream, StartId(1), until, now);
                    } else {
                        gateways[index].availability.onAccepted(upstream, now);
                    }
                }
                gateways[index].availability.expire(now, [&](const auto&) { return gateways[index].table.find(upstream) != nullptr; });
                if (gateways[index].sends(now))
                    underWay[index].push_back(now + step * *rc::gen::inRange(0, 4));
            }
        }
    });
}
