#include "CallDispatcher.h"

#include "ProxiedCall.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

#include <absl/strings/str_join.h>
#include <algorithm>
#include <tuple>

namespace toucanstep::direct {

namespace {

// Waiting calls are processed in batches, this long after the first event that may unblock one.
constexpr auto queuePassDelay = std::chrono::milliseconds(2);
// The planner reports several times a second; without a report for this long it counts as absent.
constexpr auto plannerReportLifetime = std::chrono::milliseconds(1500);
// That a call had been sent still longer before a crash makes no difference.
constexpr auto maxTimeInFlight = std::chrono::hours(1);

} // namespace

CallDispatcher::CallDispatcher(io::EventLoop& loop, http1::Client& client, const WireFormat& format, base::MetricsRegistry& metrics, CallDispatcherSettings settings)
    : m_loop(loop)
    , m_client(client)
    , m_format(format)
    , m_metrics(metrics)
    , m_settings(std::move(settings))
    , m_stop(m_settings.terminationGrace)
    , m_limits(m_settings.limits)
    , m_slotShare(m_settings.instance.value())
    , m_pressure(m_callTimes, m_slotShare, m_metrics)
    , m_fleetShare(FleetShareSettings {}, m_settings.instance)
    , m_coldStarts(ColdStartLimitSettings {}, m_fleetShare)
    , m_retryBudget(m_settings.retries, m_fleetShare)
    , m_callLimits(m_fleetShare)
    , m_speeds(m_metrics, m_settings.policies.statedSpeed)
    , m_callerMemory(loop, metrics, m_settings.policies.callerMemory)
{
}

CallDispatcher::~CallDispatcher()
{
    shutDownAll();
    m_loop.cancel(m_queuePassTimer);
    m_loop.cancel(m_tokenTimer);
}

void CallDispatcher::beginStop(base::Instant noticed)
{
    m_stop.onNoticed(noticed);
    auto calls = m_activeCalls;
    for (const auto& call : calls)
        call->refuseIfStopping();
}

void CallDispatcher::shutDownAll()
{
    auto calls = m_activeCalls;
    for (const auto& call : calls)
        call->shutDown();
}

void CallDispatcher::onRequest(std::shared_ptr<http1::ServerExchange> exchange)
{
    auto call = std::make_shared<ProxiedCall>(*this, std::move(exchange));
    m_activeCalls.insert(call);
    call->start();
}

void CallDispatcher::onUnreadable(int status)
{
    m_metrics.count("toucanstep_unreadable_requests_total", base::concat("status=\"", status, "\""));
}

void CallDispatcher::setDesiredState(std::shared_ptr<const DesiredState> state)
{
    m_state = std::move(state);
    m_stateAppliedAt = now();
    m_limits.setAccounts(*m_state, now());
    m_retryBudget.setServices(m_state->services);
    wakeWaiting();
}

void CallDispatcher::setExpectedLoads(const std::vector<ExpectedLoad>& loads)
{
    m_expectedLoads.clear();
    for (const auto& load : loads)
        m_expectedLoads[load.target] = now() + load.in;
}

std::optional<base::Instant> CallDispatcher::expectedLoad(const ModelTarget& target) const
{
    auto found = m_expectedLoads.find({ target.model, AdapterId() });
    if (found == m_expectedLoads.end())
        return std::nullopt;
    return found->second;
}

bool CallDispatcher::plannerActive() const
{
    return m_lastPlannerReport && now() - *m_lastPlannerReport < plannerReportLifetime;
}

TokenQueue::Decision CallDispatcher::acquireTokens(const std::shared_ptr<ProxiedCall>& call, const TokenRequest& request)
{
    TokenQueue::Decision decision = m_tokenQueue.chargeOrQueue(m_limits, request, now());
    if (decision.result == TokenResult::Queued) {
        m_awaitingTokens.emplace(decision.number, call);
        countAsWaiting(*call, 1);
        if (!m_tokenTimer)
            m_tokenTimer = m_loop.at(decision.expected, [this] { processTokenQueue(); });
    }
    return decision;
}

void CallDispatcher::leaveTokenQueue(QueuedCallNumber number)
{
    m_tokenQueue.remove(number);
    auto waitingCall = m_awaitingTokens.extract(number);
    if (!waitingCall.empty())
        countAsWaiting(*waitingCall.mapped(), -1);
}

// Calls may wait for tokens as long as a model takes to load, so that the planner has to know of them.
void CallDispatcher::countAsWaiting(const ProxiedCall& call, int64_t change)
{
    if (!m_settings.policies.pressure || call.target().empty())
        return;
    m_demand.onWaiting(call.target(), change);
    if (change > 0 && m_onTargetMissing)
        m_onTargetMissing();
}

void CallDispatcher::processTokenQueue()
{
    m_loop.cancel(m_tokenTimer);
    m_tokenTimer = 0;
    for (const auto& due : m_tokenQueue.takeDue(m_limits, now())) {
        auto waitingCall = m_awaitingTokens.extract(due.number);
        if (waitingCall.empty())
            continue;
        countAsWaiting(*waitingCall.mapped(), -1);
        if (due.charged)
            waitingCall.mapped()->onTokensCharged();
        else
            waitingCall.mapped()->onTokensUnavailable(due.expected, due.leftToUrgent);
    }
    // Keeps the timer from firing at once, again and again, while the bucket is short of a fraction of a token.
    constexpr auto minTimerDelay = std::chrono::milliseconds(2);
    if (auto next = m_tokenQueue.nextDue(m_limits, now()))
        m_tokenTimer = m_loop.at(std::max(*next, now() + minTimerDelay), [this] { processTokenQueue(); });
}

void CallDispatcher::enqueue(const std::shared_ptr<ProxiedCall>& call)
{
    call->setWaitNumber(++m_lastWaitNumber);
    m_waiting.emplace(call->waitNumber(), call);
    m_demand.onWaiting(call->target(), 1);
    if (!call->target().empty() && m_onTargetMissing)
        m_onTargetMissing();
}

void CallDispatcher::dequeue(ProxiedCall& call)
{
    if (!m_waiting.erase(call.waitNumber()))
        return;
    m_demand.onWaiting(call.target(), -1);
    if (PressureQueue* queue = pressure())
        queue->onDequeued(call);
}

void CallDispatcher::onCallEnded(ProxiedCall& call)
{
    dequeue(call);
    if (PressureQueue* queue = pressure())
        queue->onEnded(call, call.answeredInTime(), now());
    m_activeCalls.erase(call.shared_from_this());
    wakeWaiting();
}

void CallDispatcher::wakeWaiting()
{
    if (m_queuePassPending || m_waiting.empty())
        return;
    m_queuePassPending = true;
    m_queuePassTimer = m_loop.at(now() + queuePassDelay, [this] { processQueue(); });
}

std::vector<std::shared_ptr<ProxiedCall>> CallDispatcher::waitingInOrder()
{
    if (PressureQueue* queue = pressure())
        return queue->beginPass(m_waiting, now());
    std::map<QueuePosition, std::shared_ptr<ProxiedCall>> positions;
    for (const auto& [number, call] : m_waiting)
        positions.emplace(QueuePosition { call->priority(), call->queueClass(), number }, call);
    std::vector<std::shared_ptr<ProxiedCall>> calls;
    for (auto& [position, call] : positions)
        calls.push_back(std::move(call));
    return calls;
}

int64_t CallDispatcher::waitingBefore(const ProxiedCall& call) const
{
    return std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto& entry) {
        const ProxiedCall& other = *entry.second;
        bool earlier = !call.waitNumber() || other.waitNumber() < call.waitNumber();
        return other.queue() == call.queue() && (other.blockReason() == BlockReason::CallLimit || other.blockReason() == BlockReason::Paused) && (other.priority() < call.priority() || (other.priority() == call.priority() && earlier));
    });
}

