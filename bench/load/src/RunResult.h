// What one run of a scenario gave: one JSON object and one column of a table. A measure that the run can't give is null.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::bench {

struct RunResult {
    std::string scenario;
    uint64_t seed = 1;
    // `product`, or the name of a baseline.
    std::string variant;
    std::string version;
    std::optional<double> coldStartP50Milliseconds;
    std::optional<double> coldStartP95Milliseconds;
    std::optional<double> coldStartP99Milliseconds;
    // The 99th percentile of cold start over the store's bare load time for the same checkpoint and tier.
    std::optional<double> coldStartP99Ratio;
    std::optional<double> idleAcceleratorRatio;
    std::optional<double> worstAccount;
    std::optional<double> wrongfulRefusals;
    std::optional<int64_t> boundBreaks;
    std::optional<int64_t> requests;
    std::optional<int64_t> answered;
    std::optional<int64_t> refused;
    std::optional<int64_t> cut;
    double durationSeconds = 0;
    // What only this scenario measures, for example crashes of upstreams, by name.
    std::map<std::string, double> extra;
    // Not part of the JSON: what broke, to be printed.
    std::vector<std::string> breaks;
};

// One line.
std::string toJson(const RunResult&);
// Nothing where the line is no result.
std::optional<RunResult> resultFromJson(std::string_view line);
// One row for each measure, one column for each run.
std::string renderTable(const std::vector<RunResult>&);
// One HTML page with a table and an SVG bar plot for each measure that any run gives.
std::string renderReport(const std::vector<RunResult>&);

} // namespace toucanstep::bench
