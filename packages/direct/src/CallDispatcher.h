// Everything that calls share at one gateway: the state in force, the upstreams, the limits, the line of those that wait.

#pragma once

#include "toucanstep/base/Metrics.h"
#include "toucanstep/direct/AccountLimits.h"
#include "toucanstep/direct/CrashDetector.h"
#include "toucanstep/direct/DemandTracker.h"
#include "toucanstep/direct/DesiredState.h"
#include "toucanstep/direct/QueueDiscipline.h"
#include "toucanstep/direct/TokenQueue.h"
#include "toucanstep/direct/UpstreamSelection.h"
#include "toucanstep/direct/UpstreamTable.h"
#include "toucanstep/direct/WireFormat.h"
#include "toucanstep/http1/Client.h"
#include "toucanstep/http1/Server.h"
#include "toucanstep/routing/Quarantine.h"
#include "toucanstep/routing/RetryBudget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace toucanstep::direct {

class ProxiedCall;

struct CallDispatcherSettings {
    base::FailureDomain domain;
    // Parts of the fleet's budget of repeats: for each hundred calls, and beyond that.
    int64_t retryPercent = 16;
    int64_t retryReserve = 8;
};

class CallDispatcher final : public http1::RequestHandler {
public:
    CallDispatcher(io::EventLoop&, http1::Client&, const WireFormat&, base::MetricsRegistry&, CallDispatcherSettings);
    ~CallDispatcher() override;

    void onRequest(std::shared_ptr<http1::ServerExchange>) override;
    void onUnreadable(int status) override;

    void setDesiredState(std::shared_ptr<const DesiredState>);
    std::shared_ptr<const DesiredState> desiredState() const { return m_state; }
    base::Instant inForceSince() const { return m_inForceSince; }
    // When the store last answered, for the log.
    void setLastStoreContact(base::Instant heard) { m_lastStoreContact = heard; }
    base::Instant lastStoreContact() const { return m_lastStoreContact; }
    // What the planner expects of targets that are loaded nowhere; replaces what it said before.
    void setExpectedLoads(const std::vector<ExpectedLoad>&);
    // Upstreams or their loaded models changed, or calls ended: those that wait may go on now.
    void wakeWaiting();
    // Looks after calls at upstreams that have stopped answering; to be called several times a second.
    void tick();
    // The process ends: every caller is told what can be said. Nothing is taken afterwards.
    void shutDownAll();
    // Called where a call begins to wait for a target that no upstream holds.
    void onTargetMissing(std::function<void()> handler) { m_onTargetMissing = std::move(handler); }

    io::EventLoop& loop() { return m_loop; }
    base::Instant now() const { return m_loop.now(); }
    http1::Client& client() { return m_client; }
    const WireFormat& format() const { return m_format; }
    UpstreamTable& upstreams() { return m_upstreams; }
    AccountLimits& limits() { return m_limits; }
    DemandTracker& demand() { return m_demand; }
    routing::Quarantine& quarantine() { return m_quarantine; }
    base::MetricsRegistry& metrics() { return m_metrics; }
    const CallDispatcherSettings& settings() const { return m_settings; }
    size_t running() const { return m_runs.size(); }
    size_t waiting() const { return m_waiting.size(); }

    // For ProxiedCall.
    // Charges the account, or holds the call: onTokens() or onNoTokens() follows.
    TokenQueue::Decision takeTokens(const std::shared_ptr<ProxiedCall>&, const base::ClientAccountId&, base::Tokens, base::Instant holdUntil);
    void leaveTokenQueue(QueuedCallNumber);
    void wait(const std::shared_ptr<ProxiedCall>&);
    void stopWaiting(ProxiedCall&);
    void ended(ProxiedCall&);
    bool takeRetry(const base::ServiceId&, int64_t retriesSoFar);
    void countForBudget(const base::ServiceId&);
    // When a target that is loaded nowhere will be, as the planner says; nothing where it has not said.
    std::optional<base::Instant> expectedLoad(const ModelTarget&) const;
    void heardFrom(const base::UpstreamId&);
    // The call broke off there: its request may have crashed the upstream.
    void suspectCrash(const base::UpstreamId&, const routing::RequestFingerprint&);
    std::vector<routing::StrikeMessage> recentStrikes();
    // The planner was heard of late; without one nothing is loaded.
    void onPlannerReport() { m_plannerHeard = now(); }
    bool plannerKnown() const;

private:
    void strikeForCrashes();
    void serveTokenQueue();
    void pump();
    // Those that wait, in the order in which they may go on now.
    std::vector<std::shared_ptr<ProxiedCall>> inTurn() const;
    routing::RetryBudget& budget(const base::ServiceId&);

    io::EventLoop& m_loop;
    http1::Client& m_client;
    const WireFormat& m_format;
    base::MetricsRegistry& m_metrics;
    CallDispatcherSettings m_settings;
    std::shared_ptr<const DesiredState> m_state;
    base::Instant m_inForceSince;
    base::Instant m_lastStoreContact;
    UpstreamTable m_upstreams;
    AccountLimits m_limits;
    TokenQueue m_tokenQueue;
    std::map<QueuedCallNumber, std::shared_ptr<ProxiedCall>> m_held;
    io::EventLoop::TimerId m_tokenTimer = 0;
    DemandTracker m_demand;
    routing::Quarantine m_quarantine;
    std::map<base::ServiceId, routing::RetryBudget> m_budgets;
    std::map<ModelTarget, base::Instant> m_expected;
    std::optional<base::Instant> m_plannerHeard;
    std::function<void()> m_onTargetMissing;
    std::set<std::shared_ptr<ProxiedCall>> m_runs;
    StandingQueueDetector m_standing;
    // By the number under which each began to wait.
    std::map<uint64_t, std::shared_ptr<ProxiedCall>> m_waiting;
    uint64_t m_lastNumber = 0;
    io::EventLoop::TimerId m_pumpTimer = 0;
    bool m_pumpDue = false;
    CrashDetector m_crashes;
    std::vector<std::pair<base::Instant, routing::StrikeMessage>> m_strikes;
};

} // namespace toucanstep::direct
