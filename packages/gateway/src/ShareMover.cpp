#include "ShareMover.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/node/Keys.h"

#include <algorithm>

namespace toucanstep::gateway::internal {

namespace {

// A service that is down must not hold up a planned stop for longer.
constexpr base::Duration patience = std::chrono::seconds(4);
constexpr base::Duration spreadInterval = std::chrono::seconds(1);
constexpr base::Duration nonceTimeout = std::chrono::milliseconds(800);

limits::ShareId shareOf(const assignments::RowKey& key)
{
    return { base::ClientAccountId(key.subject), static_cast<int>(key.slot) };
}

} // namespace

ShareMover::ShareMover(node::Node& node, node::AssignmentAgent& agent, ShareLimitGate& gate)
    : m_node(node)
    , m_agent(agent)
    , m_gate(gate)
{
}

void ShareMover::leave(base::Instant now)
{
    if (!m_deadline)
        m_deadline = now + patience;
}

void ShareMover::tick(base::Instant now)
{
    if (!m_deadline)
        spread(now);
    else if (!m_done)
        depart(now);
}

void ShareMover::depart(base::Instant now)
{
    bool left = false;
    for (const assignments::Row& row : m_agent.view()->own) {
        if (row.key.kind != assignments::RowKind::LimitShare)
            continue;
        left = true;
        if (m_begun.contains(row.key) || m_agent.busy(row.key) || !m_agent.mayMoveMore())
            continue;
        if (auto target = targetFor(row)) {
            m_begun.insert(row.key);
            handOver(row, *target);
        }
    }
    m_done = !left || now >= *m_deadline;
}

// One share of each account at a time, so that a planner's view and the rows do not run apart.
void ShareMover::spread(base::Instant now)
{
    if (now < m_nextSpread || !m_agent.mayUse(now))
        return;
    m_nextSpread = now + spreadInterval;
    std::set<std::string> moved;
    for (const assignments::Row& row : m_agent.view()->own) {
        bool share = row.key.kind == assignments::RowKind::LimitShare;
        if (!share || moved.contains(row.key.subject) || m_begun.contains(row.key) || m_agent.busy(row.key) || !m_agent.mayMoveMore())
            continue;
        auto target = targetFor(row);
        if (!target || !isSurplus(row, *target))
            continue;
        moved.insert(row.key.subject);
        m_begun.insert(row.key);
        handOver(row, *target);
    }
}

bool ShareMover::isSurplus(const assignments::Row& row, const base::InstanceId& target) const
{
    int own = 0;
    int there = 0;
    for (const assignments::Row& other : m_agent.table().rowsOfSubject(row.key.kind, row.key.subject)) {
        own += other.holder.instance == m_agent.self().instance;
        there += other.holder.instance == target;
    }
    return own > there + 1;
}

std::optional<base::InstanceId> ShareMover::targetFor(const assignments::Row& row) const
{
    auto instances = m_node.instances();
    std::set<base::InstanceId> holders;
    for (const assignments::Row& other : m_agent.table().rowsOfSubject(row.key.kind, row.key.subject))
        holders.insert(other.holder.instance);
    const node::InstanceRow* best = nullptr;
    auto worse = [&](const node::InstanceRow& candidate) { return std::pair(holders.contains(candidate.instance), m_agent.table().rowsOf(candidate.instance).size()); };
    for (const node::InstanceRow* candidate : instances->gatewaysInOrder()) {
        if (candidate->instance == m_agent.self().instance)
            continue;
        if (!best || worse(*candidate) < worse(*best))
            best = candidate;
    }
    return best ? std::optional(best->instance) : std::nullopt;
}

void ShareMover::handOver(const assignments::Row& row, const base::InstanceId& target)
{
    auto instances = m_node.instances();
    const node::InstanceRow* place = instances->find(target);
    m_node.callFromControl({ place->peer, peers::Method(std::string(node::startNonceMethod)), {}, m_node.control().now() + nonceTimeout }, [this, key = row.key, target](const base::Outcome<std::string>& outcome) {
        if (auto* nonce = std::get_if<std::string>(&outcome))
            onNonce(key, target, *nonce);
        else
            m_begun.erase(key);
    });
}

void ShareMover::onNonce(const assignments::RowKey& key, const base::InstanceId& target, const std::string& nonce)
{
    // The stock leaves this gateway before the row does, so that it is never in two places.
    m_node.traffic().post([this, key, holder = assignments::Holder { target, assignments::StartNonce(nonce) }] {
        auto stock = m_gate.release(shareOf(key));
        m_node.control().post([this, key, holder, stock] { onStock(key, holder, stock); });
    });
}

void ShareMover::onStock(const assignments::RowKey& key, const assignments::Holder& target, const std::optional<limits::Handover>& stock)
{
    const assignments::Row* row = m_agent.table().find(key);
    if (!row || row->holder != m_agent.self()) {
        m_begun.erase(key);
        return;
    }
    m_agent.handOver(*row, target, [this, key, target, stock](assignments::MoveState state) {
        m_begun.erase(key);
        const assignments::Row* written = m_agent.table().find(key);
        if (state != assignments::MoveState::Committed || !written || !stock)
            return;
        // The taker accepts a stock in the epoch after the one that it names.
        limits::Handover handover { stock->share, written->epoch - base::Epoch(1), stock->balance };
        base::LogLine("share_handed_over").add("account", stock->share.account).add("share", stock->share.index).add("to", target.instance).add("epoch", written->epoch);
        m_node.traffic().post([this, to = target.instance, handover] { m_gate.sendHandover(to, handover); });
    });
}

} // namespace toucanstep::gateway::internal
