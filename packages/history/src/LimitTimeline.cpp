#include "LimitTimeline.h"

#include "toucanstep/history/Checkers.h"

#include <algorithm>
#include <optional>

namespace toucanstep::history::internal {

LimitTimeline::LimitTimeline(const History& history, const base::ClientAccountId& account)
{
    // A process that has ended no longer lets anybody in, so its limits count up to its last event only.
    std::map<base::InstanceId, base::Instant> lastSeen;
    for (const auto& event : history.events())
        lastSeen[event.recorder] = event.at;
    std::map<base::Instant, std::vector<std::pair<base::InstanceId, std::optional<Step>>>> changes;
    for (const auto& event : history.events()) {
        if (event.kind != base::HistoryKind::LimitInForce || event.account != account)
            continue;
        changes[event.at].push_back({ event.recorder, Step { event.at, event.tokens.value(), event.burst.value() } });
        changes[lastSeen[event.recorder] + base::Duration(1)].push_back({ event.recorder, std::nullopt });
    }
    std::map<base::InstanceId, Step> inForce;
    for (const auto& [at, ofThisTime] : changes) {
        for (const auto& [recorder, step] : ofThisTime) {
            if (step)
                inForce[recorder] = *step;
            else
                inForce.erase(recorder);
        }
        if (inForce.empty())
            continue;
        Step widest { at };
        for (const auto& [recorder, step] : inForce) {
            widest.rate = std::max(widest.rate, step.rate);
            widest.burst = std::max(widest.burst, step.burst);
        }
        m_steps.push_back(widest);
    }
}

__int128 LimitTimeline::accruedUntil(base::Instant at) const
{
    if (m_steps.empty())
        return 0;
    if (at < m_steps.front().from)
        return -static_cast<__int128>((m_steps.front().from - at).count()) * m_steps.front().rate;
    __int128 sum = 0;
    for (size_t index = 0; index < m_steps.size() && m_steps[index].from < at; ++index) {
        base::Instant until = index + 1 < m_steps.size() ? std::min(at, m_steps[index + 1].from) : at;
        sum += static_cast<__int128>((until - m_steps[index].from).count()) * m_steps[index].rate;
    }
    return sum;
}

int64_t LimitTimeline::largestBurst(base::Instant from, base::Instant to) const
{
    int64_t largest = 0;
    for (size_t index = 0; index < m_steps.size(); ++index) {
        bool startsBefore = m_steps[index].from <= to || index == 0;
        bool endsAfter = index + 1 == m_steps.size() || m_steps[index + 1].from > from;
        if (startsBefore && endsAfter)
            largest = std::max(largest, m_steps[index].burst);
    }
    return largest;
}

std::set<int64_t> LimitTimeline::bursts() const
{
    std::set<int64_t> bursts;
    for (const Step& step : m_steps)
        bursts.insert(step.burst);
    return bursts;
}

} // namespace toucanstep::history::internal
