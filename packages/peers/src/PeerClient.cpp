#include "toucanstep/peers/PeerClient.h"

#include "Handshake.h"
#include "Http2Connection.h"
#include "Sockets.h"
#include "toucanstep/base/Digest.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

#include <absl/container/flat_hash_map.h>
#include <list>

namespace toucanstep::peers {

namespace {

using internal::ConnectionNonces;
using internal::Http2Connection;

// One call from its start to its end, whether it waits for the handshake or runs on a stream.
struct PendingCall {
    OutgoingCall call;
    std::shared_ptr<PeerCallListener> listener;
    io::EventLoop::TimerId deadlineTimer = 0;
    // Zero until the request was submitted.
    int32_t stream = 0;
    bool ended = false;
    bool wholeAnswer = false;
    internal::MessageReader reader;
};

class ClientConnection final : public Http2Connection {
public:
    ClientConnection(io::EventLoop& loop, int socket, const PeerIdentity& identity, const PeerClientOptions& options)
        : Http2Connection(loop, socket, Side::Client)
        , m_identity(identity)
        , m_options(options)
    {
        m_handshakeTimer = m_loop.at(m_loop.now() + m_options.connectTimeout, [this] {
            m_handshakeTimer = 0;
            breakConnection({ base::ErrorKind::Unavailable, "no connection in time" });
        });
    }

    ~ClientConnection() override
    {
        m_loop.cancel(m_handshakeTimer);
        m_loop.cancel(m_probeTimer);
        for (const auto& call : m_waiting)
            m_loop.cancel(call->deadlineTimer);
        for (const auto& [stream, call] : m_running)
            m_loop.cancel(call->deadlineTimer);
    }

    bool usable() const { return !closed() && !m_lost; }

    void add(const std::shared_ptr<PendingCall>& call)
    {
        if (!m_ready) {
            m_waiting.push_back(call);
            return;
        }
        submit(call);
    }

    // Forgets a call; the other side is told if it had heard of it.
    void drop(const std::shared_ptr<PendingCall>& call)
    {
        m_waiting.remove(call);
        if (!call->stream || !m_running.erase(call->stream))
            return;
        if (usable())
            resetStream(call->stream, NGHTTP2_CANCEL);
    }

protected:
    void onConnected() override
    {
        m_nonces.client = internal::makeNonce();
        m_handshakeStream = submitRequest({ { ":method", "POST" }, { ":scheme", "http" }, { ":authority", "peer" }, { ":path", std::string(internal::handshakePath) }, { std::string(internal::nonceField), m_nonces.client } });
        sendData(m_handshakeStream, {}, true);
    }

    void onField(int32_t stream, std::string_view name, std::string_view value) override
    {
        if (stream != m_handshakeStream)
            return;
        if (name == internal::nonceField)
            m_nonces.server = std::string(value);
        if (name == internal::proofField)
            m_serverProof = std::string(value);
    }

    void onHeadersEnd(int32_t stream) override
    {
        if (stream != m_handshakeStream || m_ready)
            return;
        // A process that does not know the secret must not be told what callers ask.
        if (!base::equalInConstantTime(internal::serverProof(m_identity.fleetSecret, m_nonces), m_serverProof)) {
            breakConnection({ base::ErrorKind::Unavailable, "the other side does not know the fleet's secret" });
            return;
        }
        m_ready = true;
        m_loop.cancel(m_handshakeTimer);
        m_handshakeTimer = 0;
        scheduleProbe();
        m_loop.post([self = weak_from_this()] {
            if (auto connection = self.lock())
                static_cast<ClientConnection*>(connection.get())->submitWaiting();
        });
    }

    void onData(int32_t stream, std::string_view bytes) override
    {
        auto found = m_running.find(stream);
        if (found == m_running.end())
            return;
        std::shared_ptr<PendingCall> call = found->second;
        std::vector<std::string> messages;
        if (!call->reader.feed(bytes, messages)) {
            breakConnection({ base::ErrorKind::Malformed, "answer is not made of messages" });
            return;
        }
        for (std::string& message : messages) {
            // Posted, so that a listener may start or cancel calls, which nghttp2's callbacks do not allow.
            m_loop.post([call, message = std::move(message)]() mutable {
                if (!call->ended)
                    call->listener->onMessage(std::move(message));
            });
        }
    }

    void onStreamEnd(int32_t stream) override
    {
        auto found = m_running.find(stream);
        if (found != m_running.end())
            found->second->wholeAnswer = !found->second->reader.partial();
    }

