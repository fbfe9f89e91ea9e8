// Copies of the store between gateways, as MessagePack.

#pragma once

#include "toucanstep/direct/Directory.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::direct {

std::string encodeCopy(const DirectoryCopy&);
// Nothing for bytes that are not a copy.
std::optional<DirectoryCopy> decodeCopy(std::string_view);

} // namespace toucanstep::direct
