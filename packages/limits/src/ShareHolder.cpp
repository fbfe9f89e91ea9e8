#include "toucanstep/limits/ShareHolder.h"

#include <algorithm>

namespace toucanstep::limits {

namespace {

// No planner makes an empty charge id.
ChargeId beginningOfHolding() { return ChargeId(); }

} // namespace

ShareHolder::ShareHolder(BucketLimits limits, base::Instant now, size_t memory)
    : m_bucket(limits, NanoTokens(0), now)
    , m_memory(std::max<size_t>(memory, 1))
{
    // Stands for the beginning, so that the room since then is known when the previous holder's balance arrives.
    remember(beginningOfHolding(), base::Tokens(0), false);
}

// Between two charges the balance only rises, so the room is least right before the next charge, refund or change of
// limits; it is noted at each of these.
void ShareHolder::noteRoom(base::Instant now)
{
    if (m_entries.empty())
        return;
    NanoTokens room = toNanoTokens(m_bucket.limits().burst) - m_bucket.balanceAt(now);
    m_entries.back().leastRoom = std::min(m_entries.back().leastRoom, room);
}

void ShareHolder::remember(const ChargeId& id, base::Tokens taken, bool settled)
{
    m_positions[id] = m_forgotten + m_entries.size();
    m_entries.push_back({ id, taken, toNanoTokens(m_bucket.limits().burst), settled });
    if (m_entries.size() <= m_memory)
        return;
    m_positions.erase(m_entries.front().id);
    m_entries.pop_front();
    ++m_forgotten;
}

base::Tokens ShareHolder::charge(const ChargeId& id, base::Tokens minimum, base::Tokens wanted, base::Instant now)
{
    auto known = m_positions.find(id);
    if (known != m_positions.end())
        return m_entries[known->second - m_forgotten].taken;
    base::Tokens amount = std::min(wanted, wholeTokens(m_bucket.balanceAt(now)));
    if (amount < minimum || amount <= base::Tokens(0))
        return base::Tokens(0);
    noteRoom(now);
    m_bucket.take(amount, now);
    remember(id, amount, false);
    return amount;
}

NanoTokens ShareHolder::leastRoomSince(size_t position) const
{
    NanoTokens least = m_entries[position].leastRoom;
    for (size_t index = position + 1; index < m_entries.size(); ++index)
        least = std::min(least, m_entries[index].leastRoom);
    return least;
}

NanoTokens ShareHolder::refund(const ChargeId& id, base::Tokens unused, base::Instant now)
{
    noteRoom(now);
    auto known = m_positions.find(id);
    if (known == m_positions.end()) {
        // The return overtook its charge: nothing may be taken under this id any more.
        remember(id, base::Tokens(0), true);
        return NanoTokens(0);
    }
    size_t position = known->second - m_forgotten;
    Entry& entry = m_entries[position];
    if (entry.settled)
        return NanoTokens(0);
    entry.settled = true;
    return addAsOf(position, toNanoTokens(std::clamp(unused, base::Tokens(0), entry.taken)), now);
}

// Failure guarded against: charge the burst, let the bucket fill up, charge it again, then return the first charge and
// charge that too: twice the burst in one instant. What the bucket could not have held in between is not added.
NanoTokens ShareHolder::addAsOf(size_t position, NanoTokens wanted, base::Instant now)
{
    NanoTokens added = m_bucket.add(std::min(wanted, leastRoomSince(position)), now);
    for (size_t index = position; index < m_entries.size(); ++index)
        m_entries[index].leastRoom -= added;
    return added;
}

void ShareHolder::setLimits(BucketLimits limits, base::Instant now)
{
    noteRoom(now);
    m_bucket.setLimits(limits, now);
    noteRoom(now);
}

NanoTokens ShareHolder::addHandedOver(NanoTokens balance, base::Instant now)
{
    noteRoom(now);
    auto beginning = m_positions.find(beginningOfHolding());
    // Too much has happened since the take-over to know what the bucket could have held.
    if (beginning == m_positions.end())
        return NanoTokens(0);
    return addAsOf(beginning->second - m_forgotten, balance, now);
}

NanoTokens ShareHolder::drop(base::Instant now)
{
    m_entries.clear();
    m_positions.clear();
    m_forgotten = 0;
    m_turn.reset();
    return m_bucket.drain(now);
}

bool ShareHolder::takeTurn(const base::RequestId& gatherer, base::Instant until, base::Instant now)
{
    if (m_turn && m_turn->until > now && m_turn->gatherer != gatherer)
        return false;
    m_turn = Turn { gatherer, until };
    return true;
}

void ShareHolder::endTurn(const base::RequestId& gatherer)
{
    if (m_turn && m_turn->gatherer == gatherer)
        m_turn.reset();
}

std::optional<base::Instant> ShareHolder::turnEndsAt(base::Instant now) const
{
    if (!m_turn || m_turn->until <= now)
        return std::nullopt;
    return m_turn->until;
}

} // namespace toucanstep::limits
