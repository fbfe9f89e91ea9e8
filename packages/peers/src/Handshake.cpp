#include "Handshake.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"

namespace toucanstep::peers::internal {

namespace {

constexpr size_t nonceBytes = 16;

} // namespace

std::string makeNonce()
{
    return base::randomHex(nonceBytes);
}

std::string serverProof(std::string_view secret, const ConnectionNonces& nonces)
{
    return base::hmacSha256Hex(secret, base::concat("server\n", nonces.client, "\n", nonces.server));
}

std::string callProof(std::string_view secret, const ConnectionNonces& nonces, uint64_t sequence, const IncomingCall& call)
{
    std::string head = base::concat("call\n", nonces.client, "\n", nonces.server, "\n", sequence, "\n");
    return base::hmacSha256Hex(secret, base::concat(head, call.method.value(), "\n", call.from.value(), "\n", call.body));
}

} // namespace toucanstep::peers::internal
