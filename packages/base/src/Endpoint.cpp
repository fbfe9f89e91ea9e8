#include "toucanstep/base/Endpoint.h"

#include "toucanstep/base/Text.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>

namespace toucanstep::base {

namespace {

bool isAddress(const std::string& text, int family)
{
    in6_addr buffer {};
    return inet_pton(family, text.c_str(), &buffer) == 1;
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
    if (colon == std::string_view::npos || colon + 1 == text.size())
        return std::nullopt;
    uint32_t port = 0;
    if (!absl::SimpleAtoi(abslView(text.substr(colon + 1)), &port) || port > UINT16_MAX)
        return std::nullopt;
    std::string address(text.substr(0, colon));
    bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed)
        address = address.substr(1, address.size() - 2);
    if (!isAddress(address, bracketed ? AF_INET6 : AF_INET))
        return std::nullopt;
    return Endpoint { address, static_cast<uint16_t>(port) };
}

} // namespace toucanstep::base
