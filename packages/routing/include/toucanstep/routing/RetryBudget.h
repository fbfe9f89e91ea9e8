// Bounds the retries of idempotent requests to a share of the requests, so that failing upstreams see no storm.
//
// Each request earns a part of a retry; a retry spends a whole one. What is earned is capped by `reserve`.

#pragma once

#include <cstdint>

namespace toucanstep::routing {

struct RetryBudgetSettings {
    // Retries earned by a hundred requests.
    int64_t percent = 10;
    // Retries that may be saved up, and that are there at the start.
    int64_t reserve = 10;
    // Attempts of one request after its first.
    int64_t perRequest = 2;
};

class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetSettings);
    void onRequest();
    // `retriesSoFar` counts those of this request. A request that is not idempotent is never retried.
    bool tryRetry(bool idempotent, int64_t retriesSoFar);

private:
    RetryBudgetSettings m_settings;
    // In hundredths of a retry.
    int64_t m_saved;
};

} // namespace toucanstep::routing
