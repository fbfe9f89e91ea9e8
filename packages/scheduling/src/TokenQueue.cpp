#include "toucanstep/scheduling/TokenQueue.h"

#include <algorithm>

namespace toucanstep::scheduling {

TokenQueue::Decision TokenQueue::chargeOrQueue(AccountLimits& limits, const base::ClientAccountId& account, base::Tokens cost, base::Instant maxWaitUntil, base::Instant now)
{
    base::Tokens ahead;
    auto queue = m_queues.find(account);
    if (queue == m_queues.end()) {
        if (!limits.charge(account, cost, now))
            return {};
    } else {
        for (const QueuedCall& call : queue->second)
            ahead += call.cost;
    }
    base::Instant expected = limits.expected(account, ahead + cost, now);
    if (expected > maxWaitUntil)
        return { TokenResult::Refused, expected, {} };
    m_lastNumber = QueuedCallNumber(m_lastNumber.value() + 1);
    m_queues[account].push_back({ m_lastNumber, cost, maxWaitUntil });
    return { TokenResult::Queued, expected, m_lastNumber };
}

std::vector<TokenQueue::Due> TokenQueue::takeDue(AccountLimits& limits, base::Instant now)
{
    std::vector<Due> list;
    for (auto& [account, queue] : m_queues) {
        while (!queue.empty()) {
            const QueuedCall& first = queue.front();
            auto expected = limits.charge(account, first.cost, now);
            if (expected && first.waitUntil > now)
                break;
            list.push_back({ first.number, !expected, expected.value_or(now) });
            queue.pop_front();
        }
    }
    std::erase_if(m_queues, [](const auto& entry) { return entry.second.empty(); });
    return list;
}

void TokenQueue::remove(QueuedCallNumber number)
{
    for (auto& [account, queue] : m_queues)
        std::erase_if(queue, [&](const QueuedCall& call) { return call.number == number; });
    std::erase_if(m_queues, [](const auto& entry) { return entry.second.empty(); });
}

std::optional<base::Instant> TokenQueue::nextDue(const AccountLimits& limits, base::Instant now) const
{
    std::optional<base::Instant> earliest;
    for (const auto& [account, queue] : m_queues) {
        base::Instant at = std::min(limits.expected(account, queue.front().cost, now), queue.front().waitUntil);
        earliest = std::min(earliest.value_or(at), at);
    }
    return earliest;
}

} // namespace toucanstep::scheduling
