#include "ProxiedCall.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

#include <nlohmann/json.hpp>

namespace toucanstep::direct {

namespace {

constexpr int statusRedirects = 300;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusTooManyRequests = 429;
constexpr int statusServerErrors = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

// A connection inside a region stands within milliseconds; an upstream that needs this long is gone or cut off.
constexpr auto connectTime = std::chrono::milliseconds(300);
// Answers up to this size are passed on whole, so that one that breaks off midway can still be told as a failure.
constexpr size_t wholeAnswerBytes = 64 * 1024;
// Upstreams that may turn one call away before it is refused.
constexpr int64_t mostSends = 4;
// A call that starts later than this before its deadline cannot end in time: a prompt, and a first event.
constexpr auto shortestRun = std::chrono::milliseconds(150);
// How long a call waits without a word from the planner about the target that it needs.
constexpr auto patienceWithoutPlan = std::chrono::milliseconds(1500);
// How long a call waits where no upstream of its service can be used: as long as one that crashed needs to be noticed.
constexpr auto patienceWithoutUpstream = std::chrono::milliseconds(400);
// A call waits for its account's tokens for this part of its latency target; it still has to be sent and begun.
constexpr double heldPart = 0.3;
// Retry-After where nothing better is known.
constexpr auto defaultRetryAfter = std::chrono::milliseconds(500);
// Retry-After of calls that are refused together is spread over this part more, so that they do not return together.
constexpr double retrySpread = 0.5;

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// The same call sent again has the same fingerprint. `id` differs between attempts and is left out.
routing::RequestFingerprint fingerprintOfCall(const base::ClientAccountId& account, const http1::RequestHead& head, std::string_view body)
{
    return routing::fingerprintOf(account, base::concat(head.method, " ", head.target, "\n", body));
}

double spreadOf(const base::RequestId& id)
{
    constexpr size_t steps = 1024;
    return static_cast<double>(std::hash<std::string> {}(id.value()) % steps) / steps;
}

} // namespace

ProxiedCall::ProxiedCall(CallDispatcher& desk, std::shared_ptr<http1::ServerExchange> caller)
    : m_desk(desk)
    , m_caller(std::move(caller))
    , m_state(desk.desiredState())
    , m_stateSince(desk.inForceSince())
    , m_lastStoreContact(desk.lastStoreContact())
    , m_arrived(desk.now())
{
}

ProxiedCall::~ProxiedCall()
{
    m_desk.loop().cancel(m_timer);
}

base::Duration ProxiedCall::left() const { return base::remaining(m_desk.now(), m_deadline); }

void ProxiedCall::start()
{
    bool admitted = admit();
    if (m_phase == Phase::Done)
        return;
    m_timer = m_desk.loop().at(m_deadline, [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->deadlinePassed();
    });
    m_caller->onGone([weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->callerLeft();
    });
    if (admitted)
        goOn();
}

void ProxiedCall::goOn()
{
    m_phase = Phase::Checking;
    m_desk.demand().onArrival(m_call.target, m_desk.now());
    m_desk.countForBudget(m_service);
    waitAgain();
}

bool ProxiedCall::admit()
{
    std::string reason;
    const http1::RequestHead& head = m_caller->head();
    auto call = m_desk.format().readCall(head, reason);
    if (!call) {
        refuse(statusBadRequest, "bad_request", Ran::No, reason);
        return false;
    }
    m_call = std::move(*call);
    if (!m_state) {
        refuse(statusUnavailable, "starting", Ran::No, "the gateway does not know the desired state yet", defaultRetryAfter);
        return false;
    }
    const std::string* host = head.headers.find("host");
    m_route = m_state->findRoute(host ? std::string_view(*host) : std::string_view(), pathOf(head.target));
    if (!m_route) {
        refuse(statusNotFound, "unknown_route", Ran::No, "no route has this host and path");
        return false;
    }
    const Account* account = nullptr;
    if (!m_route->open && !m_state->accounts.empty()) {
        account = m_call.key.empty() ? nullptr : m_state->findAccountByKey(base::KeyFingerprint(base::sha256Hex(m_call.key)));
        if (!account) {
            refuse(statusUnauthorized, "unauthorized", Ran::No, "the key is missing or not known");
            return false;
        }
        m_account = account->limits.id;
    }
    m_rank = account && account->priority ? *account->priority : m_route->priority;
    base::Duration limit = m_call.timeLimit ? std::min(*m_call.timeLimit, m_route->timeout) : m_route->timeout;
    m_deadline = m_arrived + limit;
    bool leavesEarlier = m_route->callerPatience > base::Duration::zero() && m_route->callerPatience < limit;
    m_beginBy = leavesEarlier ? m_arrived + m_route->callerPatience : m_deadline;
    m_fingerprint = fingerprintOfCall(m_account, head, m_caller->body());
    if (m_desk.quarantine().state(m_fingerprint, m_arrived) == routing::QuarantineState::Refused) {
        refuse(statusUnavailable, "request_quarantined", Ran::No, "this request has broken off at several upstreams");
        return false;
    }
    if (!chooseService(*m_route))
        return false;
    return !account || !account->limited() || takeTokens(*account);
}

bool ProxiedCall::takeTokens(const Account& account)
{
    m_cost = account.countsTokens ? (m_call.declaresTokens ? m_call.cost() : account.baseCost) : base::Tokens(1);
    auto holdUntil = m_arrived + std::chrono::duration_cast<base::Duration>(m_route->latencyTarget * heldPart);
    TokenQueue::Decision decision = m_desk.takeTokens(shared_from_this(), m_account, m_cost, holdUntil);
    switch (decision.answer) {
    case TokenResult::Charged:
        m_charged = m_cost;
        return true;
    case TokenResult::Queued:
        m_held = decision.number;
        m_phase = Phase::Held;
        return false;
    case TokenResult::Refused:
        onNoTokens(decision.expected);
        break;
    }
    return false;
}

void ProxiedCall::onTokens()
{
    m_held.reset();
    m_charged = m_cost;
    goOn();
}

void ProxiedCall::onNoTokens(base::Instant expected)
{
    m_held.reset();
    refuse(statusTooManyRequests, "rate_limited", Ran::No, "the account is over its rate", base::remaining(m_desk.now(), expected));
}

bool ProxiedCall::chooseService(const Route& route)
{
    int64_t total = 0;
    for (const auto& destination : route.destinations)
        total += std::max<int64_t>(destination.weight, 0);
    if (total <= 0) {
        refuse(statusUnavailable, "no_destination", Ran::No, "the route has no service with a weight", defaultRetryAfter);
        return false;
    }
    auto drawn = static_cast<int64_t>(std::hash<std::string> {}(m_call.id.value()) % static_cast<size_t>(total));
    for (const auto& destination : route.destinations) {
        drawn -= std::max<int64_t>(destination.weight, 0);
        if (drawn < 0) {
            m_service = destination.service;
            break;
        }
    }
    return true;
}

BlockReason ProxiedCall::tryDispatch()
{
    UpstreamQuery query;
    query.service = m_service;
    query.target = m_call.target;
    query.triedUpstreams = &m_tried;
    query.domain = m_desk.settings().domain;
    query.spreadKey = m_call.id.value();
    if (!m_call.prompt.empty())
        query.promptPrefix = m_call.prompt.front().hash;
    UpstreamSelection choice = selectUpstream(m_desk.upstreams(), query, m_desk.now());
    if (choice.blockReason == BlockReason::None)
        send(choice.upstream);
    return choice.blockReason;
}

void ProxiedCall::waitAgain()
{
    leaveUpstream();
    BlockReason blockReason = tryDispatch();
    if (blockReason == BlockReason::None)
        return;
    if (!m_sends)
        m_waitedFor = blockReason;
    if (refuseIfHopeless(blockReason))
        return;
    m_phase = Phase::Waiting;
    m_desk.wait(shared_from_this());
}

QueueClass ProxiedCall::turn() const
{
    return queueClassOf(m_firstByte.has_value(), m_arrived, m_route->latencyTarget, m_desk.now());
}

bool ProxiedCall::refuseIfHopeless(BlockReason blockReason)
{
    // A stream that has begun has no refusal left: it is ended where it cannot go on.
    bool begun = m_firstByte.has_value();
    base::Instant time = m_desk.now();
    Ran ran = m_runs ? Ran::Maybe : Ran::No;
    if (blockReason == BlockReason::NotLoaded) {
        auto expected = m_desk.expectedLoad(m_call.target);
        if (expected && *expected + shortestRun > m_beginBy && !begun) {
            m_desk.demand().onRefused(m_call.target, m_beginBy);
            refuse(statusUnavailable, "not_loaded_in_time", ran, "the model will not be loaded in time", base::remaining(time, *expected));
            return true;
        }
        if (!expected && !m_desk.plannerKnown() && time - m_arrived > patienceWithoutPlan && !begun) {
            refuse(statusUnavailable, "not_loaded", ran, "the model is not loaded", defaultRetryAfter);
            return true;
        }
    }
    if (blockReason == BlockReason::NoUpstream && time - m_arrived > patienceWithoutUpstream && !begun) {
        refuse(statusUnavailable, "no_upstream", ran, "no upstream of the service can be used", defaultRetryAfter);
        return true;
    }
    if (time + shortestRun > m_beginBy && !begun) {
        refuse(statusUnavailable, "overloaded", ran, "no upstream can take the call in time", defaultRetryAfter);
        return true;
    }
    return false;
}

void ProxiedCall::refuseLate()
{
    refuse(statusUnavailable, "overloaded", m_runs ? Ran::Maybe : Ran::No, "more calls come than the upstreams can run", defaultRetryAfter);
}

std::string ProxiedCall::requestHead(const base::UpstreamId& upstream) const
{
    const http1::RequestHead& head = m_caller->head();
    std::string out = base::concat(head.method, " ", head.target, " HTTP/1.1\r\n");
    auto options = http1::connectionOptionsOf(head.headers);
    for (const auto& header : head.headers.all()) {
        if (!http1::isHopByHop(header.name, options) && !m_desk.format().isSystemHeader(header.name))
            http1::appendHeader(out, header.name, header.value);
    }
    ForwardedCall forwarded;
    forwarded.upstream = upstream;
    forwarded.account = m_account;
    forwarded.timeLeft = left();
    forwarded.priority = std::clamp<int64_t>(m_rank, 0, lowestPriority);
    forwarded.resumeAfter = m_events.lastId().empty() ? m_call.resumeAfter : m_events.lastId();
    m_desk.format().appendForwardedHeaders(out, forwarded);
    bool hasBody = !m_caller->body().empty() || head.headers.find("content-length") || head.headers.find("transfer-encoding");
    if (hasBody)
        http1::appendHeader(out, "Content-Length", std::to_string(m_caller->body().size()));
    return out + "\r\n";
}

void ProxiedCall::send(const base::UpstreamId& upstream)
{
    m_desk.stopWaiting(*this);
    UpstreamEntry* entry = m_desk.upstreams().find(upstream);
    http1::OutgoingRequest request;
    request.head = requestHead(upstream);
    request.body = m_caller->body();
    request.answersHead = m_caller->head().method == "HEAD";
    request.connectDeadline = m_desk.now() + connectTime;
    m_phase = m_firstByte ? Phase::Delivering : Phase::Sent;
    m_haveHead = false;
    m_upstream = upstream;
    m_tried.insert(upstream);
    if (!m_sends)
        m_firstSent = m_desk.now();
    ++m_sends;
    ++m_runs;
    m_desk.upstreams().onDispatched(upstream, m_desk.now());
    m_desk.demand().onSent(m_call.target, m_desk.now());
    m_exchange = m_desk.client().send({ upstream.value(), entry->description.endpoint }, std::move(request), this);
}

void ProxiedCall::leaveUpstream()
{
    if (!m_exchange)
        return;
    m_exchange.reset();
    m_desk.upstreams().onEnded(m_upstream, m_haveHead);
    m_desk.demand().onEnded(m_call.target, m_haveHead, m_desk.now());
    m_desk.wakeWaiting();
}

void ProxiedCall::onHead(http1::ResponseHead head)
{
    m_desk.heardFrom(m_upstream);
    if (!m_haveHead) {
        m_desk.upstreams().onAnswerBegun(m_upstream);
        m_desk.demand().onAnswerBegun(m_call.target, m_desk.now());
    }
    m_verdict = m_desk.format().readVerdict(head);
    m_head = std::move(head);
    m_haveHead = true;
    m_body.clear();
    m_passThrough = false;
}

void ProxiedCall::onBody(std::string_view piece)
{
    m_desk.heardFrom(m_upstream);
    auto self = shared_from_this();
    bool foreign = !m_verdict.id.empty() && m_verdict.id != m_call.id;
    bool good = m_head.status < statusRedirects && m_verdict.hasSignature && !foreign;
    if (good && m_verdict.streaming) {
        if (!m_firstByte)
            beginStream();
        m_caller->write(m_route->resumable ? m_events.feed(piece) : std::string(piece));
        return;
    }
    m_body.append(piece);
    if (good && !m_passThrough && m_body.size() > wholeAnswerBytes) {
        m_passThrough = true;
        beginStream();
    }
    if (m_passThrough) {
        m_caller->write(m_body);
        m_body.clear();
    }
}

namespace {

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

} // namespace

void ProxiedCall::beginStream()
{
    m_firstByte = m_desk.now();
    m_phase = Phase::Delivering;
    m_caller->begin({ m_head.status, m_head.reason, endToEndHeaders(m_head), std::nullopt });
}

void ProxiedCall::deliverWhole()
{
    m_firstByte = m_desk.now();
    m_caller->answer({ m_head.status, m_head.reason, endToEndHeaders(m_head), std::nullopt }, m_body);
}

void ProxiedCall::onWhole()
{
    auto self = shared_from_this();
    if (!m_verdict.id.empty() && m_verdict.id != m_call.id) {
        failed("the answer belongs to another request");
        return;
    }
    if (m_verdict.notRun) {
        onRejected();
        return;
    }
    if (m_head.status >= statusServerErrors || m_head.status == statusTooManyRequests) {
        onServerError();
        return;
    }
    if (m_head.status < statusRedirects && !m_verdict.hasSignature) {
        failed("the upstream does not vouch for its answer");
        return;
    }
    bool streamed = m_phase == Phase::Delivering;
    if (streamed && m_head.status >= statusRedirects) {
        failed("the upstream that was to go on with the stream refused");
        return;
    }
    if (streamed && m_events.hasPartial()) {
        failed("the stream ended within an event");
        return;
    }
    int status = m_head.status;
    leaveUpstream();
    if (streamed)
        m_caller->end();
    else
        deliverWhole();
    finish("answered", status);
}

void ProxiedCall::onRejected()
{
    --m_runs;
    m_desk.metrics().count("toucanstep_rejected_by_upstream_total");
    base::LogLine("call_rejected").add("id", m_call.id).add("upstream", m_upstream).add("status", m_head.status).add("sends", m_sends);
    // Turned away because the target is not there any more or not yet: another look is worth it, soon.
    if (m_sends < mostSends && left() > shortestRun && m_desk.takeRetry(m_service, m_retries)) {
        ++m_retries;
        waitAgain();
        return;
    }
    if (m_firstByte) {
        failed("no upstream takes the stream up again");
        return;
    }
    leaveUpstream();
    refuse(statusUnavailable, "rejected", m_runs ? Ran::Maybe : Ran::No, "the upstreams have turned the call away", defaultRetryAfter);
}

bool ProxiedCall::mayRetry()
{
    if (!m_route->mayRepeat() || m_runs >= m_route->attempts || m_sends >= mostSends || left() < shortestRun)
        return false;
    if (!m_desk.takeRetry(m_service, m_retries))
        return false;
    ++m_retries;
    return true;
}

void ProxiedCall::onServerError()
{
    m_desk.upstreams().onFailure(m_upstream, m_desk.now());
    if (m_phase != Phase::Delivering && mayRetry()) {
        waitAgain();
        return;
    }
    // 429 and 503 promise that the call has not run, which this upstream did not say.
    bool promise = m_head.status == statusUnavailable || m_head.status == statusTooManyRequests;
    if (promise || m_phase == Phase::Delivering) {
        failed("the upstream failed without saying whether the call ran");
        return;
    }
    int status = m_head.status;
    leaveUpstream();
    deliverWhole();
    finish("upstream_error", status);
}

void ProxiedCall::onBroken(http1::Breakage breakage)
{
    auto self = shared_from_this();
    if (breakage == http1::Breakage::NotSent) {
        --m_runs;
        m_desk.upstreams().onUnreachable(m_upstream, m_desk.now());
        base::LogLine("upstream_unreachable").add("id", m_call.id).add("upstream", m_upstream);
        if (m_sends < mostSends && left() > shortestRun)
            waitAgain();
        else
            failed("no upstream can be reached");
        return;
    }
    m_desk.upstreams().onFailure(m_upstream, m_desk.now());
    if (breakage == http1::Breakage::Broken)
        m_desk.suspectCrash(m_upstream, m_fingerprint);
    m_events.dropPartial();
    bool resumable = m_route->resumable && m_verdict.streaming && !m_events.lastId().empty();
    if ((!m_firstByte || resumable) && mayRetry()) {
        base::LogLine("call_moved").add("id", m_call.id).add("from", m_upstream).add("behind", m_events.lastId());
        waitAgain();
        return;
    }
    failed(breakage == http1::Breakage::Malformed ? "the upstream's answer cannot be read" : "the upstream broke off");
}

void ProxiedCall::onUpstreamSilent()
{
    if (!underWay() || !m_route->mayRepeat())
        return;
    m_events.dropPartial();
    bool resumable = m_route->resumable && !m_events.lastId().empty();
    if ((m_firstByte && !resumable) || !mayRetry())
        return;
    base::LogLine("call_moved").add("id", m_call.id).add("from", m_upstream).add("reason", "silent");
    waitAgain();
}

void ProxiedCall::failed(std::string_view reason)
{
    leaveUpstream();
    if (m_firstByte) {
        base::LogLine("stream_cut").add("id", m_call.id).add("upstream", m_upstream).add("reason", reason);
        m_caller->abort();
        finish("cut", 0);
        return;
    }
    if (m_runs)
        refuse(statusBadGateway, "upstream_failed", Ran::Maybe, reason);
    else
        refuse(statusUnavailable, "upstream_unreachable", Ran::No, reason, defaultRetryAfter);
}

void ProxiedCall::deadlinePassed()
{
    auto self = shared_from_this();
    if (m_phase == Phase::Done)
        return;
    bool sent = underWay();
    leaveUpstream();
    if (m_firstByte) {
        m_caller->abort();
        finish("cut_at_deadline", 0);
        return;
    }
    if (sent || m_runs)
        refuse(statusGatewayTimeout, "deadline_exceeded", Ran::Maybe, "no answer within the time limit");
    else
        refuse(statusUnavailable, "overloaded", Ran::No, "no upstream could take the call in time", defaultRetryAfter);
}

void ProxiedCall::callerLeft()
{
    auto self = shared_from_this();
    if (m_phase == Phase::Done)
        return;
    leaveUpstream();
    finish("caller_left", 0);
}

void ProxiedCall::cutOff()
{
    auto self = shared_from_this();
    if (m_phase == Phase::Done)
        return;
    if ((m_phase == Phase::Waiting || m_phase == Phase::Held) && !m_runs && !m_firstByte)
        refuse(statusUnavailable, "leaving", Ran::No, "the gateway ends", defaultRetryAfter);
    else
        failed("the gateway ends");
}

void ProxiedCall::refuse(int status, std::string_view code, Ran ran, std::string_view message, std::optional<base::Duration> retryAfter)
{
    auto self = shared_from_this();
    // What ran nowhere is not charged; what may have run keeps its charge, as its tokens may have been used.
    if (ran == Ran::No && m_charged.value())
        m_desk.limits().refund(m_account, m_charged);
    bool promise = status == statusUnavailable || status == statusTooManyRequests;
    if (promise && ran == Ran::Maybe) {
        status = statusBadGateway;
        retryAfter.reset();
    }
    http1::AnswerHead head;
    head.status = status;
    head.headers.add("Content-Type", "application/json");
    if (retryAfter) {
        double seconds = base::toSeconds(*retryAfter) * (1 + retrySpread * spreadOf(m_call.id));
        head.headers.add("Retry-After", base::concat(std::max(seconds, 0.05)));
    }
    nlohmann::json error { { "error", { { "code", code }, { "message", message }, { "ran", ran == Ran::No ? "not_run" : "may_have_run" } } } };
    m_caller->answer(std::move(head), error.dump());
    finish(code, status);
}

void ProxiedCall::finish(std::string_view outcome, int status)
{
    m_phase = Phase::Done;
    if (m_held)
        m_desk.leaveTokenQueue(*m_held);
    m_desk.loop().cancel(m_timer);
    base::Instant time = m_desk.now();
    base::LogLine line("call_ended");
    line.add("id", m_call.id).add("outcome", outcome).add("status", status);
    if (m_state)
        line.add("version", m_state->version).add("version_age_ms", base::toMilliseconds(m_arrived - m_stateSince)).add("store_age_ms", base::toMilliseconds(m_arrived - m_lastStoreContact));
    if (m_route)
        line.add("route", m_route->id).add("target_ms", base::toMilliseconds(m_route->latencyTarget));
    line.add("account", m_account).add("model", m_call.target.model).add("adapter", m_call.target.adapter).add("upstream", m_upstream).add("sends", m_sends);
    line.add("waited_for", toText(m_waitedFor)).add("sent_ms", m_firstSent ? base::toMilliseconds(*m_firstSent - m_arrived) : -1);
    line.add("first_ms", m_firstByte ? base::toMilliseconds(*m_firstByte - m_arrived) : -1).add("total_ms", base::toMilliseconds(time - m_arrived));
    m_desk.metrics().count("toucanstep_calls_total", base::concat("outcome=\"", outcome, "\""));
    m_desk.metrics().observe("toucanstep_call_seconds", "", base::toSeconds(time - m_arrived));
    m_desk.ended(*this);
}

} // namespace toucanstep::direct
