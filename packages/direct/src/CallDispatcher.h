// Accepts callers' requests, queues those that cannot run yet, and holds what all calls of a gateway share: the desired
// state, the upstream table, the account limits and the retry budgets.

#pragma once

#include "CallerMemoryControl.h"
#include "PressureQueue.h"
#include "SpeedObserver.h"
#include "toucanstep/base/Metrics.h"
#include "toucanstep/direct/CrashAttribution.h"
#include "toucanstep/direct/CrashDetector.h"
#include "toucanstep/direct/LoadPolicies.h"
#include "toucanstep/direct/StopClock.h"
#include "toucanstep/direct/WireFormat.h"
#include "toucanstep/http1/Client.h"
#include "toucanstep/http1/Server.h"
#include "toucanstep/planner/DemandTracker.h"
#include "toucanstep/scheduling/AccountLimits.h"
#include "toucanstep/scheduling/CallTimes.h"
#include "toucanstep/scheduling/QueueDiscipline.h"
#include "toucanstep/scheduling/SlotShare.h"
#include "toucanstep/scheduling/TokenQueue.h"
#include "toucanstep/serving/DesiredState.h"
#include "toucanstep/upstreams/ColdStartLimit.h"
#include "toucanstep/upstreams/FleetRetryBudget.h"
#include "toucanstep/upstreams/FleetShare.h"
#include "toucanstep/upstreams/UpstreamAvailability.h"
#include "toucanstep/upstreams/UpstreamCallLimits.h"
#include "toucanstep/upstreams/UpstreamSelection.h"
#include "toucanstep/upstreams/UpstreamTable.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace toucanstep::direct {

class ProxiedCall;

struct CallDispatcherSettings {
    base::InstanceId instance;
    base::FailureDomain domain;
    FleetRetryBudgetSettings retries;
    scheduling::AccountLimitsSettings limits;
    LoadPolicies policies;
    // From SIGTERM to SIGKILL.
    base::Duration terminationGrace = std::chrono::seconds(8);
};

class CallDispatcher final : public http1::RequestHandler {
public:
    CallDispatcher(io::EventLoop&, http1::Client&, const WireFormat&, base::MetricsRegistry&, CallDispatcherSettings);
    ~CallDispatcher() override;

    void onRequest(std::shared_ptr<http1::ServerExchange>) override;
    void onUnreadable(int status) override;

    void setDesiredState(std::shared_ptr<const DesiredState>);
    std::shared_ptr<const DesiredState> desiredState() const { return m_state; }
    base::Instant stateAppliedAt() const { return m_stateAppliedAt; }
    // When the store last answered; for the log.
    void setLastStoreContact(base::Instant heard) { m_lastStoreContact = heard; }
    base::Instant lastStoreContact() const { return m_lastStoreContact; }
    // The planner's estimates for targets that are loaded nowhere; they replace the earlier ones.
    void setExpectedLoads(const std::vector<ExpectedLoad>&);
    // Schedules a pass over the waiting calls; to be called when upstreams or their loaded models have changed or calls have
    // ended.
    void wakeWaiting();
    // Moves calls away from upstreams that have stopped answering, confirms crashes and processes the queues. To be called
    // several times a second.
    void tick();
    // SIGTERM was noticed: calls that wait and may outlast the process are refused.
    void beginStop(base::Instant noticed);
    // Ends every call at process shutdown, with an error answer where one can still be sent. No request may be passed in
    // afterwards.
    void shutDownAll();
    // Sets the handler that is called when a call for a model starts to wait.
    void onTargetMissing(std::function<void()> handler) { m_onTargetMissing = std::move(handler); }

