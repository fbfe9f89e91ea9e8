#include "toucanstep/direct/AccountLimits.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <limits>
#include <numeric>

using namespace toucanstep;
using namespace toucanstep::direct;
using base::Tokens;

namespace {

const base::ClientAccountId farm("farm");

DesiredState stateWith(int64_t rate, int64_t burst)
{
    DesiredState state;
    Account account;
    account.limits.id = farm;
    account.limits.tokensPerSecond = Tokens(rate);
    account.limits.burst = Tokens(burst);
    state.accounts.push_back(account);
    return state;
}

base::InstanceId gateway(size_t number) { return base::InstanceId("gateway-" + std::to_string(number)); }

// A few gateways that send each other reports over links which can be cut, and the calls that they let through.
class Fleet {
public:
    Fleet(size_t size, int64_t rate, int64_t burst)
        : m_state(stateWith(rate, burst))
    {
        for (size_t number = 0; number < size; ++number) {
            m_limits.emplace_back(AccountLimitsSettings {});
            m_cut.push_back(false);
            m_incarnations.push_back(1);
        }
        for (size_t number = 0; number < size; ++number)
            begin(number);
    }

    base::Instant now() const { return m_now; }
    void setCut(size_t number, bool cut) { m_cut[number] = cut; }
    // What `from` sends does not reach `to`.
    void setLinkCut(size_t from, size_t to, bool cut)
    {
        if (cut)
            m_cutLinks.emplace(from, to);
        else
            m_cutLinks.erase({ from, to });
    }
    // `unknown`: a gateway that the new process has never heard of; none if it is not a number of one.
    void restart(size_t number, size_t unknown = std::numeric_limits<size_t>::max())
    {
        m_limits[number] = AccountLimits(AccountLimitsSettings {});
        ++m_incarnations[number];
        begin(number, unknown);
    }
    int64_t passed() const
    {
        return std::accumulate(m_passed.begin(), m_passed.end(), int64_t(0), [](int64_t sum, const auto& call) { return sum + call.second; });
    }
    bool call(size_t number, int64_t cost)
    {
        if (m_limits[number].charge(farm, Tokens(cost), m_now))
            return false;
        m_passed.emplace_back(m_now, cost);
        return true;
    }
    // 100 ms pass, and everyone reports.
    void step()
    {
        m_now += std::chrono::milliseconds(100);
        for (size_t from = 0; from < m_limits.size(); ++from) {
            for (size_t to = 0; to < m_limits.size(); ++to) {
                if (from != to && !m_cut[from] && !m_cut[to] && !m_cutLinks.contains({ from, to }))
                    m_limits[to].onReport(gateway(from), m_limits[from].report(Incarnation(m_incarnations[from]), m_now), m_now);
            }
        }
    }
    // The most that passed in any span of that length.
    int64_t mostIn(base::Duration span) const
    {
        int64_t most = 0;
        int64_t sum = 0;
        std::deque<std::pair<base::Instant, int64_t>> window;
        for (const auto& call : m_passed) {
            window.push_back(call);
            sum += call.second;
            while (call.first - window.front().first > span) {
                sum -= window.front().second;
                window.pop_front();
            }
            most = std::max(most, sum);
        }
        return most;
    }
    AccountLimits& limits(size_t number) { return m_limits[number]; }

private:
    void begin(size_t number, size_t unknown = std::numeric_limits<size_t>::max())
    {
        m_limits[number].setSelf(gateway(number), m_now);
        m_limits[number].setAccounts(m_state, m_now);
        std::set<base::InstanceId> peers;
        for (size_t other = 0; other < m_limits.size(); ++other) {
            if (other != number && other != unknown)
                peers.insert(gateway(other));
        }
        m_limits[number].setPeers(peers, m_now);
    }

    DesiredState m_state;
    base::Instant m_now { std::chrono::hours(1) };
    std::vector<AccountLimits> m_limits;
    std::vector<bool> m_cut;
    std::set<std::pair<size_t, size_t>> m_cutLinks;
    std::vector<int64_t> m_incarnations;
    std::vector<std::pair<base::Instant, int64_t>> m_passed;
};

constexpr int64_t rate = 1000;
constexpr int64_t burst = 1000;
constexpr auto window = std::chrono::seconds(8);
// Rate and burst over the window, a tenth more, and what the gateways may let through before they hear of each other.
constexpr int64_t allowed = (8 * rate + burst) * 11 / 10 + 2 * rate;

} // namespace

