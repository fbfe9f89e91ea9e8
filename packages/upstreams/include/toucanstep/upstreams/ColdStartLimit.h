// Bounds the rate of calls to a cold upstream over all gateways, without any message between them.
//
// A cold upstream tolerates a certain number of calls per second and crashes well above it. Each gateway makes no more calls per
// second than its part of that number, see FleetShare.
//
// A call is counted for `callWindow`, which is longer than a second because a connection may have to be opened first.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/upstreams/FleetShare.h"
#include "toucanstep/upstreams/Imports.h"

#include <deque>
#include <map>
#include <optional>

namespace toucanstep::upstreams {

struct ColdStartLimitSettings {
    base::Duration callWindow = std::chrono::milliseconds(1350);
};

class ColdStartLimit {
public:
    // The share must outlive this.
    ColdStartLimit(ColdStartLimitSettings, const FleetShare&);

    // A call is sent to the upstream, cold or not.
    void onCall(const base::UpstreamId&, base::Instant now);
    // When this gateway may send the next call to the cold upstream, of which all gateways together may send `limit` per second;
    // nothing if its part is none.
    std::optional<base::Instant> nextCall(const base::UpstreamId&, int64_t limit, base::Instant now) const;

private:
    ColdStartLimitSettings m_settings;
    const FleetShare& m_share;
    // Times of the last calls, oldest first.
    std::map<base::UpstreamId, std::deque<base::Instant>> m_calls;
};

} // namespace toucanstep::upstreams
