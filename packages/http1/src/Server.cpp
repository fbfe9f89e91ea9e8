#include "toucanstep/http1/Server.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/http1/Parser.h"
#include "toucanstep/io/Connection.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unordered_map>

namespace toucanstep::http1 {

namespace {

// What a caller may send ahead of its next request while one is being answered; beyond it reading pauses.
constexpr size_t pipelinedBytes = 64 * 1024;
// Of connections that wait for being accepted when the server stops.
constexpr int acceptsAtStop = 1024;
// Between two looks at connections whose time is over.
constexpr auto sweepInterval = std::chrono::milliseconds(500);
// After a failed accept, for example without free descriptors: connections that end meanwhile make room.
constexpr auto acceptPause = std::chrono::milliseconds(100);

class ListeningServer;

class CallerConnection;

// The exchange outlives its connection where whoever answers still holds it.
class ConnectionExchange final : public ServerExchange {
public:
    ConnectionExchange(std::weak_ptr<CallerConnection> connection, RequestHead head, std::string body)
        : m_connection(std::move(connection))
        , m_head(std::move(head))
        , m_body(std::move(body))
    {
    }
    const RequestHead& head() const override { return m_head; }
    const std::string& body() const override { return m_body; }
    void onGone(std::function<void()> handler) override { m_onGone = std::move(handler); }
    bool gone() const override { return m_gone; }
    void begin(AnswerHead) override;
    void write(std::string_view piece) override;
    void end() override;
    void abort() override;
    size_t unsentBytes() const override;
    void onTaken(std::function<void()> handler) override { m_onTaken = std::move(handler); }
    void tolerateSlowCaller(bool) override;
    void dropBody() override { m_body = std::string(); }

    void callerTook()
    {
        // The handler may end the exchange, which drops it.
        auto handler = m_onTaken;
        if (handler)
            handler();
    }
    void callerLeft()
    {
        m_gone = true;
        m_onTaken = nullptr;
        if (auto handler = std::exchange(m_onGone, nullptr))
            handler();
    }

private:
    std::weak_ptr<CallerConnection> m_connection;
    RequestHead m_head;
    std::string m_body;
    std::function<void()> m_onGone;
    std::function<void()> m_onTaken;
    // Once the answer has ended with a part of it unsent, which may outlive the caller's connection here.
    std::shared_ptr<io::Connection> m_draining;
    bool m_gone = false;
    BodyFraming m_framing = BodyFraming::None;
    // The answer to HEAD has no body, whatever its headers say, and neither has one whose status is 204 or 304.
    bool m_bodiless = false;
    bool m_ended = false;
};

class CallerConnection final : public io::ConnectionListener, public RequestListener, public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(ListeningServer& server, uint64_t id, const ServerBounds& bounds)
        : m_server(server)
        , m_id(id)
        , m_parser(this, bounds.headBytes)
    {
    }

    void start(io::EventLoop&, io::Socket);
    void onBytes(std::string_view) override;
    void onPeerClosed(io::CloseCause) override;
    void onTaken() override;
    void onRequestHead(RequestHead) override;
    void onRequestBody(std::string_view) override;

    void send(std::string_view bytes) { m_connection->write(bytes); }
    bool closesAfterAnswer() const;
    void answered();
    // After the answer that is being given.
    void closeAfterAnswer() { m_closing = true; }
    void close();
    // Closes it once the caller has taken what is unsent.
    void closeWhenTaken();
    // Ends a body that only the end of its connection ends: an orderly close would make it look whole.
    void reset()
    {
        m_connection->resetOnClose();
        close();
    }
    size_t unsentBytes() const { return m_connection->unsentBytes(); }
    const std::shared_ptr<io::Connection>& transport() const { return m_connection; }
    bool answering() const { return m_exchange != nullptr; }
    // The request that is being read, if any.
    void refuseUpload();
    bool idle() const { return !m_exchange && !m_parser.midMessage(); }
    bool open() const { return !m_finished && m_connection->isOpen(); }
    // Takes at once what has come and was not read yet.
    void readArrived() { m_connection->readPiece(pipelinedBytes); }
    // Closes it if it waits for a request, or has taken too long over one.
    void checkTime(base::Instant now);

private:
    void consume(std::string_view);
    void dispatch();
    void refuse(int status);
    void endUpload();

