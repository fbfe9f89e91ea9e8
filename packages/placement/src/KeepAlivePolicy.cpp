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
    void add(double seconds, double decay)
    {
        for (auto& weight : m_weights)
            weight *= decay;
        m_weights[bucketOf(seconds)] += 1;
        ++m_count;
    }

    int64_t count() const { return m_count; }

    // The time to keep the model for which idle seconds plus `loadCost` for each gap that was longer are least.
    double cheapestKeep(double loadCost) const
    {
        double longer = total();
        double idleOfShorter = 0;
        double best = 0;
        double bestCost = longer * loadCost;
        for (size_t bucket = 0; bucket + 1 < bucketCount; ++bucket) {
            longer -= m_weights[bucket];
            idleOfShorter += m_weights[bucket] * boundOf(bucket);
            auto cost = idleOfShorter + longer * (boundOf(bucket) + loadCost);
            if (cost >= bestCost)
                continue;
            bestCost = cost;
            best = boundOf(bucket);
        }
        return best;
    }

    // The chance that a gap that has lasted `elapsed` ends within `horizon` more.
    double chanceOfEnd(double elapsed, double horizon) const
    {
        double longer = 0;
        double within = 0;
        for (auto bucket = bucketOf(elapsed); bucket < bucketCount; ++bucket) {
            longer += m_weights[bucket];
            if (boundOf(bucket) <= elapsed + horizon)
                within += m_weights[bucket];
        }
        return longer > 0 ? within / longer : 0;
    }

private:
    double total() const
    {
        double sum = 0;
        for (auto weight : m_weights)
            sum += weight;
        return sum;
    }

    std::array<double, bucketCount> m_weights {};
    int64_t m_count = 0;
};

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
        if (!known.idleSince)
            return;
        known.gaps.add(base::toSeconds(now - *known.idleSince), m_settings.decay);
        known.idleSince.reset();
    }

    void onIdle(const base::ModelId& model, base::Instant now) override { m_models[model].idleSince = now; }

    void forget(const base::ModelId& model) override { m_models.erase(model); }

    base::Instant keepUntil(const IdleModel& idle) const override
    {
        auto loadCost = m_settings.idleSecondsPerWaitSecond * base::toSeconds(idle.loadTime);
        const auto* gaps = trusted(idle.model);
        auto seconds = gaps ? gaps->cheapestKeep(loadCost) : loadCost;
        return idle.idleSince + std::min(fromSeconds(seconds), m_settings.longest);
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
        std::optional<base::Instant> idleSince;
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
    void onIdle(const base::ModelId&, base::Instant) override { }
    void forget(const base::ModelId&) override { }
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
