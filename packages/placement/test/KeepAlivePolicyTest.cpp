#include "toucanstep/placement/KeepAlivePolicy.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep;
using namespace toucanstep::placement;
using namespace std::chrono_literals;

namespace {

const base::ModelId model("m");

base::Instant at(base::Duration sinceStart) { return base::Instant(std::chrono::hours(1)) + sinceStart; }

IdleModel idleSince(base::Instant since, const base::ModelId& id = model) { return { id, since, 10s, base::Bytes(100) }; }

} // namespace

TEST_GROUP(KeepAlivePolicy)
{
    std::unique_ptr<KeepAlivePolicy> policy = makeLearntKeepAlive({ .idleSecondsPerWaitSecond = 4 });
    base::Instant now = at(0s);

    void recordGap(base::Duration gap)
    {
        policy->onIdle(idleSince(now));
        now += gap;
        policy->onRequest(model, now);
    }
};

TEST(KeepAlivePolicy, WithoutHistoryTheSkiRentalRuleApplies)
{
    CHECK_TRUE(policy->keepUntil(idleSince(at(0s))) == at(40s));
}

TEST(KeepAlivePolicy, AModelThatReturnsOnlyAfterLongGapsIsUnloadedAtOnce)
{
    for (int index = 0; index < 20; ++index)
        recordGap(10min);
    CHECK_TRUE(policy->keepUntil(idleSince(now)) == now);
}

TEST(KeepAlivePolicy, AModelThatReturnsWithinABurstIsKeptJustThatLong)
{
    for (int index = 0; index < 40; ++index)
        recordGap(index % 10 == 0 ? base::Duration(20min) : base::Duration(3s));
    auto kept = policy->keepUntil(idleSince(now)) - now;
    CHECK_TRUE(kept >= 3s);
    CHECK_TRUE(kept <= 4s);
}

TEST(KeepAlivePolicy, TheNextRequestOfAPeriodicallyRequestedModelIsPredicted)
{
    for (int index = 0; index < 20; ++index)
        recordGap(600s + std::chrono::seconds(index % 3));
    CHECK_FALSE(policy->predictNextRequest(model).has_value());
    policy->onIdle(idleSince(now));
    auto expected = policy->predictNextRequest(model);
    CHECK_TRUE(expected->earliest > now + 590s);
    CHECK_TRUE(expected->earliest <= now + 600s);
    CHECK_TRUE(expected->latest >= now + 602s);
    policy->onRequest(model, now + 20s);
    policy->onIdle(idleSince(now + 20s));
    CHECK_FALSE(policy->predictNextRequest(model).has_value());
}

TEST(KeepAlivePolicy, UnderPressureTheModelLeastLikelyToBeRequestedIsEvictedFirst)
{
    base::ModelId rare("rare");
    for (int index = 0; index < 20; ++index) {
        recordGap(5s);
        policy->onIdle(idleSince(now, rare));
        policy->onRequest(rare, now + 30min);
    }
    CHECK_TRUE(policy->evictionCost(idleSince(now, rare), now + 1s) < policy->evictionCost(idleSince(now), now + 1s));
}

TEST(KeepAlivePolicy, TheBaselineKeepsAFixedTimeAndEvictsTheLeastRecentlyUsed)
{
    auto fixed = makeFixedKeepAlive(60s);
    CHECK_TRUE(fixed->keepUntil(idleSince(at(0s))) == at(60s));
    CHECK_TRUE(fixed->evictionCost(idleSince(at(0s)), at(10s)) < fixed->evictionCost(idleSince(at(5s)), at(10s)));
}

TEST(KeepAlivePolicy, KeepAliveIsNeverNegativeNorBeyondTheMaximum)
{
    CHECK_PROPERTY([](const std::vector<uint16_t>& gaps) {
        auto learnt = makeLearntKeepAlive({ .maximumKeepAlive = 10min });
        auto time = at(0s);
        for (auto gap : gaps) {
            learnt->onIdle(idleSince(time));
            time += std::chrono::milliseconds(gap) * 100;
            learnt->onRequest(model, time);
            auto until = learnt->keepUntil(idleSince(time));
            RC_ASSERT(until >= time);
            RC_ASSERT(until <= time + 10min);
        }
    });
}
