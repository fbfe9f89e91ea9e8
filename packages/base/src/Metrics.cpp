#include "toucanstep/base/Metrics.h"

#include "toucanstep/base/Text.h"
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace toucanstep::base {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };

using DistributionSet = accumulators::accumulator_set<double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::extended_p_square>>;

std::string series(const std::string& name, const std::string& labels, const std::string& extra)
{
    if (labels.empty() && extra.empty())
        return name;
    const char* separator = labels.empty() || extra.empty() ? "" : ",";
    return concat(name, "{", labels, separator, extra, "}");
}

} // namespace

struct MetricsRegistry::Distribution {
    DistributionSet set { accumulators::extended_p_square_probabilities = quantiles };
};

MetricsRegistry::MetricsRegistry() = default;
MetricsRegistry::~MetricsRegistry() = default;

void MetricsRegistry::count(std::string_view name, std::string_view labels, int64_t amount)
{
    std::lock_guard lock(m_mutex);
    m_counters[SeriesKey { std::string(name), std::string(labels) }] += amount;
}

void MetricsRegistry::gauge(std::string_view name, std::string_view labels, double value)
{
    std::lock_guard lock(m_mutex);
    m_gauges[SeriesKey { std::string(name), std::string(labels) }] = value;
}

void MetricsRegistry::observe(std::string_view name, std::string_view labels, double value)
{
    std::lock_guard lock(m_mutex);
    auto& slot = m_distributions[SeriesKey { std::string(name), std::string(labels) }];
    if (!slot)
        slot = std::make_unique<Distribution>();
    slot->set(value);
}

int64_t MetricsRegistry::counter(std::string_view name, std::string_view labels) const
{
    std::lock_guard lock(m_mutex);
    auto found = m_counters.find(SeriesKey { std::string(name), std::string(labels) });
    return found == m_counters.end() ? 0 : found->second;
}

std::string MetricsRegistry::render() const
{
    std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto& [key, value] : m_counters)
        append(text, series(key.name, key.labels, ""), " ", value, "\n");
    for (const auto& [key, value] : m_gauges)
        append(text, series(key.name, key.labels, ""), " ", value, "\n");
    for (const auto& [key, distribution] : m_distributions) {
        auto estimates = accumulators::extended_p_square(distribution->set);
        for (size_t index = 0; index < quantiles.size(); ++index)
            append(text, series(key.name, key.labels, concat("quantile=\"", quantiles[index], "\"")), " ", estimates[index], "\n");
        append(text, series(key.name + "_sum", key.labels, ""), " ", accumulators::sum(distribution->set), "\n");
        append(text, series(key.name + "_count", key.labels, ""), " ", accumulators::count(distribution->set), "\n");
    }
    return text;
}

} // namespace toucanstep::base
