#include "toucanstep/routing/ExpectedWait.h"

#include <algorithm>

namespace toucanstep::routing {

namespace {

constexpr double maximumWaitSeconds = 24 * 3600.0;
// The wait depends on the tokens that other accounts request while it lasts, so it is computed by fixed-point iteration,
// starting from zero and never decreasing.
constexpr int fixedPointIterations = 6;

// Whether the account was recently served more than its fair share, using throughput that the others did not request.
bool exceedsFairShare(const std::vector<AccountBacklog>& backlog, const NewRequest& request)
{
    int64_t totalWeight = 0;
    int64_t totalServed = 0;
    int64_t ownServed = 0;
    for (const auto& entry : backlog) {
        totalWeight += entry.weight;
        totalServed += entry.servedPerSecond.value();
        if (entry.account == request.account)
            ownServed = entry.servedPerSecond.value();
    }
    return ownServed * totalWeight > totalServed * request.accountWeight;
}

} // namespace

base::Tokens tokensAhead(const std::vector<AccountBacklog>& backlog, const NewRequest& request, base::Duration wait)
{
    base::Tokens ownQueued;
    for (const auto& entry : backlog)
        if (entry.account == request.account)
            ownQueued += entry.queued;
    const auto ownDemand = static_cast<double>((ownQueued + request.cost).value());
    const auto weight = static_cast<double>(std::max<int64_t>(1, request.accountWeight));
    auto ahead = ownQueued;
    auto includeFutureDemand = exceedsFairShare(backlog, request);
    for (const auto& entry : backlog) {
        if (entry.account == request.account)
            continue;
        auto fairShare = ownDemand * static_cast<double>(std::max<int64_t>(1, entry.weight)) / weight;
        auto futureDemand = includeFutureDemand ? static_cast<double>(entry.servedPerSecond.value()) * base::toSeconds(wait) : 0;
        auto demand = static_cast<double>(entry.queued.value()) + futureDemand;
        ahead += base::Tokens(static_cast<int64_t>(std::min(demand, fairShare)));
    }
    return ahead;
}

base::Duration expectedWait(const UpstreamLoad& load, const NewRequest& request)
{
    if (load.inFlight < load.slots)
        return base::Duration::zero();
    const auto slots = static_cast<double>(std::max<int64_t>(1, load.slots));
    const auto throughput = slots * static_cast<double>(std::max<int64_t>(1, load.tokensPerSecond));
    // The first of `slots` running requests is expected to complete after 1/slots of their mean remaining time.
    auto firstCompletionSeconds = static_cast<double>(load.inFlightTokens.value()) / slots / throughput;
    base::Duration wait {};
    for (int iteration = 0; iteration < fixedPointIterations; ++iteration) {
        auto queueSeconds = static_cast<double>(tokensAhead(load.backlog, request, wait).value()) / throughput;
        auto seconds = std::clamp(firstCompletionSeconds + queueSeconds, 0.0, maximumWaitSeconds);
        wait = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
    }
    return wait;
}

} // namespace toucanstep::routing
