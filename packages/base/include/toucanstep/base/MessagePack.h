// Reading MessagePack that comes from another process.

#pragma once

#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace toucanstep::base {

// Parses one whole value. Gives a discarded value (is_discarded()) where the bytes are not MessagePack, go on after the
// value, or nest more deeply than `depth`: the library's parser calls itself for each level, so that a value of a few
// thousand nested arrays would otherwise end the process by its stack.
nlohmann::json parseMessagePack(std::string_view bytes, int depth);

// What `decode` makes of the value; nothing where the bytes are no such value. The library throws on values of another
// type, and `decode` may throw on those that do not fit.
template <typename Result, typename Decode>
std::optional<Result> decodeMessagePack(std::string_view bytes, int depth, const Decode& decode)
{
    nlohmann::json value = parseMessagePack(bytes, depth);
    if (value.is_discarded())
        return std::nullopt;
    try {
        return decode(value);
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace toucanstep::base
