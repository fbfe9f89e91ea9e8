#include "Checks.h"

#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::history {

void History::add(base::HistoryEvent event)
{
    m_sorted = m_sorted && (m_events.empty() || m_events.back().at <= event.at);
    m_events.push_back(std::move(event));
}

void History::addLines(std::string_view text)
{
    while (!text.empty()) {
        size_t end = text.find('\n');
        bool isCutOff = end == std::string_view::npos;
        std::string_view line = text.substr(0, end);
        text.remove_prefix(isCutOff ? text.size() : end + 1);
        base::Error error;
        auto event = base::valueOr(error, [&] { return base::decodeHistoryEvent(line); });
        if (event)
            add(std::move(*event));
        else if (!isCutOff)
            ++m_malformed;
    }
}

const std::vector<base::HistoryEvent>& History::events() const
{
    if (!m_sorted) {
        std::stable_sort(m_events.begin(), m_events.end(), [](const auto& left, const auto& right) { return left.at < right.at; });
        m_sorted = true;
    }
    return m_events;
}

std::string Break::render() const
{
    std::string text = base::concat(bound, ": ", message, "\n");
    for (const auto& event : events)
        base::append(text, "    ", base::encodeHistoryEvent(event), "\n");
    return text;
}

std::vector<std::unique_ptr<Checker>> allCheckers()
{
    using namespace internal;
    std::vector<std::unique_ptr<Checker>> checkers;
    auto add = [&checkers](std::string_view bound, FunctionChecker::Function function) { checkers.push_back(std::make_unique<FunctionChecker>(bound, function)); };
    add("limit_windows", checkLimitWindows);
    add("replicas_over_decided", checkReplicas);
    add("memory_overcommitted", checkMemory);
    add("doubled_calls", checkDoubledCalls);
    add("false_not_run", checkNotRun);
    add("foreign_or_cut_answers", checkAnswers);
    add("dropped_requests", checkDroppedRequests);
    add("withdrawn_keys", checkWithdrawnKeys);
    add("leaving_upstreams", checkLeavingUpstreams);
    add("configuration_going_back", checkConfigurations);
    add("keys_seen", checkKeysSeen);
    return checkers;
}

std::vector<Break> checkAll(const History& history, const CheckOptions& options)
{
    std::vector<Break> breaks;
    for (const auto& checker : allCheckers()) {
        for (Break& found : checker->check(history, options))
            breaks.push_back(std::move(found));
    }
    return breaks;
}

namespace internal {

std::map<base::RequestId, base::HistoryEvent> offersByRequest(const History& history)
{
    std::map<base::RequestId, base::HistoryEvent> offers;
    for (const auto& event : history.events()) {
        if (event.kind == base::HistoryKind::Offered)
            offers.try_emplace(event.request, event);
    }
    return offers;
}

base::Instant endOf(const History& history)
{
    return history.events().empty() ? base::Instant {} : history.events().back().at;
}

} // namespace internal

} // namespace toucanstep::history
