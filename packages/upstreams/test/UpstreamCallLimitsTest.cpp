#include "toucanstep/upstreams/UpstreamCallLimits.h"

#include "FleetModel.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::upstreams;
using toucanstep::upstreams::testing::FleetModel;

namespace {

const base::UpstreamId engine("i-engine");
constexpr StartId firstStart(1);
constexpr StartId secondStart(2);
// The platform's rule: calls within this time, of gateways that have heard the limit for a while.
constexpr auto ruleWindow = std::chrono::seconds(4);
constexpr auto heardFor = std::chrono::milliseconds(500);
// A gateway that was restarted, cut off or suspended does not count for this long.
constexpr auto excusedFor = std::chrono::seconds(3);
constexpr auto answerTime = std::chrono::milliseconds(200);

double allowedCalls(double limit) { return limit * 4 * 1.5 + 5; }

// A gateway that sends to the engine all that it may, and hears its answers a little later.
struct Sender {
    Sender(const FleetShare& fleetShare, size_t gatewayNumber)
        : number(gatewayNumber)
        , limits(fleetShare)
    {
    }
    size_t number;
    UpstreamCallLimits limits;
    std::deque<base::Instant> answers;
    std::optional<base::Instant> firstAnswer;
};

class Fleet : public FleetModel<Sender> {
public:
    explicit Fleet(size_t size)
        : FleetModel(size, [](const FleetShare& share, size_t number) { return std::make_unique<Sender>(share, number); })
    {
    }

    // The engine advertises `limit` in its answers; nothing if it advertises none.
    void advance(int steps, std::optional<double> limit, int callsPerStep = 3)
    {
        for (int count = 0; count < steps; ++count) {
            advanceStep(limit, callsPerStep);
            if (m_lostReports && count % stepsPerReport == 0)
                exchangeLoans(*m_lostReports);
        }
    }

    // From now on, all calls come to that gateway.
    void setOnlyCaller(size_t number) { m_onlyCaller = number; }
    // From now on, gateways hear each other; so much of what they send is lost.
    void setLostReports(double lost) { m_lostReports = lost; }
    int64_t mostWithinWindow(base::Instant from) const
    {
        int64_t most = 0;
        auto first = std::lower_bound(m_counted.begin(), m_counted.end(), from);
        for (auto last = first; last != m_counted.end(); ++last) {
            while (*last - *first > ruleWindow)
                ++first;
            most = std::max<int64_t>(most, last - first + 1);
        }
        return most;
    }
    int64_t callsSince(base::Instant from) const { return m_all.end() - std::upper_bound(m_all.begin(), m_all.end(), from); }

private:
    static constexpr int stepsPerReport = 2;

    void advanceStep(std::optional<double> limit, int callsPerStep)
    {
        FleetModel::advance(1, [&](Sender& gateway, base::Instant now) {
            while (!gateway.answers.empty() && gateway.answers.front() <= now) {
                gateway.answers.pop_front();
                gateway.limits.onAnswer(engine, firstStart, limit, now);
                if (!gateway.firstAnswer)
                    gateway.firstAnswer = now;
            }
            bool counts = gateway.firstAnswer && now - *gateway.firstAnswer >= heardFor && isUndisturbed(excusedFor);
            bool hasCallers = !m_onlyCaller || *m_onlyCaller == gateway.number;
            for (int call = 0; hasCallers && call < callsPerStep; ++call) {
                auto next = gateway.limits.nextCall(engine, firstStart, now);
                if (!next || *next > now) {
                    actingShare().want(engine.value(), now);
                    break;
                }
                gateway.limits.onCall(engine, now);
                actingShare().onUse(engine.value(), now);
                gateway.answers.push_back(now + answerTime);
                m_all.push_back(now);
                if (counts)
                    m_counted.push_back(now);
            }
        });
    }

    std::optional<size_t> m_onlyCaller;
    std::optional<double> m_lostReports;
    std::vector<base::Instant> m_all;
    std::vector<base::Instant> m_counted;
};

constexpr int steps(base::Duration time) { return static_cast<int>(time / Fleet::step); }
constexpr int settled = steps(std::chrono::seconds(15));

} // namespace

TEST_GROUP(UpstreamCallLimits) {};

