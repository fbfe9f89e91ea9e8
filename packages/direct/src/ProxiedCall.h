// One caller's request from its arrival to its end: it is validated, charged and sent to an upstream, and the answer is
// forwarded to the caller.
//
// Failure handling depends on whether the call may be repeated. A call that may run only once is resent only if it is
// proved that it has not run, and 429 and 503 are answered only in that case. A resumable stream continues at another
// upstream after its last complete event.

#pragma once

#include "CallDispatcher.h"
#include "EventSplitter.h"
#include "SilentUpstream.h"

namespace toucanstep::direct {

class ProxiedCall final : public http1::ExchangeListener, public MemoryHoldingCall, public std::enable_shared_from_this<ProxiedCall> {
public:
    ProxiedCall(CallDispatcher&, std::shared_ptr<http1::ServerExchange>);
    ~ProxiedCall() override;

    // Validates the request, then refuses it, queues it for tokens or dispatches it.
    void start();
    // Sends the call to an upstream if one can take it; returns what blocks it otherwise.
    BlockReason tryDispatch();
    // Refuses a waiting call that can no longer be served in time. Returns whether it did.
    bool refuseIfUnservable(BlockReason);
    // Refuses a call that has not been sent and may outlast a gateway that stops. Returns whether it did.
    bool refuseIfStopping();
    // Refuses a call because calls arrive faster than the upstreams can run them. `reason`: whether it is late, or has no chance on
    // arrival or while waiting; part of the refusal's code where LoadPolicies::pressure is set.
    void refuseLate(std::string_view reason);
    // Ends a call that has a trait of calls that crash upstreams, unless its answer has started.
    void refuseIfCrashing();
    // The upstream has stopped answering: a call that may be repeated moves to another one once that takes it.
    void onUpstreamSilent();
    // Ends the call because the process ends: with an error answer, or by aborting a stream that has started.
    void shutDown();
    // The account has been charged for the queued call.
    void onTokensCharged();
    // The tokens did not become available in time; they are expected at `expected`.
    void onTokensUnavailable(base::Instant expected, bool leftToUrgent);

    QueueClass queueClass() const;
    // The answer has to be sent for before this time to start within the latency target; never for a call without one.
    base::Instant lateFrom() const;

    const base::RequestId& id() const { return m_call.id; }
    const base::ServiceId& service() const { return m_service; }
    const base::ClientAccountId& account() const { return m_account; }
    // What it counts for in the order of waiting calls.
    base::Tokens queueCost() const;
    bool hasTarget() const { return m_route->latencyTarget > base::Duration::zero(); }
    // Whether the first byte of an answer other than an error was forwarded within the latency target.
    bool answeredInTime() const { return m_firstByte && m_responseHead.status < 500 && (!hasTarget() || *m_firstByte <= m_arrived + m_route->latencyTarget); }
    // Calls that ran at the upstreams with its target when it could not be sent.
    int64_t runningThere() const { return m_runningThere; }
    const ModelTarget& target() const { return m_call.target; }
    ModelQueue queue() const { return { m_service, m_call.target.model }; }
    // Why the waiting call could not be sent.
    BlockReason blockReason() const { return m_blockReason; }
    void setBlockReason(BlockReason reason) { m_blockReason = reason; }
    int64_t priority() const { return m_priority; }
    uint64_t waitNumber() const { return m_waitNumber; }
    void setWaitNumber(uint64_t number) { m_waitNumber = number; }
    bool neverSent() const { return m_triedUpstreams.empty(); }
    const base::UpstreamId& upstream() const { return m_upstream; }
    bool inFlight() const { return m_upstreamExchange != nullptr; }
    // When the call was last sent, and when the first byte of an answer was forwarded.
    base::Instant lastSent() const { return m_lastSent; }
    std::optional<base::Instant> firstByte() const { return m_firstByte; }
    // The parts of the prompt; for the log.
    std::string promptText() const;

    void onHead(http1::ResponseHead) override;
    void onBody(std::string_view) override;
    void onWhole() override;
    void onBroken(http1::Breakage) override;

    size_t bufferedAnswerBytes() const override { return m_bufferedBody.size() + m_events.partialBytes(); }
    void setUpstreamReading(bool) override;
    void readUpstreamPiece(size_t most) override;
    void endForMemory() override;

private:
    enum class Phase {
        Checking,
        WaitingForTokens,
        Waiting,
        Sent,
        // Part of the answer has been sent to the caller.
        Delivering,
        Done,
    };
    enum class Execution {
        NotRun,
        MayHaveRun,
    };

    // Returns whether the call may proceed at once; otherwise it has ended or waits for its account's tokens.
    bool admit();
    bool acquireTokens(const Account&);
    void onAdmitted();
    bool selectService(const Route&);
    // A call that is larger than the memory of the service's engines can never run. Returns whether it was refused.
    bool refuseIfTooLarge();
    UpstreamQuery upstreamQuery() const;
    // After how long a rejected call may come back: the end of the pauses of the upstreams that could run it.
    base::Duration retryAfterRejection() const;
    void send(const base::UpstreamId&);
    std::string requestHead(const base::UpstreamId&) const;
    void releaseUpstream();
    // Ends the exchange with the current upstream alone.
    void leaveUpstream();
    void countUpstreamEnded(const base::UpstreamId&, bool receivedHead, const ResponseMetadata&);
    void dispatchOrWait();
    // The call is about to be offered to another upstream, and may return to the current one for a while.
    void keepSilentUpstream();
    void releaseSilentUpstream();
    // The upstream that the call was offered to does not take it. Returns whether the call went back to the silent one.
    bool returnToSilentUpstream();
    // The current upstream's answer, which has begun, is one that can go to the caller.
    bool answerIsUsable() const;

