#include "toucanstep/history/Measures.h"

#include "Checks.h"
#include "LimitTimeline.h"
#include "toucanstep/limits/ShareHolder.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::history {

namespace {

using base::HistoryEvent;
using base::HistoryKind;
using base::RefusalCode;

// What the history says about one request.
struct Request {
    HistoryEvent offer;
    bool entitled = false;
    bool admitted = false;
    std::optional<HistoryEvent> answer;
    std::optional<HistoryEvent> refusal;

    bool answeredInTime(base::Duration grace) const { return answer && answer->complete && answer->at <= offer.deadline + grace; }
};

bool isOwedToTheRequest(RefusalCode code)
{
    switch (code) {
    case RefusalCode::BadRequest:
    case RefusalCode::Unauthorized:
    case RefusalCode::UnknownModel:
    case RefusalCode::UnknownService:
    case RefusalCode::BodyTooLarge:
    case RefusalCode::CostAboveBurst:
    case RefusalCode::RequestQuarantined:
    case RefusalCode::IdempotencyKeyRequired:
    case RefusalCode::IdempotencyKeyReused:
        return true;
    default:
        return false;
    }
}

// Replays an exact bucket for each account and keeps what came of each request.
class Replay {
public:
    explicit Replay(const History& history)
    {
        for (const auto& event : history.events())
            step(event);
    }

    const std::map<base::RequestId, Request>& requests() const { return m_requests; }

private:
    // How many charges the replay remembers for their refunds.
    static constexpr size_t chargeMemory = 1 << 16;

    limits::ShareHolder* bucketOf(const base::ClientAccountId& account)
    {
        auto found = m_buckets.find(account);
        return found == m_buckets.end() ? nullptr : &found->second;
    }

    void onLimit(const HistoryEvent& event)
    {
        limits::BucketLimits limits { event.tokens, event.burst };
        auto [bucket, isNew] = m_buckets.try_emplace(event.account, limits, event.at, chargeMemory);
        if (isNew)
            bucket->second.addHandedOver(limits::toNanoTokens(event.burst), event.at);
        else
            bucket->second.setLimits(limits, event.at);
    }

    void onOffered(const HistoryEvent& event)
    {
        limits::ShareHolder* bucket = bucketOf(event.account);
        limits::ChargeId charge(event.request.value());
        bool entitled = bucket && bucket->charge(charge, event.tokens, event.tokens, event.at) == event.tokens;
        m_requests.try_emplace(event.request, Request { event, entitled });
    }

    // The replay can't know beforehand that a request is refused for its own fault; its tokens go back.
    void onRefused(const HistoryEvent& event, Request& request)
    {
        request.refusal = event;
        if (!isOwedToTheRequest(event.code) || !request.entitled)
            return;
        request.entitled = false;
        putBack(request.offer, request.offer.tokens, event.at);
    }

    void putBack(const HistoryEvent& offer, base::Tokens unused, base::Instant at)
    {
        if (limits::ShareHolder* bucket = bucketOf(offer.account))
            bucket->refund(limits::ChargeId(offer.request.value()), unused, at);
    }

    void step(const HistoryEvent& event)
    {
        if (event.kind == HistoryKind::LimitInForce)
            onLimit(event);
        if (event.kind == HistoryKind::Offered)
            onOffered(event);
        auto found = m_requests.find(event.request);
        if (found == m_requests.end())
            return;
        if (event.kind == HistoryKind::Admitted)
            found->second.admitted = true;
        else if (event.kind == HistoryKind::Refused)
            onRefused(event, found->second);
        else if (event.kind == HistoryKind::Answered)
            found->second.answer = event;
        else if (event.kind == HistoryKind::Refunded && found->second.entitled)
            putBack(found->second.offer, event.tokens, event.at);
    }

    std::map<base::ClientAccountId, limits::ShareHolder> m_buckets;
    std::map<base::RequestId, Request> m_requests;
};

// The smallest value that at least this part of all values does not exceed.
std::optional<double> percentile(const std::vector<double>& sorted, double part)
{
    if (sorted.empty())
        return std::nullopt;
    auto rank = static_cast<size_t>(std::ceil(part * static_cast<double>(sorted.size())));
    return sorted[std::max<size_t>(rank, 1) - 1];
}

void measureColdStarts(const History& history, Measures& measures)
{
    auto offers = internal::offersByRequest(history);
    std::vector<double> starts;
    for (const auto& event : history.events()) {
        auto offer = offers.find(event.request);
        if (event.kind == HistoryKind::FirstToken && event.cold && offer != offers.end())
            starts.push_back(base::toSeconds(event.at - offer->second.at) * 1000);
    }
    std::sort(starts.begin(), starts.end());
    measures.coldStartP50 = percentile(starts, 0.50);
    measures.coldStartP95 = percentile(starts, 0.95);
    measures.coldStartP99 = percentile(starts, 0.99);
}

// Adds up, replica by replica, the time it was loaded and the part of it with no run in flight.
class IdleTime {
public:
    explicit IdleTime(const History& history)
    {
        for (const auto& event : history.events())
            step(event);
        for (auto& [replica, state] : m_replicas)
            advance(state, internal::endOf(history));
    }

