// Counters, gauges and distributions of one process, rendered as Prometheus text.
//
// Distributions keep count, sum and the estimates of Boost.Accumulators for the median, 95th and 99th percentile.
// All calls are safe from any thread.

#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace toucanstep::base {

class MetricsRegistry {
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry&) = delete;
    MetricsRegistry& operator=(const MetricsRegistry&) = delete;

    // `labels` is the inside of the braces of Prometheus text, for example `code="rate_limited"`; may be empty.
    void count(std::string_view name, std::string_view labels = {}, int64_t amount = 1);
    void gauge(std::string_view name, std::string_view labels, double value);
    void observe(std::string_view name, std::string_view labels, double value);

    int64_t counter(std::string_view name, std::string_view labels = {}) const;
    std::string render() const;

private:
    struct Distribution;
    struct SeriesKey {
        std::string name;
        std::string labels;
        auto operator<=>(const SeriesKey&) const = default;
    };

    mutable std::mutex m_mutex;
    std::map<SeriesKey, int64_t> m_counters;
    std::map<SeriesKey, double> m_gauges;
    std::map<SeriesKey, std::unique_ptr<Distribution>> m_distributions;
};

} // namespace toucanstep::base