TEST_GROUP(AccountLimits) {};

TEST(AccountLimits, AnAccountWithoutALimitIsNeverHeldBack)
{
    AccountLimits limits(AccountLimitsSettings {});
    CHECK_FALSE(limits.charge(farm, Tokens(1'000'000), base::Instant()).has_value());
}

TEST(AccountLimits, ARefusalSaysWhenTheTokensWillBeThere)
{
    Fleet fleet(1, rate, burst);
    for (int count = 0; count < 20; ++count)
        fleet.step();
    CHECK_TRUE(fleet.call(0, 1000));
    auto retryAt = fleet.limits(0).charge(farm, Tokens(500), fleet.now());
    CHECK_TRUE(retryAt.has_value());
    LONGS_EQUAL(500, base::toMilliseconds(*retryAt - fleet.now()));
}

TEST(AccountLimits, ACallAboveTheWholeBurstPassesAFullBucketAndIsOwed)
{
    Fleet fleet(1, rate, burst);
    for (int count = 0; count < 20; ++count)
        fleet.step();
    CHECK_TRUE(fleet.call(0, 3000));
    CHECK_FALSE(fleet.call(0, 1));
}

TEST(AccountLimits, WhatDidNotRunIsGivenBack)
{
    Fleet fleet(1, rate, burst);
    for (int count = 0; count < 20; ++count)
        fleet.step();
    CHECK_TRUE(fleet.call(0, 1000));
    fleet.limits(0).refund(farm, Tokens(1000));
    CHECK_TRUE(fleet.call(0, 1000));
}

TEST(AccountLimits, OneAccountsFloodAtEveryGatewayStaysWithinItsLimit)
{
    Fleet fleet(4, rate, burst);
    for (int count = 0; count < 200; ++count) {
        for (size_t number = 0; number < 4; ++number) {
            for (int call = 0; call < 20; ++call)
                fleet.call(number, 20);
        }
        fleet.step();
    }
    CHECK_TRUE(fleet.mostIn(window) <= allowed);
    // And it gets what it may have.
    CHECK_TRUE(fleet.mostIn(window) >= 8 * rate);
}

TEST(AccountLimits, AFleetThatStartsAgainGivesNoSecondBurst)
{
    // An account would get more than its rate and burst: all gateways are killed at once, and each starts with a full bucket.
    Fleet fleet(4, rate, burst);
    auto flood = [&](int steps) {
        for (int count = 0; count < steps; ++count) {
            for (size_t number = 0; number < 4; ++number) {
                for (int call = 0; call < 20; ++call)
                    fleet.call(number, 20);
            }
            fleet.step();
        }
    };
    flood(50);
    for (size_t number = 0; number < 4; ++number)
        fleet.restart(number);
    flood(50);
    CHECK_TRUE(fleet.mostIn(window) <= allowed);
}

// One account floods the fleet while half of the gateways are cut off, each on its own. Until they noticed, each filled its
// bucket at the whole rate and heard of nobody's charges, so the account got as many times its rate as there were parts.
TEST(AccountLimits, GatewaysThatAreCutOffAtOnceSpendNoMoreThanTheirParts)
{
    constexpr size_t size = 24;
    constexpr int64_t cost = 5;
    Fleet fleet(size, rate, burst);
    auto flood = [&](int steps) {
        for (int step = 0; step < steps; ++step) {
            for (size_t number = 0; number < size; ++number) {
                for (int call = 0; call < 6; ++call)
                    fleet.call(number, cost);
            }
            fleet.step();
        }
    };
    flood(60);
    for (size_t number = 0; number < size / 2; ++number)
        fleet.setCut(number, true);
    flood(30);
    for (size_t number = 0; number < size / 2; ++number)
        fleet.setCut(number, false);
    flood(30);
    // What is within the limit passes all the same.
    CHECK_TRUE(fleet.mostIn(window) >= 7 * rate);
    CHECK_TRUE(fleet.mostIn(window) <= (8 * rate + burst) * 11 / 10);
}

