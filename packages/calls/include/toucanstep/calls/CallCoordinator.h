// The gateway's part in non-idempotent calls: dispatches attempts, and decides what may be said of a call whose hop to
// the sidecar was lost.
//
// `not_run` is said only where the attempt's sidecar said so, where the attempt was certainly never sent, or after a
// tombstone under that attempt stands, so that a sidecar that gets it late cannot claim any more. Everything else is
// `may_have_run`, or the stored answer once the record shows it.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/calls/Messages.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace toucanstep::calls {

// Send the attempt to a sidecar that has not been tried for this call yet, and report what came of it.
struct SendAttempt {
    CallId call;
    CallDispatch dispatch;
    base::Instant deadline;
};

struct WriteTombstone {
    CallId call;
    RecordWrite write;
    base::Instant deadline;
};

struct ReadCallRecord {
    CallId call;
    std::string key;
    base::Instant deadline;
};

struct FinishCall {
    CallId call;
    CallResult result;
};

using CoordinatorAction = std::variant<SendAttempt, WriteTombstone, ReadCallRecord, FinishCall>;
using CoordinatorActions = std::vector<CoordinatorAction>;

struct CoordinatorLimits {
    int attempts = 3;
    base::Duration storeTimeout = std::chrono::milliseconds(500);
    // How often a claimed record is read again for its answer.
    base::Duration pollInterval = std::chrono::milliseconds(250);
    // When a caller is told to ask again.
    base::Duration retryAfter = std::chrono::seconds(1);
    // How much of a call's time is kept back from an attempt, so that a lost hop can still be settled.
    base::Duration settleReserve = std::chrono::seconds(1);
};

class CallCoordinator {
public:
    // `process` tells this start of the gateway apart from every other; attempts are named from it and a counter.
    CallCoordinator(std::string process, CoordinatorLimits);
    virtual ~CallCoordinator() = default;

    CoordinatorActions begin(CallId, const CallKey&, const BodyDigest&, base::Instant deadline, base::Instant now);
    CoordinatorActions onReply(const CallReply&, base::Instant now, UnixMilliseconds);
    // The attempt was certainly never sent, for example because no sidecar can be reached.
    CoordinatorActions onNotSent(const AttemptId&, base::Instant now);
    // The connection broke, or fell silent, before a reply came.
    CoordinatorActions onHopLost(const AttemptId&, base::Instant now, UnixMilliseconds);
    CoordinatorActions onWrite(CallId, const base::Outcome<base::TransactionReply>&, base::Instant now, UnixMilliseconds);
    CoordinatorActions onRead(CallId, const base::Outcome<base::RangeReply>&, base::Instant now, UnixMilliseconds);
    // Attempts and calls whose deadline has passed, and records that are read again.
    CoordinatorActions tick(base::Instant now, UnixMilliseconds);

    size_t inFlight() const { return m_calls.size(); }

protected:
    enum class Step {
        Dispatched,
        // The hop was lost: a tombstone is being written, or read back.
        WritingTombstone,
        Reading,
        // The record is claimed; it is read again until it has an answer or time is up.
        Waiting,
    };

    struct Call {
        CallId id;
        CallKey key;
        BodyDigest body;
        base::Instant deadline;
        base::Instant attemptDeadline;
        int attempts = 0;
        AttemptId attempt;
        base::Revision expected;
        RecordNonce tombstone;
        // Whether the current attempt is proved not to have run.
        bool notRun = true;
        Step step = Step::Dispatched;
        base::Instant wakeAt;
        // Whether an operation's outcome is awaited.
        bool busy = false;
    };

    // Seeded faults of the tests override these.
    virtual CoordinatorActions onLost(Call&, base::Instant now, UnixMilliseconds);
    virtual CoordinatorActions onTombstoneStands(Call&, base::Revision, base::Instant now);

    CoordinatorActions dispatch(Call&, base::Revision expected, base::Instant now);
    CoordinatorActions writeTombstone(Call&, base::Instant now, UnixMilliseconds);
    CoordinatorActions finish(Call&, CallResult);
    CoordinatorActions refuse(Call&, base::RefusalCode, base::RanState, std::string message, base::Instant now);
    const CoordinatorLimits& limits() const { return m_limits; }

private:
    CoordinatorActions onRecord(Call&, const std::optional<CallRecord>&, base::Instant now, UnixMilliseconds);
    CoordinatorActions read(Call&, base::Instant now);
    CoordinatorActions giveUp(Call&, base::Instant now);
    void waitUntilNextRead(Call&, Step, base::Instant now);
    Call* findAttempt(const AttemptId&);

    std::string m_process;
    CoordinatorLimits m_limits;
    int64_t m_counter = 0;
    std::map<CallId, Call> m_calls;
    std::map<AttemptId, CallId> m_attempts;
};

} // namespace toucanstep::calls
