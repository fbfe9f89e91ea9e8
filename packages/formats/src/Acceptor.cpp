#include "Acceptor.h"

#include "toucanstep/base/Text.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

namespace toucanstep::formats::internal {

namespace {
constexpr int listenBacklog = 1024;
// Without a free descriptor accept() fails at once and again and again; a pause leaves the processor to the others.
constexpr auto pauseWithoutDescriptors = std::chrono::milliseconds(10);
} // namespace

Acceptor::~Acceptor()
{
    stop();
    if (m_stopEvent >= 0)
        ::close(m_stopEvent);
}

base::Result<uint16_t> Acceptor::listen(const std::string& address, uint16_t port)
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    if (inet_pton(AF_INET, address.c_str(), &name.sin_addr) != 1)
        return base::fail(base::ErrorKind::Malformed, base::concat("not an IPv4 address: ", address));
    m_stopEvent = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    socklen_t size = sizeof(name);
    bool opened = ::bind(m_listener, reinterpret_cast<sockaddr*>(&name), sizeof(name)) == 0 && ::listen(m_listener, listenBacklog) == 0
        && ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&name), &size) == 0;
    if (!opened)
        return base::fail(base::ErrorKind::Unavailable, base::concat("cannot listen on ", address, ":", port));
    return ntohs(name.sin_port);
}

void Acceptor::run(OnAccepted onAccepted)
{
    m_onAccepted = std::move(onAccepted);
    m_thread = std::thread([this] { accept(); });
}

void Acceptor::stop()
{
    if (m_thread.joinable()) {
        uint64_t one = 1;
        [[maybe_unused]] auto written = ::write(m_stopEvent, &one, sizeof(one));
        m_thread.join();
    }
    if (m_listener >= 0)
        ::close(m_listener);
    m_listener = -1;
}

void Acceptor::accept()
{
    std::array<pollfd, 2> polled { pollfd { m_listener, POLLIN, 0 }, pollfd { m_stopEvent, POLLIN, 0 } };
    for (;;) {
        ::poll(polled.data(), polled.size(), -1);
        if (polled[1].revents != 0)
            return;
        sockaddr_in caller {};
        socklen_t size = sizeof(caller);
        int descriptor = ::accept4(m_listener, reinterpret_cast<sockaddr*>(&caller), &size, SOCK_CLOEXEC | SOCK_NONBLOCK);
        if (descriptor >= 0)
            m_onAccepted(descriptor, caller);
        else if (errno == EMFILE || errno == ENFILE)
            std::this_thread::sleep_for(pauseWithoutDescriptors);
    }
}

} // namespace toucanstep::formats::internal
