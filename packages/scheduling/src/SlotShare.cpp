#include "toucanstep/scheduling/SlotShare.h"

#include "toucanstep/base/Text.h"

#include <algorithm>
#include <functional>
#include <limits>

namespace toucanstep::scheduling {

namespace {

// Without a waiting call for this long, the queue counts as new.
constexpr auto creditLifetime = std::chrono::seconds(1);

double initialCredit(const std::string& self, const ModelQueue& queue, base::Instant now)
{
    auto drawn = std::hash<std::string> {}(base::concat(self, "/", queue.model, "/", base::toMilliseconds(now.time_since_epoch())));
    return static_cast<double>(drawn) / static_cast<double>(std::numeric_limits<size_t>::max());
}

struct Contenders {
    // Calls that go first.
    int64_t before = 0;
    // Calls of the same rank.
    int64_t equal = 0;
};

Contenders contendersOf(const QueueRank& rank, const QueuedCallsByPriority& calls)
{
    Contenders contenders;
    for (const auto& [priority, queued] : calls) {
        if (priority > rank.priority)
            continue;
        bool late = rank.queueClass == QueueClass::Late;
        if (priority < rank.priority) {
            contenders.before += queued.total();
        } else {
            contenders.before += late ? queued.inTime : 0;
            contenders.equal += late ? queued.late : queued.inTime;
        }
    }
    return contenders;
}

} // namespace

SlotShare::SlotShare(std::string self)
    : m_self(std::move(self))
{
}

void SlotShare::setPeers(QueuedCallCounts peers)
{
    m_peers = std::move(peers);
}

void SlotShare::setPeerAccounts(QueuedByAccount accounts)
{
    m_peerAccounts = std::move(accounts);
}

double SlotShare::fairShare(const ModelQueue& queue, int64_t priority, const CallsByAccount& own, int64_t equalElsewhere, double slots) const
{
    CallsByAccount elsewhere;
    auto priorities = m_peerAccounts.find(queue);
    if (priorities != m_peerAccounts.end()) {
        auto accounts = priorities->second.find(priority);
        if (accounts != priorities->second.end())
            elsewhere = accounts->second;
    }
    int64_t unlisted = equalElsewhere;
    for (const auto& [account, calls] : elsewhere)
        unlisted -= calls;
    return fairSlotPart(own, elsewhere, unlisted, slots, m_leads);
}

SlotShare::PeerCalls SlotShare::peerCalls(const ModelQueue& queue, const QueueRank& rank) const
{
    auto peers = m_peers.find(queue);
    if (peers == m_peers.end())
        return {};
    Contenders theirs = contendersOf(rank, peers->second);
    return { theirs.before, theirs.equal };
}

SlotShare::Credit& SlotShare::creditAt(const ModelQueue& queue, int64_t priority, base::Instant now)
{
    auto [place, isNew] = m_credits.try_emplace(std::pair(queue, priority));
    if (isNew || now - place->second.asOf > creditLifetime)
        place->second = { initialCredit(m_self, queue, now), now };
    return place->second;
}

double SlotShare::offeredSlots(int64_t freeSlots, int64_t running, double turnover)
{
    // A slot that is taken is still reported free for half an interval on average. Offering all of them in each interval would
    // fill upstreams that empty at once far beyond their slots.
    constexpr double partOfFree = 0.5;
    return static_cast<double>(freeSlots) * partOfFree + static_cast<double>(running) * turnover;
}

bool SlotShare::takeSlot(const ModelQueue& queue, const QueueRank& rank, const QueuedCallsByPriority& own, double slots, base::Instant now, const CallsByAccount* ownAccounts)
{
    auto peers = m_peers.find(queue);
    if (peers == m_peers.end() || rank.queueClass == QueueClass::Resuming)
        return true;
    Contenders theirs = contendersOf(rank, peers->second);
    bool othersOnlyBehind = !theirs.before && !theirs.equal;
    auto ownEqual = static_cast<double>(std::max<int64_t>(contendersOf(rank, own).equal, 1));
    // Where only calls of lower rank are reported, calls of the same rank have probably arrived since.
    double share = ownEqual / (ownEqual + static_cast<double>(othersOnlyBehind ? 1 : theirs.equal));
    double left = std::max(slots - static_cast<double>(theirs.before), 0.0);
    if (ownAccounts && rank.queueClass == QueueClass::InTime && theirs.equal)
        share = fairShare(queue, rank.priority, *ownAccounts, theirs.equal, left);
    double perInterval = left * share;
    Credit& credit = creditAt(queue, ownAccounts ? rank.priority : 0, now);
    double intervals = std::clamp(base::toSeconds(now - credit.asOf) / base::toSeconds(m_reportInterval), 0.0, 1.0);
    credit.slots = std::min(credit.slots + perInterval * intervals, std::max(perInterval, 1.0));
    credit.asOf = now;
    // A call before all reported ones need not wait for a whole slot, but for the earlier ones of this gateway.
    bool mayTake = othersOnlyBehind ? credit.slots > 0 : credit.slots >= 1;
    if (mayTake)
        credit.slots -= 1;
    return mayTake;
}

int64_t SlotShare::callsAhead(const ModelQueue& queue, const QueueRank& rank, const QueuedCallsByPriority& own) const
{
    Contenders ahead = contendersOf(rank, own);
    auto peers = m_peers.find(queue);
    Contenders theirs = peers == m_peers.end() ? Contenders() : contendersOf(rank, peers->second);
    return ahead.before + ahead.equal + theirs.before + theirs.equal;
}

} // namespace toucanstep::scheduling
