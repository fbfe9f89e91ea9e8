#include "toucanstep/routing/ExpectedWait.h"

#include <algorithm>

namespace toucanstep::routing {

namespace {

constexpr double longestWaitSeconds = 24 * 3600.0;
// The wait depends on what others ask for in its course: it is found by repetition, which grows towards it.
constexpr int repetitions = 6;

// An account that was lately served more than its fair part lives on speed that the others did not ask for.
bool livesOnOthersSpeed(const std::vector<AccountBacklog>& backlog, const NewRequest& request)
{
    int64_t weights = 0;
    int64_t served = 0;
    int64_t own = 0;
    for (const auto& part : backlog) {
        weights += part.weight;
        served += part.servedPerSecond.value();
        if (part.account == request.account)
            own = part.servedPerSecond.value();
    }
    return own * weights > served * request.accountWeight;
}

} // namespace

base::Tokens tokensAhead(const std::vector<AccountBacklog>& backlog, const NewRequest& request, base::Duration wait)
{
    base::Tokens own;
    for (const auto& part : backlog)
        if (part.account == request.account)
            own += part.queued;
    const auto served = static_cast<double>((own + request.cost).value());
    const auto weight = static_cast<double>(std::max<int64_t>(1, request.accountWeight));
    auto ahead = own;
    auto countsLater = livesOnOthersSpeed(backlog, request);
    for (const auto& part : backlog) {
        if (part.account == request.account)
            continue;
        auto fairPart = served * static_cast<double>(std::max<int64_t>(1, part.weight)) / weight;
        auto later = countsLater ? static_cast<double>(part.servedPerSecond.value()) * base::toSeconds(wait) : 0;
        auto asked = static_cast<double>(part.queued.value()) + later;
        ahead += base::Tokens(static_cast<int64_t>(std::min(asked, fairPart)));
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
    base::Duration wait {};
    for (int repetition = 0; repetition < repetitions; ++repetition) {
        auto behindOthers = static_cast<double>(tokensAhead(load.backlog, request, wait).value()) / speed;
        auto seconds = std::clamp(untilFirstEnd + behindOthers, 0.0, longestWaitSeconds);
        wait = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
    }
    return wait;
}

} // namespace toucanstep::routing
