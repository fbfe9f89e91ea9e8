#include "toucanstep/upstreams/ColdStartLimit.h"

#include "FleetModel.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::upstreams;
using toucanstep::upstreams::testing::FleetModel;

namespace {

const base::UpstreamId engine("i-cold");

class Fleet : public FleetModel<ColdStartLimit> {
public:
    explicit Fleet(size_t size)
        : FleetModel(size, [](const FleetShare& share, size_t) { return std::make_unique<ColdStartLimit>(ColdStartLimitSettings {}, share); })
    {
    }

    void advance(int steps, bool calls, int64_t limit)
    {
        for (int count = 0; count < steps; ++count) {
            size_t number = 0;
            FleetModel::advance(1, [&](ColdStartLimit& coldStarts, base::Instant now) {
                bool hasCallers = !m_onlyCaller || *m_onlyCaller == number++;
                for (int call = 0; calls && hasCallers && call < 20; ++call)
                    tryCall(coldStarts, limit, now);
            });
            if (m_lostReports && count % stepsPerReport == 0)
                exchangeLoans(*m_lostReports);
        }
    }
    // From now on, all calls come to the running gateway with that place.
    void setOnlyCaller(size_t place) { m_onlyCaller = place; }
    // From now on, gateways hear each other; so much of what they send is lost.
    void setLostReports(double lost) { m_lostReports = lost; }
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
    static constexpr int stepsPerReport = 2;

    void tryCall(ColdStartLimit& coldStarts, int64_t limit, base::Instant now)
    {
        auto next = coldStarts.nextCall(engine, limit, now);
        if (!next || *next > now) {
            actingShare().want(engine.value(), now);
            return;
        }
        coldStarts.onCall(engine, now);
        actingShare().onUse(engine.value(), now);
        m_calls.push_back(now);
    }

    std::optional<size_t> m_onlyCaller;
    std::optional<double> m_lostReports;
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
            fleet.disturb();
            fleet.advance(*rc::gen::inRange(1, 120), true, limit);
        }
        RC_ASSERT(fleet.maxCallsWithinSecond() <= limit);
    });
}

// Guards against calls that wait although the cold upstream takes them: most callers are connected to one gateway.
TEST(ColdStartLimit, AGatewayThatGetsAllCallsUsesTheWholeRate)
{
    Fleet fleet(22);
    fleet.setLostReports(0);
    fleet.advance(settled, false, 29);
    fleet.setOnlyCaller(3);
    fleet.advance(40, true, 29);
    LONGS_EQUAL(29, fleet.maxCallsWithinSecond());
}

// Guards against a part that two gateways use, its owner and the one that has borrowed it.
TEST(ColdStartLimit, NoSequenceOfFailuresExceedsTheRateWithBorrowedParts)
{
    CHECK_PROPERTY_WITH((toucanstep::testing::PropertyOptions { .seed = 43, .maxSuccess = 100 }), [] {
        auto limit = *rc::gen::inRange<int64_t>(1, 40);
        Fleet fleet(*rc::gen::inRange<size_t>(1, 12));
        fleet.setLostReports(*rc::gen::inRange(0, 5) * 0.1);
        fleet.advance(*rc::gen::inRange(0, 400), false, limit);
        int events = *rc::gen::inRange(5, 60);
        for (int count = 0; count < events; ++count) {
            if (*rc::gen::inRange(0, 2) == 0)
                fleet.setOnlyCaller(*rc::gen::inRange<size_t>(0, fleet.size()));
            else
                fleet.disturb();
            fleet.advance(*rc::gen::inRange(1, 240), true, limit);
        }
        RC_ASSERT(fleet.maxCallsWithinSecond() <= limit);
    });
}
