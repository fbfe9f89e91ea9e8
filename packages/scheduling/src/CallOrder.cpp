#include "toucanstep/scheduling/CallOrder.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>
#include <utility>

namespace toucanstep::scheduling {

std::vector<size_t> dispatchOrder(const std::vector<WaitingCall>& calls, const AccountShares& shares)
{
    std::vector<size_t> order(calls.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    auto slackKey = [&](size_t index) {
        const WaitingCall& call = calls[index];
        return std::tuple(call.priority, call.queueClass, call.latestStart, call.number);
    };
    std::sort(order.begin(), order.end(), [&](size_t left, size_t right) { return slackKey(left) < slackKey(right); });
    // The counters that the accounts would have before each of their calls.
    std::map<std::pair<ModelQueue, base::ClientAccountId>, double> counters;
    std::vector<double> startTags(calls.size());
    for (size_t index : order) {
        const WaitingCall& call = calls[index];
        auto [place, isNew] = counters.try_emplace(std::pair(call.queue, call.account), 0);
        if (isNew)
            place->second = shares.counter(call.account);
        startTags[index] = place->second;
        place->second += static_cast<double>(std::max<int64_t>(call.cost.value(), 0));
    }
    auto key = [&](size_t index) {
        const WaitingCall& call = calls[index];
        return std::tuple(call.priority, call.queueClass, startTags[index], call.latestStart, call.number);
    };
    std::sort(order.begin(), order.end(), [&](size_t left, size_t right) { return key(left) < key(right); });
    return order;
}

double callsBefore(int64_t position, int64_t ownEqual, int64_t equalElsewhere, int64_t before)
{
    // The middle of the call's own place, so that the only call of a gateway counts half of the others.
    constexpr double middle = 0.5;
    double part = (static_cast<double>(position) + middle) / static_cast<double>(std::max<int64_t>(ownEqual, 1));
    return static_cast<double>(before) + static_cast<double>(position) + static_cast<double>(equalElsewhere) * std::min(part, 1.0);
}

} // namespace toucanstep::scheduling
