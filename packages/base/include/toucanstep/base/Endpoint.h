// An IP number and a port: how processes of the system are reached.

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::base {

struct Endpoint {
    std::string address = "127.0.0.1";
    uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
    // `ADDRESS:PORT`, with brackets round an IPv6 number.
    std::string text() const;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const Endpoint& endpoint)
    {
        return Hash::combine(std::move(state), endpoint.address, endpoint.port);
    }
};

// Reads `ADDRESS:PORT`, where the address is an IPv4 number or a bracketed IPv6 number. Host names are not accepted.
std::optional<Endpoint> parseEndpoint(std::string_view);

} // namespace toucanstep::base
