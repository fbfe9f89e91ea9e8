#include "GatewayCore.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/node/CallCodec.h"
#include "toucanstep/placement/Checkpoints.h"

#include <absl/hash/hash.h>
#include <nlohmann/json.hpp>

namespace toucanstep::gateway::internal {

namespace {

constexpr size_t prefixHints = 20'000;
constexpr base::Duration prefixLifetime = std::chrono::minutes(5);
// How often a gateway goes back to the same sidecar after its connection was lost, before it looks elsewhere.
constexpr int maximumAttaches = 2;
// An answer of which the caller has a part can only go on there: its sidecar is tried for longer, with pauses.
constexpr int maximumAttachesOnceDelivered = 40;
constexpr base::Duration attachPause = std::chrono::milliseconds(250);
// Figures of a sidecar that are older than this are asked for anew while requests choose between several holders.
constexpr base::Duration reportsFreshFor = std::chrono::milliseconds(700);
constexpr base::Duration refreshInterval = std::chrono::milliseconds(250);
constexpr base::Duration contestedFor = std::chrono::seconds(5);
// How long a request waits for a model that has no holder at this moment, and how often it looks.
constexpr base::Duration holderPatience = std::chrono::seconds(8);
constexpr base::Duration holderPause = std::chrono::milliseconds(100);
constexpr base::Duration reportTimeout = std::chrono::milliseconds(500);
// A caller that does not read is not waited for with more than this in memory.
constexpr size_t maximumQueuedBytes = 8 * 1024 * 1024;

uint64_t seedFrom(const std::string& nonce)
{
    return absl::HashOf(nonce);
}

// The instance that a model would live on if only the list decided: the greatest hash wins, so that an instance that
// comes or goes moves only its own models.
const node::InstanceRow* hashHome(const std::vector<const node::InstanceRow*>& rows, const std::string& target)
{
    const node::InstanceRow* best = nullptr;
    std::string bestHash;
    for (const node::InstanceRow* row : rows) {
        std::string hash = base::sha256Hex(base::concat(row->instance, "\n", target));
        if (!best || hash > bestHash) {
            best = row;
            bestHash = std::move(hash);
        }
    }
    return best;
}

routing::HolderState toHolderState(peers::ModelPhase phase)
{
    switch (phase) {
    case peers::ModelPhase::Loading:
        return routing::HolderState::Loading;
    case peers::ModelPhase::Loaded:
        return routing::HolderState::Loaded;
    case peers::ModelPhase::Cold:
        break;
    }
    return routing::HolderState::Cold;
}

} // namespace

// Hears one dispatch; events of an earlier attempt of the same request are told apart by its number.
class GatewayCore::DispatchListener final : public peers::PeerCallListener {
public:
    DispatchListener(GatewayCore& core, base::RequestId request, int64_t attempt)
        : m_core(core)
        , m_request(std::move(request))
        , m_attempt(attempt)
    {
    }

