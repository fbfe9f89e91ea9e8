// Reading MessagePack that comes from another process.

#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

namespace toucanstep::base {

// Parses one whole value. Gives a discarded value (is_discarded()) where the bytes are not MessagePack, go on after the
// value, or nest more deeply than `depth`: the library's parser calls itself for each level, so that a value of a few
// thousand nested arrays would otherwise end the process by its stack.
nlohmann::json parseMessagePack(std::string_view bytes, int depth);

} // namespace toucanstep::base
