#include "toucanstep/limits/AdmissionPolicy.h"

namespace toucanstep::limits {

StaticPolicy::StaticPolicy(int gatewayIndex, int gatewayCount)
    : m_gatewayIndex(gatewayIndex)
    , m_gatewayCount(gatewayCount)
{
}

void StaticPolicy::setLimits(const base::ClientAccountId& account, BucketLimits whole, base::Instant now)
{
    BucketLimits slice = splitLimits(whole, m_gatewayCount)[m_gatewayIndex];
    auto [bucket, isNew] = m_buckets.try_emplace(account, slice, now);
    if (!isNew)
        bucket->second.setLimits(slice, now);
}

PolicyDecision StaticPolicy::admit(const AccountCharge& order, base::Instant now)
{
    auto found = m_buckets.find(order.account);
    if (found == m_buckets.end())
        return {};
    ShareHolder& bucket = found->second;
    if (order.cost > bucket.bucket().limits().burst)
        return { .code = base::RefusalCode::CostAboveBurst };
    ChargeId charge(order.request.value());
    bool charged = order.cost <= base::Tokens(0) || bucket.charge(charge, order.cost, order.cost, now) == order.cost;
    if (!charged)
        return { .retryAt = bucket.bucket().availableAt(order.cost, now) };
    m_admitted[order.request] = order.account;
    return { .admitted = true };
}

void StaticPolicy::settle(const base::RequestId& request, base::Tokens unused, base::Instant now)
{
    auto found = m_admitted.find(request);
    if (found == m_admitted.end())
        return;
    m_buckets.at(found->second).refund(ChargeId(request.value()), unused, now);
    m_admitted.erase(found);
}

} // namespace toucanstep::limits
