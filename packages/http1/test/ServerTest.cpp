#include "toucanstep/http1/Server.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/testing/Waiting.h"

#include <CppUTest/TestHarness.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace toucanstep;
using namespace toucanstep::http1;
using namespace toucanstep::testing;

namespace {

using ExchangePointer = std::shared_ptr<ServerExchange>;

// A caller that speaks bytes.
class RawCaller {
public:
    // The system keeps about `receiveBuffer` bytes that are not read; 0 for its own choice.
    explicit RawCaller(uint16_t port, int receiveBuffer = 0)
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        if (receiveBuffer)
            setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        timeval bound { 30, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof(bound));
        CHECK_EQUAL(0, connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    }
    ~RawCaller() { hangUp(); }
    void send(std::string_view bytes) { CHECK_EQUAL(static_cast<ssize_t>(bytes.size()), ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL)); }
    void hangUp()
    {
        if (m_socket >= 0)
            close(std::exchange(m_socket, -1));
    }
    // What has come once `text` is in it, or once the connection has ended.
    std::string readUntil(std::string_view text)
    {
        std::string all;
        char buffer[4096];
        while (all.find(text) == std::string::npos) {
            ssize_t size = recv(m_socket, buffer, sizeof(buffer), 0);
            m_reset = size < 0 && errno == ECONNRESET;
            if (size <= 0)
                break;
            all.append(buffer, static_cast<size_t>(size));
        }
        return all;
    }
    std::string readToEnd() { return readUntil("\x01never\x01"); }
    // The last read found that the connection had been reset.
    bool reset() const { return m_reset; }

private:
    int m_socket;
    bool m_reset = false;
};

bool contains(const std::string& text, std::string_view part) { return text.find(part) != std::string::npos; }

// Hands each exchange to the test.
class Recorder final : public RequestHandler {
public:
    void onRequest(ExchangePointer exchange) override { requests.put(std::move(exchange)); }
    void onUnreadable(int status) override { unreadable.put(status); }
    Mailbox<ExchangePointer> requests;
    Mailbox<int> unreadable;
};

} // namespace

TEST_GROUP(Server)
{
    Recorder recorder;
    Mailbox<ExchangePointer>& requests = recorder.requests;
    Mailbox<int>& unreadable = recorder.unreadable;
    io::EventLoop loop;
    std::unique_ptr<http1::Server> server;

    void setup() override
    {
        loop.runAndWait([this] {
            base::Error error;
            auto started = base::valueOr(error, [this] { return http1::Server::listen(loop, { "127.0.0.1", 0 }, recorder); });
            CHECK_TRUE(started.has_value());
            server = std::move(*started);
        });
    }
    void teardown() override
    {
        loop.runAndWait([this] { server.reset(); });
    }

    ExchangePointer next()
    {
        auto exchange = requests.take();
        CHECK_TRUE(exchange.has_value());
        return *exchange;
    }
    void answer(const ExchangePointer& exchange, std::string_view body = "ok")
    {
        loop.runAndWait([&] { exchange->answer({}, body); });
    }
    uint16_t port() const { return server->endpoint().port; }
};

