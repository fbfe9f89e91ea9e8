#include "toucanstep/http1/Client.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/http1/Parser.h"
#include "toucanstep/io/Connection.h"

#include <algorithm>
#include <list>
#include <optional>

namespace toucanstep::http1 {

class Client::ClientConnection final : public io::ConnectionListener, public ResponseListener, public std::enable_shared_from_this<ClientConnection> {
public:
    ClientConnection(std::weak_ptr<Pool> pool, io::EventLoop& loop, Peer peer)
        : m_pool(std::move(pool))
        , m_loop(loop)
        , m_peer(std::move(peer))
        , m_parser(this)
    {
    }
    ~ClientConnection() override
    {
        m_loop.cancel(m_connectTimer);
        if (m_connection)
            m_connection->close();
    }

    // Both return the number by which the exchange can be cancelled.
    uint64_t open(OutgoingRequest request, ExchangeListener* listener)
    {
        m_listener = listener;
        m_request = std::move(request);
        base::Error error;
        auto socket = base::valueOr(error, [&] { return io::connectTo(m_peer.endpoint); });
        // Without a socket the failure is told from the loop, so that no listener is called from within send().
        base::Instant giveUp = socket ? m_request.connectDeadline : m_loop.now();
        if (auto pool = m_pool.lock(); socket && pool)
            limitBuffer(*socket, *pool);
        if (socket)
            m_connection = io::Connection::start(m_loop, std::move(*socket), io::Connection::Origin::Opened, this);
        m_connectTimer = m_loop.at(giveUp, [this] { breakOff(Breakage::NotSent); });
        return ++m_exchange;
    }
    uint64_t use(OutgoingRequest request, ExchangeListener* listener)
    {
        m_listener = listener;
        m_request = std::move(request);
        transmit();
        return ++m_exchange;
    }
    // Once its answer is whole, an exchange's connection may serve another one, which goes on.
    void cancel(uint64_t exchange)
    {
        if (exchange != m_exchange || !m_listener)
            return;
        m_listener = nullptr;
        end();
    }
    void setReading(uint64_t exchange, bool reading)
    {
        if (exchange == m_exchange && m_listener && m_connection)
            m_connection->holdBack(!reading);
    }
    void readPiece(uint64_t exchange, size_t most)
    {
        // Reading may end the exchange and release what holds this.
        auto self = shared_from_this();
        auto connection = m_connection;
        if (exchange == m_exchange && m_listener && connection)
            connection->readPiece(most);
    }
    void setListener(uint64_t exchange, ExchangeListener* listener)
    {
        if (exchange == m_exchange && m_listener)
            m_listener = listener;
    }

    const Peer& peer() const { return m_peer; }
    base::Instant useUntil() const { return m_useUntil; }
    bool alive() const { return m_connection != nullptr; }

    void onConnected() override
    {
        m_loop.cancel(m_connectTimer);
        transmit();
    }
    void onBytes(std::string_view bytes) override;
    void onPeerClosed(io::CloseCause cause) override;
    void onResponseHead(ResponseHead head) override
    {
        m_keepAlive = head.keepAlive && head.framing != BodyFraming::ToEnd;
        noteIdleTime(head.headers);
        if (m_listener)
            m_listener->onHead(std::move(head));
    }
    void onResponseBody(std::string_view piece) override
    {
        if (m_listener)
            m_listener->onBody(piece);
    }

private:
    static void limitBuffer(const io::Socket&, const Pool&);
    void transmit()
    {
        m_parser.expect(m_request.answersHead);
        m_request.head += m_request.body;
        m_connection->write(m_request.head);
        m_request = OutgoingRequest();
        m_sent = true;
    }
    void noteIdleTime(const HeaderList& headers);
    void finishWhole(bool extraBytes);
    void breakOffUnreadable(std::string_view fault)
    {
        base::LogLine("answer_unreadable").add("peer", m_peer.name).add("endpoint", m_peer.endpoint.text()).add("reason", fault);
        breakOff(Breakage::Malformed);
    }
    void breakOff(Breakage breakage)
    {
        auto self = shared_from_this();
        ExchangeListener* listener = std::exchange(m_listener, nullptr);
        end();
        if (listener)
            listener->onBroken(breakage);
    }
    void end()
    {
        m_loop.cancel(m_connectTimer);
        if (m_connection)
            m_connection->close();
        m_connection = nullptr;
    }

