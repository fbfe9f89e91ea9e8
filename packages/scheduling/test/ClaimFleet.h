// Gateways with claims in a modelled store, with reports over links that can be cut. All of them admit calls of one account.

#pragma once

#include "toucanstep/scheduling/AccountLimits.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace toucanstep::scheduling::test {

inline const base::ClientAccountId farm("farm");

inline DesiredState stateWith(int64_t rate, int64_t burst)
{
    DesiredState state;
    if (rate) {
        Account account;
        account.limits.id = farm;
        account.limits.tokensPerSecond = base::Tokens(rate);
        account.limits.burst = base::Tokens(burst);
        state.accounts.push_back(account);
    }
    return state;
}

class ClaimFleet {
public:
    static constexpr auto interval = std::chrono::milliseconds(100);

    // The lease is shorter than in use, so that it ends often.
    ClaimFleet(size_t size, int64_t rate, int64_t burst, base::Duration lease)
        : m_state(stateWith(rate, burst))
    {
        m_claims.lease = lease;
        m_claims.margin = std::chrono::milliseconds(200);
        m_claims.maxListAge = std::chrono::seconds(1);
        m_claims.removalAfter = std::chrono::milliseconds(2500);
        m_limits.joiningPeerRetention = lease;
        m_limits.departedPeerRetention = std::chrono::seconds(1);
        for (size_t number = 0; number < size; ++number)
            add();
    }

    size_t size() const { return m_gateways.size(); }
    bool isAlive(size_t number) const { return m_gateways[number].limits != nullptr; }
    // A gateway of a new name.
    void add()
    {
        m_gateways.emplace_back();
        m_gateways.back().id = base::InstanceId("gateway-" + std::to_string(m_gateways.size()));
        start(m_gateways.size() - 1);
    }
    void start(size_t number)
    {
        Gateway& gateway = m_gateways[number];
        base::InstanceId id = gateway.id;
        Incarnation next(gateway.incarnation.value() + 1);
        bool reachesStore = gateway.reachesStore;
        gateway = {};
        gateway.id = id;
        gateway.incarnation = next;
        gateway.reachesStore = reachesStore;
        gateway.claim = std::make_unique<ShareClaim>(m_claims);
        gateway.limits = std::make_unique<AccountLimits>(m_limits);
        gateway.limits->setSelf(id, m_now);
        gateway.limits->setShare(*gateway.claim);
        gateway.limits->setAccounts(m_state, m_now);
    }
    void kill(size_t number)
    {
        m_gateways[number].limits.reset();
        m_gateways[number].claim.reset();
    }
    void setReachesStore(size_t number, bool reaches) { m_gateways[number].reachesStore = reaches; }
    void setCut(size_t from, size_t to, bool isCut)
    {
        if (isCut)
            m_cuts.emplace(from, to);
        else
            m_cuts.erase({ from, to });
    }
    void setIsolated(size_t number, bool isolated)
    {
        for (size_t other = 0; other < size(); ++other) {
            setCut(number, other, isolated);
            setCut(other, number, isolated);
        }
    }
    // Without the account, the gateway rejects its calls.
    void setAccount(size_t number, const DesiredState& state)
    {
        m_gateways[number].knowsAccount = !state.accounts.empty();
        m_gateways[number].limits->setAccounts(state, m_now);
    }

    void step()
    {
        m_now += interval;
        std::erase_if(m_store, [this](const auto& entry) { return entry.second.leaseEnd <= m_now; });
        for (Gateway& gateway : m_gateways) {
            if (gateway.limits && gateway.reachesStore)
                callStore(gateway);
        }
        for (size_t from = 0; from < size(); ++from) {
            for (size_t to = 0; to < size(); ++to) {
                if (from != to && isAlive(from) && isAlive(to) && !m_cuts.contains({ from, to }))
                    deliver(m_gateways[from], m_gateways[to]);
            }
        }
    }
    void run(base::Duration duration)
    {
        for (base::Instant until = m_now + duration; m_now < until;)
            step();
    }
    bool call(size_t number, int64_t cost)
    {
        if (!isAlive(number) || !m_gateways[number].knowsAccount || m_gateways[number].limits->charge(farm, base::Tokens(cost), m_now))
            return false;
        m_admitted.emplace_back(m_now, cost);
        return true;
    }
    void flood()
    {
        for (size_t number = 0; number < size(); ++number) {
            for (int count = 0; count < 20; ++count)
                call(number, 10);
        }
    }

