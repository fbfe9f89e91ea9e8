#include "toucanstep/http1/Client.h"
#include "RawServer.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/testing/Waiting.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::http1;
using namespace toucanstep::http1::test;
using namespace toucanstep::testing;

namespace {

struct Ending {
    std::optional<Breakage> breakage;
    int status = 0;
    std::string body;
};

class Recorder final : public ExchangeListener {
public:
    void onHead(ResponseHead head) override { m_ending.status = head.status; }
    void onBody(std::string_view piece) override { m_ending.body += piece; }
    void onWhole() override { endings.put(m_ending); }
    void onBroken(Breakage breakage) override
    {
        m_ending.breakage = breakage;
        endings.put(m_ending);
    }
    Mailbox<Ending> endings;

private:
    Ending m_ending;
};

constexpr const char* plainAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr const char* postRequest = "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n";

} // namespace

TEST_GROUP(Client)
{
    io::EventLoop loop;
    std::unique_ptr<http1::Client> client;
    std::vector<std::unique_ptr<Exchange>> exchanges;

    void setup() override
    {
        loop.runAndWait([this] { client = std::make_unique<http1::Client>(loop); });
    }
    void teardown() override
    {
        loop.runAndWait([this] {
            exchanges.clear();
            client.reset();
        });
    }

    Ending post(const base::Endpoint& endpoint, const std::string& body = "xy")
    {
        Recorder recorder;
        loop.runAndWait([&] {
            OutgoingRequest request;
            request.head = postRequest;
            request.body = body;
            request.connectDeadline = loop.now() + std::chrono::seconds(20);
            exchanges.push_back(client->send({ "peer", endpoint }, std::move(request), &recorder));
        });
        auto ending = recorder.endings.take();
        loop.runAndWait([this] { exchanges.clear(); });
        CHECK_TRUE(ending.has_value());
        return *ending;
    }
};

TEST(Client, ASecondRequestGoesOutOnTheKeptConnection)
{
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { plainAnswer, Then::Keep }; });
    CHECK_EQUAL(200, post(server.endpoint()).status);
    CHECK_EQUAL(200, post(server.endpoint()).status);
    CHECK_EQUAL(1, server.connections());
}

TEST(Client, ARequestOnAKeptConnectionThatBreaksIsNotSentAgain)
{
    // A seal order would run twice. It goes out on a kept connection; the service runs it and the connection closes before
    // the answer. A client library that opens a new connection by itself and repeats the order runs it a second time.
    RawServer server(loop, [](const ScriptedRequest& request) {
        return request.request == 0 ? ScriptedAnswer { plainAnswer, Then::Keep } : ScriptedAnswer { "", Then::Close };
    });
    CHECK_EQUAL(200, post(server.endpoint()).status);
    Ending lost = post(server.endpoint());
    CHECK_TRUE(lost.breakage == Breakage::Broken);
    CHECK_EQUAL(2, server.requests());
    CHECK_EQUAL(1, server.connections());
}

TEST(Client, ARefusedConnectionSaysThatNothingWasSent)
{
    base::Endpoint gone;
    {
        RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer {}; });
        gone = server.endpoint();
    }
    CHECK_TRUE(post(gone).breakage == Breakage::NotSent);
}

TEST(Client, AnAnswerThatIsShorterThanItsLengthIsBroken)
{
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", Then::Close }; });
    CHECK_TRUE(post(server.endpoint()).breakage == Breakage::Broken);
}

TEST(Client, AChunkedAnswerWithoutItsLastChunkIsBroken)
{
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", Then::Close }; });
    CHECK_TRUE(post(server.endpoint()).breakage == Breakage::Broken);
}

TEST(Client, AnAnswerWithoutLengthEndsWithItsConnection)
{
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { "HTTP/1.1 200 OK\r\n\r\nok", Then::Close }; });
    Ending ending = post(server.endpoint());
    CHECK_FALSE(ending.breakage.has_value());
    STRCMP_EQUAL("ok", ending.body.c_str());
}

TEST(Client, BytesThatAreNoAnswerAreMalformed)
{
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { "\x01\x02 nonsense\r\n\r\n", Then::Keep }; });
    CHECK_TRUE(post(server.endpoint()).breakage == Breakage::Malformed);
}

TEST(Client, AnInterimAnswerIsNotTheAnswer)
{
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { base::concat("HTTP/1.1 100 Continue\r\n\r\n", plainAnswer), Then::Keep }; });
    CHECK_EQUAL(200, post(server.endpoint()).status);
}

