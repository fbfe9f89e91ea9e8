#include "toucanstep/direct/AccountLimits.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

// Fits into what every reader of a report takes for a whole number.
constexpr int64_t digestMask = (int64_t(1) << 53) - 1;

// FNV-1a.
int64_t digestOf(const base::InstanceId& id)
{
    uint64_t hash = 14695981039346656037U;
    for (unsigned char letter : id.value())
        hash = (hash ^ letter) * 1099511628211U;
    return static_cast<int64_t>(hash) & digestMask;
}

} // namespace

AccountLimits::AccountLimits(AccountLimitsSettings settings)
    : m_settings(settings)
{
}

bool AccountLimits::heardOfLate(const Peer& peer, base::Instant now) const
{
    return peer.heard && now - *peer.heard <= m_settings.peerSilence;
}

bool AccountLimits::counts(const Peer& peer, base::Instant now) const
{
    return heardOfLate(peer, now) || peer.listed || now < peer.countsUntil;
}

void AccountLimits::setSelf(base::InstanceId self, base::Instant now)
{
    m_self = std::move(self);
    m_started = now;
}

AccountLimits::Hearing AccountLimits::hearing(base::Instant now) const
{
    Hearing own { {}, digestOf(m_self) };
    for (const auto& [id, peer] : m_peers) {
        if (heardOfLate(peer, now))
            own.digest = (own.digest + digestOf(id)) & digestMask;
        else if (counts(peer, now))
            own.silentPeers.push_back(id);
    }
    return own;
}

bool AccountLimits::shares(const Peer& peer, const Hearing& own) const
{
    // A peer that has just started may not even know of a gateway that has been gone for a while.
    if (peer.liveSetDigest == own.digest)
        return true;
    bool hearsAllThatItHears = std::all_of(own.silentPeers.begin(), own.silentPeers.end(), [&](const auto& id) { return peer.silentPeers.contains(id); });
    return hearsAllThatItHears && !peer.silentPeers.contains(m_self);
}

AccountLimits::Parts AccountLimits::parts(base::Instant now) const
{
    Parts parts;
    Hearing own = hearing(now);
    for (const auto& [id, peer] : m_peers) {
        if (!counts(peer, now))
            continue;
        ++parts.all;
        if (!heardOfLate(peer, now))
            continue;
        ++parts.heard;
        parts.shared += shares(peer, own) ? 1 : 0;
    }
    return parts;
}

void AccountLimits::accrue(Bucket& bucket, const Parts& parts, base::Instant now)
{
    base::Duration time = std::max<base::Duration>(now - bucket.updated, base::Duration::zero());
    bucket.balance += bucket.rate / static_cast<double>(parts.all) * base::toSeconds(time);
    bucket.balance = std::min(bucket.balance, bucket.burst * parts.ofBurst());
    bucket.updated = std::max(bucket.updated, now);
}

