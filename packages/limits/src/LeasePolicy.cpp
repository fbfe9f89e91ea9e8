#include "toucanstep/limits/AdmissionPolicy.h"

#include <algorithm>

namespace toucanstep::limits {

LeasePolicy::LeasePolicy(LeaseAuthority& authority, int64_t blocksPerBurst)
    : m_authority(authority)
    , m_blocksPerBurst(std::max<int64_t>(blocksPerBurst, 1))
{
}

void LeasePolicy::setLimits(const base::ClientAccountId& account, BucketLimits total, base::Instant)
{
    m_leased[account].total = total;
}

PolicyDecision LeasePolicy::admit(const AccountCharge& charge, base::Instant now)
{
    auto found = m_leased.find(charge.account);
    if (found == m_leased.end())
        return {};
    Leased& leased = found->second;
    if (charge.cost > leased.total.burst)
        return { .code = base::RefusalCode::CostAboveBurst };
    if (now >= leased.expiresAt)
        leased.amount = base::Tokens(0);
    if (leased.amount < charge.cost) {
        base::Tokens block(leased.total.burst.value() / m_blocksPerBurst);
        base::Tokens wanted = std::max(block, charge.cost - leased.amount);
        if (auto grant = m_authority.acquire(charge.account, wanted, now)) {
            // Leftover tokens must not outlive their own lease, so the combined amount takes the earlier expiry.
            leased.expiresAt = leased.amount > base::Tokens(0) ? std::min(leased.expiresAt, grant->expiresAt) : grant->expiresAt;
            leased.amount += grant->amount;
        }
    }
    if (leased.amount < charge.cost)
        return { .retryAt = m_authority.availableAt(charge.account, charge.cost - leased.amount, now) };
    leased.amount -= charge.cost;
    m_admitted[charge.request] = charge.account;
    return { .admitted = true };
}

void LeasePolicy::settle(const base::RequestId& request, base::Tokens unused, base::Instant now)
{
    auto found = m_admitted.find(request);
    if (found == m_admitted.end())
        return;
    Leased& leased = m_leased.at(found->second);
    if (now < leased.expiresAt)
        leased.amount += unused;
    m_admitted.erase(found);
}

} // namespace toucanstep::limits