TEST(Client, ASecondAnswerNeverReachesTheNextRequest)
{
    // A caller would get another caller's answer. A faulty service sends two answers to one request; the second one lies
    // in the kept connection when the next request goes out on it.
    RawServer server(loop, [](const ScriptedRequest& request) {
        std::string answer = plainAnswer;
        return ScriptedAnswer { request.connection == 0 ? answer + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother" : answer, Then::Keep };
    });
    STRCMP_EQUAL("ok", post(server.endpoint()).body.c_str());
    STRCMP_EQUAL("ok", post(server.endpoint()).body.c_str());
    CHECK_EQUAL(2, server.connections());
}

TEST(Client, AConnectionIsNotKeptWhereTheServerSaysItCloses)
{
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", Then::Keep }; });
    post(server.endpoint());
    post(server.endpoint());
    CHECK_EQUAL(2, server.connections());
}

TEST(Client, AConnectionIsNotUsedAgainNearTheServersIdleTimeout)
{
    // The server's close and the next request would cross, and a call that may run once could not be sent again.
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", Then::Keep }; });
    post(server.endpoint());
    post(server.endpoint());
    CHECK_EQUAL(2, server.connections());
}

// Guards against arithmetic that overflows, and a connection that is not kept, because of a time that no server keeps.
TEST(Client, AConnectionIsKeptThoughTheServersIdleTimeoutIsAbsurd)
{
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9223372036854775807\r\nContent-Length: 2\r\n\r\nok", Then::Keep }; });
    CHECK_EQUAL(200, post(server.endpoint()).status);
    CHECK_EQUAL(200, post(server.endpoint()).status);
    CHECK_EQUAL(1, server.connections());
}

TEST(Client, ACancelledExchangeEndsItsConnection)
{
    // An engine would go on for a caller who has left: only the end of the connection tells it.
    RawServer server(loop, [](const ScriptedRequest& request) { return request.connection == 0 ? ScriptedAnswer {} : ScriptedAnswer { plainAnswer, Then::Keep }; });
    Recorder recorder;
    loop.runAndWait([&] {
        OutgoingRequest request { postRequest, "xy", false, loop.now() + std::chrono::seconds(20) };
        exchanges.push_back(client->send({ "peer", server.endpoint() }, std::move(request), &recorder));
        exchanges.clear();
    });
    CHECK_EQUAL(200, post(server.endpoint()).status);
    CHECK_FALSE(recorder.endings.take(base::Duration::zero()).has_value());
    CHECK_EQUAL(2, server.connections());
}

TEST(Client, FetchTellsALostAnswerFromAnUnsentRequest)
{
    // An order that was refused a connection would count as one that may have been carried out. The error was carried in
    // a result made outside any handler's scope, where Boost.LEAF drops what the error says.
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { "", Then::Close }; });
    Mailbox<base::ErrorKind> kinds;
    auto kindOf = [&](const base::Endpoint& endpoint) {
        loop.runAndWait([&] {
            fetch(loop, *client, { "store", endpoint }, "GET", "/x", {}, "", loop.now() + std::chrono::seconds(20), [&](base::Outcome<FetchedAnswer> outcome) {
                kinds.put(std::get<base::Error>(outcome).kind);
            });
        });
        return *kinds.take();
    };
    CHECK_TRUE(kindOf(server.endpoint()) == base::ErrorKind::Timeout);
    CHECK_TRUE(kindOf({ "127.0.0.1", 1 }) == base::ErrorKind::Unavailable);
}

TEST(Client, AnAnswerThatStopsIsGivenUpBeforeItsEndAndSaysWhatHadCome)
{
    // Guards against a connection that goes silent in the middle of an answer and holds up its caller until the last end.
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc", Then::Keep }; });
    Mailbox<base::Error> errors;
    Mailbox<size_t> progress;
    loop.runAndWait([&] {
        base::Instant never = loop.now() + std::chrono::hours(1);
        fetch(
            loop, *client, { "store", server.endpoint() }, "GET", "/x", {}, "", FetchBounds { never, never, std::chrono::milliseconds(50) },
            [&](base::Outcome<FetchedAnswer> outcome) { errors.put(std::get<base::Error>(outcome)); },
            [&](const FetchedAnswer& sofar) { progress.put(sofar.body.size()); });
    });
    auto error = errors.take();
    CHECK_TRUE(error.has_value());
    CHECK_TRUE(error->kind == base::ErrorKind::Timeout);
    CHECK_TRUE(error->message.find("; 3 bytes") != std::string::npos);
    CHECK_TRUE(progress.take().has_value());
}

