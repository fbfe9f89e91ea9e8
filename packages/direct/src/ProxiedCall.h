// One caller's request from its arrival to its end: checked, charged, sent to an upstream, its answer passed on.
//
// What may be repeated decides what happens after a failure. A call that may run only once is sent again only where it is
// proved that it has not run; 429 and 503 are answered only then. A stream that may be resumed goes on at another
// upstream behind its last whole event.

#pragma once

#include "CallDispatcher.h"
#include "EventSplitter.h"

namespace toucanstep::direct {

class ProxiedCall final : public http1::ExchangeListener, public std::enable_shared_from_this<ProxiedCall> {
public:
    ProxiedCall(CallDispatcher&, std::shared_ptr<http1::ServerExchange>);
    ~ProxiedCall() override;

    // Checks the request and refuses it, or begins to look for an upstream.
    void start();
    // Sends it to an upstream if one can take it; tells what stands in the way otherwise.
    BlockReason tryDispatch();
    // Refuses a waiting call whose wait is of no use any more. Returns whether it did.
    bool refuseIfHopeless(BlockReason);
    // Refuses a call that waits and is late where more calls come than can run.
    void refuseLate();
    // Its upstream has stopped answering: a call that may be repeated moves on.
    void onUpstreamSilent();
    // The process ends: the caller is told what can be said.
    void cutOff();
    // Its account has the tokens for it, and it is charged.
    void onTokens();
    // They have not come in time.
    void onNoTokens(base::Instant expected);

    QueueClass turn() const;

    const base::ServiceId& service() const { return m_service; }
    const ModelTarget& target() const { return m_call.target; }
    int64_t rank() const { return m_rank; }
    uint64_t waitNumber() const { return m_waitNumber; }
    void setWaitNumber(uint64_t number) { m_waitNumber = number; }
    bool untried() const { return m_tried.empty(); }
    const base::UpstreamId& upstream() const { return m_upstream; }
    bool underWay() const { return m_exchange != nullptr; }

    void onHead(http1::ResponseHead) override;
    void onBody(std::string_view) override;
    void onWhole() override;
    void onBroken(http1::Breakage) override;

private:
    enum class Phase {
        Checking,
        // For its account's tokens.
        Held,
        Waiting,
        Sent,
        // Bytes of an answer have gone to the caller.
        Delivering,
        Done,
    };
    enum class Ran {
        No,
        Maybe,
    };

    // Whether the call may go on at once; otherwise it has been ended, or waits for its account's tokens.
    bool admit();
    bool takeTokens(const Account&);
    void goOn();
    bool chooseService(const Route&);
    void send(const base::UpstreamId&);
    std::string requestHead(const base::UpstreamId&) const;
    void leaveUpstream();
    void waitAgain();

    void onRejected();
    void onServerError();
    void deliverWhole();
    void beginStream();
    bool mayRetry();
    void failed(std::string_view reason);
    void deadlinePassed();
    void callerLeft();

    void refuse(int status, std::string_view code, Ran, std::string_view message, std::optional<base::Duration> retryAfter = {});
    void finish(std::string_view outcome, int status);
    base::Duration left() const;

    CallDispatcher& m_desk;
    std::shared_ptr<http1::ServerExchange> m_caller;
    std::shared_ptr<const DesiredState> m_state;
    // When it had come into force, and when the store had last been heard, as of the call's arrival.
    base::Instant m_stateSince;
    base::Instant m_lastStoreContact;
    // Of m_state.
    const Route* m_route = nullptr;
    CallMetadata m_call;
    base::ClientAccountId m_account;
    base::ServiceId m_service;
    routing::RequestFingerprint m_fingerprint;
    base::Tokens m_cost;
    base::Tokens m_charged;
    std::optional<QueuedCallNumber> m_held;
    int64_t m_rank = 0;
    uint64_t m_waitNumber = 0;
    Phase m_phase = Phase::Checking;
    base::Instant m_arrived;
    base::Instant m_deadline;
    // Its caller leaves at this time unless the answer has begun.
    base::Instant m_beginBy;
    std::optional<base::Instant> m_firstByte;
    // Why it had to wait before it was first sent, and when that was; for the log.
    BlockReason m_waitedFor = BlockReason::None;
    std::optional<base::Instant> m_firstSent;
    io::EventLoop::TimerId m_timer = 0;

    std::set<base::UpstreamId> m_tried;
    base::UpstreamId m_upstream;
    std::unique_ptr<http1::Exchange> m_exchange;
    int64_t m_sends = 0;
    // Upstreams on which it has or may have run.
    int64_t m_runs = 0;
    int64_t m_retries = 0;

    http1::ResponseHead m_head;
    ResponseMetadata m_verdict;
    bool m_haveHead = false;
    std::string m_body;
    bool m_passThrough = false;
    EventSplitter m_events;
};

} // namespace toucanstep::direct
