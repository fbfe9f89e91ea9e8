#include "toucanstep/scheduling/CallerMemory.h"

#include <algorithm>

namespace toucanstep::scheduling {

namespace {

// The part of a bound that is filled without regard to how long the callers have not read, in quarters.
constexpr int64_t filledQuarters = 3;
// A call's part of the room that is left below it.
constexpr int64_t roomDivisor = 8;

int64_t roomBelow(base::Bytes bound, base::Bytes held)
{
    return bound.value() / 4 * filledQuarters - held.value();
}

} // namespace

CallerMemory::CallerMemory(CallerMemorySettings settings)
    : m_settings(settings)
{
}

MemoryHolder CallerMemory::add(const base::ClientAccountId& account, base::Instant now)
{
    m_last = MemoryHolder(m_last.value() + 1);
    Holder& holder = m_holders[m_last];
    holder.account = account;
    holder.lastTaken = now;
    return m_last;
}

void CallerMemory::set(Holder& holder, HeldBytes held)
{
    base::Bytes change = held.request + held.answer - holder.total();
    m_held += change;
    if (!holder.account.empty()) {
        auto account = m_heldByAccount.try_emplace(holder.account).first;
        account->second += change;
        if (!account->second.value())
            m_heldByAccount.erase(account);
    }
    holder.held = held;
}

void CallerMemory::remove(MemoryHolder number)
{
    auto found = m_holders.find(number);
    if (found == m_holders.end())
        return;
    set(found->second, HeldBytes());
    m_holders.erase(found);
}

base::Bytes CallerMemory::heldBy(const base::ClientAccountId& account) const
{
    auto found = m_heldByAccount.find(account);
    return found == m_heldByAccount.end() ? base::Bytes() : found->second;
}

bool CallerMemory::paused(MemoryHolder number) const
{
    auto found = m_holders.find(number);
    return found != m_holders.end() && found->second.paused;
}

base::Bytes CallerMemory::pauseAbove(const Holder& holder) const
{
    int64_t room = roomBelow(m_settings.total, m_held);
    if (!holder.account.empty())
        room = std::min(room, roomBelow(m_settings.perAccount, heldBy(holder.account)));
    int64_t high = m_settings.perCall.value() / 2;
    int64_t least = std::min(m_settings.piece.value(), high);
    return base::Bytes(std::clamp(room / roomDivisor, least, high));
}

void CallerMemory::pauseOrResume(MemoryHolder number, Holder& holder, base::Instant now, MemoryDecisions& decisions) const
{
    base::Bytes high = pauseAbove(holder);
    if (!holder.paused && holder.held.answer > high) {
        holder.paused = true;
        holder.nextPiece = now + m_settings.pieceInterval;
        decisions.push_back({ number, MemoryAction::Pause, holder.total(), now - holder.lastTaken });
    } else if (holder.paused && holder.held.answer.value() <= high.value() / 2) {
        holder.paused = false;
        decisions.push_back({ number, MemoryAction::Resume, holder.total(), now - holder.lastTaken });
    }
}

void CallerMemory::endWorst(const base::ClientAccountId* account, base::Instant now, MemoryDecisions& decisions)
{
    auto worst = m_holders.end();
    double largest = -1;
    for (auto entry = m_holders.begin(); entry != m_holders.end(); ++entry) {
        const Holder& holder = entry->second;
        if (!holder.total().value() || (account && holder.account != *account))
            continue;
        // A millisecond more, so that of callers that have all just taken bytes the one that holds the most is chosen.
        double unread = base::toSeconds(now - holder.lastTaken + std::chrono::milliseconds(1));
        double product = static_cast<double>(holder.total().value()) * unread;
        if (product > largest) {
            largest = product;
            worst = entry;
        }
    }
    if (worst == m_holders.end())
        return;
    decisions.push_back({ worst->first, MemoryAction::End, worst->second.total(), now - worst->second.lastTaken });
    remove(worst->first);
}

void CallerMemory::makeRoom(const base::ClientAccountId& account, base::Bytes more, base::Instant now, MemoryDecisions& decisions)
{
    while (!account.empty() && heldBy(account).value() && heldBy(account) + more > m_settings.perAccount)
        endWorst(&account, now, decisions);
    while (m_held.value() && m_held + more > m_settings.total)
        endWorst(nullptr, now, decisions);
}

MemoryDecisions CallerMemory::onBuffered(MemoryHolder number, HeldBytes held, base::Instant now)
{
    MemoryDecisions decisions;
    auto found = m_holders.find(number);
    if (found == m_holders.end())
        return decisions;
    set(found->second, held);
    pauseOrResume(number, found->second, now, decisions);
    base::ClientAccountId account = found->second.account;
    makeRoom(account, base::Bytes(), now, decisions);
    return decisions;
}

MemoryDecisions CallerMemory::onTaken(MemoryHolder number, HeldBytes held, base::Instant now)
{
    auto found = m_holders.find(number);
    if (found != m_holders.end())
        found->second.lastTaken = now;
    return onBuffered(number, held, now);
}

MemoryDecisions CallerMemory::tick(base::Instant now)
{
    MemoryDecisions decisions;
    std::vector<MemoryHolder> due;
    for (auto& [number, holder] : m_holders) {
        if (!holder.paused)
            continue;
        pauseOrResume(number, holder, now, decisions);
        if (holder.paused && holder.nextPiece <= now && holder.held.answer + m_settings.piece <= m_settings.perCall)
            due.push_back(number);
    }
    // Pieces of this tick are not held yet, but count.
    base::Bytes promised;
    std::map<base::ClientAccountId, base::Bytes> promisedByAccount;
    for (MemoryHolder number : due) {
        auto found = m_holders.find(number);
        if (found == m_holders.end())
            continue;
        base::ClientAccountId account = found->second.account;
        base::Bytes& ofAccount = promisedByAccount[account];
        while (!account.empty() && heldBy(account).value() && heldBy(account) + ofAccount + m_settings.piece > m_settings.perAccount)
            endWorst(&account, now, decisions);
        makeRoom(base::ClientAccountId(), promised + m_settings.piece, now, decisions);
        found = m_holders.find(number);
        if (found == m_holders.end())
            continue;
        promised += m_settings.piece;
        ofAccount += m_settings.piece;
        found->second.nextPiece = now + m_settings.pieceInterval;
        decisions.push_back({ number, MemoryAction::ReadPiece, found->second.total(), now - found->second.lastTaken });
    }
    return decisions;
}

} // namespace toucanstep::scheduling
