#include "toucanstep/config/Nearest.h"

#include "toucanstep/base/Text.h"

#include <algorithm>
#include <numeric>

namespace toucanstep::config {

namespace {

// Names longer than this are not compared: the work grows with the product of the lengths, and an input may be hostile.
constexpr size_t longestCompared = 128;

// Two neighbouring characters that are exchanged are a distance of two. A name of which nothing is left is no slip.
size_t acceptedDistance(std::string_view name)
{
    size_t kept = name.empty() ? 0 : name.size() - 1;
    return std::min(kept, std::max<size_t>(2, name.size() / 3));
}

} // namespace

size_t editDistance(std::string_view left, std::string_view right)
{
    std::vector<size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), size_t { 0 });
    for (size_t i = 0; i < left.size(); ++i) {
        size_t diagonal = row[0];
        row[0] = i + 1;
        for (size_t j = 0; j < right.size(); ++j) {
            size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ replaced, row[j] + 1, diagonal + 1 });
        }
    }
    return row.back();
}

std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string>& candidates)
{
    if (name.size() > longestCompared)
        return std::nullopt;
    std::optional<std::string> nearest;
    size_t least = acceptedDistance(name) + 1;
    for (const std::string& candidate : candidates) {
        if (candidate.size() > longestCompared)
            continue;
        size_t distance = editDistance(name, candidate);
        if (distance < least) {
            least = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

std::string nearestSuggestion(std::string_view name, const std::vector<std::string>& candidates)
{
    auto nearest = nearestName(name, candidates);
    return nearest ? base::concat("did you mean \"", *nearest, "\"?") : std::string();
}

} // namespace toucanstep::config
