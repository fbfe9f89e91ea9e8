#include "CallerMemoryControl.h"

#include "toucanstep/base/LogLine.h"

namespace toucanstep::direct {

using scheduling::HeldBytes;
using scheduling::MemoryAction;
using scheduling::MemoryDecision;
using scheduling::MemoryDecisions;
using scheduling::MemoryHolder;

namespace {

// A caller that leaves bytes for this long reads slowly or not at all: it is given longer before its connection counts as broken.
constexpr auto slowAfter = std::chrono::seconds(1);

scheduling::CallerMemorySettings memorySettings(const CallerMemoryBounds& bounds)
{
    constexpr int64_t percent = 100;
    scheduling::CallerMemorySettings settings;
    settings.perCall = bounds.perCall;
    settings.perAccount = base::Bytes(bounds.total.value() / percent * bounds.accountPercent);
    settings.total = bounds.total;
    return settings;
}

} // namespace

CallerMemoryControl::CallerMemoryControl(io::EventLoop& loop, base::MetricsRegistry& metrics, const CallerMemoryBounds& bounds)
    : m_loop(loop)
    , m_metrics(metrics)
    , m_memory(memorySettings(bounds))
{
}

MemoryHolder CallerMemoryControl::add(MemoryHoldingCall& call, std::shared_ptr<http1::ServerExchange> exchange, const base::RequestId& id, const base::ClientAccountId& account)
{
    MemoryHolder holder = m_memory.add(account, m_loop.now());
    exchange->onTaken([this, holder] { onTaken(holder); });
    m_entries.emplace(holder, Entry { &call, std::move(exchange), 0, id, account, 0, m_loop.now() });
    onBuffered(holder);
    return holder;
}

HeldBytes CallerMemoryControl::heldBytes(const Entry& entry)
{
    size_t buffered = entry.call ? entry.call->bufferedAnswerBytes() : 0;
    return { base::Bytes(static_cast<int64_t>(entry.exchange->body().capacity())), base::Bytes(static_cast<int64_t>(entry.exchange->unsentBytes() + buffered)) };
}

void CallerMemoryControl::onBuffered(MemoryHolder holder)
{
    auto found = m_entries.find(holder);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    size_t unsent = entry.exchange->unsentBytes();
    // The time in which nothing is left for the caller to take is not counted against it.
    bool caughtUp = !entry.unsent;
    entry.unsent = unsent;
    if (caughtUp)
        entry.lastTaken = m_loop.now();
    apply(caughtUp && unsent ? m_memory.onTaken(holder, heldBytes(entry), m_loop.now()) : m_memory.onBuffered(holder, heldBytes(entry), m_loop.now()));
}

void CallerMemoryControl::onTaken(MemoryHolder holder)
{
    auto found = m_entries.find(holder);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    entry.unsent = entry.exchange->unsentBytes();
    entry.lastTaken = m_loop.now();
    apply(m_memory.onTaken(holder, heldBytes(entry), m_loop.now()));
}

void CallerMemoryControl::onCallEnded(MemoryHolder holder)
{
    auto found = m_entries.find(holder);
    if (found == m_entries.end())
        return;
    Entry& entry = found->second;
    entry.call = nullptr;
    entry.unsent = entry.exchange->unsentBytes();
    if (!entry.unsent) {
        m_memory.remove(holder);
        m_entries.erase(found);
        return;
    }
    entry.exchange->dropBody();
    apply(m_memory.onBuffered(holder, heldBytes(entry), m_loop.now()));
}

void CallerMemoryControl::noteUnsent(Entry& entry)
{
    bool slow = entry.unsent && m_loop.now() - entry.lastTaken > slowAfter;
    if (slow == entry.toleratesSlowCaller)
        return;
    entry.toleratesSlowCaller = slow;
    entry.exchange->tolerateSlowCaller(slow);
}

void CallerMemoryControl::tick()
{
    std::vector<MemoryHolder> ended;
    for (auto& [holder, entry] : m_entries) {
        if (!entry.exchange)
            continue;
        if (!entry.call && !entry.exchange->unsentBytes())
            ended.push_back(holder);
        else
            noteUnsent(entry);
    }
    for (MemoryHolder holder : ended) {
        m_memory.remove(holder);
        m_entries.erase(holder);
    }
    // An answer that has ended is not told of when its caller takes bytes.
    std::vector<MemoryHolder> taken;
    for (const auto& [holder, entry] : m_entries) {
        if (entry.exchange && !entry.call && entry.exchange->unsentBytes() < entry.unsent)
            taken.push_back(holder);
    }
    for (MemoryHolder holder : taken)
        onTaken(holder);
    apply(m_memory.tick(m_loop.now()));
    m_metrics.gauge("toucanstep_caller_memory_bytes", "", static_cast<double>(m_memory.held().value()));
}

void CallerMemoryControl::onUploadGrew(uint64_t connection, size_t bytes)
{
    auto [upload, added] = m_uploads.try_emplace(connection);
    if (added) {
        upload->second = m_memory.add(base::ClientAccountId(), m_loop.now());
        Entry entry;
        entry.connection = connection;
        m_entries.emplace(upload->second, std::move(entry));
    }
    apply(m_memory.onBuffered(upload->second, { base::Bytes(static_cast<int64_t>(bytes)), base::Bytes() }, m_loop.now()));
}

void CallerMemoryControl::onUploadEnded(uint64_t connection)
{
    auto upload = m_uploads.extract(connection);
    if (upload.empty())
        return;
    m_memory.remove(upload.mapped());
    m_entries.erase(upload.mapped());
}

void CallerMemoryControl::apply(const MemoryDecisions& decisions)
{
    for (const MemoryDecision& decision : decisions) {
        if (decision.action == MemoryAction::End) {
            end(decision);
            continue;
        }
        // An earlier decision may have ended it.
        auto found = m_entries.find(decision.holder);
        if (found == m_entries.end() || !found->second.call)
            continue;
        MemoryHoldingCall& call = *found->second.call;
        if (decision.action == MemoryAction::ReadPiece) {
            call.readUpstreamPiece(static_cast<size_t>(m_memory.settings().piece.value()));
            continue;
        }
        if (decision.action == MemoryAction::Pause)
            m_metrics.count("toucanstep_upstream_reads_paused_total");
        call.setUpstreamReading(decision.action == MemoryAction::Resume);
    }
}

void CallerMemoryControl::end(const MemoryDecision& decision)
{
    auto entry = m_entries.extract(decision.holder);
    if (entry.empty())
        return;
    const Entry& ended = entry.mapped();
    std::string_view kind = !ended.exchange ? "request" : (ended.call ? "call" : "answer");
    m_metrics.count("toucanstep_caller_memory_ended_total");
    base::LogLine("caller_memory_ended").add("id", ended.id).add("account", ended.account).add("kind", kind).add("bytes", decision.held).add("ms", base::toMilliseconds(decision.sinceTaken));
    if (!ended.exchange) {
        m_uploads.erase(ended.connection);
        if (m_server)
            m_server->refuseUpload(ended.connection);
    } else if (ended.call) {
        ended.call->endForMemory();
    } else if (ended.exchange->unsentBytes()) {
        ended.exchange->abort();
    }
}

} // namespace toucanstep::direct
