#include "toucanstep/peers/PeerClient.h"
#include "toucanstep/peers/PeerServer.h"
#include "toucanstep/testing/Property.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace toucanstep;
using namespace toucanstep::peers;

namespace {

constexpr auto generous = std::chrono::seconds(20);

// Collects what one call heard, for the test's thread to wait on.
class Recorder final : public PeerCallListener {
public:
    void onMessage(std::string message) override
    {
        std::lock_guard lock(m_mutex);
        m_messages.push_back(std::move(message));
        m_condition.notify_all();
    }

    void onEnd(std::optional<base::Error> error) override
    {
        std::lock_guard lock(m_mutex);
        m_ended = true;
        m_error = std::move(error);
        m_condition.notify_all();
    }

    std::optional<base::Error> waitForEnd()
    {
        std::unique_lock lock(m_mutex);
        CHECK_TRUE(m_condition.wait_for(lock, generous, [this] { return m_ended; }));
        return m_error;
    }

    void waitForMessages(size_t count)
    {
        std::unique_lock lock(m_mutex);
        CHECK_TRUE(m_condition.wait_for(lock, generous, [this, count] { return m_messages.size() >= count; }));
    }

    std::vector<std::string> messages()
    {
        std::lock_guard lock(m_mutex);
        return m_messages;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::vector<std::string> m_messages;
    bool m_ended = false;
    std::optional<base::Error> m_error;
};

} // namespace

TEST_GROUP(Peers)
{
    io::EventLoop m_loop;
    std::unique_ptr<PeerServer> m_server;
    std::unique_ptr<PeerClient> m_client;
    PeerIdentity m_identity { base::InstanceId("gateway-a"), "secret" };

    void listen(PeerServer::Handler handler)
    {
        m_loop.runAndWait([&] {
            base::Error error;
            auto server = base::valueOr(error, [&] { return PeerServer::listen(m_loop, {}, { base::InstanceId("sidecar-a"), "secret" }, std::move(handler)); });
            m_server = std::move(*server);
            m_client = std::make_unique<PeerClient>(m_loop, m_identity);
        });
    }

    std::shared_ptr<Recorder> call(const base::Endpoint& target, std::string body, base::Duration patience = generous)
    {
        auto recorder = std::make_shared<Recorder>();
        m_loop.runAndWait([&] { m_call = m_client->call({ target, Method("run"), std::move(body), m_loop.now() + patience }, recorder); });
        return recorder;
    }

    void teardown() override
    {
        m_loop.runAndWait([&] {
            m_client.reset();
            m_server.reset();
        });
        m_loop.stop();
    }

    std::shared_ptr<PeerCall> m_call;
};

TEST(Peers, ACallIsAnsweredByItsMessagesInOrder)
{
    listen([](IncomingCall call, std::shared_ptr<PeerResponder> responder) {
        responder->send(call.method.value());
        responder->send(call.from.value());
        responder->send(call.body);
        responder->finish();
    });
    std::string large(3 * 1024 * 1024, 'x');
    auto recorder = call(m_server->endpoint(), large);
    CHECK_FALSE(recorder->waitForEnd().has_value());
    auto messages = recorder->messages();
    CHECK_EQUAL(3, messages.size());
    STRCMP_EQUAL("run", messages[0].c_str());
    STRCMP_EQUAL("gateway-a", messages[1].c_str());
    CHECK_TRUE(messages[2] == large);
}

TEST(Peers, ManyCallsShareOneConnectionWithoutMixing)
{
    listen([](IncomingCall call, std::shared_ptr<PeerResponder> responder) {
        for (int index = 0; index < 5; ++index)
            responder->send(call.body);
        responder->finish();
    });
    std::vector<std::shared_ptr<Recorder>> recorders;
    for (int index = 0; index < 300; ++index)
        recorders.push_back(call(m_server->endpoint(), std::to_string(index)));
    for (int index = 0; index < 300; ++index) {
        CHECK_FALSE(recorders[index]->waitForEnd().has_value());
        for (const std::string& message : recorders[index]->messages())
            STRCMP_EQUAL(std::to_string(index).c_str(), message.c_str());
        CHECK_EQUAL(5, recorders[index]->messages().size());
    }
}

// A caller asks while no process listens at the sidecar's address. Nothing can have run, and the error must say so,
// since the refusal `not_run` rests on it.
TEST(Peers, ARefusedConnectionIsCertainlyNotSent)
{
    listen([](IncomingCall, std::shared_ptr<PeerResponder>) {});
    base::Endpoint nobody = m_server->endpoint();
    m_loop.runAndWait([&] { m_server.reset(); });
    auto recorder = call(nobody, "hello");
    auto error = recorder->waitForEnd();
    CHECK_TRUE(error.has_value());
    CHECK_TRUE(error->kind == base::ErrorKind::Unavailable);
}

// An intruder without the fleet's secret sends a request to a sidecar. It must not be run, and the intruder's side
// learns that it was refused before anything began.
TEST(Peers, ACallerWithAnotherSecretIsRefused)
{
    bool ran = false;
    listen([&](IncomingCall, std::shared_ptr<PeerResponder> responder) {
        ran = true;
        responder->finish();
    });
    m_loop.runAndWait([&] { m_client = std::make_unique<PeerClient>(m_loop, PeerIdentity { base::InstanceId("intruder"), "other" }); });
    auto error = call(m_server->endpoint(), "hello")->waitForEnd();
    CHECK_TRUE(error.has_value());
    CHECK_TRUE(error->kind == base::ErrorKind::Unavailable);
    CHECK_FALSE(ran);
}

// An answer breaks off in the middle. The caller must see an error, never an end, or a cut answer would be
// passed off as whole.
TEST(Peers, AnAbortedAnswerIsNotAWholeOne)
{
    listen([](IncomingCall, std::shared_ptr<PeerResponder> responder) {
        responder->send("half");
        responder->abort();
    });
    auto recorder = call(m_server->endpoint(), "hello");
    auto error = recorder->waitForEnd();
    CHECK_TRUE(error.has_value());
    CHECK_TRUE(error->kind == base::ErrorKind::Timeout);
}

// A caller gives up. The sidecar has to learn it, so that the upstream's work is cancelled and its place freed.
TEST(Peers, ACancelledCallIsToldToTheServer)
{
    std::mutex mutex;
    std::condition_variable condition;
    bool closed = false;
    listen([&](IncomingCall, std::shared_ptr<PeerResponder> responder) {
        responder->send("begun");
        responder->onClosed([&](CloseReason reason) {
            std::lock_guard lock(mutex);
            closed = reason == CloseReason::Cancelled;
            condition.notify_all();
        });
    });
    auto recorder = call(m_server->endpoint(), "hello");
    recorder->waitForMessages(1);
    m_loop.runAndWait([&] { m_call->cancel(); });
    std::unique_lock lock(mutex);
    CHECK_TRUE(condition.wait_for(lock, generous, [&] { return closed; }));
}

TEST(Peers, ACallWithoutAnswerEndsAtItsDeadline)
{
    listen([](IncomingCall, std::shared_ptr<PeerResponder> responder) { responder->onClosed([responder](CloseReason) {}); });
    auto error = call(m_server->endpoint(), "hello", std::chrono::milliseconds(50))->waitForEnd();
    CHECK_TRUE(error.has_value());
    CHECK_TRUE(error->kind == base::ErrorKind::Timeout);
}

// Something between two instances has lost track of a connection: it stays open, and nothing passes any more. A caller
// would wait for its whole deadline. The order: the connection is accepted, the handshake goes unanswered.
TEST(Peers, AConnectionThatNeverAnswersIsAbandonedLongBeforeTheDeadline)
{
    listen([](IncomingCall, std::shared_ptr<PeerResponder>) {});
    int silent = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CHECK_FALSE(bind(silent, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    CHECK_FALSE(::listen(silent, 8));
    socklen_t length = sizeof(address);
    getsockname(silent, reinterpret_cast<sockaddr*>(&address), &length);
    auto recorder = call({ "127.0.0.1", ntohs(address.sin_port) }, "hello", std::chrono::hours(1));
    auto error = recorder->waitForEnd();
    CHECK_TRUE(error.has_value());
    CHECK_TRUE(error->kind == base::ErrorKind::Unavailable);
    ::close(silent);
}
