#include "toucanstep/limits/ChargeCoordinator.h"

#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::limits {

namespace {

// Bounds on the work for one request, so that unlucky races end in a refusal instead of a loop.
constexpr int maximumCharges = 64;
constexpr int maximumRestarts = 3;
// How many gather windows a request waits for its turn before it gathers without one. The turn only keeps two gatherings
// from taking one another's parts; the bound never depends on it.
constexpr int turnWaitWindows = 2;

base::Tokens wholeExpected(const ShareView& share, base::Instant now)
{
    return share.reachable ? wholeTokens(share.expectedBalance(now)) : base::Tokens(0);
}

int64_t fullness(const ShareView& share, base::Instant now)
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

ChargeCoordinator::ChargeCoordinator(ChargeOptions options, AccountCharge order, std::vector<ShareView> shares)
    : m_options(std::move(options))
    , m_order(std::move(order))
    , m_shares(std::move(shares))
    , m_askedWhole(m_shares.size(), false)
{
    std::sort(m_shares.begin(), m_shares.end(), [](const ShareView& left, const ShareView& right) { return left.hint.share < right.hint.share; });
}

std::vector<AddressedMessage> ChargeCoordinator::start(base::Instant now)
{
    m_startedAt = now;
    base::Tokens burst;
    for (const auto& share : m_shares)
        burst += share.hint.limits.burst;
    if (m_order.cost <= base::Tokens(0))
        m_outcome = ChargeAdmitted {};
    else if (m_order.cost > burst)
        refuseWith(base::RefusalCode::CostAboveBurst, std::nullopt);
    else
        proceed(now);
    return takeOutput();
}

std::vector<AddressedMessage> ChargeCoordinator::onReply(const ChargeReply& reply, base::Instant now)
{
    // An answer that was given up, or came twice, is not used: its charge has been returned or already counted.
    if (m_outcome || !m_pending || m_pending->request.charge != reply.charge)
        return {};
    // After a pause the answer may be read before the clock: tokens of a request that nobody waits for go back.
    if (now >= m_order.deadline)
        return onTick(now);
    Pending answered = *m_pending;
    m_pending.reset();
    noteHint(answered.share, reply, now);
    // The second copy of a charge that was sent again may still be granted; nobody will use it.
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
            m_turnAt = answered.share;
        proceed(now);
        break;
    }
    return takeOutput();
}

std::vector<AddressedMessage> ChargeCoordinator::onTick(base::Instant now)
{
    if (m_outcome)
        return {};
    if (now >= m_order.deadline) {
        abandonPending();
        refuseWith(base::RefusalCode::DeadlineExceeded, std::nullopt);
    } else if (m_pending && now >= m_pending->answerBy) {
        onAnswerTimeout(now);
    } else if (m_resumeAt && now >= *m_resumeAt) {
        m_resumeAt.reset();
        bool forTurn = m_phase == Phase::WaitingForTurn;
        m_phase = forTurn ? Phase::Gather : Phase::WholeFromOne;
        proceed(now);
    }
    return takeOutput();
}

std::optional<base::Instant> ChargeCoordinator::nextWakeUp() const
{
    if (m_outcome)
        return std::nullopt;
    base::Instant next = m_order.deadline;
    if (m_pending)
        next = std::min(next, m_pending->answerBy);
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
        askWhole(now);
}

// A share that is asked for the whole cost and lacks it gives nothing but its exact balance. So a request that can't be
// covered takes nothing from anybody while it finds that out.
void ChargeCoordinator::askWhole(base::Instant now)
{
    std::optional<size_t> best = fullestUnasked(now);
    bool bestCovers = best && wholeExpected(m_shares[*best], now) >= m_order.cost;
    if (!bestCovers && expectedTotal(now) >= m_order.cost) {
        beginGather(now);
        return;
    }
    if (!best) {
        refuseOrWait(now);
        return;
    }
    m_askedWhole[*best] = true;
    ask(*best, m_order.cost, m_order.cost, base::Duration::zero(), now);
}

void ChargeCoordinator::beginGather(base::Instant now)
{
    m_phase = Phase::Gather;
    m_nextInPass = 0;
    m_gatherLevel = levelAfterGather(now);
    continueGather(now);
}

void ChargeCoordinator::continueGather(base::Instant now)
{
    std::optional<size_t> next = nextReachable(m_nextInPass);
    if (!next) {
        finishPass(now);
        return;
    }
    bool waitedLong = m_turnWantedAt && now - *m_turnWantedAt >= turnWaitWindows * m_options.gatherWindow;
    bool asksTurn = !m_turnAt && m_parts.empty() && !waitedLong && next == nextReachable(0);
    m_nextInPass = *next + 1;
    base::Tokens aboveLevel = std::max(base::Tokens(1), wholeExpected(m_shares[*next], now) - m_gatherLevel);
    base::Tokens wanted = std::min(m_order.cost - gathered(), aboveLevel);
    ask(*next, base::Tokens(1), wanted, asksTurn ? m_options.gatherWindow : base::Duration::zero(), now);
}

void ChargeCoordinator::finishPass(base::Instant now)
{
    // Tokens that accrued at the first holders while the last ones were asked may be enough by now.
    if (expectedTotal(now) + gathered() >= m_order.cost && now - m_oldestPartSentAt < m_options.gatherWindow) {
        m_nextInPass = 0;
        m_gatherLevel = base::Tokens(0);
        if (nextReachable(0)) {
            continueGather(now);
            return;
        }
    }
    bool covered = expectedTotal(now) + gathered() >= m_order.cost;
    if (covered) {
        restart(now);
        return;
    }
    finishGather();
    m_phase = Phase::WholeFromOne;
    refuseOrWait(now);
}

