// Shows the routing library alone: a gateway chooses an upstream, a sidecar queues fairly, a crashing request is isolated.
//
// The libraries read no clock and make no connection; everything they decide upon is passed in.

#include "toucanstep/routing/Quarantine.h"
#include "toucanstep/routing/RequestQueue.h"
#include "toucanstep/routing/Router.h"

#include <iostream>

using namespace toucanstep;
using namespace toucanstep::routing;
using namespace std::chrono_literals;

namespace {

const base::Instant now { std::chrono::hours(1) };
const base::UpstreamId north("north");
const base::UpstreamId south("south");

UpstreamReport reportOf(int64_t inFlight, int64_t tokens)
{
    UpstreamReport report;
    report.sequence = 1;
    report.load = { .slots = 4, .tokensPerSecond = 50, .inFlight = inFlight, .inFlightTokens = base::Tokens(tokens) };
    return report;
}

bool choosesTheIdleUpstream()
{
    UpstreamTable upstreams;
    for (const auto& upstream : { north, south })
        upstreams.setConnected(upstream, true);
    upstreams.report(north, reportOf(4, 4000), now);
    upstreams.report(south, reportOf(1, 300), now);

    RouteRequest request { .id = base::RequestId("request-1"), .model = base::ModelId("tides"), .account = base::ClientAccountId("farm") };
    request.now = now;
    request.deadline = now + 10s;
    request.cost = base::Tokens(500);
    std::vector<Holder> holders { { north, base::Epoch(3), HolderState::Loaded, {} }, { south, base::Epoch(5), HolderState::Loaded, {} } };

    RandomGenerator generator(1);
    auto decision = makeExpectedWaitRouter({})->choose(request, holders, upstreams, PrefixIndex(1000, 10min), generator);
    std::cout << "chosen=" << decision.chosen->value() << " reason=" << routeReasonName(decision.reason) << " candidates=" << describeCandidates(decision) << "\n";
    return decision.chosen == south;
}

QueuedRequest queued(const char* id, const char* account)
{
    QueuedRequest request { .id = base::RequestId(id), .account = base::ClientAccountId(account), .kind = "ask" };
    request.cost = base::Tokens(500);
    request.latestStart = now + 10s;
    return request;
}

bool servesTheSmallAccountSoon()
{
    auto queue = makeFairQueue({});
    for (const auto* id : { "ferry-1", "ferry-2", "ferry-3" })
        queue->push(queued(id, "ferry"), 0s, now);
    queue->push(queued("farm-1", "farm"), 0s, now);
    bool isSoon = false;
    for (int position = 1; auto request = queue->pop(now, [](const auto&) { return true; }); ++position) {
        std::cout << "start=" << request->id.value() << "\n";
        isSoon = isSoon || (request->account.value() == "farm" && position <= 2);
    }
    return isSoon;
}

bool refusesWhatCrashedTwice()
{
    Quarantine quarantine({});
    auto fingerprint = fingerprintOf(base::ClientAccountId("farm"), "{\"prompt\":\"...\"}");
    quarantine.onCrash(CrashId("north/1"), { fingerprint }, now);
    auto isAlone = quarantine.state(fingerprint, now) == QuarantineState::Isolated;
    quarantine.onCrash(CrashId("south/1"), { fingerprint }, now);
    auto refusal = quarantine.refusal(fingerprint, now);
    std::cout << "refused=" << base::refusalCodeName(refusal->code) << " ran=" << base::ranStateName(refusal->ran) << "\n";
    return isAlone && refusal.has_value();
}

} // namespace

int main()
{
    auto isRight = choosesTheIdleUpstream() && servesTheSmallAccountSoon() && refusesWhatCrashedTwice();
    return isRight ? 0 : 1;
}
