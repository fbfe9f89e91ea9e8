#include "ProxiedCall.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/scheduling/WaitDecision.h"
#include "toucanstep/upstreams/DomainSpill.h"

#include <nlohmann/json.hpp>

namespace toucanstep::direct {

namespace {

constexpr int firstRedirectStatus = 300;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr int firstServerErrorStatus = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

// Connections within a region are established in milliseconds; an upstream that needs this long is down or unreachable.
constexpr auto connectTimeout = std::chrono::milliseconds(300);
// A silent upstream is kept for this long after the call was sent to another one. Two must not work on a call for 400 ms.
constexpr auto silentUpstreamHold = std::chrono::milliseconds(150);
// A connection that is not there by then is given up while the silent upstream is still kept.
constexpr auto moveConnectTimeout = std::chrono::milliseconds(120);
// Answers up to this size are buffered and delivered whole, so that a failure midway can still be reported as an error.
constexpr size_t maxBufferedAnswerBytes = 64 * 1024;
// Answers that are no success are buffered whole; a longer body cannot be used.
constexpr size_t maxFailureBytes = 1024 * 1024;
// How often a call may be sent, including sends that were rejected or could not connect.
constexpr int64_t maxSends = 4;
// A call waits for its account's tokens for at most this fraction of its latency target; the rest is left for sending it and
// for the start of the answer.
constexpr double tokenWaitFraction = 0.3;
// Where urgent calls go first, the others wait for longer if their latency target leaves this time for the rest.
constexpr double lessUrgentTokenWaitFraction = 0.6;
constexpr auto timeAfterTokens = std::chrono::seconds(1);
// How long a call of a service without history is taken to last, in latency targets of its route: usually, and at the most.
constexpr int usualTargetsOfUnknownCall = 4;
constexpr int mostTargetsOfUnknownCall = 8;
// An upstream whose events go on for this long was not crashed by the call.
constexpr auto provenAfter = std::chrono::milliseconds(1000);
// Of longer prompts, only the first parts are compared with those of other calls.
constexpr size_t maxPartTraits = 256;
// Retry-After without a better estimate.
constexpr auto defaultRetryAfter = std::chrono::milliseconds(500);
// Retry-After is increased by up to this fraction, so that calls that are refused together do not come back together.
constexpr double retryJitter = 0.5;

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// A repeated call has the same traits. The request id differs between attempts and is left out.
CallTraits traitsOf(const base::ClientAccountId& account, const http1::RequestHead& head, std::string_view body, const std::vector<PromptSegment>& prompt)
{
    CallTraits traits { requestTrait(routing::fingerprintOf(account, base::concat(head.method, " ", head.target, "\n", body))), {} };
    size_t shared = prompt.empty() ? 0 : std::min(prompt.size() - 1, maxPartTraits);
    for (size_t index = 0; index < shared; ++index)
        traits.parts.push_back(partTrait(prompt[index].hash));
    return traits;
}

http1::HeaderList endToEndHeaders(const http1::ResponseHead& head)
{
    http1::HeaderList kept;
    auto options = http1::connectionOptionsOf(head.headers);
    for (const auto& header : head.headers.all()) {
        if (!http1::isHopByHop(header.name, options))
            kept.add(header.name, header.value);
    }
    return kept;
}

double jitterOf(const base::RequestId& id)
{
    constexpr size_t steps = 1024;
    return static_cast<double>(std::hash<std::string> {}(id.value()) % steps) / steps;
}

} // namespace

ProxiedCall::ProxiedCall(CallDispatcher& dispatcher, std::shared_ptr<http1::ServerExchange> caller)
    : m_dispatcher(dispatcher)
    , m_callerExchange(std::move(caller))
    , m_state(dispatcher.desiredState())
    , m_stateAppliedAt(dispatcher.stateAppliedAt())
    , m_lastStoreContact(dispatcher.lastStoreContact())
    , m_arrived(dispatcher.now())
{
}

ProxiedCall::~ProxiedCall()
{
    m_dispatcher.loop().cancel(m_timer);
    m_dispatcher.loop().cancel(m_silentTimer);
}

std::string ProxiedCall::promptText() const
{
    constexpr size_t maxLogged = 16;
    std::string text;
    for (size_t index = 0; index < std::min(m_call.prompt.size(), maxLogged); ++index)
        text += base::concat(index ? "," : "", m_call.prompt[index].hash);
    return text;
}

base::Duration ProxiedCall::timeLeft() const { return base::remaining(m_dispatcher.now(), m_deadline); }

void ProxiedCall::start()
{
    bool admitted = admit();
    if (m_phase == Phase::Done)
        return;
    m_timer = m_dispatcher.loop().at(m_deadline, [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->onDeadline();
    });
    m_callerExchange->onGone([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->onCallerGone();
    });
    m_memoryHolder = m_dispatcher.callerMemory().add(*this, m_callerExchange, m_call.id, m_account);
    if (admitted && m_phase != Phase::Done)
        onAdmitted();
}

void ProxiedCall::onAdmitted()
{
    m_phase = Phase::Checking;
    m_dispatcher.demand().onArrival(m_call.target, m_dispatcher.now());
    m_dispatcher.retryBudget().onCall(m_service, m_dispatcher.now());
    dispatchOrWait();
}

bool ProxiedCall::admit()
{
    std::string reason;
    const http1::RequestHead& head = m_callerExchange->head();
    auto call = m_dispatcher.format().readCall(head, reason);
    if (!call) {
        refuse(statusBadRequest, "bad_request", Execution::NotRun, reason);
        return false;
    }
    m_call = std::move(*call);
    if (!m_state) {
        refuse(statusUnavailable, "starting", Execution::NotRun, "the gateway does not know the desired state yet", defaultRetryAfter);
        return false;
    }
    const std::string* host = head.headers.find("host");
    m_route = m_state->findRoute(host ? std::string_view(*host) : std::string_view(), pathOf(head.target));
    if (!m_route) {
        refuse(statusNotFound, "unknown_route", Execution::NotRun, "no route has this host and path");
        return false;
    }
    const Account* account = nullptr;
    if (!m_route->allowsAnonymous && !m_state->accounts.empty()) {
        account = m_call.key.empty() ? nullptr : m_state->findAccountByKey(base::KeyFingerprint(base::sha256Hex(m_call.key)));
        if (!account) {
            refuse(statusUnauthorized, "unauthorized", Execution::NotRun, "the key is missing or not known");
            return false;
        }
        m_account = account->limits.id;
        m_accountRegions = &account->allowedRegions;
    }
    m_priority = account && account->priority ? *account->priority : m_route->priority;
    base::Duration limit = m_call.timeLimit ? std::min(*m_call.timeLimit, m_route->timeout) : m_route->timeout;
    m_deadline = m_arrived + limit;
    bool leavesEarlier = m_route->callerAbandonTimeout > base::Duration::zero() && m_route->callerAbandonTimeout < limit;
    m_answerStartDeadline = leavesEarlier ? m_arrived + m_route->callerAbandonTimeout : m_deadline;
    m_traits = traitsOf(m_account, head, m_callerExchange->body(), m_call.prompt);
    if (m_dispatcher.crashes().refuses(m_traits, m_arrived)) {
        refuseCrashing();
        return false;
    }
    if (!selectService(*m_route) || refuseIfTooLarge() || refuseIfStopping())
        return false;
    if (!account || !account->limited())
        return true;
    if (!m_dispatcher.limits().hasShare(m_arrived)) {
        refuse(statusUnavailable, "limits_unknown", Execution::NotRun, "the gateway does not know its share of the account's limits", defaultRetryAfter);
        return false;
    }
    return acquireTokens(*account);
}

bool ProxiedCall::acquireTokens(const Account& account)
{
    m_cost = account.countsTokens ? (m_call.declaresTokens ? m_call.cost() : account.baseCost) : base::Tokens(1);
    bool byPriority = m_dispatcher.settings().policies.pressure;
    // An account's own priority is the same for all its calls.
    auto priority = byPriority ? std::optional(m_route->priority) : std::nullopt;
    bool canWait = priority.value_or(0) > 0 && m_route->latencyTarget * (1 - lessUrgentTokenWaitFraction) >= timeAfterTokens;
    double fraction = canWait ? lessUrgentTokenWaitFraction : tokenWaitFraction;
    auto maxWaitUntil = m_arrived + std::chrono::duration_cast<base::Duration>(m_route->latencyTarget * fraction);
    TokenQueue::Decision decision = m_dispatcher.acquireTokens(shared_from_this(), { m_account, m_cost, priority, maxWaitUntil });
    switch (decision.result) {
    case TokenResult::Charged:
        m_charged = m_cost;
        m_chargedAt = m_arrived;
        return true;
    case TokenResult::Queued:
        m_tokenQueueNumber = decision.number;
        m_phase = Phase::WaitingForTokens;
        return false;
    case TokenResult::Refused:
        onTokensUnavailable(decision.expected, decision.leftToUrgent);
        break;
    }
    return false;
}

void ProxiedCall::onTokensCharged()
{
    m_tokenQueueNumber.reset();
    m_charged = m_cost;
    m_chargedAt = m_dispatcher.now();
    onAdmitted();
}

void ProxiedCall::onTokensUnavailable(base::Instant expected, bool leftToUrgent)
{
    m_tokenQueueNumber.reset();
    std::string_view code = leftToUrgent ? "rate_limited_for_urgent" : "rate_limited";
    std::string_view message = leftToUrgent ? "the account is over its rate, and its tokens are left to more urgent calls" : "the account is over its rate";
    refuse(statusTooManyRequests, code, Execution::NotRun, message, base::remaining(m_dispatcher.now(), expected));
}

bool ProxiedCall::selectService(const Route& route)
{
    int64_t total = 0;
    for (const auto& destination : route.destinations)
        total += std::max<int64_t>(destination.weight, 0);
    if (total <= 0) {
        refuse(statusUnavailable, "no_destination", Execution::NotRun, "the route has no service with a weight", defaultRetryAfter);
        return false;
    }
    auto draw = static_cast<int64_t>(std::hash<std::string> {}(m_call.id.value()) % static_cast<size_t>(total));
    for (const auto& destination : route.destinations) {
        draw -= std::max<int64_t>(destination.weight, 0);
        if (draw < 0) {
            m_service = destination.service;
            break;
        }
    }
    return true;
}

bool ProxiedCall::refuseIfTooLarge()
{
    const ServiceTraits* service = m_state->findService(m_service);
    if (!m_dispatcher.settings().policies.pressure || !m_call.declaresTokens || !service || !service->engine)
        return false;
    base::Tokens capacity = service->engine->tokenCapacity;
    if (!capacity.value() || m_call.cost() <= capacity)
        return false;
    refuse(statusBadRequest, "too_many_tokens", Execution::NotRun, base::concat("the call's ", m_call.cost(), " tokens of prompt and output exceed the ", capacity, " that an engine of the service holds"));
    return true;
}

bool ProxiedCall::refuseIfStopping()
{
    const StopClock& stop = m_dispatcher.stop();
    if (m_phase == Phase::Done || !stop.begun() || m_deadline <= stop.earliestEnd() || inFlight() || m_possibleRuns || m_firstByte)
        return false;
    const CallTimes& times = m_dispatcher.callTimes();
    // A caller that is refused may be sent to another gateway that stops, so a small risk is taken during the intake.
    bool early = m_dispatcher.now() <= stop.earliestIntakeEnd();
    auto expected = early ? times.expected(queue(), m_call.maximumOutputTokens) : times.longestExpected(queue(), m_call.maximumOutputTokens);
    // Nothing of the service has been answered here yet. The target of a stream is that of its first event only.
    if (!expected && !m_route->streaming && m_route->latencyTarget > base::Duration::zero())
        expected = m_route->latencyTarget * (early ? usualTargetsOfUnknownCall : mostTargetsOfUnknownCall);
    base::Instant begin = m_dispatcher.now();
    if (auto loaded = m_dispatcher.expectedLoad(m_call.target); loaded && m_blockReason == BlockReason::NotLoaded)
        begin = std::max(begin, *loaded);
    // How long calls have lasted does not bound this one. Another gateway takes a request that comes after the intake without that risk.
    bool late = m_arrived > stop.intakeEnd();
    if (!late && expected && begin + *expected <= stop.earliestEnd())
        return false;
    // Another gateway takes the call at once.
    refuse(statusUnavailable, "leaving", Execution::NotRun, "the gateway stops and may end before the call", base::Duration::zero());
    return true;
}

UpstreamQuery ProxiedCall::upstreamQuery() const
{
    UpstreamQuery query;
    query.service = m_service;
    query.target = m_call.target;
    query.triedUpstreams = &m_triedUpstreams;
    query.domain = m_dispatcher.settings().domain;
    query.spreadKey = m_call.id.value();
    query.turnover = m_dispatcher.turnover(queue());
    query.routeRegions = &m_route->allowedRegions;
    query.accountRegions = m_accountRegions;
    query.coldStarts = &m_dispatcher.coldStarts();
    query.callLimits = &m_dispatcher.callLimits();
    query.availability = &m_dispatcher.availability();
    query.speeds = m_dispatcher.speeds().estimates();
    if (const ServiceTraits* service = m_state->findService(m_service); service && service->coldStart)
        query.coldCallsPerSecond = service->coldStart->callsPerSecond;
    if (!m_call.prompt.empty())
        query.promptPrefix = m_call.prompt.front().hash;
    if (m_dispatcher.staysInDomain() && m_route->latencyTarget > base::Duration::zero())
        query.promptsInTime = promptsInTime(lateFrom(), m_dispatcher.callTimes().startReserve(queue(), m_route->latencyTarget), m_dispatcher.now());
    return query;
}

base::Duration ProxiedCall::retryAfterRejection() const
{
    UpstreamQuery query = upstreamQuery();
    query.triedUpstreams = nullptr;
    base::Instant now = m_dispatcher.now();
    UpstreamSelection choice = selectUpstream(m_dispatcher.upstreams(), query, now);
    base::Duration pause = choice.blockReason == BlockReason::Paused && choice.acceptedFrom ? base::remaining(now, *choice.acceptedFrom) : base::Duration::zero();
    return std::max<base::Duration>(pause, defaultRetryAfter);
}

BlockReason ProxiedCall::tryDispatch()
{
    if (refuseIfStopping())
        return BlockReason::None;
    UpstreamSelection choice = selectUpstream(m_dispatcher.upstreams(), upstreamQuery(), m_dispatcher.now());
    m_runningThere = choice.inFlight;
    m_acceptedFrom = choice.acceptedFrom;
    for (const auto& limited : choice.limitedUpstreams)
        m_dispatcher.fleetShare().want(limited.value(), m_dispatcher.now());
    if (choice.blockReason == BlockReason::CallLimit && m_acceptedFrom && choice.limitedRate > 0)
        *m_acceptedFrom += std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(static_cast<double>(m_dispatcher.waitingBefore(*this)) / choice.limitedRate));
    // The few calls that such an upstream takes go to those that have waited, in their order.
    if (choice.limitedBy != BlockReason::None && !m_waitNumber && m_dispatcher.waitingBefore(*this) > 0) {
        m_acceptedFrom = m_dispatcher.now();
        return choice.limitedBy;
    }
    if (choice.blockReason != BlockReason::None)
        return choice.blockReason;
    if (m_dispatcher.leavesSlotToWaiting(*this) || !m_dispatcher.takeSlot(*this, choice))
        return BlockReason::Full;
    if (payRetry())
        send(choice.upstream);
    return BlockReason::None;
}

