// Keeps a request that crashes upstreams from crashing more of them.
//
// All requests in flight at a crash get a strike that names the crash. A fingerprint with strikes of one crash runs alone
// on an upstream; with strikes of two crashes it is refused everywhere until its strikes expire. Strikes travel as
// messages; merging them is commutative and idempotent. The set is bounded.

#pragma once

#include "toucanstep/base/Refusal.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/routing/Ids.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace toucanstep::routing {

// One crash of one upstream: its id with a number that grows with each crash seen by its sidecar.
using CrashId = base::StrongId<struct CrashIdTag>;

struct Strike {
    RequestFingerprint fingerprint;
    CrashId crash;
    base::Instant expires;
};

// A strike between processes: the time that remains travels.
struct StrikeMessage {
    RequestFingerprint fingerprint;
    CrashId crash;
    base::Duration remaining {};
};

enum class QuarantineState {
    Unrestricted,
    // Must run with nothing else in flight on its upstream.
    Isolated,
    Refused,
};

struct QuarantineSettings {
    base::Duration strikeLifetime = std::chrono::minutes(10);
    size_t maximumStrikes = 4096;
    // Taken off the remaining time at each export, so that strikes passed around in a circle die out.
    base::Duration hopAllowance = std::chrono::seconds(1);
};

class Quarantine {
public:
    explicit Quarantine(QuarantineSettings);
    // The upstream crashed with these requests in flight. Returns what has to be told to the peers.
    std::vector<StrikeMessage> onCrash(const CrashId&, const std::vector<RequestFingerprint>& inFlight, base::Instant now);
    void merge(const std::vector<StrikeMessage>&, base::Instant now);
    QuarantineState state(const RequestFingerprint&, base::Instant now) const;
    // The refusal of a request whose state is Refused: NotRun, with the time at which a strike expires.
    std::optional<base::Refusal> refusal(const RequestFingerprint&, base::Instant now) const;
    // All living strikes, for a peer that has just been met.
    std::vector<StrikeMessage> exportStrikes(base::Instant now) const;
    void expire(base::Instant now);
    size_t size() const { return m_strikes; }

private:
    using Crashes = std::map<CrashId, base::Instant>;
    void add(const Strike&, base::Instant now);
    void dropOne();

    QuarantineSettings m_settings;
    std::map<RequestFingerprint, Crashes> m_byFingerprint;
    size_t m_strikes = 0;
};

// Decides at a sidecar which requests may start next to those in flight.
//
// A request that must run alone starts only on an idle upstream, and nothing starts beside it. Once such a request has
// waited for `patience`, nothing else starts until it has run; then others get at least `patience` again. So neither
// starves, and a caller with many suspected requests takes a bounded part of the upstream.
class IsolationGate {
public:
    explicit IsolationGate(base::Duration patience);
    // A request that must run alone is queued and could start otherwise.
    void isolatedRequestQueued(base::Instant now);
    // No such request is queued any more.
    void noIsolatedRequestQueued() { m_waitingSince.reset(); }
    bool mayStart(QuarantineState, int64_t inFlight, base::Instant now) const;
    void started(const base::RequestId&, QuarantineState);
    void ended(const base::RequestId&);
    bool isolatedRequestRunning() const { return m_alone.has_value(); }

private:
    base::Duration m_patience;
    std::optional<base::RequestId> m_alone;
    std::optional<base::Instant> m_waitingSince;
};

} // namespace toucanstep::routing