    std::weak_ptr<Pool> m_pool;
    io::EventLoop& m_loop;
    Peer m_peer;
    ResponseParser m_parser;
    std::shared_ptr<io::Connection> m_connection;
    ExchangeListener* m_listener = nullptr;
    OutgoingRequest m_request;
    io::EventLoop::TimerId m_connectTimer = 0;
    uint64_t m_exchange = 0;
    bool m_sent = false;
    bool m_keepAlive = false;
    std::optional<base::Duration> m_serverIdle;
    base::Instant m_useUntil;
};

class Client::Pool : public std::enable_shared_from_this<Pool> {
public:
    Pool(io::EventLoop& loop, ClientOptions options)
        : m_loop(loop)
        , m_options(options)
    {
    }

    // The one that was used last, so that the others can grow old.
    std::shared_ptr<ClientConnection> takeIdle(const Peer& peer)
    {
        auto found = m_idle.find(peer);
        while (found != m_idle.end() && !found->second.empty()) {
            auto connection = found->second.back();
            found->second.pop_back();
            if (connection->alive() && connection->useUntil() > m_loop.now())
                return connection;
        }
        return nullptr;
    }
    void putIdle(std::shared_ptr<ClientConnection> connection)
    {
        auto& idle = m_idle[connection->peer()];
        if (idle.size() < m_options.idlePerPeer)
            idle.push_back(std::move(connection));
    }
    void dropIdle(const ClientConnection* connection)
    {
        auto found = m_idle.find(connection->peer());
        if (found != m_idle.end())
            std::erase_if(found->second, [&](const auto& idle) { return idle.get() == connection; });
    }
    void forget(const std::string& name)
    {
        std::erase_if(m_idle, [&](const auto& entry) { return entry.first.name == name; });
    }
    void sweep()
    {
        for (auto& [peer, idle] : m_idle)
            std::erase_if(idle, [&](const auto& connection) { return !connection->alive() || connection->useUntil() <= m_loop.now(); });
        std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
    }

