#include "toucanstep/routing/RetryBudget.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep::routing;

TEST_GROUP(RetryBudget) {
    // The number of attempts made for this many requests if every attempt fails.
    static int64_t attemptsWhenAllFail(RetryBudgetSettings settings, int64_t requests) {
        RetryBudget budget(settings);
int64_t attempts = 0;
for (int64_t request = 0; request < requests; ++request) {
    budget.onRequest();
    ++attempts;
    for (int64_t retries = 0; budget.tryRetry(true, retries); ++retries)
        ++attempts;
}
return attempts;
}
}
;

TEST(RetryBudget, FailingUpstreamsSeeATenthMoreRequests)
{
    // Guards against a retry storm after all upstreams of a pool fail at once: with three attempts per request, recovering
    // upstreams get three times the load and fail again.
    // 10,000 first attempts, 10 retries from the initial balance and 999 added ones: the tenth of a retry that the first request
    // adds is lost, because the balance is at its cap.
    CHECK_EQUAL(11009, attemptsWhenAllFail({}, 10000));
    // With a practically unlimited budget, each request makes three attempts.
    CHECK_EQUAL(30000, attemptsWhenAllFail({ .percent = 1000000, .reserve = 1000000 }, 10000));
}

TEST(RetryBudget, ANonIdempotentRequestIsNeverRetried)
{
    RetryBudget budget({});
    CHECK_FALSE(budget.tryRetry(false, 0));
    CHECK_TRUE(budget.tryRetry(true, 0));
    CHECK_FALSE(budget.tryRetry(true, 2));
}

TEST(RetryBudget, RetriesNeverExceedTheRatioAndTheReserve)
{
    CHECK_PROPERTY([](const std::vector<bool>& fails) {
        RetryBudgetSettings settings { .percent = 20, .reserve = 3 };
        RetryBudget budget(settings);
        int64_t requests = 0;
        int64_t retries = 0;
        for (bool failing : fails) {
            ++requests;
            budget.onRequest();
            if (failing)
                retries += budget.tryRetry(true, 0) ? 1 : 0;
            RC_ASSERT(retries * 100 <= settings.reserve * 100 + requests * settings.percent);
        }
    });
}
