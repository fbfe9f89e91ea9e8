#include "toucanstep/limits/ChargeCoordinator.h"

#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::limits {

namespace {

// Limits on the work for one request, so that repeated races end in a refusal instead of an endless loop.
constexpr int maximumCharges = 64;
constexpr int maximumRestarts = 3;
// How many gather windows a request waits for the gather lock before it gathers without it. The lock only keeps two
// gathers from taking parts that the other needs; the rate bound does not depend on it.
constexpr int lockWaitWindows = 2;

base::Tokens expectedTokens(const ShareView& share, base::Instant now)
{
    return share.reachable ? wholeTokens(share.expectedBalance(now)) : base::Tokens(0);
}

int64_t fillPerMille(const ShareView& share, base::Instant now)
{
    int64_t burst = share.hint.limits.burst.value();
    return burst > 0 ? share.expectedBalance(now).value() / burst / (nanoTokensPerToken / 1000) : 0;
}

} // namespace

NanoTokens ShareView::expectedBalance(base::Instant now) const
{
    return TokenBucket(hint.limits, hint.balance, observedAt).balanceAt(now);
}

std::vector<AddressedMessage> returnUnused(const std::vector<ChargedPart>& parts, base::Tokens unused)
{
    std::vector<AddressedMessage> messages;
    for (auto part = parts.rbegin(); part != parts.rend() && unused > base::Tokens(0); ++part) {
        base::Tokens amount = std::min(unused, part->amount);
        messages.push_back({ part->holder, ChargeReturn { part->charge, part->share, part->epoch, amount } });
        unused -= amount;
    }
    return messages;
}

ChargeCoordinator::ChargeCoordinator(ChargeOptions options, AccountCharge charge, std::vector<ShareView> shares)
    : m_options(std::move(options))
    , m_charge(std::move(charge))
    , m_shares(std::move(shares))
    , m_triedFullCost(m_shares.size(), false)
{
    std::sort(m_shares.begin(), m_shares.end(), [](const ShareView& left, const ShareView& right) { return left.hint.share < right.hint.share; });
}

std::vector<AddressedMessage> ChargeCoordinator::start(base::Instant now)
{
    m_startedAt = now;
    base::Tokens burst;
    for (const auto& share : m_shares)
        burst += share.hint.limits.burst;
    if (m_charge.cost <= base::Tokens(0))
        m_outcome = ChargeAdmitted {};
    else if (m_charge.cost > burst)
        refuseWith(base::RefusalCode::CostAboveBurst, std::nullopt);
    else
        proceed(now);
    return takeOutput();
}

std::vector<AddressedMessage> ChargeCoordinator::onReply(const ChargeReply& reply, base::Instant now)
{
    // Ignore replies to abandoned charges and duplicates: the charge has already been returned or counted.
    if (m_outcome || !m_pending || m_pending->request.charge != reply.charge)
        return {};
    // After a process pause the reply may be read before the timer fires. Return the tokens, since the caller no
    // longer waits.
    if (now >= m_charge.deadline)
        return onTick(now);
    Pending answered = *m_pending;
    m_pending.reset();
    updateView(answered.share, reply, now);
    // The retransmitted copy of the charge may still be granted later; return what it takes.
    if (answered.retried && reply.result != ChargeResult::Granted)
        returnCharge(answered);
    switch (reply.result) {
    case ChargeResult::Granted:
        onGranted(answered, reply, now);
        break;
    case ChargeResult::Busy:
        onBusy(reply, now);
        break;
    case ChargeResult::Insufficient:
    case ChargeResult::NotHolder:
        if (answered.request.lockTtl > base::Duration::zero() && reply.result == ChargeResult::Insufficient)
            m_lockedShare = answered.share;
        proceed(now);
        break;
    }
    return takeOutput();
}

