#include "toucanstep/upstreams/DomainSpill.h"

#include <algorithm>
#include <limits>

namespace toucanstep::upstreams {

namespace {

// The part of the prompts in time that an empty domain makes a call wait for. The other half is left for what the gateway cannot see:
// calls that other gateways send in the same moment, and prompts that take longer than usual.
constexpr double maxWaitPart = 0.5;
// An upstream that has failed more than this lately is no room.
constexpr double maxRecentFailures = 0.5;

} // namespace

DomainRoom roomIn(const base::FailureDomain& domain, const std::vector<const UpstreamEntry*>& holders, base::Instant now)
{
    DomainRoom room;
    room.leastAwaiting = std::numeric_limits<int64_t>::max();
    for (const UpstreamEntry* holder : holders) {
        const UpstreamDescription& described = holder->description;
        if (described.domain != domain || UpstreamTable::recentFailures(*holder, now) > maxRecentFailures || UpstreamTable::isUnresponsive(*holder, now))
            continue;
        room.slots += described.slots;
        int64_t freeSlots = std::max<int64_t>(described.slots - holder->inFlight(), 0);
        room.freeSlots += freeSlots;
        if (freeSlots > 0)
            room.leastAwaiting = std::min(room.leastAwaiting, holder->awaiting());
    }
    return room;
}

std::optional<double> promptsInTime(base::Instant lateFrom, base::Duration usualStart, base::Instant now)
{
    if (usualStart <= base::Duration::zero())
        return std::nullopt;
    return std::max(base::toSeconds(lateFrom - now), 0.0) / base::toSeconds(usualStart);
}

double additionalLeavingCost(const DomainRoom& room, double promptsInTime)
{
    if (room.slots <= 0 || room.freeSlots <= 0)
        return 0;
    double cost = promptsInTime * maxWaitPart * static_cast<double>(room.freeSlots) / static_cast<double>(room.slots);
    return std::max(std::min(cost, promptsInTime - static_cast<double>(room.leastAwaiting)), 0.0);
}

} // namespace toucanstep::upstreams