// Guards against a process that runs out of memory because of a body without end: announced, in chunks, and without a length.
TEST(Client, AFetchedBodyBeyondItsBoundIsGivenUp)
{
    std::string endless(400, 'x');
    Mailbox<base::Error> errors;
    for (std::string answer : { base::concat("Content-Length: 1000000000000\r\n\r\n"), base::concat("Transfer-Encoding: chunked\r\n\r\nffffffff\r\n", endless), base::concat("\r\n", endless) }) {
        RawServer server(loop, [&](const ScriptedRequest&) { return ScriptedAnswer { "HTTP/1.1 200 OK\r\n" + answer, Then::Keep }; });
        loop.runAndWait([&] {
            base::Instant never = loop.now() + std::chrono::hours(1);
            FetchBounds bounds { never, never, std::chrono::hours(1), 300 };
            fetch(loop, *client, { "engine", server.endpoint() }, "GET", "/x", {}, "", bounds, [&](base::Outcome<FetchedAnswer> outcome) { errors.put(std::get<base::Error>(outcome)); });
        });
        auto error = errors.take();
        CHECK_TRUE(error && error->kind == base::ErrorKind::TooLarge);
    }
}

// Guards against an answer that never begins: interim answers without end, each with a head of its own.
TEST(Client, InterimAnswersWithoutEndAreNoAnswer)
{
    std::string interim;
    for (int count = 0; count < 10000; ++count)
        interim += "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    RawServer server(loop, [&](const ScriptedRequest& request) { return ScriptedAnswer { request.connection ? "HTTP/1.1 100 Continue\r\n\r\n" + std::string(plainAnswer) : interim, Then::Keep }; });
    CHECK_TRUE(post(server.endpoint()).breakage == Breakage::Malformed);
    CHECK_EQUAL(200, post(server.endpoint()).status);
}

TEST(Client, AFetchThatOutlivesItsClientCallsNobody)
{
    // A process crashed at its end: the answer to its last call to the store came after the parts that had asked were gone.
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { plainAnswer, Then::Keep }; });
    Mailbox<bool> called;
    loop.runAndWait([&] {
        fetch(loop, *client, { "store", server.endpoint() }, "GET", "/x", {}, "", loop.now() + std::chrono::milliseconds(50), [&](auto) { called.put(true); });
        client.reset();
    });
    Mailbox<bool> passed;
    loop.runAndWait([&] { loop.at(loop.now() + std::chrono::milliseconds(120), [&] { passed.put(true); }); });
    passed.take();
    CHECK_FALSE(called.take(base::Duration::zero()).has_value());
}

// A gateway that ended while it was joining the fleet left a call to the store and its connection behind, which the address
// sanitizer saw in one of a few runs: the call owned itself until its deadline, and the loop had ended before.
TEST(Client, AFetchThatIsUnderWayEndsWithItsClient)
{
    RawServer server(loop, [](const ScriptedRequest&) { return ScriptedAnswer { plainAnswer, Then::Keep }; });
    auto held = std::make_shared<int>();
    loop.runAndWait([&] {
        fetch(loop, *client, { "store", server.endpoint() }, "GET", "/x", {}, "", loop.now() + std::chrono::seconds(20), [held](auto) {});
        client.reset();
    });
    LONGS_EQUAL(1, held.use_count());
}

// Guards against an answer being cut since the end of its connection is noticed while the answer is not read.
TEST(Client, AnAnswerThatIsNotReadForAWhileComesWholeAlthoughItsServerHasClosed)
{
    std::string body(100000, 'x');
    RawServer server(loop, [&](const ScriptedRequest&) { return ScriptedAnswer { base::concat("HTTP/1.1 200 OK\r\nContent-Length: ", body.size(), "\r\n\r\n", body), Then::Close }; });
    Recorder recorder;
    loop.runAndWait([&] {
        OutgoingRequest request { .head = postRequest, .body = "xy", .answersHead = false, .connectDeadline = loop.now() + std::chrono::seconds(20) };
        exchanges.push_back(client->send({ "peer", server.endpoint() }, std::move(request), &recorder));
        exchanges.back()->setReading(false);
    });
    CHECK_FALSE(recorder.endings.take(std::chrono::milliseconds(300)).has_value());
    loop.runAndWait([&] { exchanges.back()->readPiece(1000); });
    CHECK_FALSE(recorder.endings.take(std::chrono::milliseconds(50)).has_value());
    loop.runAndWait([&] { exchanges.back()->setReading(true); });
    auto ending = recorder.endings.take();
    CHECK_TRUE(ending.has_value() && !ending->breakage && ending->body == body);
}
