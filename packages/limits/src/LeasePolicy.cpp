#include "toucanstep/limits/AdmissionPolicy.h"

#include <algorithm>

namespace toucanstep::limits {

LeasePolicy::LeasePolicy(LeaseAuthority& authority, int64_t blocksPerBurst)
    : m_authority(authority)
    , m_blocksPerBurst(std::max<int64_t>(blocksPerBurst, 1))
{
}

void LeasePolicy::setLimits(const base::ClientAccountId& account, BucketLimits whole, base::Instant)
{
    m_leased[account].whole = whole;
}

PolicyDecision LeasePolicy::admit(const AccountCharge& order, base::Instant now)
{
    auto found = m_leased.find(order.account);
    if (found == m_leased.end())
        return {};
    Leased& leased = found->second;
    if (order.cost > leased.whole.burst)
        return { .code = base::RefusalCode::CostAboveBurst };
    if (now >= leased.expiresAt)
        leased.amount = base::Tokens(0);
    if (leased.amount < order.cost) {
        base::Tokens block(leased.whole.burst.value() / m_blocksPerBurst);
        base::Tokens wanted = std::max(block, order.cost - leased.amount);
        if (auto grant = m_authority.acquire(order.account, wanted, now)) {
            // What is left of the older block keeps its own, earlier end.
            leased.expiresAt = leased.amount > base::Tokens(0) ? std::min(leased.expiresAt, grant->expiresAt) : grant->expiresAt;
            leased.amount += grant->amount;
        }
    }
    if (leased.amount < order.cost)
        return { .retryAt = m_authority.availableAt(order.account, order.cost - leased.amount, now) };
    leased.amount -= order.cost;
    m_admitted[order.request] = order.account;
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
