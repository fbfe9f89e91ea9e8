#include "CallModel.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep::calls;
using namespace toucanstep::calls::test;
using namespace toucanstep::base;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ModelOptions calmOptions()
{
    return { .gateways = 2, .sidecars = 1, .seed = 1, .loss = 0, .late = 0, .doubled = 0 };
}

bool isAnswered(const CallModel& model, size_t request)
{
    const auto& result = model.requests()[request].result;
    return result && result->answer;
}

RanState ranOf(const CallModel& model, size_t request)
{
    const auto& result = model.requests()[request].result;
    CHECK_TRUE(result && result->refusal);
    return result->refusal->ran;
}

const CallKey order { ClientAccountId("farm"), ServiceId("orders"), IdempotencyKey("k1") };
const Instant start = Instant(std::chrono::hours(1));
const UnixMilliseconds wallClock(1'000'000);

// The one entry that a story is about.
struct OneEntry {
    KeyValue entry;
    int64_t revision = 10;

    TransactionReply commit(const RecordWrite& write)
    {
        if (write.expected != entry.modified)
            return { false, Revision(revision) };
        entry = { write.key, write.value, entry.created, Revision(++revision) };
        return { true, Revision(revision) };
    }

    RangeReply read() const
    {
        RangeReply reply { {}, Revision(revision) };
        if (entry.modified != Revision())
            reply.entries.push_back(entry);
        return reply;
    }
};

template <typename Action, typename Actions>
const Action& only(const Actions& actions)
{
    CHECK_EQUAL(1, actions.size());
    CHECK_TRUE(std::holds_alternative<Action>(actions[0]));
    return std::get<Action>(actions[0]);
}

} // namespace

TEST_GROUP(CallStories) {};

TEST(CallStories, ARepeatGetsTheStoredAnswerAtAnyGateway)
{
    CallModel model(calmOptions());
    size_t first = model.call(0, "order", "body");
    model.run(seconds(1));
    model.crashGateway(0);
    model.crashSidecar(0);
    size_t repeat = model.call(1, "order", "body");
    model.run(seconds(1));
    CHECK_TRUE(isAnswered(model, first) && isAnswered(model, repeat));
    CHECK_TRUE(model.requests()[repeat].result->repeated);
    STRCMP_EQUAL("run 0", model.requests()[repeat].result->answer->body.c_str());
    CHECK_EQUAL(1, model.runsOf("order"));
}

TEST(CallStories, ARepeatWithAnotherBodyIsRefused)
{
    CallModel model(calmOptions());
    model.call(0, "order", "body");
    model.run(seconds(1));
    size_t other = model.call(1, "order", "other body");
    model.run(seconds(1));
    CHECK_TRUE(model.requests()[other].result->refusal->code == RefusalCode::IdempotencyKeyReused);
    CHECK_TRUE(ranOf(model, other) == RanState::NotRun);
    CHECK_EQUAL(1, model.runsOf("order"));
}

// The gateway dies while the order runs, and the caller asks again at the other one at once. The record is claimed and has
// no answer yet; the second gateway waits for it and does not start another run.
TEST(CallStories, ARetryAtAnotherGatewayWaitsForTheRunningCall)
{
    CallModel model(calmOptions());
    size_t retry = 0;
    bool crashed = false;
    model.beforeExecutorAction = [&](const ExecutorAction& action) {
        if (std::holds_alternative<RunCall>(action) && !std::exchange(crashed, true)) {
            model.crashGateway(0);
            retry = model.call(1, "order", "body");
        }
        return true;
    };
    model.call(0, "order", "body");
    model.run(seconds(3));
    CHECK_TRUE(crashed);
    CHECK_TRUE(isAnswered(model, retry));
    CHECK_EQUAL(1, model.runsOf("order"));
    STRCMP_EQUAL("", model.violation().c_str());
}

// The key-value service is down when a sealing order comes in. It is refused at once as not run, and truly: nothing was
// sent to the service. Sent again after the outage it runs once.
TEST(CallStories, InAnOutageACallIsRefusedBeforeItRuns)
{
    CallModel model(calmOptions());
    model.setOutage(true);
    size_t refused = model.call(0, "order", "body");
    model.run(seconds(11));
    CHECK_TRUE(ranOf(model, refused) == RanState::NotRun);
    CHECK_EQUAL(0, model.runsOf("order"));
    model.setOutage(false);
    model.run(seconds(5));
    size_t again = model.call(1, "order", "body");
    model.run(seconds(3));
    CHECK_TRUE(isAnswered(model, again));
    CHECK_EQUAL(1, model.runsOf("order"));
}

// The sidecar dies at every step of an order in turn, and the caller asks again at the other gateway. Whatever the step,
// the order runs at most once, and a caller that was told not_run had not ordered.
TEST(CallStories, ADeathOfTheSidecarAtAnyStepNeverDoublesACall)
{
    int deaths = 0;
    for (int step = 1; step <= 6; ++step) {
        for (bool performed : { false, true }) {
            CallModel model(calmOptions());
            int seen = 0;
            model.beforeExecutorAction = [&](const ExecutorAction&) {
                if (++seen != step)
                    return true;
                ++deaths;
                model.crashSidecar(0);
                return performed;
            };
            model.call(0, "order", "body");
            model.run(seconds(12));
            size_t again = model.call(1, "order", "body");
            model.run(seconds(12));
            STRCMP_EQUAL("", model.violation().c_str());
            CHECK_COMPARE(model.runsOf("order"), <=, 1);
            CHECK_TRUE(model.requests()[again].result.has_value());
        }
    }
    CHECK_COMPARE(deaths, >=, 8);
}

