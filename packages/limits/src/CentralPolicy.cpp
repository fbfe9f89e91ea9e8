#include "toucanstep/limits/AdmissionPolicy.h"

namespace toucanstep::limits {

CentralPolicy::CentralPolicy(CounterStore& store, int attempts)
    : m_store(store)
    , m_attempts(attempts)
{
}

void CentralPolicy::setLimits(const base::ClientAccountId& account, BucketLimits whole, base::Instant)
{
    m_limits[account] = whole;
}

PolicyDecision CentralPolicy::admit(const AccountCharge& order, base::Instant now)
{
    auto limits = m_limits.find(order.account);
    if (limits == m_limits.end())
        return {};
    if (order.cost > limits->second.burst)
        return { .code = base::RefusalCode::CostAboveBurst };
    for (int attempt = 0; attempt < m_attempts; ++attempt) {
        std::optional<CounterStore::Value> value = m_store.read(order.account);
        if (!value)
            return { .code = base::RefusalCode::StoreUnavailable };
        TokenBucket bucket(limits->second, value->balance, value->updatedAt);
        if (!bucket.take(order.cost, now))
            return { .retryAt = bucket.availableAt(order.cost, now) };
        base::Instant updatedAt = std::max(now, value->updatedAt);
        auto written = m_store.compareAndSwap(order.account, { value->revision, bucket.balanceAt(updatedAt), updatedAt });
        // A write whose answer was lost may have taken the tokens; they count as spent.
        if (!written)
            return { .code = base::RefusalCode::StoreUnavailable };
        if (*written) {
            m_admitted[order.request] = order.account;
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
        // A lost answer is not tried again: the tokens might be added twice.
        if (m_store.compareAndSwap(account, { value->revision, bucket.balanceAt(updatedAt), updatedAt }).value_or(true))
            return;
    }
}

} // namespace toucanstep::limits
