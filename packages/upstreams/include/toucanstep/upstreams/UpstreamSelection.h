// Selects the upstream for a call, or reports why none can take it.

#pragma once

#include "toucanstep/upstreams/ColdStartLimit.h"
#include "toucanstep/upstreams/Imports.h"
#include "toucanstep/upstreams/UpstreamAvailability.h"
#include "toucanstep/upstreams/UpstreamCallLimits.h"
#include "toucanstep/upstreams/UpstreamSpeeds.h"
#include "toucanstep/upstreams/UpstreamTable.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::upstreams {

struct UpstreamQuery {
    base::ServiceId service;
    ModelTarget target;
    // Upstreams that the call has already been sent to; they are not selected again.
    const std::set<base::UpstreamId>* triedUpstreams = nullptr;
    // The gateway's own failure domain.
    base::FailureDomain domain;
    // Calls with an equal value share the beginning of their prompts; empty without a prompt.
    std::string promptPrefix;
    // The part of the running calls that end before their ends are reported, from 0 to 1.
    double turnover = 0;
    // The calls per second that a cold upstream of the service tolerates, and this gateway's part of them; without them a cold
    // upstream is used as a warm one.
    std::optional<int64_t> coldCallsPerSecond;
    const ColdStartLimit* coldStarts = nullptr;
    // The limits that upstreams advertise; null if none are known.
    const UpstreamCallLimits* callLimits = nullptr;
    // What upstreams have said of when they take calls; null if nothing is known.
    const UpstreamAvailability* availability = nullptr;
    // How long work takes at the upstreams; null if that is not considered.
    const UpstreamSpeeds* speeds = nullptr;
    // Regions in which the call may run, of its route and of its account. Null or empty for all.
    const std::set<base::RegionId>* routeRegions = nullptr;
    const std::set<base::RegionId>* accountRegions = nullptr;
    // Set if calls stay in their failure domain while it has room, see DomainSpill: the prompts that the call can wait for.
    std::optional<double> promptsInTime;
    // Unique to the call: spreads calls among equally busy upstreams.
    std::string spreadKey;
};

enum class BlockReason {
    None,
    // No upstream of the service can take calls.
    NoUpstream,
    NotLoaded,
    // The model is loaded, but nowhere with the adapter. An adapter is loaded in milliseconds, a model in seconds.
    AdapterNotLoaded,
    // All slots are in use at each upstream that could run it.
    Full,
    // The upstreams that could run it are cold and get no further call from this gateway for now.
    Cold,
    // The upstreams that could run it advertise a limit and get no further call from this gateway for now.
    CallLimit,
    // The upstreams that could run it have asked this gateway for a pause, or take few calls after one.
    Paused,
    // Every upstream of the service is outside the regions in which the call may run.
    OutsideRegions,
};

std::string_view toText(BlockReason);

struct UpstreamSelection {
    BlockReason blockReason = BlockReason::None;
    base::UpstreamId upstream;
    // Of all upstreams that hold the target: their free slots, and the calls that they run.
    int64_t freeSlots = 0;
    int64_t inFlight = 0;
    // Set if the call is blocked because upstreams are cold, advertise a limit or have asked for a pause: when one of them takes it at
    // the latest. Nothing if this gateway has no part of their limits.
    std::optional<base::Instant> acceptedFrom;
    // The rate at which upstreams that advertise a limit take calls of this gateway; set if they are why the call is blocked.
    double limitedRate = 0;
    // Why the chosen upstream takes few calls: CallLimit, Paused or None.
    BlockReason limitedBy = BlockReason::None;
    // If the call is blocked because upstreams are cold or advertise a limit: those.
    std::vector<base::UpstreamId> limitedUpstreams;
};

UpstreamSelection selectUpstream(const UpstreamTable&, const UpstreamQuery&, base::Instant now);

} // namespace toucanstep::upstreams
