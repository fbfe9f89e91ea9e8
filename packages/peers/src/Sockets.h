// Non-blocking TCP sockets by IP number.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/Result.h"

namespace toucanstep::peers::internal {

base::Result<int> listenOn(const base::Endpoint&);
// Begins to connect; the socket becomes writable once connected.
base::Result<int> beginConnect(const base::Endpoint&);
// Accepts one waiting connection; negative where none waits.
int acceptFrom(int listener);
base::Endpoint localEndpoint(int socket);

} // namespace toucanstep::peers::internal
