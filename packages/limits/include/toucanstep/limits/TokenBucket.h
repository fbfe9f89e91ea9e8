// Token bucket in integer arithmetic. Balances are exact to the nanotoken, so rounding never creates or loses tokens.
//
//     TokenBucket bucket({ Tokens(100), Tokens(500) }, NanoTokens(0), now);
//     if (bucket.take(Tokens(20), now)) ...

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <optional>

namespace toucanstep::limits {

// Billionths of a token. At one token per second, one accrues per nanosecond.
using NanoTokens = base::StrongNumber<struct NanoTokensTag>;

constexpr int64_t nanoTokensPerToken = 1'000'000'000;
// Above these values a balance would overflow 64 bits; larger limits are clamped.
constexpr int64_t maximumRate = 4'000'000'000;
constexpr int64_t maximumBurst = 4'000'000'000;

constexpr NanoTokens toNanoTokens(base::Tokens tokens) { return NanoTokens(tokens.value() * nanoTokensPerToken); }
constexpr base::Tokens wholeTokens(NanoTokens balance) { return base::Tokens(balance.value() / nanoTokensPerToken); }

// Refill rate and maximum balance. Negative values count as zero.
struct BucketLimits {
    base::Tokens tokensPerSecond;
    base::Tokens burst;

    friend bool operator==(const BucketLimits&, const BucketLimits&) = default;
};

class TokenBucket {
public:
    // `balance` is clamped to the burst.
    TokenBucket(BucketLimits, NanoTokens balance, base::Instant now);

    const BucketLimits& limits() const { return m_limits; }
    // For a time before the latest update, returns the latest balance: the bucket's clock never goes backwards.
    NanoTokens balanceAt(base::Instant now) const;
    // Takes all of `amount`, or returns false and takes nothing.
    bool take(base::Tokens amount, base::Instant now);
    // Adds as much as fits below the burst and returns the amount added.
    NanoTokens add(NanoTokens amount, base::Instant now);
    // Empties the bucket and returns the previous balance.
    NanoTokens drain(base::Instant now);
    // Time up to `now` accrues at the old rate. A lower burst truncates the balance immediately.
    void setLimits(BucketLimits, base::Instant now);
    // Earliest time at which the balance reaches `amount` if nothing else is taken, or nullopt if it never does.
    std::optional<base::Instant> availableAt(base::Tokens amount, base::Instant now) const;

private:
    void advance(base::Instant now);

    BucketLimits m_limits;
    NanoTokens m_balance;
    base::Instant m_updatedAt;
};

} // namespace toucanstep::limits
