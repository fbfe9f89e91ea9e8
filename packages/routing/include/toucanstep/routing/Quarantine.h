// Limits the number of upstreams that a request can crash.
//
// Each request that is in flight when an upstream crashes gets a strike with the id of the crash. A fingerprint with strikes
// from one crash runs in isolation, that is, with nothing else in flight on its upstream. With strikes from two crashes it is
// refused everywhere until at most one of them is unexpired. Processes exchange strikes as messages; merging them is commutative
// and idempotent. The number of strikes is bounded.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/routing/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::routing {

// Identifies one crash of one upstream: the upstream's id and a number that its sidecar increments at each crash.
using CrashId = base::StrongId<struct CrashIdTag>;

struct Strike {
    RequestFingerprint fingerprint;
    CrashId crash;
    base::Instant expires;
};

// A strike as sent between processes, with the remaining time instead of a time on the sender's clock.
struct StrikeMessage {
    RequestFingerprint fingerprint;
    CrashId crash;
    base::Duration remaining {};
};

enum class QuarantineState {
    Unrestricted,
    // Runs only with nothing else in flight on its upstream.
    Isolated,
    Refused,
};

struct QuarantineSettings {
    base::Duration strikeLifetime = std::chrono::minutes(10);
    size_t maximumStrikes = 4096;
    // Subtracted from the remaining time at each export, so that strikes exchanged in a loop still expire.
    base::Duration hopTimeReduction = std::chrono::seconds(1);
};

class Quarantine {
public:
    explicit Quarantine(QuarantineSettings);
    // Records a crash with these requests in flight. Returns the strikes to send to the peers.
    std::vector<StrikeMessage> onCrash(const CrashId&, const std::vector<RequestFingerprint>& inFlight, base::Instant now);
    void merge(const std::vector<StrikeMessage>&, base::Instant now);
    QuarantineState state(const RequestFingerprint&, base::Instant now) const;
    // Set if the request's state is Refused: NotRun, with the time from which the request may run in isolation again.
    std::optional<base::Refusal> refusal(const RequestFingerprint&, base::Instant now) const;
    // All strikes to send to a newly discovered peer, without those that would expire within hopTimeReduction.
    std::vector<StrikeMessage> exportStrikes(base::Instant now) const;
    void expire(base::Instant now);
    size_t size() const { return m_strikeCount; }

private:
    using Crashes = std::map<CrashId, base::Instant>;
    void add(const Strike&, base::Instant now);
    void evictOneFingerprint();

    QuarantineSettings m_settings;
    std::map<RequestFingerprint, Crashes> m_byFingerprint;
    size_t m_strikeCount = 0;
};

// Decides at a sidecar which requests may start, given those in flight.
//
// An isolated request starts only on an idle upstream, and nothing starts while it runs. Once such a request has waited for
// `maximumWait`, no other request starts until it has run. The wait of the next isolated request is counted only from then on,
// so other requests may start for `maximumWait` again. This prevents starvation of either kind and limits the share of the
// upstream that a caller with many suspected requests can take.
class IsolationGate {
public:
    explicit IsolationGate(base::Duration maximumWait);
    // To be called while an isolated request is queued that could start but for the gate.
    void isolatedRequestQueued(base::Instant now);
    // To be called when no such request is queued any more.
    void noIsolatedRequestQueued() { m_waitingSince.reset(); }
    bool mayStart(QuarantineState, int64_t inFlight, base::Instant now) const;
    void started(const base::RequestId&, QuarantineState);
    void ended(const base::RequestId&);
    bool isolatedRequestRunning() const { return m_isolatedRequest.has_value(); }

private:
    base::Duration m_maximumWait;
    std::optional<base::RequestId> m_isolatedRequest;
    std::optional<base::Instant> m_waitingSince;
};

} // namespace toucanstep::routing