QueuedCallCounts CallDispatcher::queuedCalls() const
{
    QueuedCallCounts queued;
    for (const auto& [number, call] : m_waiting) {
        if (call->blockReason() != BlockReason::Full)
            continue;
        QueuedCalls& calls = queued[call->queue()][call->priority()];
        ++(call->queueClass() == QueueClass::Late ? calls.late : calls.inTime);
    }
    return queued;
}

void CallDispatcher::setReportInterval(base::Duration interval)
{
    m_reportInterval = interval;
    m_slotShare.setReportInterval(interval);
    m_limits.setReportInterval(interval);
}

double CallDispatcher::turnover(const ModelQueue& queue) const
{
    return m_callTimes.turnover(queue, m_reportInterval);
}

bool CallDispatcher::refusesOnArrival(const ProxiedCall& call, int64_t running)
{
    QueueKey key(call.service(), call.target());
    if (call.queueClass() != QueueClass::InTime || !m_standingQueues.isStanding(key, now()))
        return false;
    if (PressureQueue* pressureQueue = pressure()) {
        if (lessUrgentSent(call) || !pressureQueue->hasNoChance(call, m_waiting, running, now()))
            return false;
        m_standingQueues.onRefusedOnArrival(key, now());
        return true;
    }
    ModelQueue queue = call.queue();
    auto own = m_queued.find(queue);
    int64_t ahead = m_slotShare.callsAhead(queue, { call.priority(), QueueClass::InTime }, own == m_queued.end() ? QueuedCallsByPriority() : own->second);
    double completionsPerSecond = static_cast<double>(running) * turnover(queue) / base::toSeconds(m_reportInterval);
    if (!willBecomeLate(ahead, completionsPerSecond, base::remaining(now(), call.lateFrom())))
        return false;
    m_standingQueues.onRefusedOnArrival(key, now());
    return true;
}

