#include "toucanstep/planner/DemandTracker.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::planner;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto latencyTarget = std::chrono::milliseconds(300);
constexpr auto callerAbandonTimeout = std::chrono::milliseconds(2000);

} // namespace

TEST_GROUP(DemandTracker) {};

TEST(DemandTracker, EndedDemandDecaysAndIsRemoved)
{
    DemandTracker book;
    ModelTarget target { base::ModelId("m"), AdapterId() };
    for (int call = 0; call < 40; ++call)
        book.onArrival(target, start + std::chrono::milliseconds(100 * call));
    base::Instant now = start + std::chrono::seconds(4);
    int64_t rate = book.summary(now).at(0).arrivalsPerKilosecond;
    CHECK_TRUE(rate > 5000 && rate < 10000);
    CHECK_TRUE(book.summary(now + std::chrono::seconds(60)).empty());
    book.onWaiting(target, 1);
    LONGS_EQUAL(1, book.summary(now + std::chrono::seconds(120)).at(0).waiting);
}

TEST(DemandTracker, QueuedPromptsAreAveragedOverTime)
{
    DemandTracker book;
    ModelTarget target { base::ModelId("m"), AdapterId() };
    for (int call = 0; call < 4; ++call)
        book.onSent(target, start);
    int64_t soon = book.summary(start + std::chrono::milliseconds(100)).at(0).awaitingThousandths;
    int64_t later = book.summary(start + std::chrono::seconds(8)).at(0).awaitingThousandths;
    CHECK_TRUE(soon > 0 && soon < 400);
    CHECK_TRUE(later > 3900 && later <= 4000);
    for (int call = 0; call < 4; ++call)
        book.onAnswerBegun(target, start + std::chrono::seconds(8));
    TargetDemand begun = book.summary(start + std::chrono::seconds(16)).at(0);
    CHECK_TRUE(begun.awaitingThousandths < 100);
    LONGS_EQUAL(4, begun.running);
    for (int call = 0; call < 4; ++call)
        book.onEnded(target, true, start + std::chrono::seconds(16));
    CHECK_TRUE(book.summary(start + std::chrono::seconds(17)).empty());
}

// Guards against a model that stays unloaded because its callers are refused at once. A model that was on a disk was loaded
// nowhere for eleven seconds: no load was expected within its callers' time, so they were refused on arrival and none waited,
// and the planner evicts and loads only for waiting callers.
TEST(DemandTracker, CallsRefusedAtOnceStillCountAsDemand)
{
    DemandTracker demand;
    ModelTarget target { base::ModelId("m"), AdapterId() };
    demand.onArrival(target, start);
    demand.onRefused(target, start + callerAbandonTimeout);
    LONGS_EQUAL(1, demand.summary(start + latencyTarget).front().waiting);
    LONGS_EQUAL(0, demand.summary(start + callerAbandonTimeout).front().waiting);
}
