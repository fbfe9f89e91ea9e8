// Building text with Abseil from standard string views.
//
// Debian builds Abseil with a string_view of its own that does not convert from std::string_view. Interfaces here use
// std::string_view; these helpers are the one place where the two meet.

#pragma once

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>
#include <string>
#include <string_view>

namespace toucanstep::base {

inline absl::string_view abslView(std::string_view text) { return absl::string_view(text.data(), text.size()); }
inline std::string_view stdView(absl::string_view text) { return std::string_view(text.data(), text.size()); }

namespace internal {

// Numbers are returned by value: the value() of a strong number is a temporary, and a reference to it would dangle.
template <typename Part>
decltype(auto) forAbseil(const Part& part)
{
    if constexpr (std::is_same_v<Part, std::string_view>)
        return abslView(part);
    else if constexpr (std::is_arithmetic_v<Part>)
        return Part(part);
    else if constexpr (requires { part.value(); })
        return forAbseil(part.value());
    else
        return (part);
}

} // namespace internal

// Joins texts, numbers and strong types. Like absl::StrCat.
template <typename... Parts>
std::string concat(const Parts&... parts)
{
    return absl::StrCat(internal::forAbseil(parts)...);
}

// Appends to `target`. Like absl::StrAppend.
template <typename... Parts>
void append(std::string& target, const Parts&... parts)
{
    absl::StrAppend(&target, internal::forAbseil(parts)...);
}

} // namespace toucanstep::base