    io::EventLoop& loop() { return m_loop; }
    base::Instant now() const { return m_loop.now(); }
    http1::Client& client() { return m_client; }
    const WireFormat& format() const { return m_format; }
    UpstreamTable& upstreams() { return m_upstreams; }
    const UpstreamTable& upstreams() const { return m_upstreams; }
    AccountLimits& limits() { return m_limits; }
    const AccountLimits& limits() const { return m_limits; }
    DemandTracker& demand() { return m_demand; }
    CrashAttribution& crashes() { return m_crashes; }
    base::MetricsRegistry& metrics() { return m_metrics; }
    const CallDispatcherSettings& settings() const { return m_settings; }
    size_t running() const { return m_activeCalls.size(); }
    size_t waiting() const { return m_waiting.size(); }
    StopClock& stop() { return m_stop; }
    const StopClock& stop() const { return m_stop; }
    SlotShare& slotShare() { return m_slotShare; }
    // The interval at which gateways report their loads to each other.
    void setReportInterval(base::Duration);
    // Calls stay in their failure domain while it has room, see DomainSpill.
    void setStaysInDomain(bool stays) { m_staysInDomain = stays; }
    bool staysInDomain() const { return m_staysInDomain; }
    CallTimes& callTimes() { return m_callTimes; }
    FleetShare& fleetShare() { return m_fleetShare; }
    ColdStartLimit& coldStarts() { return m_coldStarts; }
    // The calls that wait for a slot, by queue.
    QueuedCallCounts queuedCalls() const;

    // For ProxiedCall.
    // Charges the account, refuses the call, or queues it until onTokensCharged() or onTokensUnavailable() is called.
    TokenQueue::Decision acquireTokens(const std::shared_ptr<ProxiedCall>&, const TokenRequest&);
    void leaveTokenQueue(QueuedCallNumber);
    void enqueue(const std::shared_ptr<ProxiedCall>&);
    void dequeue(ProxiedCall&);
    void onCallEnded(ProxiedCall&);
    // Takes a slot for a call that is sent at once. Returns false if the free ones are left to calls that wait elsewhere.
    bool takeSlot(const ProxiedCall&, const UpstreamSelection&);
    // Whether a call that has just arrived is refused at once, since it would be late before its turn comes in a queue that
    // stands. `running` are the calls at the upstreams that could run it.
    bool refusesOnArrival(const ProxiedCall&, int64_t running);
    // The part of the running calls that end between two load reports.
    double turnover(const ModelQueue&) const;
    // Only where LoadPolicies::pressure is set; null otherwise.
    PressureQueue* pressure() { return m_settings.policies.pressure ? &m_pressure : nullptr; }
    // Whether a call that has just arrived leaves a free slot to one that waits.
    bool leavesSlotToWaiting(const ProxiedCall&);
    // When the caller of a call that is refused under overload is to come back; nothing without LoadPolicies::pressure.
    std::optional<base::Instant> nextReturn(const ProxiedCall&, int64_t running, base::Instant deadline, std::string_view reason);
    void describeWaitingAccounts(LoadReport&);
    void onPeerReport(const LoadReport&);
    UpstreamCallLimits& callLimits() { return m_callLimits; }
    const UpstreamAvailability& availability() const { return m_availability; }
    // In force at the upstream, in calls per second over all gateways; nothing without a limit.
    std::optional<double> callLimitOf(const base::UpstreamId&) const;
    SpeedObserver& speeds() { return m_speeds; }
    // How long work takes at the upstream relative to usual.
    double workFactorOf(const base::UpstreamId&) const;
    void onPeerHeardCallLimit(const HeardCallLimit&);
    void onPeerHeardAvailability(const HeardAvailability&);
    // The waiting calls that go before that call, of those that the same upstreams could run.
    int64_t waitingBefore(const ProxiedCall&) const;
    FleetRetryBudget& retryBudget() { return m_retryBudget; }
    CallerMemoryControl& callerMemory() { return m_callerMemory; }
    // Reserves a retry of the call in the budget; `reason` is for the log.
    bool tryReserveRetry(const ProxiedCall&, std::string_view reason);
    // When the planner expects the target's model to be loaded; nothing without an estimate. Adapters are not considered.
    std::optional<base::Instant> expectedLoad(const ModelTarget&) const;
    // Bytes of an answer to a request that was sent at `sentAt`.
    void onUpstreamHeard(const base::UpstreamId&, base::Instant sentAt);
    // What the answer to a call says of the upstream itself. `accepted` if the answer is no rejection.
    void onUpstreamState(const base::UpstreamId&, StartId, const ResponseMetadata&, bool accepted);
    // What any answer, also to an order, says of when the upstream takes requests.
    void onAvailabilityStated(const base::UpstreamId&, StartId, const ResponseMetadata&);
    // The connection broke during the call, so its request may have crashed the upstream.
    void reportSuspectedCrash(const ProxiedCall&, CallTraits);
    // Ends the calls that have traits which are refused since the last time.
    void refuseCrashingCalls();
    void onPlannerReport() { m_lastPlannerReport = now(); }
    // Whether the planner has reported recently; without it nothing is loaded.
    bool plannerActive() const;

private:
    void attributeConfirmedCrashes();
    void processTokenQueue();
    void countAsWaiting(const ProxiedCall&, int64_t change);
    void processQueue();
    void onCallLimit(const base::UpstreamId&, const ResponseMetadata&);
    void logLeaving(const base::UpstreamId&, StartId, std::string_view source);
    void logCallLimit(const base::UpstreamId&, std::optional<double> limit, std::string_view source);
    // In dispatch order.
    std::vector<std::shared_ptr<ProxiedCall>> waitingInOrder();
    // Whether less urgent calls were sent lately to the upstreams that could run the call, so that it is not refused: the time in
    // which a slot that a peer has taken may still be reported free.
    bool lessUrgentSent(const ProxiedCall&);
    // Whether the waiting call is refused since its turn would come too late.
    bool refusesWaiting(const ProxiedCall&, const QueueKey&);