bool CallDispatcher::takeSlot(const ProxiedCall& call, const UpstreamSelection& selection)
{
    ModelQueue queue = call.queue();
    QueueClass queueClass = call.queueClass();
    auto found = m_queued.find(queue);
    QueuedCallsByPriority own = found == m_queued.end() ? QueuedCallsByPriority() : found->second;
    QueuedCalls& counted = own[call.priority()];
    (queueClass == QueueClass::Late ? counted.late : counted.inTime) += call.waitNumber() ? 0 : 1;
    if (PressureQueue* pressureQueue = pressure()) {
        CallsByAccount accounts = pressureQueue->rivals(call);
        double offered = SlotShare::offeredSlots(selection.freeSlots, selection.inFlight, turnover(queue) * pressureQueue->partLeft(call, now()));
        return m_slotShare.takeSlot(queue, { call.priority(), queueClass }, own, offered, now(), &accounts);
    }
    double slots = SlotShare::offeredSlots(selection.freeSlots, selection.inFlight, turnover(queue));
    return m_slotShare.takeSlot(queue, { call.priority(), queueClass }, own, slots, now());
}

bool CallDispatcher::leavesSlotToWaiting(const ProxiedCall& call)
{
    PressureQueue* queue = pressure();
    if (!queue || !queue->isBehindWaiting(call, m_waiting))
        return false;
    wakeWaiting();
    return true;
}

bool CallDispatcher::lessUrgentSent(const ProxiedCall& call)
{
    PressureQueue* queue = pressure();
    return queue && queue->lessUrgentSent(call, now() - m_reportInterval * 2);
}

bool CallDispatcher::refusesWaiting(const ProxiedCall& call, const QueueKey& key)
{
    PressureQueue* queue = pressure();
    if (!queue || !call.neverSent() || !call.hasTarget() || call.queueClass() != QueueClass::InTime || !m_standingQueues.isStanding(key, now()))
        return false;
    if (lessUrgentSent(call) || !queue->hasNoChance(call, m_waiting, call.runningThere(), now()))
        return false;
    m_standingQueues.onRefusedOnArrival(key, now());
    return true;
}

std::optional<base::Instant> CallDispatcher::nextReturn(const ProxiedCall& call, int64_t running, base::Instant deadline, std::string_view reason)
{
    PressureQueue* queue = pressure();
    if (!queue)
        return std::nullopt;
    return queue->nextReturn(call, m_waiting, running, deadline, reason, now());
}

void CallDispatcher::describeWaitingAccounts(LoadReport& report)
{
    if (PressureQueue* queue = pressure(); queue && !m_waiting.empty()) {
        report.queuedAccounts = queue->queuedAccounts();
        report.waitingTokens = PressureQueue::waitingTokens(m_waiting);
    }
}

void CallDispatcher::onPeerReport(const LoadReport& report)
{
    if (PressureQueue* queue = pressure())
        queue->onPeerReport(report, now());
}

