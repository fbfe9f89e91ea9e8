#include "toucanstep/peers/PeerServer.h"

#include "Handshake.h"
#include "Http2Connection.h"
#include "Sockets.h"
#include "toucanstep/base/Digest.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/numbers.h>
#include <set>
#include <sys/epoll.h>
#include <unistd.h>

namespace toucanstep::peers {

namespace {

using internal::ConnectionNonces;
using internal::Http2Connection;

class ServerConnection;

class Responder final : public PeerResponder {
public:
    Responder(std::weak_ptr<ServerConnection> connection, int32_t stream)
        : m_connection(std::move(connection))
        , m_stream(stream)
    {
    }

    void send(std::string message) override;
    void finish() override;
    void abort() override;
    bool closed() const override { return m_closed; }
    size_t queuedBytes() const override;
    void onClosed(std::function<void(CloseReason)> callback) override
    {
        if (m_closed && !m_finished)
            callback(m_reason);
        else
            m_onClosed = std::move(callback);
    }

    void streamClosed(CloseReason reason)
    {
        if (m_closed)
            return;
        m_closed = true;
        m_reason = reason;
        auto callback = std::move(m_onClosed);
        // A finished answer whose last bytes were not sent is lost with its connection like any other.
        if (callback && (!m_finished || reason == CloseReason::ConnectionLost))
            callback(reason);
    }

private:
    std::weak_ptr<ServerConnection> m_connection;
    int32_t m_stream;
    bool m_closed = false;
    bool m_finished = false;
    CloseReason m_reason = CloseReason::Cancelled;
    std::function<void(CloseReason)> m_onClosed;
};

class ServerConnection final : public Http2Connection {
public:
    ServerConnection(io::EventLoop& loop, int socket, const PeerIdentity& identity, const PeerServer::Handler& handler, std::function<void(ServerConnection*)> onGone)
        : Http2Connection(loop, socket, Side::Server)
        , m_identity(identity)
        , m_handler(handler)
        , m_onGone(std::move(onGone))
    {
    }

    size_t openCalls() const { return m_responders.size() + (unsentBytes() ? 1 : 0); }

protected:
    void onField(int32_t stream, std::string_view name, std::string_view value) override
    {
        Request& request = m_requests[stream];
        if (name == ":path" && !value.empty())
            request.call.method = Method(std::string(value.substr(1)));
        else if (name == internal::instanceField)
            request.call.from = base::InstanceId(std::string(value));
        else if (name == internal::nonceField)
            request.nonce = std::string(value);
        else if (name == internal::proofField)
            request.proof = std::string(value);
        else if (name == internal::sequenceField)
            request.hasSequence = absl::SimpleAtoi(base::abslView(value), &request.sequence);
    }

    void onHeadersEnd(int32_t) override { }

    void onData(int32_t stream, std::string_view bytes) override
    {
        auto request = m_requests.find(stream);
        if (request == m_requests.end())
            return;
        if (!request->second.reader.feed(bytes, request->second.messages))
            resetStream(stream, NGHTTP2_PROTOCOL_ERROR);
    }

    void onStreamEnd(int32_t stream) override
    {
        auto found = m_requests.find(stream);
        if (found == m_requests.end())
            return;
        Request request = std::move(found->second);
        m_requests.erase(found);
        if (base::concat("/", request.call.method.value()) == internal::handshakePath) {
            answerHandshake(stream, request);
            return;
        }
        if (request.messages.size() != 1 || request.reader.partial()) {
            resetStream(stream, NGHTTP2_PROTOCOL_ERROR);
            return;
        }
        request.call.body = std::move(request.messages.front());
        if (!authentic(request)) {
            base::LogLine("peer_rejected").add("from", request.call.from).add("method", request.call.method).add("reason", "proof");
            resetStream(stream, NGHTTP2_REFUSED_STREAM);
            return;
        }
        dispatch(stream, std::move(request.call));
    }

    void onStreamClosed(int32_t stream, uint32_t) override
    {
        m_requests.erase(stream);
        auto found = m_responders.find(stream);
        if (found == m_responders.end())
            return;
        // The callback may call back into this connection; it runs outside nghttp2's callbacks.
        m_loop.post([responder = found->second] { responder->streamClosed(CloseReason::Cancelled); });
        m_responders.erase(found);
    }

    void onLost(const base::Error&) override
    {
        auto responders = std::move(m_responders);
        m_responders.clear();
        for (auto& [stream, responder] : responders)
            responder->streamClosed(CloseReason::ConnectionLost);
        m_onGone(this);
    }

private:
    struct Request {
        IncomingCall call;
        std::string nonce;
        std::string proof;
        uint64_t sequence = 0;
        bool hasSequence = false;
        internal::MessageReader reader;
        std::vector<std::string> messages;
    };

