// Estimates how long work takes at each upstream now, relative to usual.
//
// Load pattern: upstreams of one service differ in speed by a factor of 2 to 3 for good, and each becomes 2.5 times as slow for about
// half a second now and then. A gateway gets a few answers per second of each upstream at best, and several gateways choose at once.
// The estimate has two parts: a mean over half a minute, and the deviation of the last second, which ends with its age.
// Both start from usual with a weight of one answer, so that a single fresh figure moves a gateway by half and figures that have
// aged count for nothing.
//
// An upstream states its speed in its answers. The times of its answers, relative to the median of the service, are measured too:
// they count less than what it states, and instead of it once they have contradicted it for a while. An upstream that has
// never stated a speed is usual.
//
// Each upstream of a service that states speeds gets trial calls, so that an estimate that is too high is corrected.

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/serving/Upstream.h"
#include "toucanstep/upstreams/Imports.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <array>
#include <functional>
#include <optional>

namespace toucanstep::upstreams {

// Mean of values whose weights decay with their age.
class DecayingMean {
public:
    DecayingMean(base::Duration timeConstant, double maxWeight);
    void add(double value, base::Instant now);
    // The number of values, each less the older it is.
    double weight(base::Instant now) const;
    double mean() const { return m_mean; }

private:
    double m_timeConstant;
    double m_maxWeight;
    double m_weight = 0;
    double m_mean = 1;
    base::Instant m_asOf;
};

// Follows the median of a series of positive values in small steps.
class RunningMedian {
public:
    void add(double value);
    // 0 without values.
    double value() const { return m_value; }

private:
    double m_value = 0;
    double m_values = 0;
};

// Measured at the first event of an answer.
struct StartedAnswer {
    base::Tokens prompt;
    base::Duration sinceSent {};
    // Calls at the upstream whose answers had not begun when the call was sent; their prompts go first.
    int64_t awaitingBefore = 0;
};

// Measured at the end of an answer that was streamed.
struct EndedAnswer {
    // From the first event to the last, and the bytes received meanwhile. Bytes do not depend on how many events a gateway reads at once.
    base::Duration streamed {};
    int64_t bytes = 0;
};

class UpstreamSpeeds {
public:
    void onStated(const base::ServiceId&, const base::UpstreamId&, StartId, const StatedLoad&, base::Instant now);
    // What it states cannot be read. Returns whether that is the first time for the upstream.
    bool onUnreadable(const base::UpstreamId&);
    // Both return whether it has changed that answers contradict what the upstream states, see isContradicted().
    bool onAnswerStarted(const base::UpstreamId&, StartId, const StartedAnswer&, base::Instant now);
    bool onAnswerEnded(const base::UpstreamId&, StartId, const EndedAnswer&, base::Instant now);
    // A call is sent. Returns whether the upstream was due for a trial call.
    bool onCall(const base::ServiceId&, const base::UpstreamId&, StartId, base::Instant now);
    // Drops the upstreams that are not listed.
    void expire(const std::function<bool(const base::UpstreamId&)>& isListed);

    // How long work takes relative to usual, from minFactor to maxFactor; exactly 1 for an upstream that has stated no speed.
    double workFactor(const base::UpstreamId&, StartId, base::Instant now) const;
    bool hasStated(const base::ServiceId& service) const { return m_services.contains(service); }
    // That start of the upstream has stated a speed.
    bool hasStated(const base::UpstreamId&, StartId) const;
    bool isContradicted(const base::UpstreamId&, StartId) const;
    // When the upstream was last sent a call, long ago for one that never was, if it is due for a trial call.
    std::optional<base::Instant> trialDueSince(const base::ServiceId&, const base::UpstreamId&, StartId, base::Instant now) const;
    size_t size() const { return m_records.size(); }

    static constexpr double minFactor = 0.25;
    static constexpr double maxFactor = 8;
    // At most one of so many calls of a service is a trial call.
    static constexpr int64_t callsPerTrial = 20;
    // An upstream that has had a call within this time needs no trial.
    static constexpr base::Duration trialInterval = std::chrono::seconds(10);

private:
    struct Record {
        explicit Record(StartId);

        StartId start;
        base::ServiceId service;
        bool hasStated = false;
        DecayingMean stated;
        DecayingMean statedLately;
        DecayingMean measured;
        int64_t callsSinceStated = 0;
        std::optional<base::Instant> lastCall;
        std::optional<base::Instant> contradictedSince;
        bool contradicted = false;
    };
    // Of prompts from 2^n to 2^(n+1) tokens.
    static constexpr size_t promptSizes = 24;
    struct Service {
        std::array<RunningMedian, promptSizes> startTimes;
        // For one byte of a stream.
        RunningMedian byteTimes;
        RunningMedian stated;
        int64_t callsSinceTrial = 0;
    };

    Record& recordOf(const base::UpstreamId&, StartId);
    const Record* find(const base::UpstreamId&, StartId) const;
    // Adds a time relative to the median of its kind.
    bool addMeasured(Record&, RunningMedian&, double seconds, base::Instant now);
    // What was measured, in the unit of what upstreams of the service state.
    double measuredFactor(const Record&) const;
    bool updateContradiction(Record&, base::Instant now);

    absl::flat_hash_map<base::UpstreamId, Record> m_records;
    // Those of which an upstream has stated a speed.
    absl::flat_hash_map<base::ServiceId, Service> m_services;
    absl::flat_hash_set<base::UpstreamId> m_unreadable;
};

} // namespace toucanstep::upstreams