std::vector<AddressedMessage> ChargeCoordinator::onTick(base::Instant now)
{
    if (m_outcome)
        return {};
    if (now >= m_charge.deadline) {
        abandonPending();
        refuseWith(base::RefusalCode::DeadlineExceeded, std::nullopt);
    } else if (m_pending && now >= m_pending->replyDeadline) {
        onReplyTimeout(now);
    } else if (m_resumeAt && now >= *m_resumeAt) {
        m_resumeAt.reset();
        bool forLock = m_phase == Phase::WaitingForLock;
        m_phase = forLock ? Phase::Gather : Phase::SingleShare;
        proceed(now);
    }
    return takeOutput();
}

std::optional<base::Instant> ChargeCoordinator::nextWakeUp() const
{
    if (m_outcome)
        return std::nullopt;
    base::Instant next = m_charge.deadline;
    if (m_pending)
        next = std::min(next, m_pending->replyDeadline);
    if (m_resumeAt)
        next = std::min(next, *m_resumeAt);
    return next;
}

void ChargeCoordinator::proceed(base::Instant now)
{
    if (m_chargesSent >= maximumCharges)
        refuseWith(base::RefusalCode::RateLimited, coveredAt(now));
    else if (m_phase == Phase::Gather)
        continueGather(now);
    else
        chargeFullCost(now);
}

// A share that can't cover the full cost takes nothing and replies with its exact balance. A request that can't be
// covered therefore takes no tokens while it finds that out.
void ChargeCoordinator::chargeFullCost(base::Instant now)
{
    std::optional<size_t> best = fullestUntriedShare(now);
    bool bestCovers = best && expectedTokens(m_shares[*best], now) >= m_charge.cost;
    if (!bestCovers && expectedTotal(now) >= m_charge.cost) {
        beginGather(now);
        return;
    }
    if (!best) {
        refuseOrWait(now);
        return;
    }
    m_triedFullCost[*best] = true;
    sendCharge(*best, m_charge.cost, m_charge.cost, base::Duration::zero(), now);
}

void ChargeCoordinator::beginGather(base::Instant now)
{
    m_phase = Phase::Gather;
    m_nextInPass = 0;
    m_gatherFloor = gatherFloor(now);
    continueGather(now);
}

void ChargeCoordinator::continueGather(base::Instant now)
{
    std::optional<size_t> next = nextReachableShare(m_nextInPass);
    if (!next) {
        finishPass(now);
        return;
    }
    bool lockWaitExpired = m_lockRequestedAt && now - *m_lockRequestedAt >= lockWaitWindows * m_options.gatherWindow;
    bool acquiresLock = !m_lockedShare && m_parts.empty() && !lockWaitExpired && next == nextReachableShare(0);
    m_nextInPass = *next + 1;
    base::Tokens aboveFloor = std::max(base::Tokens(1), expectedTokens(m_shares[*next], now) - m_gatherFloor);
    base::Tokens wanted = std::min(m_charge.cost - gathered(), aboveFloor);
    sendCharge(*next, base::Tokens(1), wanted, acquiresLock ? m_options.gatherWindow : base::Duration::zero(), now);
}

void ChargeCoordinator::finishPass(base::Instant now)
{
    // Tokens accrued at the first holders during the pass may now suffice.
    if (expectedTotal(now) + gathered() >= m_charge.cost && now - m_oldestPartSentAt < m_options.gatherWindow) {
        m_nextInPass = 0;
        m_gatherFloor = base::Tokens(0);
        if (nextReachableShare(0)) {
            continueGather(now);
            return;
        }
    }
    bool covered = expectedTotal(now) + gathered() >= m_charge.cost;
    if (covered) {
        restart(now);
        return;
    }
    finishGather();
    m_phase = Phase::SingleShare;
    refuseOrWait(now);
}

void ChargeCoordinator::finishGather()
{
    refundParts();
    releaseGatherLock();
    m_lockRequestedAt.reset();
}

void ChargeCoordinator::restart(base::Instant now)
{
    finishGather();
    if (++m_restarts > maximumRestarts) {
        refuseWith(base::RefusalCode::RateLimited, coveredAt(now));
        return;
    }
    m_phase = Phase::SingleShare;
    m_triedFullCost.assign(m_shares.size(), false);
    proceed(now);
}

