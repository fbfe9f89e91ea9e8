// Calls other processes of the system, over nghttp2 streams.
//
// One connection is kept for each target. While a call waits on it the connection is probed with PING; one that does not
// answer in time is abandoned, its calls end with an error, and the next call opens a new one. All calls are made on the
// event loop's thread.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/io/EventLoop.h"
#include "toucanstep/peers/PeerServer.h"

#include <memory>
#include <optional>
#include <string>

namespace toucanstep::peers {

// Hears one call; onEnd comes exactly once, last.
class PeerCallListener {
public:
    virtual ~PeerCallListener() = default;
    virtual void onMessage(std::string message) = 0;
    // No error: the other side said that its answer is whole. Unavailable: the request was certainly never sent.
    virtual void onEnd(std::optional<base::Error>) = 0;
};

class PeerCall {
public:
    virtual ~PeerCall() = default;
    // Tells the other side that nobody waits any more. No further callback comes.
    virtual void cancel() = 0;
};

struct OutgoingCall {
    base::Endpoint target;
    Method method;
    std::string body;
    // The call ends with Timeout at this instant.
    base::Instant deadline;
};

struct PeerClientOptions {
    // A waiting connection is probed this often, and abandoned when a probe stays without answer until its deadline.
    base::Duration probeInterval = std::chrono::milliseconds(400);
    base::Duration probeTimeout = std::chrono::milliseconds(1200);
    base::Duration connectTimeout = std::chrono::milliseconds(800);
};

class PeerClient {
public:
    PeerClient(io::EventLoop&, PeerIdentity, PeerClientOptions = {});
    // Ends every call that still waits, without callbacks. Called on the loop's thread, or after the loop has stopped.
    ~PeerClient();
    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    std::shared_ptr<PeerCall> call(OutgoingCall, std::shared_ptr<PeerCallListener>);
    // Abandons the connection to a target, for example because an instance was replaced.
    void disconnect(const base::Endpoint&);
    // Bytes sent and received over all connections, for the control budget.
    int64_t bytesSent() const;
    int64_t bytesReceived() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace toucanstep::peers
