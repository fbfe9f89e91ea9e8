// MessagePack encoding of the store copies that gateways exchange.

#pragma once

#include "toucanstep/direct/Directory.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::direct {

std::string encodeCopy(const DirectoryCopy&);
// Returns nothing for malformed input.
std::optional<DirectoryCopy> decodeCopy(std::string_view);

} // namespace toucanstep::direct
