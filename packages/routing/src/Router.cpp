#include "toucanstep/routing/Router.h"

#include <algorithm>

namespace toucanstep::routing {

namespace {

RouteDecision startDecision(const RouteRequest& request)
{
    RouteDecision decision;
    decision.request = request.id;
    decision.model = request.model;
    decision.configurationVersion = request.configurationVersion;
    return decision;
}

bool contains(const std::vector<base::UpstreamId>& upstreams, const base::UpstreamId& wanted)
{
    return std::find(upstreams.begin(), upstreams.end(), wanted) != upstreams.end();
}

// Checks the conditions that rule out a holder independently of its load.
CandidateVerdict reachability(const RouteRequest& request, const Holder& holder, const UpstreamEntry* entry)
{
    if (contains(request.excluded, holder.upstream))
        return CandidateVerdict::Excluded;
    if (!entry)
        return CandidateVerdict::Unknown;
    if (!entry->connected)
        return CandidateVerdict::Disconnected;
    if (entry->terminating || entry->report.leaving)
        return CandidateVerdict::Leaving;
    return CandidateVerdict::Eligible;
}

void choose(RouteDecision& decision, const RouteCandidate& candidate, RouteReason reason)
{
    decision.chosen = candidate.upstream;
    decision.epoch = candidate.epoch;
    decision.expectedWait = candidate.expectedWait;
    decision.reason = reason;
}

void refuseNoCapacity(RouteDecision& decision)
{
    decision.reason = RouteReason::NoHolder;
    decision.refusal = base::Refusal { base::RefusalCode::NoCapacity, base::RanState::NotRun, "no holder of the model can be reached", std::nullopt };
}

// One pass over the holders for one request.
class ExpectedWaitChoice {
public:
    ExpectedWaitChoice(const RouterSettings& settings, const RouteRequest& request, const UpstreamTable& upstreams)
        : m_settings(settings)
        , m_request(request)
        , m_upstreams(upstreams)
        , m_decision(startDecision(request))
    {
    }

    RouteDecision run(const std::vector<Holder>& holders, const PrefixIndex& prefixes, RandomGenerator& generator)
    {
        for (const auto& holder : holders)
            evaluate(holder);
        // In order of preference: a recent report, a recent report with a request in isolation, an outdated report.
        for (auto verdict : { CandidateVerdict::Eligible, CandidateVerdict::Quarantining, CandidateVerdict::Stale })
            if (chooseAmong(verdict, prefixes, generator))
                return std::move(m_decision);
        refuse();
        return std::move(m_decision);
    }

private:
    void evaluate(const Holder& holder)
    {
        const auto* entry = m_upstreams.find(holder.upstream);
        RouteCandidate candidate { holder.upstream, holder.epoch, holder.state, reachability(m_request, holder, entry), {} };
        if (candidate.verdict == CandidateVerdict::Eligible) {
            candidate.expectedWait = expectedWaitAt(holder, *entry);
            candidate.verdict = verdictByLoad(*entry, candidate.expectedWait);
        }
        m_decision.candidates.push_back(std::move(candidate));
    }

    base::Duration expectedWaitAt(const Holder& holder, const UpstreamEntry& entry) const
    {
        auto wait = expectedWait(UpstreamTable::currentLoad(entry), { m_request.account, m_request.accountWeight, m_request.cost });
        if (holder.state == HolderState::Loaded)
            return wait;
        if (holder.expectedLoadEnd)
            return std::max(wait, base::remaining(m_request.now, *holder.expectedLoadEnd));
        // An unknown load time ranks after every wait that is known to meet the deadline, and does not cause a refusal.
        return std::max(wait, slack());
    }

    base::Duration slack() const { return base::remaining(m_request.now, m_request.deadline - m_request.minimumRunTime); }

    CandidateVerdict verdictByLoad(const UpstreamEntry& entry, base::Duration wait) const
    {
        if (wait > slack())
            return CandidateVerdict::TooLate;
        if (!entry.reportedAt || m_request.now - *entry.reportedAt > m_settings.staleAfter)
            return CandidateVerdict::Stale;
        return entry.report.quarantining ? CandidateVerdict::Quarantining : CandidateVerdict::Eligible;
    }

    bool chooseAmong(CandidateVerdict verdict, const PrefixIndex& prefixes, RandomGenerator& generator)
    {
        std::vector<const RouteCandidate*> members;
        for (const auto& candidate : m_decision.candidates)
            if (candidate.verdict == verdict)
                members.push_back(&candidate);
        if (members.empty())
            return false;
        if (const auto* preferred = preferredByPrefix(members, prefixes)) {
            choose(m_decision, *preferred, RouteReason::PrefixAffinity);
            return true;
        }
        const auto& shortest = shortestWaitMember(members, generator);
        choose(m_decision, shortest, reasonFor(shortest, members.size()));
        return true;
    }

