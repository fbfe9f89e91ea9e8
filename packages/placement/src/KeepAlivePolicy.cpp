#include "toucanstep/placement/KeepAlivePolicy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <optional>

namespace toucanstep::placement {

namespace {

// Idle gaps are counted in buckets whose bounds grow by a quarter, from a tenth of a second to more than an hour.
constexpr size_t bucketCount = 48;
constexpr double firstBound = 0.1;
constexpr double boundGrowth = 1.25;

double boundOf(size_t bucket) { return firstBound * std::pow(boundGrowth, static_cast<double>(bucket)); }

size_t bucketOf(double seconds)
{
    if (seconds <= firstBound)
        return 0;
    auto bucket = std::ceil(std::log(seconds / firstBound) / std::log(boundGrowth));
    return std::min(bucketCount - 1, static_cast<size_t>(bucket));
}

base::Duration fromSeconds(double seconds) { return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds)); }

// The idle gaps that one model has had, older ones counting less.
class GapHistory {
public:
    // Returns the bucket to which the callers that follow the gap are added.
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

    // A further caller that would wait for this part of a load if the model had been unloaded in the gap.
    void addWait(size_t bucket, double loadTimes) { m_buckets[bucket].waits += loadTimes; }

    int64_t count() const { return m_count; }

    // The time to keep the model for which the idle seconds, plus `loadCost` for each load time that callers would have
    // waited after longer gaps, are least.
    double cheapestKeep(double loadCost) const
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

    // The chance that a gap that has lasted `elapsed` ends within `horizon` more.
    double chanceOfEnd(double elapsed, double horizon) const
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
        // Load times that callers after these gaps would have waited.
        double waits = 0;
    };

    std::array<Bucket, bucketCount> m_buckets {};
    int64_t m_count = 0;
};

// Mean and deviation of the idle gaps, older ones counting less.
class GapSpread {
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

// Deviations before and after the mean gap within which a return is foreseen.
constexpr double deviationsBefore = 2;
constexpr double deviationsAfter = 4;
// Gaps that were all the same leave a window nevertheless, in seconds.
constexpr double leastDeviation = 0.5;

// Calls returns of a model within this many load times "soon".
constexpr double soonLoadTimes = 4;

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
            known.spread.add(gap, m_settings.decay);
            known.idleSince.reset();
            return;
        }
        // Had the gap before ended with a load, this caller would have waited for what is left of it.
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
        const auto* gaps = trusted(idle.model);
        auto seconds = gaps ? gaps->cheapestKeep(loadCost) : loadCost;
        return idle.idleSince + std::min(fromSeconds(seconds), m_settings.longest);
    }

    std::optional<ExpectedReturn> expectedReturn(const base::ModelId& model) const override
    {
        auto place = m_models.find(model);
        if (!trusted(model) || !place->second.idleSince)
            return std::nullopt;
        const auto& known = place->second;
        auto mean = known.spread.mean();
        auto deviation = known.spread.deviation();
        auto margin = std::max(deviation, leastDeviation);
        // A return that comes sooner than the load takes can't be prepared for.
        if (deviation > m_settings.maximumRelativeDeviation * mean || mean < 2 * base::toSeconds(known.loadTime))
            return std::nullopt;
        auto earliest = *known.idleSince + fromSeconds(mean - deviationsBefore * margin);
        return ExpectedReturn { earliest, *known.idleSince + fromSeconds(mean + deviationsAfter * margin) };
    }

    // The wait that unloading now is expected to cause, for each byte that it frees.
    double evictionCost(const IdleModel& idle, base::Instant now) const override
    {
        auto load = base::toSeconds(idle.loadTime);
        auto elapsed = base::toSeconds(now - idle.idleSince);
        auto horizon = soonLoadTimes * load;
        const auto* gaps = trusted(idle.model);
        auto chance = gaps ? gaps->chanceOfEnd(elapsed, horizon) : horizon / (horizon + elapsed + 1);
        return chance * load / static_cast<double>(std::max<int64_t>(1, idle.memory.value()));
    }

private:
    struct Known {
        GapHistory gaps;
        GapSpread spread;
        std::optional<base::Instant> idleSince;
        base::Duration loadTime {};
        // The last gap that ended, while callers that follow it are counted.
        std::optional<base::Instant> gapEnded;
        size_t gapBucket = 0;
    };

    const GapHistory* trusted(const base::ModelId& model) const
    {
        auto place = m_models.find(model);
        if (place == m_models.end() || place->second.gaps.count() < m_settings.gapsBeforeTrust)
            return nullptr;
        return &place->second.gaps;
    }

    LearntKeepAliveSettings m_settings;
    std::map<base::ModelId, Known> m_models;
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
    std::optional<ExpectedReturn> expectedReturn(const base::ModelId&) const override { return std::nullopt; }
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
