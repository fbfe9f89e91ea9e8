#include "toucanstep/limits/ShareHolder.h"

#include <algorithm>

namespace toucanstep::limits {

namespace {

// Uses the empty charge id, which ChargeCoordinator never generates.
ChargeId takeoverMarker() { return ChargeId(); }

} // namespace

ShareHolder::ShareHolder(BucketLimits limits, base::Instant now, size_t maximumEntries)
    : m_bucket(limits, NanoTokens(0), now)
    , m_maximumEntries(std::max<size_t>(maximumEntries, 1))
{
    // Marks the takeover, so that the headroom since then is known when the previous holder's balance arrives.
    addEntry(takeoverMarker(), base::Tokens(0), false);
}

// Between two changes of the bucket the balance only rises, so the headroom is smallest just before the next charge,
// refund or change of limits. It is recorded at each of these.
void ShareHolder::recordHeadroom(base::Instant now)
{
    if (m_entries.empty())
        return;
    NanoTokens headroom = toNanoTokens(m_bucket.limits().burst) - m_bucket.balanceAt(now);
    m_entries.back().minimumHeadroom = std::min(m_entries.back().minimumHeadroom, headroom);
}

void ShareHolder::addEntry(const ChargeId& id, base::Tokens taken, bool settled)
{
    m_positions[id] = m_evictedCount + m_entries.size();
    m_entries.push_back({ id, taken, toNanoTokens(m_bucket.limits().burst), settled });
    if (m_entries.size() <= m_maximumEntries)
        return;
    m_positions.erase(m_entries.front().id);
    m_entries.pop_front();
    ++m_evictedCount;
}

base::Tokens ShareHolder::charge(const ChargeId& id, base::Tokens minimum, base::Tokens wanted, base::Instant now)
{
    auto known = m_positions.find(id);
    if (known != m_positions.end())
        return m_entries[known->second - m_evictedCount].taken;
    base::Tokens amount = std::min(wanted, wholeTokens(m_bucket.balanceAt(now)));
    if (amount < minimum || amount <= base::Tokens(0))
        return base::Tokens(0);
    recordHeadroom(now);
    m_bucket.take(amount, now);
    addEntry(id, amount, false);
    return amount;
}

NanoTokens ShareHolder::minimumHeadroomSince(size_t position) const
{
    NanoTokens least = m_entries[position].minimumHeadroom;
    for (size_t index = position + 1; index < m_entries.size(); ++index)
        least = std::min(least, m_entries[index].minimumHeadroom);
    return least;
}

NanoTokens ShareHolder::refund(const ChargeId& id, base::Tokens unused, base::Instant now)
{
    recordHeadroom(now);
    auto known = m_positions.find(id);
    if (known == m_positions.end()) {
        // The return overtook its charge: nothing may be taken under this id anymore.
        addEntry(id, base::Tokens(0), true);
        return NanoTokens(0);
    }
    size_t position = known->second - m_evictedCount;
    Entry& entry = m_entries[position];
    if (entry.settled)
        return NanoTokens(0);
    entry.settled = true;
    return addBackdated(position, toNanoTokens(std::clamp(unused, base::Tokens(0), entry.taken)), now);
}

// Guards against spending the burst twice at one instant: charge the burst, let the bucket refill, charge it again,
// then return the first charge and charge those tokens too. Only what the bucket could have held all the time since
// is added.
NanoTokens ShareHolder::addBackdated(size_t position, NanoTokens wanted, base::Instant now)
{
    NanoTokens added = m_bucket.add(std::min(wanted, minimumHeadroomSince(position)), now);
    for (size_t index = position; index < m_entries.size(); ++index)
        m_entries[index].minimumHeadroom -= added;
    return added;
}

void ShareHolder::setLimits(BucketLimits limits, base::Instant now)
{
    recordHeadroom(now);
    m_bucket.setLimits(limits, now);
    recordHeadroom(now);
}

NanoTokens ShareHolder::addHandedOver(NanoTokens balance, base::Instant now)
{
    recordHeadroom(now);
    auto takeover = m_positions.find(takeoverMarker());
    // The marker has been evicted, so it is unknown how much the bucket could have held since the takeover.
    if (takeover == m_positions.end())
        return NanoTokens(0);
    return addBackdated(takeover->second - m_evictedCount, balance, now);
}

NanoTokens ShareHolder::drop(base::Instant now)
{
    m_entries.clear();
    m_positions.clear();
    m_evictedCount = 0;
    m_gatherLock.reset();
    return m_bucket.drain(now);
}

bool ShareHolder::acquireGatherLock(const base::RequestId& gatherer, base::Instant expiresAt, base::Instant now)
{
    if (m_gatherLock && m_gatherLock->expiresAt > now && m_gatherLock->gatherer != gatherer)
        return false;
    m_gatherLock = GatherLock { gatherer, expiresAt };
    return true;
}

void ShareHolder::releaseGatherLock(const base::RequestId& gatherer)
{
    if (m_gatherLock && m_gatherLock->gatherer == gatherer)
        m_gatherLock.reset();
}

std::optional<base::Instant> ShareHolder::gatherLockExpiresAt(base::Instant now) const
{
    if (!m_gatherLock || m_gatherLock->expiresAt <= now)
        return std::nullopt;
    return m_gatherLock->expiresAt;
}

} // namespace toucanstep::limits
