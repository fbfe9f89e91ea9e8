// Reads the operators' text: JSON with comments, with line and column for every value.
//
//     ParsedConfiguration parsed = parseConfiguration("fleet.json", text);
//     if (parsed.findings.hasErrors())
//         std::cerr << parsed.findings.render();

#pragma once

#include "toucanstep/base/Findings.h"
#include "toucanstep/config/Configuration.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace toucanstep::config {

// The most bytes that a text may have: the platform's key-value service holds values up to a megabyte.
inline constexpr size_t longestConfigurationText = 1'000'000;

struct ParsedConfiguration {
    // Present only when no finding is an error.
    std::shared_ptr<const Configuration> configuration;
    base::Findings findings;
};

// Parses and checks a whole text; all findings come back at once. `file` only names the text in findings.
ParsedConfiguration parseConfiguration(std::string_view file, std::string_view text, base::Revision version = {});

} // namespace toucanstep::config