// Guards against gateways that each keep to a limit which is meant for all of them together.
TEST(UpstreamCallLimits, AllGatewaysTogetherKeepToTheLimit)
{
    for (size_t size : { 1, 4, 33, 350 }) {
        for (double limit : { 0.2, 1.0, 2.8, 20.0 }) {
            Fleet fleet(size);
            fleet.advance(settled, std::nullopt, 0);
            fleet.advance(steps(std::chrono::seconds(5)), limit);
            base::Instant from = fleet.now();
            fleet.advance(steps(std::chrono::seconds(20)), limit);
            CHECK_TRUE(static_cast<double>(fleet.mostWithinWindow(from)) <= allowedCalls(limit));
            // The engine gets what it takes.
            CHECK_TRUE(static_cast<double>(fleet.callsSince(from)) >= limit * 20 * 0.75);
        }
    }
}

// Guards against a rush: everything that has waited is sent when the limit ends.
TEST(UpstreamCallLimits, AfterTheEndOfALimitCallsIncreaseStepByStep)
{
    Fleet fleet(4);
    fleet.advance(settled, std::nullopt, 0);
    fleet.advance(steps(std::chrono::seconds(10)), 2.0);
    base::Instant from = fleet.now();
    fleet.advance(steps(std::chrono::seconds(1)), std::nullopt);
    CHECK_TRUE(fleet.callsSince(from) <= 16);
    fleet.advance(steps(std::chrono::seconds(9)), std::nullopt);
    from = fleet.now();
    fleet.advance(20, std::nullopt);
    LONGS_EQUAL(4 * 20 * 3, fleet.callsSince(from));
}

// Guards against an overloaded engine that is left alone while nobody can reach the store.
TEST(UpstreamCallLimits, GatewaysThatLoseTheStoreKeepTheirParts)
{
    Fleet fleet(4);
    fleet.advance(settled, std::nullopt, 0);
    fleet.advance(steps(std::chrono::seconds(5)), 2.0);
    for (size_t number = 0; number < fleet.size(); ++number)
        fleet.setCutOff(number, true);
    base::Instant from = fleet.now();
    fleet.advance(steps(std::chrono::seconds(20)), 2.0);
    CHECK_TRUE(fleet.callsSince(from) >= 30);
    CHECK_TRUE(fleet.callsSince(from) <= 48);
}

// Guards against two parts of a fleet that both use the whole limit: gateways that were cut off keep their parts while the others
// divide the limit among themselves.
TEST(UpstreamCallLimits, GatewaysThatReachTheStoreAgainKeepToTheLimit)
{
    for (double limit : { 0.3, 1.0, 2.8, 7.5, 20.0 }) {
        for (size_t cut : { 1, 6, 11 }) {
            Fleet fleet(12);
            fleet.advance(settled, std::nullopt, 0);
            fleet.advance(steps(std::chrono::seconds(5)), limit);
            base::Instant from = fleet.now();
            for (bool cutOff : { true, false }) {
                for (size_t number = 0; number < cut; ++number)
                    fleet.setCutOff(number, cutOff);
                fleet.advance(steps(std::chrono::seconds(20)), limit);
            }
            CHECK_TRUE(static_cast<double>(fleet.mostWithinWindow(from)) <= allowedCalls(limit));
        }
    }
}

// Guards against calls that are refused although the upstream takes them: most callers are connected to one gateway, which has a small part
// of the limit, and the parts of the others are not used.
TEST(UpstreamCallLimits, AGatewayThatGetsAllCallsUsesTheWholeLimit)
{
    for (size_t gateways : { 4, 22 }) {
        constexpr double limit = 7.5;
        Fleet fleet(gateways);
        fleet.setLostReports(0);
        fleet.advance(steps(std::chrono::seconds(20)), std::nullopt, 0);
        fleet.advance(steps(std::chrono::seconds(20)), limit);
        base::Instant spread = fleet.now();
        fleet.advance(steps(std::chrono::seconds(10)), limit);
        int64_t callsBefore = fleet.callsSince(spread);
        fleet.setOnlyCaller(1);
        // The platform's rule counts from then on.
        fleet.advance(steps(std::chrono::seconds(3)), limit);
        base::Instant concentrated = fleet.now();
        fleet.advance(steps(std::chrono::seconds(10)), limit);
        CHECK_TRUE(4 * fleet.callsSince(concentrated) >= 3 * callsBefore);
        CHECK_TRUE(static_cast<double>(fleet.mostWithinWindow(spread)) <= allowedCalls(limit));
    }
}