void ProxiedCall::dispatchOrWait()
{
    releaseUpstream();
    BlockReason blockReason = tryDispatch();
    if (blockReason == BlockReason::None)
        return;
    m_blockReason = blockReason;
    if (!m_sends)
        m_firstBlockReason = blockReason;
    if (refuseIfUnservable(blockReason))
        return;
    bool hasTarget = m_route->latencyTarget > base::Duration::zero();
    if (!m_sends && hasTarget && blockReason == BlockReason::Full && m_dispatcher.refusesOnArrival(*this, m_runningThere)) {
        refuseLate("on_arrival");
        return;
    }
    m_phase = Phase::Waiting;
    m_dispatcher.enqueue(shared_from_this());
}

base::Instant ProxiedCall::lateFrom() const
{
    return m_arrived + m_route->latencyTarget - m_dispatcher.callTimes().startReserve(queue(), m_route->latencyTarget);
}

QueueClass ProxiedCall::queueClass() const
{
    base::Duration startWithin = m_route->latencyTarget > base::Duration::zero() ? lateFrom() - m_arrived : base::Duration::zero();
    return queueClassOf(m_firstByte.has_value(), m_arrived, startWithin, m_dispatcher.now());
}

bool ProxiedCall::refuseIfUnservable(BlockReason blockReason)
{
    if (refuseIfStopping())
        return true;
    base::Instant time = m_dispatcher.now();
    auto expected = m_dispatcher.expectedLoad(m_call.target);
    BlockedCall blocked { blockReason, m_arrived, m_answerStartDeadline, m_firstByte.has_value(), expected, m_dispatcher.plannerActive(), m_acceptedFrom };
    Execution execution = m_possibleRuns ? Execution::MayHaveRun : Execution::NotRun;
    switch (decideWait(blocked, time)) {
    case WaitDecision::Wait:
        return false;
    case WaitDecision::RefuseNotLoadedInTime:
        m_dispatcher.demand().onRefused(m_call.target, m_answerStartDeadline);
        refuse(statusUnavailable, "not_loaded_in_time", execution, "the model will not be loaded in time", base::remaining(time, *expected));
        break;
    case WaitDecision::RefuseNotLoaded:
        refuse(statusUnavailable, "not_loaded", execution, "the model or adapter is not loaded", defaultRetryAfter);
        break;
    case WaitDecision::RefuseNoUpstream:
        refuse(statusUnavailable, "no_upstream", execution, "no upstream of the service can be used", defaultRetryAfter);
        break;
    case WaitDecision::RefuseOutsideRegions:
        refuse(statusUnavailable, "outside_regions", execution, "no upstream of the service is in a region in which the call may run");
        break;
    case WaitDecision::RefuseCold:
        refuse(statusUnavailable, "cold", execution, "the upstreams that could run the call have just started", base::remaining(time, *m_acceptedFrom));
        break;
    case WaitDecision::RefuseCallLimit:
        m_dispatcher.demand().onRefused(m_call.target, m_answerStartDeadline);
        refuse(statusUnavailable, "call_limit", execution, "the upstreams that could run the call limit their calls", m_acceptedFrom ? base::remaining(time, *m_acceptedFrom) : defaultRetryAfter);
        break;
    case WaitDecision::RefusePaused:
        m_dispatcher.demand().onRefused(m_call.target, m_answerStartDeadline);
        refuse(statusUnavailable, "paused", execution, "the upstreams that could run the call have asked for a pause", m_acceptedFrom ? base::remaining(time, *m_acceptedFrom) : defaultRetryAfter);
        break;
    case WaitDecision::RefuseOverloaded:
        refuse(statusUnavailable, "overloaded", execution, "no upstream can take the call in time", overloadRetryAfter("no_time_left", defaultRetryAfter));
        break;
    }
    return true;
}

