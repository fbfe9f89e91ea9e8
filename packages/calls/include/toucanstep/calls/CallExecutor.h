// The sidecar's part in non-idempotent calls: claims the record, runs the call once, stores the answer.
//
//     perform(executor.start(dispatch, deadline, now, unixNow));
//
// Each input returns actions that the caller performs, in order and each exactly once. Run is returned at most once for
// an attempt, and only after the claim is known to stand. Where the claim cannot be settled within the deadline the
// attempt is given up for good, so that NotRun is true at once; the abandoned claim is replaced by a tombstone later.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/calls/Messages.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace toucanstep::calls {

// Submit the write (through GroupCommit), and report its outcome with onWrite().
struct SubmitWrite {
    AttemptId attempt;
    RecordWrite write;
    base::Instant deadline;
};

// Read the entry, and report with onRead().
struct ReadRecord {
    AttemptId attempt;
    std::string key;
    base::Instant deadline;
};

// Send the request to the service, and report with onRan().
struct RunCall {
    AttemptId attempt;
    base::Instant deadline;
};

struct SendReply {
    CallReply reply;
};

using ExecutorAction = std::variant<SubmitWrite, ReadRecord, RunCall, SendReply>;
using ExecutorActions = std::vector<ExecutorAction>;

// What became of the request to the service.
enum class RunOutcome {
    Answered,
    // The service certainly did not get it, for example because the connection was refused.
    NotSent,
    // It was sent, and no whole answer came.
    Unknown,
};

struct ExecutorLimits {
    // The largest answer that is stored with its body.
    base::Bytes storedAnswer { 64 * 1024 };
    // How long one call to the key-value service may take.
    base::Duration storeTimeout = std::chrono::milliseconds(500);
    // How long a claim, or a tombstone that somebody waits for, is tried before the call is refused as not run. Well below
    // the calls' time, so that the refusal reaches the gateway before it takes the hop for lost.
    base::Duration claimWait = std::chrono::seconds(2);
    // How long the reply waits for the answer to be stored before it is sent without.
    base::Duration storeWait = std::chrono::seconds(1);
    // The wait before the next attempt to settle a record.
    base::Duration settleInterval = std::chrono::seconds(1);
    // How long a record is tried to be settled after its call has been replied to.
    base::Duration settleFor = std::chrono::minutes(10);
};

class CallExecutor {
public:
    // `process` tells this start of the sidecar apart from every other; nonces are made from it and a counter.
    CallExecutor(std::string process, ExecutorLimits);
    virtual ~CallExecutor() = default;

    // A second delivery of an attempt that is known is left aside.
    ExecutorActions start(const CallDispatch&, base::Instant deadline, base::Instant now, UnixMilliseconds);
    ExecutorActions onWrite(const AttemptId&, const base::Outcome<base::TransactionReply>&, base::Instant now, UnixMilliseconds);
    ExecutorActions onRead(const AttemptId&, const base::Outcome<base::RangeReply>&, base::Instant now, UnixMilliseconds);
    ExecutorActions onRan(const AttemptId&, RunOutcome, StoredAnswer, base::Instant now, UnixMilliseconds);
    // Calls whose time has come: deadlines, and records that are still to be settled.
    ExecutorActions tick(base::Instant now, UnixMilliseconds);

    // Attempts that are not settled yet.
    size_t inFlight() const { return m_calls.size(); }
    // Attempts that have been replied to and whose record is still to be settled.
    size_t unsettled() const;

protected:
    enum class Step {
        Claiming,
        ReadingClaim,
        Running,
        Storing,
        ReadingOutcome,
        // Certainly not run: a tombstone is written in the place of a claim that stands, or may still come to stand.
        Tombstoning,
        // Replied to as not run; the same goes on without anybody waiting for it.
        Abandoned,
        AbandonedReading,
        AbandonedWriting,
    };

    struct Call {
        CallDispatch dispatch;
        base::Instant deadline;
        // When a claim that cannot be settled is given up.
        base::Instant claimUntil;
        Step step = Step::Claiming;
        RecordNonce claimNonce;
        RecordNonce outcomeNonce;
        RecordNonce tombstoneNonce;
        // The revision of our standing claim.
        base::Revision claimed;
        std::optional<StoredAnswer> answer;
        bool replied = false;
        // Whether Run was returned; never again after that.
        bool started = false;
        // Whether an operation's outcome is awaited. The next one starts only after it, so that outcomes are never mixed up.
        bool busy = false;
        // When the next step is due, and until when settling goes on.
        base::Instant wakeAt;
        base::Instant settleUntil;
    };

    // Seeded faults of the tests override these.
    virtual ExecutorActions onClaimLost(Call&, base::Instant now);
    // The read showed the record as the claim expected it: the claim may still take effect.
    virtual ExecutorActions onClaimAbsent(Call&, base::Instant now, UnixMilliseconds);
    virtual ExecutorActions onClaimStands(Call&, base::Revision, base::Instant now, UnixMilliseconds);
    virtual ExecutorActions onOtherRecord(Call&, const CallRecord&, base::Instant now);

    ExecutorActions run(Call&);
    ExecutorActions abandon(Call&, base::RefusalCode, base::Instant now);
    ExecutorActions readRecord(Call&, Step, base::Instant now);
    const ExecutorLimits& limits() const { return m_limits; }

private:
    ExecutorActions onClaimRead(Call&, const base::Outcome<base::RangeReply>&, base::Instant now, UnixMilliseconds);
    ExecutorActions onOutcomeRead(Call&, const base::Outcome<base::RangeReply>&, base::Instant now, UnixMilliseconds);
    ExecutorActions onAbandonedRead(Call&, const base::Outcome<base::RangeReply>&, base::Instant now, UnixMilliseconds);
    ExecutorActions storeOutcome(Call&, base::Instant now, UnixMilliseconds);
    ExecutorActions writeTombstone(Call&, base::Revision expected, base::Instant now, UnixMilliseconds);
    ExecutorActions replyOnce(Call&, CallReply);
    ExecutorActions finish(Call&, CallReply);
    void end(Call&);
    ExecutorActions onClaimWritten(Call&, const base::Outcome<base::TransactionReply>&, base::Instant now, UnixMilliseconds);
    ExecutorActions onTombstoneWritten(Call&, const base::Outcome<base::TransactionReply>&, base::Instant now);
    ExecutorActions onOutcomeWritten(Call&, const base::Outcome<base::TransactionReply>&, base::Instant now);
    ExecutorActions submit(Call&, Step, RecordWrite, base::Instant now);
    ExecutorActions wake(Call&, base::Instant now, UnixMilliseconds);
    RecordNonce nextNonce();
    CallRecord recordOf(const Call&, RecordState, UnixMilliseconds) const;

    std::string m_process;
    ExecutorLimits m_limits;
    int64_t m_counter = 0;
    std::map<AttemptId, Call> m_calls;
    // Attempts that have ended, so that a second delivery does not start them again; until when each is remembered.
    std::map<AttemptId, base::Instant> m_ended;
};

} // namespace toucanstep::calls
