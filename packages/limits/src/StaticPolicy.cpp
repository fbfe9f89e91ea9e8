#include "toucanstep/limits/AdmissionPolicy.h"

namespace toucanstep::limits {

StaticPolicy::StaticPolicy(int gatewayIndex, int gatewayCount)
    : m_gatewayIndex(gatewayIndex)
    , m_gatewayCount(gatewayCount)
{
}

void StaticPolicy::setLimits(const base::ClientAccountId& account, BucketLimits total, base::Instant now)
{
    BucketLimits slice = splitLimits(total, m_gatewayCount)[m_gatewayIndex];
    auto [bucket, isNew] = m_buckets.try_emplace(account, slice, now);
    if (!isNew)
        bucket->second.setLimits(slice, now);
}

PolicyDecision StaticPolicy::admit(const AccountCharge& charge, base::Instant now)
{
    auto found = m_buckets.find(charge.account);
    if (found == m_buckets.end())
        return {};
    ShareHolder& bucket = found->second;
    if (charge.cost > bucket.bucket().limits().burst)
        return { .code = base::RefusalCode::CostAboveBurst };
    ChargeId chargeId(charge.request.value());
    bool charged = charge.cost <= base::Tokens(0) || bucket.charge(chargeId, charge.cost, charge.cost, now) == charge.cost;
    if (!charged)
        return { .retryAt = bucket.bucket().availableAt(charge.cost, now) };
    m_admitted[charge.request] = charge.account;
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
