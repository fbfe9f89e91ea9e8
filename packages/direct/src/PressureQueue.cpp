#include "PressureQueue.h"

#include "ProxiedCall.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace toucanstep::direct {

namespace {

WaitingCall describe(const ProxiedCall& call)
{
    return { call.queue(), call.priority(), call.queueClass(), call.account(), call.queueCost(), call.hasTarget() ? call.lateFrom() : base::Instant::max(), call.waitNumber() ? call.waitNumber() : UINT64_MAX };
}

bool waitsForSlot(const ProxiedCall& call)
{
    return call.blockReason() == BlockReason::Full;
}

} // namespace

PressureQueue::PressureQueue(const CallTimes& callTimes, SlotShare& slotShare, base::MetricsRegistry& metrics)
    : m_callTimes(callTimes)
    , m_slotShare(slotShare)
    , m_metrics(metrics)
{
}

std::vector<std::shared_ptr<ProxiedCall>> PressureQueue::beginPass(const WaitingCalls& waiting, base::Instant now)
{
    std::vector<WaitingCall> described;
    std::vector<std::shared_ptr<ProxiedCall>> calls;
    WaitingAccounts accounts;
    m_queued.clear();
    for (const auto& [number, call] : waiting) {
        described.push_back(describe(*call));
        calls.push_back(call);
        if (!waitsForSlot(*call))
            continue;
        accounts[call->queue()].insert(call->account());
        if (described.back().queueClass != QueueClass::Late)
            ++m_queued[call->queue()][call->priority()][call->account()];
    }
    addWaitingAccounts(accounts, m_slotShare.peerAccounts());
    m_shares.onWaiting(std::move(accounts), now);
    auto cost = std::accumulate(described.begin(), described.end(), 0.0, [](double sum, const WaitingCall& call) { return sum + static_cast<double>(call.cost.value()); });
    m_slotShare.setLeads(m_shares.leads(cost / static_cast<double>(std::max<size_t>(described.size(), 1))));
    std::vector<std::shared_ptr<ProxiedCall>> ordered;
    m_ranks.clear();
    m_positions.clear();
    for (size_t index : dispatchOrder(described, m_shares)) {
        const WaitingCall& call = described[index];
        Rank rank(call.priority, call.queueClass == QueueClass::Late);
        if (waitsForSlot(*calls[index]))
            m_positions[call.number] = { rank, m_ranks[call.queue][rank].waiting++ };
        ordered.push_back(std::move(calls[index]));
    }
    return ordered;
}

bool PressureQueue::isBehindWaiting(const ProxiedCall& call, const WaitingCalls& waiting) const
{
    if (call.waitNumber() || !call.neverSent())
        return false;
    std::vector<WaitingCall> rivals { describe(call) };
    for (const auto& [number, other] : waiting) {
        if (waitsForSlot(*other) && other->queue() == call.queue() && other->target() == call.target())
            rivals.push_back(describe(*other));
    }
    return rivals.size() > 1 && dispatchOrder(rivals, m_shares).front() != 0;
}

CallsByAccount PressureQueue::rivals(const ProxiedCall& call) const
{
    CallsByAccount calls;
    auto priorities = m_queued.find(call.queue());
    if (priorities != m_queued.end()) {
        auto accounts = priorities->second.find(call.priority());
        if (accounts != priorities->second.end())
            calls = accounts->second;
    }
    if (!call.waitNumber())
        ++calls[call.account()];
    return calls;
}

double PressureQueue::partLeft(const ProxiedCall& call, base::Instant now) const
{
    return 1 - m_sent.moreUrgentPart(call.queue(), call.priority(), now);
}

int64_t PressureQueue::positionOf(const ProxiedCall& call, const WaitingCalls& waiting) const
{
    if (auto known = m_positions.find(call.waitNumber()); known != m_positions.end())
        return std::max<int64_t>(known->second.place - m_ranks.at(call.queue()).at(known->second.rank).left, 0);
    WaitingCall own = describe(call);
    std::vector<WaitingCall> rivals { own };
    for (const auto& [number, other] : waiting) {
        if (other.get() != &call && waitsForSlot(*other) && other->queue() == own.queue && other->priority() == own.priority)
            rivals.push_back(describe(*other));
    }
    auto order = dispatchOrder(rivals, m_shares);
    auto before = std::find(order.begin(), order.end(), size_t { 0 });
    return std::count_if(order.begin(), before, [&](size_t index) { return rivals[index].queueClass == own.queueClass; });
}

