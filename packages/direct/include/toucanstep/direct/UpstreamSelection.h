// Chooses the upstream for a call, or says what stands in its way.

#pragma once

#include "toucanstep/direct/UpstreamTable.h"

#include <set>
#include <string>
#include <string_view>

namespace toucanstep::direct {

struct UpstreamQuery {
    base::ServiceId service;
    ModelTarget target;
    // Upstreams that this call has already been sent to.
    const std::set<base::UpstreamId>* triedUpstreams = nullptr;
    // The gateway's own failure domain.
    base::FailureDomain domain;
    // Calls with the same text here share a prompt's beginning; empty without one.
    std::string promptPrefix;
    // Differs from call to call: among equally busy upstreams each call has its own first choice.
    std::string spreadKey;
};

enum class BlockReason {
    None,
    // No upstream of the service can take calls.
    NoUpstream,
    NotLoaded,
    // Each upstream that could run it is at its limit.
    Full,
};

std::string_view toText(BlockReason);

struct UpstreamSelection {
    BlockReason blockReason = BlockReason::None;
    base::UpstreamId upstream;
};

UpstreamSelection selectUpstream(const UpstreamTable&, const UpstreamQuery&, base::Instant now);

} // namespace toucanstep::direct