    void onRejected();
    void onServerError();
    void deliverBufferedAnswer();
    // Forwards the events that the piece completes.
    void forwardEvents(std::string_view piece);
    // The answer is a stream whose connection has ended in order, but not its last event.
    bool streamEndedEarly() const;
    void startStreaming();
    // Refuses the call since it has a trait of calls that crash upstreams.
    void refuseCrashing();
    // Those that the call may have crashed its upstream by.
    CallTraits suspectedTraits() const;
    // The events of the current upstream have gone on for so long that the call has not crashed it.
    bool eventsGoOn() const;
    // `reason` is for the log.
    bool tryRetry(std::string_view reason);
    bool tryReserveRetry(std::string_view reason);
    // Pays the retry that is about to be sent. Returns false if it may no longer be sent, which ends a call that has no upstream.
    bool payRetry();
    // Its upstream is silent, and the call waits for another one.
    bool waitsToMove() const { return inFlight() && m_retryReserved; }
    // The silent upstream has gone on.
    void stayAtUpstream();
    void cancelReservedRetry();
    // Goes back to the silent upstream, or fails.
    void failAtUpstream(std::string_view reason);
    void fail(std::string_view reason);
    void onDeadline();
    void onCallerGone();
    // Has what the call holds counted, which may pause the upstream or end the call.
    void noteMemory();

    void refuse(int status, std::string_view code, Execution, std::string_view message, std::optional<base::Duration> retryAfter = {});
    void finish(std::string_view outcome, int status);
    base::Duration timeLeft() const;
    // For a call that is refused under overload: the scheduled one where LoadPolicies::pressure is set, or `otherwise`.
    base::Duration overloadRetryAfter(std::string_view reason, base::Duration otherwise);

    CallDispatcher& m_dispatcher;
    std::shared_ptr<http1::ServerExchange> m_callerExchange;
    std::shared_ptr<const DesiredState> m_state;
    // When m_state took effect and when the store last answered, as of the call's arrival.
    base::Instant m_stateAppliedAt;
    base::Instant m_lastStoreContact;
    // Points into m_state.
    const Route* m_route = nullptr;
    CallMetadata m_call;
    base::ClientAccountId m_account;
    // Points into m_state; null for a call without an account.
    const std::set<base::RegionId>* m_accountRegions = nullptr;
    base::ServiceId m_service;
    CallTraits m_traits;
    base::Tokens m_cost;
    base::Tokens m_charged;
    base::Instant m_chargedAt;
    std::optional<QueuedCallNumber> m_tokenQueueNumber;
    int64_t m_priority = 0;
    uint64_t m_waitNumber = 0;
    Phase m_phase = Phase::Checking;
    base::Instant m_arrived;
    base::Instant m_deadline;
    // The caller disconnects at this time unless the answer has started.
    base::Instant m_answerStartDeadline;
    std::optional<base::Instant> m_firstByte;
    // Of a stream: when the last piece was forwarded, and the longest pause between two pieces.
    base::Instant m_lastPiece;
    // When the first event of the current upstream was forwarded.
    std::optional<base::Instant> m_firstEventHere;
    base::Duration m_longestPause {};
    // Why the call waited before it was first sent, and when it was sent; for the log.
    BlockReason m_firstBlockReason = BlockReason::None;
    BlockReason m_blockReason = BlockReason::None;
    // Calls that ran at the upstreams with its target when the call could not be sent.
    int64_t m_runningThere = 0;
    // When a cold upstream takes the call, if it waits for one.
    std::optional<base::Instant> m_acceptedFrom;
    // The Retry-After is one of a schedule, so it is sent unchanged.
    bool m_returnScheduled = false;
    std::optional<base::Instant> m_firstSent;
    base::Instant m_lastSent;
    io::EventLoop::TimerId m_timer = 0;

    std::set<base::UpstreamId> m_triedUpstreams;
    base::UpstreamId m_upstream;
    StartId m_upstreamStart;
    ObservedCall m_observed;
    std::unique_ptr<http1::Exchange> m_upstreamExchange;
    std::unique_ptr<SilentUpstream> m_silentUpstream;
    io::EventLoop::TimerId m_silentTimer = 0;
    int64_t m_sends = 0;
    // Upstreams on which the call has run or may have run.
    int64_t m_possibleRuns = 0;
    int64_t m_retries = 0;
    // When the last retry was granted.
    std::optional<base::Instant> m_retryGranted;
    // It waits to be sent.
    bool m_retryReserved = false;
    // How the last send was paid, if it was a retry.
    std::optional<PaidRetry> m_paidRetry;

    http1::ResponseHead m_responseHead;
    ResponseMetadata m_responseMetadata;
    bool m_receivedHead = false;
    // Of the body of the upstream's last answer.
    size_t m_answerBytes = 0;
    // That answer was a stream and ended within an event; for the log.
    bool m_endedWithinEvent = false;
    std::string m_bufferedBody;
    bool m_passThrough = false;
    EventSplitter m_events;
    std::optional<scheduling::MemoryHolder> m_memoryHolder;
    // The upstream is not read since the caller does not read.
    bool m_upstreamPaused = false;
};

} // namespace toucanstep::direct
