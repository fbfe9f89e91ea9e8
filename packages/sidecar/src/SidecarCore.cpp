#include "SidecarCore.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/node/CallCodec.h"
#include "toucanstep/placement/Checkpoints.h"
#include "toucanstep/routing/Admission.h"

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace toucanstep::sidecar::internal {

namespace {

// How long a request runs on without a gateway attached: a lost connection is noticed and replaced within this.
constexpr base::Duration detachGrace = std::chrono::seconds(4);
// How long an ended answer can still be asked for.
constexpr base::Duration answerKept = std::chrono::seconds(10);
// How long a suspected request may wait for the upstream to be idle before others wait for it.
constexpr base::Duration soloPatience = std::chrono::seconds(2);
// How long a load goes on for requests that were refused because it ends too late for them.
constexpr base::Duration loadKeptFor = std::chrono::seconds(5);
// An engine that answers nothing for this long on a stream has gone silent; its batches are much shorter.
constexpr base::Duration engineSilenceLimit = std::chrono::milliseconds(1500);
constexpr base::Duration probeTimeout = std::chrono::milliseconds(800);
constexpr int maximumResumes = 3;
constexpr size_t crashIdLength = 16;
// No model has this name: unloading it changes nothing but the newest fencing number that the engine has seen.
constexpr std::string_view fenceName = "toucanstep-fence";
constexpr size_t maximumKeptBytes = 16 * 1024 * 1024;

int64_t wallClockNanoseconds()
{
    return std::chrono::system_clock::now().time_since_epoch().count();
}

std::unique_ptr<routing::RequestQueue> makeQueue(QueueMode mode)
{
    return mode == QueueMode::Fair ? routing::makeFairQueue({}) : routing::makeFifoQueue();
}

std::unique_ptr<placement::KeepAlivePolicy> makeKeepAlive(const SidecarOptions& options)
{
    return options.keepAlive == KeepAliveMode::Learnt ? placement::makeLearntKeepAlive({}) : placement::makeFixedKeepAlive(options.fixedKeepAlive);
}

placement::EngineModelState toState(formats::EngineModelPhase phase)
{
    switch (phase) {
    case formats::EngineModelPhase::Loading:
        return placement::EngineModelState::Loading;
    case formats::EngineModelPhase::Unloading:
        return placement::EngineModelState::Unloading;
    case formats::EngineModelPhase::Ready:
        break;
    }
    return placement::EngineModelState::Ready;
}

placement::OrderOutcome toOutcome(const std::optional<base::Error>& error)
{
    if (!error)
        return placement::OrderOutcome::Done;
    bool noEffect = error->kind == base::ErrorKind::Rejected || error->kind == base::ErrorKind::Unavailable;
    return noEffect ? placement::OrderOutcome::Rejected : placement::OrderOutcome::TimedOut;
}

peers::ModelPhase toPhase(placement::ResidencyState state, bool usable)
{
    if (usable)
        return peers::ModelPhase::Loaded;
    bool loading = state == placement::ResidencyState::Loading || state == placement::ResidencyState::Reserved;
    return loading ? peers::ModelPhase::Loading : peers::ModelPhase::Cold;
}

// Server-sent events that carry a token; the end mark and comments do not.
bool carriesToken(std::string_view piece)
{
    return piece.substr(0, 5) == "data:" && piece.find("[DONE]") == std::string_view::npos;
}

base::Refusal refusal(base::RefusalCode code, base::RanState ran, std::string message, std::optional<base::Instant> retryAt = std::nullopt)
{
    return base::Refusal { code, ran, std::move(message), retryAt };
}

} // namespace

// One call of the engine for one request. The engine's callbacks come on the HTTP client's thread and are carried over.
class SidecarCore::Generation final : public formats::GenerationListener, public std::enable_shared_from_this<Generation> {
public:
    Generation(SidecarCore& core, EntryKey key)
        : m_loop(core.m_node.traffic())
        , m_core(core)
        , m_key(std::move(key))
    {
    }

    void onStart(int status, std::string contentType) override
    {
        onLoop([this, status, contentType = std::move(contentType)] {
            RequestEntry* entry = m_core.m_requests.find(m_key);
            if (!entry || entry->start)
                return;
            entry->start = peers::AnswerStart { status, contentType };
            m_core.send(*entry, *entry->start, true);
        });
    }

    void onPiece(std::string bytes) override
    {
        onLoop([this, bytes = std::move(bytes)]() mutable { m_core.onChunk(m_key, std::move(bytes)); });
    }

    void onEnd(formats::GenerationEnd end) override
    {
        onLoop([this, end = std::move(end)] { m_core.onRunEnd(m_key, end); });
    }

    // Ends the engine's work, and with it every later callback.
    void detach()
    {
        m_detached = true;
        m_handle.reset();
    }

    void setHandle(std::unique_ptr<formats::HttpCallHandle> handle) { m_handle = std::move(handle); }

private:
    template <typename Task>
    void onLoop(Task task)
    {
        m_loop.post([self = shared_from_this(), task = std::move(task)]() mutable {
            if (!self->m_detached)
                task();
        });
    }

    io::EventLoop& m_loop;
    SidecarCore& m_core;
    EntryKey m_key;
    std::unique_ptr<formats::HttpCallHandle> m_handle;
    bool m_detached = false;
};

SidecarCore::SidecarCore(node::Node& node, SidecarOptions options)
    : m_node(node)
    , m_options(options)
    , m_incarnation(wallClockNanoseconds())
    , m_configuration(node.configuration())
    , m_engine(formats::makeEngineClient(node.settings().upstreamUrl, node.http()))
    , m_queue(makeQueue(m_options.queue))
    , m_solo(soloPatience)
    , m_services(node)
    , m_permits(node)
{
}

SidecarCore::~SidecarCore()
{
    for (auto& [key, generation] : m_generations)
        generation->detach();
}

void SidecarCore::onConfiguration(std::shared_ptr<const config::Configuration> configuration)
{
    m_configuration = std::move(configuration);
    m_pool = m_configuration->findPool(m_node.settings().pool);
    if (!m_pool)
        return;
    if (!m_residency && m_pool->kind == config::PoolKind::Engines) {
        placement::ResidencySettings settings;
        settings.capacity = m_pool->memory;
        settings.fencing = m_pool->capabilities.fencing;
        m_residency = std::make_unique<placement::ResidencyManager>(settings, makeKeepAlive(m_options), base::Epoch(m_incarnation), now());
    }
    if (m_residency) {
        std::vector<placement::ModelSpec> specs;
        for (const config::Model& model : m_configuration->models) {
            if (model.pool != m_pool->id)
                continue;
            auto tier = m_cachedOnDisk.contains(model.id) ? placement::CheckpointTier::Disk : placement::CheckpointTier::Remote;
            specs.push_back({ model.id, model.memory, placement::loadTime(model.checkpoint, tier, m_configuration->loads), model.baseModel });
            if (m_options.placement == PlacementMode::OnDemand)
                m_residency->grantRow(model.id, base::Epoch(m_incarnation));
        }
        m_residency->setModelSpecs(std::move(specs));
    }
    // Queued requests of keys that are no longer in the text are refused; running answers finish.
    std::set<base::KeyFingerprint> withdrawn;
    for (const EntryKey& key : m_requests.keys()) {
        RequestEntry* entry = m_requests.find(key);
        const config::ClientAccount* account = m_configuration->findAccountByKey(entry->message.key);
        if (entry->state == RequestState::Queued && (!account || account->id != entry->message.account))
            withdrawn.insert(entry->message.key);
    }
    for (const base::KeyFingerprint& key : withdrawn) {
        for (const routing::RefusedRequest& refused : m_queue->removeKey(key)) {
            if (RequestEntry* entry = m_requests.find(EntryKey(refused.request.id.value())))
                refuse(*entry, refusal(base::RefusalCode::Unauthorized, base::RanState::NotRun, "no account has this key"));
        }
    }
}

void SidecarCore::onRows(const std::map<base::ModelId, base::Epoch>& rows)
{
    if (m_options.placement == PlacementMode::OnDemand || !m_residency)
        return;
    for (const auto& [model, epoch] : m_rows) {
        if (!rows.contains(model))
            m_residency->withdrawRow(model);
    }
    for (const auto& [model, epoch] : rows) {
        auto known = m_rows.find(model);
        if (known == m_rows.end() || known->second != epoch)
            m_residency->grantRow(model, epoch);
    }
    m_rows = rows;
}

// ---- arrival

SidecarCore::Refused SidecarCore::reasonToRefuse(const peers::RunRequest& request, const config::ClientAccount* account, base::Instant now) const
{
    using base::RanState;
    using base::RefusalCode;
    if (m_leaving)
        return refusal(RefusalCode::Leaving, RanState::NotRun, "this upstream is leaving");
    if (!m_pool)
        return refusal(RefusalCode::StaleConfiguration, RanState::NotRun, "this sidecar has no configuration for its pool yet");
    // The gateway has checked the key; checking it again means that a withdrawn key needs two stale processes to work.
    if (!account || account->id != request.account)
        return refusal(RefusalCode::Unauthorized, RanState::NotRun, "no account has this key");
    if (request.target == peers::TargetKind::Model) {
        const config::Model* model = m_configuration->findModel(base::ModelId(request.targetId));
        if (!model || model->pool != m_pool->id || !m_residency)
            return refusal(RefusalCode::UnknownModel, RanState::NotRun, "this model is not served here");
        if (!m_residency->holdsRow(model->id))
            return refusal(RefusalCode::NoCapacity, RanState::NotRun, "this upstream does not hold the model");
    } else {
        const config::Service* service = m_configuration->findService(base::ServiceId(request.targetId));
        if (!service || service->pool != m_pool->id)
            return refusal(RefusalCode::UnknownService, RanState::NotRun, "this service is not offered here");
    }
    return m_quarantine.refusal(routing::RequestFingerprint(request.fingerprint), now);
}

void SidecarCore::onRun(const peers::IncomingCall& call, std::shared_ptr<peers::PeerResponder> responder)
{
    base::Error error;
    auto message = base::valueOr(error, [&] { return peers::decodeRunRequest(call.body); });
    if (!message) {
        base::LogLine("run_rejected").add("from", call.from).add("reason", error.message);
        responder->abort();
        return;
    }
    EntryKey key = entryKey(message->request, message->attempt);
    if (RequestEntry* known = m_requests.find(key)) {
        // The same dispatch came twice; it runs once.
        attach(*known, std::move(responder), 0);
        return;
    }
    base::Instant arrived = now();
    m_node.versionSeen(call.from, message->configuration);
    m_lastDispatch[call.from] = std::max(m_lastDispatch[call.from], message->dispatchNumber);
    RequestEntry entry;
    entry.key = key;
    entry.gateway = call.from;
    entry.deadline = arrived + message->remaining;
    entry.message = std::move(*message);
    RequestEntry& added = m_requests.add(std::move(entry));
    attach(added, std::move(responder), 0);

    const config::ClientAccount* account = m_configuration->findAccountByKey(added.message.key);
    if (auto reason = reasonToRefuse(added.message, account, arrived)) {
        refuse(added, *reason);
        return;
    }
    enqueue(added, *account, arrived);
}

routing::QueuedRequest SidecarCore::queuedForm(const RequestEntry& entry, const config::ClientAccount& account) const
{
    const config::RequestKind* kind = m_configuration->findKind(config::KindId(entry.message.kind));
    routing::QueuedRequest queued;
    queued.id = base::RequestId(entry.key.value());
    queued.account = account.id;
    queued.key = entry.message.key;
    queued.model = base::ModelId(entry.message.target == peers::TargetKind::Model ? entry.message.targetId : std::string());
    queued.accountWeight = account.weight;
    queued.kind = entry.message.kind;
    queued.kindWeight = kind ? kind->weight : 1;
    queued.cost = entry.message.promptTokens + entry.message.maximumTokens;
    queued.latestStart = entry.deadline;
    return queued;
}

routing::UpstreamLoad SidecarCore::load() const
{
    routing::UpstreamLoad load;
    load.slots = m_pool ? m_pool->slots : 1;
    load.tokensPerSecond = m_pool ? m_pool->tokensPerSecond : 1;
    for (const EntryKey& key : m_requests.keys()) {
        const RequestEntry* entry = const_cast<RequestTable&>(m_requests).find(key);
        if (entry->state != RequestState::Running)
            continue;
        ++load.inFlight;
        load.inFlightTokens += base::Tokens(std::max<int64_t>(0, entry->message.maximumTokens.value() - entry->tokens));
    }
    load.backlog = m_queue->backlog();
    return load;
}

void SidecarCore::enqueue(RequestEntry& entry, const config::ClientAccount& account, base::Instant now)
{
    routing::QueuedRequest queued = queuedForm(entry, account);
    routing::AdmissionRequest admission;
    admission.request = { account.id, account.weight, queued.cost };
    admission.deadline = entry.deadline;
    if (m_residency && !queued.model.empty()) {
        entry.cold = !m_residency->usable(queued.model);
        // Before the check, so that the expected end is that of a load which begins now.
        m_residency->addWaiter(queued.model, queued.id, entry.deadline, now);
        if (entry.cold)
            admission.expectedLoadEnd = m_residency->expectedLoadEnd(queued.model, now);
    }
    routing::AdmissionVerdict verdict = routing::admit(admission, load(), now);
    Refused reason = verdict.refusal;
    if (!reason)
        reason = m_queue->push(queued, verdict.expectedWait, now);
    if (reason) {
        if (entry.cold) {
            // The caller is told when to come back; the load goes on, so that the next try finds the model loaded.
            base::Instant until = admission.expectedLoadEnd.value_or(now) + loadKeptFor;
            m_loadKeepers[queued.id] = { queued.model, until };
        } else if (m_residency && !queued.model.empty())
            m_residency->removeWaiter(queued.model, queued.id, now);
        refuse(entry, *reason);
        pump();
        return;
    }
    logEntry("queued", entry, entry.cold ? "cold" : "warm");
    pump();
}

// ---- running

void SidecarCore::tick()
{
    base::Instant at = now();
    for (const EntryKey& key : m_requests.due(at, detachGrace)) {
        RequestEntry* entry = m_requests.find(key);
        if (entry->state == RequestState::Ended) {
            m_requests.erase(key);
            continue;
        }
        if (entry->detachedAt && at >= *entry->detachedAt + detachGrace) {
            cancelEntry(*entry);
            continue;
        }
        refuse(*entry, refusal(base::RefusalCode::DeadlineExceeded, base::RanState::MayHaveRun, "the deadline passed while the answer was being made"));
    }
    for (auto keeper = m_loadKeepers.begin(); keeper != m_loadKeepers.end();) {
        const auto& [model, until] = keeper->second;
        if (at < until && !m_residency->usable(model)) {
            ++keeper;
            continue;
        }
        m_residency->removeWaiter(model, keeper->first, at);
        keeper = m_loadKeepers.erase(keeper);
    }
    m_quarantine.expire(at);
    m_services.tick();
    pump();
}

void SidecarCore::pump()
{
    base::Instant at = now();
    for (const routing::RefusedRequest& expired : m_queue->takeExpired(at)) {
        if (RequestEntry* entry = m_requests.find(EntryKey(expired.request.id.value())))
            refuse(*entry, expired.refusal);
    }
    runResidency(at);
    if (!m_pool)
        return;
    m_suspectQueued = false;
    while (inFlight() < m_pool->slots) {
        auto next = m_queue->pop(at, [&](const routing::QueuedRequest& queued) { return mayStart(queued, at); });
        if (!next) {
            // Everything queued was looked at.
            if (!m_suspectQueued)
                m_solo.noIsolatedRequestQueued();
            return;
        }
        RequestEntry* entry = m_requests.find(EntryKey(next->id.value()));
        if (entry)
            startRun(*entry, at);
    }
}

bool SidecarCore::mayStart(const routing::QueuedRequest& queued, base::Instant now)
{
    RequestEntry* entry = m_requests.find(EntryKey(queued.id.value()));
    if (!entry)
        return false;
    if (!queued.model.empty() && !m_residency->usable(queued.model))
        return false;
    auto state = m_quarantine.state(routing::RequestFingerprint(entry->message.fingerprint), now);
    if (state == routing::QuarantineState::Isolated) {
        m_suspectQueued = true;
        m_solo.isolatedRequestQueued(now);
    }
    return m_solo.mayStart(state, inFlight(), now);
}

void SidecarCore::startRun(RequestEntry& entry, base::Instant now)
{
    base::ModelId model(entry.message.targetId);
    bool isModel = entry.message.target == peers::TargetKind::Model;
    routing::RequestFingerprint fingerprint(entry.message.fingerprint);
    if (auto reason = m_quarantine.refusal(fingerprint, now)) {
        refuse(entry, *reason);
        return;
    }
    if (isModel) {
        bool usable = m_residency->beginUse(model, now);
        m_residency->removeWaiter(model, base::RequestId(entry.key.value()), now);
        if (!usable) {
            refuse(entry, refusal(base::RefusalCode::NoCapacity, base::RanState::NotRun, "the model was unloaded"));
            return;
        }
    }
    entry.state = RequestState::Running;
    entry.startedAt = now;
    m_solo.started(base::RequestId(entry.key.value()), m_quarantine.state(fingerprint, now));
    m_node.metrics().count("toucanstep_runs_total", base::concat("cold=\"", entry.cold ? "true" : "false", "\""));
    logEntry("run_started", entry, entry.cold ? "cold" : "warm");
    recordRun(base::HistoryKind::WorkGiven, entry);
    // A call that may run only once begins to run when its claim stands.
    if (entry.message.callDispatch.empty())
        recordRun(base::HistoryKind::RunStarted, entry);
    if (isModel)
        callEngine(entry);
    else
        callService(entry);
}

void SidecarCore::recordRun(base::HistoryKind kind, const RequestEntry& entry)
{
    base::HistoryEvent event { .kind = kind, .request = entry.message.request, .account = entry.message.account, .upstream = base::UpstreamId(m_node.settings().instance.value()) };
    if (entry.message.target == peers::TargetKind::Model)
        event.model = base::ModelId(entry.message.targetId);
    else
        event.service = base::ServiceId(entry.message.targetId);
    event.digest = entry.digest;
    m_node.record(event);
}

void SidecarCore::callService(RequestEntry& entry)
{
    m_serviceRuns.insert(entry.key);
    EntryKey key = entry.key;
    if (entry.message.callDispatch.empty()) {
        m_services.passThrough(entry.message, entry.deadline, [this, key](const formats::HttpReply& reply) { onServiceAnswer(key, reply); });
        return;
    }
    base::Error error;
    auto dispatch = base::valueOr(error, [&] { return node::decodeDispatch(entry.message.callDispatch); });
    // The record's key decides what may run: it has to be that of the account whose key came with the request.
    if (!dispatch || dispatch->key.account != entry.message.account || dispatch->key.service.value() != entry.message.targetId) {
        refuse(entry, refusal(base::RefusalCode::BadRequest, base::RanState::NotRun, "the call does not name its own account and service"));
        return;
    }
    auto began = [this, key] {
        if (const RequestEntry* running = m_requests.find(key))
            recordRun(base::HistoryKind::RunStarted, *running);
    };
    m_services.runOnce(*dispatch, entry.message, entry.deadline, began, [this, key](const calls::CallReply& reply) { onCallReply(key, reply); });
}

void SidecarCore::onServiceAnswer(const EntryKey& key, const formats::HttpReply& reply)
{
    RequestEntry* entry = m_requests.find(key);
    if (!entry || entry->state != RequestState::Running)
        return;
    if (reply.error) {
        auto ran = reply.error->kind == base::ErrorKind::Unavailable ? base::RanState::NotRun : base::RanState::MayHaveRun;
        refuse(*entry, refusal(base::RefusalCode::UpstreamFailed, ran, reply.error->message));
        return;
    }
    entry->start = peers::AnswerStart { reply.status, std::string(formats::findHeader(reply.headers, "Content-Type")) };
    send(*entry, *entry->start, false);
    if (!reply.body.empty())
        onChunk(key, reply.body);
    peers::AnswerEnd ending;
    ending.chunks = static_cast<int64_t>(entry->chunks.size());
    ending.usedTokens = entry->message.promptTokens;
    finishRun(*entry, ending);
}

void SidecarCore::onCallReply(const EntryKey& key, const calls::CallReply& reply)
{
    RequestEntry* entry = m_requests.find(key);
    if (!entry || entry->state != RequestState::Running)
        return;
    finishRun(*entry, peers::AnswerCall { node::encodeReply(reply) });
}

void SidecarCore::onRowReleased(const base::ModelId& model)
{
    if (m_residency && !m_rows.contains(model))
        m_residency->dropRow(model);
}

void SidecarCore::callEngine(RequestEntry& entry)
{
    formats::GenerationCall call;
    call.path = entry.message.path;
    call.contentType = entry.message.contentType;
    call.body = entry.message.body;
    call.request = entry.message.request;
    call.deadline = entry.deadline;
    call.resumeOffset = entry.tokens;
    if (entry.message.stream)
        call.silenceLimit = engineSilenceLimit;
    auto generation = std::make_shared<Generation>(*this, entry.key);
    if (auto old = m_generations.find(entry.key); old != m_generations.end())
        old->second->detach();
    m_generations[entry.key] = generation;
    generation->setHandle(m_engine->generate(std::move(call), generation));
}

void SidecarCore::onChunk(const EntryKey& key, std::string bytes)
{
    RequestEntry* entry = m_requests.find(key);
    if (!entry || entry->state != RequestState::Running)
        return;
    if (entry->message.stream && carriesToken(bytes))
        ++entry->tokens;
    entry->keptBytes += bytes.size();
    if (entry->keptBytes > maximumKeptBytes) {
        refuse(*entry, refusal(base::RefusalCode::AnswerCut, base::RanState::Ran, "the answer is larger than a sidecar keeps"));
        return;
    }
    if (m_node.recordsHistory())
        entry->digest = base::sha256Hex(entry->digest + bytes);
    entry->chunks.push_back(std::move(bytes));
    send(*entry, peers::AnswerChunk { static_cast<int64_t>(entry->chunks.size()) - 1, entry->chunks.back() }, false);
}

void SidecarCore::onRunEnd(const EntryKey& key, const formats::GenerationEnd& end)
{
    RequestEntry* entry = m_requests.find(key);
    if (!entry || entry->state != RequestState::Running)
        return;
    if (end.whole && !end.error) {
        peers::AnswerEnd ending;
        ending.chunks = static_cast<int64_t>(entry->chunks.size());
        ending.usedTokens = entry->message.stream ? base::Tokens(entry->tokens) + entry->message.promptTokens : entry->message.promptTokens + entry->message.maximumTokens;
        ending.cold = entry->cold;
        finishRun(*entry, ending);
        return;
    }
    bool resumable = m_pool && m_pool->capabilities.resume && entry->message.stream && entry->resumes < maximumResumes;
    suspectCrash(*entry);
    if (resumable && now() < entry->deadline) {
        ++entry->resumes;
        logEntry("stream_resumed", *entry, end.error ? end.error->message : "broke off");
        callEngine(*entry);
        return;
    }
    bool delivered = !entry->chunks.empty();
    // The last try alone does not tell: an earlier one of this request may have run until the upstream crashed.
    bool neverReached = end.error && end.error->kind == base::ErrorKind::Unavailable && !delivered && !entry->resumes;
    auto ran = neverReached ? base::RanState::NotRun : base::RanState::MayHaveRun;
    refuse(*entry, refusal(delivered ? base::RefusalCode::AnswerCut : base::RefusalCode::UpstreamFailed, ran, end.error ? end.error->message : "the upstream broke the answer off"));
}

void SidecarCore::finishRun(RequestEntry& entry, peers::RunEventBody ending)
{
    base::Instant at = now();
    base::RequestId id(entry.key.value());
    if (entry.state == RequestState::Running) {
        recordRun(base::HistoryKind::RunEnded, entry);
        if (entry.message.target == peers::TargetKind::Model)
            m_residency->endUse(base::ModelId(entry.message.targetId), at);
        m_solo.ended(id);
        m_serviceRuns.erase(entry.key);
        if (auto generation = m_generations.find(entry.key); generation != m_generations.end()) {
            generation->second->detach();
            m_generations.erase(generation);
        }
    }
    entry.state = RequestState::Ended;
    entry.forgetAt = at + answerKept;
    entry.ending = std::move(ending);
    send(entry, *entry.ending, true);
    if (entry.responder)
        entry.responder->finish();
    // The freed slot goes to the next request, outside the caller's iteration.
    if (!std::exchange(m_pumpPosted, true)) {
        m_node.traffic().post([this] {
            m_pumpPosted = false;
            pump();
        });
    }
}

void SidecarCore::takeOutOfQueue(RequestEntry& entry)
{
    base::RequestId id(entry.key.value());
    m_queue->cancel(id);
    bool kept = m_loadKeepers.contains(id);
    if (m_residency && entry.message.target == peers::TargetKind::Model && !kept)
        m_residency->removeWaiter(base::ModelId(entry.message.targetId), id, now());
}

void SidecarCore::refuse(RequestEntry& entry, const base::Refusal& reason)
{
    if (entry.state == RequestState::Ended)
        return;
    if (entry.state == RequestState::Queued)
        takeOutOfQueue(entry);
    m_node.metrics().count("toucanstep_refusals_total", base::concat("code=\"", refusalCodeName(reason.code), "\""));
    logEntry("refused", entry, refusalCodeName(reason.code));
    finishRun(entry, peers::toMessage(reason, now()));
}

void SidecarCore::cancelEntry(RequestEntry& entry)
{
    refuse(entry, refusal(base::RefusalCode::UpstreamFailed, entry.state == RequestState::Queued ? base::RanState::NotRun : base::RanState::MayHaveRun, "the caller left"));
    m_requests.erase(entry.key);
}

// ---- crashes

// A request can crash the engine, and its caller sends it again: every engine that runs it would go down. All that ran
// when a stream broke are suspects, if the engine has then lost what it had loaded or does not answer.
void SidecarCore::suspectCrash(const RequestEntry& broken)
{
    if (m_crashProbeRunning || !m_residency)
        return;
    m_crashProbeRunning = true;
    std::vector<routing::RequestFingerprint> suspects { routing::RequestFingerprint(broken.message.fingerprint) };
    for (const auto& [key, generation] : m_generations) {
        if (key != broken.key)
            suspects.emplace_back(m_requests.find(key)->message.fingerprint);
    }
    base::ModelId model(broken.message.targetId);
    m_engine->index(now() + probeTimeout, [this, loop = &m_node.traffic(), suspects = std::move(suspects), model](base::Outcome<std::vector<formats::EngineModel>> outcome) {
        const config::Model* known = m_configuration->findModel(model);
        bool alive = false;
        if (auto* models = std::get_if<std::vector<formats::EngineModel>>(&outcome)) {
            for (const formats::EngineModel& entry : *models)
                alive = alive || (known && entry.name == known->repositoryName && entry.phase == formats::EngineModelPhase::Ready);
        }
        loop->post([this, suspects, alive] { onCrashProbe(suspects, alive); });
    });
}

void SidecarCore::onCrashProbe(const std::vector<routing::RequestFingerprint>& suspects, bool alive)
{
    m_crashProbeRunning = false;
    if (alive)
        return;
    ++m_crashes;
    std::string name = base::concat(m_node.settings().instance, "/", m_node.startNonce(), "/", m_crashes);
    // Shortened to a digest, so that a strike fits into the bounded hints of the membership messages.
    routing::CrashId crash(base::sha256Hex(name).substr(0, crashIdLength));
    m_quarantine.onCrash(crash, suspects, now());
    m_strikesChanged = true;
    m_residency->onUpstreamCrashed(now());
    m_node.metrics().count("toucanstep_upstream_crashes_total");
    base::LogLine("upstream_crashed").add("crash", crash).add("suspects", static_cast<int64_t>(suspects.size()));
}

// ---- loads

void SidecarCore::runResidency(base::Instant now)
{
    if (!m_residency)
        return;
    auto permitted = [this](const base::ModelId& model, base::Instant earliestDeadline) { return mayLoad(model, earliestDeadline); };
    for (const placement::ResidencyOrder& order : m_residency->tick(now, permitted))
        carryOut(order);
}

bool SidecarCore::mayLoad(const base::ModelId& id, base::Instant earliestDeadline)
{
    // What lies on the host's disk does not burden the weight store.
    const config::Model* model = m_configuration->findModel(id);
    if (!m_options.loadPermits || !model || m_cachedOnDisk.contains(id))
        return true;
    const config::RequestKind* kind = m_configuration->findKind(model->kind);
    PermitNeed need;
    need.model = id;
    need.kind = model->baseModel ? placement::PermitKind::Adapter : placement::PermitKind::Model;
    need.earliestDeadline = earliestDeadline;
    need.weight = kind ? kind->weight : 1;
    need.loadTime = placement::loadTime(model->checkpoint, placement::CheckpointTier::Remote, m_configuration->loads);
    return m_permits.permitted(need);
}

void SidecarCore::carryOut(const placement::ResidencyOrder& order)
{
    if (order.kind == placement::OrderKind::ReadIndex) {
        readIndex(order);
        return;
    }
    const config::Model* model = m_configuration->findModel(order.model);
    formats::EngineOrder engineOrder;
    // The process's epoch is a time in nanoseconds; orders count on from there, so that each refuses all before it.
    engineOrder.fence = order.epoch + base::Epoch(order.id.value());
    engineOrder.deadline = order.deadline;
    if (model) {
        engineOrder.name = model->repositoryName;
        engineOrder.version = model->version;
        const config::Model* baseModel = model->baseModel ? m_configuration->findModel(*model->baseModel) : nullptr;
        engineOrder.baseName = baseModel ? baseModel->repositoryName : std::string();
    } else
        engineOrder.name = order.model.empty() ? std::string(fenceName) : order.model.value();
    base::LogLine("engine_order").add("kind", order.kind == placement::OrderKind::Load ? "load" : order.kind == placement::OrderKind::Unload ? "unload"
                                                                                                                                             : "raise_fence")
        .add("model", order.model)
        .add("epoch", order.epoch)
        .add("order", order.id);
    auto onDone = [this, loop = &m_node.traffic(), order](std::optional<base::Error> error) {
        loop->post([this, order, error = std::move(error)] {
            if (error)
                base::LogLine("engine_order_failed").add("order", order.id).add("reason", error->message);
            else if (order.kind == placement::OrderKind::Load)
                m_cachedOnDisk.insert(order.model);
            if (order.kind == placement::OrderKind::Load)
                m_permits.done(order.model);
            m_residency->onOrderResult(order.id, toOutcome(error), now());
            // After a failure the next tick decides, so that an engine that refuses everything is not asked in a loop.
            if (!error)
                pump();
        });
    };
    if (order.kind == placement::OrderKind::Load)
        m_engine->load(std::move(engineOrder), onDone);
    else
        m_engine->unload(std::move(engineOrder), onDone);
}

void SidecarCore::readIndex(const placement::ResidencyOrder& order)
{
    base::Instant began = now();
    m_engine->index(order.deadline, [this, loop = &m_node.traffic(), order, began](base::Outcome<std::vector<formats::EngineModel>> outcome) {
        loop->post([this, order, began, outcome = std::move(outcome)] {
            auto* models = std::get_if<std::vector<formats::EngineModel>>(&outcome);
            if (!models) {
                m_residency->onOrderResult(order.id, toOutcome(std::get<base::Error>(outcome)), now());
                return;
            }
            placement::EngineIndex index;
            index.readBegan = began;
            for (const formats::EngineModel& model : *models) {
                // The engine knows names, the text knows ids.
                auto known = std::find_if(m_configuration->models.begin(), m_configuration->models.end(), [&](const config::Model& candidate) { return candidate.repositoryName == model.name && m_pool && candidate.pool == m_pool->id; });
                base::ModelId id = known == m_configuration->models.end() ? base::ModelId(model.name) : known->id;
                index.entries.push_back({ id, toState(model.phase) });
            }
            m_residency->onOrderResult(order.id, placement::OrderOutcome::Done, now());
            m_residency->onIndex(index, now());
            pump();
        });
    });
}

// ---- answers

void SidecarCore::attach(RequestEntry& entry, std::shared_ptr<peers::PeerResponder> responder, int64_t nextChunk)
{
    entry.responder = responder;
    entry.detachedAt.reset();
    EntryKey key = entry.key;
    std::weak_ptr<peers::PeerResponder> weak = responder;
    responder->onClosed([this, key, weak](peers::CloseReason reason) {
        RequestEntry* closed = m_requests.find(key);
        // A gateway that has attached again on another connection is not affected by the end of the old one.
        if (!closed || closed->responder != weak.lock())
            return;
        closed->responder.reset();
        if (reason == peers::CloseReason::Cancelled && closed->state != RequestState::Ended)
            cancelEntry(*closed);
        else
            closed->detachedAt = now();
    });
    if (entry.start)
        send(entry, *entry.start, true);
    for (auto index = static_cast<size_t>(nextChunk); index < entry.chunks.size(); ++index)
        send(entry, peers::AnswerChunk { static_cast<int64_t>(index), entry.chunks[index] }, false);
    if (!entry.ending)
        return;
    send(entry, *entry.ending, true);
    responder->finish();
}

void SidecarCore::onAttach(const peers::IncomingCall& call, std::shared_ptr<peers::PeerResponder> responder)
{
    base::Error error;
    auto message = base::valueOr(error, [&] { return peers::decodeAttachRequest(call.body); });
    if (!message) {
        responder->abort();
        return;
    }
    RequestEntry* entry = m_requests.find(entryKey(message->request, message->attempt));
    if (entry && entry->gateway == call.from) {
        attach(*entry, std::move(responder), message->nextChunk);
        return;
    }
    // Never heard of, or forgotten: whether it ran is not known here.
    peers::RunEvent event { message->request, std::nullopt, peers::AnswerRefused { base::RefusalCode::OutcomeUnknown, base::RanState::MayHaveRun, "this sidecar does not know the request" } };
    responder->send(peers::encode(event));
    responder->finish();
}

void SidecarCore::onReport(const peers::IncomingCall& call, const std::shared_ptr<peers::PeerResponder>& responder)
{
    responder->send(peers::encode(peers::RunEvent { {}, report(call.from, base::ModelId(call.body)), peers::AnswerReport {} }));
    responder->finish();
}

void SidecarCore::send(RequestEntry& entry, peers::RunEventBody body, bool withReport)
{
    if (!entry.responder)
        return;
    peers::RunEvent event { entry.message.request, std::nullopt, std::move(body) };
    if (withReport)
        event.report = report(entry.gateway, base::ModelId(entry.message.targetId));
    entry.responder->send(peers::encode(event));
}

peers::SidecarReport SidecarCore::report(const base::InstanceId& gateway, const base::ModelId& model) const
{
    routing::UpstreamLoad figures = load();
    peers::SidecarReport report;
    report.incarnation = m_incarnation;
    report.sequence = ++m_reportSequence;
    report.slots = figures.slots;
    report.tokensPerSecond = figures.tokensPerSecond;
    report.inFlight = figures.inFlight;
    report.inFlightTokens = figures.inFlightTokens;
    auto dispatch = m_lastDispatch.find(gateway);
    report.lastDispatchSeen = dispatch == m_lastDispatch.end() ? 0 : dispatch->second;
    report.leaving = m_leaving;
    report.quarantining = m_solo.isolatedRequestRunning();
    report.configuration = m_configuration->version;
    for (const routing::AccountBacklog& backlog : figures.backlog)
        report.queues.push_back({ backlog.account, backlog.weight, backlog.queued, backlog.servedPerSecond });
    if (m_residency && !model.empty()) {
        report.phase = toPhase(m_residency->state(model), m_residency->usable(model));
        if (auto end = m_residency->expectedLoadEnd(model, now()); end && report.phase != peers::ModelPhase::Loaded)
            report.loadRemaining = base::remaining(now(), *end);
    }
    return report;
}

void SidecarCore::setLeaving()
{
    m_leaving = true;
    m_node.record({ .kind = base::HistoryKind::UpstreamLeaving, .upstream = base::UpstreamId(m_node.settings().instance.value()) });
}

void SidecarCore::mergeStrikes(const std::vector<routing::StrikeMessage>& strikes)
{
    m_quarantine.merge(strikes, now());
}

std::optional<std::vector<routing::StrikeMessage>> SidecarCore::takeChangedStrikes()
{
    if (!std::exchange(m_strikesChanged, false))
        return std::nullopt;
    return m_quarantine.exportStrikes(now());
}

bool SidecarCore::idle() const
{
    return m_requests.countIn(RequestState::Queued) == 0 && m_requests.countIn(RequestState::Running) == 0;
}

nlohmann::json SidecarCore::status() const
{
    nlohmann::json status {
        { "role", "sidecar" },
        { "pool", m_node.settings().pool.value() },
        { "leaving", m_leaving },
        { "queued", m_requests.countIn(RequestState::Queued) },
        { "running", m_requests.countIn(RequestState::Running) },
        { "crashes", m_crashes },
    };
    if (m_residency) {
        status["memory_taken"] = m_residency->reservedMemory().value();
        status["memory_capacity"] = m_residency->capacity().value();
        nlohmann::json loaded = nlohmann::json::array();
        for (const base::ModelId& model : m_residency->loaded())
            loaded.push_back(model.value());
        status["loaded"] = loaded;
        status["rows"] = m_rows.size();
    }
    return status;
}

void SidecarCore::logEntry(std::string_view event, const RequestEntry& entry, std::string_view reason) const
{
    base::LogLine(event).add("request", entry.message.request).add("attempt", entry.message.attempt).add("account", entry.message.account).add("target", entry.message.targetId).add("reason", reason).add("version", m_configuration->version);
}

} // namespace toucanstep::sidecar::internal
