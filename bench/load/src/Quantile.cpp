#include "Quantile.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>

namespace toucanstep::bench {

namespace {

namespace accumulators = boost::accumulators;

template <typename Side>
double quantileFrom(const std::vector<double>& values, double part)
{
    using Features = accumulators::stats<accumulators::tag::tail_quantile<Side>>;
    accumulators::accumulator_set<double, Features> sample(accumulators::tag::tail<Side>::cache_size = values.size());
    for (double value : values)
        sample(value);
    return accumulators::quantile(sample, accumulators::quantile_probability = part);
}

} // namespace

// Boost gives no number for the far end of a tail, so each half is counted from its own side.
std::optional<double> quantile(const std::vector<double>& values, double part)
{
    constexpr double middle = 0.5;
    if (values.empty())
        return std::nullopt;
    if (values.size() == 1)
        return values.front();
    return part <= middle ? quantileFrom<accumulators::left>(values, part) : quantileFrom<accumulators::right>(values, part);
}

} // namespace toucanstep::bench
