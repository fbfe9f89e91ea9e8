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
using internal::ReadyFlow;

base::Refusal makeRefusal(base::RefusalCode code, std::string message, std::optional<base::Instant> retryAt = std::nullopt)
{
    return { code, base::RanState::NotRun, std::move(message), retryAt };
}

std::optional<base::Refusal> checkLatestStart(const QueuedRequest& request, base::Duration expectedWait, base::Instant now)
{
    if (now + expectedWait <= request.latestStart)
        return std::nullopt;
    auto retryAt = now + expectedWait - base::remaining(now, request.latestStart);
    return makeRefusal(base::RefusalCode::DeadlineUnreachable, "the queue is longer than the deadline allows", retryAt);
}

bool canStartInTime(const QueuedRequest& request, base::Instant now) { return now <= request.latestStart; }

// The service rate of each account in tokens per second, as an exponentially decaying average with a time constant of ten
// seconds.
class ServiceRates {
public:
    void served(const QueuedRequest& request, base::Instant now)
    {
        auto& rate = m_rates[request.account];
        rate.weight = request.accountWeight;
        rate.perSecond = decayedRate(rate, now) + static_cast<double>(request.cost.value()) / decaySeconds;
        rate.at = now;
        m_latest = std::max(m_latest, now);
    }

    // Adds the rates as of the last recorded service to the backlog. Rates below one token per second are left out.
    std::vector<AccountBacklog> withRates(std::map<base::ClientAccountId, AccountBacklog> entries) const
    {
        for (const auto& [account, rate] : m_rates) {
            base::Tokens perSecond(static_cast<int64_t>(decayedRate(rate, m_latest)));
            if (perSecond.value() == 0)
                continue;
            auto& entry = entries.try_emplace(account, AccountBacklog { account, rate.weight, {}, {} }).first->second;
            entry.servedPerSecond = perSecond;
        }
        std::vector<AccountBacklog> backlog;
        for (auto& [account, entry] : entries)
            backlog.push_back(std::move(entry));
        return backlog;
    }

    void removeDecayed()
    {
        std::erase_if(m_rates, [&](const auto& entry) { return decayedRate(entry.second, m_latest) < 1; });
    }

private:
    static constexpr double decaySeconds = 10;
    struct Rate {
        int64_t weight = 1;
        double perSecond = 0;
        base::Instant at;
    };

    static double decayedRate(const Rate& rate, base::Instant now) { return rate.perSecond * std::exp(-base::toSeconds(now - rate.at) / decaySeconds); }

    std::map<base::ClientAccountId, Rate> m_rates;
    base::Instant m_latest;
};

// Base of both queues; the subclasses implement storage and scheduling order.
class BaseQueue : public RequestQueue {
public:
    std::optional<QueuedRequest> pop(base::Instant now, const Eligible& eligible) override
    {
        auto request = next(now, eligible);
        if (request)
            m_rates.served(*request, now);
        m_rates.removeDecayed();
        return request;
    }

    std::vector<AccountBacklog> backlog() const override { return m_rates.withRates(queuedByAccount()); }

    std::vector<RefusedRequest> takeExpired(base::Instant now) override
    {
        return refuseIf([&](const auto& request) { return !canStartInTime(request, now); },
            makeRefusal(base::RefusalCode::DeadlineExceeded, "the request could not start in time"));
    }

    std::vector<RefusedRequest> removeKey(const base::KeyFingerprint& key) override
    {
        return refuseIf([&](const auto& request) { return request.key == key; }, makeRefusal(base::RefusalCode::Unauthorized, "the key was withdrawn"));
    }

    std::vector<RefusedRequest> removeAccount(const base::ClientAccountId& account) override
    {
        return refuseIf([&](const auto& request) { return request.account == account; }, makeRefusal(base::RefusalCode::Unauthorized, "the account was removed"));
    }

    bool cancel(const base::RequestId& id) override
    {
        return !refuseIf([&](const auto& request) { return request.id == id; }, {}).empty();
    }

protected:
    using Predicate = std::function<bool(const QueuedRequest&)>;
    using BacklogByAccount = std::map<base::ClientAccountId, AccountBacklog>;
    virtual std::vector<QueuedRequest> extractIf(const Predicate&) = 0;
    virtual std::optional<QueuedRequest> next(base::Instant now, const Eligible&) = 0;
    virtual BacklogByAccount queuedByAccount() const = 0;

private:
    std::vector<RefusedRequest> refuseIf(const Predicate& predicate, const base::Refusal& refusal)
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
    std::vector<QueuedRequest> extracted;
    for (auto next = requests.begin(); next != requests.end();) {
        auto current = next++;
        if (!predicate(*current))
            continue;
        extracted.push_back(std::move(*current));
        requests.erase(current);
    }
    return extracted;
}

std::list<QueuedRequest>::iterator firstStartable(std::list<QueuedRequest>& requests, base::Instant now, const Eligible& eligible)
{
    return std::find_if(requests.begin(), requests.end(), [&](const auto& request) { return canStartInTime(request, now) && eligible(request); });
}

class FifoQueue final : public BaseQueue {
public:
    std::optional<base::Refusal> push(QueuedRequest request, base::Duration expectedWait, base::Instant now) override
    {
        auto refusal = checkLatestStart(request, expectedWait, now);
        if (!refusal)
            m_requests.push_back(std::move(request));
        return refusal;
    }