    ListeningServer& m_server;
    uint64_t m_id;
    std::shared_ptr<io::Connection> m_connection;
    RequestParser m_parser;
    RequestHead m_head;
    std::string m_body;
    std::string m_ahead;
    std::shared_ptr<ConnectionExchange> m_exchange;
    base::Instant m_since;
    int m_unreadable = 0;
    // The listener has heard of the body that is being read.
    bool m_uploadKnown = false;
    bool m_consuming = false;
    bool m_closing = false;
    // The last answer was given; nothing more is read.
    bool m_finished = false;
};

class ListeningServer final : public Server {
public:
    ListeningServer(io::EventLoop& loop, io::Socket listener, base::Endpoint endpoint, RequestHandler& handler)
        : m_loop(loop)
        , m_listener(std::move(listener))
        , m_endpoint(std::move(endpoint))
        , m_handler(handler)
    {
        m_loop.watch(m_listener.descriptor(), EPOLLIN, [this](uint32_t) { accept(); });
        scheduleSweep();
    }
    ~ListeningServer() override
    {
        m_loop.cancel(m_sweepTimer);
        m_loop.cancel(m_acceptTimer);
        stopAccepting();
        auto connections = std::move(m_connections);
        for (auto& [id, connection] : connections)
            connection->close();
    }

    void setBounds(ServerBounds bounds) override { m_bounds = bounds; }
    void setUploadListener(UploadListener* listener) override { m_uploads = listener; }
    void refuseUpload(uint64_t connection) override
    {
        auto found = m_connections.find(connection);
        if (found == m_connections.end())
            return;
        auto held = found->second;
        held->refuseUpload();
    }
    void closeAfterAnswers() override { m_closing = true; }
    void stop() override
    {
        m_closing = true;
        for (int count = 0; m_listener && count < acceptsAtStop && acceptOne(); ++count) { }
        stopAccepting();
        auto connections = m_connections;
        for (auto& [id, connection] : connections) {
            // A request that has come is answered.
            if (connection->idle())
                connection->readArrived();
            if (connection->open() && connection->idle())
                connection->closeWhenTaken();
        }
    }
    size_t unsentBytes() const override
    {
        size_t bytes = 0;
        for (const auto& [id, connection] : m_connections)
            bytes += connection->unsentBytes();
        for (const auto& draining : m_draining) {
            if (auto connection = draining.lock())
                bytes += connection->unsentBytes();
        }
        return bytes;
    }
    size_t connections() const override { return m_connections.size(); }
    size_t closingConnections() const override
    {
        return static_cast<size_t>(std::count_if(m_draining.begin(), m_draining.end(), [](const auto& draining) {
            auto connection = draining.lock();
            return connection && connection->isOpen();
        }));
    }
    base::Endpoint endpoint() const override { return m_endpoint; }

    const ServerBounds& bounds() const { return m_bounds; }
    bool closing() const { return m_closing; }
    io::EventLoop& loop() { return m_loop; }
    RequestHandler& handler() { return m_handler; }
    UploadListener* uploads() { return m_uploads; }
    void remove(uint64_t id) { m_connections.erase(id); }
    void addDraining(const std::shared_ptr<io::Connection>& connection) { m_draining.push_back(connection); }

private:
    void accept()
    {
        // A few at a time, so that a rush of connections does not hold up those that are open.
        constexpr int acceptsAtOnce = 16;
        for (int count = 0; count < acceptsAtOnce; ++count) {
            if (acceptOne())
                continue;
            if (errno != EAGAIN && errno != EINTR && errno != ECONNABORTED)
                pauseAccepting();
            return;
        }
    }
    // Returns false, with errno, if there is none to be accepted.
    bool acceptOne()
    {
        io::Socket socket = io::acceptFrom(m_listener);
        if (!socket)
            return false;
        uint64_t id = ++m_lastId;
        auto connection = std::make_shared<CallerConnection>(*this, id, m_bounds);
        m_connections.emplace(id, connection);
        connection->start(m_loop, std::move(socket));
        return true;
    }
    void pauseAccepting()
    {
        m_loop.modify(m_listener.descriptor(), 0);
        m_acceptTimer = m_loop.at(m_loop.now() + acceptPause, [this] {
            if (m_listener)
                m_loop.modify(m_listener.descriptor(), EPOLLIN);
        });
    }
    void stopAccepting()
    {
        if (!m_listener)
            return;
        m_loop.unwatch(m_listener.descriptor());
        m_listener = io::Socket();
    }
    void scheduleSweep()
    {
        m_sweepTimer = m_loop.at(m_loop.now() + sweepInterval, [this] {
            auto connections = m_connections;
            for (auto& [id, connection] : connections)
                connection->checkTime(m_loop.now());
            std::erase_if(m_draining, [](const auto& draining) { return draining.expired(); });
            scheduleSweep();
        });
    }

