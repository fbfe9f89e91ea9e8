#include "StaticLimitGate.h"

#include "toucanstep/node/Keys.h"

#include <algorithm>

namespace toucanstep::gateway::internal {

base::Refusal limitRefusal(base::RefusalCode code, std::optional<base::Instant> retryAt)
{
    base::Refusal refusal { code, base::RanState::NotRun, {}, retryAt };
    refusal.message = code == base::RefusalCode::CostAboveBurst
        ? "the request costs more tokens than the account's whole burst; ask for fewer"
        : "the account's rate is used up";
    return refusal;
}

StaticLimitGate::StaticLimitGate(node::Node& node)
    : m_node(node)
{
}

void StaticLimitGate::rebuild(base::Instant now)
{
    auto instances = m_node.instances();
    auto gateways = instances->inList(node::gatewayListName);
    int count = std::max<int>(1, static_cast<int>(gateways.size()));
    if (m_policy && count == m_count)
        return;
    m_count = count;
    constexpr int index = 0;
    m_policy = std::make_unique<limits::StaticPolicy>(index, count);
    for (const config::ClientAccount& account : m_node.configuration()->accounts)
        m_policy->setLimits(account.id, { account.tokensPerSecond, account.burst }, now);
}

void StaticLimitGate::onConfiguration(const config::Configuration& configuration, base::Instant now)
{
    rebuild(now);
    for (const config::ClientAccount& account : configuration.accounts)
        m_policy->setLimits(account.id, { account.tokensPerSecond, account.burst }, now);
}

void StaticLimitGate::charge(const limits::AccountCharge& order, Callback callback)
{
    base::Instant now = m_node.traffic().now();
    rebuild(now);
    limits::PolicyDecision decision = m_policy->admit(order, now);
    if (decision.admitted)
        callback(std::nullopt);
    else
        callback(limitRefusal(decision.code, decision.retryAt));
}

void StaticLimitGate::settle(const base::RequestId& request, base::Tokens unused)
{
    m_policy->settle(request, unused, m_node.traffic().now());
}

} // namespace toucanstep::gateway::internal
