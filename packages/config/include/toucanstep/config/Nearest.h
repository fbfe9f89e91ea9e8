// The nearest known name to one that is not known, for messages that propose what was meant.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::config {

// How many single-character insertions, deletions and replacements turn one text into the other.
size_t editDistance(std::string_view, std::string_view);

// The candidate with the least distance, or nothing where even that one is too far to be what was meant.
std::optional<std::string> nearestName(std::string_view name, const std::vector<std::string>& candidates);

// "did you mean \"NAME\"?", or an empty text.
std::string nearestSuggestion(std::string_view name, const std::vector<std::string>& candidates);

} // namespace toucanstep::config
