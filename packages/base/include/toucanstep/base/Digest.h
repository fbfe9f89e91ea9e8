// Digests and message authentication, from OpenSSL.

#pragma once

#include <string>
#include <string_view>

namespace toucanstep::base {

// SHA-256 in lower-case hexadecimal, 64 characters.
std::string sha256Hex(std::string_view);

// HMAC-SHA-256 in lower-case hexadecimal, 64 characters.
std::string hmacSha256Hex(std::string_view key, std::string_view message);

// Compares in a time that depends on the lengths only, so that an answer's delay tells nothing about a secret.
bool equalInConstantTime(std::string_view left, std::string_view right);

// Random bytes from the operating system in lower-case hexadecimal, two characters a byte.
std::string randomHex(size_t bytes);

} // namespace toucanstep::base
