#include "toucanstep/peers/Messages.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep;
using namespace toucanstep::peers;

TEST_GROUP(Messages) {};

TEST(Messages, ARunRequestReadsBackAsItWasWritten)
{
    CHECK_PROPERTY([](int64_t number, bool flag) {
        // Text is ASCII, bodies are any bytes: that is what the fields are declared to hold.
        auto ascii = rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
        RunRequest request;
        request.request = base::RequestId(*ascii);
        request.account = base::ClientAccountId(*ascii);
        request.remaining = base::Duration(number);
        request.target = flag ? TargetKind::Service : TargetKind::Model;
        request.stream = flag;
        request.body = *rc::gen::arbitrary<std::string>();
        base::Error error;
        auto read = base::valueOr(error, [&] { return decodeRunRequest(encode(request)); });
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->request == request.request);
        RC_ASSERT(read->account == request.account);
        RC_ASSERT(read->remaining == request.remaining);
        RC_ASSERT(read->target == request.target);
        RC_ASSERT(read->body == request.body);
    });
}

TEST(Messages, EveryEventReadsBackAsItsKind)
{
    std::vector<RunEventBody> bodies { AnswerStart { 200, "text/event-stream" }, AnswerChunk { 3, "abc" }, AnswerEnd { 4, base::Tokens(9), true }, AnswerRefused { base::RefusalCode::Leaving, base::RanState::NotRun, "why", std::chrono::seconds(2) }, AnswerCall { "reply" }, AnswerReport {} };
    for (const RunEventBody& body : bodies) {
        RunEvent event { base::RequestId("r"), SidecarReport { .sequence = 5, .leaving = true, .configuration = base::Revision(7), .phase = ModelPhase::Loaded, .queues = { { base::ClientAccountId("a"), 2, base::Tokens(9) } } }, body };
        base::Error error;
        auto read = base::valueOr(error, [&] { return decodeRunEvent(encode(event)); });
        CHECK_TRUE(read.has_value());
        CHECK_EQUAL(body.index(), read->body.index());
        CHECK_TRUE(read->report->leaving);
        CHECK_EQUAL(7, read->report->configuration.value());
        CHECK_EQUAL(9, read->report->queues.at(0).queued.value());
        CHECK_TRUE(read->report->phase == ModelPhase::Loaded);
    }
}

// A process of another release, or a damaged connection, sends bytes that are no message. The receiver has to
// reject them with an error and go on.
TEST(Messages, ArbitraryBytesAreRejectedWithoutHarm)
{
    CHECK_PROPERTY([](const std::string& bytes) {
        base::Error error;
        RC_ASSERT(!base::valueOr(error, [&] { return decodeRunRequest(bytes); }).has_value());
        RC_ASSERT(!base::valueOr(error, [&] { return decodeRunEvent(bytes); }).has_value());
    });
}

// A hostile or damaged message nests arrays a million deep. A parser that follows them exhausts its stack, and the
// process dies with all its requests.
TEST(Messages, DeeplyNestedBytesAreRejectedWithoutRecursion)
{
    base::Error error;
    CHECK_FALSE(base::valueOr(error, [] { return decodeRunRequest(std::string(1'000'000, '\x91')); }).has_value());
}

TEST(Messages, ARefusalKeepsItsTimeToRetryAcrossClocks)
{
    base::Instant here(std::chrono::hours(5));
    base::Instant there(std::chrono::hours(900));
    base::Refusal refusal { base::RefusalCode::RateLimited, base::RanState::NotRun, "later", here + std::chrono::seconds(3) };
    base::Refusal received = toRefusal(toMessage(refusal, here), there);
    CHECK_TRUE(received.retryAt == there + std::chrono::seconds(3));
    CHECK_FALSE(toRefusal(toMessage({ base::RefusalCode::Internal }, here), there).retryAt.has_value());
}
