#include "toucanstep/routing/ExpectedWait.h"

#include <algorithm>

namespace toucanstep::routing {

namespace {

constexpr double longestWaitSeconds = 24 * 3600.0;

} // namespace

base::Tokens tokensAhead(const std::vector<AccountBacklog>& backlog, const NewRequest& request)
{
    base::Tokens own;
    for (const auto& part : backlog)
        if (part.account == request.account)
            own += part.queued;
    const auto served = static_cast<double>((own + request.cost).value());
    const auto weight = static_cast<double>(std::max<int64_t>(1, request.accountWeight));
    base::Tokens ahead = own;
    for (const auto& part : backlog) {
        if (part.account == request.account)
            continue;
        auto meanwhile = served * static_cast<double>(std::max<int64_t>(1, part.weight)) / weight;
        ahead += base::Tokens(static_cast<int64_t>(std::min(static_cast<double>(part.queued.value()), meanwhile)));
    }
    return ahead;
}

base::Duration expectedWait(const UpstreamLoad& load, const NewRequest& request)
{
    if (load.inFlight < load.slots)
        return base::Duration::zero();
    const auto slots = static_cast<double>(std::max<int64_t>(1, load.slots));
    const auto speed = slots * static_cast<double>(std::max<int64_t>(1, load.tokensPerSecond));
    // The first of `slots` running requests ends after a slots-th of their mean remaining time.
    auto untilFirstEnd = static_cast<double>(load.inFlightTokens.value()) / slots / speed;
    auto behindOthers = static_cast<double>(tokensAhead(load.backlog, request).value()) / speed;
    auto seconds = std::clamp(untilFirstEnd + behindOthers, 0.0, longestWaitSeconds);
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace toucanstep::routing
