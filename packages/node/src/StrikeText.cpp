#include "toucanstep/node/StrikeText.h"

#include "toucanstep/base/Text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <vector>

namespace toucanstep::node {

std::string strikeText(const routing::StrikeMessage& strike)
{
    return base::concat(strike.fingerprint, " ", strike.crash, " ", base::toMilliseconds(strike.remaining));
}

std::optional<routing::StrikeMessage> parseStrike(std::string_view text)
{
    constexpr size_t partCount = 3;
    std::vector<std::string> parts = absl::StrSplit(base::abslView(text), ' ');
    int64_t milliseconds = 0;
    if (parts.size() != partCount || parts[0].empty() || parts[1].empty() || !absl::SimpleAtoi(parts[2], &milliseconds) || milliseconds < 0)
        return std::nullopt;
    return routing::StrikeMessage { routing::RequestFingerprint(parts[0]), routing::CrashId(parts[1]), std::chrono::milliseconds(milliseconds) };
}

} // namespace toucanstep::node