    void onStreamClosed(int32_t stream, uint32_t code) override
    {
        auto found = m_running.find(stream);
        if (found == m_running.end())
            return;
        std::shared_ptr<PendingCall> call = found->second;
        m_running.erase(found);
        if (call->wholeAnswer) {
            endLater(call, std::nullopt);
            return;
        }
        // REFUSED_STREAM promises that the other side has not begun on the call.
        auto kind = code == NGHTTP2_REFUSED_STREAM ? base::ErrorKind::Unavailable : base::ErrorKind::Timeout;
        endLater(call, base::Error { kind, base::concat("stream ended with HTTP/2 code ", code) });
    }

    void onPingAnswered() override { m_probeOutstanding = false; }

    void onLost(const base::Error& error) override
    {
        m_lost = true;
        auto waiting = std::move(m_waiting);
        m_waiting.clear();
        for (const auto& call : waiting)
            endLater(call, base::Error { base::ErrorKind::Unavailable, error.message });
        auto running = std::move(m_running);
        m_running.clear();
        for (const auto& [stream, call] : running)
            endLater(call, base::Error { base::ErrorKind::Timeout, error.message });
    }

private:
    void submitWaiting()
    {
        auto waiting = std::move(m_waiting);
        m_waiting.clear();
        for (const auto& call : waiting)
            submit(call);
    }

    void submit(const std::shared_ptr<PendingCall>& call)
    {
        ++m_sequence;
        IncomingCall view { call->call.method, m_identity.instance, call->call.body };
        call->stream = submitRequest({ { ":method", "POST" }, { ":scheme", "http" }, { ":authority", "peer" },
            { ":path", base::concat("/", call->call.method.value()) },
            { std::string(internal::instanceField), m_identity.instance.value() },
            { std::string(internal::sequenceField), base::concat(m_sequence) },
            { std::string(internal::proofField), internal::callProof(m_identity.fleetSecret, m_nonces, m_sequence, view) } });
        if (call->stream <= 0) {
            endLater(call, base::Error { base::ErrorKind::Unavailable, "no stream left on the connection" });
            return;
        }
        m_running.emplace(call->stream, call);
        sendData(call->stream, internal::frameMessage(call->call.body), true);
    }

    void endLater(const std::shared_ptr<PendingCall>& call, std::optional<base::Error> error)
    {
        m_loop.cancel(call->deadlineTimer);
        m_loop.post([call, error = std::move(error)] {
            if (call->ended)
                return;
            call->ended = true;
            call->listener->onEnd(error);
        });
    }

    void scheduleProbe()
    {
        m_probeTimer = m_loop.at(m_loop.now() + m_options.probeInterval, [this] { probe(); });
    }

    // A connection can lose its other end without any sign on the socket: a router forgets it, or the instance is cut
    // off. Calls on it would wait for their whole deadline; the unanswered probe shows it within probeTimeout.
    void probe()
    {
        m_probeTimer = 0;
        base::Instant now = m_loop.now();
        if (m_probeOutstanding && now >= m_probeDeadline && lastReceived() < m_probeSent) {
            base::LogLine("peer_silent").add("calls", static_cast<int64_t>(m_running.size()));
            breakConnection({ base::ErrorKind::Timeout, "connection went silent" });
            return;
        }
        if (!m_probeOutstanding && !m_running.empty()) {
            m_probeOutstanding = true;
            m_probeSent = now;
            m_probeDeadline = now + m_options.probeTimeout;
            submitPing();
            flush();
        } else if (lastReceived() >= m_probeSent)
            m_probeOutstanding = false;
        scheduleProbe();
    }

    const PeerIdentity& m_identity;
    const PeerClientOptions& m_options;
    ConnectionNonces m_nonces;
    std::string m_serverProof;
    int32_t m_handshakeStream = 0;
    uint64_t m_sequence = 0;
    bool m_ready = false;
    bool m_lost = false;
    bool m_probeOutstanding = false;
    base::Instant m_probeSent;
    base::Instant m_probeDeadline;
    io::EventLoop::TimerId m_handshakeTimer = 0;
    io::EventLoop::TimerId m_probeTimer = 0;
    std::list<std::shared_ptr<PendingCall>> m_waiting;
    absl::flat_hash_map<int32_t, std::shared_ptr<PendingCall>> m_running;
};

class Call final : public PeerCall {
public:
    Call(io::EventLoop& loop, std::shared_ptr<PendingCall> pending, std::weak_ptr<ClientConnection> connection)
        : m_loop(loop)
        , m_pending(std::move(pending))
        , m_connection(std::move(connection))
    {
    }

