// Limits the retries of idempotent requests to a percentage of the requests, so that failing upstreams do not get a retry
// storm.
//
// Works like a token bucket: each request adds a fraction of a retry, each retry takes a whole one, and the balance is capped
// at `reserve`.

#pragma once

#include <cstdint>

namespace toucanstep::routing {

struct RetryBudgetSettings {
    // Retries allowed per hundred requests.
    int64_t percent = 10;
    // Maximum balance, which is also the initial one, in retries.
    int64_t reserve = 10;
    // Maximum attempts of one request after its first.
    int64_t perRequest = 2;
};

class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetSettings);
    void onRequest();
    // `retriesSoFar` counts the retries of this request. A request that is not idempotent is never retried.
    bool tryRetry(bool idempotent, int64_t retriesSoFar);

private:
    RetryBudgetSettings m_settings;
    // In hundredths of a retry.
    int64_t m_balance;
};

} // namespace toucanstep::routing