    io::EventLoop& m_loop;
    http1::Client& m_client;
    const WireFormat& m_format;
    base::MetricsRegistry& m_metrics;
    CallDispatcherSettings m_settings;
    StopClock m_stop;
    std::shared_ptr<const DesiredState> m_state;
    base::Instant m_stateAppliedAt;
    base::Instant m_lastStoreContact;
    UpstreamTable m_upstreams;
    AccountLimits m_limits;
    TokenQueue m_tokenQueue;
    std::map<QueuedCallNumber, std::shared_ptr<ProxiedCall>> m_awaitingTokens;
    io::EventLoop::TimerId m_tokenTimer = 0;
    DemandTracker m_demand;
    CrashAttribution m_crashes;
    std::map<ModelTarget, base::Instant> m_expectedLoads;
    std::optional<base::Instant> m_lastPlannerReport;
    std::function<void()> m_onTargetMissing;
    std::set<std::shared_ptr<ProxiedCall>> m_activeCalls;
    StandingQueueDetector m_standingQueues;
    base::Duration m_reportInterval = minLoadReportInterval;
    bool m_staysInDomain = false;
    SlotShare m_slotShare;
    CallTimes m_callTimes;
    PressureQueue m_pressure;
    FleetShare m_fleetShare;
    ColdStartLimit m_coldStarts;
    FleetRetryBudget m_retryBudget;
    UpstreamCallLimits m_callLimits;
    UpstreamAvailability m_availability;
    SpeedObserver m_speeds;
    CallerMemoryControl m_callerMemory;
    // As of the last pass over the waiting calls.
    QueuedCallCounts m_queued;
    // By wait number, which grows with each call that starts to wait.
    std::map<uint64_t, std::shared_ptr<ProxiedCall>> m_waiting;
    uint64_t m_lastWaitNumber = 0;
    io::EventLoop::TimerId m_queuePassTimer = 0;
    bool m_queuePassPending = false;
    CrashDetector m_crashDetector;
};

} // namespace toucanstep::direct