void ChargeCoordinator::finishGather()
{
    giveBackParts();
    endTurn();
    m_turnWantedAt.reset();
}

void ChargeCoordinator::restart(base::Instant now)
{
    finishGather();
    if (++m_restarts > maximumRestarts) {
        refuseWith(base::RefusalCode::RateLimited, coveredAt(now));
        return;
    }
    m_phase = Phase::WholeFromOne;
    m_askedWhole.assign(m_shares.size(), false);
    proceed(now);
}

void ChargeCoordinator::refuseOrWait(base::Instant now)
{
    std::optional<base::Instant> at = coveredAt(now);
    base::Instant waitLimit = std::min(m_startedAt + m_options.maximumWait, m_order.deadline);
    bool waits = at && *at <= waitLimit && m_options.maximumWait > base::Duration::zero();
    if (!waits) {
        refuseWith(base::RefusalCode::RateLimited, at);
        return;
    }
    m_phase = Phase::WaitingForTokens;
    m_askedWhole.assign(m_shares.size(), false);
    m_resumeAt = std::max(*at, now + base::Duration(1));
}

void ChargeCoordinator::refuseWith(base::RefusalCode code, std::optional<base::Instant> retryAt)
{
    giveBackParts();
    endTurn();
    int missing = static_cast<int>(std::count_if(m_shares.begin(), m_shares.end(), [](const ShareView& share) { return !share.reachable; }));
    m_outcome = ChargeRefused { code, retryAt, missing };
}

void ChargeCoordinator::ask(size_t share, base::Tokens minimum, base::Tokens wanted, base::Duration lockTtl, base::Instant now)
{
    const ShareView& view = m_shares[share];
    ChargeId id(base::concat(m_order.request, "/", m_nextCharge++));
    ++m_chargesSent;
    ChargeRequest request { id, view.hint.share, view.hint.epoch, minimum, wanted, lockTtl, m_order.request };
    m_output.push_back({ view.holder, request });
    m_pending = Pending { share, request, now, now + m_options.answerTimeout };
}

// Failure guarded against: the holder charged, but its answer was lost. Asking again under the same id charges nothing
// twice. If that answer is lost too, the charge counts as spent: the request goes on at other shares and never uses a late
// answer, so returning the charge, should the return arrive, gives back only what nobody was admitted with.
void ChargeCoordinator::onAnswerTimeout(base::Instant now)
{
    if (!m_pending->retried) {
        m_pending->retried = true;
        m_pending->answerBy = now + m_options.answerTimeout;
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
        m_output.push_back({ holder, GatherUnlock { request.share, request.epoch, m_order.request } });
    m_pending.reset();
}

void ChargeCoordinator::giveBackParts()
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

void ChargeCoordinator::endTurn()
{
    if (!m_turnAt)
        return;
    const ShareView& view = m_shares[*m_turnAt];
    m_output.push_back({ view.holder, GatherUnlock { view.hint.share, view.hint.epoch, m_order.request } });
    m_turnAt.reset();
}

void ChargeCoordinator::noteHint(size_t share, const ChargeReply& reply, base::Instant now)
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
        m_turnAt = answered.share;
    if (m_parts.empty())
        m_oldestPartSentAt = answered.sentAt;
    m_parts.push_back({ m_shares[answered.share].holder, request.charge, request.share, request.epoch, reply.granted });
    if (now - m_oldestPartSentAt > m_options.gatherWindow) {
        restart(now);
    } else if (gathered() < m_order.cost) {
        proceed(now);
    } else {
        endTurn();
        m_outcome = ChargeAdmitted { m_parts };
    }
}

void ChargeCoordinator::onBusy(const ChargeReply& reply, base::Instant now)
{
    if (!m_turnWantedAt)
        m_turnWantedAt = now;
    m_phase = Phase::WaitingForTurn;
    m_nextInPass = 0;
    // Waiting for the turn is bounded by its own time, so it does not count against the charges.
    --m_chargesSent;
    m_resumeAt = now + std::max(reply.retryAfter, base::Duration(1));
}

std::optional<size_t> ChargeCoordinator::fullestUnasked(base::Instant now) const
{
    std::optional<size_t> best;
    std::optional<size_t> own;
    for (size_t index = 0; index < m_shares.size(); ++index) {
        const ShareView& share = m_shares[index];
        if (!share.reachable || m_askedWhole[index])
            continue;
        if (share.holder == m_options.self && wholeExpected(share, now) >= m_order.cost)
            own = index;
        if (!best || share.expectedBalance(now) > m_shares[*best].expectedBalance(now))
            best = index;
    }
    if (own && fullness(m_shares[*own], now) >= fullness(m_shares[*best], now) - m_options.ownShareMargin)
        return own;
    return best;
}

std::optional<size_t> ChargeCoordinator::nextReachable(size_t from) const
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

base::Tokens ChargeCoordinator::levelAfterGather(base::Instant now) const
{
    auto yieldsCost = [&](int64_t level) {
        base::Tokens sum;
        for (const auto& share : m_shares)
            sum += std::max(base::Tokens(0), wholeExpected(share, now) - base::Tokens(level));
        return sum >= m_order.cost;
    };
    int64_t low = 0;
    int64_t high = maximumBurst;
    while (low < high) {
        int64_t middle = (low + high + 1) / 2;
        if (yieldsCost(middle))
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
        sum += wholeExpected(share, now);
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
    if (expectedTotal(late) < m_order.cost)
        return std::nullopt;
    // The total never falls over time, so the first instant is found by halving.
    base::Instant early = now;
    while (early < late) {
        base::Instant middle = early + (late - early) / 2;
        if (expectedTotal(middle) >= m_order.cost)
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