    void cancel() override
    {
        if (m_pending->ended)
            return;
        m_pending->ended = true;
        m_loop.cancel(m_pending->deadlineTimer);
        if (auto connection = m_connection.lock())
            connection->drop(m_pending);
    }

private:
    io::EventLoop& m_loop;
    std::shared_ptr<PendingCall> m_pending;
    std::weak_ptr<ClientConnection> m_connection;
};

} // namespace

class PeerClient::Implementation {
public:
    Implementation(io::EventLoop& loop, PeerIdentity identity, PeerClientOptions options)
        : m_loop(loop)
        , m_identity(std::move(identity))
        , m_options(options)
    {
    }

    ~Implementation()
    {
        for (auto& [endpoint, connection] : m_connections)
            connection->close();
    }

    std::shared_ptr<PeerCall> call(OutgoingCall call, std::shared_ptr<PeerCallListener> listener)
    {
        auto pending = std::make_shared<PendingCall>();
        pending->call = std::move(call);
        pending->listener = std::move(listener);

        base::Error error;
        auto connection = base::valueOr(error, [&] { return connectionTo(pending->call.target); });
        if (!connection) {
            m_loop.post([pending, error] {
                pending->ended = true;
                pending->listener->onEnd(error);
            });
            return std::make_shared<Call>(m_loop, pending, std::weak_ptr<ClientConnection>());
        }
        std::weak_ptr<ClientConnection> weak = *connection;
        pending->deadlineTimer = m_loop.at(pending->call.deadline, [pending, weak] { expire(pending, weak); });
        (*connection)->add(pending);
        return std::make_shared<Call>(m_loop, pending, weak);
    }

    void disconnect(const base::Endpoint& target)
    {
        auto found = m_connections.find(target);
        if (found == m_connections.end())
            return;
        retire(*found->second);
        m_connections.erase(found);
    }

    int64_t bytesSent() const
    {
        int64_t sum = m_retiredSent;
        for (const auto& [endpoint, connection] : m_connections)
            sum += connection->bytesSent();
        return sum;
    }

    int64_t bytesReceived() const
    {
        int64_t sum = m_retiredReceived;
        for (const auto& [endpoint, connection] : m_connections)
            sum += connection->bytesReceived();
        return sum;
    }

private:
    static void expire(const std::shared_ptr<PendingCall>& pending, const std::weak_ptr<ClientConnection>& weak)
    {
        if (pending->ended)
            return;
        pending->ended = true;
        bool sent = pending->stream > 0;
        if (auto connection = weak.lock())
            connection->drop(pending);
        pending->listener->onEnd(base::Error { sent ? base::ErrorKind::Timeout : base::ErrorKind::Unavailable, "deadline passed" });
    }

    base::Result<std::shared_ptr<ClientConnection>> connectionTo(const base::Endpoint& target)
    {
        auto found = m_connections.find(target);
        if (found != m_connections.end() && found->second->usable())
            return found->second;
        if (found != m_connections.end())
            retire(*found->second);
        BOOST_LEAF_AUTO(socket, internal::beginConnect(target));
        auto connection = std::make_shared<ClientConnection>(m_loop, socket, m_identity, m_options);
        connection->start();
        m_connections[target] = connection;
        return connection;
    }

    void retire(const ClientConnection& connection)
    {
        m_retiredSent += connection.bytesSent();
        m_retiredReceived += connection.bytesReceived();
    }

    io::EventLoop& m_loop;
    PeerIdentity m_identity;
    PeerClientOptions m_options;
    int64_t m_retiredSent = 0;
    int64_t m_retiredReceived = 0;
    absl::flat_hash_map<base::Endpoint, std::shared_ptr<ClientConnection>> m_connections;
};

PeerClient::PeerClient(io::EventLoop& loop, PeerIdentity identity, PeerClientOptions options)
    : m_implementation(std::make_unique<Implementation>(loop, std::move(identity), options))
{
}

PeerClient::~PeerClient() = default;

std::shared_ptr<PeerCall> PeerClient::call(OutgoingCall call, std::shared_ptr<PeerCallListener> listener)
{
    return m_implementation->call(std::move(call), std::move(listener));
}

void PeerClient::disconnect(const base::Endpoint& target)
{
    m_implementation->disconnect(target);
}

int64_t PeerClient::bytesSent() const
{
    return m_implementation->bytesSent();
}

int64_t PeerClient::bytesReceived() const
{
    return m_implementation->bytesReceived();
}

} // namespace toucanstep::peers