    io::EventLoop& loop() { return m_loop; }
    const ClientOptions& options() const { return m_options; }
    ClientCounters& counters() { return m_counters; }

private:
    io::EventLoop& m_loop;
    ClientOptions m_options;
    ClientCounters m_counters;
    std::map<Peer, std::vector<std::shared_ptr<ClientConnection>>> m_idle;
};

void Client::ClientConnection::limitBuffer(const io::Socket& socket, const Pool& pool)
{
    if (pool.options().receiveBufferBytes)
        io::limitReceiveBuffer(socket, pool.options().receiveBufferBytes);
}

void Client::ClientConnection::noteIdleTime(const HeaderList& headers)
{
    const std::string* keepAlive = headers.find("keep-alive");
    if (!keepAlive)
        return;
    forEachElement(*keepAlive, [&](std::string_view element) {
        constexpr std::string_view parameter = "timeout=";
        constexpr int64_t longestIdleSeconds = 3600;
        if (!element.starts_with(parameter))
            return;
        if (auto seconds = parseNumber(element.substr(parameter.size())))
            m_serverIdle = std::chrono::seconds(std::min(*seconds, longestIdleSeconds));
    });
}

void Client::ClientConnection::onBytes(std::string_view bytes)
{
    auto self = shared_from_this();
    if (!m_listener) {
        // Nobody waits: what a server sends unasked belongs to no request.
        if (auto pool = m_pool.lock()) {
            pool->counters().strayBytes += static_cast<int64_t>(bytes.size());
            pool->dropIdle(this);
        }
        end();
        return;
    }
    ParseStep step = m_parser.parse(bytes);
    if (!m_listener)
        return;
    if (step.progress == ParseProgress::Whole)
        finishWhole(step.taken < bytes.size());
    else if (step.progress != ParseProgress::NeedsMore)
        breakOffUnreadable(step.fault);
}

void Client::ClientConnection::onPeerClosed(io::CloseCause cause)
{
    auto self = shared_from_this();
    m_connection = nullptr;
    if (!m_listener) {
        if (auto pool = m_pool.lock())
            pool->dropIdle(this);
        return;
    }
    if (!m_sent) {
        breakOff(Breakage::NotSent);
        return;
    }
    if (cause == io::CloseCause::Orderly && m_parser.parseEnd() == ParseProgress::Whole) {
        m_keepAlive = false;
        finishWhole(false);
        return;
    }
    breakOff(Breakage::Broken);
}

void Client::ClientConnection::finishWhole(bool extraBytes)
{
    ExchangeListener* listener = std::exchange(m_listener, nullptr);
    auto pool = m_pool.lock();
    base::Duration use = pool ? pool->options().idleUse : base::Duration::zero();
    if (pool && m_serverIdle)
        use = *m_serverIdle - pool->options().idleMargin;
    if (extraBytes && pool)
        ++pool->counters().strayBytes;
    // A server that answered before it read the whole request would take what is left of it for the next one.
    bool reusable = pool && m_keepAlive && !extraBytes && m_connection && !m_connection->unsentBytes() && use > base::Duration::zero();
    if (reusable) {
        m_useUntil = m_loop.now() + use;
        m_connection->holdBack(false);
        pool->putIdle(shared_from_this());
    } else {
        end();
    }
    if (listener)
        listener->onWhole();
}

class Client::ClientExchange final : public Exchange {
public:
    ClientExchange(std::shared_ptr<ClientConnection> connection, uint64_t number)
        : m_connection(std::move(connection))
        , m_number(number)
    {
    }
    ~ClientExchange() override { m_connection->cancel(m_number); }
    void cancel() override { m_connection->cancel(m_number); }
    void setReading(bool reading) override { m_connection->setReading(m_number, reading); }
    void readPiece(size_t most) override { m_connection->readPiece(m_number, most); }
    void setListener(ExchangeListener* listener) override { m_connection->setListener(m_number, listener); }

private:
    std::shared_ptr<ClientConnection> m_connection;
    uint64_t m_number;
};

Client::Client(io::EventLoop& loop, ClientOptions options)
    : m_pool(std::make_shared<Pool>(loop, options))
    , m_underWay(std::make_shared<UnderWay>())
{
}

Client::~Client() = default;

std::unique_ptr<Exchange> Client::send(const Peer& peer, OutgoingRequest request, ExchangeListener* listener)
{
    if (auto idle = m_pool->takeIdle(peer)) {
        ++m_pool->counters().reused;
        uint64_t number = idle->use(std::move(request), listener);
        return std::make_unique<ClientExchange>(std::move(idle), number);
    }
    ++m_pool->counters().opened;
    auto connection = std::make_shared<ClientConnection>(m_pool, m_pool->loop(), peer);
    uint64_t number = connection->open(std::move(request), listener);
    return std::make_unique<ClientExchange>(std::move(connection), number);
}

void Client::forget(const std::string& peerName) { m_pool->forget(peerName); }

void Client::sweep() { m_pool->sweep(); }

const ClientCounters& Client::counters() const { return m_pool->counters(); }

namespace {

// Owned by the client until its callback has been called: a process that ends with a fetch under way would leak one that
// owns itself, since the loop ends before the deadline.
class Fetch final : public ExchangeListener, public std::enable_shared_from_this<Fetch> {
public:
    Fetch(io::EventLoop& loop, FetchBounds bounds, FetchCallback callback, FetchProgress progress)
        : m_loop(loop)
        , m_bounds(bounds)
        , m_callback(std::move(callback))
        , m_progress(std::move(progress))
    {
    }

    ~Fetch() override { m_loop.cancel(m_timer); }

    void start(Client& client, const Peer& peer, OutgoingRequest request)
    {
        m_answer.sent = m_loop.now();
        m_client = client.underWay();
        m_client.lock()->insert(shared_from_this());
        m_exchange = client.send(peer, std::move(request), this);
        m_timer = m_loop.at(givenUpAt(), [this] { checkTime(); });
    }

