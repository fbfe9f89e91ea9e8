#include "toucanstep/limits/TokenBucket.h"

#include <algorithm>

namespace toucanstep::limits {

namespace {

BucketLimits withinBounds(BucketLimits limits)
{
    int64_t rate = std::clamp<int64_t>(limits.tokensPerSecond.value(), 0, maximumRate);
    int64_t burst = std::clamp<int64_t>(limits.burst.value(), 0, maximumBurst);
    return { base::Tokens(rate), base::Tokens(burst) };
}

} // namespace

TokenBucket::TokenBucket(BucketLimits limits, NanoTokens balance, base::Instant now)
    : m_limits(withinBounds(limits))
    , m_balance(std::clamp(balance, NanoTokens(0), toNanoTokens(m_limits.burst)))
    , m_updatedAt(now)
{
}

NanoTokens TokenBucket::balanceAt(base::Instant now) const
{
    int64_t rate = m_limits.tokensPerSecond.value();
    if (now <= m_updatedAt || !rate)
        return m_balance;
    int64_t headroom = toNanoTokens(m_limits.burst).value() - m_balance.value();
    int64_t elapsed = (now - m_updatedAt).count();
    // Compare by division, because elapsed * rate may overflow 64 bits.
    if (elapsed > headroom / rate)
        return toNanoTokens(m_limits.burst);
    return m_balance + NanoTokens(elapsed * rate);
}

void TokenBucket::advance(base::Instant now)
{
    m_balance = balanceAt(now);
    m_updatedAt = std::max(m_updatedAt, now);
}

bool TokenBucket::take(base::Tokens amount, base::Instant now)
{
    if (amount < base::Tokens(0) || amount > m_limits.burst)
        return false;
    advance(now);
    if (m_balance < toNanoTokens(amount))
        return false;
    m_balance -= toNanoTokens(amount);
    return true;
}

NanoTokens TokenBucket::add(NanoTokens amount, base::Instant now)
{
    advance(now);
    NanoTokens headroom = toNanoTokens(m_limits.burst) - m_balance;
    NanoTokens added = std::clamp(amount, NanoTokens(0), headroom);
    m_balance += added;
    return added;
}

NanoTokens TokenBucket::drain(base::Instant now)
{
    advance(now);
    NanoTokens drained = m_balance;
    m_balance = NanoTokens(0);
    return drained;
}

void TokenBucket::setLimits(BucketLimits limits, base::Instant now)
{
    advance(now);
    m_limits = withinBounds(limits);
    m_balance = std::min(m_balance, toNanoTokens(m_limits.burst));
}

std::optional<base::Instant> TokenBucket::availableAt(base::Tokens amount, base::Instant now) const
{
    NanoTokens balance = balanceAt(now);
    if (amount <= wholeTokens(balance))
        return now;
    int64_t rate = m_limits.tokensPerSecond.value();
    if (amount > m_limits.burst || !rate)
        return std::nullopt;
    int64_t lacking = toNanoTokens(amount).value() - balance.value();
    int64_t wait = lacking / rate + (lacking % rate ? 1 : 0);
    return std::max(now, m_updatedAt) + base::Duration(wait);
}

} // namespace toucanstep::limits
