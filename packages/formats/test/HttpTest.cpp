#include "toucanstep/base/Text.h"
#include "toucanstep/formats/HttpClient.h"
#include "toucanstep/testing/Property.h"
#include "toucanstep/testing/Waiting.h"

#include <arpa/inet.h>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace toucanstep;
using namespace toucanstep::formats;
using namespace toucanstep::testing;

namespace {

using ExchangePointer = std::shared_ptr<HttpExchange>;

class RecordingListener final : public HttpListener {
public:
    void onStatus(int status, const HttpHeaders&) override { statuses.put(status); }
    void onData(std::string_view data) override { pieces.put(std::string(data)); }
    void onEnd(std::optional<base::Error> error) override { ends.put(std::move(error)); }

    Mailbox<int> statuses;
    Mailbox<std::string> pieces;
    Mailbox<std::optional<base::Error>> ends;
};

// A caller that speaks bytes, for what no HTTP client would send.
class RawCaller {
public:
    explicit RawCaller(uint16_t port)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        timeval bound { 30, 0 };
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof(bound));
        m_connected = ::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    }
    ~RawCaller() { ::close(m_socket); }

    bool connected() const { return m_connected; }
    void send(std::string_view text) { [[maybe_unused]] auto sent = ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL); }
    void halfClose() { ::shutdown(m_socket, SHUT_WR); }

    std::string readToEnd()
    {
        std::string all;
        char buffer[4096];
        for (ssize_t size = 0; (size = ::recv(m_socket, buffer, sizeof(buffer), 0)) > 0;)
            all.append(buffer, static_cast<size_t>(size));
        return all;
    }

private:
    int m_socket;
    bool m_connected = false;
};

constexpr std::string_view plainGet = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

TEST_GROUP(Http)
{
    std::unique_ptr<HttpServer> server;
    HttpClient client;
    Mailbox<ExchangePointer> requests;

    void serve(HttpServer::Handler handler, HttpServerOptions options = {})
    {
        base::Error error;
        auto started = base::valueOr(error, [&] { return HttpServer::start(options, std::move(handler)); });
        CHECK_TRUE(started.has_value());
        server = std::move(*started);
    }

    // Hands each exchange to the test.
    void serveByHand()
    {
        serve([this](ExchangePointer exchange) { requests.put(std::move(exchange)); });
    }

    std::string url(std::string_view path = "/x") { return base::concat("http://127.0.0.1:", server->port(), path); }

    void waitUntilIdle()
    {
        while (server->openExchanges() > 0)
            std::this_thread::yield();
    }

    void teardown() override
    {
        server.reset();
    }
};

TEST(Http, ARequestArrivesWithPathQueryHeadersAndBody)
{
    serve([](const ExchangePointer& exchange) {
        const auto& request = exchange->request();
        exchange->respond(201, { { "X-Answer", "yes" } },
            base::concat(request.method, " ", request.path, " ", request.query, " ", findHeader(request.headers, "x-asked"), " ", request.body));
    });
    auto reply = client.fetch({ .method = "POST", .url = url("/a%20b?c=d"), .headers = { { "X-Asked", "1" } }, .body = "body", .deadline = soon() });
    CHECK_FALSE(reply.error.has_value());
    CHECK_EQUAL(201, reply.status);
    STRCMP_EQUAL("POST /a%20b c=d 1 body", reply.body.c_str());
    STRCMP_EQUAL("yes", std::string(findHeader(reply.headers, "X-ANSWER")).c_str());
}

TEST(Http, AnAnswerMayComeLaterFromAnotherThread)
{
    serveByHand();
    std::thread worker([this] { (*requests.take())->respond(200, {}, "late"); });
    auto reply = client.fetch({ .url = url(), .deadline = soon() });
    worker.join();
    STRCMP_EQUAL("late", reply.body.c_str());
}

TEST(Http, PiecesOfAStreamArriveBeforeItsEnd)
{
    serveByHand();
    auto listener = std::make_shared<RecordingListener>();
    auto handle = client.start({ .url = url(), .deadline = soon() }, listener);
    auto exchange = *requests.take();
    exchange->startStream(200, {});
    CHECK_EQUAL(200, *listener->statuses.take());
    exchange->write("one");
    STRCMP_EQUAL("one", listener->pieces.take()->c_str());
    exchange->write("two");
    STRCMP_EQUAL("two", listener->pieces.take()->c_str());
    exchange->finish();
    CHECK_FALSE(listener->ends.take()->has_value());
}