// The answers of the key-value service are lost after its writes took effect, and the sidecar dies some time after. The
// caller's order may stand claimed; nobody may run it a second time to find out.
TEST(CallStories, LostAnswersAndADeathNeverDoubleACall)
{
    for (uint64_t seed = 1; seed <= 100; ++seed) {
        ModelOptions options = calmOptions();
        options.seed = seed;
        options.loss = 40;
        CallModel model(options);
        model.call(0, "order", "body");
        model.run(milliseconds(50 * (seed % 40)));
        model.crashSidecar(0);
        model.run(seconds(12));
        model.call(1, "order", "body");
        model.run(seconds(60));
        STRCMP_EQUAL("", model.violation().c_str());
    }
}

// The hop to the sidecar breaks and the gateway tries again, while the first attempt still lies on its way. The sidecar
// that gets it late must not claim the record: the tombstone has changed the revision that its claim compares.
TEST(CallStories, ALateClaimAfterATombstoneFails)
{
    OneEntry store;
    CallCoordinator gateway("g", {});
    CallExecutor late("s1", {});
    CallExecutor other("s2", {});
    auto first = only<SendAttempt>(gateway.begin(CallId(1), order, BodyDigest("b"), start + seconds(10), start)).dispatch;
    auto tombstone = only<WriteTombstone>(gateway.onHopLost(first.attempt, start, wallClock)).write;
    auto second = only<SendAttempt>(gateway.onWrite(CallId(1), store.commit(tombstone), start, wallClock)).dispatch;
    CHECK_TRUE(second.attempt != first.attempt && second.expected == store.entry.modified);

    auto lateClaim = only<SubmitWrite>(late.start(first, start + seconds(10), start, wallClock)).write;
    only<ReadRecord>(late.onWrite(first.attempt, store.commit(lateClaim), start, wallClock));
    CHECK_TRUE(only<SendReply>(late.onRead(first.attempt, store.read(), start, wallClock)).reply.kind == ReplyKind::Tombstoned);

    auto claim = only<SubmitWrite>(other.start(second, start + seconds(10), start, wallClock)).write;
    only<RunCall>(other.onWrite(second.attempt, store.commit(claim), start, wallClock));
}

// The claim took effect and its answer was lost. The sidecar finds its own nonce and runs the order once, in time.
TEST(CallStories, AClaimWhoseAnswerWasLostIsFoundByItsNonce)
{
    OneEntry store;
    CallExecutor sidecar("s", {});
    CallDispatch dispatch { AttemptId("g/1"), order, BodyDigest("b"), Revision() };
    store.commit(only<SubmitWrite>(sidecar.start(dispatch, start + seconds(10), start, wallClock)).write);
    only<ReadRecord>(sidecar.onWrite(dispatch.attempt, Error { ErrorKind::Timeout, "" }, start, wallClock));
    only<RunCall>(sidecar.onRead(dispatch.attempt, store.read(), start, wallClock));
    CHECK_EQUAL(0, sidecar.start(dispatch, start + seconds(10), start, wallClock).size());
}

// The sidecar was paused while its claim was answered, and the order's deadline has passed when it goes on. Nobody waits
// for the order any more; it is not run, and the claim makes room for a repeat.
TEST(CallStories, AClaimThatStandsTooLateIsGivenUp)
{
    OneEntry store;
    CallExecutor sidecar("s", {});
    CallDispatch dispatch { AttemptId("g/1"), order, BodyDigest("b"), Revision() };
    auto claimed = store.commit(only<SubmitWrite>(sidecar.start(dispatch, start + seconds(1), start, wallClock)).write);
    Instant later = start + seconds(2);
    CHECK_TRUE(only<SendReply>(sidecar.onWrite(dispatch.attempt, claimed, later, wallClock)).reply.kind == ReplyKind::NotRun);
    only<ReadRecord>(sidecar.tick(later, wallClock));
    store.commit(only<SubmitWrite>(sidecar.onRead(dispatch.attempt, store.read(), later, wallClock)).write);
    Error error;
    auto record = valueOr(error, [&] { return decodeRecord(store.entry); });
    CHECK_TRUE(record && record->state == RecordState::Tombstone);
}

// The service answered, and the key-value service fails before the answer is stored. The caller gets its answer after a
// bounded wait, and the record is finished when the service is back.
TEST(CallStories, AnAnswerIsNotHeldBackByAnOutage)
{
    CallModel model(calmOptions());
    model.beforeExecutorAction = [&](const ExecutorAction& action) {
        if (std::holds_alternative<RunCall>(action))
            model.setOutage(true);
        return true;
    };
    size_t request = model.call(0, "order", "body");
    model.run(seconds(3));
    CHECK_TRUE(isAnswered(model, request));
    model.setOutage(false);
    model.run(seconds(5));
    size_t repeat = model.call(1, "order", "body");
    model.run(seconds(2));
    CHECK_TRUE(isAnswered(model, repeat));
    CHECK_TRUE(model.requests()[repeat].result->repeated);
    CHECK_EQUAL(1, model.runsOf("order"));
}
