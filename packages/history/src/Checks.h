// The checkers behind allCheckers(), one for each bound.

#pragma once

#include "toucanstep/history/Checkers.h"

#include <map>
#include <optional>

namespace toucanstep::history::internal {

// A checker that is a function.
class FunctionChecker final : public Checker {
public:
    using Function = std::vector<Break> (*)(const History&, const CheckOptions&);

    FunctionChecker(std::string_view bound, Function function)
        : m_bound(bound)
        , m_function(function)
    {
    }
    std::string_view bound() const override { return m_bound; }
    std::vector<Break> check(const History& history, const CheckOptions& options) const override
    {
        std::vector<Break> breaks = m_function(history, options);
        for (Break& found : breaks)
            found.bound = m_bound;
        return breaks;
    }

private:
    std::string_view m_bound;
    Function m_function;
};

std::vector<Break> checkLimitWindows(const History&, const CheckOptions&);
std::vector<Break> checkReplicas(const History&, const CheckOptions&);
std::vector<Break> checkMemory(const History&, const CheckOptions&);
std::vector<Break> checkDoubledCalls(const History&, const CheckOptions&);
std::vector<Break> checkNotRun(const History&, const CheckOptions&);
std::vector<Break> checkAnswers(const History&, const CheckOptions&);
std::vector<Break> checkDroppedRequests(const History&, const CheckOptions&);
std::vector<Break> checkWithdrawnKeys(const History&, const CheckOptions&);
std::vector<Break> checkLeavingUpstreams(const History&, const CheckOptions&);
std::vector<Break> checkConfigurations(const History&, const CheckOptions&);
std::vector<Break> checkKeysSeen(const History&, const CheckOptions&);

// Where each request was offered.
std::map<base::RequestId, base::HistoryEvent> offersByRequest(const History&);
base::Instant endOf(const History&);

} // namespace toucanstep::history::internal