    size_t size() const override { return m_requests.size(); }

private:
    std::optional<QueuedRequest> next(base::Instant now, const Eligible& eligible) override
    {
        auto first = firstStartable(m_requests, now, eligible);
        if (first == m_requests.end())
            return std::nullopt;
        auto request = std::move(*first);
        m_requests.erase(first);
        return request;
    }

    BacklogByAccount queuedByAccount() const override
    {
        BacklogByAccount entries;
        for (const auto& request : m_requests) {
            auto& entry = entries[request.account];
            entry.account = request.account;
            entry.weight = request.accountWeight;
            entry.queued += request.cost;
        }
        return entries;
    }

    std::vector<QueuedRequest> extractIf(const Predicate& predicate) override { return extractFrom(m_requests, predicate); }

    std::list<QueuedRequest> m_requests;
};

class FairQueue final : public BaseQueue {
public:
    explicit FairQueue(FairQueueSettings settings)
        : m_quantum(settings.quantum.value())
        , m_scheduler(m_quantum)
    {
    }

    std::optional<base::Refusal> push(QueuedRequest request, base::Duration expectedWait, base::Instant now) override
    {
        auto refusal = checkLatestStart(request, expectedWait, now);
        if (refusal)
            return refusal;
        auto& account = m_accounts.try_emplace(request.account, m_quantum).first->second;
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
        std::vector<ReadyFlow> flows;
        std::vector<ReadyKinds> kindsByFlow;
        for (auto& [id, account] : m_accounts) {
            auto kinds = readyKinds(account, now, eligible);
            auto choice = account.scheduler.choose(kinds.flows);
            if (!choice)
                continue;
            kinds.choice = *choice;
            kinds.account = id;
            flows.push_back({ id.value(), account.weight, kinds.flows[choice->index].cost });
            kindsByFlow.push_back(std::move(kinds));
        }
        auto choice = m_scheduler.choose(flows);
        if (!choice)
            return std::nullopt;
        m_scheduler.serve(*choice, flows);
        return extract(kindsByFlow[choice->index]);
    }

    BacklogByAccount queuedByAccount() const override
    {
        BacklogByAccount entries;
        for (const auto& [id, account] : m_accounts)
            entries.emplace(id, AccountBacklog { id, account.weight, account.queued, {} });
        return entries;
    }

    struct Kind {
        int64_t weight = 1;
        std::list<QueuedRequest> requests;
    };

    struct Account {
        explicit Account(int64_t quantum)
            : scheduler(quantum)
        {
        }

        int64_t weight = 1;
        base::Tokens queued;
        std::map<std::string, Kind> kinds;
        DeficitRoundRobin scheduler;
    };

    // The first request of each kind of one account that can start now.
    struct ReadyKinds {
        base::ClientAccountId account;
        std::vector<ReadyFlow> flows;
        std::vector<std::list<QueuedRequest>::iterator> requests;
        FlowChoice choice;
    };

    static ReadyKinds readyKinds(Account& account, base::Instant now, const Eligible& eligible)
    {
        ReadyKinds result;
        for (auto& [name, kind] : account.kinds) {
            auto first = firstStartable(kind.requests, now, eligible);
            if (first == kind.requests.end())
                continue;
            // At least 1, because a flow of requests without cost would keep its turn forever and starve the others.
            result.flows.push_back({ name, kind.weight, std::max<int64_t>(1, first->cost.value()) });
            result.requests.push_back(first);
        }
        return result;
    }

    QueuedRequest extract(const ReadyKinds& kinds)
    {
        auto& account = m_accounts.find(kinds.account)->second;
        account.scheduler.serve(kinds.choice, kinds.flows);
        auto chosen = kinds.requests[kinds.choice.index];
        auto request = std::move(*chosen);
        account.kinds.find(kinds.flows[kinds.choice.index].name)->second.requests.erase(chosen);
        account.queued -= request.cost;
        --m_size;
        eraseEmpty();
        return request;
    }

    std::vector<QueuedRequest> extractIf(const Predicate& predicate) override
    {
        std::vector<QueuedRequest> extracted;
        for (auto& [id, account] : m_accounts) {
            for (auto& [name, kind] : account.kinds) {
                for (auto& request : extractFrom(kind.requests, predicate)) {
                    account.queued -= request.cost;
                    extracted.push_back(std::move(request));
                }
            }
        }
        m_size -= extracted.size();
        eraseEmpty();
        return extracted;
    }

    void eraseEmpty()
    {
        for (auto entry = m_accounts.begin(); entry != m_accounts.end();) {
            auto& account = entry->second;
            for (auto kind = account.kinds.begin(); kind != account.kinds.end();) {
                if (!kind->second.requests.empty()) {
                    ++kind;
                    continue;
                }
                account.scheduler.discardCredit(kind->first);
                kind = account.kinds.erase(kind);
            }
            if (!account.kinds.empty()) {
                ++entry;
                continue;
            }
            m_scheduler.discardCredit(entry->first.value());
            entry = m_accounts.erase(entry);
        }
        if (m_accounts.empty())
            m_scheduler.clear();
    }

    int64_t m_quantum;
    DeficitRoundRobin m_scheduler;
    std::map<base::ClientAccountId, Account> m_accounts;
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