base::Tokens ProxiedCall::queueCost() const
{
    if (m_cost.value() > 0)
        return m_cost;
    return m_call.declaresTokens ? m_call.cost() : base::Tokens(1);
}

base::Duration ProxiedCall::overloadRetryAfter(std::string_view reason, base::Duration otherwise)
{
    auto at = m_dispatcher.nextReturn(*this, m_runningThere, m_deadline, reason);
    m_returnScheduled = at.has_value();
    return at ? base::remaining(m_dispatcher.now(), *at) : otherwise;
}

void ProxiedCall::refuseLate(std::string_view reason)
{
    // A further replica may be on its way.
    auto expected = m_dispatcher.expectedLoad(m_call.target);
    base::Duration retryAfter = std::max<base::Duration>(expected ? base::remaining(m_dispatcher.now(), *expected) : base::Duration::zero(), defaultRetryAfter);
    std::string code = m_dispatcher.pressure() ? base::concat("overloaded_", reason) : std::string("overloaded");
    refuse(statusUnavailable, code, m_possibleRuns ? Execution::MayHaveRun : Execution::NotRun, "more calls come than the upstreams can run", overloadRetryAfter(reason, retryAfter));
}

void ProxiedCall::refuseIfCrashing()
{
    if (m_phase == Phase::Done || m_firstByte || !m_dispatcher.crashes().refusedUntil(m_traits, m_dispatcher.now()))
        return;
    releaseUpstream();
    refuseCrashing();
}