PressureQueue::Place PressureQueue::placeOf(const ProxiedCall& call, const WaitingCalls& waiting, int64_t running, base::Instant now) const
{
    ModelQueue queue = call.queue();
    Rank rank = rankOf(call);
    int64_t before = 0;
    int64_t equal = m_positions.contains(call.waitNumber()) ? 0 : 1;
    if (auto ranks = m_ranks.find(queue); ranks != m_ranks.end()) {
        for (const auto& [other, calls] : ranks->second) {
            before += other < rank ? calls.waiting - calls.left : 0;
            equal += other == rank ? calls.waiting - calls.left : 0;
        }
    }
    SlotShare::PeerCalls peers = m_slotShare.peerCalls(queue, { call.priority(), call.queueClass() });
    // The mean duration of calls, from the part that ends within a short time.
    constexpr auto shortTime = std::chrono::milliseconds(1);
    double turnover = m_callTimes.turnover(queue, shortTime);
    double meanDuration = turnover > 0 ? base::toSeconds(shortTime) / turnover : 0;
    double rate = m_completions.perRunningCall(queue, meanDuration, now) * static_cast<double>(running);
    return { callsBefore(positionOf(call, waiting), equal, peers.equal, before + peers.before), rate };
}

bool PressureQueue::hasNoChance(const ProxiedCall& call, const WaitingCalls& waiting, int64_t running, base::Instant now) const
{
    Place place = placeOf(call, waiting, running, now);
    return willBecomeLate(static_cast<int64_t>(place.callsBefore), place.completionsPerSecond, base::remaining(now, call.lateFrom()));
}

bool PressureQueue::lessUrgentSent(const ProxiedCall& call, base::Instant since) const
{
    return m_sent.lessUrgentSent(call.queue(), call.priority(), since);
}

base::Instant PressureQueue::nextReturn(const ProxiedCall& call, const WaitingCalls& waiting, int64_t running, base::Instant deadline, std::string_view reason, base::Instant now)
{
    Place place = placeOf(call, waiting, running, now);
    auto own = static_cast<double>(waiting.size() + 1);
    SlotShare::PeerCalls peers = m_slotShare.peerCalls(call.queue(), { call.priority(), QueueClass::Late });
    double part = own / (own + static_cast<double>(peers.before + peers.equal));
    base::Instant at = m_returns.nextReturn(call.queue(), { call.priority(), place.callsBefore, place.completionsPerSecond, part, deadline }, now);
    m_metrics.count("toucanstep_refused_under_pressure_total", base::concat("reason=\"", reason, "\",priority=\"", call.priority(), "\""));
    base::LogLine line("call_refused_under_pressure");
    line.add("id", call.id()).add("reason", reason).add("service", call.service()).add("priority", call.priority()).add("account", call.account());
    line.add("calls_before", std::llround(place.callsBefore)).add("completions_per_s", std::llround(place.completionsPerSecond)).add("slack_ms", base::toMilliseconds(base::remaining(now, call.lateFrom()))).add("return_ms", base::toMilliseconds(at - now));
    return at;
}

PressureQueue::Rank PressureQueue::rankOf(const ProxiedCall& call)
{
    return { call.priority(), call.queueClass() == QueueClass::Late };
}

void PressureQueue::onDequeued(const ProxiedCall& call)
{
    auto known = m_positions.find(call.waitNumber());
    if (known == m_positions.end())
        return;
    ++m_ranks.at(call.queue()).at(known->second.rank).left;
    m_positions.erase(known);
}

void PressureQueue::onSent(const ProxiedCall& call, bool firstTime, base::Instant now)
{
    m_completions.onSent(call.queue(), now);
    if (!firstTime)
        return;
    m_shares.onServed(call.account(), call.queueCost(), now);
    m_sent.onSent(call.queue(), call.priority(), now);
}

void PressureQueue::onLeftUpstream(const ProxiedCall& call, bool ended, base::Instant now)
{
    m_completions.onLeft(call.queue(), ended, now);
}

void PressureQueue::onEnded(const ProxiedCall& call, bool inTime, base::Instant now)
{
    if (call.service().empty())
        return;
    m_watch.onEnded(call.service(), call.priority(), inTime, now);
    m_metrics.count("toucanstep_calls_by_priority_total", base::concat("service=\"", call.service(), "\",priority=\"", call.priority(), "\",in_time=\"", inTime ? "yes" : "no", "\""));
}

void PressureQueue::onPeerReport(const LoadReport& report, base::Instant now)
{
    size_t ignored = m_shares.onPeerServed(report.sender.instance, report.limits, report.waitingTokens, now);
    for (size_t entry = 0; entry < ignored; ++entry)
        m_metrics.count("toucanstep_unreadable_entries_total", "what=\"peer_charge\"");
}

void PressureQueue::tick(base::Instant now)
{
    for (const auto& inversion : m_watch.inversions(now)) {
        m_metrics.count("toucanstep_priority_inversions_total", base::concat("service=\"", inversion.service, "\""));
        base::LogLine("priority_inverted").add("service", inversion.service).add("urgent", inversion.urgent).add("urgent_in_time_percent", std::llround(100 * inversion.urgentInTime)).add("less_urgent", inversion.lessUrgent).add("less_urgent_in_time_percent", std::llround(100 * inversion.lessUrgentInTime));
    }
}

TokensByAccount PressureQueue::waitingTokens(const WaitingCalls& waiting)
{
    TokensByAccount tokens;
    for (const auto& [number, call] : waiting) {
        if (call->neverSent())
            tokens[call->account()] += call->queueCost();
    }
    return tokens;
}

} // namespace toucanstep::direct
