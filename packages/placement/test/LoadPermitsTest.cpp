#include "toucanstep/placement/LoadPermits.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep;
using namespace toucanstep::placement;
using namespace std::chrono_literals;

namespace {

base::Instant at(base::Duration sinceStart) { return base::Instant(std::chrono::hours(1)) + sinceStart; }

PermitRequest requestFrom(int borrower, base::Duration deadline, int64_t weight = 1, PermitKind kind = PermitKind::Model)
{
    return { base::UpstreamId(base::concat("u", borrower)), base::ModelId("m"), kind, at(deadline), weight, 10s };
}

// Acquires and releases permits at random times; the number of leased permits must never exceed the limit.
void checkLimit(PermitSettings settings, int64_t allowed)
{
    LoadPermits permits(settings);
    auto now = at(0s);
    std::vector<PermitLease> leases;
    auto steps = *rc::gen::inRange(0, 60);
    for (int step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
        auto borrower = *rc::gen::inRange(0, 12);
        if (*rc::gen::arbitrary<bool>()) {
            if (auto permit = permits.requestPermit(requestFrom(borrower, 60s), now))
                leases.push_back(*permit);
        } else if (!leases.empty()) {
            permits.release(leases.back().id);
            leases.pop_back();
        }
        for (const auto& permit : permits.tick(now))
            leases.push_back(permit);
        RC_ASSERT(permits.leasedCount(PermitKind::Model, now) <= allowed);
    }
}

} // namespace

TEST_GROUP(LoadPermits)
{
    LoadPermits permits { {} };

    void leaseAll()
    {
        for (int borrower = 0; borrower < 4; ++borrower)
            CHECK_TRUE(permits.requestPermit(requestFrom(borrower, 60s), at(0s)).has_value());
    }
};

TEST(LoadPermits, NoMoreLoadsRunThanTheStoreServesAtFullSpeed)
{
    CHECK_PROPERTY([] { checkLimit({}, 4); });
    CHECK_FALSE(toucanstep::testing::counterexample({}, [] { checkLimit({ .models = 5 }, 4); }).empty());
}

TEST(LoadPermits, TheEarliestDeadlineGoesFirstAndTheGreaterWeightAmongEqualOnes)
{
    leaseAll();
    permits.requestPermit(requestFrom(10, 50s), at(1s));
    permits.requestPermit(requestFrom(11, 30s), at(1s));
    permits.requestPermit(requestFrom(12, 30s, 5), at(1s));
    auto leased = permits.requestPermit(requestFrom(0, 60s), at(1s));
    permits.release(leased->id);
    auto leases = permits.tick(at(2s));
    CHECK_EQUAL(1, leases.size());
    STRCMP_EQUAL("u12", leases[0].borrower.value().c_str());
}

TEST(LoadPermits, RepeatingARequestReturnsTheSamePermit)
{
    auto first = permits.requestPermit(requestFrom(1, 60s), at(0s));
    auto again = permits.requestPermit(requestFrom(1, 60s), at(1s));
    CHECK_TRUE(first->id == again->id);
    CHECK_EQUAL(1, permits.leasedCount(PermitKind::Model, at(1s)));
}

TEST(LoadPermits, ACrashedBorrowerBlocksItsPermitForALimitedTime)
{
    leaseAll();
    CHECK_FALSE(permits.requestPermit(requestFrom(10, 60s), at(1s)).has_value());
    CHECK_TRUE(permits.requestPermit(requestFrom(10, 60s), at(31s)).has_value());
}

TEST(LoadPermits, CanceledAndExpiredRequestsGetNoPermit)
{
    leaseAll();
    permits.requestPermit(requestFrom(10, 60s), at(1s));
    permits.requestPermit(requestFrom(11, 60s), at(1s));
    permits.withdraw(base::UpstreamId("u10"), base::ModelId("m"));
    CHECK_TRUE(permits.tick(at(40s)).empty());
}

TEST(LoadPermits, TheExpectedTimeCountsRunningLoadsAndThoseAhead)
{
    leaseAll();
    CHECK_TRUE(permits.expectedAt(requestFrom(20, 60s), at(2s)) == at(10s));
    for (int borrower = 10; borrower < 14; ++borrower)
        permits.requestPermit(requestFrom(borrower, 50s), at(2s));
    CHECK_TRUE(permits.expectedAt(requestFrom(20, 60s), at(2s)) == at(20s));
    CHECK_TRUE(permits.expectedAt(requestFrom(20, 40s), at(2s)) == at(10s));
    CHECK_TRUE(permits.expectedAt(requestFrom(20, 60s, 1, PermitKind::Adapter), at(2s)) == at(2s));
}

TEST(LoadPermits, WithoutThePermitGatewaySidecarsStayWithinTheStoresLoadRate)
{
    // The gateway that grants the permits is unreachable. 18 sidecars with waiting callers must neither stop loading nor start
    // 18 loads at once, which would slow down the store for all.
    std::vector<FallbackLoadLimiter> sidecars;
    for (int index = 0; index < 18; ++index)
        sidecars.emplace_back(FallbackLoadLimiterSettings { {}, 18 }, index * 1000 / 18, at(0s));
    std::vector<std::pair<int, base::Instant>> running;
    int begun = 0;
    size_t maximumRunning = 0;
    for (int tick = 0; tick < 1200; ++tick) {
        auto now = at(100ms * tick);
        std::erase_if(running, [&](const auto& load) {
            if (load.second > now)
                return false;
            sidecars[static_cast<size_t>(load.first)].ended(PermitKind::Model);
            return true;
        });
        for (int index = 0; index < 18; ++index)
            if (sidecars[static_cast<size_t>(index)].tryBegin(PermitKind::Model, 10s, now)) {
                running.emplace_back(index, now + 10s);
                ++begun;
            }
        maximumRunning = std::max(maximumRunning, running.size());
    }
    CHECK_TRUE(maximumRunning <= 5);
    // Four concurrent loads of 10 s each make 48 loads in 120 s.
    CHECK_TRUE(begun >= 44);
}