TEST(Http, AnAbortedStreamEndsWithAnErrorAtTheCaller)
{
    // A user would take half an answer for a whole one if a broken stream looked like its end.
    serveByHand();
    auto listener = std::make_shared<RecordingListener>();
    auto handle = client.start({ .url = url(), .deadline = soon() }, listener);
    auto exchange = *requests.take();
    exchange->startStream(200, {});
    exchange->write("half");
    listener->pieces.take();
    exchange->abort();
    auto end = *listener->ends.take();
    CHECK_TRUE(end.has_value());
    CHECK_TRUE(end->kind == base::ErrorKind::Timeout);
    CHECK_FALSE(exchange->write("more"));
}

TEST(Http, TheLastPieceOfACutStreamArrivesBeforeTheError)
{
    // A stream fails in the middle, and its caller sees a broken connection and no reason: the refusal was queued, and
    // aborting the stream threw it away before it was sent. Such streams must not keep their connections either.
    server.reset();
    serve([this](ExchangePointer exchange) { requests.put(std::move(exchange)); }, { .maximumConnections = 8 });
    for (int count = 0; count < 50; ++count) {
        auto listener = std::make_shared<RecordingListener>();
        auto handle = client.start({ .url = url(), .deadline = soon(), .freshConnection = true }, listener);
        auto exchange = *requests.take();
        exchange->startStream(200, {});
        exchange->write("half,");
        exchange->abortAfter("reason");
        CHECK_FALSE(exchange->write("more"));
        exchange->finish();
        std::string received;
        while (received.size() < std::string("half,reason").size()) {
            auto piece = listener->pieces.take();
            CHECK_TRUE(piece.has_value());
            received += *piece;
        }
        STRCMP_EQUAL("half,reason", received.c_str());
        CHECK_TRUE(listener->ends.take()->has_value());
        waitUntilIdle();
    }
}

TEST(Http, AnAbortedStreamFreesItsConnection)
{
    // New callers would be turned away. Streams are aborted or left by their callers while the server waits for the next
    // piece; a connection that the library forgets to close counts against the bound until the idle timeout.
    server.reset();
    serve([this](ExchangePointer exchange) { requests.put(std::move(exchange)); }, { .maximumConnections = 8 });
    for (int count = 0; count < 100; ++count) {
        auto listener = std::make_shared<RecordingListener>();
        auto handle = client.start({ .url = url(), .deadline = soon(), .freshConnection = true }, listener);
        auto exchange = requests.take();
        CHECK_TRUE(exchange.has_value());
        (*exchange)->startStream(200, {});
        (*exchange)->write("piece");
        CHECK_TRUE(listener->pieces.take().has_value());
        if (count % 2 == 0)
            (*exchange)->abort();
        else
            handle.reset();
        CHECK_TRUE(listener->ends.take()->has_value());
        waitUntilIdle();
    }
}

TEST(Http, ARefusedConnectionIsUnavailableAndALostAnswerIsTimeout)
{
    serve([](const ExchangePointer& exchange) { exchange->abort(); });
    auto lost = client.fetch({ .method = "POST", .url = url(), .body = "x", .deadline = soon() });
    CHECK_TRUE(lost.error && lost.error->kind == base::ErrorKind::Timeout);
    std::string closed = url();
    server.reset();
    auto refused = client.fetch({ .method = "POST", .url = closed, .body = "x", .deadline = soon() });
    CHECK_TRUE(refused.error && refused.error->kind == base::ErrorKind::Unavailable);
}

TEST(Http, AWriteIsNotSentTwiceWhenAKeptConnectionBreaks)
{
    // A service would run a call twice. The caller sends it on a kept connection, the server runs it and breaks the
    // connection without an answer; libcurl by itself would send it again on a new connection.
    std::atomic<int> ran = 0;
    serve([&](const ExchangePointer& exchange) {
        if (exchange->request().method == "GET")
            exchange->respond(200, {}, "");
        else {
            ++ran;
            exchange->abort();
        }
    });
    CHECK_TRUE(client.fetch({ .url = url(), .deadline = soon() }).ok());
    auto reply = client.fetch({ .method = "POST", .url = url(), .body = "x", .deadline = soon() });
    CHECK_TRUE(reply.error && reply.error->kind == base::ErrorKind::Timeout);
    CHECK_EQUAL(1, ran.load());
}

