// Durations and sizes as operators write them: a whole number followed by its unit, for example "750ms" or "24GiB".

#pragma once

#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::config {

// The units that are understood, in the words of a message to the operator.
inline constexpr std::string_view durationUnits = "ms, s, m, h or d";
inline constexpr std::string_view sizeUnits = "B, KiB, MiB, GiB or TiB";

// Nothing where the number, or the unit, is missing or unknown, or where the value does not fit 64 bits.
std::optional<base::Duration> parseDuration(std::string_view);
std::optional<base::Bytes> parseSize(std::string_view);

// The shortest text that reads back as the same value; a duration is cut to whole milliseconds.
std::string formatDuration(base::Duration);
std::string formatSize(base::Bytes);

} // namespace toucanstep::config