TEST(Server, ARequestInChunksArrivesWhole)
{
    RawCaller caller(port());
    caller.send("POST /a?b=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    auto exchange = next();
    STRCMP_EQUAL("/a?b=1", exchange->head().target.c_str());
    STRCMP_EQUAL("abcde", exchange->body().c_str());
    answer(exchange);
    CHECK_TRUE(contains(caller.readUntil("ok"), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"));
}

TEST(Server, RequestsThatCameTogetherAreAnsweredOneAfterAnother)
{
    RawCaller caller(port());
    caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    auto first = next();
    STRCMP_EQUAL("/1", first->head().target.c_str());
    CHECK_FALSE(requests.take(base::Duration::zero()).has_value());
    answer(first, "one");
    auto second = next();
    STRCMP_EQUAL("/2", second->head().target.c_str());
    answer(second, "two");
    CHECK_TRUE(contains(caller.readUntil("two"), "two"));
}

TEST(Server, ARequestThatIsFramedInTwoWaysIsRefused)
{
    // A second request would be smuggled past the checks, hidden in what one side takes for the first one's body.
    for (std::string_view head : { "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 4\r\nContent-Length: 5\r\n" }) {
        RawCaller caller(port());
        caller.send(base::concat("POST / HTTP/1.1\r\nHost: h\r\n", head, "\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"));
        CHECK_TRUE(contains(caller.readToEnd(), " 400 "));
        CHECK_EQUAL(400, *unreadable.take());
    }
    CHECK_FALSE(requests.take(base::Duration::zero()).has_value());
}

TEST(Server, BodiesAndHeadsAboveTheirBoundsAreRefused)
{
    loop.runAndWait([this] { server->setBounds({ .headBytes = 200, .bodyBytes = 8 }); });
    RawCaller large(port());
    large.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789");
    CHECK_TRUE(contains(large.readToEnd(), " 413 "));
    RawCaller wide(port());
    wide.send(base::concat("GET / HTTP/1.1\r\nHost: h\r\nX: ", std::string(300, 'x'), "\r\n\r\n"));
    CHECK_TRUE(contains(wide.readToEnd(), " 431 "));
}

TEST(Server, ACallerThatLeavesIsNoticedWhileItsAnswerIsAwaited)
{
    RawCaller caller(port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    auto exchange = next();
    Mailbox<bool> left;
    loop.runAndWait([&] { exchange->onGone([&] { left.put(true); }); });
    caller.hangUp();
    CHECK_TRUE(left.take().has_value());
    CHECK_TRUE(exchange->gone());
}

TEST(Server, AnAnswerThatIsGivenUpNeverLooksWhole)
{
    RawCaller caller(port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    auto exchange = next();
    loop.runAndWait([&] {
        exchange->begin({});
        exchange->write("part");
        exchange->abort();
    });
    std::string all = caller.readToEnd();
    CHECK_TRUE(contains(all, "part"));
    CHECK_FALSE(contains(all, lastChunk));
}

TEST(Server, AnAnswerWithoutFramingClaimsNothingAboutItsEnd)
{
    RawCaller caller(port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    auto exchange = next();
    loop.runAndWait([&] {
        AnswerHead head;
        head.untilClose = true;
        exchange->answer(head, "body");
    });
    std::string all = caller.readToEnd();
    CHECK_TRUE(contains(all, "Connection: close\r\n"));
    CHECK_TRUE(all.ends_with("\r\n\r\nbody"));
    CHECK_FALSE(contains(all, "Content-Length") || contains(all, "chunked"));
    CHECK_FALSE(caller.reset());
}

// Guards against an answer that only its connection ends and that looks whole since the connection is closed in order.
TEST(Server, AnAnswerWithoutFramingIsResetIfItIsGivenUp)
{
    RawCaller caller(port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    auto exchange = next();
    loop.runAndWait([&] {
        AnswerHead head;
        head.untilClose = true;
        exchange->begin(head);
        exchange->write("part");
    });
    CHECK_TRUE(contains(caller.readUntil("part"), "part"));
    loop.runAndWait([&] { exchange->abort(); });
    caller.readToEnd();
    CHECK_TRUE(caller.reset());
}

// Guards against chunk sizes that an HTTP/1.0 caller would take for a part of the body.
TEST(Server, ACallerOfHttp10GetsNoChunks)
{
    RawCaller caller(port());
    caller.send("GET / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
    auto exchange = next();
    loop.runAndWait([&] {
        exchange->begin({});
        exchange->write("body");
        exchange->end();
    });
    std::string all = caller.readToEnd();
    CHECK_TRUE(contains(all, "Connection: close\r\n"));
    CHECK_TRUE(all.ends_with("\r\n\r\nbody"));
}

TEST(Server, TheAnswerToHeadHasNoBody)
{
    RawCaller caller(port());
    caller.send("HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    answer(next(), "body");
    std::string all = caller.readToEnd();
    CHECK_TRUE(contains(all, "Content-Length: 4\r\n"));
    CHECK_FALSE(contains(all, "body"));
}

TEST(Server, WhileItClosesAKeptConnectionIsServedAndTold)
{
    // A caller would lose a request that crosses a close. Until the process ends, requests on open connections are
    // answered, and the answer says that the connection closes.
    RawCaller caller(port());
    caller.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    answer(next(), "one");
    caller.readUntil("one");
    loop.runAndWait([this] { server->closeAfterAnswers(); });
    caller.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    answer(next(), "two");
    std::string all = caller.readToEnd();
    CHECK_TRUE(contains(all, "Connection: close\r\n"));
    CHECK_TRUE(contains(all, "two"));
}

// Guards against an answer that is cut where its connection closes after it and its caller has not taken all of it yet.
TEST(Server, AnAnswerThatClosesItsConnectionArrivesWholeAtASlowCaller)
{
    RawCaller caller(port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    std::string body(16 * 1024 * 1024, 'x');
    auto exchange = next();
    answer(exchange, body);
    CHECK_TRUE(exchange->unsentBytes() > 0);
    exchange.reset();
    std::string all = caller.readToEnd();
    LONGS_EQUAL(body.size(), all.size() - all.find("\r\n\r\n") - 4);
}

// Guards against an answer that is cut since its kept connection counts as idle while the caller is still reading.
TEST(Server, AServerThatStopsLetsCallersReadWhatWasAnswered)
{
    RawCaller caller(port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::string body(16 * 1024 * 1024, 'x');
    answer(next(), body);
    loop.runAndWait([&] {
        server->stop();
        CHECK_TRUE(server->unsentBytes() > 0);
    });
    std::string all = caller.readToEnd();
    LONGS_EQUAL(body.size(), all.size() - all.find("\r\n\r\n") - 4);
    loop.runAndWait([&] { LONGS_EQUAL(0, server->unsentBytes()); });
}

// Guards against a request that is reset since it had come, and was not read, when the server stopped.
TEST(Server, AServerThatStopsAnswersWhatHasCome)
{
    std::unique_ptr<RawCaller> kept = std::make_unique<RawCaller>(port());
    kept->send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
    answer(next(), "first");
    kept->readUntil("first");
    std::unique_ptr<RawCaller> fresh;
    loop.runAndWait([&] {
        kept->send("GET /kept HTTP/1.1\r\nHost: h\r\n\r\n");
        fresh = std::make_unique<RawCaller>(port());
        fresh->send("GET /fresh HTTP/1.1\r\nHost: h\r\n\r\n");
        server->stop();
    });
    for (int count = 0; count < 2; ++count)
        answer(next(), "last");
    CHECK_TRUE(contains(kept->readToEnd(), "last"));
    CHECK_TRUE(contains(fresh->readToEnd(), "last"));
    loop.runAndWait([&] { LONGS_EQUAL(0, server->connections()); });
}

// Guards against an answer whose end is lost with the connection: its caller had sent more, so that closing reset it.
TEST(Server, AnAnswerIsWholeThoughItsCallerHasSentMore)
{
    constexpr int smallBuffer = 2304;
    RawCaller caller(port(), smallBuffer);
    caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    std::string body(30'000, 'x');
    answer(next(), body);
    bool handedToSystem = false;
    while (!handedToSystem)
        loop.runAndWait([&] { handedToSystem = !server->connections() && !server->unsentBytes(); });
    caller.send("GET /more HTTP/1.1\r\nHost: h\r\n\r\n");
    std::string all = caller.readToEnd();
    LONGS_EQUAL(body.size(), all.size() - all.find("\r\n\r\n") - 4);
}

// Guards against unread bytes of an answer that has ended being held without a way to release them, and against its looking whole.
TEST(Server, AnAnswerThatHasEndedIsCutWhileItIsUnread)
{
    RawCaller caller(port());
    caller.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    auto exchange = next();
    std::string body(16 * 1024 * 1024, 'x');
    answer(exchange, body);
    loop.runAndWait([&] { exchange->abort(); });
    LONGS_EQUAL(0, exchange->unsentBytes());
    CHECK_TRUE(caller.readToEnd().size() < body.size());
}

// Guards against uploads that are not counted while they are read, and against one that cannot be ended.
TEST(Server, RequestsThatAreReadAreReportedAndCanBeRefused)
{
    struct Uploads final : UploadListener {
        void onUploadGrew(uint64_t connection, size_t bytes) override { grown.put({ connection, bytes }); }
        void onUploadEnded(uint64_t connection) override { ended.put(connection); }
        Mailbox<std::pair<uint64_t, size_t>> grown;
        Mailbox<uint64_t> ended;
    };
    Uploads uploads;
    loop.runAndWait([&] { server->setUploadListener(&uploads); });
    RawCaller caller(port());
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + std::string(1000, 'x'));
    auto grown = uploads.grown.take();
    CHECK_TRUE(grown.has_value() && grown->second >= 1000);
    loop.runAndWait([&] { server->refuseUpload(grown->first); });
    CHECK_TRUE(contains(caller.readToEnd(), "HTTP/1.1 503 "));
    CHECK_TRUE(uploads.ended.take() == grown->first);
    LONGS_EQUAL(503, unreadable.take().value_or(0));
    loop.runAndWait([&] { server->setUploadListener(nullptr); });
}
