// Base64 (RFC 4648) with padding, as the etcd JSON gateway writes keys and values.

#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::formats {

std::string encodeBase64(std::string_view bytes);

// Nothing where the text is not Base64.
std::optional<std::string> decodeBase64(std::string_view text);

} // namespace toucanstep::formats
