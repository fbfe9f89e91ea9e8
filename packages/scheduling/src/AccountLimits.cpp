#include "toucanstep/scheduling/AccountLimits.h"

#include "toucanstep/serving/Demand.h"

#include <algorithm>

namespace toucanstep::scheduling {

namespace {

// Keeps digests within the integers that every reader of a report represents exactly.
constexpr int64_t digestMask = (int64_t(1) << 53) - 1;

constexpr size_t maxReportedSilentPeers = 16;

// FNV-1a.
int64_t digestOf(const base::InstanceId& id)
{
    uint64_t hash = 14695981039346656037U;
    for (unsigned char byte : id.value())
        hash = (hash ^ byte) * 1099511628211U;
    return static_cast<int64_t>(hash) & digestMask;
}

} // namespace

AccountLimits::AccountLimits(AccountLimitsSettings settings)
    : m_settings(settings)
{
    setReportInterval(minLoadReportInterval);
}

void AccountLimits::setReportInterval(base::Duration interval)
{
    m_peerSilence = std::chrono::duration_cast<base::Duration>(interval * m_settings.silentIntervals);
    m_startupWindow = std::chrono::duration_cast<base::Duration>(interval * m_settings.startupIntervals);
}

AccountLimits::Peer& AccountLimits::peerOf(const base::InstanceId& id)
{
    auto [place, isNew] = m_peers.try_emplace(id);
    if (isNew)
        place->second.digest = digestOf(id);
    return place->second;
}

bool AccountLimits::recentlyHeard(const Peer& peer, base::Instant now) const
{
    return peer.lastHeard && now - *peer.lastHeard <= m_peerSilence;
}

bool AccountLimits::isMember(const Peer& peer, base::Instant now) const
{
    return recentlyHeard(peer, now) || peer.listed || now < peer.memberUntil;
}

void AccountLimits::setSelf(base::InstanceId self, base::Instant now)
{
    m_self = std::move(self);
    m_started = now;
}

AccountLimits::LiveSet AccountLimits::liveSet(base::Instant now) const
{
    LiveSet own { {}, digestOf(m_self) };
    for (const auto& [id, peer] : m_peers) {
        if (recentlyHeard(peer, now))
            own.digest = (own.digest + peer.digest) & digestMask;
        else if (isMember(peer, now))
            own.silentPeers.push_back(id);
    }
    return own;
}

bool AccountLimits::maySpendShareOf(const Peer& peer, const LiveSet& own) const
{
    // Both hear the same gateways. A newly started peer may not know a gateway that has been gone for a while, and then does
    // not list it as silent.
    if (peer.liveSetDigest == own.digest)
        return true;
    if (peer.silentPeersLeftOut)
        return false;
    bool hearsAllPeersOf = std::all_of(own.silentPeers.begin(), own.silentPeers.end(), [&](const auto& id) { return peer.silentPeers.contains(id); });
    return hearsAllPeersOf && !peer.silentPeers.contains(m_self);
}

AccountLimits::RateShares AccountLimits::rateShares(base::Instant now) const
{
    RateShares shares;
    LiveSet own = liveSet(now);
    for (const auto& [id, peer] : m_peers) {
        if (!isMember(peer, now))
            continue;
        ++shares.total;
        if (!recentlyHeard(peer, now))
            continue;
        ++shares.live;
        shares.spendable += maySpendShareOf(peer, own) ? 1 : 0;
    }
    return shares;
}

void AccountLimits::refill(Bucket& bucket, const RateShares& shares, base::Instant now)
{
    base::Duration elapsed = std::max<base::Duration>(now - bucket.updated, base::Duration::zero());
    bucket.balance += bucket.rate / static_cast<double>(shares.total) * base::toSeconds(elapsed);
    bucket.balance = std::min(bucket.balance, bucket.burst * shares.burstFraction());
    bucket.updated = std::max(bucket.updated, now);
}

void AccountLimits::setAccounts(const DesiredState& state, base::Instant now)
{
    std::map<base::ClientAccountId, Bucket> kept;
    RateShares shares = rateShares(now);
    for (const Account& account : state.accounts) {
        if (!account.limited())
            continue;
        Bucket bucket;
        bucket.updated = now;
        auto known = m_buckets.find(account.limits.id);
        if (known != m_buckets.end()) {
            refill(known->second, shares, now);
            bucket = known->second;
        }
        bucket.rate = static_cast<double>(account.limits.tokensPerSecond.value());
        bucket.burst = static_cast<double>(account.limits.burst.value());
        bucket.balance = std::min(bucket.balance, bucket.burst);
        kept.emplace(account.limits.id, bucket);
    }
    m_buckets = std::move(kept);
}

void AccountLimits::setPeers(const std::set<base::InstanceId>& listed, base::Instant now)
{
    for (auto& [id, peer] : m_peers) {
        if (peer.listed && !listed.contains(id))
            peer.memberUntil = now + m_settings.departedPeerRetention;
        peer.listed = listed.contains(id);
    }
    for (const auto& id : listed)
        peerOf(id).listed = true;
    std::erase_if(m_peers, [&](const auto& entry) {
        const Peer& peer = entry.second;
        return !peer.listed && now >= peer.memberUntil && (!peer.lastHeard || now - *peer.lastHeard > m_settings.departedPeerRetention);
    });
}

void AccountLimits::onReport(const base::InstanceId& id, const LimitReport& report, base::Instant now)
{
    Peer& peer = peerOf(id);
    if (peer.incarnation > report.incarnation)
        return;
    // What a peer had spent when it was first heard predates this gateway, whose bucket was empty then, and is not deducted.
    // A restarted peer's charges count from its restart, or what it spent before its first report would be missed.
    bool firstHeard = !peer.lastHeard;
    bool sameStart = peer.incarnation == report.incarnation;
    // What a process spent between its last report and its end is unknown, so its share for that time is not credited.
    base::Duration heardFor = !firstHeard && sameStart ? now - *peer.lastHeard : base::Duration::zero();
    if (!sameStart)
        peer.chargedTotals.clear();
    if (firstHeard || !sameStart)
        peer.incarnationSeenAt = now;
    peer.incarnation = report.incarnation;
    peer.lastHeard = now;
    peer.memberUntil = now + m_settings.departedPeerRetention;
    peer.silentPeers = { report.silentPeers.begin(), report.silentPeers.end() };
    peer.silentPeersLeftOut = report.silentPeersLeftOut;
    peer.liveSetDigest = report.liveSetDigest;
    // During a longer silence other gateways may have spent its share.
    bool maySpend = heardFor <= m_peerSilence && maySpendShareOf(peer, liveSet(now));
    RateShares shares = rateShares(now);
    std::map<base::ClientAccountId, double> spentByAccount;
    if (!report.complete) {
        for (const auto& [account, total] : peer.chargedTotals)
            spentByAccount[account] = 0;
    }
    for (const AccountCharge& charge : report.charges) {
        auto total = peer.chargedTotals.try_emplace(charge.account, firstHeard ? charge.total : base::Tokens()).first;
        spentByAccount[charge.account] = static_cast<double>((charge.total - total->second).value());
        total->second = charge.total;
    }
    for (const auto& [account, spent] : spentByAccount) {
        auto found = m_buckets.find(account);
        if (found == m_buckets.end())
            continue;
        Bucket& bucket = found->second;
        double share = bucket.rate / static_cast<double>(shares.total) * base::toSeconds(heardFor);
        bucket.balance += (maySpend ? share : std::min(share, std::max(spent, 0.0))) - spent;
        refill(bucket, shares, now);
    }
    if (now - m_started < m_startupWindow)
        adoptBalances(report.balances);
}

// Repeated with each report, since a bucket is capped at a part of its burst until all gateways are heard. What was charged
// here since the start is deducted, as the peer may not know it yet.
void AccountLimits::adoptBalances(const std::vector<AccountBalance>& balances)
{
    for (const AccountBalance& known : balances) {
        auto bucket = m_buckets.find(known.account);
        if (bucket != m_buckets.end())
            bucket->second.balance = std::max(bucket->second.balance, std::min(bucket->second.burst, static_cast<double>((known.balance - bucket->second.charged).value())));
        m_hasAdoptedBalances |= bucket != m_buckets.end();
    }
}

std::optional<base::Instant> AccountLimits::charge(const base::ClientAccountId& account, base::Tokens cost, base::Instant now)
{
    auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return std::nullopt;
    Bucket& bucket = found->second;
    RateShares shares = rateShares(now);
    refill(bucket, shares, now);
    double amount = static_cast<double>(cost.value());
    // A call larger than the whole burst is admitted by a full bucket, whose balance then becomes negative.
    double needed = std::min(amount, bucket.burst * shares.burstFraction());
    if (bucket.balance >= needed) {
        bucket.balance -= amount;
        bucket.charged += cost;
        return std::nullopt;
    }
    return availableAt(bucket, shares, needed, now);
}

base::Instant AccountLimits::availableAt(const Bucket& bucket, const RateShares& shares, double needed, base::Instant now)
{
    double rate = std::max(bucket.rate * shares.rateFraction(), 1.0);
    return now + std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(std::max(needed - bucket.balance, 0.0) / rate));
}

