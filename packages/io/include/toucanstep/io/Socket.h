// Opening IPv4 sockets in the way that all parts of a process need them: non-blocking, and quick to notice a peer that is gone.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/Time.h"

#include <string_view>
#include <utility>

namespace toucanstep::io {

// Owns a descriptor and closes it.
class Socket {
public:
    Socket() = default;
    explicit Socket(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    Socket(Socket&& other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    Socket& operator=(Socket&& other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        return *this;
    }
    ~Socket();

    int descriptor() const { return m_descriptor; }
    explicit operator bool() const { return m_descriptor >= 0; }

private:
    int m_descriptor = -1;
};

// A socket that listens at the endpoint. Fails with Unavailable and the system's reason.
base::Result<Socket> listenAt(const base::Endpoint&);

// The next waiting connection; an empty Socket where there is none, or where the process is out of descriptors.
Socket acceptFrom(const Socket& listener);

// Begins to connect. The socket becomes writable once the connection stands or has failed.
base::Result<Socket> connectTo(const base::Endpoint&);

// Bounds what the system keeps of a connection's unread bytes. Otherwise it grows to megabytes, and reading a little of it does not make
// the system announce room to the peer.
void limitReceiveBuffer(const Socket&, size_t bytes);

// How long the peer may leave bytes without acknowledging them, or announce no room for them.
void setUnacknowledgedTimeout(const Socket&, base::Duration);
// The time that connections have if it is not set.
constexpr base::Duration defaultUnacknowledgedTimeout = std::chrono::seconds(4);

// A datagram socket bound to the endpoint.
base::Result<Socket> bindDatagrams(const base::Endpoint&);

// True if the datagram was handed to the system; it may be lost all the same.
bool sendDatagram(const Socket&, const base::Endpoint& to, std::string_view payload);

} // namespace toucanstep::io