TEST(Http, TheDeadlineEndsACallThatGetsNoAnswer)
{
    serveByHand();
    auto reply = client.fetch({ .url = url(), .deadline = soon(std::chrono::milliseconds(50)) });
    CHECK_TRUE(reply.error && reply.error->kind == base::ErrorKind::Timeout);
}

TEST(Http, TheSilenceLimitEndsACallOnASilentConnection)
{
    serveByHand();
    auto listener = std::make_shared<RecordingListener>();
    auto handle = client.start({ .url = url(), .deadline = soon(), .silenceLimit = std::chrono::milliseconds(100) }, listener);
    auto exchange = *requests.take();
    exchange->startStream(200, {});
    exchange->write("then nothing");
    STRCMP_EQUAL("then nothing", listener->pieces.take()->c_str());
    auto end = *listener->ends.take();
    CHECK_TRUE(end.has_value() && end->kind == base::ErrorKind::Timeout);
}

TEST(Http, ACancelledCallEndsAndTheServerHearsOfIt)
{
    serveByHand();
    auto listener = std::make_shared<RecordingListener>();
    auto handle = client.start({ .url = url(), .deadline = soon() }, listener);
    auto exchange = *requests.take();
    Mailbox<bool> gone;
    exchange->onCallerGone([&] { gone.put(true); });
    handle.reset();
    CHECK_TRUE(listener->ends.take()->has_value());
    CHECK_TRUE(gone.take().has_value());
    CHECK_TRUE(exchange->callerGone());
    waitUntilIdle();
}

TEST(Http, AHalfClosedCallerIsGone)
{
    // The work for a caller that has left goes on and holds its place. The caller closed its side; while the answer is being
    // worked on nobody reads the connection.
    serveByHand();
    RawCaller caller(server->port());
    caller.send(plainGet);
    auto exchange = *requests.take();
    Mailbox<bool> gone;
    exchange->onCallerGone([&] { gone.put(true); });
    caller.halfClose();
    CHECK_TRUE(gone.take().has_value());
    waitUntilIdle();
}

TEST(Http, ASlowReaderShowsInTheQueuedBytes)
{
    serveByHand();
    RawCaller caller(server->port());
    caller.send(plainGet);
    auto exchange = *requests.take();
    exchange->startStream(200, {});
    const std::string piece(1024 * 1024, 'x');
    // The system's own buffers hold some megabytes at most.
    for (int count = 0; count < 32; ++count)
        CHECK_TRUE(exchange->write(piece));
    CHECK_TRUE(exchange->queuedBytes() > piece.size());
    exchange->abort();
    waitUntilIdle();
    CHECK_EQUAL(0U, exchange->queuedBytes());
}

TEST(Http, ABodyAboveTheBoundIsRefused)
{
    serve([](const ExchangePointer& exchange) { exchange->respond(200, {}, ""); }, { .maximumBodyBytes = 1000, .bodyTooLargeAnswer = "{}" });
    auto reply = client.fetch({ .method = "POST", .url = url(), .body = std::string(1001, 'x'), .deadline = soon() });
    CHECK_EQUAL(413, reply.status);
    STRCMP_EQUAL("{}", reply.body.c_str());
    reply = client.fetch({ .method = "POST", .url = url(), .body = std::string(1000, 'x'), .deadline = soon() });
    CHECK_EQUAL(200, reply.status);
}

TEST(Http, HundredsOfStreamsRunAtOnce)
{
    constexpr int streams = 400;
    serveByHand();
    std::vector<std::shared_ptr<RecordingListener>> listeners;
    std::vector<std::unique_ptr<HttpCallHandle>> handles;
    for (int index = 0; index < streams; ++index) {
        listeners.push_back(std::make_shared<RecordingListener>());
        handles.push_back(client.start({ .url = url(), .deadline = soon() }, listeners.back()));
    }
    std::vector<ExchangePointer> exchanges;
    for (int index = 0; index < streams; ++index)
        exchanges.push_back(*requests.take());
    CHECK_EQUAL(static_cast<size_t>(streams), server->openExchanges());
    for (const auto& exchange : exchanges) {
        exchange->startStream(200, {});
        exchange->write("token");
        exchange->finish();
    }
    for (const auto& listener : listeners) {
        CHECK_FALSE(listener->ends.take()->has_value());
        STRCMP_EQUAL("token", listener->pieces.take()->c_str());
    }
}

