// Remembers the planner's state, so that its successor does not forget the orders that engines are executing.
//
// Failure prevented: an engine reports that it is busy, but not with which order. A planner that takes over without this
// knowledge loads a model a second time while the first load is under way, and more loads share the weight store than it
// carries. The planner's reports hold its state; every gateway repeats the last one to a new planner.

#pragma once

#include "toucanstep/planner/Imports.h"
#include "toucanstep/serving/Demand.h"

#include <optional>

namespace toucanstep::planner {

class PlannerSuccession {
public:
    void onPlanReport(base::Epoch fence, const PlannerState&, base::Instant now);
    // The state to send to the current planner; nothing once that one has reported for a while.
    std::optional<PlannerHandover> handover(base::Instant now) const;
    // The last state heard, for this gateway when it becomes the planner.
    std::optional<PlannerHandover> last(base::Instant now) const;

private:
    struct HeardState {
        PlannerHandover handover;
        base::Instant heardAt;
    };
    static std::optional<PlannerHandover> aged(const std::optional<HeardState>&, base::Instant now);

    std::optional<HeardState> m_last;
    // Of the planner before the one that was heard last.
    std::optional<HeardState> m_earlier;
    base::Instant m_changedAt;
};

} // namespace toucanstep::planner
