#include "toucanstep/planner/PlannerSuccession.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::planner;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto millisecond = std::chrono::milliseconds(1);
const PlannerState loading { { { base::UpstreamId("e"), StartId(1), OrderKind::Load, base::ModelId("m"), true, 8000 * millisecond, 1000 * millisecond } }, 2 };

} // namespace

TEST_GROUP(PlannerSuccession)
{
    PlannerSuccession succession;
};

TEST(PlannerSuccession, ASilentPlannersStateIsRepeatedWithItsAge)
{
    succession.onPlanReport(base::Epoch(3), loading, start);
    CHECK_FALSE(succession.handover(start + 300 * millisecond).has_value());
    auto handover = succession.handover(start + 2000 * millisecond);
    CHECK_TRUE(handover.has_value());
    LONGS_EQUAL(3, handover->fence.value());
    LONGS_EQUAL(3000, base::toMilliseconds(handover->state.orders.at(0).age));
}

// Guards against forgetting the running orders because the new planner, which does not know them yet, has reported.
TEST(PlannerSuccession, ANewPlannersFirstReportDoesNotReplaceWhatItHasToLearn)
{
    succession.onPlanReport(base::Epoch(3), loading, start);
    succession.onPlanReport(base::Epoch(4), {}, start + 1000 * millisecond);
    succession.onPlanReport(base::Epoch(4), {}, start + 1300 * millisecond);
    auto handover = succession.handover(start + 1400 * millisecond);
    CHECK_TRUE(handover.has_value());
    LONGS_EQUAL(3, handover->fence.value());
    CHECK_FALSE(succession.handover(start + 2050 * millisecond).has_value() && succession.handover(start + 2050 * millisecond)->fence == base::Epoch(3));
}

TEST(PlannerSuccession, OldStateIsForgotten)
{
    succession.onPlanReport(base::Epoch(3), loading, start);
    CHECK_FALSE(succession.last(start + 60000 * millisecond).has_value());
}
