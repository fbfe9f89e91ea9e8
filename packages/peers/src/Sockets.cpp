#include "Sockets.h"

#include "toucanstep/base/Text.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace toucanstep::peers::internal {

namespace {

struct SocketAddress {
    sockaddr_storage storage {};
    socklen_t length = 0;
};

base::Result<SocketAddress> toSocketAddress(const base::Endpoint& endpoint)
{
    SocketAddress address;
    auto* four = reinterpret_cast<sockaddr_in*>(&address.storage);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &four->sin_addr) == 1) {
        four->sin_family = AF_INET;
        four->sin_port = htons(endpoint.port);
        address.length = sizeof(sockaddr_in);
        return address;
    }
    auto* six = reinterpret_cast<sockaddr_in6*>(&address.storage);
    if (inet_pton(AF_INET6, endpoint.address.c_str(), &six->sin6_addr) == 1) {
        six->sin6_family = AF_INET6;
        six->sin6_port = htons(endpoint.port);
        address.length = sizeof(sockaddr_in6);
        return address;
    }
    return base::fail(base::ErrorKind::Malformed, base::concat("not an IP number: ", endpoint.address));
}

base::leaf::error_id failWithErrno(std::string_view doing, const base::Endpoint& endpoint)
{
    return base::fail(base::ErrorKind::Unavailable, base::concat(doing, " ", endpoint.text(), ": ", std::strerror(errno)));
}

void setNoDelay(int socket)
{
    int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

base::Result<int> listenOn(const base::Endpoint& endpoint)
{
    BOOST_LEAF_AUTO(address, toSocketAddress(endpoint));
    int socket = ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return failWithErrno("socket for", endpoint);
    int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    bool listening = !bind(socket, reinterpret_cast<sockaddr*>(&address.storage), address.length) && !listen(socket, SOMAXCONN);
    if (!listening) {
        auto error = failWithErrno("listen on", endpoint);
        ::close(socket);
        return error;
    }
    return socket;
}

base::Result<int> beginConnect(const base::Endpoint& endpoint)
{
    BOOST_LEAF_AUTO(address, toSocketAddress(endpoint));
    int socket = ::socket(address.storage.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return failWithErrno("socket for", endpoint);
    setNoDelay(socket);
    if (connect(socket, reinterpret_cast<sockaddr*>(&address.storage), address.length) && errno != EINPROGRESS) {
        auto error = failWithErrno("connect to", endpoint);
        ::close(socket);
        return error;
    }
    return socket;
}

int acceptFrom(int listener)
{
    int socket = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket >= 0)
        setNoDelay(socket);
    return socket;
}

base::Endpoint localEndpoint(int socket)
{
    SocketAddress address;
    address.length = sizeof(address.storage);
    getsockname(socket, reinterpret_cast<sockaddr*>(&address.storage), &address.length);
    std::array<char, INET6_ADDRSTRLEN> text {};
    base::Endpoint endpoint;
    if (address.storage.ss_family == AF_INET6) {
        auto* six = reinterpret_cast<sockaddr_in6*>(&address.storage);
        endpoint.address = inet_ntop(AF_INET6, &six->sin6_addr, text.data(), text.size());
        endpoint.port = ntohs(six->sin6_port);
        return endpoint;
    }
    auto* four = reinterpret_cast<sockaddr_in*>(&address.storage);
    endpoint.address = inet_ntop(AF_INET, &four->sin_addr, text.data(), text.size());
    endpoint.port = ntohs(four->sin_port);
    return endpoint;
}

} // namespace toucanstep::peers::internal