    io::EventLoop& m_loop;
    io::Socket m_listener;
    base::Endpoint m_endpoint;
    RequestHandler& m_handler;
    UploadListener* m_uploads = nullptr;
    ServerBounds m_bounds;
    std::unordered_map<uint64_t, std::shared_ptr<CallerConnection>> m_connections;
    // Of connections that close once their callers have taken the last answer.
    std::vector<std::weak_ptr<io::Connection>> m_draining;
    io::EventLoop::TimerId m_sweepTimer = 0;
    io::EventLoop::TimerId m_acceptTimer = 0;
    uint64_t m_lastId = 0;
    bool m_closing = false;
};

void ConnectionExchange::begin(AnswerHead head)
{
    auto connection = m_connection.lock();
    if (!connection || m_gone)
        return;
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    bool statusHasNoBody = head.status == noContent || head.status == notModified;
    if (statusHasNoBody)
        m_framing = BodyFraming::None;
    else if (head.untilClose || (!head.length && !m_head.acceptsChunks))
        m_framing = BodyFraming::ToEnd;
    else
        m_framing = head.length ? BodyFraming::Length : BodyFraming::Chunked;
    if (m_framing == BodyFraming::ToEnd)
        connection->closeAfterAnswer();
    m_bodiless = statusHasNoBody || m_head.method == "HEAD";
    std::string out = base::concat("HTTP/1.1 ", head.status, " ");
    out += head.reason.empty() ? std::string(reasonPhrase(head.status)) : head.reason;
    out += "\r\n";
    for (const Header& header : head.headers.all())
        appendHeader(out, header.name, header.value);
    if (m_framing == BodyFraming::Chunked)
        appendHeader(out, "Transfer-Encoding", "chunked");
    else if (m_framing == BodyFraming::Length)
        appendHeader(out, "Content-Length", std::to_string(*head.length));
    if (connection->closesAfterAnswer())
        appendHeader(out, "Connection", "close");
    out += "\r\n";
    connection->send(out);
}

void ConnectionExchange::write(std::string_view piece)
{
    auto connection = m_connection.lock();
    if (!connection || m_gone || m_bodiless || piece.empty())
        return;
    if (m_framing != BodyFraming::Chunked) {
        connection->send(piece);
        return;
    }
    std::string out;
    appendChunk(out, piece);
    connection->send(out);
}

void ConnectionExchange::end()
{
    auto connection = m_connection.lock();
    if (!connection || m_gone || std::exchange(m_ended, true))
        return;
    m_onGone = nullptr;
    m_onTaken = nullptr;
    if (m_framing == BodyFraming::Chunked && !m_bodiless)
        connection->send(lastChunk);
    if (connection->unsentBytes())
        m_draining = connection->transport();
    connection->answered();
}

void ConnectionExchange::abort()
{
    m_onGone = nullptr;
    m_onTaken = nullptr;
    m_gone = true;
    if (auto draining = std::exchange(m_draining, nullptr); draining && draining->unsentBytes()) {
        draining->resetOnClose();
        draining->close();
    } else if (m_ended) {
        return;
    }
    auto connection = m_connection.lock();
    if (!connection)
        return;
    if (m_framing == BodyFraming::ToEnd)
        connection->reset();
    else
        connection->close();
}

size_t ConnectionExchange::unsentBytes() const
{
    auto connection = m_connection.lock();
    if (m_gone)
        return 0;
    if (!m_ended)
        return connection ? connection->unsentBytes() : 0;
    // A later answer on the same connection counts what is left of this one.
    return m_draining && !(connection && connection->answering()) ? m_draining->unsentBytes() : 0;
}

void ConnectionExchange::tolerateSlowCaller(bool slow)
{
    // Zero window probes end a connection like missing acknowledgements do; a caller that announces no room for this long is given up.
    constexpr auto slowCallerTimeout = std::chrono::seconds(20);
    auto connection = m_connection.lock();
    auto transport = connection ? connection->transport() : m_draining;
    if (transport)
        transport->setUnacknowledgedTimeout(slow ? slowCallerTimeout : io::defaultUnacknowledgedTimeout);
}

void CallerConnection::start(io::EventLoop& loop, io::Socket socket)
{
    m_since = loop.now();
    m_connection = io::Connection::start(loop, std::move(socket), io::Connection::Origin::Accepted, this);
}

bool CallerConnection::closesAfterAnswer() const
{
    return m_closing || m_server.closing() || (m_exchange && !m_exchange->head().keepAlive);
}

void CallerConnection::close()
{
    auto self = shared_from_this();
    m_connection->close();
    m_server.remove(m_id);
    endUpload();
    if (auto exchange = std::exchange(m_exchange, nullptr))
        exchange->callerLeft();
}

void CallerConnection::closeWhenTaken()
{
    auto self = shared_from_this();
    m_finished = true;
    m_connection->closeWhenDrained();
    if (m_connection->isOpen())
        m_server.addDraining(m_connection);
    m_server.remove(m_id);
}

void CallerConnection::onPeerClosed(io::CloseCause)
{
    close();
}

void CallerConnection::onTaken()
{
    auto self = shared_from_this();
    // Idle time begins once the caller has what was answered.
    if (!m_parser.midMessage())
        m_since = m_server.loop().now();
    if (auto exchange = m_exchange)
        exchange->callerTook();
}

void CallerConnection::refuseUpload()
{
    constexpr int unavailable = 503;
    if (m_consuming)
        m_unreadable = unavailable;
    else if (m_uploadKnown)
        refuse(unavailable);
}

void CallerConnection::endUpload()
{
    if (std::exchange(m_uploadKnown, false) && m_server.uploads())
        m_server.uploads()->onUploadEnded(m_id);
}

void CallerConnection::onBytes(std::string_view bytes)
{
    auto self = shared_from_this();
    if (m_exchange || m_consuming) {
        m_ahead.append(bytes);
        if (m_ahead.size() > pipelinedBytes)
            m_connection->setReading(false);
        return;
    }
    consume(bytes);
}

void CallerConnection::consume(std::string_view bytes)
{
    m_consuming = true;
    while (!bytes.empty()) {
        if (!m_parser.midMessage())
            m_since = m_server.loop().now();
        ParseStep step = m_parser.parse(bytes);
        bytes.remove_prefix(std::min(step.taken, bytes.size()));
        if (m_unreadable || step.progress == ParseProgress::Malformed || step.progress == ParseProgress::HeadTooLarge) {
            constexpr int badRequest = 400;
            constexpr int headersTooLarge = 431;
            refuse(m_unreadable ? m_unreadable : (step.progress == ParseProgress::Malformed ? badRequest : headersTooLarge));
            return;
        }
        if (step.progress == ParseProgress::NeedsMore)
            break;
        dispatch();
        if (m_exchange) {
            m_ahead.assign(bytes);
            break;
        }
        // The answer was given at once: the request behind it is read from what is left.
        if (m_finished)
            break;
    }
    m_consuming = false;
}

void CallerConnection::onRequestHead(RequestHead head)
{
    m_head = std::move(head);
    m_body.clear();
    constexpr std::string_view continueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string* expect = m_head.headers.find("expect");
    if (expect && equalsIgnoringCase(*expect, "100-continue"))
        m_connection->write(continueAnswer);
}

void CallerConnection::onRequestBody(std::string_view piece)
{
    constexpr int bodyTooLarge = 413;
    if (m_body.size() + piece.size() > m_server.bounds().bodyBytes)
        m_unreadable = bodyTooLarge;
    else
        m_body.append(piece);
    if (!m_server.uploads() || m_unreadable)
        return;
    m_uploadKnown = true;
    m_server.uploads()->onUploadGrew(m_id, m_body.capacity());
}

void CallerConnection::dispatch()
{
    endUpload();
    m_exchange = std::make_shared<ConnectionExchange>(weak_from_this(), std::move(m_head), std::move(m_body));
    m_head = RequestHead();
    m_body = std::string();
    m_server.handler().onRequest(m_exchange);
}

void CallerConnection::answered()
{
    auto self = shared_from_this();
    bool closes = closesAfterAnswer();
    m_exchange = nullptr;
    m_since = m_server.loop().now();
    if (closes) {
        closeWhenTaken();
        return;
    }
    m_connection->setReading(true);
    if (m_ahead.empty() || m_consuming)
        return;
    std::string ahead = std::exchange(m_ahead, std::string());
    consume(ahead);
}

void CallerConnection::refuse(int status)
{
    endUpload();
    m_server.handler().onUnreadable(status);
    std::string out = base::concat("HTTP/1.1 ", status, " ", reasonPhrase(status), "\r\n");
    appendHeader(out, "Content-Length", "0");
    appendHeader(out, "Connection", "close");
    out += "\r\n";
    m_connection->write(out);
    closeWhenTaken();
}

void CallerConnection::checkTime(base::Instant now)
{
    if (m_exchange)
        return;
    constexpr int requestTimedOut = 408;
    if (m_parser.midMessage()) {
        if (now - m_since > m_server.bounds().requestTimeout)
            refuse(requestTimedOut);
    } else if (now - m_since > m_server.bounds().idleTimeout) {
        close();
    }
}

} // namespace

void ServerExchange::answer(AnswerHead head, std::string_view body)
{
    if (!head.untilClose)
        head.length = body.size();
    begin(std::move(head));
    write(body);
    end();
}

base::Result<std::unique_ptr<Server>> Server::listen(io::EventLoop& loop, const base::Endpoint& endpoint, RequestHandler& handler)
{
    BOOST_LEAF_AUTO(socket, io::listenAt(endpoint));
    sockaddr_in bound {};
    socklen_t size = sizeof(bound);
    getsockname(socket.descriptor(), reinterpret_cast<sockaddr*>(&bound), &size);
    base::Endpoint at { endpoint.address, ntohs(bound.sin_port) };
    return std::unique_ptr<Server>(std::make_unique<ListeningServer>(loop, std::move(socket), at, handler));
}

} // namespace toucanstep::http1
