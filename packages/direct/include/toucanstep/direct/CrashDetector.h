// Distinguishes an upstream's crash from a lost connection, before a request is blamed for a crash.
//
// Both appear as answers that break off. Requests that have crashed upstreams are refused everywhere for a while, and all requests
// of an account with the same path and body count as one: without this check, connections that were reset by a network device would
// block all equal lookups of an account. A crashed process sends nothing for some seconds, so an upstream that
// is heard again soon after the connection broke has not crashed.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/direct/CrashAttribution.h"
#include "toucanstep/direct/Imports.h"
#include "toucanstep/serving/Upstream.h"

#include <vector>

namespace toucanstep::direct {

struct SuspectedCrash {
    base::UpstreamId upstream;
    StartId start;
    CallTraits call;
    base::Instant sentAt;
    base::Instant disconnectedAt;
};

class CrashDetector {
public:
    void onConnectionLost(SuspectedCrash suspected) { m_suspected.push_back(std::move(suspected)); }
    // Of a request that was sent to the upstream at `sentAt`.
    void onHeard(const base::UpstreamId&, base::Instant sentAt, base::Instant now);
    // Removes and returns the suspected crashes whose upstreams were not heard in time.
    std::vector<SuspectedCrash> takeConfirmed(base::Instant now);

private:
    std::vector<SuspectedCrash> m_suspected;
};

} // namespace toucanstep::direct