void AccountLimits::setAccounts(const DesiredState& state, base::Instant now)
{
    std::map<base::ClientAccountId, Bucket> kept;
    Parts all = parts(now);
    for (const Account& account : state.accounts) {
        if (!account.limited())
            continue;
        Bucket bucket;
        bucket.updated = now;
        auto known = m_buckets.find(account.limits.id);
        if (known != m_buckets.end()) {
            accrue(known->second, all, now);
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
            peer.countsUntil = now + m_settings.peerMemory;
        peer.listed = listed.contains(id);
    }
    for (const auto& id : listed)
        m_peers[id].listed = true;
    std::erase_if(m_peers, [&](const auto& entry) {
        const Peer& peer = entry.second;
        return !peer.listed && now >= peer.countsUntil && (!peer.heard || now - *peer.heard > m_settings.peerMemory);
    });
}

void AccountLimits::onReport(const base::InstanceId& id, const LimitReport& report, base::Instant now)
{
    Peer& peer = m_peers[id];
    if (peer.incarnation > report.incarnation)
        return;
    // What a peer had spent when it was first heard was before this gateway's time: its own bucket was empty then. A peer
    // that was heard before and has started again counts from its start, or what it spent before its first report is lost.
    bool firstHeard = !peer.heard;
    bool sameStart = peer.incarnation == report.incarnation;
    // What a process spent between its last report and its end is not known, so its part of that time is lost.
    base::Duration heardFor = !firstHeard && sameStart ? now - *peer.heard : base::Duration::zero();
    if (!sameStart)
        peer.totals.clear();
    if (firstHeard || !sameStart)
        peer.since = now;
    peer.incarnation = report.incarnation;
    peer.heard = now;
    peer.countsUntil = now + m_settings.peerMemory;
    peer.silentPeers = { report.silentPeers.begin(), report.silentPeers.end() };
    peer.liveSetDigest = report.liveSetDigest;
    // After a longer silence others may have shared its part meanwhile.
    bool shared = heardFor <= m_settings.peerSilence && shares(peer, hearing(now));
    Parts all = parts(now);
    for (const AccountCharge& charge : report.charges) {
        auto total = peer.totals.try_emplace(charge.account, firstHeard ? charge.total : base::Tokens()).first;
        auto spent = static_cast<double>((charge.total - total->second).value());
        total->second = charge.total;
        auto found = m_buckets.find(charge.account);
        if (found == m_buckets.end())
            continue;
        Bucket& bucket = found->second;
        double part = bucket.rate / static_cast<double>(all.all) * base::toSeconds(heardFor);
        bucket.balance += (shared ? part : std::min(part, std::max(spent, 0.0))) - spent;
        accrue(bucket, all, now);
    }
    if (now - m_started < m_settings.startTime)
        adopt(report.balances);
}

// Again with each report: until all gateways are heard, a bucket is capped at a part. What was spent here since the start
// may not be known to the peer.
void AccountLimits::adopt(const std::vector<AccountBalance>& balances)
{
    for (const AccountBalance& known : balances) {
        auto bucket = m_buckets.find(known.account);
        if (bucket != m_buckets.end())
            bucket->second.balance = std::max(bucket->second.balance, std::min(bucket->second.burst, static_cast<double>((known.balance - bucket->second.charged).value())));
        m_hasAdopted |= bucket != m_buckets.end();
    }
}

std::optional<base::Instant> AccountLimits::charge(const base::ClientAccountId& account, base::Tokens cost, base::Instant now)
{
    auto found = m_buckets.find(account);
    if (found == m_buckets.end())
        return std::nullopt;
    Bucket& bucket = found->second;
    Parts all = parts(now);
    accrue(bucket, all, now);
    double amount = static_cast<double>(cost.value());
    // A call above the whole burst is let in by a full bucket, which it then owes.
    double needed = std::min(amount, bucket.burst * all.ofBurst());
    if (bucket.balance >= needed) {
        bucket.balance -= amount;
        bucket.charged += cost;
        return std::nullopt;
    }
    return whenThere(bucket, all, needed, now);
}

base::Instant AccountLimits::whenThere(const Bucket& bucket, const Parts& parts, double needed, base::Instant now)
{
    double rate = std::max(bucket.rate * parts.ofRate(), 1.0);
    return now + std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(std::max(needed - bucket.balance, 0.0) / rate));
}

base::Instant AccountLimits::expected(const base::ClientAccountId& account, base::Tokens cost, base::Instant now) const
{
    auto found = m_buckets.find(account);
    return found == m_buckets.end() ? now : whenThere(found->second, parts(now), static_cast<double>(cost.value()), now);
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
    Hearing own = hearing(now);
    LimitReport report { incarnation, {}, std::move(own.silentPeers), own.digest, {} };
    bool anyNew = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& entry) { return heardOfLate(entry.second, now) && now - entry.second.since < m_settings.startTime; });
    // What has just started itself knows nothing of what was spent before.
    bool sendBalances = anyNew && (m_hasAdopted || now - m_started > m_settings.startTime * 2);
    for (const auto& [account, bucket] : m_buckets) {
        report.charges.push_back({ account, bucket.charged });
        if (sendBalances)
            report.balances.push_back({ account, base::Tokens(static_cast<int64_t>(bucket.balance)) });
    }
    return report;
}

} // namespace toucanstep::direct