    void onHead(ResponseHead head) override
    {
        m_answer.began = m_loop.now();
        m_answer.status = head.status;
        m_answer.headers = std::move(head.headers);
        const std::string* length = head.framing == BodyFraming::Length ? m_answer.headers.find("content-length") : nullptr;
        auto bytes = length ? parseNumber(*length) : std::nullopt;
        if (bytes && static_cast<size_t>(*bytes) > m_bounds.maxBodyBytes) {
            failTooLarge();
            return;
        }
        noteProgress();
    }
    void onBody(std::string_view piece) override
    {
        if (piece.size() > m_bounds.maxBodyBytes - m_answer.body.size()) {
            failTooLarge();
            return;
        }
        m_answer.body.append(piece);
        noteProgress();
    }
    void onWhole() override { finish(std::move(m_answer)); }
    void onBroken(Breakage breakage) override
    {
        switch (breakage) {
        case Breakage::NotSent:
            fail(base::ErrorKind::Unavailable, "not connected");
            return;
        case Breakage::Malformed:
            fail(base::ErrorKind::Malformed, "the answer cannot be read");
            return;
        case Breakage::Broken:
            fail(base::ErrorKind::Timeout, "the connection broke before the answer was whole");
            return;
        }
    }

private:
    base::Instant givenUpAt() const
    {
        if (!m_heard)
            return std::min(m_bounds.begin, m_bounds.end);
        bool silenceFirst = m_bounds.end - *m_heard > m_bounds.longestSilence;
        return silenceFirst ? *m_heard + m_bounds.longestSilence : m_bounds.end;
    }

    void noteProgress()
    {
        bool begins = !m_heard;
        m_heard = m_loop.now();
        if (begins) {
            m_loop.cancel(m_timer);
            m_timer = m_loop.at(givenUpAt(), [this] { checkTime(); });
        }
        if (m_progress)
            m_progress(m_answer);
    }

    // While an answer is arriving the timer is moved only when it is due, not with each piece.
    void checkTime()
    {
        base::Instant until = givenUpAt();
        if (m_loop.now() >= until)
            fail(base::ErrorKind::Timeout, "no whole answer in time");
        else
            m_timer = m_loop.at(until, [this] { checkTime(); });
    }

    void failTooLarge() { fail(base::ErrorKind::TooLarge, base::concat("the answer has more than ", m_bounds.maxBodyBytes, " bytes")); }

    void fail(base::ErrorKind kind, std::string_view what)
    {
        finish(base::Error { kind, base::concat(what, "; ", m_answer.body.size(), " bytes of it came") });
    }

    void finish(base::Outcome<FetchedAnswer> outcome)
    {
        auto self = shared_from_this();
        m_loop.cancel(m_timer);
        m_exchange.reset();
        // Whoever fetched ends with the client, and must not be called any more.
        auto client = m_client.lock();
        if (!client)
            return;
        client->erase(self);
        client.reset();
        m_callback(std::move(outcome));
    }

    io::EventLoop& m_loop;
    FetchBounds m_bounds;
    FetchCallback m_callback;
    FetchProgress m_progress;
    // When a part of the answer last came.
    std::optional<base::Instant> m_heard;
    std::weak_ptr<Client::UnderWay> m_client;
    std::unique_ptr<Exchange> m_exchange;
    io::EventLoop::TimerId m_timer = 0;
    FetchedAnswer m_answer;
};

} // namespace

void fetch(io::EventLoop& loop, Client& client, const Peer& peer, std::string_view method, std::string_view target, const HeaderList& headers, std::string_view body, base::Instant deadline, FetchCallback callback)
{
    fetch(loop, client, peer, method, target, headers, body, FetchBounds { deadline, deadline, base::Duration::max() }, std::move(callback));
}

void fetch(io::EventLoop& loop, Client& client, const Peer& peer, std::string_view method, std::string_view target, const HeaderList& headers, std::string_view body, FetchBounds bounds, FetchCallback callback, FetchProgress progress)
{
    OutgoingRequest request;
    request.head.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    appendHeader(request.head, "Host", peer.endpoint.text());
    for (const Header& header : headers.all())
        appendHeader(request.head, header.name, header.value);
    if (!body.empty() || method == "POST") {
        appendHeader(request.head, "Content-Type", "application/json");
        appendHeader(request.head, "Content-Length", std::to_string(body.size()));
    }
    request.head.append("\r\n");
    request.body = body;
    request.connectDeadline = bounds.begin;
    std::make_shared<Fetch>(loop, bounds, std::move(callback), std::move(progress))->start(client, peer, std::move(request));
}

} // namespace toucanstep::http1
