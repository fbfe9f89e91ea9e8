// Passes what answers state and show of upstreams' speeds to their estimates, and logs and counts what follows from it.

#pragma once

#include "toucanstep/base/Metrics.h"
#include "toucanstep/direct/Imports.h"
#include "toucanstep/upstreams/UpstreamSpeeds.h"
#include "toucanstep/upstreams/UpstreamTable.h"

#include <optional>

namespace toucanstep::direct {

// One send of a call.
struct ObservedCall {
    base::ServiceId service;
    base::UpstreamId upstream;
    StartId start;
    base::Tokens prompt;
    base::Instant sent;
    int64_t awaitingBefore = 0;
    // The estimate that the upstream was chosen by, for the log; nothing if it has stated no speed.
    std::optional<int64_t> workPercent;
    // Of a stream: when its first event was received, and the bytes received by then.
    std::optional<base::Instant> firstEvent;
    size_t firstBytes = 0;
};

class SpeedObserver {
public:
    // Without `enabled` nothing is observed.
    SpeedObserver(base::MetricsRegistry&, bool enabled);

    // Null if speeds are not considered.
    const UpstreamSpeeds* estimates() const { return m_enabled ? &m_speeds : nullptr; }

    // To be called before the call counts as one of the upstream's.
    ObservedCall onSent(const base::ServiceId&, const UpstreamEntry&, base::Tokens prompt, base::Instant now);
    // `accepted` if the answer is what the caller gets.
    void onHead(const ObservedCall&, const ResponseMetadata&, bool accepted, base::Instant now);
    // Each piece of a stream; `bytes` of its body have been received. Only the first one counts.
    void onEvents(ObservedCall&, size_t bytes, base::Instant now);
    // The answer has ended in order.
    void onEnded(const ObservedCall&, size_t bytes, base::Instant lastPiece);
    // Bounds the memory used by what is known of upstreams that are no longer listed.
    void expire(const UpstreamTable&);
    void writeGauges(const UpstreamTable&, base::Instant now);

private:
    void logContradiction(const ObservedCall&, base::Instant now);

    base::MetricsRegistry& m_metrics;
    bool m_enabled;
    UpstreamSpeeds m_speeds;
};

} // namespace toucanstep::direct