void CallDispatcher::processQueue()
{
    m_queuePassPending = false;
    m_queued = queuedCalls();
    // Once an unsent call is blocked, the other unsent calls for the same service and target are blocked in this pass too. A
    // late call that leaves the slots to calls in time does not block those.
    std::map<std::pair<QueueKey, bool>, BlockReason> blockedQueues;
    m_standingQueues.beginPass(now());
    for (const auto& call : waitingInOrder()) {
        QueueKey key(call->service(), call->target());
        bool late = call->queueClass() == QueueClass::Late;
        auto blocked = blockedQueues.find({ key, late });
        BlockReason blockReason = blocked != blockedQueues.end() && call->neverSent() ? blocked->second : call->tryDispatch();
        if (blockReason == BlockReason::None)
            continue;
        call->setBlockReason(blockReason);
        if (call->inFlight())
            continue;
        // Each of the calls that wait for a limit or the end of a pause has its own time to go.
        bool hasOwnTime = blockReason == BlockReason::CallLimit || blockReason == BlockReason::Paused;
        if (call->neverSent() && !hasOwnTime) {
            blockedQueues.emplace(std::pair(key, true), blockReason);
            // Under pressure the order is by priority first, so calls that follow a blocked late one are no more urgent.
            if (!late || pressure())
                blockedQueues.emplace(std::pair(key, false), blockReason);
        }
        if (late && blockReason == BlockReason::Full && m_standingQueues.shouldRefuseLate(key) && !lessUrgentSent(*call))
            call->refuseLate("late");
        else if (blockReason == BlockReason::Full && refusesWaiting(*call, key))
            call->refuseLate("waiting");
        else
            call->refuseIfUnservable(blockReason);
    }
    m_standingQueues.endPass();
}

void CallDispatcher::tick()
{
    base::Instant time = now();
    m_upstreams.expireNotices(time);
    m_crashes.expire(time);
    m_retryBudget.tick(time);
    m_availability.expire(time, [this](const base::UpstreamId& upstream) { return m_upstreams.find(upstream) != nullptr; });
    m_speeds.expire(m_upstreams);
    attributeConfirmedCrashes();
    if (PressureQueue* queue = pressure())
        queue->tick(time);
    if (!m_tokenQueue.empty())
        processTokenQueue();
    m_callerMemory.tick();
    auto calls = m_activeCalls;
    for (const auto& call : calls) {
        if (!call->inFlight())
            continue;
        const UpstreamEntry* entry = m_upstreams.find(call->upstream());
        if (!entry || UpstreamTable::isUnresponsive(*entry, time))
            call->onUpstreamSilent();
    }
    if (!m_waiting.empty())
        processQueue();
}

bool CallDispatcher::tryReserveRetry(const ProxiedCall& call, std::string_view reason)
{
    bool reserved = m_retryBudget.tryReserve(call.service(), now());
    std::string_view granted = reserved ? "yes" : "no";
    m_metrics.count("toucanstep_retries_total", base::concat("service=\"", call.service(), "\",reason=\"", reason, "\",granted=\"", granted, "\""));
    base::LogLine("call_retry").add("id", call.id()).add("service", call.service()).add("reason", reason).add("granted", granted).add("balance", m_retryBudget.available(call.service(), now()));
    return reserved;
}

void CallDispatcher::onUpstreamHeard(const base::UpstreamId& upstream, base::Instant sentAt)
{
    m_upstreams.onBytesReceived(upstream, now());
    m_crashDetector.onHeard(upstream, sentAt, now());
}

void CallDispatcher::onUpstreamState(const base::UpstreamId& upstream, StartId start, const ResponseMetadata& answer, bool accepted)
{
    if (answer.hasSignature || answer.notRun)
        onCallLimit(upstream, answer);
    onAvailabilityStated(upstream, start, answer);
    if (accepted && m_availability.onAccepted(upstream, now()))
        wakeWaiting();
}

void CallDispatcher::onAvailabilityStated(const base::UpstreamId& upstream, StartId start, const ResponseMetadata& answer)
{
    if (answer.leaving && m_availability.onLeaving(upstream, start, now()))
        logLeaving(upstream, start, "answer");
    if (answer.retryAfterUnreadable)
        m_metrics.count("toucanstep_unreadable_entries_total", "what=\"retry_after\"");
    if (!answer.retryAfter || !m_availability.onPauseAsked(upstream, start, now() + *answer.retryAfter, now()))
        return;
    m_metrics.count("toucanstep_upstream_pauses_total");
    base::LogLine("upstream_paused").add("upstream", upstream).add("for_ms", base::toMilliseconds(*answer.retryAfter));
}

void CallDispatcher::onPeerHeardAvailability(const HeardAvailability& heard)
{
    if (m_availability.onPeerHeard(heard, now()))
        logLeaving(heard.upstream, heard.start, "peer");
}

