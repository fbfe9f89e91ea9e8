#include "RestartableServer.h"

#include "toucanstep/base/Text.h"

#include <arpa/inet.h>
#include <glog/logging.h>
#include <sys/socket.h>
#include <unistd.h>

namespace toucanstep::fakes::internal {

RestartableServer::RestartableServer(formats::HttpServer::Handler handler)
    : m_handler(std::move(handler))
{
    open(0);
    m_port = m_server->port();
}

RestartableServer::~RestartableServer()
{
    stop();
    if (m_placeholder >= 0)
        ::close(m_placeholder);
}

std::string RestartableServer::url() const { return base::concat("http://127.0.0.1:", m_port); }

void RestartableServer::setDown(bool down)
{
    std::lock_guard lock(m_mutex);
    if (down == !m_server)
        return;
    if (!down) {
        open(m_port);
        return;
    }
    m_server.reset();
    holdPort();
}

void RestartableServer::open(uint16_t port)
{
    base::Error error;
    auto server = base::valueOr(error, [&] { return formats::HttpServer::start({ .port = port }, m_handler); });
    CHECK(server) << error.message;
    m_server = std::move(*server);
}

// A bound socket that does not listen refuses connections and keeps the port from being given to anyone else meanwhile.
void RestartableServer::holdPort()
{
    if (m_placeholder >= 0)
        return;
    m_placeholder = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(m_placeholder, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(m_placeholder, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0)
        LOG(WARNING) << "port " << m_port << " is not held while the stand-in is down";
}

} // namespace toucanstep::fakes::internal
