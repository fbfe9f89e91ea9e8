#include "toucanstep/scheduling/AccountShares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace toucanstep::scheduling {

namespace {

// Doubles represent whole numbers up to this exactly; no account is charged as much.
constexpr int64_t maxTotal = int64_t { 1 } << 52;
// After this many time constants less than a thousandth of a lead is left.
constexpr int forgottenAfter = 7;

bool isPlausible(base::Tokens tokens) { return tokens.value() >= 0 && tokens.value() <= maxTotal; }

} // namespace

void addWaitingAccounts(WaitingAccounts& waiting, const QueuedByAccount& queued)
{
    for (auto& [queue, own] : waiting) {
        auto priorities = queued.find(queue);
        if (priorities == queued.end())
            continue;
        for (const auto& [priority, accounts] : priorities->second) {
            for (const auto& [account, calls] : accounts) {
                if (calls > 0)
                    own.insert(account);
            }
        }
    }
}

AccountShares::AccountShares(AccountSharesSettings settings)
    : m_settings(settings)
{
}

AccountShares::Account& AccountShares::accountAt(const base::ClientAccountId& id, base::Instant now)
{
    auto [place, isNew] = m_accounts.try_emplace(id, Account { m_virtualTime, m_virtualTime, now });
    Account& account = place->second;
    double lead = std::max(account.counter - m_virtualTime, 0.0);
    if (!m_waitingAnywhere.contains(id)) {
        double age = std::max(base::toSeconds(now - account.asOf), 0.0);
        lead *= std::exp(-age / base::toSeconds(m_settings.leadMemory));
    }
    account.counter = m_virtualTime + lead;
    account.asOf = std::max(account.asOf, now);
    return account;
}

void AccountShares::advanceVirtualTime()
{
    if (m_waitingAnywhere.empty())
        return;
    double lowest = std::numeric_limits<double>::max();
    for (const auto& account : m_waitingAnywhere)
        lowest = std::min(lowest, counter(account));
    m_virtualTime = std::max(m_virtualTime, lowest);
}

void AccountShares::onServed(const base::ClientAccountId& id, base::Tokens cost, base::Instant now)
{
    accountAt(id, now).counter += static_cast<double>(std::clamp<int64_t>(cost.value(), 0, maxTotal));
    advanceVirtualTime();
}

void AccountShares::addService(const base::ClientAccountId& id, double change, base::Instant now)
{
    Account& account = accountAt(id, now);
    double floor = std::min(std::max(account.raisedTo, m_virtualTime), account.counter);
    account.counter = std::max(account.counter + change, floor);
}

size_t AccountShares::onPeerServed(const base::InstanceId& id, const LimitReport& report, const TokensByAccount& waiting, base::Instant now)
{
    auto found = m_peers.find(id);
    bool isNew = found == m_peers.end() || found->second.incarnation != report.incarnation;
    // What a peer was charged before it was heard belongs to no known time. Only a complete report states all of that.
    if (isNew && !report.complete)
        return 0;
    if (isNew)
        found = m_peers.insert_or_assign(id, Peer { report.incarnation, now, {}, {} }).first;
    Peer& peer = found->second;
    peer.heard = now;
    size_t ignored = 0;
    for (const auto& charge : report.charges) {
        if (isPlausible(charge.total))
            peer.charged[charge.account] = charge.total.value();
        else
            ++ignored;
    }
    for (const auto& [account, charged] : peer.charged) {
        auto waits = waiting.find(account);
        // Calls of an account without limits wait without a charge.
        int64_t unserved = waits == waiting.end() || !isPlausible(waits->second) ? 0 : std::min(waits->second.value(), charged);
        int64_t served = charged - unserved;
        int64_t change = served - std::exchange(peer.served[account], served);
        if (!isNew && change)
            addService(account, static_cast<double>(change), now);
    }
    advanceVirtualTime();
    return ignored;
}

double AccountShares::floorFor(const base::ClientAccountId& id, const WaitingAccounts& waiting) const
{
    double lowest = std::numeric_limits<double>::max();
    for (const auto& [queue, accounts] : waiting) {
        auto before = m_waiting.find(queue);
        if (!accounts.contains(id) || before == m_waiting.end())
            continue;
        for (const auto& other : before->second) {
            if (accounts.contains(other))
                lowest = std::min(lowest, counter(other));
        }
    }
    return lowest == std::numeric_limits<double>::max() ? m_virtualTime : lowest;
}

void AccountShares::onWaiting(WaitingAccounts waiting, base::Instant now)
{
    std::set<base::ClientAccountId> anywhere;
    for (const auto& [queue, accounts] : waiting)
        anywhere.insert(accounts.begin(), accounts.end());
    for (const auto& id : anywhere) {
        if (m_waitingAnywhere.contains(id))
            continue;
        Account& account = accountAt(id, now);
        account.counter = std::max(account.counter, floorFor(id, waiting));
        account.raisedTo = account.counter;
    }
    // From here on the lead of an account that no longer waits decays.
    for (const auto& id : m_waitingAnywhere) {
        if (!anywhere.contains(id))
            accountAt(id, now);
    }
    m_waiting = std::move(waiting);
    m_waitingAnywhere = std::move(anywhere);
    advanceVirtualTime();
    expire(now);
}

double AccountShares::counter(const base::ClientAccountId& id) const
{
    auto found = m_accounts.find(id);
    return found == m_accounts.end() ? m_virtualTime : std::max(found->second.counter, m_virtualTime);
}

LeadsByAccount AccountShares::leads(double meanCost) const
{
    LeadsByAccount leads;
    for (const auto& account : m_waitingAnywhere)
        leads[account] = (counter(account) - m_virtualTime) / std::max(meanCost, 1.0);
    return leads;
}

void AccountShares::expire(base::Instant now)
{
    std::erase_if(m_accounts, [&](const auto& entry) {
        return !m_waitingAnywhere.contains(entry.first) && now - entry.second.asOf > m_settings.leadMemory * forgottenAfter;
    });
    std::erase_if(m_peers, [&](const auto& entry) { return now - entry.second.heard > m_settings.peerRetention; });
}

} // namespace toucanstep::scheduling