    std::optional<double> ratio() const
    {
        if (m_loaded <= base::Duration::zero())
            return std::nullopt;
        return base::toSeconds(m_idle) / base::toSeconds(m_loaded);
    }

private:
    struct State {
        bool loaded = false;
        int running = 0;
        base::Instant since;
    };

    void advance(State& state, base::Instant at)
    {
        if (state.loaded) {
            m_loaded += at - state.since;
            m_idle += state.running ? base::Duration::zero() : at - state.since;
        }
        state.since = at;
    }

    void step(const HistoryEvent& event)
    {
        bool concernsReplica = event.kind == HistoryKind::ReplicaLoaded || event.kind == HistoryKind::ReplicaUnloaded
            || event.kind == HistoryKind::RunStarted || event.kind == HistoryKind::RunEnded;
        if (!concernsReplica || event.model.empty())
            return;
        State& state = m_replicas[{ event.upstream, event.model }];
        advance(state, event.at);
        if (event.kind == HistoryKind::ReplicaLoaded)
            state.loaded = true;
        else if (event.kind == HistoryKind::ReplicaUnloaded)
            state = { .since = event.at };
        else if (event.kind == HistoryKind::RunStarted)
            ++state.running;
        else
            state.running = std::max(0, state.running - 1);
    }

    std::map<std::pair<base::UpstreamId, base::ModelId>, State> m_replicas;
    base::Duration m_loaded {};
    base::Duration m_idle {};
};

// What one account was entitled to, and got.
struct AccountTally {
    int64_t entitledWeight = 0;
    int64_t servedWeight = 0;
    int64_t entitledRefused = 0;
    int64_t otherAdmitted = 0;

    void add(const Request& request, bool inTime)
    {
        bool isRefused = request.refusal.has_value();
        entitledWeight += request.entitled ? request.offer.weight : 0;
        servedWeight += inTime ? request.offer.weight : 0;
        entitledRefused += request.entitled && isRefused ? 1 : 0;
        otherAdmitted += !request.entitled && request.admitted && !isRefused ? 1 : 0;
    }
    int64_t wronglyRefused() const { return std::max<int64_t>(0, entitledRefused - otherAdmitted); }
};

void measureRequests(const History& history, const CheckOptions& options, Measures& measures)
{
    std::map<base::ClientAccountId, AccountTally> accounts;
    Replay replay(history);
    for (const auto& [id, request] : replay.requests()) {
        bool inTime = request.answeredInTime(options.deadlineGrace);
        ++measures.requests;
        measures.answered += inTime ? 1 : 0;
        measures.refused += request.refusal ? 1 : 0;
        measures.cut += request.answer && !request.answer->complete ? 1 : 0;
        measures.entitled += request.entitled ? 1 : 0;
        accounts[request.offer.account].add(request, inTime);
    }
    for (const auto& [account, tally] : accounts) {
        measures.wronglyRefused += tally.wronglyRefused();
        if (!tally.entitledWeight)
            continue;
        double served = static_cast<double>(tally.servedWeight) / static_cast<double>(tally.entitledWeight);
        measures.worstAccount = std::min(measures.worstAccount.value_or(1.0), served);
    }
    if (measures.entitled)
        measures.wrongfulRefusals = static_cast<double>(measures.wronglyRefused) / static_cast<double>(measures.entitled);
}

} // namespace

Measures measure(const History& history, const CheckOptions& options)
{
    Measures measures;
    measureColdStarts(history, measures);
    measures.idleAcceleratorRatio = IdleTime(history).ratio();
    measureRequests(history, options, measures);
    measures.boundBreaks = static_cast<int64_t>(checkAll(history, options).size());
    if (!history.events().empty())
        measures.seconds = base::toSeconds(internal::endOf(history) - history.events().front().at);
    return measures;
}

} // namespace toucanstep::history
