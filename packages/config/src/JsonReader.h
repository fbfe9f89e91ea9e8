// Reads JSON with comments and trailing commas into placed values.

#pragma once

#include "PlacedValue.h"
#include "toucanstep/base/Findings.h"

#include <optional>
#include <string_view>

namespace toucanstep::config::internal {

// Nothing, with one finding, where the text is not JSON. A member that occurs twice is a finding, and the value remains.
std::optional<PlacedValue> readJson(std::string_view file, std::string_view text, base::Findings&);

} // namespace toucanstep::config::internal