base::Instant AccountLimits::expected(const base::ClientAccountId& account, base::Tokens cost, base::Instant now) const
{
    auto found = m_buckets.find(account);
    return found == m_buckets.end() ? now : availableAt(found->second, rateShares(now), static_cast<double>(cost.value()), now);
}

void AccountLimits::refund(const base::ClientAccountId& account, base::Tokens cost)
{
    auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return;
    found->second.balance = std::min(found->second.burst, found->second.balance + static_cast<double>(cost.value()));
    found->second.charged -= cost;
}

LimitReport AccountLimits::report(Incarnation incarnation, base::Instant now) const
{
    LiveSet own = liveSet(now);
    LimitReport report;
    report.incarnation = incarnation;
    report.liveSetDigest = own.digest;
    report.silentPeersLeftOut = own.silentPeers.size() > maxReportedSilentPeers;
    if (!report.silentPeersLeftOut)
        report.silentPeers = std::move(own.silentPeers);
    bool anyNew = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) { return recentlyHeard(entry.second, now) && now - entry.second.incarnationSeenAt < m_startupWindow; });
    // A gateway that has just started does not know what was spent before.
    bool sendBalances = anyNew && (m_hasAdoptedBalances || now - m_started > m_startupWindow * 2);
    for (const auto& [account, bucket] : m_buckets) {
        report.charges.push_back({ account, bucket.charged });
        if (sendBalances)
            report.balances.push_back({ account, base::Tokens(static_cast<int64_t>(bucket.balance)) });
    }
    return report;
}

} // namespace toucanstep::scheduling