void ProxiedCall::refuseCrashing()
{
    base::Instant time = m_dispatcher.now();
    Execution execution = m_possibleRuns ? Execution::MayHaveRun : Execution::NotRun;
    refuse(statusUnavailable, "request_quarantined", execution, "calls that have this request or a part of its prompt have crashed several upstreams", base::remaining(time, m_dispatcher.crashes().refusedUntil(m_traits, time).value_or(time)));
}

CallTraits ProxiedCall::suspectedTraits() const
{
    CallTraits suspected = m_traits;
    if (eventsGoOn())
        suspected.parts.clear();
    return suspected;
}

bool ProxiedCall::eventsGoOn() const
{
    return m_firstEventHere && m_lastPiece - *m_firstEventHere >= provenAfter;
}

std::string ProxiedCall::requestHead(const base::UpstreamId& upstream) const
{
    const http1::RequestHead& head = m_callerExchange->head();
    std::string out = base::concat(head.method, " ", head.target, " HTTP/1.1\r\n");
    auto options = http1::connectionOptionsOf(head.headers);
    for (const auto& header : head.headers.all()) {
        if (!http1::isHopByHop(header.name, options) && !m_dispatcher.format().isSystemHeader(header.name))
            http1::appendHeader(out, header.name, header.value);
    }
    ForwardedCall forwarded;
    forwarded.upstream = upstream;
    forwarded.account = m_account;
    forwarded.timeLeft = timeLeft();
    forwarded.priority = std::clamp<int64_t>(m_priority, 0, lowestPriority);
    forwarded.resumeAfter = m_events.lastId().empty() ? m_call.resumeAfter : m_events.lastId();
    m_dispatcher.format().appendForwardedHeaders(out, forwarded);
    bool hasBody = !m_callerExchange->body().empty() || head.headers.find("content-length") || head.headers.find("transfer-encoding");
    if (hasBody)
        http1::appendHeader(out, "Content-Length", std::to_string(m_callerExchange->body().size()));
    return out + "\r\n";
}