TEST(Http, NonsenseNeitherReachesTheHandlerNorStopsTheServer)
{
    std::atomic<int> reached = 0;
    serve([&](const ExchangePointer& exchange) {
        ++reached;
        exchange->respond(200, {}, "fine");
    });
    // The callers stay connected: libmicrohttpd may leave an unfinished request's end unanswered until the idle timeout.
    std::vector<std::unique_ptr<RawCaller>> callers;
    CHECK_PROPERTY([&](const std::string& nonsense) {
        callers.push_back(std::make_unique<RawCaller>(server->port()));
        RC_ASSERT(callers.back()->connected());
        callers.back()->send(nonsense + "\r\n\r\n");
    });
    STRCMP_EQUAL("fine", client.fetch({ .url = url(), .deadline = soon() }).body.c_str());
    CHECK_EQUAL(1, reached.load());
}

TEST(Http, ARequestWithoutAFormIsAnswered400)
{
    serveByHand();
    RawCaller caller(server->port());
    caller.send("a b c\r\n\r\n");
    STRCMP_CONTAINS("HTTP/1.1 400", caller.readToEnd().c_str());
}

TEST(Http, ALineBreakInAHeaderIsNotSent)
{
    serve([](const ExchangePointer& exchange) { exchange->respond(200, {}, ""); });
    auto reply = client.fetch({ .url = url(), .headers = { { "X-A", "b\r\nX-C: d" } }, .deadline = soon() });
    CHECK_TRUE(reply.error && reply.error->kind == base::ErrorKind::Malformed);
}

TEST(Http, AServerThatStopsAcceptingFinishesWhatRuns)
{
    serveByHand();
    auto listener = std::make_shared<RecordingListener>();
    auto handle = client.start({ .url = url(), .deadline = soon() }, listener);
    auto exchange = *requests.take();
    server->stopAccepting();
    exchange->respond(200, {}, "whole");
    CHECK_FALSE(listener->ends.take()->has_value());
    auto refused = client.fetch({ .url = url(), .deadline = soon(), .freshConnection = true });
    CHECK_TRUE(refused.error && refused.error->kind == base::ErrorKind::Unavailable);
}

TEST(Http, AServerStopsWhileExchangesAreHeld)
{
    serveByHand();
    auto listener = std::make_shared<RecordingListener>();
    auto handle = client.start({ .url = url(), .deadline = soon() }, listener);
    auto exchange = *requests.take();
    server.reset();
    CHECK_TRUE(listener->ends.take()->has_value());
    exchange->respond(200, {}, "too late");
}

