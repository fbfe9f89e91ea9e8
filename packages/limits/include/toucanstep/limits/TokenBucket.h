// A token bucket in integers: exact in tokens times nanoseconds, so no rounding ever gives or takes a token.
//
//     TokenBucket bucket({ Tokens(100), Tokens(500) }, NanoTokens(0), now);
//     if (bucket.take(Tokens(20), now)) ...

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <optional>

namespace toucanstep::limits {

// Tokens times 10^9: the balance after one nanosecond at one token a second is 1.
using NanoTokens = base::StrongNumber<struct NanoTokensTag>;

constexpr int64_t nanoTokensPerToken = 1'000'000'000;
// Above these a balance would not fit into 64 bits; larger limits are cut to them.
constexpr int64_t maximumRate = 4'000'000'000;
constexpr int64_t maximumBurst = 4'000'000'000;

constexpr NanoTokens toNanoTokens(base::Tokens tokens) { return NanoTokens(tokens.value() * nanoTokensPerToken); }
constexpr base::Tokens wholeTokens(NanoTokens balance) { return base::Tokens(balance.value() / nanoTokensPerToken); }

// A rate in tokens a second and the most that may be in balance. Negative values count as zero.
struct BucketLimits {
    base::Tokens tokensPerSecond;
    base::Tokens burst;

    friend bool operator==(const BucketLimits&, const BucketLimits&) = default;
};

class TokenBucket {
public:
    // `balance` is cut to the burst.
    TokenBucket(BucketLimits, NanoTokens balance, base::Instant now);

    const BucketLimits& limits() const { return m_limits; }
    // A time before the latest one seen gives the latest balance: a bucket never runs backwards.
    NanoTokens balanceAt(base::Instant now) const;
    // Takes all of `amount`, or nothing and returns false.
    bool take(base::Tokens amount, base::Instant now);
    // Adds as much as fits below the burst, and returns what was added.
    NanoTokens add(NanoTokens amount, base::Instant now);
    // Empties the bucket and returns what was in it.
    NanoTokens drain(base::Instant now);
    // Time up to `now` accrues at the old rate; a lower burst cuts the balance at once.
    void setLimits(BucketLimits, base::Instant now);
    // The first instant at which `amount` is in balance if nothing else is taken; nothing where that never comes.
    std::optional<base::Instant> availableAt(base::Tokens amount, base::Instant now) const;

private:
    void advance(base::Instant now);

    BucketLimits m_limits;
    NanoTokens m_stock;
    base::Instant m_updatedAt;
};

} // namespace toucanstep::limits
