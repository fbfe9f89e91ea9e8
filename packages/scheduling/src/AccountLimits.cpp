#include "toucanstep/scheduling/AccountLimits.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/serving/Demand.h"

#include <algorithm>
#include <cmath>

namespace toucanstep::scheduling {

namespace {

// Keeps digests within the integers that every reader of a report represents exactly.
constexpr int64_t digestMask = (int64_t(1) << 53) - 1;

constexpr size_t maxReportedSilentPeers = 16;
constexpr size_t maxReportedAcknowledgements = 32;

// FNV-1a.
int64_t digestOf(const base::InstanceId& id)
{
    uint64_t hash = 14695981039346656037U;
    for (unsigned char byte : id.value())
        hash = (hash ^ byte) * 1099511628211U;
    return static_cast<int64_t>(hash) & digestMask;
}

double fractionOf(int64_t digest)
{
    return static_cast<double>(digest) / static_cast<double>(digestMask);
}

} // namespace

void AccountLimits::RecentCharges::add(double amount, base::Instant now)
{
    if (amount <= 0)
        return;
    constexpr auto resolution = std::chrono::milliseconds(10);
    if (!m_entries.empty() && now - m_entries.back().at < resolution)
        m_entries.back().amount += amount;
    else
        m_entries.push_back({ now, amount });
    m_recent += amount;
}

void AccountLimits::RecentCharges::age(base::Instant from, base::Duration memory)
{
    while (!m_entries.empty() && m_entries.front().at < from) {
        m_earlier = earlier(m_entries.front().at, memory) + m_entries.front().amount;
        m_earlierAsOf = m_entries.front().at;
        m_recent -= m_entries.front().amount;
        m_entries.pop_front();
    }
    if (m_entries.empty())
        m_recent = 0;
}

double AccountLimits::RecentCharges::earlier(base::Instant now, base::Duration memory) const
{
    return m_earlier * std::exp(-base::toSeconds(now - m_earlierAsOf) / base::toSeconds(memory));
}

void AccountLimits::LeastRoom::add(double room, base::Instant now, base::Instant forgottenBefore)
{
    while (!m_entries.empty() && m_entries.back().room >= room)
        m_entries.pop_back();
    m_entries.push_back({ now, room });
    while (m_entries.front().at < forgottenBefore) {
        m_entries.pop_front();
        m_forgotten = true;
    }
}

double AccountLimits::LeastRoom::since(base::Instant from) const
{
    // Room grows, so the first entry after that time is the least of all after it.
    auto found = std::upper_bound(m_entries.begin(), m_entries.end(), from, [](base::Instant at, const Entry& entry) { return at < entry.at; });
    if (found == m_entries.end())
        return m_entries.empty() ? 0 : std::max(m_entries.back().room, 0.0);
    bool forgotten = m_entries.front().at > from && m_forgotten;
    return forgotten ? 0 : std::max(found->room, 0.0);
}

AccountLimits::AccountLimits(AccountLimitsSettings settings)
    : m_settings(settings)
{
    setReportInterval(minLoadReportInterval);
}

void AccountLimits::setReportInterval(base::Duration interval)
{
    m_peerSilence = std::chrono::duration_cast<base::Duration>(interval * m_settings.silentIntervals);
    m_unheardTime = std::chrono::duration_cast<base::Duration>(interval * m_settings.unheardIntervals);
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
    return recentlyHeard(peer, now) || peer.listed || now < peer.memberUntil || now < peer.joiningUntil;
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
    shares.own = m_share ? m_share->share(shares.total, now) : 1 / static_cast<double>(shares.total);
    return shares;
}

bool AccountLimits::hasShare(base::Instant now) const
{
    auto others = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto& entry) { return isMember(entry.second, now); });
    return !m_share || m_share->share(others + 1, now) > 0;
}

bool AccountLimits::mayChargeAll(base::Instant now) const
{
    bool anyLimit = std::any_of(m_buckets.begin(), m_buckets.end(), [](const auto& entry) { return !entry.second.removed; });
    return !anyLimit || hasShare(now);
}

