// A straight line through measured points, and how far they lie from it.
//
//     SlopeFit fit("reads_per_s", "nodes");
//     fit.add(4, 5.3);
//     std::cout << fit.json().dump();

#pragma once

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace toucanstep::bench {

class SlopeFit {
public:
    SlopeFit(std::string what, std::string against)
        : m_what(std::move(what))
        , m_against(std::move(against))
    {
    }

    void add(double size, double value) { m_points.emplace_back(size, value); }

    // Least squares over the points. The residual is the largest distance of a point from the line.
    nlohmann::json json() const
    {
        double count = static_cast<double>(m_points.size());
        double sumSize = 0;
        double sumValue = 0;
        double sumSquare = 0;
        double sumProduct = 0;
        for (const auto& [size, value] : m_points) {
            sumSize += size;
            sumValue += value;
            sumSquare += size * size;
            sumProduct += size * value;
        }
        double slope = (count * sumProduct - sumSize * sumValue) / (count * sumSquare - sumSize * sumSize);
        double intercept = (sumValue - slope * sumSize) / count;
        double residual = 0;
        nlohmann::json points = nlohmann::json::array();
        for (const auto& [size, value] : m_points) {
            residual = std::max(residual, std::abs(value - intercept - slope * size));
            points.push_back({ size, value });
        }
        return { { "fit", m_what }, { "against", m_against }, { "slope", slope }, { "intercept", intercept }, { "largest_residual", residual }, { "points", points } };
    }

private:
    std::string m_what;
    std::string m_against;
    std::vector<std::pair<double, double>> m_points;
};

} // namespace toucanstep::bench
