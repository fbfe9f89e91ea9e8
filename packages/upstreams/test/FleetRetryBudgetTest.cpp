#include "toucanstep/upstreams/FleetRetryBudget.h"

#include "FleetModel.h"

#include <CppUTest/TestHarness.h>
#include <deque>
#include <random>

using namespace toucanstep;
using namespace toucanstep::upstreams;
using toucanstep::upstreams::testing::FleetModel;

namespace {

const base::ServiceId service("narrator");
constexpr FleetRetryBudgetSettings budgetSettings { .ratio = 0.2, .slack = 96, .window = std::chrono::seconds(10) };

// A gateway whose calls fail and are retried, some of them only after a while, as if they had waited for a slot.
struct Retrier {
    explicit Retrier(const FleetShare& share)
        : budget(budgetSettings, share)
    {
        budget.setServices({ { .id = service } });
    }
    FleetRetryBudget budget;
    // When reserved retries are sent.
    std::deque<base::Instant> reserved;
};

struct Load {
    // Calls of each gateway at a time, and the steps between them.
    int calls = 1;
    int interval = 4;
    // Retries that each call asks for.
    int retries = 2;
    base::Duration wait {};
};

class Fleet : public FleetModel<Retrier> {
public:
    explicit Fleet(size_t size)
        : FleetModel(size, [](const FleetShare& share, size_t) { return std::make_unique<Retrier>(share); })
    {
    }

    void advance(int steps, const Load& load)
    {
        FleetModel::advance(steps, [&](Retrier& gateway, base::Instant now) {
            gateway.budget.tick(now);
            bool due = (now.time_since_epoch() / step) % load.interval == 0;
            for (int call = 0; due && call < load.calls; ++call) {
                gateway.budget.onCall(service, now);
                m_calls.push_back(now);
                for (int retry = 0; retry < load.retries && gateway.budget.tryReserve(service, now); ++retry)
                    gateway.reserved.push_back(now + load.wait);
            }
            while (!gateway.reserved.empty() && gateway.reserved.front() <= now) {
                gateway.reserved.pop_front();
                if (gateway.budget.pay(service, now))
                    m_retries.push_back(now);
            }
        });
    }

    // By how many retries the fleet was above what it is allowed in the worst window; negative if it always stayed below.
    double worstExcess() const
    {
        double worst = -static_cast<double>(budgetSettings.slack);
        base::Duration window = budgetSettings.window;
        for (size_t first = 0; first < m_retries.size(); ++first) {
            base::Instant from = m_retries[first];
            if (first && m_retries[first - 1] == from)
                continue;
            int64_t calls = std::max({ count(m_calls, from, from + window), count(m_calls, from - window, from), count(m_calls, from - window / 2, from + window / 2) });
            double allowed = budgetSettings.ratio * static_cast<double>(calls) + static_cast<double>(budgetSettings.slack);
            worst = std::max(worst, static_cast<double>(count(m_retries, from, from + window)) - allowed);
        }
        return worst;
    }
    int64_t retriesSince(base::Instant from) const { return count(m_retries, from, now()); }

private:
    static int64_t count(const std::vector<base::Instant>& times, base::Instant from, base::Instant to)
    {
        return std::upper_bound(times.begin(), times.end(), to) - std::lower_bound(times.begin(), times.end(), from);
    }

    std::vector<base::Instant> m_calls;
    std::vector<base::Instant> m_retries;
};

constexpr int steps(base::Duration time) { return static_cast<int>(time / Fleet::step); }
constexpr Load quiet { .calls = 1, .retries = 0 };
constexpr Load failing { .calls = 1, .retries = 2 };

} // namespace

TEST_GROUP(FleetRetryBudget) {};

// Guards against retries that pile up when the upstreams of a service fail before a large fleet: each gateway had a reserve of
// its own, whatever their number, and 28 of them sent 817 retries in 10 s where 637 were allowed.
TEST(FleetRetryBudget, ALargeFleetWhoseUpstreamsAllFailStaysWithinTheBudget)
{
    Fleet fleet(28);
    fleet.advance(steps(std::chrono::seconds(30)), quiet);
    fleet.advance(steps(std::chrono::seconds(10)), failing);
    CHECK_TRUE(fleet.worstExcess() <= 0);
}

// Guards against a reserve that each start of a process fills again.
TEST(FleetRetryBudget, AFleetThatIsKilledInSeriesStaysWithinTheBudget)
{
    Fleet fleet(12);
    for (int kill = 0; kill < 6; ++kill) {
        fleet.advance(steps(std::chrono::seconds(2)), failing);
        for (size_t number = 0; number < fleet.size(); ++number)
            fleet.start(number);
    }
    CHECK_TRUE(fleet.worstExcess() <= 0);
}

// Guards against retries that were granted over a long time and are sent together, once an upstream takes them.
TEST(FleetRetryBudget, RetriesThatWaitedTogetherStayWithinTheBudget)
{
    Fleet fleet(12);
    fleet.advance(steps(std::chrono::seconds(30)), failing);
    for (int second = 20; second > 0; --second)
        fleet.advance(steps(std::chrono::seconds(1)), { .calls = 1, .retries = 1, .wait = std::chrono::seconds(second) });
    fleet.advance(steps(std::chrono::seconds(5)), quiet);
    CHECK_TRUE(fleet.worstExcess() <= 0);
}

// Guards against a budget that grants nothing: a fleet of any size retries a tenth of its calls, also just after its start.
TEST(FleetRetryBudget, AFleetRetriesATenthOfItsCallsFromTheStart)
{
    for (size_t size : { 4, 28, 350 }) {
        Fleet fleet(size);
        base::Instant from = fleet.now();
        fleet.advance(steps(std::chrono::seconds(4)), { .calls = 1, .retries = 1 });
        CHECK_TRUE(fleet.retriesSince(from) >= static_cast<int64_t>(size) * 4 * 5 / 10);
    }
}

// Guards against a gateway with few calls that could never retry one: a part of the fixed number is its own.
TEST(FleetRetryBudget, AGatewayWithFewCallsRetriesThemFromItsShare)
{
    Fleet fleet(28);
    fleet.advance(steps(std::chrono::seconds(15)), { .calls = 0 });
    base::Instant from = fleet.now();
    fleet.advance(1, { .calls = 1, .interval = 1, .retries = 1 });
    LONGS_EQUAL(28, fleet.retriesSince(from));
}

// Gateways start, are killed and replaced, are cut off from the store and suspended, in any order, under a load that rises and
// falls, while most calls fail and their retries are sent at once or later.
TEST(FleetRetryBudget, NoSequenceOfFailuresExceedsTheBudget)
{
    CHECK_PROPERTY_WITH((toucanstep::testing::PropertyOptions { .seed = 37, .maxSuccess = 60 }), [] {
        Fleet fleet(*rc::gen::inRange<size_t>(1, 40));
        int events = *rc::gen::inRange(5, 40);
        for (int event = 0; event < events; ++event) {
            fleet.disturb();
            Load load { .calls = *rc::gen::inRange(0, 5), .interval = *rc::gen::element(1, 4, 20), .retries = *rc::gen::inRange(0, 3), .wait = std::chrono::milliseconds(*rc::gen::element(0, 0, 100, 4000)) };
            fleet.advance(*rc::gen::inRange(1, 120), load);
        }
        RC_ASSERT(fleet.worstExcess() <= 0);
    });
}
