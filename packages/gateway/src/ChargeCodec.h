// The messages by which gateways charge one another's shares, in MessagePack.

#pragma once

#include "toucanstep/base/Result.h"
#include "toucanstep/limits/Messages.h"

#include <string>
#include <string_view>

namespace toucanstep::gateway::internal {

std::string encode(const limits::ChargeMessage&);
std::string encode(const limits::ChargeReply&);
std::string encode(const limits::Handover&);

// Each fails with ErrorKind::Malformed where the bytes are not that message.
base::Result<limits::ChargeMessage> decodeChargeMessage(std::string_view);
base::Result<limits::ChargeReply> decodeChargeReply(std::string_view);
base::Result<limits::Handover> decodeHandover(std::string_view);

} // namespace toucanstep::gateway::internal
