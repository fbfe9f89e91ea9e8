// Reading JSON that comes from outside: a missing member or one of another type reads as its zero, as in proto3's mapping.

#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::formats::internal {

using Json = nlohmann::json;

// Nothing where the text is not JSON.
std::optional<Json> parseJson(std::string_view text);

// A null value where there is none.
const Json& member(const Json&, const char* name);
std::string textMember(const Json&, const char* name);
bool flagMember(const Json&, const char* name);
// Takes numbers and, as proto3 writes 64-bit ones, numbers in quotes.
int64_t numberMember(const Json&, const char* name);

} // namespace toucanstep::formats::internal