namespace {

// A server that answers each connection with bytes, once a head has come, and ends it.
class RawServer {
public:
    explicit RawServer(std::string answer, bool resets = false, std::string repeated = "")
        : m_answer(std::move(answer))
        , m_repeated(std::move(repeated))
        , m_resets(resets)
        , m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        CHECK_EQUAL(0, ::bind(m_socket, reinterpret_cast<sockaddr*>(&address), size));
        CHECK_EQUAL(0, ::listen(m_socket, 8));
        CHECK_EQUAL(0, ::getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size));
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { run(); });
    }
    ~RawServer()
    {
        ::shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        ::close(m_socket);
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    std::string url() const { return base::concat("http://127.0.0.1:", m_port, "/x"); }
    // Of what is repeated until the caller closes.
    size_t sentBytes() const { return m_sentBytes.load(); }

private:
    void run()
    {
        for (int caller = 0; (caller = ::accept(m_socket, nullptr, nullptr)) >= 0; ::close(caller))
            answer(caller);
    }
    void answer(int caller)
    {
        std::string head;
        char buffer[4096];
        while (head.find("\r\n\r\n") == std::string::npos) {
            ssize_t size = ::recv(caller, buffer, sizeof(buffer), 0);
            if (size <= 0)
                return;
            head.append(buffer, static_cast<size_t>(size));
        }
        ::send(caller, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
        for (ssize_t sent = 0; !m_repeated.empty() && (sent = ::send(caller, m_repeated.data(), m_repeated.size(), MSG_NOSIGNAL)) > 0;)
            m_sentBytes += static_cast<size_t>(sent);
        if (!m_resets)
            return;
        // The answer arrives before the reset.
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        linger hard { 1, 0 };
        ::setsockopt(caller, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    }

    std::string m_answer;
    std::string m_repeated;
    bool m_resets;
    int m_socket;
    uint16_t m_port = 0;
    std::atomic<size_t> m_sentBytes = 0;
    std::thread m_thread;
};

} // namespace

// Guards against an answer with an invalid status or field name that is taken for a valid one.
TEST(Http, AnInvalidHeadIsAnErrorThatLeavesOpenWhetherTheCallRan)
{
    std::vector<std::string> heads;
    for (const char* status : { "000", "099", "20", "600", "999", "0200" })
        heads.push_back(base::concat("HTTP/1.1 ", status, " Trouble\r\n"));
    for (const char* field : { "X Y: 1", "X-Y : 1", " X: 1", "X\x01Y: 1", "no colon", "Content-Length : 4", "X: \x01" })
        heads.push_back(base::concat("HTTP/1.1 200 OK\r\n", field, "\r\n"));
    for (const std::string& head : heads) {
        RawServer raw(base::concat(head, "Content-Length: 4\r\n\r\ngood"));
        auto reply = client.fetch({ .method = "POST", .url = raw.url(), .body = "x", .deadline = soon() });
        std::string seen = base::concat(head, reply.error ? reply.error->message : base::concat("taken as ", reply.status));
        CHECK_TRUE_TEXT(reply.error && reply.error->kind != base::ErrorKind::Unavailable, seen.c_str());
    }
    RawServer sound("HTTP/1.1 200\r\nX: a\r\n b\r\nContent-Length: 4\r\n\r\ngood");
    auto reply = client.fetch({ .url = sound.url(), .deadline = soon() });
    CHECK_FALSE(reply.error.has_value());
    STRCMP_EQUAL("a b", std::string(findHeader(reply.headers, "X")).c_str());
    STRCMP_EQUAL("good", reply.body.c_str());
}

// Guards against a part of an answer that looks whole: its connection was reset while the request was still being written.
TEST(Http, AnAnswerThatIsResetDuringAnUploadIsNotWhole)
{
    std::string body(4 * 1024 * 1024, 'x');
    for (const char* rest : { "\r\ngood", "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n", "Content-Length: 5\r\n\r\ngood" }) {
        RawServer raw(base::concat("HTTP/1.1 200 OK\r\n", rest), true);
        CHECK_TRUE_TEXT(client.fetch({ .method = "POST", .url = raw.url(), .body = body, .deadline = soon() }).error.has_value(), rest);
    }
}

// Guards against a body that is not the server's: it has a coding that is not undone, or chunks that do not end where they say.
TEST(Http, ABodyThatCannotBeDecodedIsAnError)
{
    for (const char* rest : { "Transfer-Encoding: gzip\r\n\r\ngood", "Transfer-Encoding: chunked\r\n\r\n4\r\ngoods\r\n0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\ngoodXX0\r\n\r\n", "Transfer-Encoding: chunked, gzip\r\n\r\n4\r\ngood\r\n0\r\n\r\n", "Transfer-Encoding: x\r\n\r\ngood", "Content-Length: 4x\r\n\r\ngood", "Content-Length: 5\r\n\r\ngood", "Content-Length: 2\r\nContent-Length: 4\r\n\r\ngood", "Content-Length: 4\r\nContent-Length: 2\r\n\r\ngood" }) {
        RawServer raw(base::concat("HTTP/1.1 200 OK\r\n", rest));
        auto reply = client.fetch({ .url = raw.url(), .deadline = soon() });
        std::string seen = base::concat(rest, " came as ", reply.body);
        CHECK_TRUE_TEXT(reply.error.has_value(), seen.c_str());
    }
}

// Guards against a process that runs out of memory because of a head without end.
TEST(Http, AHeadWithoutEndIsGivenUp)
{
    // What the system's buffers hold on both sides comes on top of what is read.
    constexpr size_t mostBytes = 16 * 1024 * 1024;
    for (const char* begin : { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n" }) {
        for (const char* repeated : { "X: a\r\n", "X", "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n" }) {
            std::string many;
            for (int count = 0; count < 1000; ++count)
                many += repeated;
            RawServer raw(std::string(begin) == "HTTP/1.1 100 Continue\r\n" ? base::concat(begin, "\r\n") : std::string(begin), false, many);
            auto reply = client.fetch({ .url = raw.url(), .deadline = soon() });
            CHECK_TRUE_TEXT(reply.error.has_value(), repeated);
            CHECK_TRUE_TEXT(raw.sentBytes() < mostBytes, repeated);
        }
    }
}
