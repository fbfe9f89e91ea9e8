// Decides how much it costs a call to leave its failure domain.
//
// Load pattern: the traffic of each failure domain rises and falls at its own time, and bytes between domains are expensive. With a
// constant cost of another domain, calls leave for every upstream that is a little less busy, also while their own domain has room.
// Here the cost rises with the room in the own domain, so that calls leave as it becomes full. It is counted in prompts, as the cost of
// an upstream, and bounded by the prompts that the call can wait for at home and still be in time.

#pragma once

#include "toucanstep/upstreams/Imports.h"
#include "toucanstep/upstreams/UpstreamTable.h"

#include <optional>
#include <vector>

namespace toucanstep::upstreams {

// Of the upstreams of one domain that hold a target and work.
struct DomainRoom {
    int64_t slots = 0;
    int64_t freeSlots = 0;
    // Calls without a first byte of their answer at the upstream that has the fewest of them.
    int64_t leastAwaiting = 0;
};

DomainRoom roomIn(const base::FailureDomain&, const std::vector<const UpstreamEntry*>& holders, base::Instant now);

// The prompts that a call can wait for until `lateFrom`, if each takes as long as an answer usually takes to start; nothing if that is
// unknown.
std::optional<double> promptsInTime(base::Instant lateFrom, base::Duration usualStart, base::Instant now);

// What leaving costs in addition to the usual cost of another domain.
double additionalLeavingCost(const DomainRoom&, double promptsInTime);

} // namespace toucanstep::upstreams
