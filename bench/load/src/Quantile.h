// Quantiles of measured values, exact: Boost.Accumulators keeps the whole sample.

#pragma once

#include <optional>
#include <vector>

namespace toucanstep::bench {

// Nothing where there are no values. `part` lies between 0 and 1.
std::optional<double> quantile(const std::vector<double>& values, double part);

} // namespace toucanstep::bench
