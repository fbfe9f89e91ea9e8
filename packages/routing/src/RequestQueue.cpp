#include "toucanstep/routing/RequestQueue.h"

#include "DeficitRoundRobin.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <map>

namespace toucanstep::routing {

namespace {

using internal::DeficitRoundRobin;
using internal::FlowChoice;
using internal::FlowOffer;

base::Refusal refuse(base::RefusalCode code, std::string message, std::optional<base::Instant> retryAt = std::nullopt)
{
    return { code, base::RanState::NotRun, std::move(message), retryAt };
}

std::optional<base::Refusal> refusalAtPush(const QueuedRequest& request, base::Duration expectedWait, base::Instant now)
{
    if (now + expectedWait <= request.latestStart)
        return std::nullopt;
    auto retryAt = now + expectedWait - base::remaining(now, request.latestStart);
    return refuse(base::RefusalCode::DeadlineUnreachable, "the queue is longer than the deadline allows", retryAt);
}

bool inTime(const QueuedRequest& request, base::Instant now) { return now <= request.latestStart; }

// Tokens a second that each account was lately served, as an average that fades over ten seconds.
class ServiceRates {
public:
    void served(const QueuedRequest& request, base::Instant now)
    {
        auto& rate = m_rates[request.account];
        rate.weight = request.accountWeight;
        rate.perSecond = faded(rate, now) + static_cast<double>(request.cost.value()) / fadeSeconds;
        rate.at = now;
        m_latest = std::max(m_latest, now);
    }

    // Adds the rates to the backlog as of the last service; what has faded is forgotten.
    std::vector<AccountBacklog> withRates(std::map<base::ClientAccountId, AccountBacklog> parts) const
    {
        for (const auto& [account, rate] : m_rates) {
            base::Tokens perSecond(static_cast<int64_t>(faded(rate, m_latest)));
            if (perSecond.value() == 0)
                continue;
            auto& part = parts.try_emplace(account, AccountBacklog { account, rate.weight, {}, {} }).first->second;
            part.servedPerSecond = perSecond;
        }
        std::vector<AccountBacklog> backlog;
        for (auto& [account, part] : parts)
            backlog.push_back(std::move(part));
        return backlog;
    }

    void forgetFaded()
    {
        std::erase_if(m_rates, [&](const auto& entry) { return faded(entry.second, m_latest) < 1; });
    }

private:
    static constexpr double fadeSeconds = 10;
    struct Rate {
        int64_t weight = 1;
        double perSecond = 0;
        base::Instant at;
    };

    static double faded(const Rate& rate, base::Instant now) { return rate.perSecond * std::exp(-base::toSeconds(now - rate.at) / fadeSeconds); }

    std::map<base::ClientAccountId, Rate> m_rates;
    base::Instant m_latest;
};

// What both queues share: everything but the order.
class ListedQueue : public RequestQueue {
public:
    std::optional<QueuedRequest> pop(base::Instant now, const Eligible& eligible) override
    {
        auto request = next(now, eligible);
        if (request)
            m_rates.served(*request, now);
        m_rates.forgetFaded();
        return request;
    }

    std::vector<AccountBacklog> backlog() const override { return m_rates.withRates(queued()); }

    std::vector<RefusedRequest> takeExpired(base::Instant now) override
    {
        return takeIf([&](const auto& request) { return !inTime(request, now); },
            refuse(base::RefusalCode::DeadlineExceeded, "the request could not start in time"));
    }

    std::vector<RefusedRequest> removeKey(const base::KeyFingerprint& key) override
    {
        return takeIf([&](const auto& request) { return request.key == key; }, refuse(base::RefusalCode::Unauthorized, "the key was withdrawn"));
    }

    std::vector<RefusedRequest> removeAccount(const base::ClientAccountId& account) override
    {
        return takeIf([&](const auto& request) { return request.account == account; }, refuse(base::RefusalCode::Unauthorized, "the account was removed"));
    }

    bool cancel(const base::RequestId& id) override
    {
        return !takeIf([&](const auto& request) { return request.id == id; }, {}).empty();
    }

protected:
    using Predicate = std::function<bool(const QueuedRequest&)>;
    using Parts = std::map<base::ClientAccountId, AccountBacklog>;
    virtual std::vector<QueuedRequest> extractIf(const Predicate&) = 0;
    virtual std::optional<QueuedRequest> next(base::Instant now, const Eligible&) = 0;
    virtual Parts queued() const = 0;

private:
    std::vector<RefusedRequest> takeIf(const Predicate& predicate, const base::Refusal& refusal)
    {
        std::vector<RefusedRequest> refused;
        for (auto& request : extractIf(predicate))
            refused.push_back({ std::move(request), refusal });
        return refused;
    }

    ServiceRates m_rates;
};

std::vector<QueuedRequest> extractFrom(std::list<QueuedRequest>& requests, const std::function<bool(const QueuedRequest&)>& predicate)
{
    std::vector<QueuedRequest> taken;
    for (auto place = requests.begin(); place != requests.end();) {
        auto current = place++;
        if (!predicate(*current))
            continue;
        taken.push_back(std::move(*current));
        requests.erase(current);
    }
    return taken;
}

std::list<QueuedRequest>::iterator firstStartable(std::list<QueuedRequest>& requests, base::Instant now, const Eligible& eligible)
{
    return std::find_if(requests.begin(), requests.end(), [&](const auto& request) { return inTime(request, now) && eligible(request); });
}

class FifoQueue final : public ListedQueue {
public:
    std::optional<base::Refusal> push(QueuedRequest request, base::Duration expectedWait, base::Instant now) override
    {
        auto refusal = refusalAtPush(request, expectedWait, now);
        if (!refusal)
            m_requests.push_back(std::move(request));
        return refusal;
    }

