// What gateway and sidecar tell one another about a call that may run only once, in MessagePack.

#pragma once

#include "toucanstep/base/Result.h"
#include "toucanstep/calls/Messages.h"

#include <string>
#include <string_view>

namespace toucanstep::node {

std::string encodeDispatch(const calls::CallDispatch&);
std::string encodeReply(const calls::CallReply&);

// Each fails with ErrorKind::Malformed where the bytes are not that message.
base::Result<calls::CallDispatch> decodeDispatch(std::string_view);
base::Result<calls::CallReply> decodeReply(std::string_view);

} // namespace toucanstep::node
