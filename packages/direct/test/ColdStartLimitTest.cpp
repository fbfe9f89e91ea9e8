#include "toucanstep/direct/ColdStartLimit.h"

#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <memory>
#include <vector>

using namespace toucanstep;
using namespace toucanstep::direct;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto step = std::chrono::milliseconds(50);
constexpr auto lease = std::chrono::milliseconds(1500);
constexpr auto leaseMargin = std::chrono::milliseconds(300);
constexpr auto pollInterval = std::chrono::milliseconds(4000);
const base::UpstreamId engine("i-cold");

// Gateways before a store that keeps their keys under leases. Each gateway polls the list and renews its lease by its own
// clock, which does not run while it is suspended.
class Fleet {
public:
    explicit Fleet(size_t size)
    {
        for (size_t number = 0; number < size; ++number)
            start(number);
    }

    void start(size_t number)
    {
        if (m_gateways.size() <= number)
            m_gateways.resize(number + 1);
        Gateway& gateway = m_gateways[number];
        // A process restarted on the same machine has the same name, and nothing that the one before it knew.
        gateway = Gateway();
        gateway.id = base::InstanceId("edge-" + std::to_string(number));
        gateway.limit = std::make_unique<ColdStartLimit>(ColdStartLimitSettings {}, gateway.id);
        gateway.running = true;
    }
    void stop(size_t number) { m_gateways[number].running = false; }
    void setCutOff(size_t number, bool cutOff) { m_gateways[number].cutOff = cutOff; }
    void setSuspended(size_t number, bool suspended) { m_gateways[number].suspended = suspended; }
    size_t size() const { return m_gateways.size(); }

    void advance(int steps, bool calls, int64_t limit)
    {
        for (int count = 0; count < steps; ++count) {
            m_now += step;
            std::erase_if(m_leaseEnds, [&](const auto& entry) { return entry.second <= m_now; });
            for (Gateway& gateway : m_gateways) {
                if (!gateway.running || gateway.suspended)
                    continue;
                if (!gateway.cutOff)
                    talkToStore(gateway);
                gateway.limit->setMembership(gateway.registered, gateway.leaseEnd, m_now);
                for (int call = 0; calls && call < 20; ++call)
                    tryCall(gateway, limit);
            }
        }
    }
    int64_t maxCallsWithinSecond() const
    {
        int64_t most = 0;
        size_t first = 0;
        for (size_t last = 0; last < m_calls.size(); ++last) {
            while (m_calls[last] - m_calls[first] > std::chrono::seconds(1))
                ++first;
            most = std::max(most, static_cast<int64_t>(last - first + 1));
        }
        return most;
    }
    size_t totalCalls() const { return m_calls.size(); }

private:
    struct Gateway {
        base::InstanceId id;
        std::unique_ptr<ColdStartLimit> limit;
        bool running = false;
        bool cutOff = false;
        bool suspended = false;
        bool registered = false;
        base::Instant leaseEnd;
        base::Instant nextPoll;
        std::set<base::InstanceId> listed;
    };

    void talkToStore(Gateway& gateway)
    {
        // A lease that has ended in the store is noticed by its renewal; the key then has to be written again.
        gateway.registered = gateway.registered && m_leaseEnds.contains(gateway.id);
        m_leaseEnds[gateway.id] = m_now + lease;
        gateway.registered = true;
        gateway.leaseEnd = m_now + lease - leaseMargin;
        if (m_now < gateway.nextPoll)
            return;
        gateway.nextPoll = m_now + pollInterval;
        gateway.limit->onListAnswer(m_now);
        std::set<base::InstanceId> listed;
        for (const auto& [id, until] : m_leaseEnds)
            listed.insert(id);
        gateway.limit->setListed(listed, m_now);
    }

    void tryCall(Gateway& gateway, int64_t limit)
    {
        auto next = gateway.limit->nextCall(engine, limit, m_now);
        if (!next || *next > m_now)
            return;
        gateway.limit->onCall(engine, m_now);
        m_calls.push_back(m_now);
    }

    base::Instant m_now = ::start;
    std::vector<Gateway> m_gateways;
    // In the store.
    std::map<base::InstanceId, base::Instant> m_leaseEnds;
    std::vector<base::Instant> m_calls;
};

constexpr int settled = 300;

} // namespace

TEST_GROUP(ColdStartLimit) {};

// Guards against the crash of an engine that has just come back: 22 gateways had calls for its model, saw it idle at the same
// moment, and sent 50 calls within a second where 48 were allowed.
TEST(ColdStartLimit, AllGatewaysTogetherStayWithinTheRateOfAColdUpstream)
{
    Fleet fleet(22);
    fleet.advance(settled, true, 29);
    LONGS_EQUAL(29, fleet.maxCallsWithinSecond());
}

// Guards against a fleet that is larger than the rate and could not use a cold upstream at all.
TEST(ColdStartLimit, AFleetLargerThanTheRateUsesIt)
{
    Fleet fleet(100);
    fleet.advance(settled, true, 29);
    LONGS_EQUAL(29, fleet.maxCallsWithinSecond());
}

TEST(ColdStartLimit, AGatewayThatHasJustStartedMakesNoCalls)
{
    Fleet fleet(3);
    fleet.advance(100, true, 29);
    LONGS_EQUAL(0, fleet.totalCalls());
}

// Guards against two parts of a fleet that both take the whole rate: gateways that the store no longer lists went on calling
// while the others divided the rate among themselves.
TEST(ColdStartLimit, GatewaysCutOffFromTheStoreMakeNoCalls)
{
    Fleet fleet(4);
    fleet.advance(settled, false, 29);
    for (size_t number : { 0, 1, 2, 3 })
        fleet.setCutOff(number, true);
    fleet.advance(30, false, 29);
    fleet.advance(100, true, 29);
    LONGS_EQUAL(0, fleet.totalCalls());
}

TEST(ColdStartLimit, ThePartOfADepartedGatewayIsUsedAfterAWhile)
{
    Fleet fleet(2);
    fleet.advance(settled, false, 10);
    fleet.stop(1);
    fleet.advance(2 * settled, true, 10);
    LONGS_EQUAL(10, fleet.maxCallsWithinSecond());
}

// Gateways start, are killed and replaced, are cut off from the store and suspended, in any order, while each has more calls
// than its part.
TEST(ColdStartLimit, NoSequenceOfFailuresExceedsTheRate)
{
    CHECK_PROPERTY([] {
        auto limit = *rc::gen::inRange<int64_t>(1, 40);
        Fleet fleet(*rc::gen::inRange<size_t>(1, 12));
        fleet.advance(*rc::gen::inRange(0, 400), false, limit);
        int events = *rc::gen::inRange(5, 60);
        for (int count = 0; count < events; ++count) {
            auto number = *rc::gen::inRange<size_t>(0, fleet.size());
            switch (*rc::gen::inRange(0, 8)) {
            case 0:
                fleet.stop(number);
                break;
            case 1:
                fleet.start(number);
                break;
            case 2:
                fleet.start(fleet.size());
                break;
            case 3:
                fleet.setCutOff(number, true);
                break;
            case 4:
                fleet.setCutOff(number, false);
                break;
            case 5:
                fleet.setSuspended(number, true);
                break;
            case 6:
                fleet.setSuspended(number, false);
                break;
            case 7:
                for (size_t other = 0; other < fleet.size(); other += 2)
                    fleet.stop(other);
                break;
            }
            fleet.advance(*rc::gen::inRange(1, 120), true, limit);
        }
        RC_ASSERT(fleet.maxCallsWithinSecond() <= limit);
    });
}