void ProxiedCall::send(const base::UpstreamId& upstream)
{
    m_dispatcher.dequeue(*this);
    if (inFlight()) {
        base::LogLine("call_moved").add("id", m_call.id).add("from", m_upstream).add("reason", "silent");
        keepSilentUpstream();
    }
    UpstreamEntry* entry = m_dispatcher.upstreams().find(upstream);
    http1::OutgoingRequest request;
    request.head = requestHead(upstream);
    request.body = m_callerExchange->body();
    request.answersHead = m_callerExchange->head().method == "HEAD";
    request.connectDeadline = m_dispatcher.now() + (m_silentUpstream ? moveConnectTimeout : connectTimeout);
    m_phase = m_firstByte ? Phase::Delivering : Phase::Sent;
    m_receivedHead = false;
    m_upstream = upstream;
    m_upstreamStart = entry->description.start;
    m_triedUpstreams.insert(upstream);
    m_lastSent = m_dispatcher.now();
    m_observed = m_dispatcher.speeds().onSent(m_service, *entry, m_call.promptTokens, m_lastSent);
    m_firstEventHere.reset();
    if (!m_sends)
        m_firstSent = m_lastSent;
    ++m_sends;
    ++m_possibleRuns;
    if (PressureQueue* pressure = m_dispatcher.pressure())
        pressure->onSent(*this, m_sends == 1, m_lastSent);
    if (m_dispatcher.staysInDomain() && entry->description.domain != m_dispatcher.settings().domain)
        m_dispatcher.metrics().count("toucanstep_calls_to_other_domains_total");
    if (m_sends > 1)
        base::LogLine("call_sent_again").add("id", m_call.id).add("service", m_service).add("upstream", upstream).add("sends", m_sends).add("retries", m_retries).add("granted_ms_ago", m_retryGranted ? base::toMilliseconds(m_lastSent - *m_retryGranted) : -1);
    m_dispatcher.upstreams().onDispatched(upstream, m_dispatcher.now());
    m_dispatcher.coldStarts().onCall(upstream, m_dispatcher.now());
    m_dispatcher.callLimits().onCall(upstream, m_dispatcher.now());
    m_dispatcher.fleetShare().onUse(upstream.value(), m_dispatcher.now());
    m_dispatcher.demand().onSent(m_call.target, m_dispatcher.now());
    m_upstreamExchange = m_dispatcher.client().send({ upstream.value(), entry->description.endpoint }, std::move(request), this);
    if (m_memoryHolder && m_dispatcher.callerMemory().paused(*m_memoryHolder))
        setUpstreamReading(false);
}

void ProxiedCall::releaseUpstream()
{
    releaseSilentUpstream();
    leaveUpstream();
}

void ProxiedCall::leaveUpstream()
{
    if (!m_upstreamExchange)
        return;
    setUpstreamReading(true);
    m_upstreamExchange.reset();
    countUpstreamEnded(m_upstream, m_receivedHead, m_responseMetadata);
}

void ProxiedCall::countUpstreamEnded(const base::UpstreamId& upstream, bool receivedHead, const ResponseMetadata& metadata)
{
    if (PressureQueue* pressure = m_dispatcher.pressure())
        pressure->onLeftUpstream(*this, receivedHead && !metadata.notRun, m_dispatcher.now());
    m_dispatcher.upstreams().onEnded(upstream, receivedHead);
    m_dispatcher.demand().onEnded(m_call.target, receivedHead, m_dispatcher.now());
    m_dispatcher.wakeWaiting();
}

void ProxiedCall::keepSilentUpstream()
{
    releaseSilentUpstream();
    setUpstreamReading(true);
    UpstreamProgress progress { m_upstream, m_upstreamStart, m_lastSent, m_observed, m_firstEventHere, m_responseHead, m_responseMetadata, m_receivedHead, m_answerBytes, std::exchange(m_bufferedBody, {}), m_events };
    m_events.dropPartial();
    m_silentUpstream = std::make_unique<SilentUpstream>(std::move(m_upstreamExchange), std::move(progress), [this] { releaseSilentUpstream(); });
    m_silentTimer = m_dispatcher.loop().at(m_dispatcher.now() + silentUpstreamHold, [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->releaseSilentUpstream();
    });
}

void ProxiedCall::releaseSilentUpstream()
{
    m_dispatcher.loop().cancel(m_silentTimer);
    if (auto silent = std::move(m_silentUpstream))
        countUpstreamEnded(silent->progress().upstream, silent->progress().receivedHead, silent->progress().metadata);
}

bool ProxiedCall::returnToSilentUpstream()
{
    if (!m_silentUpstream)
        return false;
    m_dispatcher.loop().cancel(m_silentTimer);
    leaveUpstream();
    auto silent = std::move(m_silentUpstream);
    UpstreamProgress progress = silent->takeProgress();
    base::LogLine("call_returned").add("id", m_call.id).add("from", m_upstream).add("to", progress.upstream);
    m_upstream = progress.upstream;
    m_upstreamStart = progress.start;
    m_lastSent = progress.sent;
    m_observed = progress.observed;
    m_firstEventHere = progress.firstEvent;
    m_responseHead = std::move(progress.head);
    m_responseMetadata = std::move(progress.metadata);
    m_receivedHead = progress.receivedHead;
    m_answerBytes = progress.answerBytes;
    m_bufferedBody = std::move(progress.bufferedBody);
    m_events = std::move(progress.events);
    m_passThrough = false;
    m_phase = m_firstByte ? Phase::Delivering : Phase::Sent;
    m_upstreamExchange = silent->takeExchange(this);
    if (m_memoryHolder && m_dispatcher.callerMemory().paused(*m_memoryHolder))
        setUpstreamReading(false);
    return true;
}

bool ProxiedCall::answerIsUsable() const
{
    bool foreign = !m_responseMetadata.id.empty() && m_responseMetadata.id != m_call.id;
    if (foreign || m_responseMetadata.notRun || m_responseHead.status >= firstServerErrorStatus || m_responseHead.status == statusTooManyRequests)
        return false;
    return m_responseHead.status < firstRedirectStatus ? m_responseMetadata.hasSignature : !m_firstByte;
}

void ProxiedCall::onHead(http1::ResponseHead head)
{
    stayAtUpstream();
    m_dispatcher.onUpstreamHeard(m_upstream, m_lastSent);
    if (!m_receivedHead) {
        m_dispatcher.upstreams().onAnswerBegun(m_upstream);
        m_dispatcher.demand().onAnswerBegun(m_call.target, m_dispatcher.now());
        m_dispatcher.callTimes().onAnswerStarted(queue(), m_dispatcher.now() - m_lastSent);
    }
    m_responseMetadata = m_dispatcher.format().readVerdict(head);
    head.headers = endToEndHeaders(head);
    // A signature that the upstream declares hop-by-hop does not reach the caller.
    m_responseMetadata.hasSignature = m_dispatcher.format().readVerdict(head).hasSignature;
    bool foreign = !m_responseMetadata.id.empty() && m_responseMetadata.id != m_call.id;
    if (!foreign) {
        m_dispatcher.onUpstreamState(m_upstream, m_upstreamStart, m_responseMetadata, !m_responseMetadata.notRun && head.status < firstServerErrorStatus);
        m_dispatcher.speeds().onHead(m_observed, m_responseMetadata, m_responseMetadata.hasSignature && head.status < firstRedirectStatus, m_dispatcher.now());
    }
    m_responseHead = std::move(head);
    m_receivedHead = true;
    m_bufferedBody.clear();
    m_passThrough = false;
    m_answerBytes = 0;
    if (answerIsUsable())
        releaseSilentUpstream();
}

