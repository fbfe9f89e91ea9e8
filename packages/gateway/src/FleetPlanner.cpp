#include "FleetPlanner.h"

#include "ShareLimitGate.h"
#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/node/Keys.h"
#include "toucanstep/peers/Codec.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace toucanstep::gateway::internal {

namespace {

using assignments::Row;
using assignments::RowKey;
using assignments::RowKind;

constexpr base::Duration planInterval = std::chrono::milliseconds(500);
// How much longer each further gateway waits before it acts on needs that the ones before it left unmet.
constexpr base::Duration delayPerRank = std::chrono::seconds(4);
constexpr int gatewaysThatPlan = 3;
constexpr base::Duration askTimeout = std::chrono::milliseconds(800);

RowKey shareKey(const base::ClientAccountId& account, int index)
{
    return { RowKind::LimitShare, account.value(), static_cast<uint32_t>(index) };
}

RowKey replicaKey(const base::ModelId& model, placement::ReplicaSlot slot)
{
    return { RowKind::ReplicaSlot, model.value(), static_cast<uint32_t>(slot.value()) };
}

std::string_view intentKindName(placement::IntentKind kind)
{
    switch (kind) {
    case placement::IntentKind::Add:
        return "add";
    case placement::IntentKind::AskRelease:
        return "ask_release";
    case placement::IntentKind::Move:
        return "move";
    case placement::IntentKind::Remove:
        return "remove";
    }
    return "unknown";
}

} // namespace

FleetPlanner::FleetPlanner(node::Node& node, node::AssignmentAgent& agent, DemandSource demand)
    : m_node(node)
    , m_agent(agent)
    , m_demand(std::move(demand))
    , m_planner(std::make_unique<placement::Planner>(placement::PlannerSettings {}))
{
}

void FleetPlanner::install()
{
    m_node.addSystem([this](base::Instant now) { tick(now); });
}

int FleetPlanner::rank(const node::InstanceTable& instances) const
{
    auto gateways = instances.gatewaysInOrder();
    auto self = std::find_if(gateways.begin(), gateways.end(), [&](const node::InstanceRow* row) { return row->instance == m_agent.self().instance; });
    return self == gateways.end() ? -1 : static_cast<int>(std::distance(gateways.begin(), self));
}

void FleetPlanner::tick(base::Instant now)
{
    if (now < m_nextPlan || !m_agent.hasRead() || !m_node.configuration()->version.value())
        return;
    m_nextPlan = now + planInterval;
    auto instances = m_node.instances();
    int place = rank(*instances);
    if (place < 0 || place >= gatewaysThatPlan)
        return;
    bool act = place == 0 || (m_needsSince && now >= *m_needsSince + delayPerRank * place);
    bool needs = planShares(*instances, now, act);
    needs = planReplicas(*instances, now, act) || needs;
    if (!needs)
        m_needsSince.reset();
    else if (!m_needsSince)
        m_needsSince = now;
}

// ---- shares

std::optional<base::InstanceId> FleetPlanner::placeForShare(std::vector<Place>& places, const base::ClientAccountId& account) const
{
    // Different failure domains first, so that one of them going takes a third of the limit at most.
    std::set<base::FailureDomain> usedDomains;
    std::set<base::InstanceId> usedInstances;
    auto instances = m_node.instances();
    for (const Row& row : m_agent.table().rowsOfSubject(RowKind::LimitShare, account.value())) {
        usedInstances.insert(row.holder.instance);
        if (const node::InstanceRow* holder = instances->find(row.holder.instance))
            usedDomains.insert(holder->failureDomain);
    }
    auto worse = [&](const Place& place) { return std::tuple(usedDomains.contains(place.domain), usedInstances.contains(place.instance), place.held, place.instance); };
    auto best = std::min_element(places.begin(), places.end(), [&](const Place& left, const Place& right) { return worse(left) < worse(right); });
    if (best == places.end())
        return std::nullopt;
    ++best->held;
    return best->instance;
}

bool FleetPlanner::planShares(const node::InstanceTable& instances, base::Instant now, bool act)
{
    std::vector<Place> places;
    for (const node::InstanceRow* row : instances.gatewaysInOrder())
        places.push_back({ row->instance, row->failureDomain, static_cast<int>(m_agent.table().rowsOf(row->instance).size()) });
    bool needs = false;
    auto configuration = m_node.configuration();
    for (const config::ClientAccount& account : configuration->accounts) {
        for (int index = 0; index < sharesPerAccount; ++index) {
            RowKey key = shareKey(account.id, index);
            const Row* row = m_agent.table().find(key);
            if (m_agent.busy(key) || !m_agent.mayMoveMore())
                continue;
            if (!row) {
                needs = true;
                auto place = act ? placeForShare(places, account.id) : std::nullopt;
                if (!place)
                    continue;
                base::LogLine("share_placed").add("account", account.id).add("share", index).add("holder", *place).add("version", configuration->version);
                m_agent.assign(key, *place, {});
                continue;
            }
            if (instances.find(row->holder.instance))
                continue;
            needs = true;
            m_agent.track(row->holder.instance, std::string(node::gatewayListName), now);
            if (!act || !m_agent.cleared(row->holder.instance, std::string(node::gatewayListName), now))
                continue;
            if (auto place = placeForShare(places, account.id)) {
                base::LogLine("share_taken_over").add("account", account.id).add("share", index).add("from", row->holder.instance).add("holder", *place);
                m_agent.takeOver(*row, std::string(node::gatewayListName), *place);
            }
        }
    }
    return needs;
}

// ---- replicas

