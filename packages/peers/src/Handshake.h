// How two processes prove to each other that they know the fleet's secret.
//
// The first stream of a connection exchanges nonces: the client sends its own, the server answers with its own and a
// proof over both. Each later call carries a proof over both nonces, a sequence number that only grows, and the whole
// request. A recorded call is therefore worth nothing on another connection or a second time on its own. The content is
// not encrypted; docs/design/security.md says what that leaves open.

#pragma once

#include "toucanstep/peers/PeerServer.h"

#include <string>
#include <string_view>

namespace toucanstep::peers::internal {

inline constexpr std::string_view handshakePath = "/handshake";
inline constexpr std::string_view nonceField = "x-nonce";
inline constexpr std::string_view proofField = "x-proof";
inline constexpr std::string_view instanceField = "x-instance";
inline constexpr std::string_view sequenceField = "x-sequence";

struct ConnectionNonces {
    std::string client;
    std::string server;
};

std::string makeNonce();
std::string serverProof(std::string_view secret, const ConnectionNonces&);
std::string callProof(std::string_view secret, const ConnectionNonces&, uint64_t sequence, const IncomingCall&);

} // namespace toucanstep::peers::internal