void ProxiedCall::onBody(std::string_view piece)
{
    stayAtUpstream();
    m_dispatcher.onUpstreamHeard(m_upstream, m_lastSent);
    auto self = shared_from_this();
    m_answerBytes += piece.size();
    bool foreign = !m_responseMetadata.id.empty() && m_responseMetadata.id != m_call.id;
    bool accepted = m_responseHead.status < firstRedirectStatus && m_responseMetadata.hasSignature && !foreign;
    if (accepted && m_responseMetadata.streaming) {
        forwardEvents(piece);
        noteMemory();
        return;
    }
    if (!accepted && m_bufferedBody.size() + piece.size() > maxFailureBytes) {
        onBroken(http1::Breakage::Malformed);
        return;
    }
    m_bufferedBody.append(piece);
    if (accepted && !m_passThrough && m_bufferedBody.size() > maxBufferedAnswerBytes) {
        m_passThrough = true;
        startStreaming();
    }
    if (m_passThrough) {
        m_callerExchange->write(m_bufferedBody);
        m_bufferedBody.clear();
    }
    noteMemory();
}

void ProxiedCall::forwardEvents(std::string_view piece)
{
    std::string events = m_events.feed(piece);
    if (m_events.partialBytes() > maxBufferedAnswerBytes)
        events += m_events.releasePartial();
    if (events.empty())
        return;
    if (!m_firstByte)
        startStreaming();
    else
        m_longestPause = std::max(m_longestPause, m_dispatcher.now() - m_lastPiece);
    bool wentOn = eventsGoOn();
    m_lastPiece = m_dispatcher.now();
    if (!m_firstEventHere)
        m_firstEventHere = m_lastPiece;
    m_dispatcher.speeds().onEvents(m_observed, m_answerBytes, m_lastPiece);
    if (!wentOn && eventsGoOn())
        m_dispatcher.crashes().onCleared(m_traits, m_lastPiece);
    m_callerExchange->write(events);
}

void ProxiedCall::startStreaming()
{
    m_firstByte = m_dispatcher.now();
    m_phase = Phase::Delivering;
    m_callerExchange->begin({ m_responseHead.status, m_responseHead.reason, std::move(m_responseHead.headers), std::nullopt });
}

void ProxiedCall::deliverBufferedAnswer()
{
    m_firstByte = m_dispatcher.now();
    http1::AnswerHead head { m_responseHead.status, m_responseHead.reason, std::move(m_responseHead.headers), std::nullopt };
    // A length would state that the body is complete, which the upstream has not.
    head.untilClose = m_responseHead.framing == http1::BodyFraming::ToEnd;
    m_callerExchange->answer(std::move(head), m_bufferedBody);
}

void ProxiedCall::onWhole()
{
    auto self = shared_from_this();
    stayAtUpstream();
    m_endedWithinEvent = m_events.hasPartial();
    if (!m_responseMetadata.id.empty() && m_responseMetadata.id != m_call.id) {
        failAtUpstream("the answer belongs to another request");
        return;
    }
    if (m_responseMetadata.notRun) {
        onRejected();
        return;
    }
    if (m_responseHead.status >= firstServerErrorStatus || m_responseHead.status == statusTooManyRequests) {
        onServerError();
        return;
    }
    if (m_responseHead.status < firstRedirectStatus && !m_responseMetadata.hasSignature) {
        failAtUpstream("the upstream does not vouch for its answer");
        return;
    }
    bool streamed = m_phase == Phase::Delivering;
    if (streamed && m_responseHead.status >= firstRedirectStatus) {
        failAtUpstream("the upstream that was to go on with the stream refused");
        return;
    }
    if (m_responseHead.status < firstRedirectStatus && m_responseMetadata.streaming && streamEndedEarly()) {
        onBroken(http1::Breakage::Broken);
        return;
    }
    int status = m_responseHead.status;
    // Without framing, the answer of an upstream that crashes may look complete.
    if (status < firstRedirectStatus && m_responseHead.framing != http1::BodyFraming::ToEnd)
        m_dispatcher.crashes().onCleared(m_traits, m_dispatcher.now());
    m_dispatcher.callTimes().onAnswerEnded(queue(), m_dispatcher.now() - m_lastSent);
    base::Instant started = m_firstByte.value_or(m_dispatcher.now());
    m_dispatcher.callTimes().onCallEnded(queue(), started - m_arrived, m_dispatcher.now() - started, m_call.maximumOutputTokens);
    m_dispatcher.speeds().onEnded(m_observed, m_answerBytes, m_lastPiece);
    releaseUpstream();
    if (streamed)
        m_callerExchange->end();
    else
        deliverBufferedAnswer();
    finish("answered", status);
}

bool ProxiedCall::streamEndedEarly() const
{
    // An upstream that crashes closes its connection like one that has finished. Without framing only the events tell them apart.
    bool empty = m_responseHead.framing == http1::BodyFraming::ToEnd && !m_answerBytes;
    return empty || m_events.hasPartial();
}

void ProxiedCall::onRejected()
{
    --m_possibleRuns;
    m_dispatcher.metrics().count("toucanstep_rejected_by_upstream_total");
    base::LogLine("call_rejected").add("id", m_call.id).add("upstream", m_upstream).add("status", m_responseHead.status).add("sends", m_sends).add("retry_after_ms", m_responseMetadata.retryAfter ? base::toMilliseconds(*m_responseMetadata.retryAfter) : -1);
    // It may take the call once its pause has ended.
    if (m_responseMetadata.retryAfter)
        m_triedUpstreams.erase(m_upstream);
    if (returnToSilentUpstream())
        return;
    // The target is no longer loaded there, or not yet, so another attempt is worthwhile.
    if (m_sends < maxSends && timeLeft() > minRunTime && tryReserveRetry("rejected")) {
        dispatchOrWait();
        return;
    }
    if (m_firstByte) {
        fail("no upstream takes the stream up again");
        return;
    }
    releaseUpstream();
    refuse(statusUnavailable, "rejected", m_possibleRuns ? Execution::MayHaveRun : Execution::NotRun, "the upstreams have turned the call away", retryAfterRejection());
}

