// The part of an overloaded model's free slots that one gateway takes, such that slots go to accounts evenly.
//
// Load pattern: one account floods the queues of all gateways, and the other accounts' calls wait at some of them. In proportion
// to waiting calls, most slots would go to gateways at which only the large account waits, whatever the order of calls at each
// gateway. So an account counts no more than its fair part of the slots, divided among the gateways in proportion to its
// calls.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/scheduling/Imports.h"
#include "toucanstep/serving/Demand.h"

#include <cstdint>
#include <map>

namespace toucanstep::scheduling {

// Waiting calls that can still be in time.
using CallsByAccount = std::map<base::ClientAccountId, int64_t>;
// By queue and priority.
using QueuedByAccount = std::map<ModelQueue, std::map<int64_t, CallsByAccount>>;

// What accounts have received more than the one with waiting calls that has received least, in calls.
using LeadsByAccount = std::map<base::ClientAccountId, double>;

// From 0 to 1; 1 if nothing waits elsewhere. `unlisted`: calls that wait elsewhere whose account is not known; they count as calls
// of one account. The slots of an account begin where its lead ends, so that urgent calls of an account count for the part that
// its less urgent calls get.
double fairSlotPart(const CallsByAccount& own, const CallsByAccount& elsewhere, int64_t unlisted, double slots, const LeadsByAccount& leads = {});

} // namespace toucanstep::scheduling
