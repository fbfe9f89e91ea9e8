// Checks recorded histories against the bounds that must always hold.
//
//     History history;
//     for (auto& file : files)
//         history.addLines(file);
//     for (const auto& found : checkAll(history, options))
//         std::cout << found.render();

#pragma once

#include "toucanstep/base/History.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::history {

class History {
public:
    void add(base::HistoryEvent);
    // Adds the lines of one process. A last line that was cut off is left out; any other that can't be read is counted
    // in malformedLines().
    void addLines(std::string_view text);
    // All events, ordered by time; events of the same time keep the order in which they were added.
    const std::vector<base::HistoryEvent>& events() const;
    size_t malformedLines() const { return m_malformed; }

private:
    mutable std::vector<base::HistoryEvent> m_events;
    mutable bool m_sorted = true;
    size_t m_malformed = 0;
};

struct CheckOptions {
    // How much later than its tokens were charged a request may be admitted (see limits::ChargeOptions::gatherWindow).
    base::Duration admissionDelay = std::chrono::milliseconds(100);
    base::Duration withdrawnKeyGrace = std::chrono::seconds(3);
    base::Duration leavingGrace = std::chrono::seconds(3);
    // How long after its deadline an answer or refusal may still reach the caller.
    base::Duration deadlineGrace = std::chrono::milliseconds(250);
};

// A bound that did not hold, with the events that show it.
struct Break {
    std::string bound;
    std::string message;
    std::vector<base::HistoryEvent> events;

    std::string render() const;
};

class Checker {
public:
    virtual ~Checker() = default;
    virtual std::string_view bound() const = 0;
    virtual std::vector<Break> check(const History&, const CheckOptions&) const = 0;
};

// One checker for each bound: limit_windows, replicas_over_decided, memory_overcommitted, doubled_calls, false_not_run,
// foreign_or_cut_answers, dropped_requests, withdrawn_keys, leaving_upstreams, configuration_going_back, keys_seen.
std::vector<std::unique_ptr<Checker>> allCheckers();
std::vector<Break> checkAll(const History&, const CheckOptions& = {});

} // namespace toucanstep::history
