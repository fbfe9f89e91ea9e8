// Receives calls from other processes of the system, over nghttp2 streams.
//
// A call is one request message, answered by any number of messages and an end. Both sides prove that they know the
// fleet's secret before anything is exchanged (see Handshake.h). All calls are made on the event loop's thread.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/io/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace toucanstep::peers {

// The name of a call's kind, for example `run`. It becomes the path of the stream's request.
using Method = base::StrongId<struct MethodTag>;

// Who this process is, towards others.
struct PeerIdentity {
    base::InstanceId instance;
    std::string fleetSecret;
};

struct IncomingCall {
    Method method;
    base::InstanceId from;
    std::string body;
};

enum class CloseReason {
    // The caller wants no answer any more.
    Cancelled,
    // The connection is gone; the caller may come back on another one.
    ConnectionLost,
};

// The answering side of one call. Calls after the end, or after the caller has gone, do nothing.
class PeerResponder {
public:
    virtual ~PeerResponder() = default;
    virtual void send(std::string message) = 0;
    virtual void finish() = 0;
    // Ends the call so that the caller sees an error in place of an end.
    virtual void abort() = 0;
    virtual bool closed() const = 0;
    virtual size_t queuedBytes() const = 0;
    // Called once, when the caller cancels or its connection is lost before the end.
    virtual void onClosed(std::function<void(CloseReason)>) = 0;
};

class PeerServer {
public:
    using Handler = std::function<void(IncomingCall, std::shared_ptr<PeerResponder>)>;

    static base::Result<std::unique_ptr<PeerServer>> listen(io::EventLoop&, const base::Endpoint&, PeerIdentity, Handler);
    virtual ~PeerServer() = default;
    virtual base::Endpoint endpoint() const = 0;
    // Calls whose answers are not yet handed to the system whole. A planned stop waits for none to be left.
    virtual size_t openCalls() const = 0;
};

} // namespace toucanstep::peers
