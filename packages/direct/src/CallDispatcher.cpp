#include "CallDispatcher.h"

#include "ProxiedCall.h"
#include "toucanstep/base/Text.h"

#include <tuple>

namespace toucanstep::direct {

namespace {

// Calls that wait are looked at together, this long after the first thing that may let one go on.
constexpr auto pumpDelay = std::chrono::milliseconds(2);
// Strikes are repeated to the peers for this long, against lost datagrams.
constexpr auto strikeRepeat = std::chrono::seconds(2);
// The planner reports several times a second.
constexpr auto plannerSilence = std::chrono::milliseconds(1500);
// A caller's request that crashes upstreams comes again within seconds; a day of strikes would hold back innocent ones.
constexpr auto strikeLifetime = std::chrono::seconds(60);

routing::QuarantineSettings quarantineSettings()
{
    routing::QuarantineSettings settings;
    settings.strikeLifetime = strikeLifetime;
    return settings;
}

} // namespace

CallDispatcher::CallDispatcher(io::EventLoop& loop, http1::Client& client, const WireFormat& format, base::MetricsRegistry& metrics, CallDispatcherSettings settings)
    : m_loop(loop)
    , m_client(client)
    , m_format(format)
    , m_metrics(metrics)
    , m_settings(std::move(settings))
    , m_limits(AccountLimitsSettings {})
    , m_quarantine(quarantineSettings())
{
}

CallDispatcher::~CallDispatcher()
{
    shutDownAll();
    m_loop.cancel(m_pumpTimer);
    m_loop.cancel(m_tokenTimer);
}

void CallDispatcher::shutDownAll()
{
    auto runs = m_runs;
    for (const auto& run : runs)
        run->cutOff();
}

void CallDispatcher::onRequest(std::shared_ptr<http1::ServerExchange> exchange)
{
    auto run = std::make_shared<ProxiedCall>(*this, std::move(exchange));
    m_runs.insert(run);
    run->start();
}

void CallDispatcher::onUnreadable(int status)
{
    m_metrics.count("toucanstep_unreadable_requests_total", base::concat("status=\"", status, "\""));
}

void CallDispatcher::setDesiredState(std::shared_ptr<const DesiredState> state)
{
    m_state = std::move(state);
    m_inForceSince = now();
    m_limits.setAccounts(*m_state, now());
    wakeWaiting();
}

void CallDispatcher::setExpectedLoads(const std::vector<ExpectedLoad>& loads)
{
    m_expected.clear();
    for (const auto& load : loads)
        m_expected[load.target] = now() + load.in;
}

std::optional<base::Instant> CallDispatcher::expectedLoad(const ModelTarget& target) const
{
    auto found = m_expected.find({ target.model, AdapterId() });
    if (found == m_expected.end())
        return std::nullopt;
    return found->second;
}

bool CallDispatcher::plannerKnown() const
{
    return m_plannerHeard && now() - *m_plannerHeard < plannerSilence;
}

TokenQueue::Decision CallDispatcher::takeTokens(const std::shared_ptr<ProxiedCall>& run, const base::ClientAccountId& account, base::Tokens cost, base::Instant holdUntil)
{
    TokenQueue::Decision decision = m_tokenQueue.take(m_limits, account, cost, holdUntil, now());
    if (decision.answer == TokenResult::Queued) {
        m_held.emplace(decision.number, run);
        if (!m_tokenTimer)
            m_tokenTimer = m_loop.at(decision.expected, [this] { serveTokenQueue(); });
    }
    return decision;
}

void CallDispatcher::leaveTokenQueue(QueuedCallNumber number)
{
    m_tokenQueue.remove(number);
    m_held.erase(number);
}

void CallDispatcher::serveTokenQueue()
{
    m_loop.cancel(m_tokenTimer);
    m_tokenTimer = 0;
    for (const auto& due : m_tokenQueue.due(m_limits, now())) {
        auto held = m_held.extract(due.number);
        if (held.empty())
            continue;
        if (due.charged)
            held.mapped()->onTokens();
        else
            held.mapped()->onNoTokens(due.expected);
    }
    // A fraction of a token short is looked at again in a moment, and not at once.
    constexpr auto shortestPause = std::chrono::milliseconds(2);
    if (auto next = m_tokenQueue.next(m_limits, now()))
        m_tokenTimer = m_loop.at(std::max(*next, now() + shortestPause), [this] { serveTokenQueue(); });
}

void CallDispatcher::wait(const std::shared_ptr<ProxiedCall>& run)
{
    run->setWaitNumber(++m_lastNumber);
    m_waiting.emplace(run->waitNumber(), run);
    m_demand.onWaiting(run->target(), 1);
    if (!run->target().empty() && m_onTargetMissing)
        m_onTargetMissing();
}

void CallDispatcher::stopWaiting(ProxiedCall& run)
{
    if (m_waiting.erase(run.waitNumber()))
        m_demand.onWaiting(run.target(), -1);
}

void CallDispatcher::ended(ProxiedCall& run)
{
    stopWaiting(run);
    m_runs.erase(run.shared_from_this());
    wakeWaiting();
}

void CallDispatcher::wakeWaiting()
{
    if (m_pumpDue || m_waiting.empty())
        return;
    m_pumpDue = true;
    m_pumpTimer = m_loop.at(now() + pumpDelay, [this] { pump(); });
}

std::vector<std::shared_ptr<ProxiedCall>> CallDispatcher::inTurn() const
{
    std::map<QueuePosition, std::shared_ptr<ProxiedCall>> places;
    for (const auto& [number, run] : m_waiting)
        places.emplace(QueuePosition { run->rank(), run->turn(), number }, run);
    std::vector<std::shared_ptr<ProxiedCall>> runs;
    for (auto& [place, run] : places)
        runs.push_back(std::move(run));
    return runs;
}

void CallDispatcher::pump()
{
    m_pumpDue = false;
    // Behind a call that finds its upstreams full, others for the same target need not look.
    std::map<QueueKey, BlockReason> blocked;
    m_standing.beginPass(now());
    for (const auto& run : inTurn()) {
        QueueKey line(run->service(), run->target());
        auto known = blocked.find(line);
        BlockReason blockReason = known != blocked.end() && run->untried() ? known->second : run->tryDispatch();
        if (blockReason == BlockReason::None)
            continue;
        if (run->untried())
            blocked.emplace(line, blockReason);
        bool late = blockReason == BlockReason::Full && run->turn() == QueueClass::Late;
        if (late && m_standing.shouldRefuseLate(line))
            run->refuseLate();
        else
            run->refuseIfHopeless(blockReason);
    }
    m_standing.endPass();
}

void CallDispatcher::tick()
{
    base::Instant time = now();
    m_upstreams.expireNotices(time);
    m_quarantine.expire(time);
    strikeForCrashes();
    if (!m_tokenQueue.empty())
        serveTokenQueue();
    auto runs = m_runs;
    for (const auto& run : runs) {
        if (!run->underWay())
            continue;
        const UpstreamEntry* entry = m_upstreams.find(run->upstream());
        if (!entry || UpstreamTable::silent(*entry, time))
            run->onUpstreamSilent();
    }
    if (!m_waiting.empty())
        pump();
}

routing::RetryBudget& CallDispatcher::budget(const base::ServiceId& service)
{
    routing::RetryBudgetSettings settings;
    settings.percent = m_settings.retryPercent;
    settings.reserve = m_settings.retryReserve;
    settings.perRequest = 3;
    return m_budgets.try_emplace(service, settings).first->second;
}

void CallDispatcher::countForBudget(const base::ServiceId& service)
{
    budget(service).onRequest();
}

bool CallDispatcher::takeRetry(const base::ServiceId& service, int64_t retriesSoFar)
{
    bool taken = budget(service).tryRetry(true, retriesSoFar);
    m_metrics.count("toucanstep_retries_total", taken ? "granted=\"yes\"" : "granted=\"no\"");
    return taken;
}

void CallDispatcher::heardFrom(const base::UpstreamId& upstream)
{
    m_upstreams.onHeard(upstream, now());
    m_crashes.onHeard(upstream, now());
}

void CallDispatcher::suspectCrash(const base::UpstreamId& upstream, const routing::RequestFingerprint& fingerprint)
{
    const UpstreamEntry* entry = m_upstreams.find(upstream);
    m_crashes.onBroken({ upstream, entry ? entry->description.start : StartMark(), fingerprint, now() });
}

void CallDispatcher::strikeForCrashes()
{
    for (const auto& crashed : m_crashes.takeConfirmed(now())) {
        routing::CrashId crash(base::concat(crashed.upstream, "/", crashed.start));
        for (auto& message : m_quarantine.onCrash(crash, { crashed.fingerprint }, now()))
            m_strikes.emplace_back(now() + strikeRepeat, std::move(message));
    }
}

std::vector<routing::StrikeMessage> CallDispatcher::recentStrikes()
{
    std::erase_if(m_strikes, [&](const auto& strike) { return strike.first <= now(); });
    std::vector<routing::StrikeMessage> recent;
    for (const auto& [until, message] : m_strikes)
        recent.push_back(message);
    return recent;
}

} // namespace toucanstep::direct