void ChargeCoordinator::refuseOrWait(base::Instant now)
{
    std::optional<base::Instant> retryAt = coveredAt(now);
    base::Instant waitLimit = std::min(m_startedAt + m_options.maximumWait, m_charge.deadline);
    bool waits = retryAt && *retryAt <= waitLimit && m_options.maximumWait > base::Duration::zero();
    if (!waits) {
        refuseWith(base::RefusalCode::RateLimited, retryAt);
        return;
    }
    m_phase = Phase::WaitingForTokens;
    m_triedFullCost.assign(m_shares.size(), false);
    m_resumeAt = std::max(*retryAt, now + base::Duration(1));
}

void ChargeCoordinator::refuseWith(base::RefusalCode code, std::optional<base::Instant> retryAt)
{
    refundParts();
    releaseGatherLock();
    int unreachable = static_cast<int>(std::count_if(m_shares.begin(), m_shares.end(), [](const ShareView& share) { return !share.reachable; }));
    m_outcome = ChargeRefused { code, retryAt, unreachable };
}

void ChargeCoordinator::sendCharge(size_t share, base::Tokens minimum, base::Tokens wanted, base::Duration lockTtl, base::Instant now)
{
    const ShareView& view = m_shares[share];
    ChargeId id(base::concat(m_charge.request, "/", m_nextCharge++));
    ++m_chargesSent;
    ChargeRequest request { id, view.hint.share, view.hint.epoch, minimum, wanted, lockTtl, m_charge.request };
    m_output.push_back({ view.holder, request });
    m_pending = Pending { share, request, now, now + m_options.replyTimeout };
}

// Handles a charge whose reply may have been lost. Resending it under the same id does not charge twice. If there is
// no reply to that either, the charge counts as spent: the request continues with other shares and ignores late
// replies, so the return, if it arrives, only gives back tokens that no request was admitted with.
void ChargeCoordinator::onReplyTimeout(base::Instant now)
{
    if (!m_pending->retried) {
        m_pending->retried = true;
        m_pending->replyDeadline = now + m_options.replyTimeout;
        m_output.push_back({ m_shares[m_pending->share].holder, m_pending->request });
        return;
    }
    m_shares[m_pending->share].reachable = false;
    abandonPending();
    proceed(now);
}

void ChargeCoordinator::returnCharge(const Pending& pending)
{
    const ChargeRequest& request = pending.request;
    m_output.push_back({ m_shares[pending.share].holder, ChargeReturn { request.charge, request.share, request.epoch, request.wanted } });
}

void ChargeCoordinator::abandonPending()
{
    if (!m_pending)
        return;
    returnCharge(*m_pending);
    const ChargeRequest& request = m_pending->request;
    const base::InstanceId& holder = m_shares[m_pending->share].holder;
    if (request.lockTtl > base::Duration::zero())
        m_output.push_back({ holder, GatherUnlock { request.share, request.epoch, m_charge.request } });
    m_pending.reset();
}

void ChargeCoordinator::refundParts()
{
    for (const auto& part : m_parts) {
        m_output.push_back({ part.holder, ChargeReturn { part.charge, part.share, part.epoch, part.amount } });
        for (auto& share : m_shares) {
            if (share.hint.share == part.share)
                share.hint.balance += toNanoTokens(part.amount);
        }
    }
    m_parts.clear();
}

void ChargeCoordinator::releaseGatherLock()
{
    if (!m_lockedShare)
        return;
    const ShareView& view = m_shares[*m_lockedShare];
    m_output.push_back({ view.holder, GatherUnlock { view.hint.share, view.hint.epoch, m_charge.request } });
    m_lockedShare.reset();
}

void ChargeCoordinator::updateView(size_t share, const ChargeReply& reply, base::Instant now)
{
    ShareView& view = m_shares[share];
    if (reply.result == ChargeResult::NotHolder) {
        view.reachable = false;
        return;
    }
    view.hint = reply.hint;
    view.observedAt = now;
}

