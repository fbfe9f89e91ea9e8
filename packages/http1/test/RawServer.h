// A listener that speaks bytes as its script says: for what no well-behaved server would send.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/io/Connection.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <sys/epoll.h>

namespace toucanstep::http1::test {

enum class Then {
    Keep,
    Close,
};

struct ScriptedAnswer {
    std::string bytes;
    Then then = Then::Keep;
};

// Which request on which connection, both counted from zero, with the bytes of the request.
struct ScriptedRequest {
    int connection = 0;
    int request = 0;
    std::string bytes;
};

using Script = std::function<ScriptedAnswer(const ScriptedRequest&)>;

// A request counts as whole once `requestBytes` or, with 0, its blank line have come.
class RawServer {
public:
    RawServer(io::EventLoop& loop, Script script, size_t requestBytes = 0)
        : m_loop(loop)
        , m_script(std::move(script))
        , m_requestBytes(requestBytes)
    {
        m_loop.runAndWait([this] { open(); });
    }
    ~RawServer()
    {
        m_loop.runAndWait([this] {
            m_loop.unwatch(m_listener.descriptor());
            m_conversations.clear();
            m_listener = io::Socket();
        });
    }

    base::Endpoint endpoint() const { return m_endpoint; }
    int connections() const { return m_accepted.load(); }
    int requests() const { return m_requests.load(); }

private:
    struct Conversation final : io::ConnectionListener {
        Conversation(RawServer& owner, int index)
            : server(owner)
            , number(index)
        {
        }
        void onBytes(std::string_view bytes) override
        {
            received += bytes;
            server.read(*this);
        }
        void onPeerClosed(io::CloseCause) override { }

        RawServer& server;
        int number;
        int answered = 0;
        std::string received;
        std::shared_ptr<io::Connection> connection;
    };

    void open();
    void read(Conversation& conversation)
    {
        size_t end = conversation.received.find("\r\n\r\n");
        bool whole = m_requestBytes ? conversation.received.size() >= m_requestBytes : end != std::string::npos;
        if (!whole)
            return;
        ++m_requests;
        ScriptedAnswer answer = m_script({ conversation.number, conversation.answered++, std::exchange(conversation.received, std::string()) });
        conversation.connection->write(answer.bytes);
        if (answer.then == Then::Close)
            conversation.connection->closeWhenDrained();
    }

    io::EventLoop& m_loop;
    Script m_script;
    size_t m_requestBytes;
    io::Socket m_listener;
    base::Endpoint m_endpoint;
    std::map<int, std::unique_ptr<Conversation>> m_conversations;
    std::atomic<int> m_accepted = 0;
    std::atomic<int> m_requests = 0;
};

} // namespace toucanstep::http1::test
