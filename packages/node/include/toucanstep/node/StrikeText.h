// Strikes against requests as they ride in the hints of membership messages: `FINGERPRINT CRASH MILLISECONDS`.

#pragma once

#include "toucanstep/routing/Quarantine.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::node {

std::string strikeText(const routing::StrikeMessage&);
// Nothing where the text is not a strike.
std::optional<routing::StrikeMessage> parseStrike(std::string_view);

} // namespace toucanstep::node