bool ProxiedCall::tryRetry(std::string_view reason)
{
    if (!m_route->mayRepeat() || m_possibleRuns >= m_route->attempts || m_sends >= maxSends || timeLeft() < minRunTime)
        return false;
    return tryReserveRetry(reason);
}

bool ProxiedCall::tryReserveRetry(std::string_view reason)
{
    if (!m_dispatcher.tryReserveRetry(*this, reason))
        return false;
    ++m_retries;
    m_retryGranted = m_dispatcher.now();
    m_retryReserved = true;
    return true;
}

bool ProxiedCall::payRetry()
{
    m_paidRetry.reset();
    if (!m_retryReserved)
        return true;
    m_retryReserved = false;
    m_paidRetry = m_dispatcher.retryBudget().pay(m_service, m_dispatcher.now());
    if (m_paidRetry)
        return true;
    if (inFlight()) {
        m_dispatcher.dequeue(*this);
        return false;
    }
    constexpr std::string_view reason = "the calls that earned its retry are too long ago";
    if (m_firstByte || m_possibleRuns)
        fail(reason);
    else
        refuse(statusUnavailable, "rejected", Execution::NotRun, reason, defaultRetryAfter);
    return false;
}

void ProxiedCall::onServerError()
{
    m_dispatcher.upstreams().onFailure(m_upstream, m_dispatcher.now());
    if (returnToSilentUpstream())
        return;
    if (m_phase != Phase::Delivering && tryRetry("failed")) {
        dispatchOrWait();
        return;
    }
    // 429 and 503 promise the caller that the call has not run, which this upstream did not state.
    bool promisesNotRun = m_responseHead.status == statusUnavailable || m_responseHead.status == statusTooManyRequests;
    if (promisesNotRun || m_phase == Phase::Delivering) {
        fail("the upstream failed without saying whether the call ran");
        return;
    }
    int status = m_responseHead.status;
    releaseUpstream();
    deliverBufferedAnswer();
    finish("upstream_error", status);
}

void ProxiedCall::onBroken(http1::Breakage breakage)
{
    auto self = shared_from_this();
    stayAtUpstream();
    m_endedWithinEvent = m_events.hasPartial();
    if (breakage == http1::Breakage::NotSent) {
        --m_possibleRuns;
        if (m_paidRetry) {
            m_dispatcher.retryBudget().takeBack(m_service, *m_paidRetry);
            m_paidRetry.reset();
            m_retryReserved = true;
        }
        m_dispatcher.upstreams().onUnreachable(m_upstream, m_dispatcher.now());
        base::LogLine("upstream_unreachable").add("id", m_call.id).add("upstream", m_upstream);
        if (returnToSilentUpstream()) {
            cancelReservedRetry();
            return;
        }
        if (m_sends < maxSends && timeLeft() > minRunTime)
            dispatchOrWait();
        else
            fail("no upstream can be reached");
        return;
    }
    m_dispatcher.upstreams().onFailure(m_upstream, m_dispatcher.now());
    if (breakage == http1::Breakage::Broken)
        m_dispatcher.reportSuspectedCrash(*this, suspectedTraits());
    if (returnToSilentUpstream())
        return;
    m_events.dropPartial();
    bool resumable = m_route->resumable && m_responseMetadata.streaming && !m_events.lastId().empty();
    // It may have crashed this upstream, like an earlier one.
    bool suspected = m_dispatcher.crashes().isSuspected(m_traits);
    if ((!m_firstByte || resumable) && !suspected && tryRetry("broken")) {
        base::LogLine("call_moved").add("id", m_call.id).add("from", m_upstream).add("behind", m_events.lastId());
        dispatchOrWait();
        return;
    }
    fail(breakage == http1::Breakage::Malformed ? "the upstream's answer cannot be read" : "the upstream broke off");
}

void ProxiedCall::onUpstreamSilent()
{
    // A paused upstream is not silent: it waits to be read.
    if (!inFlight() || m_upstreamPaused || !m_route->mayRepeat())
        return;
    bool resumable = m_route->resumable && !m_events.lastId().empty();
    if ((m_firstByte && !resumable) || waitsToMove() || !tryRetry("silent"))
        return;
    // The silent upstream may go on, so it is kept until another one takes the call.
    m_blockReason = tryDispatch();
    if (waitsToMove())
        m_dispatcher.enqueue(shared_from_this());
}

void ProxiedCall::stayAtUpstream()
{
    if (!waitsToMove())
        return;
    m_dispatcher.dequeue(*this);
    cancelReservedRetry();
}

void ProxiedCall::cancelReservedRetry()
{
    if (std::exchange(m_retryReserved, false))
        m_dispatcher.retryBudget().cancel(m_service);
}

void ProxiedCall::failAtUpstream(std::string_view reason)
{
    if (!returnToSilentUpstream())
        fail(reason);
}

void ProxiedCall::fail(std::string_view reason)
{
    releaseUpstream();
    if (m_firstByte) {
        base::LogLine("stream_cut").add("id", m_call.id).add("upstream", m_upstream).add("reason", reason);
        m_callerExchange->abort();
        finish("cut", 0);
        return;
    }
    if (m_possibleRuns)
        refuse(statusBadGateway, "upstream_failed", Execution::MayHaveRun, reason);
    else
        refuse(statusUnavailable, "upstream_unreachable", Execution::NotRun, reason, defaultRetryAfter);
}

