#include "RawServer.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace toucanstep::http1::test {

void RawServer::open()
{
    base::Error error;
    auto socket = base::valueOr(error, [] { return io::listenAt({ "127.0.0.1", 0 }); });
    CHECK_TRUE(socket.has_value());
    m_listener = std::move(*socket);
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    getsockname(m_listener.descriptor(), reinterpret_cast<sockaddr*>(&bound), &size);
    m_endpoint = { "127.0.0.1", ntohs(bound.sin_port) };
    m_loop.watch(m_listener.descriptor(), EPOLLIN, [this](uint32_t) {
        while (io::Socket accepted = io::acceptFrom(m_listener)) {
            int number = m_accepted++;
            auto conversation = std::make_unique<Conversation>(*this, number);
            conversation->connection = io::Connection::start(m_loop, std::move(accepted), io::Connection::Origin::Accepted, conversation.get());
            m_conversations.emplace(number, std::move(conversation));
        }
    });
}

} // namespace toucanstep::http1::test
