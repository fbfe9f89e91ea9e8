// The syntax of a response's head (RFC 9112), line by line: for readers whose libraries accept more.
//
// What a check returns says what is wrong, for the log; it is empty if nothing is.

#pragma once

#include <cstddef>
#include <string_view>

namespace toucanstep::http1 {

// The most that a response's head may count for, in bytes; far above what any upstream sends.
constexpr size_t maximumResponseHeadBytes = 64 * 1024;
// What a line counts for beside its bytes, as in RFC 9113, 6.5.2: a field takes memory of its own.
constexpr size_t headLineOverheadBytes = 32;

// A character of a token (RFC 9110, 5.6.2), as in the name of a field.
bool isTokenCharacter(char);
// A character that may stand in a line: a tab, or anything but control characters.
bool isTextCharacter(char);
bool isText(std::string_view);

// Both take a line without its end. A switch of protocols (101) is wrong as well, as none is ever asked for.
std::string_view faultOfStatusLine(std::string_view line);
std::string_view faultOfField(std::string_view line);

} // namespace toucanstep::http1