// Guards against a gateway that sends nothing to the upstream and would never learn that its limit has changed or ended.
TEST(UpstreamCallLimits, WhatPeersHaveHeardLastIsInForce)
{
    base::Instant now { std::chrono::hours(1) };
    FleetShare share({}, base::InstanceId("edge-1"));
    UpstreamCallLimits limits(share);
    CHECK_TRUE(limits.onPeerHeard({ engine, firstStart, 2.0, std::chrono::seconds(1) }, now));
    DOUBLES_EQUAL(2, limits.limit(engine, firstStart, now).value_or(-1), 1e-9);
    CHECK_FALSE(limits.onPeerHeard({ engine, firstStart, std::nullopt, std::chrono::seconds(2) }, now));
    DOUBLES_EQUAL(2, limits.limit(engine, firstStart, now).value_or(-1), 1e-9);
    now += std::chrono::seconds(1);
    CHECK_TRUE(limits.onPeerHeard({ engine, firstStart, std::nullopt, std::chrono::milliseconds(100) }, now));
    now += std::chrono::seconds(6);
    CHECK_FALSE(limits.limit(engine, firstStart, now).has_value());
    // What was heard from a peer is not told on.
    LONGS_EQUAL(0, limits.heardLately(now).size());
    limits.onAnswer(engine, firstStart, 3.0, now);
    LONGS_EQUAL(1, limits.heardLately(now).size());
    LONGS_EQUAL(0, limits.heardLately(now + std::chrono::seconds(11)).size());
}

// Guards against a limit that outlives the process that advertised it.
TEST(UpstreamCallLimits, ARestartedUpstreamHasNoLimit)
{
    base::Instant now { std::chrono::hours(1) };
    FleetShare share({}, base::InstanceId("edge-1"));
    UpstreamCallLimits limits(share);
    limits.onAnswer(engine, firstStart, 2.0, now);
    CHECK_FALSE(limits.limit(engine, secondStart, now).has_value());
    CHECK_TRUE(limits.nextCall(engine, secondStart, now) == now);
    limits.onAnswer(engine, secondStart, std::nullopt, now);
    CHECK_FALSE(limits.limit(engine, secondStart, now).has_value());
}

// Gateways start, are killed and replaced, are cut off from the store and suspended, in any order, while each has more calls
// than its part and no gateway hears another.
TEST(UpstreamCallLimits, NoSequenceOfFailuresExceedsTheLimit)
{
    CHECK_PROPERTY_WITH((toucanstep::testing::PropertyOptions { .seed = 37, .maxSuccess = 100 }), [] {
        double limit = *rc::gen::element(0.3, 1.0, 2.8, 7.5);
        Fleet fleet(*rc::gen::inRange<size_t>(1, 24));
        fleet.advance(*rc::gen::inRange(0, 400), std::nullopt, 0);
        fleet.advance(steps(std::chrono::seconds(4)), limit);
        base::Instant from = fleet.now();
        int events = *rc::gen::inRange(5, 40);
        for (int event = 0; event < events; ++event) {
            fleet.disturb();
            fleet.advance(*rc::gen::inRange(1, 120), limit);
        }
        RC_ASSERT(static_cast<double>(fleet.mostWithinWindow(from)) <= allowedCalls(limit));
    });
}

// Guards against a part that two gateways use, its owner and the one that has borrowed it. The gateway to which the calls come changes, and
// reports are lost.
TEST(UpstreamCallLimits, NoSequenceOfFailuresExceedsTheLimitWithBorrowedParts)
{
    CHECK_PROPERTY_WITH((toucanstep::testing::PropertyOptions { .seed = 43, .maxSuccess = 100 }), [] {
        double limit = *rc::gen::element(0.3, 1.0, 2.8, 7.5);
        Fleet fleet(*rc::gen::inRange<size_t>(1, 24));
        fleet.setLostReports(*rc::gen::inRange(0, 5) * 0.1);
        fleet.advance(*rc::gen::inRange(0, 400), std::nullopt, 0);
        fleet.advance(steps(std::chrono::seconds(4)), limit);
        base::Instant from = fleet.now();
        int events = *rc::gen::inRange(5, 40);
        for (int event = 0; event < events; ++event) {
            if (*rc::gen::inRange(0, 2) == 0)
                fleet.setOnlyCaller(*rc::gen::inRange<size_t>(0, fleet.size()));
            else
                fleet.disturb();
            fleet.advance(*rc::gen::inRange(1, 240), limit);
        }
        RC_ASSERT(static_cast<double>(fleet.mostWithinWindow(from)) <= allowedCalls(limit));
    });
}