// Instances that the list has dropped are left out until they are proved to be gone; the planner counts them as missing.
std::vector<placement::EngineInstance> FleetPlanner::engines(const node::InstanceTable& instances, base::Instant now) const
{
    std::vector<placement::EngineInstance> engines;
    for (auto [id, engine] : m_knownEngines) {
        const node::InstanceRow* row = instances.find(id);
        const config::UpstreamPool* pool = m_node.configuration()->findPool(engine.pool);
        if (row)
            engine.presence = row->ready && !row->terminating ? placement::HolderPresence::Present : placement::HolderPresence::Leaving;
        else if (pool && m_agent.cleared(id, pool->listName, now))
            engine.presence = placement::HolderPresence::Gone;
        else
            continue;
        engines.push_back(engine);
    }
    return engines;
}

std::vector<placement::ReplicaRow> FleetPlanner::replicaRows() const
{
    std::vector<placement::ReplicaRow> rows;
    for (const Row& row : m_agent.table().rowsOfKind(RowKind::ReplicaSlot)) {
        placement::ReplicaRow replica;
        replica.model = base::ModelId(row.key.subject);
        replica.slot = placement::ReplicaSlot(row.key.slot);
        replica.holder = base::UpstreamId(row.holder.instance.value());
        replica.epoch = row.epoch;
        replica.modified = row.modified;
        auto asked = m_releaseAsked.find(row.key);
        replica.releaseAsked = asked != m_releaseAsked.end() && asked->second == row.modified;
        rows.push_back(replica);
    }
    return rows;
}

std::string FleetPlanner::listOf(const base::InstanceId& holder, const base::ModelId& model) const
{
    auto configuration = m_node.configuration();
    auto engine = m_knownEngines.find(holder);
    const config::Model* known = configuration->findModel(model);
    base::PoolId poolId = engine != m_knownEngines.end() ? engine->second.pool : known ? known->pool
                                                                                       : base::PoolId();
    const config::UpstreamPool* pool = configuration->findPool(poolId);
    return pool ? pool->listName : std::string();
}

bool FleetPlanner::planReplicas(const node::InstanceTable& instances, base::Instant now, bool act)
{
    auto configuration = m_node.configuration();
    for (const config::UpstreamPool& pool : configuration->pools) {
        if (pool.kind != config::PoolKind::Engines)
            continue;
        for (const node::InstanceRow* row : instances.inList(pool.listName))
            m_knownEngines[row->instance] = { base::UpstreamId(row->instance.value()), pool.id, row->failureDomain, pool.memory, placement::HolderPresence::Present, {} };
    }
    // Holders that have dropped out of the list: begin to find out whether they are gone.
    for (const Row& row : m_agent.table().rowsOfKind(RowKind::ReplicaSlot)) {
        std::string list = listOf(row.holder.instance, base::ModelId(row.key.subject));
        if (instances.find(row.holder.instance) || list.empty())
            continue;
        m_agent.track(row.holder.instance, list, now);
        if (!m_knownEngines.contains(row.holder.instance)) {
            const config::Model* model = configuration->findModel(base::ModelId(row.key.subject));
            m_knownEngines[row.holder.instance] = { base::UpstreamId(row.holder.instance.value()), model ? model->pool : base::PoolId(), {}, {}, placement::HolderPresence::Leaving, {} };
        }
    }
    placement::PlanInput input;
    input.now = now;
    input.configuration = configuration.get();
    input.instances = engines(instances, now);
    input.rows = replicaRows();
    input.demand = m_demand();
    std::vector<placement::ReplicaIntent> intents = m_planner->plan(input);
    if (!act)
        return !intents.empty();
    for (const placement::ReplicaIntent& intent : intents)
        carryOut(intent, instances);
    return !intents.empty();
}

void FleetPlanner::carryOut(const placement::ReplicaIntent& intent, const node::InstanceTable& instances)
{
    RowKey key = replicaKey(intent.model, intent.slot);
    if (m_agent.busy(key) || !m_agent.mayMoveMore())
        return;
    const Row* row = m_agent.table().find(key);
    base::LogLine("placement").add("kind", intentKindName(intent.kind)).add("reason", intentReasonName(intent.reason)).add("model", intent.model).add("slot", intent.slot).add("holder", intent.holder).add("epoch", intent.epoch).add("version", m_node.configuration()->version);
    base::InstanceId holder(intent.holder.value());
    switch (intent.kind) {
    case placement::IntentKind::Add:
        if (!row)
            m_agent.assign(key, holder, {});
        return;
    case placement::IntentKind::AskRelease:
        askRelease(intent, instances);
        return;
    case placement::IntentKind::Move:
        if (row && row->modified == intent.expected)
            m_agent.takeOver(*row, listOf(row->holder.instance, intent.model), holder);
        return;
    case placement::IntentKind::Remove:
        // A holder that is gone: the row passes to nobody. It is taken over by a present holder first, which is asked to
        // release it like any other, so that a row is only ever deleted by its holder.
        return;
    }
}

void FleetPlanner::askRelease(const placement::ReplicaIntent& intent, const node::InstanceTable& instances)
{
    base::InstanceId holder(intent.holder.value());
    const node::InstanceRow* row = instances.find(holder);
    if (!row)
        return;
    RowKey key = replicaKey(intent.model, intent.slot);
    std::string body = peers::FieldWriter().add(intent.model.value()).add(intent.slot.value()).add(intent.expected.value()).finish();
    m_node.callFromControl({ row->peer, peers::Method("release_row"), body, m_node.control().now() + askTimeout }, [this, key, expected = intent.expected](base::Outcome<std::string> outcome) {
        if (std::holds_alternative<std::string>(outcome))
            m_releaseAsked[key] = expected;
    });
}

} // namespace toucanstep::gateway::internal