    void onMessage(std::string message) override { m_core.onEvent(m_request, m_attempt, message); }
    void onEnd(std::optional<base::Error> error) override { m_core.onDispatchEnd(m_request, m_attempt, error); }

private:
    GatewayCore& m_core;
    base::RequestId m_request;
    int64_t m_attempt;
};

GatewayCore::GatewayCore(node::Node& node, GatewayOptions options, std::unique_ptr<LimitGate> limits)
    : m_node(node)
    , m_options(options)
    , m_limits(std::move(limits))
    , m_onceCalls(node, *this)
    , m_router(options.routing == RouteMode::ExpectedWait ? routing::makeExpectedWaitRouter({}) : routing::makeRandomRouter())
    , m_prefixes(prefixHints, prefixLifetime)
    , m_retries({})
    , m_generator(seedFrom(node.startNonce()))
{
}

GatewayCore::~GatewayCore()
{
    *m_alive = false;
}

CallerEntry* GatewayCore::find(const base::RequestId& id)
{
    auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : found->second.get();
}

void GatewayCore::onConfiguration(const std::shared_ptr<const config::Configuration>& configuration)
{
    m_limits->onConfiguration(*configuration, now());
}

// ---- arrival

void GatewayCore::begin(CallerRequest request, std::shared_ptr<formats::HttpExchange> exchange)
{
    auto entry = std::make_unique<CallerEntry>();
    // The start nonce and the counter make an id unique over instances and restarts, so that an answer which comes late
    // or crossed is never taken for another request's.
    entry->id = base::RequestId(base::concat(m_node.settings().instance, "-", m_node.startNonce(), "-", ++m_counter));
    entry->request = std::move(request);
    entry->exchange = std::move(exchange);
    entry->arrivedAt = now();
    base::RequestId id = entry->id;
    CallerEntry& added = *entry;
    m_entries.emplace(id, std::move(entry));
    added.exchange->onCallerGone([this, id] { m_node.traffic().post([this, id] { callerGone(id); }); });
    m_node.metrics().count("toucanstep_requests_total");
    recordOffer(added);
    m_retries.onRequest();
    if (m_leaving) {
        refuse(added, { base::RefusalCode::Leaving, base::RanState::NotRun, "this gateway is leaving; ask again", now() });
        return;
    }
    // A request that has crashed upstreams is refused before it costs its account anything.
    if (auto quarantined = m_quarantine.refusal(routing::RequestFingerprint(added.request.fingerprint), now())) {
        refuse(added, *quarantined);
        return;
    }
    limits::AccountCharge order { id, added.request.account, added.request.cost(), added.request.deadline };
    m_limits->charge(order, [this, id](const std::optional<base::Refusal>& refusal) { onCharged(id, refusal); });
}

void GatewayCore::recordOffer(const CallerEntry& entry)
{
    auto configuration = m_node.configuration();
    const config::RequestKind* kind = configuration->findKind(entry.request.kind);
    m_node.record({ .kind = base::HistoryKind::Offered, .request = entry.id, .account = entry.request.account, .key = entry.request.key, .tokens = entry.request.cost(), .weight = kind ? kind->weight : 1, .deadline = entry.request.deadline });
}

void GatewayCore::onCharged(const base::RequestId& id, const std::optional<base::Refusal>& refusal)
{
    CallerEntry* entry = find(id);
    if (!entry) {
        // The caller left while the charge was under way; nothing ran for it.
        if (!refusal)
            m_limits->settle(id, base::Tokens(std::numeric_limits<int32_t>::max()));
        return;
    }
    if (refusal) {
        refuse(*entry, *refusal);
        return;
    }
    entry->charged = true;
    m_node.record({ .kind = base::HistoryKind::Admitted, .request = id, .account = entry->request.account, .key = entry->request.key, .tokens = entry->request.cost() });
    if (entry->request.idempotent)
        route(*entry);
    else
        beginOnce(*entry);
}

// ---- routing

std::vector<const node::InstanceRow*> GatewayCore::readyInstances(const config::UpstreamPool& pool, const node::InstanceTable& instances)
{
    std::vector<const node::InstanceRow*> ready;
    for (const node::InstanceRow* row : instances.inList(pool.listName)) {
        base::UpstreamId upstream(row->instance.value());
        m_upstreams.setConnected(upstream, row->ready);
        m_upstreams.setTerminating(upstream, row->terminating);
        if (row->ready && !row->terminating)
            ready.push_back(row);
    }
    return ready;
}

routing::Holder GatewayCore::holderOn(const base::UpstreamId& upstream, base::Epoch epoch, const base::ModelId& modelId, base::Instant now) const
{
    routing::Holder holder { upstream, epoch, routing::HolderState::Cold, std::nullopt };
    auto known = m_phases.find({ upstream, modelId });
    if (known != m_phases.end()) {
        holder.state = toHolderState(known->second.phase);
        holder.expectedLoadEnd = known->second.loadEnd;
    }
    // A cold model may have been fetched before; the sidecar, which knows, refuses what truly ends too late.
    auto configuration = m_node.configuration();
    const config::Model* model = configuration->findModel(modelId);
    bool ended = holder.expectedLoadEnd && *holder.expectedLoadEnd <= now;
    if (holder.state != routing::HolderState::Loaded && (!holder.expectedLoadEnd || ended) && model)
        holder.expectedLoadEnd = now + placement::loadTime(model->checkpoint, placement::CheckpointTier::Memory, configuration->loads);
    return holder;
}

std::vector<routing::Holder> GatewayCore::holdersOf(const CallerEntry& entry, base::Instant now)
{
    auto configuration = m_node.configuration();
    auto instances = m_node.instances();
    const config::UpstreamPool* pool = configuration->findPool(entry.request.pool);
    if (!pool)
        return {};
    std::vector<const node::InstanceRow*> ready = readyInstances(*pool, *instances);
    std::vector<routing::Holder> holders;
    if (entry.request.target == peers::TargetKind::Service) {
        for (const node::InstanceRow* row : ready)
            holders.push_back({ base::UpstreamId(row->instance.value()), {}, routing::HolderState::Loaded, std::nullopt });
        return holders;
    }
    base::ModelId model(entry.request.targetId);
    if (m_options.homes == HomeMode::Hash) {
        if (const node::InstanceRow* home = hashHome(ready, entry.request.targetId))
            holders.push_back(holderOn(base::UpstreamId(home->instance.value()), {}, model, now));
        return holders;
    }
    auto rows = m_rows.find(model);
    if (rows == m_rows.end())
        return holders;
    // A row outlives its holder until that is proved to be gone; meanwhile a second row may stand in, and only that one is
    // of use.
    auto listed = [&](const assignments::Row& row) { return std::any_of(ready.begin(), ready.end(), [&](const node::InstanceRow* one) { return one->instance == row.holder.instance; }); };
    for (const assignments::Row& row : rows->second) {
        if (!listed(row))
            continue;
        holders.push_back(holderOn(base::UpstreamId(row.holder.instance.value()), row.epoch, model, now));
    }
    return holders;
}

void GatewayCore::onRows(const node::AssignmentView& view)
{
    m_rows.clear();
    for (const assignments::Row& row : view.rows) {
        if (row.key.kind == assignments::RowKind::ReplicaSlot)
            m_rows[base::ModelId(row.key.subject)].push_back(row);
    }
}

void GatewayCore::mergeStrikes(const std::vector<routing::StrikeMessage>& strikes)
{
    size_t before = m_quarantine.size();
    m_quarantine.merge(strikes, now());
    m_strikesChanged = m_strikesChanged || m_quarantine.size() != before;
}

std::optional<std::vector<routing::StrikeMessage>> GatewayCore::takeChangedStrikes()
{
    if (!std::exchange(m_strikesChanged, false))
        return std::nullopt;
    return m_quarantine.exportStrikes(now());
}

std::vector<placement::ModelDemand> GatewayCore::takeDemand()
{
    base::Instant at = now();
    base::Duration span = std::max<base::Duration>(at - m_demandSince, std::chrono::milliseconds(1));
    std::vector<placement::ModelDemand> demand;
    constexpr int64_t thousandths = 1000;
    for (const auto& [model, seen] : m_demand)
        demand.push_back({ model, seen.busy * thousandths / span.count(), seen.misses });
    m_demand.clear();
    m_demandSince = at;
    return demand;
}

routing::RouteDecision GatewayCore::chooseFor(const CallerEntry& entry, base::Instant now)
{
    auto configuration = m_node.configuration();
    const config::ClientAccount* account = configuration->findAccount(entry.request.account);
    routing::RouteRequest request;
    request.id = entry.id;
    request.model = base::ModelId(entry.request.targetId);
    request.account = entry.request.account;
    request.accountWeight = account ? account->weight : 1;
    request.now = now;
    request.deadline = entry.request.deadline;
    request.cost = entry.request.cost();
    request.prefixes = routing::prefixesOf(request.model, entry.request.prompt);
    request.excluded = entry.tried;
    request.configurationVersion = configuration->version;
    std::vector<routing::Holder> holders = holdersOf(entry, now);
    if (holders.size() > 1)
        m_contested[entry.request.targetId] = now + contestedFor;
    return m_router->choose(request, holders, m_upstreams, m_prefixes, m_generator);
}

void GatewayCore::logDecision(const routing::RouteDecision& decision) const
{
    base::LogLine line("routed");
    line.add("request", decision.request).add("model", decision.model);
    line.add("chosen", decision.chosen ? decision.chosen->value() : std::string("none"));
    line.add("reason", routing::routeReasonName(decision.reason)).add("candidates", routing::describeCandidates(decision));
    line.add("wait_ms", base::toMilliseconds(decision.expectedWait)).add("epoch", decision.epoch).add("version", decision.configurationVersion);
}

void GatewayCore::beginOnce(CallerEntry& entry)
{
    base::Instant until = std::min(entry.arrivedAt + holderPatience, entry.request.deadline);
    if (!holdersOf(entry, now()).empty() || now() + holderPause >= until) {
        m_onceCalls.begin(entry.id, entry.request);
        return;
    }
    m_node.traffic().at(now() + holderPause, [this, alive = m_alive, id = entry.id] {
        if (CallerEntry* waiting = *alive ? find(id) : nullptr)
            beginOnce(*waiting);
    });
}

// Between the release of a row and its next holder a model has no home for a moment, and so has a pool whose instances are
// being replaced. A caller with time left should not notice.
bool GatewayCore::waitForHolder(CallerEntry& entry, const routing::RouteDecision& decision)
{
    bool moving = decision.reason == routing::RouteReason::NoHolder;
    base::Instant until = std::min(entry.arrivedAt + holderPatience, entry.request.deadline);
    if (!moving || now() + holderPause >= until)
        return false;
    // An upstream that was tried may be the one that comes back.
    entry.tried.clear();
    m_node.traffic().at(now() + holderPause, [this, alive = m_alive, id = entry.id, attempt = entry.attempt] {
        CallerEntry* waiting = *alive ? find(id) : nullptr;
        if (waiting && waiting->attempt == attempt)
            route(*waiting);
    });
    return true;
}

void GatewayCore::route(CallerEntry& entry)
{
    routing::RouteDecision decision = chooseFor(entry, now());
    logDecision(decision);
    if (!decision.chosen && waitForHolder(entry, decision))
        return;
    if (!decision.chosen) {
        if (entry.request.target == peers::TargetKind::Model)
            ++m_demand[decision.model].misses;
        refuse(entry, *decision.refusal);
        return;
    }
    for (routing::PrefixFingerprint prefix : routing::prefixesOf(decision.model, entry.request.prompt))
        m_prefixes.stored(*decision.chosen, prefix, now());
    if (!dispatch(entry, *decision.chosen))
        refuse(entry, { base::RefusalCode::NoCapacity, base::RanState::NotRun, "the chosen upstream has gone", now() });
}

bool GatewayCore::sendAttempt(const base::RequestId& id, const calls::CallDispatch& dispatched, base::Instant)
{
    CallerEntry* entry = find(id);
    if (!entry)
        return false;
    endDispatch(*entry);
    routing::RouteDecision decision = chooseFor(*entry, now());
    logDecision(decision);
    if (!decision.chosen || !dispatch(*entry, *decision.chosen, node::encodeDispatch(dispatched)))
        return false;
    entry->onceAttempt = dispatched.attempt;
    return true;
}

void GatewayCore::finishCall(const base::RequestId& id, const calls::CallResult& result)
{
    CallerEntry* entry = find(id);
    if (!entry)
        return;
    if (result.refusal) {
        refuse(*entry, *result.refusal);
        return;
    }
    formats::HttpHeaders headers { { "Content-Type", result.answer->contentType }, { "Idempotency-Replayed", result.repeated ? "true" : "false" }, { "X-Request-Id", id.value() } };
    if (result.answer->bodyDropped)
        headers.push_back({ "Idempotency-Body", "dropped" });
    entry->exchange->respond(result.answer->status, headers, result.answer->body);
    m_node.record({ .kind = base::HistoryKind::Answered, .request = id, .account = entry->request.account, .complete = true });
    base::LogLine("call_answered").add("request", id).add("service", entry->request.targetId).add("repeated", result.repeated ? "yes" : "no").add("status", result.answer->status);
    finish(id, result.repeated ? entry->request.cost() : base::Tokens(0));
}

bool GatewayCore::dispatch(CallerEntry& entry, const base::UpstreamId& upstream, const std::string& callDispatch)
{
    auto instances = m_node.instances();
    const node::InstanceRow* row = instances->find(base::InstanceId(upstream.value()));
    if (!row)
        return false;
    auto configuration = m_node.configuration();
    const config::ClientAccount* account = configuration->findAccount(entry.request.account);
    ++entry.attempt;
    entry.upstream = upstream;
    entry.target = row->peer;
    entry.tried.push_back(upstream);
    entry.attaches = 0;
    entry.dispatch = m_upstreams.dispatched(upstream, { entry.request.account, account ? account->weight : 1, entry.request.cost() });

    peers::RunRequest message;
    message.request = entry.id;
    message.attempt = entry.attempt;
    message.account = entry.request.account;
    message.key = entry.request.key;
    message.configuration = configuration->version;
    message.remaining = base::remaining(now(), entry.request.deadline);
    message.kind = entry.request.kind.value();
    message.target = entry.request.target;
    message.targetId = entry.request.targetId;
    message.httpMethod = entry.request.httpMethod;
    message.path = entry.request.path;
    message.idempotencyKey = entry.request.idempotencyKey;
    message.contentType = entry.request.contentType;
    message.promptTokens = entry.request.promptTokens;
    message.maximumTokens = entry.request.maximumTokens;
    message.stream = entry.request.stream;
    message.fingerprint = entry.request.fingerprint;
    message.dispatchNumber = entry.dispatch.value();
    message.callDispatch = callDispatch;
    message.body = entry.request.body;
    auto listener = std::make_shared<DispatchListener>(*this, entry.id, entry.attempt);
    entry.call = m_node.peers().call({ entry.target, peers::Method(std::string(peers::runMethod)), peers::encode(message), entry.request.deadline }, listener);
    return true;
}

// The connection to the sidecar was lost in the middle of an answer. The sidecar keeps the answer; a new connection
// takes it up at the first chunk that did not arrive, so the caller gets it whole and nothing runs twice.
void GatewayCore::attachAgain(CallerEntry& entry)
{
    ++entry.attaches;
    base::LogLine("attach").add("request", entry.id).add("upstream", entry.upstream).add("next_chunk", entry.nextChunk);
    m_node.metrics().count("toucanstep_attaches_total");
    auto listener = std::make_shared<DispatchListener>(*this, entry.id, entry.attempt);
    std::string message = peers::encode(peers::AttachRequest { entry.id, entry.attempt, entry.nextChunk });
    entry.call = m_node.peers().call({ entry.target, peers::Method(std::string(peers::attachMethod)), std::move(message), entry.request.deadline }, listener);
}

// The first attempt goes out at once; the next ones leave a paused sidecar time to come back.
void GatewayCore::attachLater(CallerEntry& entry)
{
    if (!entry.attaches) {
        attachAgain(entry);
        return;
    }
    m_node.traffic().at(now() + attachPause, [this, alive = m_alive, id = entry.id, attempt = entry.attempt] {
        CallerEntry* waiting = *alive ? find(id) : nullptr;
        if (waiting && waiting->attempt == attempt)
            attachAgain(*waiting);
    });
}

// ---- figures

void GatewayCore::refreshReports()
{
    base::Instant at = now();
    if (at < m_nextRefresh)
        return;
    m_nextRefresh = at + refreshInterval;
    std::erase_if(m_contested, [&](const auto& target) { return at >= target.second; });
    auto configuration = m_node.configuration();
    auto instances = m_node.instances();
    for (const auto& [target, until] : m_contested) {
        std::vector<base::InstanceId> holders;
        if (const config::Service* service = configuration->findService(base::ServiceId(target))) {
            const config::UpstreamPool* pool = configuration->findPool(service->pool);
            for (const node::InstanceRow* row : instances->inList(pool ? pool->listName : std::string()))
                holders.push_back(row->instance);
        }
        if (auto rows = m_rows.find(base::ModelId(target)); rows != m_rows.end()) {
            for (const assignments::Row& row : rows->second)
                holders.push_back(row.holder.instance);
        }
        for (const base::InstanceId& holder : holders) {
            const routing::UpstreamEntry* known = m_upstreams.find(base::UpstreamId(holder.value()));
            bool fresh = known && known->reportedAt && at < *known->reportedAt + reportsFreshFor;
            const node::InstanceRow* row = instances->find(holder);
            if (!fresh && row)
                askReport(*row, target);
        }
    }
}

void GatewayCore::askReport(const node::InstanceRow& row, const std::string& model)
{
    class Listener final : public peers::PeerCallListener {
    public:
        Listener(GatewayCore& core, std::shared_ptr<bool> alive, base::UpstreamId upstream, std::string model)
            : m_core(core)
            , m_alive(std::move(alive))
            , m_upstream(std::move(upstream))
            , m_model(std::move(model))
        {
        }

        void onMessage(std::string message) override
        {
            base::Error error;
            auto event = base::valueOr(error, [&] { return peers::decodeRunEvent(message); });
            if (*m_alive && event && event->report)
                m_core.onReport(m_upstream, *event->report, m_model);
        }

        void onEnd(std::optional<base::Error>) override { }

    private:
        GatewayCore& m_core;
        std::shared_ptr<bool> m_alive;
        base::UpstreamId m_upstream;
        std::string m_model;
    };
    auto listener = std::make_shared<Listener>(*this, m_alive, base::UpstreamId(row.instance.value()), model);
    m_node.peers().call({ row.peer, peers::Method(std::string(peers::reportMethod)), model, now() + reportTimeout }, listener);
}

// ---- answers

void GatewayCore::onEvent(const base::RequestId& id, int64_t attempt, const std::string& message)
{
    CallerEntry* entry = find(id);
    base::Error error;
    auto event = base::valueOr(error, [&] { return peers::decodeRunEvent(message); });
    if (!event || event->request != id) {
        // A message of another request must never reach this caller.
        m_node.metrics().count("toucanstep_foreign_events_total");
        base::LogLine("foreign_event").add("request", id).add("carried", event ? event->request.value() : std::string("malformed"));
        return;
    }
    if (!entry || entry->attempt != attempt || entry->finished)
        return;
    if (event->report)
        onReport(entry->upstream, *event->report, entry->request.targetId);
    if (auto* start = std::get_if<peers::AnswerStart>(&event->body))
        onStart(*entry, *start);
    else if (auto* chunk = std::get_if<peers::AnswerChunk>(&event->body))
        onChunk(*entry, *chunk);
    else if (auto* end = std::get_if<peers::AnswerEnd>(&event->body))
        onAnswerEnd(*entry, *end);
    else if (auto* refused = std::get_if<peers::AnswerRefused>(&event->body))
        onRefused(*entry, *refused);
    else if (auto* call = std::get_if<peers::AnswerCall>(&event->body))
        m_onceCalls.onReply(call->reply);
}

void GatewayCore::onReport(const base::UpstreamId& upstream, const peers::SidecarReport& message, const std::string& model)
{
    m_node.versionSeen(base::InstanceId(upstream.value()), message.configuration);
    routing::UpstreamReport report;
    report.incarnation = message.incarnation;
    report.sequence = message.sequence;
    report.load.slots = message.slots;
    report.load.tokensPerSecond = message.tokensPerSecond;
    report.load.inFlight = message.inFlight;
    report.load.inFlightTokens = message.inFlightTokens;
    for (const peers::AccountQueue& queue : message.queues)
        report.load.backlog.push_back({ queue.account, queue.weight, queue.queued, queue.servedPerSecond });
    report.lastDispatchSeen = routing::DispatchNumber(message.lastDispatchSeen);
    report.leaving = message.leaving;
    report.quarantining = message.quarantining;
    if (!m_upstreams.report(upstream, std::move(report), now()))
        return;
    ModelOnUpstream& known = m_phases[{ upstream, base::ModelId(model) }];
    known.phase = message.phase;
    known.loadEnd = message.loadRemaining >= base::Duration::zero() ? std::optional(now() + message.loadRemaining) : std::nullopt;
}

void GatewayCore::onStart(CallerEntry& entry, const peers::AnswerStart& start)
{
    entry.start = start;
    bool first = !std::exchange(entry.started, true);
    if (first && entry.request.stream)
        entry.exchange->startStream(start.status, { { "Content-Type", start.contentType }, { "Cache-Control", "no-cache" }, { "X-Request-Id", entry.id.value() } });
}

void GatewayCore::onChunk(CallerEntry& entry, const peers::AnswerChunk& chunk)
{
    // A chunk that was already passed on comes again after an attach; one from further on would leave a hole.
    if (chunk.index != entry.nextChunk)
        return;
    if (m_node.recordsHistory())
        entry.digest = base::sha256Hex(entry.digest + chunk.bytes);
    if (!entry.nextChunk)
        entry.firstChunkAt = now();
    if (!entry.nextChunk)
        m_node.metrics().observe("toucanstep_first_chunk_seconds", "", base::toSeconds(now() - entry.arrivedAt));
    ++entry.nextChunk;
    if (!entry.request.stream) {
        entry.body += chunk.bytes;
        return;
    }
    if (entry.exchange->queuedBytes() > maximumQueuedBytes) {
        base::LogLine("caller_too_slow").add("request", entry.id);
        callerGone(entry.id);
        return;
    }
    entry.exchange->write(chunk.bytes);
}

void GatewayCore::onAnswerEnd(CallerEntry& entry, const peers::AnswerEnd& end)
{
    if (end.chunks != entry.nextChunk) {
        // Chunks are missing: the answer is not whole, and the rest is fetched from where it stands.
        attachAgain(entry);
        return;
    }
    m_node.record({ .kind = base::HistoryKind::Answered, .request = entry.id, .account = entry.request.account, .digest = entry.digest, .complete = true });
    if (entry.request.target == peers::TargetKind::Model)
        m_node.recordAt(entry.firstChunkAt, { .kind = base::HistoryKind::FirstToken, .request = entry.id, .model = base::ModelId(entry.request.targetId), .cold = end.cold });
    if (entry.request.stream)
        entry.exchange->finish();
    else
        entry.exchange->respond(entry.start.status, { { "Content-Type", entry.start.contentType }, { "X-Request-Id", entry.id.value() } }, std::move(entry.body));
    m_node.metrics().count("toucanstep_answers_total", base::concat("cold=\"", end.cold ? "true" : "false", "\""));
    base::LogLine("answered").add("request", entry.id).add("upstream", entry.upstream).add("chunks", end.chunks).add("used_tokens", end.usedTokens).add("milliseconds", base::toMilliseconds(now() - entry.arrivedAt));
    finish(entry.id, entry.request.cost() - end.usedTokens);
}

void GatewayCore::onRefused(CallerEntry& entry, const peers::AnswerRefused& refused)
{
    if (!entry.request.idempotent) {
        // Only the coordinator may say what became of a call that may run once.
        calls::AttemptId attempt = entry.onceAttempt;
        if (refused.ran == base::RanState::NotRun && refused.code != base::RefusalCode::Leaving && refused.code != base::RefusalCode::NoCapacity)
            refuse(entry, peers::toRefusal(refused, now()));
        else if (refused.ran == base::RanState::NotRun)
            m_onceCalls.onNotSent(attempt);
        else
            m_onceCalls.onHopLost(attempt);
        return;
    }
    bool elsewhere = refused.code == base::RefusalCode::Leaving || refused.code == base::RefusalCode::NoCapacity
        || refused.code == base::RefusalCode::UpstreamFailed || refused.code == base::RefusalCode::OutcomeUnknown;
    if (elsewhere && tryElsewhere(entry, refused.ran))
        return;
    refuse(entry, peers::toRefusal(refused, now()));
}

// Routes a request anew after an upstream did not serve it. A request of which the caller has seen a part, or that may
// have run and must run only once, stays where it is.
bool GatewayCore::tryElsewhere(CallerEntry& entry, base::RanState ran)
{
    if (delivered(entry) || now() >= entry.request.deadline)
        return false;
    if (ran != base::RanState::NotRun) {
        entry.mayHaveRun = true;
        auto retriesSoFar = static_cast<int64_t>(entry.tried.size()) - 1;
        if (!m_retries.tryRetry(entry.request.idempotent, retriesSoFar))
            return false;
    }
    endDispatch(entry);
    routing::RouteDecision decision = chooseFor(entry, now());
    logDecision(decision);
    if (!decision.chosen)
        return waitForHolder(entry, decision);
    m_node.metrics().count("toucanstep_retries_total");
    // What the former upstream had sent is forgotten; the new one begins at its first chunk.
    entry.nextChunk = 0;
    entry.body.clear();
    entry.digest.clear();
    return dispatch(entry, *decision.chosen);
}

void GatewayCore::onDispatchEnd(const base::RequestId& id, int64_t attempt, const std::optional<base::Error>& error)
{
    CallerEntry* entry = find(id);
    if (!entry || entry->attempt != attempt || entry->finished)
        return;
    if (now() >= entry->request.deadline) {
        refuse(*entry, { base::RefusalCode::DeadlineExceeded, base::RanState::MayHaveRun, "the deadline passed", std::nullopt });
        return;
    }
    bool neverSent = error && error->kind == base::ErrorKind::Unavailable;
    if (!entry->request.idempotent) {
        // A reply that came has already ended the attempt; the coordinator leaves a late word about it aside.
        if (neverSent && !entry->attaches)
            m_onceCalls.onNotSent(entry->onceAttempt);
        else if (error)
            m_onceCalls.onHopLost(entry->onceAttempt);
        return;
    }
    if (neverSent && !entry->attaches) {
        if (tryElsewhere(*entry, base::RanState::NotRun))
            return;
        refuse(*entry, { base::RefusalCode::NoCapacity, base::RanState::NotRun, "the upstream cannot be reached", now() });
        return;
    }
    if (entry->attaches < (delivered(*entry) ? maximumAttachesOnceDelivered : maximumAttaches)) {
        attachLater(*entry);
        return;
    }
    if (tryElsewhere(*entry, base::RanState::MayHaveRun))
        return;
    refuse(*entry, { delivered(*entry) ? base::RefusalCode::AnswerCut : base::RefusalCode::UpstreamFailed, base::RanState::MayHaveRun, "the upstream was lost", std::nullopt });
}

void GatewayCore::refuse(CallerEntry& entry, base::Refusal refusal)
{
    if (entry.mayHaveRun && refusal.ran == base::RanState::NotRun)
        refusal.ran = base::RanState::MayHaveRun;
    m_node.metrics().count("toucanstep_refusals_total", base::concat("code=\"", refusalCodeName(refusal.code), "\""));
    base::LogLine("refused").add("request", entry.id).add("account", entry.request.account).add("target", entry.request.targetId).add("code", refusalCodeName(refusal.code)).add("ran", ranStateName(refusal.ran)).add("reason", refusal.message);
    m_node.record({ .kind = base::HistoryKind::Refused, .request = entry.id, .account = entry.request.account, .code = refusal.code, .ran = refusal.ran });
    if (entry.started && entry.request.stream) {
        // The caller must not take the part it has for the whole answer: it gets the refusal, and no end mark.
        entry.exchange->abortAfter(base::concat("data: ", refusalBody(refusal, now()), "\n\n"));
    } else {
        formats::HttpHeaders headers = refusalHeaders(refusal, now());
        headers.push_back({ "X-Request-Id", entry.id.value() });
        entry.exchange->respond(httpStatus(refusal.code), std::move(headers), refusalBody(refusal, now()));
    }
    finish(entry.id, refusal.ran == base::RanState::NotRun ? entry.request.cost() : base::Tokens(0));
}

void GatewayCore::endDispatch(CallerEntry& entry)
{
    if (entry.call)
        entry.call->cancel();
    entry.call.reset();
    if (entry.attempt)
        m_upstreams.ended(entry.upstream, entry.dispatch);
}

void GatewayCore::finish(const base::RequestId& id, base::Tokens unused)
{
    auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    std::unique_ptr<CallerEntry> entry = std::move(found->second);
    m_entries.erase(found);
    entry->finished = true;
    if (entry->request.target == peers::TargetKind::Model)
        m_demand[base::ModelId(entry->request.targetId)].busy += (now() - entry->arrivedAt).count();
    endDispatch(*entry);
    if (!entry->charged)
        return;
    base::Tokens refund = std::max(unused, base::Tokens(0));
    if (refund > base::Tokens(0))
        m_node.record({ .kind = base::HistoryKind::Refunded, .request = id, .account = entry->request.account, .tokens = refund });
    m_limits->settle(id, refund);
}

void GatewayCore::callerGone(const base::RequestId& id)
{
    CallerEntry* entry = find(id);
    if (!entry)
        return;
    base::LogLine("caller_gone").add("request", id);
    m_node.metrics().count("toucanstep_callers_gone_total");
    entry->exchange->abort();
    finish(id, entry->attempt ? base::Tokens(0) : entry->request.cost());
}

void GatewayCore::tick()
{
    m_quarantine.expire(now());
    refreshReports();
    // A listener may have stopped before its end; the deadline holds for every request whatever became of its calls.
    std::vector<base::RequestId> late;
    m_onceCalls.tick();
    for (const auto& [id, entry] : m_entries) {
        if (now() >= entry->request.deadline)
            late.push_back(id);
    }
    for (const base::RequestId& id : late) {
        if (CallerEntry* entry = find(id))
            refuse(*entry, { base::RefusalCode::DeadlineExceeded, entry->attempt ? base::RanState::MayHaveRun : base::RanState::NotRun, "the deadline passed", std::nullopt });
    }
}

nlohmann::json GatewayCore::status() const
{
    return { { "role", "gateway" }, { "leaving", m_leaving }, { "requests", m_entries.size() } };
}

} // namespace toucanstep::gateway::internal
