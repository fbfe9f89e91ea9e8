// Limits one account over two gateways with nothing but the limits library.
//
// Each gateway holds one share of the account. A request at the first gateway is charged whole before it runs, to
// whichever share has the tokens; here the messages are plain function calls.

#include "toucanstep/limits/ChargeCoordinator.h"
#include "toucanstep/limits/ShareTable.h"

#include <deque>
#include <iostream>
#include <map>
#include <string>

using namespace toucanstep::base;
using namespace toucanstep::limits;
using std::chrono::seconds;

namespace {

const ClientAccountId account("farm");
const BucketLimits limits { Tokens(10), Tokens(101) };

// The two gateways' shares, and the time that the sample plays in.
struct Fleet {
    std::map<InstanceId, ShareTable> gateways;
    Instant now { seconds(0) };

    Fleet()
    {
        auto slices = splitLimits(limits, 2);
        gateways[InstanceId("gateway-1")].take({ account, 0 }, Epoch(1), slices[0], now);
        gateways[InstanceId("gateway-2")].take({ account, 1 }, Epoch(1), slices[1], now);
    }

    std::vector<ShareView> views()
    {
        std::vector<ShareView> views;
        for (auto& [instance, table] : gateways) {
            for (const ShareHint& hint : table.hints(now))
                views.push_back({ instance, hint, now });
        }
        return views;
    }

    ChargeOutcome admit(const std::string& request, int64_t cost)
    {
        ChargeOptions options { .self = InstanceId("gateway-1") };
        ChargeCoordinator planner(options, { RequestId(request), account, Tokens(cost), now + seconds(1) }, views());
        auto started = planner.start(now);
        std::deque<AddressedMessage> queue(started.begin(), started.end());
        while (!queue.empty()) {
            AddressedMessage next = queue.front();
            queue.pop_front();
            for (auto& message : deliver(planner, next))
                queue.push_back(message);
        }
        return *planner.outcome();
    }

    std::vector<AddressedMessage> deliver(ChargeCoordinator& planner, const AddressedMessage& addressed)
    {
        ShareTable& table = gateways.at(addressed.to);
        if (const auto* charge = std::get_if<ChargeRequest>(&addressed.message))
            return planner.onReply(table.onCharge(*charge, now), now);
        if (const auto* back = std::get_if<ChargeReturn>(&addressed.message))
            table.onReturn(*back, now);
        else
            table.onGatherUnlock(std::get<GatherUnlock>(addressed.message));
        return {};
    }
};

bool report(const std::string& request, const ChargeOutcome& outcome, Instant now)
{
    if (const auto* admitted = std::get_if<ChargeAdmitted>(&outcome)) {
        std::cout << request << ": admitted, charged to " << admitted->parts.size() << " share(s)\n";
        return true;
    }
    const auto& refused = std::get<ChargeRefused>(outcome);
    std::cout << request << ": refused, " << toucanstep::base::refusalCodeName(refused.code);
    if (refused.retryAt)
        std::cout << ", try again in " << toucanstep::base::toMilliseconds(*refused.retryAt - now) << " ms";
    std::cout << "\n";
    return false;
}

} // namespace

int main()
{
    Fleet fleet;
    fleet.now += seconds(11);
    bool small = report("small", fleet.admit("small", 40), fleet.now);
    bool large = report("large", fleet.admit("large", 60), fleet.now);
    bool next = report("next", fleet.admit("next", 20), fleet.now);
    return small && large && !next ? 0 : 1;
}
