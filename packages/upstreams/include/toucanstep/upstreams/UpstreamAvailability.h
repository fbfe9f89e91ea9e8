// When upstreams take requests of this gateway, by what they have said of it in their answers.
//
// An upstream that rejects a request may ask this gateway for a pause. It is kept to the end, whatever the list of upstreams says
// meanwhile: the upstream counts what arrives by its own clock. Afterwards the gateway begins with one request and doubles the
// number that may await their answers with each answer that is no rejection, since all gateways may have waited for the same moment.
//
// An upstream that says that it leaves gets no further call until it has started again. The list of upstreams says so later, or not at
// all, and its entry may go and come meanwhile.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/serving/Upstream.h"
#include "toucanstep/upstreams/Imports.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace toucanstep::upstreams {

// What a gateway tells its peers of an upstream.
struct HeardAvailability {
    base::UpstreamId upstream;
    StartId start;
    bool leaving = false;
    // Until the end of the pause that it has asked of the sender; zero without one.
    base::Duration pauseLeft {};
};

class UpstreamAvailability {
public:
    // That start of the upstream has asked for no request until then. Returns whether a pause has begun.
    bool onPauseAsked(const base::UpstreamId&, StartId, base::Instant until, base::Instant now);
    // The upstream has begun an answer that is no rejection. Returns whether it takes more requests than before.
    bool onAccepted(const base::UpstreamId&, base::Instant now);

    // The end of the pause; nothing if there is none.
    std::optional<base::Instant> pausedUntil(const base::UpstreamId&, base::Instant now) const;
    // How many requests of this gateway may await their answers after a pause; nothing if the number is not limited.
    std::optional<int64_t> maxAwaiting(const base::UpstreamId&, base::Instant now) const;

    // That start of the upstream leaves. Returns whether that is new.
    bool onLeaving(const base::UpstreamId&, StartId, base::Instant now);
    bool isLeaving(const base::UpstreamId&, StartId) const;

    // The newest of what this gateway has heard lately itself.
    std::vector<HeardAvailability> heardLately(base::Instant now) const;
    // A peer has heard this. Returns whether it is new that the upstream leaves.
    bool onPeerHeard(const HeardAvailability&, base::Instant now);
    // The latest end of the pauses that the start of the upstream has asked of any gateway. Only for placement: a pause binds the gateway
    // of which it was asked.
    std::optional<base::Instant> pausedAnywhereUntil(const base::UpstreamId&, StartId, base::Instant now) const;

    // Drops what is over, and what was heard long ago of upstreams that are no longer listed.
    void expire(base::Instant now, const std::function<bool(const base::UpstreamId&)>& isListed);

private:
    struct Pause {
        StartId start;
        base::Instant heard;
        base::Instant until;
        int64_t maxAwaiting = 1;
    };

    struct Leaving {
        StartId start;
        base::Instant lastHeard;
        // By this gateway, not by a peer.
        std::optional<base::Instant> lastHeardItself;
    };
    struct PeerPause {
        StartId start;
        base::Instant until;
    };

    std::map<base::UpstreamId, Pause> m_pauses;
    std::map<base::UpstreamId, Leaving> m_leaving;
    std::map<base::UpstreamId, PeerPause> m_peerPauses;
};

} // namespace toucanstep::upstreams