    size_t size() const override { return m_requests.size(); }

private:
    std::optional<QueuedRequest> next(base::Instant now, const Eligible& eligible) override
    {
        auto place = firstStartable(m_requests, now, eligible);
        if (place == m_requests.end())
            return std::nullopt;
        auto request = std::move(*place);
        m_requests.erase(place);
        return request;
    }

    Parts queued() const override
    {
        Parts parts;
        for (const auto& request : m_requests) {
            auto& part = parts[request.account];
            part.account = request.account;
            part.weight = request.accountWeight;
            part.queued += request.cost;
        }
        return parts;
    }

    std::vector<QueuedRequest> extractIf(const Predicate& predicate) override { return extractFrom(m_requests, predicate); }

    std::list<QueuedRequest> m_requests;
};

class FairQueue final : public ListedQueue {
public:
    explicit FairQueue(FairQueueSettings settings)
        : m_quantum(settings.quantum.value())
        , m_accounts(m_quantum)
    {
    }

    std::optional<base::Refusal> push(QueuedRequest request, base::Duration expectedWait, base::Instant now) override
    {
        auto refusal = refusalAtPush(request, expectedWait, now);
        if (refusal)
            return refusal;
        auto& account = m_flows.try_emplace(request.account, m_quantum).first->second;
        account.weight = request.accountWeight;
        account.queued += request.cost;
        auto& kind = account.kinds[request.kind];
        kind.weight = request.kindWeight;
        kind.requests.push_back(std::move(request));
        ++m_size;
        return std::nullopt;
    }

    size_t size() const override { return m_size; }

private:
    std::optional<QueuedRequest> next(base::Instant now, const Eligible& eligible) override
    {
        std::vector<FlowOffer> offers;
        std::vector<KindOffers> inner;
        for (auto& [id, account] : m_flows) {
            auto kinds = offersOf(account, now, eligible);
            auto choice = account.order.choose(kinds.offers);
            if (!choice)
                continue;
            kinds.choice = *choice;
            kinds.account = id;
            offers.push_back({ id.value(), account.weight, kinds.offers[choice->offer].cost });
            inner.push_back(std::move(kinds));
        }
        auto choice = m_accounts.choose(offers);
        if (!choice)
            return std::nullopt;
        m_accounts.serve(*choice, offers);
        return take(inner[choice->offer]);
    }

    Parts queued() const override
    {
        Parts parts;
        for (const auto& [id, account] : m_flows)
            parts.emplace(id, AccountBacklog { id, account.weight, account.queued, {} });
        return parts;
    }

    struct Kind {
        int64_t weight = 1;
        std::list<QueuedRequest> requests;
    };

    struct Account {
        explicit Account(int64_t quantum)
            : order(quantum)
        {
        }

        int64_t weight = 1;
        base::Tokens queued;
        std::map<std::string, Kind> kinds;
        DeficitRoundRobin order;
    };

    // What one account could start now: the first startable request of each of its kinds.
    struct KindOffers {
        base::ClientAccountId account;
        std::vector<FlowOffer> offers;
        std::vector<std::list<QueuedRequest>::iterator> requests;
        FlowChoice choice;
    };

    static KindOffers offersOf(Account& account, base::Instant now, const Eligible& eligible)
    {
        KindOffers result;
        for (auto& [name, kind] : account.kinds) {
            auto place = firstStartable(kind.requests, now, eligible);
            if (place == kind.requests.end())
                continue;
            // A request of no cost would be served for ever before all others.
            result.offers.push_back({ name, kind.weight, std::max<int64_t>(1, place->cost.value()) });
            result.requests.push_back(place);
        }
        return result;
    }

    QueuedRequest take(const KindOffers& kinds)
    {
        auto& account = m_flows.find(kinds.account)->second;
        account.order.serve(kinds.choice, kinds.offers);
        auto place = kinds.requests[kinds.choice.offer];
        auto request = std::move(*place);
        account.kinds.find(kinds.offers[kinds.choice.offer].flow)->second.requests.erase(place);
        account.queued -= request.cost;
        --m_size;
        dropEmpty();
        return request;
    }

    std::vector<QueuedRequest> extractIf(const Predicate& predicate) override
    {
        std::vector<QueuedRequest> taken;
        for (auto& [id, account] : m_flows) {
            for (auto& [name, kind] : account.kinds) {
                for (auto& request : extractFrom(kind.requests, predicate)) {
                    account.queued -= request.cost;
                    taken.push_back(std::move(request));
                }
            }
        }
        m_size -= taken.size();
        dropEmpty();
        return taken;
    }

    void dropEmpty()
    {
        for (auto flow = m_flows.begin(); flow != m_flows.end();) {
            auto& account = flow->second;
            for (auto kind = account.kinds.begin(); kind != account.kinds.end();) {
                if (!kind->second.requests.empty()) {
                    ++kind;
                    continue;
                }
                account.order.drop(kind->first);
                kind = account.kinds.erase(kind);
            }
            if (!account.kinds.empty()) {
                ++flow;
                continue;
            }
            m_accounts.drop(flow->first.value());
            flow = m_flows.erase(flow);
        }
        if (m_flows.empty())
            m_accounts.clear();
    }

    int64_t m_quantum;
    DeficitRoundRobin m_accounts;
    std::map<base::ClientAccountId, Account> m_flows;
    size_t m_size = 0;
};

} // namespace

std::unique_ptr<RequestQueue> makeFairQueue(FairQueueSettings settings)
{
    return std::make_unique<FairQueue>(settings);
}

std::unique_ptr<RequestQueue> makeFifoQueue()
{
    return std::make_unique<FifoQueue>();
}

} // namespace toucanstep::routing
