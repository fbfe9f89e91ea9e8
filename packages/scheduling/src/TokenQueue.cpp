#include "toucanstep/scheduling/TokenQueue.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::scheduling {

namespace {

// Time constant of what the priorities ask for: longer than the gaps between single calls, shorter than a latency target.
constexpr double askedTimeConstant = 1;
// The least part of an account's tokens for a priority, whatever more urgent calls ask for.
constexpr double leastPart = 0.1;
// Credit for a longer time would let calls that can wait spend in a surge.
constexpr double maxCreditSeconds = 0.5;
// Uses without calls for this long no longer count.
constexpr auto useLifetime = std::chrono::seconds(10);

base::Duration secondsFor(double tokens, double rate)
{
    constexpr double longest = 3600;
    double seconds = std::min(std::max(tokens, 0.0) / std::max(rate, 1e-3), longest);
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

double TokenQueue::askedRateAt(const PriorityUse& use, base::Instant now)
{
    return use.askedRate * std::exp(-base::toSeconds(now - use.askedAsOf) / askedTimeConstant);
}

void TokenQueue::recordAsked(const TokenRequest& request, base::Instant now)
{
    PriorityUse& use = m_uses[request.account][request.priority.value_or(0)];
    use.askedRate = askedRateAt(use, now) + static_cast<double>(request.cost.value()) / askedTimeConstant;
    use.askedAsOf = now;
}

double TokenQueue::rateOf(const AccountLimits& limits, const base::ClientAccountId& account, int64_t priority, base::Instant now) const
{
    double own = limits.ownRate(account, now);
    double moreUrgent = 0;
    auto uses = m_uses.find(account);
    if (uses != m_uses.end()) {
        for (const auto& [other, use] : uses->second)
            moreUrgent += other < priority ? askedRateAt(use, now) : 0;
    }
    return std::max(own - moreUrgent, own * leastPart);
}

TokenQueue::PriorityUse& TokenQueue::accrue(const AccountLimits& limits, const base::ClientAccountId& account, int64_t priority, base::Tokens cost, base::Instant now)
{
    PriorityUse& use = m_uses[account][priority];
    auto needed = static_cast<double>(cost.value());
    double elapsed = std::min(base::toSeconds(now - use.creditAsOf), maxCreditSeconds);
    double rate = rateOf(limits, account, priority, now);
    use.credit = std::min(use.credit + rate * elapsed, std::max(needed, rate * maxCreditSeconds));
    double leastRate = limits.ownRate(account, now) * leastPart;
    use.leastCredit = std::min(use.leastCredit + leastRate * elapsed, std::max(needed, leastRate * maxCreditSeconds));
    use.creditAsOf = now;
    return use;
}

TokenQueue::Queue::iterator TokenQueue::nextCall(const AccountLimits& limits, const base::ClientAccountId& account, Queue& queue, base::Instant now)
{
    auto first = queue.begin();
    if (!limits.isShort(account, now))
        return first;
    // Of the less urgent priorities, the most urgent one whose part covers its first call.
    for (auto call = queue.lower_bound({ first->first.priority + 1, {}, {} }); call != queue.end(); call = queue.lower_bound({ call->first.priority + 1, {}, {} })) {
        if (accrue(limits, account, call->first.priority, call->second.cost, now).leastCredit >= static_cast<double>(call->second.cost.value()))
            return call;
    }
    return first;
}

bool TokenQueue::charge(AccountLimits& limits, const base::ClientAccountId& account, int64_t priority, base::Tokens cost, base::Instant now)
{
    Uses& uses = m_uses[account];
    bool anyMoreUrgent = !uses.empty() && uses.begin()->first < priority;
    if (!anyMoreUrgent || !limits.isShort(account, now))
        return !limits.charge(account, cost, now);
    auto needed = static_cast<double>(cost.value());
    PriorityUse& use = accrue(limits, account, priority, cost, now);
    if (std::max(use.credit, use.leastCredit) < needed || limits.charge(account, cost, now))
        return false;
    use.credit = std::max(use.credit - needed, 0.0);
    use.leastCredit = std::max(use.leastCredit - needed, 0.0);
    return true;
}

TokenQueue::Expectation TokenQueue::expectation(const AccountLimits& limits, const base::ClientAccountId& account, const Position& position, base::Tokens cost, base::Instant now) const
{
    base::Tokens ahead;
    base::Tokens aheadEqual;
    auto queue = m_queues.find(account);
    if (queue != m_queues.end()) {
        for (auto call = queue->second.begin(); call != queue->second.end() && call->first < position; ++call) {
            ahead += call->second.cost;
            aheadEqual += call->first.priority == position.priority ? call->second.cost : base::Tokens();
        }
    }
    Expectation expected { limits.expected(account, ahead + cost, now), false };
    auto uses = m_uses.find(account);
    bool anyMoreUrgent = uses != m_uses.end() && !uses->second.empty() && uses->second.begin()->first < position.priority;
    if (!anyMoreUrgent || !limits.isShort(account, now))
        return expected;
    auto use = uses->second.find(position.priority);
    double credit = use == uses->second.end() ? 0 : use->second.credit;
    base::Instant byCredit = now + secondsFor(static_cast<double>((aheadEqual + cost).value()) - credit, rateOf(limits, account, position.priority, now));
    if (byCredit > expected.at)
        expected = { byCredit, true };
    return expected;
}

TokenQueue::Decision TokenQueue::chargeOrQueue(AccountLimits& limits, const TokenRequest& request, base::Instant now)
{
    recordAsked(request, now);
    m_lastNumber = QueuedCallNumber(m_lastNumber.value() + 1);
    int64_t priority = request.priority.value_or(0);
    Position position { priority, request.priority ? request.maxWaitUntil : base::Instant(), m_lastNumber };
    auto queue = m_queues.find(request.account);
    bool isFirst = queue == m_queues.end() || position < nextCall(limits, request.account, queue->second, now)->first;
    if (isFirst && charge(limits, request.account, priority, request.cost, now))
        return {};
    Expectation expected = expectation(limits, request.account, position, request.cost, now);
    if (expected.at > request.maxWaitUntil)
        return { TokenResult::Refused, expected.at, {}, expected.leftToUrgent };
    m_queues[request.account].emplace(position, QueuedCall { request.cost, request.maxWaitUntil });
    return { TokenResult::Queued, expected.at, m_lastNumber, expected.leftToUrgent };
}

TokenQueue::Due TokenQueue::refusalOf(const AccountLimits& limits, const base::ClientAccountId& account, const Queue::value_type& call, base::Instant now) const
{
    Expectation expected = expectation(limits, account, call.first, call.second.cost, now);
    return { call.first.number, false, expected.at, expected.leftToUrgent };
}

std::vector<TokenQueue::Due> TokenQueue::takeDue(AccountLimits& limits, base::Instant now)
{
    std::vector<Due> list;
    for (auto& [account, queue] : m_queues) {
        while (!queue.empty()) {
            auto first = nextCall(limits, account, queue, now);
            if (charge(limits, account, first->first.priority, first->second.cost, now))
                list.push_back({ first->first.number, true, now, false });
            else if (first->second.waitUntil <= now)
                list.push_back(refusalOf(limits, account, *first, now));
            else
                break;
            queue.erase(first);
        }
        for (auto call = queue.begin(); call != queue.end();) {
            bool expired = call->second.waitUntil <= now;
            if (expired)
                list.push_back(refusalOf(limits, account, *call, now));
            call = expired ? queue.erase(call) : std::next(call);
        }
    }
    std::erase_if(m_queues, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(m_uses, [&](const auto& entry) { return mayForget(entry.first, entry.second, now); });
    return list;
}

bool TokenQueue::mayForget(const base::ClientAccountId& account, const Uses& uses, base::Instant now) const
{
    return !m_queues.contains(account) && std::all_of(uses.begin(), uses.end(), [&](const auto& use) { return now - use.second.askedAsOf > useLifetime; });
}

void TokenQueue::remove(QueuedCallNumber number)
{
    for (auto& [account, queue] : m_queues)
        std::erase_if(queue, [&](const auto& call) { return call.first.number == number; });
    std::erase_if(m_queues, [](const auto& entry) { return entry.second.empty(); });
}

std::optional<base::Instant> TokenQueue::nextDue(const AccountLimits& limits, base::Instant now) const
{
    std::optional<base::Instant> earliest;
    for (const auto& [account, queue] : m_queues) {
        const auto& [position, first] = *queue.begin();
        base::Instant at = expectation(limits, account, position, first.cost, now).at;
        for (const auto& [place, call] : queue)
            at = std::min(at, call.waitUntil);
        earliest = std::min(earliest.value_or(at), at);
    }
    return earliest;
}

} // namespace toucanstep::scheduling
