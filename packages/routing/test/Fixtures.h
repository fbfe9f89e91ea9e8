// Factory functions for the values that the tests of this package use.

#pragma once

#include "toucanstep/base/Text.h"
#include "toucanstep/routing/Router.h"

namespace toucanstep::routing::fixtures {

using namespace std::chrono_literals;

inline base::Instant at(base::Duration sinceStart) { return base::Instant(std::chrono::hours(1)) + sinceStart; }

inline UpstreamReport makeReport(int64_t sequence, int64_t inFlight, int64_t inFlightTokens)
{
    UpstreamReport report;
    report.incarnation = 1;
    report.sequence = sequence;
    report.load = { .slots = 4, .tokensPerSecond = 100, .inFlight = inFlight, .inFlightTokens = base::Tokens(inFlightTokens) };
    return report;
}

inline Holder makeLoadedHolder(const char* upstream, int64_t epoch = 1)
{
    return { base::UpstreamId(upstream), base::Epoch(epoch), HolderState::Loaded, std::nullopt };
}

inline RouteRequest makeRouteRequest(base::Instant now, base::Duration timeout)
{
    RouteRequest request;
    request.id = base::RequestId("r");
    request.model = base::ModelId("m");
    request.account = base::ClientAccountId("farm");
    request.now = now;
    request.deadline = now + timeout;
    request.cost = base::Tokens(100);
    return request;
}

} // namespace toucanstep::routing::fixtures
