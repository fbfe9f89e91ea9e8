// Embeds the calls library alone: a gateway's coordinator and a sidecar's executor run one order, and answer its repeat
// from the record. The program plays the key-value service, the hop between the two, and the service itself.

#include "toucanstep/calls/CallCoordinator.h"
#include "toucanstep/calls/CallExecutor.h"

#include <cstdlib>
#include <iostream>

using namespace toucanstep::calls;
using namespace toucanstep::base;
using std::chrono::seconds;

namespace {

const Instant now = Instant(seconds(100));
const UnixMilliseconds wallClock(1'700'000'000'000);

// One entry of the key-value service.
struct Store {
    KeyValue entry;
    Revision revision { 10 };

    TransactionReply commit(const RecordWrite& write)
    {
        if (write.expected != entry.modified)
            return { false, revision };
        revision += Revision(1);
        entry = { write.key, write.value, entry.created, revision };
        return { true, revision };
    }

    RangeReply read() const { return { { entry }, revision }; }
};

// Performs the sidecar's actions until it replies.
CallReply serve(CallExecutor& sidecar, Store& store, int& runs, const CallDispatch& dispatch)
{
    ExecutorActions actions = sidecar.start(dispatch, now + seconds(10), now, wallClock);
    while (true) {
        ExecutorAction action = actions.at(0);
        if (auto* write = std::get_if<SubmitWrite>(&action))
            actions = sidecar.onWrite(write->attempt, store.commit(write->write), now, wallClock);
        else if (auto* read = std::get_if<ReadRecord>(&action))
            actions = sidecar.onRead(read->attempt, store.read(), now, wallClock);
        else if (auto* run = std::get_if<RunCall>(&action)) {
            ++runs;
            actions = sidecar.onRan(run->attempt, RunOutcome::Answered, { 201, "text/plain", "sealed", false }, now, wallClock);
        } else
            return std::get<SendReply>(action).reply;
    }
}

} // namespace

int main()
{
    Store store;
    CallCoordinator gateway("gateway-1", {});
    CallExecutor sidecar("sidecar-1", {});
    CallKey key { ClientAccountId("farm"), ServiceId("sealing"), IdempotencyKey("order-17") };
    int runs = 0;
    int answers = 0;
    for (int64_t request = 1; request <= 2; ++request) {
        auto actions = gateway.begin(CallId(request), key, BodyDigest("digest"), now + seconds(10), now);
        CallReply reply = serve(sidecar, store, runs, std::get<SendAttempt>(actions.at(0)).dispatch);
        auto finished = gateway.onReply(reply, now, wallClock);
        const CallResult& result = std::get<FinishCall>(finished.at(0)).result;
        if (!result.answer)
            return EXIT_FAILURE;
        std::cout << "request " << request << ": " << result.answer->body << (result.repeated ? " (repeated)" : "") << "\n";
        ++answers;
    }
    std::cout << "the service ran " << runs << " time(s) for " << answers << " answers\n";
    return runs == 1 && answers == 2 ? EXIT_SUCCESS : EXIT_FAILURE;
}