void ProxiedCall::onDeadline()
{
    auto self = shared_from_this();
    if (m_phase == Phase::Done)
        return;
    bool sent = inFlight();
    releaseUpstream();
    if (m_firstByte) {
        m_callerExchange->abort();
        finish("cut_at_deadline", 0);
        return;
    }
    if (sent || m_possibleRuns)
        refuse(statusGatewayTimeout, "deadline_exceeded", Execution::MayHaveRun, "no answer within the time limit");
    else
        refuse(statusUnavailable, "overloaded", Execution::NotRun, "no upstream could take the call in time", overloadRetryAfter("deadline", defaultRetryAfter));
}

void ProxiedCall::onCallerGone()
{
    auto self = shared_from_this();
    if (m_phase == Phase::Done)
        return;
    releaseUpstream();
    finish("caller_left", 0);
}

void ProxiedCall::noteMemory()
{
    if (m_memoryHolder)
        m_dispatcher.callerMemory().onBuffered(*m_memoryHolder);
}

void ProxiedCall::setUpstreamReading(bool reading)
{
    if (!m_upstreamExchange || m_upstreamPaused == !reading)
        return;
    m_upstreamPaused = !reading;
    m_dispatcher.upstreams().onPaused(m_upstream, m_upstreamPaused, m_dispatcher.now());
    m_upstreamExchange->setReading(reading);
}

void ProxiedCall::readUpstreamPiece(size_t most)
{
    if (m_upstreamExchange)
        m_upstreamExchange->readPiece(most);
}

void ProxiedCall::endForMemory()
{
    auto self = shared_from_this();
    if (m_phase == Phase::Done)
        return;
    releaseUpstream();
    if (m_firstByte) {
        m_callerExchange->abort();
        finish("caller_memory", 0);
        return;
    }
    refuse(statusUnavailable, "caller_memory", m_possibleRuns ? Execution::MayHaveRun : Execution::NotRun, "the gateway has no memory left for the call", defaultRetryAfter);
}

void ProxiedCall::shutDown()
{
    auto self = shared_from_this();
    if (m_phase == Phase::Done)
        return;
    if ((m_phase == Phase::Waiting || m_phase == Phase::WaitingForTokens) && !m_possibleRuns && !m_firstByte)
        refuse(statusUnavailable, "leaving", Execution::NotRun, "the gateway ends", base::Duration::zero());
    else
        fail("the gateway ends");
}

void ProxiedCall::refuse(int status, std::string_view code, Execution execution, std::string_view message, std::optional<base::Duration> retryAfter)
{
    auto self = shared_from_this();
    // A call that ran nowhere is refunded; one that may have run stays charged, since it may have used its tokens.
    if (execution == Execution::NotRun && m_charged.value())
        m_dispatcher.limits().refund(m_account, m_charged, m_chargedAt, m_dispatcher.now());
    bool promisesNotRun = status == statusUnavailable || status == statusTooManyRequests;
    if (promisesNotRun && execution == Execution::MayHaveRun) {
        status = statusBadGateway;
        retryAfter.reset();
    }
    http1::AnswerHead head;
    head.status = status;
    head.headers.add("Content-Type", "application/json");
    if (retryAfter) {
        double seconds = base::toSeconds(*retryAfter) * (m_returnScheduled ? 1 : 1 + retryJitter * jitterOf(m_call.id));
        head.headers.add("Retry-After", base::concat(std::max(seconds, m_returnScheduled ? 0.0 : 0.05)));
    }
    nlohmann::json error { { "error", { { "code", code }, { "message", message }, { "ran", execution == Execution::NotRun ? "not_run" : "may_have_run" } } } };
    m_callerExchange->answer(std::move(head), error.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    finish(code, status);
}

void ProxiedCall::finish(std::string_view outcome, int status)
{
    m_phase = Phase::Done;
    if (m_tokenQueueNumber)
        m_dispatcher.leaveTokenQueue(*m_tokenQueueNumber);
    cancelReservedRetry();
    m_dispatcher.loop().cancel(m_timer);
    if (m_memoryHolder)
        m_dispatcher.callerMemory().onCallEnded(*std::exchange(m_memoryHolder, std::nullopt));
    base::Instant time = m_dispatcher.now();
    base::LogLine line("call_ended");
    line.add("id", m_call.id).add("outcome", outcome).add("status", status);
    if (m_state)
        line.add("version", m_state->version).add("version_age_ms", base::toMilliseconds(m_arrived - m_stateAppliedAt)).add("store_age_ms", base::toMilliseconds(m_arrived - m_lastStoreContact));
    if (m_route)
        line.add("route", m_route->id).add("target_ms", base::toMilliseconds(m_route->latencyTarget));
    line.add("account", m_account).add("model", m_call.target.model).add("adapter", m_call.target.adapter).add("upstream", m_upstream).add("sends", m_sends);
    line.add("waited_for", toText(m_firstBlockReason)).add("sent_ms", m_firstSent ? base::toMilliseconds(*m_firstSent - m_arrived) : -1);
    line.add("first_ms", m_firstByte ? base::toMilliseconds(*m_firstByte - m_arrived) : -1).add("pause_ms", base::toMilliseconds(m_longestPause)).add("total_ms", base::toMilliseconds(time - m_arrived));
    if (m_dispatcher.stop().begun())
        line.add("stop_ms", base::toMilliseconds(m_arrived - m_dispatcher.stop().noticed())).add("last_piece_ms", m_firstByte ? base::toMilliseconds(m_lastPiece - m_arrived) : -1).add("unsent_bytes", m_callerExchange->unsentBytes());
    if (m_responseMetadata.leaving)
        line.add("upstream_leaving", "yes");
    if (m_observed.workPercent)
        line.add("work_percent", *m_observed.workPercent);
    if (m_receivedHead)
        line.add("framing", http1::toText(m_responseHead.framing)).add("answer_bytes", m_answerBytes).add("within_event", m_endedWithinEvent ? "yes" : "no");
    m_dispatcher.metrics().count("toucanstep_calls_total", base::concat("outcome=\"", outcome, "\""));
    m_dispatcher.metrics().observe("toucanstep_call_seconds", "", base::toSeconds(time - m_arrived));
    m_dispatcher.onCallEnded(*this);
}

} // namespace toucanstep::direct
