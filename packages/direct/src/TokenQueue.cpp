#include "toucanstep/direct/TokenQueue.h"

#include <algorithm>

namespace toucanstep::direct {

TokenQueue::Decision TokenQueue::take(AccountLimits& limits, const base::ClientAccountId& account, base::Tokens cost, base::Instant holdUntil, base::Instant now)
{
    base::Tokens ahead;
    auto line = m_lines.find(account);
    if (line == m_lines.end()) {
        if (!limits.charge(account, cost, now))
            return {};
    } else {
        for (const Held& held : line->second)
            ahead += held.cost;
    }
    base::Instant expected = limits.expected(account, ahead + cost, now);
    if (expected > holdUntil)
        return { TokenResult::Refused, expected, {} };
    m_last = QueuedCallNumber(m_last.value() + 1);
    m_lines[account].push_back({ m_last, cost, holdUntil });
    return { TokenResult::Queued, expected, m_last };
}

std::vector<TokenQueue::Due> TokenQueue::due(AccountLimits& limits, base::Instant now)
{
    std::vector<Due> list;
    for (auto& [account, line] : m_lines) {
        while (!line.empty()) {
            const Held& first = line.front();
            auto expected = limits.charge(account, first.cost, now);
            if (expected && first.until > now)
                break;
            list.push_back({ first.number, !expected, expected.value_or(now) });
            line.pop_front();
        }
    }
    std::erase_if(m_lines, [](const auto& entry) { return entry.second.empty(); });
    return list;
}

void TokenQueue::remove(QueuedCallNumber number)
{
    for (auto& [account, line] : m_lines)
        std::erase_if(line, [&](const Held& held) { return held.number == number; });
    std::erase_if(m_lines, [](const auto& entry) { return entry.second.empty(); });
}

std::optional<base::Instant> TokenQueue::next(const AccountLimits& limits, base::Instant now) const
{
    std::optional<base::Instant> soonest;
    for (const auto& [account, line] : m_lines) {
        base::Instant at = std::min(limits.expected(account, line.front().cost, now), line.front().until);
        soonest = std::min(soonest.value_or(at), at);
    }
    return soonest;
}

} // namespace toucanstep::direct
