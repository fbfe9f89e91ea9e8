// Tells the crash of an upstream from the loss of a connection to it, before a request is blamed for a crash.
//
// Both show as answers that break off. A request that is blamed twice is refused everywhere for a while, and all requests of
// an account with the same path and body count as one: without this, two connections that something in between had reset
// would turn away every lookup of that account. A process that has crashed sends nothing for some seconds, so an upstream
// that is heard again soon after the break has not crashed.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/direct/Upstream.h"
#include "toucanstep/routing/Ids.h"

#include <vector>

namespace toucanstep::direct {

struct SuspectedCrash {
    base::UpstreamId upstream;
    StartMark start;
    routing::RequestFingerprint fingerprint;
    base::Instant disconnectedAt;
};

class CrashDetector {
public:
    void onBroken(SuspectedCrash suspicion) { m_suspicions.push_back(std::move(suspicion)); }
    void onHeard(const base::UpstreamId&, base::Instant now);
    // Those for whose upstreams nothing spoke in time; they are forgotten here.
    std::vector<SuspectedCrash> takeConfirmed(base::Instant now);

private:
    std::vector<SuspectedCrash> m_suspicions;
};

} // namespace toucanstep::direct
