#include "toucanstep/base/Endpoint.h"

#include "toucanstep/base/Text.h"

#include <arpa/inet.h>
#include <charconv>

namespace toucanstep::base {

namespace {

bool isAddress(const std::string& text, int family)
{
    in6_addr buffer {};
    return inet_pton(family, text.c_str(), &buffer) == 1;
}

std::optional<uint16_t> parsePort(std::string_view text)
{
    uint16_t port = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    return error == std::errc {} && end == text.data() + text.size() ? std::optional(port) : std::nullopt;
}

} // namespace

std::string Endpoint::text() const
{
    bool bracketed = address.find(':') != std::string::npos;
    return bracketed ? concat("[", address, "]:", port) : concat(address, ":", port);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto port = parsePort(text.substr(colon + 1));
    if (!port)
        return std::nullopt;
    std::string address(text.substr(0, colon));
    bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed)
        address = address.substr(1, address.size() - 2);
    if (!isAddress(address, bracketed ? AF_INET6 : AF_INET))
        return std::nullopt;
    return Endpoint { std::move(address), *port };
}

} // namespace toucanstep::base