    double share(size_t number) const { return isAlive(number) ? m_gateways[number].limits->rateShares(m_now).own : 0; }
    // The parts of the account's rate that all gateways spend of their own.
    double sharesTogether() const
    {
        double sum = 0;
        for (size_t number = 0; number < size(); ++number)
            sum += share(number);
        return sum;
    }
    // The largest admitted cost within any interval of that length.
    int64_t maxAdmittedWithin(base::Duration span) const
    {
        int64_t maximum = 0;
        int64_t sum = 0;
        size_t first = 0;
        for (const auto& [at, cost] : m_admitted) {
            sum += cost;
            while (at - m_admitted[first].first > span)
                sum -= m_admitted[first++].second;
            maximum = std::max(maximum, sum);
        }
        return maximum;
    }
    int64_t admitted() const
    {
        int64_t sum = 0;
        for (const auto& [at, cost] : m_admitted)
            sum += cost;
        return sum;
    }

private:
    struct Stored {
        ListedClaim claim;
        base::Instant leaseEnd;
    };
    struct Gateway {
        base::InstanceId id;
        Incarnation incarnation;
        bool reachesStore = true;
        bool knowsAccount = true;
        std::unique_ptr<ShareClaim> claim;
        std::unique_ptr<AccountLimits> limits;
        std::map<base::InstanceId, Stored> list;
        base::Revision revision;
        base::Instant nextList;
        base::Instant nextRenewal;
        std::optional<base::Revision> written;
    };

    void callStore(Gateway& gateway)
    {
        if (m_now >= gateway.nextList)
            readList(gateway);
        if (!gateway.written) {
            write(gateway);
        } else if (gateway.claim->canSettle(m_now)) {
            writeSettled(gateway);
        } else if (auto unsettled = gateway.claim->removable(m_now)) {
            auto known = gateway.list.find(*unsettled);
            auto stored = m_store.find(*unsettled);
            if (stored != m_store.end() && stored->second.claim.written == known->second.claim.written)
                remove(stored);
        } else if (m_now >= gateway.nextRenewal) {
            renew(gateway);
        }
    }
    void readList(Gateway& gateway)
    {
        gateway.nextList = m_now + interval * 4;
        gateway.list = m_store;
        gateway.revision = m_revision;
        std::map<base::InstanceId, ListedClaim> others;
        for (const auto& [id, stored] : m_store) {
            if (id != gateway.id)
                others.emplace(id, stored.claim);
        }
        gateway.limits->setPeers(others, m_now);
        gateway.claim->setOthers(std::move(others), m_revision, m_now);
        auto own = m_store.find(gateway.id);
        if (gateway.written && (own == m_store.end() || own->second.claim.written != *gateway.written)) {
            gateway.written.reset();
            gateway.claim->onLost();
        }
    }
    void write(Gateway& gateway)
    {
        auto known = gateway.list.find(gateway.id);
        auto stored = m_store.find(gateway.id);
        auto revisionOf = [](const auto& found, const auto& end) { return found == end ? base::Revision() : found->second.claim.written; };
        if (revisionOf(known, gateway.list.end()) != revisionOf(stored, m_store.end()))
            return;
        bool continued = stored != m_store.end() && stored->second.claim.settled;
        put(gateway, continued);
        gateway.claim->onWritten(*gateway.written, m_store[gateway.id].claim.created, m_now + m_claims.lease, continued, m_now);
    }
    void writeSettled(Gateway& gateway)
    {
        auto stored = m_store.find(gateway.id);
        if (stored == m_store.end() || stored->second.claim.written != *gateway.written)
            return;
        put(gateway, true);
        gateway.claim->onSettled(*gateway.written);
    }
    void put(Gateway& gateway, bool settled)
    {
        m_revision = base::Revision(m_revision.value() + 1);
        auto [stored, isNew] = m_store.try_emplace(gateway.id);
        base::Revision created = isNew ? m_revision : stored->second.claim.created;
        stored->second = { { created, m_revision, settled }, m_now + m_claims.lease };
        gateway.written = m_revision;
        gateway.nextRenewal = m_now + m_claims.lease / 4;
        gateway.claim->onRenewed(m_now + m_claims.lease);
    }
    void remove(std::map<base::InstanceId, Stored>::iterator stored)
    {
        m_revision = base::Revision(m_revision.value() + 1);
        m_store.erase(stored);
    }
    void renew(Gateway& gateway)
    {
        auto stored = m_store.find(gateway.id);
        if (stored == m_store.end())
            return;
        stored->second.leaseEnd = m_now + m_claims.lease;
        gateway.nextRenewal = m_now + m_claims.lease / 4;
        gateway.claim->onRenewed(m_now + m_claims.lease);
    }
    void deliver(Gateway& from, Gateway& to)
    {
        LimitReport report = from.limits->report(from.incarnation, from.claim->joiningSince().has_value(), m_now);
        to.limits->onReport(from.id, report, m_now);
        if (auto since = to.claim->joiningSince(); since && to.limits->isAcknowledgedBy(report, *since, m_now))
            to.claim->onAcknowledged(from.id);
    }

    DesiredState m_state;
    ShareClaimSettings m_claims;
    AccountLimitsSettings m_limits;
    base::Instant m_now { std::chrono::hours(1) };
    std::vector<Gateway> m_gateways;
    std::map<base::InstanceId, Stored> m_store;
    base::Revision m_revision;
    std::set<std::pair<size_t, size_t>> m_cuts;
    std::vector<std::pair<base::Instant, int64_t>> m_admitted;
};

} // namespace toucanstep::scheduling::test