void AccountLimits::refill(Bucket& bucket, const RateShares& shares, base::Instant now) const
{
    base::Duration elapsed = std::max<base::Duration>(now - bucket.updated, base::Duration::zero());
    bucket.balance += bucket.rate * shares.own * base::toSeconds(elapsed);
    bucket.balance = std::min(bucket.balance, bucket.burst * shares.burstFraction());
    bucket.updated = std::max(bucket.updated, now);
    bucket.room.add(bucket.burst * shares.burstFraction() - bucket.balance, now, now - m_settings.refundTime);
}

void AccountLimits::age(Bucket& bucket, base::Instant now) const
{
    bucket.own.age(now - m_unheardTime, m_settings.chargeMemory);
    bucket.peers.age(now - m_unheardTime, m_settings.chargeMemory);
}

double AccountLimits::partOf(const Bucket& bucket, const RateShares& shares, base::Instant now) const
{
    double even = 1 / static_cast<double>(shares.live);
    double own = bucket.own.earlier(now, m_settings.chargeMemory);
    double all = own + bucket.peers.earlier(now, m_settings.chargeMemory);
    return all >= 1 ? (1 - m_settings.partByCharges) * even + m_settings.partByCharges * own / all : even;
}

bool AccountLimits::isCovered(const base::ClientAccountId& account, Bucket& bucket, const RateShares& shares, double amount, base::Instant now, base::Instant& from)
{
    // A need that is older than this belongs to an earlier shortage.
    constexpr auto longestInterruption = std::chrono::seconds(1);
    age(bucket, now);
    double part = partOf(bucket, shares, now);
    double pool = bucket.balance + bucket.own.recent() + bucket.peers.recent();
    bool halfFull = bucket.balance >= bucket.burst * shares.burstFraction() / 2;
    // Two calls in a row at one gateway are no flood. Half of what is tolerated is left for what the parts do not cover.
    double tolerated = halfFull ? m_settings.overshoot * (bucket.rate * base::toSeconds(m_settings.window) + bucket.burst) / 2 : 0;
    if (bucket.own.recent() + amount <= part * (pool + tolerated))
        return true;
    bool newShortage = now - bucket.accruedAsOf > longestInterruption;
    if (newShortage && bucket.own.recent() == 0 && halfFull)
        return true;
    double rate = std::max(bucket.rate * shares.rateFraction() * part, 1.0);
    // Gateways begin with different amounts, or all would have accrued enough at the same moment.
    if (newShortage)
        bucket.accrued = amount * fractionOf(digestOf(base::InstanceId(base::concat(m_self, "/", account, "/", base::toMilliseconds(now.time_since_epoch())))));
    else
        bucket.accrued = std::min(bucket.accrued + rate * base::toSeconds(now - bucket.accruedAsOf), amount);
    bucket.accruedAsOf = now;
    if (bucket.accrued >= amount) {
        bucket.accrued -= amount;
        return true;
    }
    auto accrued = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>((amount - bucket.accrued) / rate));
    from = now + (amount <= part * pool ? std::min(accrued, m_unheardTime) : accrued);
    return false;
}

const AccountLimits::Bucket* AccountLimits::limitedBucket(const base::ClientAccountId& account) const
{
    auto found = m_buckets.find(account);
    return found == m_buckets.end() || found->second.removed ? nullptr : &found->second;
}

bool AccountLimits::isShort(const base::ClientAccountId& account, base::Instant now) const
{
    constexpr double halfOfBurst = 0.5;
    const Bucket* bucket = limitedBucket(account);
    return bucket && bucket->balance < bucket->burst * rateShares(now).burstFraction() * halfOfBurst;
}

double AccountLimits::ownRate(const base::ClientAccountId& account, base::Instant now) const
{
    const Bucket* bucket = limitedBucket(account);
    if (!bucket)
        return 0;
    RateShares shares = rateShares(now);
    return bucket->rate * shares.rateFraction() * partOf(*bucket, shares, now);
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
            bucket.removed.reset();
        }
        bucket.rate = static_cast<double>(account.limits.tokensPerSecond.value());
        bucket.burst = static_cast<double>(account.limits.burst.value());
        bucket.balance = std::min(bucket.balance, bucket.burst);
        kept.emplace(account.limits.id, bucket);
    }
    for (auto& [account, bucket] : m_buckets) {
        if (kept.contains(account))
            continue;
        refill(bucket, shares, now);
        bucket.removed = bucket.removed.value_or(now);
        if (now - *bucket.removed < m_settings.removedAccountRetention)
            kept.emplace(account, bucket);
    }
    m_buckets = std::move(kept);
}