void ChargeCoordinator::onGranted(const Pending& answered, const ChargeReply& reply, base::Instant now)
{
    const ChargeRequest& request = answered.request;
    if (request.lockTtl > base::Duration::zero())
        m_lockedShare = answered.share;
    if (m_parts.empty())
        m_oldestPartSentAt = answered.sentAt;
    m_parts.push_back({ m_shares[answered.share].holder, request.charge, request.share, request.epoch, reply.granted });
    if (now - m_oldestPartSentAt > m_options.gatherWindow) {
        restart(now);
    } else if (gathered() < m_charge.cost) {
        proceed(now);
    } else {
        releaseGatherLock();
        m_outcome = ChargeAdmitted { m_parts };
    }
}

void ChargeCoordinator::onBusy(const ChargeReply& reply, base::Instant now)
{
    if (!m_lockRequestedAt)
        m_lockRequestedAt = now;
    m_phase = Phase::WaitingForLock;
    m_nextInPass = 0;
    // Waiting for the lock has its own time limit, so it doesn't count towards the limit on charges.
    --m_chargesSent;
    m_resumeAt = now + std::max(reply.retryAfter, base::Duration(1));
}

std::optional<size_t> ChargeCoordinator::fullestUntriedShare(base::Instant now) const
{
    std::optional<size_t> best;
    std::optional<size_t> own;
    for (size_t index = 0; index < m_shares.size(); ++index) {
        const ShareView& share = m_shares[index];
        if (!share.reachable || m_triedFullCost[index])
            continue;
        if (share.holder == m_options.self && expectedTokens(share, now) >= m_charge.cost)
            own = index;
        if (!best || share.expectedBalance(now) > m_shares[*best].expectedBalance(now))
            best = index;
    }
    if (own && fillPerMille(m_shares[*own], now) >= fillPerMille(m_shares[*best], now) - m_options.ownShareMargin)
        return own;
    return best;
}

std::optional<size_t> ChargeCoordinator::nextReachableShare(size_t from) const
{
    for (size_t index = from; index < m_shares.size(); ++index) {
        if (m_shares[index].reachable)
            return index;
    }
    return std::nullopt;
}

base::Tokens ChargeCoordinator::gathered() const
{
    base::Tokens sum;
    for (const auto& part : m_parts)
        sum += part.amount;
    return sum;
}

base::Tokens ChargeCoordinator::gatherFloor(base::Instant now) const
{
    auto coversCost = [&](int64_t floor) {
        base::Tokens sum;
        for (const auto& share : m_shares)
            sum += std::max(base::Tokens(0), expectedTokens(share, now) - base::Tokens(floor));
        return sum >= m_charge.cost;
    };
    int64_t low = 0;
    int64_t high = maximumBurst;
    while (low < high) {
        int64_t middle = (low + high + 1) / 2;
        if (coversCost(middle))
            low = middle;
        else
            high = middle - 1;
    }
    return base::Tokens(low);
}

base::Tokens ChargeCoordinator::expectedTotal(base::Instant now) const
{
    base::Tokens sum;
    for (const auto& share : m_shares)
        sum += expectedTokens(share, now);
    return sum;
}

std::optional<base::Instant> ChargeCoordinator::coveredAt(base::Instant now) const
{
    base::Instant late = now;
    for (const auto& share : m_shares) {
        if (!share.reachable)
            continue;
        TokenBucket bucket(share.hint.limits, share.expectedBalance(now), now);
        late = std::max(late, bucket.availableAt(bucket.limits().burst, now).value_or(now));
    }
    if (expectedTotal(late) < m_charge.cost)
        return std::nullopt;
    // The total never decreases over time, so the earliest time is found by binary search.
    base::Instant early = now;
    while (early < late) {
        base::Instant middle = early + (late - early) / 2;
        if (expectedTotal(middle) >= m_charge.cost)
            late = middle;
        else
            early = middle + base::Duration(1);
    }
    return late;
}

std::vector<AddressedMessage> ChargeCoordinator::takeOutput()
{
    return std::exchange(m_output, {});
}

} // namespace toucanstep::limits
