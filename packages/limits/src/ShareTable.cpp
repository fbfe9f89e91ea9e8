#include "toucanstep/limits/ShareTable.h"

#include <algorithm>

namespace toucanstep::limits {

namespace {

// Retry interval while another request holds the gather lock. The lock is usually released after two round trips.
constexpr base::Duration lockRetryInterval = std::chrono::milliseconds(2);

} // namespace

ShareTable::Held* ShareTable::find(const ShareId& share, base::Epoch epoch)
{
    auto found = m_shares.find(share);
    if (found == m_shares.end() || found->second.epoch != epoch)
        return nullptr;
    return &found->second;
}

void ShareTable::take(const ShareId& share, base::Epoch epoch, BucketLimits limits, base::Instant now)
{
    auto found = m_shares.find(share);
    if (found != m_shares.end() && found->second.epoch >= epoch)
        return;
    m_shares.erase(share);
    m_shares.emplace(share, Held { epoch, ShareHolder(limits, now) });
}

std::optional<Handover> ShareTable::release(const ShareId& share, base::Instant now)
{
    auto found = m_shares.find(share);
    if (found == m_shares.end())
        return std::nullopt;
    Handover handover { share, found->second.epoch, found->second.holder.drop(now) };
    m_shares.erase(found);
    return handover;
}

void ShareTable::dropAll()
{
    m_shares.clear();
}

bool ShareTable::acceptHandover(const Handover& handover, base::Instant now)
{
    Held* held = find(handover.share, handover.epoch + base::Epoch(1));
    if (!held || held->handoverAccepted)
        return false;
    // A duplicate of the message must not add the balance again.
    held->handoverAccepted = true;
    held->holder.addHandedOver(handover.balance, now);
    return true;
}

void ShareTable::setLimits(const base::ClientAccountId& account, BucketLimits total, int shareCount, base::Instant now)
{
    std::vector<BucketLimits> slices = splitLimits(total, shareCount);
    for (auto& [share, held] : m_shares) {
        if (share.account != account)
            continue;
        // A share that no longer exists gets zero limits until its row is released.
        bool exists = share.index < static_cast<int>(slices.size());
        held.holder.setLimits(exists ? slices[share.index] : BucketLimits {}, now);
    }
}

ChargeReply ShareTable::onCharge(const ChargeRequest& request, base::Instant now)
{
    ChargeReply reply { .charge = request.charge, .hint = { .share = request.share, .epoch = request.epoch } };
    Held* held = find(request.share, request.epoch);
    if (!held)
        return reply;
    ShareHolder& holder = held->holder;
    if (request.lockTtl > base::Duration::zero() && !holder.acquireGatherLock(request.gatherer, now + request.lockTtl, now)) {
        reply.result = ChargeResult::Busy;
        reply.retryAfter = std::min(base::remaining(now, *holder.gatherLockExpiresAt(now)), lockRetryInterval);
    } else {
        reply.granted = holder.charge(request.charge, request.minimum, request.wanted, now);
        reply.result = reply.granted > base::Tokens(0) ? ChargeResult::Granted : ChargeResult::Insufficient;
    }
    reply.hint.balance = holder.bucket().balanceAt(now);
    reply.hint.limits = holder.bucket().limits();
    return reply;
}

NanoTokens ShareTable::onReturn(const ChargeReturn& message, base::Instant now)
{
    Held* held = find(message.share, message.epoch);
    return held ? held->holder.refund(message.charge, message.unused, now) : NanoTokens(0);
}

void ShareTable::onGatherUnlock(const GatherUnlock& message)
{
    if (Held* held = find(message.share, message.epoch))
        held->holder.releaseGatherLock(message.gatherer);
}

bool ShareTable::holds(const ShareId& share) const
{
    return m_shares.contains(share);
}

std::vector<ShareHint> ShareTable::hints(base::Instant now) const
{
    std::vector<ShareHint> hints;
    for (const auto& [share, held] : m_shares)
        hints.push_back({ share, held.epoch, held.holder.bucket().balanceAt(now), held.holder.bucket().limits() });
    std::sort(hints.begin(), hints.end(), [](const ShareHint& left, const ShareHint& right) { return left.share < right.share; });
    return hints;
}

} // namespace toucanstep::limits