void AccountLimits::setPeers(const std::map<base::InstanceId, ListedClaim>& listed, base::Instant now)
{
    for (auto& [id, peer] : m_peers) {
        auto found = listed.find(id);
        if (peer.listed && found == listed.end()) {
            peer.memberUntil = now + m_settings.departedPeerRetention;
            // The claim with which it was joining has been settled and has ended.
            if (peer.listed->settled && peer.listed->written > peer.joiningAfter)
                peer.joiningUntil = {};
        }
        peer.listed.reset();
    }
    for (const auto& [id, claim] : listed)
        peerOf(id).listed = claim;
    std::erase_if(m_peers, [&](const auto& entry) {
        const Peer& peer = entry.second;
        return !isMember(peer, now) && (!peer.lastHeard || now - *peer.lastHeard > m_settings.departedPeerRetention);
    });
}

bool AccountLimits::isAcknowledgedBy(const LimitReport& report, base::Instant joiningSince, base::Instant now) const
{
    if (std::find(report.acknowledged.begin(), report.acknowledged.end(), m_self) != report.acknowledged.end())
        return true;
    // What the sender has heard by then was sent after the claim had been written.
    return now - joiningSince > m_peerSilence * 2 && report.liveSetDigest == liveSet(now).digest;
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
    peer.joining = report.joining;
    if (report.joining) {
        peer.joiningUntil = now + m_settings.joiningPeerRetention;
        peer.joiningAfter = peer.listed ? peer.listed->written : base::Revision();
    }
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
        double share = bucket.rate * std::min(1 / static_cast<double>(shares.total), report.share) * base::toSeconds(heardFor);
        bucket.peers.add(spent, now);
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
    if (found == m_buckets.end() || found->second.removed)
        return std::nullopt;
    Bucket& bucket = found->second;
    RateShares shares = rateShares(now);
    refill(bucket, shares, now);
    if (shares.own <= 0)
        return now + m_peerSilence;
    double amount = static_cast<double>(cost.value());
    // A call larger than the whole burst is admitted by a full bucket, whose balance then becomes negative.
    double needed = std::min(amount, bucket.burst * shares.burstFraction());
    if (bucket.balance < needed)
        return availableAt(bucket, shares, needed, now);
    base::Instant from;
    if (!isCovered(account, bucket, shares, needed, now, from))
        return from;
    bucket.balance -= amount;
    bucket.charged += cost;
    bucket.own.add(amount, now);
    return std::nullopt;
}

base::Instant AccountLimits::availableAt(const Bucket& bucket, const RateShares& shares, double needed, base::Instant now)
{
    double rate = std::max(bucket.rate * shares.rateFraction(), 1.0);
    return now + std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(std::max(needed - bucket.balance, 0.0) / rate));
}

base::Instant AccountLimits::expected(const base::ClientAccountId& account, base::Tokens cost, base::Instant now) const
{
    const Bucket* bucket = limitedBucket(account);
    return bucket ? availableAt(*bucket, rateShares(now), static_cast<double>(cost.value()), now) : now;
}

void AccountLimits::refund(const base::ClientAccountId& account, base::Tokens cost, base::Instant chargedAt, base::Instant now)
{
    auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return;
    refill(found->second, rateShares(now), now);
    base::Tokens returned = std::min(cost, base::Tokens(static_cast<int64_t>(found->second.room.since(chargedAt))));
    found->second.balance += static_cast<double>(returned.value());
    found->second.charged -= returned;
}

LimitReport AccountLimits::report(Incarnation incarnation, bool joining, base::Instant now) const
{
    LiveSet own = liveSet(now);
    LimitReport report;
    report.joining = joining;
    constexpr double roundingError = 1e-9;
    RateShares shares = rateShares(now);
    if (shares.own * static_cast<double>(shares.total) < 1 - roundingError)
        report.share = shares.own;
    for (const auto& [id, peer] : m_peers) {
        if (peer.joining && recentlyHeard(peer, now) && report.acknowledged.size() < maxReportedAcknowledgements)
            report.acknowledged.push_back(id);
    }
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
