#include "toucanstep/io/Socket.h"

#include "toucanstep/base/Text.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace toucanstep::io {

namespace {

// Connections wait here until the loop takes them; a full queue makes a caller's opening packet wait for seconds.
constexpr int listenBacklog = 1024;
// A connection can go silent without a reset while new ones work. Probes after two idle seconds, one a second, end it
// after two unanswered ones, so that a peer which is gone is noticed in about four seconds.
constexpr int keepAliveIdleSeconds = 2;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
// Bytes that a peer has not acknowledged for this long end the connection; as long as the probes take.
constexpr auto userTimeoutMilliseconds = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(defaultUnacknowledgedTimeout).count());

void setOption(int socket, int level, int option, int value)
{
    // A system without the option only notices silent peers later.
    [[maybe_unused]] int ignored = setsockopt(socket, level, option, &value, sizeof(value));
}

void tuneStream(int socket)
{
    setOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMilliseconds);
}

std::optional<sockaddr_in> toAddress(const base::Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) != 1)
        return std::nullopt;
    return address;
}

base::leaf::error_id failed(const char* what, const base::Endpoint& endpoint)
{
    return base::fail(base::ErrorKind::Unavailable, base::concat(what, " ", endpoint.text(), ": ", std::string_view(strerror(errno))));
}

base::leaf::error_id notAnAddress(const base::Endpoint& endpoint)
{
    return base::fail(base::ErrorKind::Malformed, base::concat("not an IPv4 address: ", endpoint.text()));
}

} // namespace

Socket::~Socket()
{
    if (m_descriptor >= 0)
        close(m_descriptor);
}

base::Result<Socket> listenAt(const base::Endpoint& endpoint)
{
    auto address = toAddress(endpoint);
    if (!address)
        return notAnAddress(endpoint);
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket)
        return failed("cannot open a socket for", endpoint);
    setOption(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, 1);
    if (bind(socket.descriptor(), reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) || listen(socket.descriptor(), listenBacklog))
        return failed("cannot listen at", endpoint);
    return socket;
}

Socket acceptFrom(const Socket& listener)
{
    Socket accepted(accept4(listener.descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (accepted)
        tuneStream(accepted.descriptor());
    return accepted;
}

base::Result<Socket> connectTo(const base::Endpoint& endpoint)
{
    auto address = toAddress(endpoint);
    if (!address)
        return notAnAddress(endpoint);
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket)
        return failed("cannot open a socket for", endpoint);
    tuneStream(socket.descriptor());
    if (connect(socket.descriptor(), reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) && errno != EINPROGRESS)
        return failed("cannot connect to", endpoint);
    return socket;
}

void limitReceiveBuffer(const Socket& socket, size_t bytes)
{
    setOption(socket.descriptor(), SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
}

void setUnacknowledgedTimeout(const Socket& socket, base::Duration timeout)
{
    setOption(socket.descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(base::toMilliseconds(timeout)));
}

base::Result<Socket> bindDatagrams(const base::Endpoint& endpoint)
{
    auto address = toAddress(endpoint);
    if (!address)
        return notAnAddress(endpoint);
    Socket socket(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket || bind(socket.descriptor(), reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)))
        return failed("cannot bind datagrams to", endpoint);
    return socket;
}

bool sendDatagram(const Socket& socket, const base::Endpoint& to, std::string_view payload)
{
    auto address = toAddress(to);
    if (!address)
        return false;
    return sendto(socket.descriptor(), payload.data(), payload.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address))
        == static_cast<ssize_t>(payload.size());
}

} // namespace toucanstep::io
