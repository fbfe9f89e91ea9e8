#include "toucanstep/placement/KeepAlivePolicy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <optional>

namespace toucanstep::placement {

namespace {

// Histogram buckets for idle gaps: upper bounds grow by 25% each, from 0.1 s to about an hour; the last bucket is open-ended.
constexpr size_t bucketCount = 48;
constexpr double firstBoundSeconds = 0.1;
constexpr double boundGrowth = 1.25;

double boundOf(size_t bucket) { return firstBoundSeconds * std::pow(boundGrowth, static_cast<double>(bucket)); }

size_t bucketOf(double seconds)
{
    if (seconds <= firstBoundSeconds)
        return 0;
    auto bucket = std::ceil(std::log(seconds / firstBoundSeconds) / std::log(boundGrowth));
    return std::min(bucketCount - 1, static_cast<size_t>(bucket));
}

base::Duration fromSeconds(double seconds) { return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds)); }

// Exponentially decayed histogram of one model's idle gaps.
class GapHistory {
public:
    // Returns the gap's bucket, to which addWait() adds the callers that arrive after the gap.
    size_t add(double seconds, double decay)
    {
        for (auto& bucket : m_buckets) {
            bucket.gaps *= decay;
            bucket.waits *= decay;
        }
        auto index = bucketOf(seconds);
        m_buckets[index].gaps += 1;
        m_buckets[index].waits += 1;
        ++m_count;
        return index;
    }

    // Adds a caller that would have waited for this fraction of a load if the model had been unloaded during the gap.
    void addWait(size_t bucket, double loadTimes) { m_buckets[bucket].waits += loadTimes; }

    int64_t count() const { return m_count; }

    // The keep-alive time with the lowest total cost: the idle seconds, plus `loadCost` for each full load time that callers
    // would have waited after longer gaps.
    double cheapestKeepAliveSeconds(double loadCost) const
    {
        Bucket longer;
        for (const auto& bucket : m_buckets) {
            longer.gaps += bucket.gaps;
            longer.waits += bucket.waits;
        }
        double idleOfShorter = 0;
        double best = 0;
        double bestCost = longer.waits * loadCost;
        for (size_t index = 0; index + 1 < bucketCount; ++index) {
            longer.gaps -= m_buckets[index].gaps;
            longer.waits -= m_buckets[index].waits;
            idleOfShorter += m_buckets[index].gaps * boundOf(index);
            auto cost = idleOfShorter + longer.gaps * boundOf(index) + longer.waits * loadCost;
            if (cost >= bestCost)
                continue;
            bestCost = cost;
            best = boundOf(index);
        }
        return best;
    }

    // The probability that a gap that has lasted `elapsed` ends within `horizon` more.
    double probabilityOfEnd(double elapsed, double horizon) const
    {
        double longer = 0;
        double within = 0;
        for (auto index = bucketOf(elapsed); index < bucketCount; ++index) {
            longer += m_buckets[index].gaps;
            if (boundOf(index) <= elapsed + horizon)
                within += m_buckets[index].gaps;
        }
        return longer > 0 ? within / longer : 0;
    }

private:
    struct Bucket {
        double gaps = 0;
        // Total wait of the callers after these gaps if the model had been unloaded, in load times.
        double waits = 0;
    };

    std::array<Bucket, bucketCount> m_buckets {};
    int64_t m_count = 0;
};

// Exponentially decayed mean and standard deviation of idle gaps.
class GapStatistics {
public:
    void add(double seconds, double decay)
    {
        m_weight = m_weight * decay + 1;
        auto offset = seconds - m_mean;
        m_mean += offset / m_weight;
        m_squares = m_squares * decay + offset * (seconds - m_mean);
    }

    double mean() const { return m_mean; }
    double deviation() const { return m_weight > 0 ? std::sqrt(m_squares / m_weight) : 0; }

private:
    double m_weight = 0;
    double m_mean = 0;
    double m_squares = 0;
};

// Prediction window around the mean gap, in standard deviations.
constexpr double deviationsBefore = 2;
constexpr double deviationsAfter = 4;
// Lower bound, so that identical gaps don't yield an empty window.
constexpr double minimumDeviationSeconds = 0.5;

// evictionCost() estimates the probability of a request within this many load times.
constexpr double evictionHorizonLoadTimes = 4;

class LearntKeepAlive final : public KeepAlivePolicy {
public:
    explicit LearntKeepAlive(LearntKeepAliveSettings settings)
        : m_settings(settings)
    {
    }

