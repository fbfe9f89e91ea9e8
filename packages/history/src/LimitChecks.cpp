#include "Checks.h"
#include "LimitTimeline.h"

#include "toucanstep/base/Text.h"

namespace toucanstep::history::internal {

namespace {

using base::HistoryKind;

constexpr __int128 nanosPerToken = 1'000'000'000;

struct Use {
    base::HistoryEvent admitted;
    int64_t netTokens = 0;
};

// What each account's requests used: what was charged less what came back, at the time of admission.
std::map<base::ClientAccountId, std::vector<Use>> usesByAccount(const History& history)
{
    std::map<base::RequestId, int64_t> refunds;
    for (const auto& event : history.events()) {
        if (event.kind == HistoryKind::Refunded)
            refunds[event.request] += event.tokens.value();
    }
    std::map<base::ClientAccountId, std::vector<Use>> uses;
    for (const auto& event : history.events()) {
        if (event.kind == HistoryKind::Admitted)
            uses[event.account].push_back({ event, event.tokens.value() - refunds[event.request] });
    }
    return uses;
}

// Finds windows with more than their allowance in one pass, for windows in which the burst was at most `burst`: of all
// starts only the one that leaves the least allowance matters.
class WindowScan {
public:
    WindowScan(const std::vector<Use>& uses, const LimitTimeline& limits, int64_t burst, base::Duration delay)
        : m_uses(uses)
        , m_limits(limits)
        , m_burst(burst)
        , m_delay(delay)
    {
    }

    std::optional<Break> run()
    {
        for (size_t index = 0; index < m_uses.size(); ++index) {
            base::Instant at = m_uses[index].admitted.at;
            base::Instant previous = index ? m_uses[index - 1].admitted.at : at;
            if (m_limits.largestBurst(previous, at) > m_burst)
                m_start.reset();
            considerStart(index, at);
            m_used += m_uses[index].netTokens * nanosPerToken;
            if (m_start && m_used - m_usedBefore - (m_limits.accruedUntil(at) - m_accruedBefore) > m_burst * nanosPerToken)
                return describe(index);
        }
        return std::nullopt;
    }

private:
    void considerStart(size_t index, base::Instant at)
    {
        if (m_limits.largestBurst(at - m_delay, at) > m_burst)
            return;
        __int128 accrued = m_limits.accruedUntil(at - m_delay);
        if (m_start && accrued - m_used <= m_accruedBefore - m_usedBefore)
            return;
        m_start = index;
        m_accruedBefore = accrued;
        m_usedBefore = m_used;
    }

    Break describe(size_t last) const
    {
        auto used = static_cast<int64_t>((m_used - m_usedBefore) / nanosPerToken);
        auto accrued = static_cast<int64_t>((m_limits.accruedUntil(m_uses[last].admitted.at) - m_accruedBefore) / nanosPerToken);
        Break found;
        found.message = base::concat("account ", m_uses[last].admitted.account, " used ", used, " tokens where burst ", m_burst, " and ", accrued, " accrued tokens were allowed");
        for (size_t index = *m_start; index <= last; ++index)
            found.events.push_back(m_uses[index].admitted);
        return found;
    }

    const std::vector<Use>& m_uses;
    const LimitTimeline& m_limits;
    int64_t m_burst;
    base::Duration m_delay;
    std::optional<size_t> m_start;
    __int128 m_used = 0;
    __int128 m_usedBefore = 0;
    __int128 m_accruedBefore = 0;
};

} // namespace

std::vector<Break> checkLimitWindows(const History& history, const CheckOptions& options)
{
    std::vector<Break> breaks;
    for (const auto& [account, uses] : usesByAccount(history)) {
        LimitTimeline limits(history, account);
        if (limits.empty()) {
            breaks.push_back({ .message = base::concat("account ", account, " was let in with no limit in force"), .events = { uses.front().admitted } });
            continue;
        }
        for (int64_t burst : limits.bursts()) {
            if (auto found = WindowScan(uses, limits, burst, options.admissionDelay).run()) {
                breaks.push_back(std::move(*found));
                break;
            }
        }
    }
    return breaks;
}

} // namespace toucanstep::history::internal