// One account floods three gateways while the first is cut off from the other two, and all still hear the fourth. The two
// sides did not hear each other, and both spent the fourth one's part of the rate, so the account got a quarter more.
TEST(AccountLimits, GatewaysThatDoNotHearEachOtherDoNotBothSpendThePartOfOneThatBothHear)
{
    Fleet fleet(4, rate, burst);
    auto flood = [&](int steps) {
        for (int step = 0; step < steps; ++step) {
            for (size_t number = 0; number < 3; ++number) {
                for (int call = 0; call < 20; ++call)
                    fleet.call(number, 5);
            }
            fleet.step();
        }
    };
    auto divide = [&](bool cut) {
        for (size_t other : { 1, 2 }) {
            fleet.setLinkCut(0, other, cut);
            fleet.setLinkCut(other, 0, cut);
        }
    };
    for (int step = 0; step < 30; ++step)
        fleet.step();
    flood(5);
    divide(true);
    flood(80);
    divide(false);
    flood(60);
    CHECK_TRUE(fleet.mostIn(window) >= 7 * rate);
    CHECK_TRUE(fleet.mostIn(window) <= (8 * rate + burst) * 11 / 10);
}

// Links are cut one by one, in one direction or both, and come back, while one account floods every gateway. Whoever hears
// whom, the parts of the rate that are spent add up to no more than the whole.
TEST(AccountLimits, NoPatternOfCutLinksPassesMoreThanTheLimit)
{
    CHECK_PROPERTY([] {
        constexpr size_t size = 5;
        Fleet fleet(size, rate, burst);
        for (int count = 0; count < 150; ++count) {
            int event = *rc::gen::inRange(0, 16);
            size_t from = *rc::gen::inRange<size_t>(0, size);
            size_t to = *rc::gen::inRange<size_t>(0, size);
            if (event < 4)
                fleet.setLinkCut(from, to, event < 2);
            if (event < 3)
                fleet.setLinkCut(to, from, event < 2);
            for (size_t gate = 0; gate < size; ++gate) {
                bool asked = *rc::gen::inRange(0, 3) > 0;
                for (int call = 0; call < 10 && asked; ++call)
                    fleet.call(gate, 10);
            }
            fleet.step();
        }
        RC_ASSERT(fleet.mostIn(window) <= (8 * rate + burst) * 11 / 10 + rate / 2);
    });
}

// A gateway was removed for good and another one came. The new one had never heard of the old one, which the others took for a
// gateway that it might hear, so none of them shared its part: callers were refused with half of their account's rate unused.
TEST(AccountLimits, ANewGatewaysPartIsSharedAlthoughItDoesNotKnowOfOneThatIsGone)
{
    Fleet fleet(5, rate, burst);
    fleet.setCut(4, true);
    fleet.restart(3, 4);
    for (int step = 0; step < 20; ++step)
        fleet.step();
    int64_t before = fleet.passed();
    for (int step = 0; step < 60; ++step) {
        for (int call = 0; call < 40; ++call)
            fleet.call(0, 5);
        fleet.step();
    }
    // Four fifths: the part of the one that is gone is kept for it.
    CHECK_TRUE(fleet.passed() - before >= 6 * rate * 75 / 100);
}

// A gateway was stopped and started again, as all are in turn when a version is rolled out. Callers whose account had used
// nothing for seconds were refused there for being over its rate, since the new process began with empty buckets.
TEST(AccountLimits, AGatewayThatStartsBesideOthersTakesOverWhatTheBucketsHold)
{
    Fleet fleet(4, rate, burst);
    for (int step = 0; step < 30; ++step)
        fleet.step();
    fleet.restart(0);
    fleet.step();
    fleet.step();
    CHECK_TRUE(fleet.call(0, burst * 9 / 10));
    fleet.step();
    // What it spent counts at the others as before.
    CHECK_FALSE(fleet.call(1, burst * 6 / 10));
}

TEST(AccountLimits, NoHistoryOfCutsAndRestartsPassesMoreThanTheLimit)
{
    CHECK_PROPERTY([] {
        Fleet fleet(4, rate, burst);
        for (int count = 0; count < 150; ++count) {
            int event = *rc::gen::inRange(0, 40);
            size_t number = *rc::gen::inRange<size_t>(0, 4);
            // One gateway at a time is cut off: with more, the parts' first 350 ms add up.
            if (event == 0) {
                for (size_t other = 0; other < 4; ++other)
                    fleet.setCut(other, other == number);
            } else if (event == 1) {
                for (size_t other = 0; other < 4; ++other)
                    fleet.setCut(other, false);
            } else if (event == 2) {
                fleet.restart(number);
            }
            for (size_t gate = 0; gate < 4; ++gate) {
                for (int call = 0; call < 10; ++call)
                    fleet.call(gate, 40);
            }
            fleet.step();
        }
        RC_ASSERT(fleet.mostIn(window) <= allowed);
    });
}