    void answerHandshake(int32_t stream, const Request& request)
    {
        m_nonces = ConnectionNonces { request.nonce, internal::makeNonce() };
        m_lastSequence = 0;
        submitResponse(stream, { { ":status", "200" }, { std::string(internal::nonceField), m_nonces.server }, { std::string(internal::proofField), internal::serverProof(m_identity.fleetSecret, m_nonces) } });
        sendData(stream, {}, true);
    }

    bool authentic(const Request& request)
    {
        // A sequence number that does not grow would be a recorded call sent again on this connection.
        if (m_nonces.server.empty() || !request.hasSequence || request.sequence <= m_lastSequence)
            return false;
        std::string expected = internal::callProof(m_identity.fleetSecret, m_nonces, request.sequence, request.call);
        if (!base::equalInConstantTime(expected, request.proof))
            return false;
        m_lastSequence = request.sequence;
        return true;
    }

    void dispatch(int32_t stream, IncomingCall call)
    {
        submitResponse(stream, { { ":status", "200" } });
        auto responder = std::make_shared<Responder>(std::static_pointer_cast<ServerConnection>(shared_from_this()), stream);
        m_responders.emplace(stream, responder);
        // The handler may answer at once, which nghttp2 does not allow inside its callbacks.
        m_loop.post([handler = &m_handler, call = std::move(call), responder, self = shared_from_this()]() mutable {
            if (!responder->closed() && !self->closed())
                (*handler)(std::move(call), responder);
        });
    }

    const PeerIdentity& m_identity;
    const PeerServer::Handler& m_handler;
    std::function<void(ServerConnection*)> m_onGone;
    ConnectionNonces m_nonces;
    uint64_t m_lastSequence = 0;
    absl::flat_hash_map<int32_t, Request> m_requests;
    absl::flat_hash_map<int32_t, std::shared_ptr<Responder>> m_responders;
};

void Responder::send(std::string message)
{
    auto connection = m_connection.lock();
    if (connection && !m_closed && !m_finished)
        connection->sendData(m_stream, internal::frameMessage(message), false);
}

void Responder::finish()
{
    auto connection = m_connection.lock();
    if (!connection || m_closed || m_finished)
        return;
    m_finished = true;
    connection->sendData(m_stream, {}, true);
}

void Responder::abort()
{
    auto connection = m_connection.lock();
    if (!connection || m_closed || m_finished)
        return;
    m_finished = true;
    connection->resetStream(m_stream, NGHTTP2_INTERNAL_ERROR);
}

size_t Responder::queuedBytes() const
{
    auto connection = m_connection.lock();
    return connection ? connection->queuedBytes(m_stream) : 0;
}

class Server final : public PeerServer {
public:
    Server(io::EventLoop& loop, int socket, PeerIdentity identity, Handler handler)
        : m_loop(loop)
        , m_socket(socket)
        , m_identity(std::move(identity))
        , m_handler(std::move(handler))
    {
        m_loop.watch(m_socket, EPOLLIN, [this](uint32_t) { acceptWaiting(); });
    }

    ~Server() override
    {
        m_loop.unwatch(m_socket);
        ::close(m_socket);
        for (const auto& connection : m_connections)
            connection->close();
    }

    base::Endpoint endpoint() const override { return internal::localEndpoint(m_socket); }

    size_t openCalls() const override
    {
        size_t calls = 0;
        for (const auto& connection : m_connections)
            calls += connection->openCalls();
        return calls;
    }

private:
    void acceptWaiting()
    {
        while (true) {
            int socket = internal::acceptFrom(m_socket);
            if (socket < 0)
                return;
            auto connection = std::make_shared<ServerConnection>(m_loop, socket, m_identity, m_handler, [this](ServerConnection* gone) { forget(gone); });
            m_connections.insert(connection);
            connection->start();
        }
    }

    void forget(ServerConnection* gone)
    {
        m_connections.erase(std::static_pointer_cast<ServerConnection>(gone->shared_from_this()));
    }

    io::EventLoop& m_loop;
    int m_socket;
    PeerIdentity m_identity;
    Handler m_handler;
    std::set<std::shared_ptr<ServerConnection>> m_connections;
};

} // namespace

base::Result<std::unique_ptr<PeerServer>> PeerServer::listen(io::EventLoop& loop, const base::Endpoint& endpoint, PeerIdentity identity, Handler handler)
{
    BOOST_LEAF_AUTO(socket, internal::listenOn(endpoint));
    std::unique_ptr<PeerServer> server = std::make_unique<Server>(loop, socket, std::move(identity), std::move(handler));
    return server;
}

} // namespace toucanstep::peers