    RouteReason reasonFor(const RouteCandidate& candidate, size_t members) const
    {
        if (candidate.verdict == CandidateVerdict::Stale)
            return RouteReason::StaleHolder;
        if (candidate.state != HolderState::Loaded)
            return RouteReason::ColdHolder;
        return members == 1 ? RouteReason::OnlyHolder : RouteReason::LeastWait;
    }

    const RouteCandidate& shortestWaitMember(const std::vector<const RouteCandidate*>& members, RandomGenerator& generator) const
    {
        auto shortest = (*std::min_element(members.begin(), members.end(), [](auto left, auto right) { return left->expectedWait < right->expectedWait; }))
                            ->expectedWait;
        std::vector<const RouteCandidate*> ties;
        for (const auto* member : members)
            if (member->expectedWait <= shortest + m_settings.waitTolerance)
                ties.push_back(member);
        std::uniform_int_distribution<size_t> pick(0, ties.size() - 1);
        return *ties[pick(generator)];
    }

    int64_t outstandingTokens(const base::UpstreamId& upstream) const
    {
        auto load = UpstreamTable::currentLoad(*m_upstreams.find(upstream));
        auto tokens = load.inFlightTokens;
        for (const auto& entry : load.backlog)
            tokens += entry.queued;
        return tokens.value();
    }

    // The loaded holder with the longest matching prefix whose outstanding tokens are within the limit. The limit keeps a popular
    // prefix from overloading one upstream.
    const RouteCandidate* preferredByPrefix(const std::vector<const RouteCandidate*>& members, const PrefixIndex& prefixes) const
    {
        if (m_request.prefixes.empty() || members.size() < 2)
            return nullptr;
        int64_t total = 0;
        for (const auto* member : members)
            total += outstandingTokens(member->upstream);
        auto mean = total / static_cast<int64_t>(members.size());
        auto limit = mean * m_settings.affinityLoadPercent / 100 + m_request.cost.value();
        for (const auto& hint : prefixes.match(m_request.prefixes, m_request.now))
            for (const auto* member : members)
                if (member->upstream == hint.upstream && member->state == HolderState::Loaded && outstandingTokens(member->upstream) <= limit)
                    return member;
        return nullptr;
    }

    void refuse()
    {
        std::optional<base::Duration> shortest;
        for (const auto& candidate : m_decision.candidates)
            if (candidate.verdict == CandidateVerdict::TooLate)
                shortest = std::min(shortest.value_or(candidate.expectedWait), candidate.expectedWait);
        if (!shortest) {
            refuseNoCapacity(m_decision);
            return;
        }
        m_decision.reason = RouteReason::DeadlineUnreachable;
        m_decision.expectedWait = *shortest;
        // A retry at this time with the same timeout is expected to meet its deadline.
        auto retryAt = m_request.now + (*shortest - slack());
        m_decision.refusal
            = base::Refusal { base::RefusalCode::DeadlineUnreachable, base::RanState::NotRun, "no holder of the model can answer in time", retryAt };
    }

    const RouterSettings& m_settings;
    const RouteRequest& m_request;
    const UpstreamTable& m_upstreams;
    RouteDecision m_decision;
};

class ExpectedWaitRouter final : public Router {
public:
    explicit ExpectedWaitRouter(RouterSettings settings)
        : m_settings(settings)
    {
    }

    RouteDecision choose(const RouteRequest& request, const std::vector<Holder>& holders, const UpstreamTable& upstreams, const PrefixIndex& prefixes,
        RandomGenerator& generator) const override
    {
        return ExpectedWaitChoice(m_settings, request, upstreams).run(holders, prefixes, generator);
    }

private:
    RouterSettings m_settings;
};

class RandomRouter final : public Router {
public:
    RouteDecision choose(const RouteRequest& request, const std::vector<Holder>& holders, const UpstreamTable& upstreams, const PrefixIndex&,
        RandomGenerator& generator) const override
    {
        auto decision = startDecision(request);
        std::vector<size_t> usable;
        for (const auto& holder : holders) {
            auto verdict = reachability(request, holder, upstreams.find(holder.upstream));
            if (verdict == CandidateVerdict::Eligible)
                usable.push_back(decision.candidates.size());
            decision.candidates.push_back({ holder.upstream, holder.epoch, holder.state, verdict, {} });
        }
        if (usable.empty()) {
            refuseNoCapacity(decision);
            return decision;
        }
        std::uniform_int_distribution<size_t> pick(0, usable.size() - 1);
        routing::choose(decision, decision.candidates[usable[pick(generator)]], RouteReason::Random);
        return decision;
    }
};

} // namespace

std::unique_ptr<Router> makeExpectedWaitRouter(RouterSettings settings)
{
    return std::make_unique<ExpectedWaitRouter>(settings);
}

std::unique_ptr<Router> makeRandomRouter()
{
    return std::make_unique<RandomRouter>();
}

} // namespace toucanstep::routing
