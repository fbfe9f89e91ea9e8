#include "toucanstep/limits/AdmissionPolicy.h"

namespace toucanstep::limits {

CentralPolicy::CentralPolicy(CounterStore& store, int attempts)
    : m_store(store)
    , m_attempts(attempts)
{
}

void CentralPolicy::setLimits(const base::ClientAccountId& account, BucketLimits total, base::Instant)
{
    m_limits[account] = total;
}

PolicyDecision CentralPolicy::admit(const AccountCharge& charge, base::Instant now)
{
    auto limits = m_limits.find(charge.account);
    if (limits == m_limits.end())
        return {};
    if (charge.cost > limits->second.burst)
        return { .code = base::RefusalCode::CostAboveBurst };
    for (int attempt = 0; attempt < m_attempts; ++attempt) {
        std::optional<CounterStore::Value> value = m_store.read(charge.account);
        if (!value)
            return { .code = base::RefusalCode::StoreUnavailable };
        TokenBucket bucket(limits->second, value->balance, value->updatedAt);
        if (!bucket.take(charge.cost, now))
            return { .retryAt = bucket.availableAt(charge.cost, now) };
        base::Instant updatedAt = std::max(now, value->updatedAt);
        auto written = m_store.compareAndSwap(charge.account, { value->revision, bucket.balanceAt(updatedAt), updatedAt });
        // A write whose reply was lost may have taken effect, so the tokens count as spent.
        if (!written)
            return { .code = base::RefusalCode::StoreUnavailable };
        if (*written) {
            m_admitted[charge.request] = charge.account;
            return { .admitted = true };
        }
    }
    return { .code = base::RefusalCode::RateLimited, .retryAt = now };
}

void CentralPolicy::settle(const base::RequestId& request, base::Tokens unused, base::Instant now)
{
    auto found = m_admitted.find(request);
    if (found == m_admitted.end())
        return;
    base::ClientAccountId account = found->second;
    m_admitted.erase(found);
    for (int attempt = 0; attempt < m_attempts; ++attempt) {
        std::optional<CounterStore::Value> value = m_store.read(account);
        if (!value)
            return;
        TokenBucket bucket(m_limits.at(account), value->balance, value->updatedAt);
        bucket.add(toNanoTokens(unused), now);
        base::Instant updatedAt = std::max(now, value->updatedAt);
        // A write whose reply was lost is not retried, because the tokens could be added twice.
        if (m_store.compareAndSwap(account, { value->revision, bucket.balanceAt(updatedAt), updatedAt }).value_or(true))
            return;
    }
}

} // namespace toucanstep::limits