void CallDispatcher::logLeaving(const base::UpstreamId& upstream, StartId start, std::string_view source)
{
    m_metrics.count("toucanstep_upstreams_leaving_total");
    base::LogLine("upstream_leaving").add("upstream", upstream).add("start", start).add("source", source);
}

void CallDispatcher::onCallLimit(const base::UpstreamId& upstream, const ResponseMetadata& answer)
{
    if (answer.callLimitUnreadable) {
        m_metrics.count("toucanstep_unreadable_entries_total", "what=\"call_limit\"");
        return;
    }
    const UpstreamEntry* entry = m_upstreams.find(upstream);
    if (!entry)
        return;
    if (m_callLimits.onAnswer(upstream, entry->description.start, answer.callLimit, now()))
        logCallLimit(upstream, answer.callLimit, "answer");
}

void CallDispatcher::onPeerHeardCallLimit(const HeardCallLimit& heard)
{
    if (m_upstreams.find(heard.upstream) && m_callLimits.onPeerHeard(heard, now()))
        logCallLimit(heard.upstream, heard.limit, "peer");
}

std::optional<double> CallDispatcher::callLimitOf(const base::UpstreamId& upstream) const
{
    auto entry = m_upstreams.all().find(upstream);
    return entry == m_upstreams.all().end() ? std::nullopt : m_callLimits.limit(upstream, entry->second.description.start, now());
}

double CallDispatcher::workFactorOf(const base::UpstreamId& upstream) const
{
    auto entry = m_upstreams.all().find(upstream);
    const UpstreamSpeeds* estimates = m_speeds.estimates();
    return entry == m_upstreams.all().end() || !estimates ? 1 : estimates->workFactor(upstream, entry->second.description.start, now());
}

void CallDispatcher::logCallLimit(const base::UpstreamId& upstream, std::optional<double> limit, std::string_view source)
{
    m_metrics.count("toucanstep_call_limits_total", limit ? "change=\"begun\"" : "change=\"ended\"");
    base::LogLine("upstream_limit").add("upstream", upstream).add("calls_per_s", limit ? base::concat(*limit) : std::string("none")).add("source", source);
    wakeWaiting();
}

void CallDispatcher::reportSuspectedCrash(const ProxiedCall& call, CallTraits suspect)
{
    const UpstreamEntry* entry = m_upstreams.find(call.upstream());
    base::LogLine line("crash_suspected");
    line.add("upstream", call.upstream()).add("id", call.id()).add("sent_ms_ago", base::toMilliseconds(now() - call.lastSent())).add("events_for_ms", call.firstByte() ? base::toMilliseconds(now() - *call.firstByte()) : -1);
    line.add("request", suspect.request).add("prompt", call.promptText()).add("traits", absl::StrJoin(suspect.parts, ",", absl::StreamFormatter()));
    m_crashDetector.onConnectionLost({ call.upstream(), entry ? entry->description.start : StartId(), std::move(suspect), call.lastSent(), now() });
}

void CallDispatcher::attributeConfirmedCrashes()
{
    std::map<routing::CrashId, std::vector<SuspectedCrash>> confirmed;
    for (auto& crashed : m_crashDetector.takeConfirmed(now()))
        confirmed[routing::CrashId(base::concat(crashed.upstream, "/", crashed.start))].push_back(std::move(crashed));
    for (const auto& [crash, suspected] : confirmed) {
        std::vector<CrashSuspect> calls;
        // Of several calls that broke off one after the other, the first tells the time of the crash.
        base::Instant crashedAt = suspected.front().disconnectedAt;
        for (const auto& each : suspected)
            calls.push_back({ each.call, std::clamp<base::Duration>(crashedAt - each.sentAt, base::Duration::zero(), maxTimeInFlight) });
        base::LogLine("crash_confirmed").add("crash", crash).add("calls", calls.size());
        m_metrics.count("toucanstep_upstream_crashes_total");
        m_crashes.onCrash(crash, crashedAt, calls, now());
    }
    refuseCrashingCalls();
}

void CallDispatcher::refuseCrashingCalls()
{
    auto traits = m_crashes.takeNewlyRefused();
    if (traits.empty())
        return;
    for (const auto& trait : traits) {
        base::LogLine("trait_refused").add("trait", trait);
        m_metrics.count("toucanstep_refused_traits_total");
    }
    auto calls = m_activeCalls;
    for (const auto& call : calls)
        call->refuseIfCrashing();
}

} // namespace toucanstep::direct