    void onRequest(const base::ModelId& model, base::Instant now) override
    {
        auto& known = m_models[model];
        if (known.idleSince) {
            known.gapEnded = now;
            auto gap = base::toSeconds(now - *known.idleSince);
            known.gapBucket = known.gaps.add(gap, m_settings.decay);
            known.statistics.add(gap, m_settings.decay);
            known.idleSince.reset();
            return;
        }
        // If the model had been reloaded at the end of the gap, this caller would have waited for the rest of the load.
        if (known.gapEnded && now < *known.gapEnded + known.loadTime)
            known.gaps.addWait(known.gapBucket, 1 - base::toSeconds(now - *known.gapEnded) / base::toSeconds(known.loadTime));
    }

    void onIdle(const IdleModel& idle) override
    {
        auto& known = m_models[idle.model];
        known.loadTime = idle.loadTime;
        if (!known.idleSince)
            known.idleSince = idle.idleSince;
    }

    void forget(const base::ModelId& model) override { m_models.erase(model); }

    base::Instant keepUntil(const IdleModel& idle) const override
    {
        auto loadCost = m_settings.idleSecondsPerWaitSecond * base::toSeconds(idle.loadTime);
        const auto* gaps = trustedGaps(idle.model);
        auto seconds = gaps ? gaps->cheapestKeepAliveSeconds(loadCost) : loadCost;
        return idle.idleSince + std::min(fromSeconds(seconds), m_settings.maximumKeepAlive);
    }

    std::optional<PredictedRequest> predictNextRequest(const base::ModelId& model) const override
    {
        auto place = m_models.find(model);
        if (!trustedGaps(model) || !place->second.idleSince)
            return std::nullopt;
        const auto& known = place->second;
        auto mean = known.statistics.mean();
        auto deviation = known.statistics.deviation();
        auto margin = std::max(deviation, minimumDeviationSeconds);
        // A request that arrives sooner than a load takes can't be preloaded for.
        if (deviation > m_settings.maximumRelativeDeviation * mean || mean < 2 * base::toSeconds(known.loadTime))
            return std::nullopt;
        auto earliest = *known.idleSince + fromSeconds(mean - deviationsBefore * margin);
        return PredictedRequest { earliest, *known.idleSince + fromSeconds(mean + deviationsAfter * margin) };
    }

    // The expected wait caused by unloading the model now, per byte freed.
    double evictionCost(const IdleModel& idle, base::Instant now) const override
    {
        auto load = base::toSeconds(idle.loadTime);
        auto elapsed = base::toSeconds(now - idle.idleSince);
        auto horizon = evictionHorizonLoadTimes * load;
        const auto* gaps = trustedGaps(idle.model);
        auto probability = gaps ? gaps->probabilityOfEnd(elapsed, horizon) : horizon / (horizon + elapsed + 1);
        return probability * load / static_cast<double>(std::max<int64_t>(1, idle.memory.value()));
    }

private:
    struct ModelHistory {
        GapHistory gaps;
        GapStatistics statistics;
        std::optional<base::Instant> idleSince;
        base::Duration loadTime {};
        // End and bucket of the last gap; callers that arrive within one load time after it are counted.
        std::optional<base::Instant> gapEnded;
        size_t gapBucket = 0;
    };

    const GapHistory* trustedGaps(const base::ModelId& model) const
    {
        auto place = m_models.find(model);
        if (place == m_models.end() || place->second.gaps.count() < m_settings.minimumGapSamples)
            return nullptr;
        return &place->second.gaps;
    }

    LearntKeepAliveSettings m_settings;
    std::map<base::ModelId, ModelHistory> m_models;
};

class FixedKeepAlive final : public KeepAlivePolicy {
public:
    explicit FixedKeepAlive(base::Duration keep)
        : m_keep(keep)
    {
    }

    void onRequest(const base::ModelId&, base::Instant) override { }
    void onIdle(const IdleModel&) override { }
    void forget(const base::ModelId&) override { }
    std::optional<PredictedRequest> predictNextRequest(const base::ModelId&) const override { return std::nullopt; }
    base::Instant keepUntil(const IdleModel& idle) const override { return idle.idleSince + m_keep; }

    double evictionCost(const IdleModel& idle, base::Instant now) const override { return -base::toSeconds(now - idle.idleSince); }

private:
    base::Duration m_keep;
};

} // namespace

std::unique_ptr<KeepAlivePolicy> makeLearntKeepAlive(LearntKeepAliveSettings settings)
{
    return std::make_unique<LearntKeepAlive>(settings);
}

std::unique_ptr<KeepAlivePolicy> makeFixedKeepAlive(base::Duration keep)
{
    return std::make_unique<FixedKeepAlive>(keep);
}

} // namespace toucanstep::placement
