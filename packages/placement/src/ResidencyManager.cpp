#include "toucanstep/placement/ResidencyManager.h"

#include <algorithm>

namespace toucanstep::placement {

namespace {

// Added to the deadline of a preload, so that it sorts after loads with waiting callers.
constexpr auto predictedLoadDeadlineOffset = std::chrono::hours(1);

} // namespace

std::string_view residencyStateName(ResidencyState state)
{
    switch (state) {
    case ResidencyState::Assigned:
        return "assigned";
    case ResidencyState::Reserved:
        return "reserved";
    case ResidencyState::Loading:
        return "loading";
    case ResidencyState::Loaded:
        return "loaded";
    case ResidencyState::Unloading:
        return "unloading";
    case ResidencyState::Unknown:
        return "unknown";
    }
    return "unknown";
}

ResidencyManager::ResidencyManager(ResidencySettings settings, std::unique_ptr<KeepAlivePolicy> policy, base::Epoch epoch, base::Instant started)
    : m_settings(settings)
    , m_policy(std::move(policy))
    , m_epoch(epoch)
    , m_predecessorOrdersUntil(started + settings.lateOrderHorizon)
{
}

ResidencyManager::Entry& ResidencyManager::entry(const base::ModelId& model)
{
    auto& found = m_entries[model];
    found.spec.model = model;
    return found;
}

const ResidencyManager::Entry* ResidencyManager::find(const base::ModelId& model) const
{
    auto place = m_entries.find(model);
    return place == m_entries.end() ? nullptr : &place->second;
}

// A model of unknown size is assumed to fill the whole memory: nothing else is loaded until it is gone.
base::Bytes ResidencyManager::memoryOf(const Entry& entry) const
{
    return entry.spec.memory.value() > 0 ? entry.spec.memory : m_settings.capacity;
}

void ResidencyManager::setModelSpecs(std::vector<ModelSpec> specs)
{
    std::map<base::ModelId, const ModelSpec*> given;
    for (const auto& spec : specs)
        given.emplace(spec.model, &spec);
    for (auto place = m_entries.begin(); place != m_entries.end();) {
        auto& known = place->second;
        // A model that may still be on the engine keeps its size after its removal from the configuration.
        auto isGone = !given.count(place->first) && known.state == ResidencyState::Assigned && !known.row && known.waiters.empty() && known.inUse == 0;
        if (isGone)
            m_policy->forget(place->first);
        place = isGone ? m_entries.erase(place) : std::next(place);
    }
    for (const auto& spec : specs)
        entry(spec.model).spec = spec;
}

void ResidencyManager::grantRow(const base::ModelId& model, base::Epoch epoch)
{
    auto& granted = entry(model);
    granted.row = epoch;
    granted.withdrawn = false;
}

void ResidencyManager::withdrawRow(const base::ModelId& model)
{
    entry(model).withdrawn = true;
}

void ResidencyManager::dropRow(const base::ModelId& model)
{
    auto& dropped = entry(model);
    dropped.row.reset();
    dropped.withdrawn = false;
}

bool ResidencyManager::mayRelease(const base::ModelId& model) const
{
    const auto* known = find(model);
    return !known || (known->state == ResidencyState::Assigned && !predecessorOrdersMayApply());
}

bool ResidencyManager::predecessorOrdersMayApply() const
{
    if (m_settings.fencing && !m_fenceRaised)
        return true;
    return !m_lastIndexBegan || *m_lastIndexBegan < m_predecessorOrdersUntil;
}

// --- Engine events ---

void ResidencyManager::onIndex(const EngineIndex& index, base::Instant now)
{
    if (m_crashedAt && index.readBegan <= *m_crashedAt)
        return;
    if (m_lastIndexBegan && index.readBegan < *m_lastIndexBegan)
        return;
    m_lastIndexBegan = index.readBegan;
    std::map<base::ModelId, EngineModelState> shown;
    for (const auto& listed : index.entries) {
        shown[listed.model] = listed.state;
        entry(listed.model);
    }
    for (auto& [model, known] : m_entries) {
        auto place = shown.find(model);
        applyIndex(known, place == shown.end() ? std::nullopt : std::optional(place->second), index.readBegan, now);
    }
}

void ResidencyManager::applyIndex(Entry& known, std::optional<EngineModelState> shown, base::Instant readBegan, base::Instant now)
{
    if (known.order || readBegan < known.settledAt)
        return;
    if (!shown) {
        if (known.state == ResidencyState::Assigned || known.state == ResidencyState::Reserved)
            return;
        // Memory is freed only if the model is absent and no earlier order can still load it.
        auto provesAbsence = readBegan >= known.lateLoadUntil && !predecessorOrdersMayApply();
        known.state = provesAbsence ? ResidencyState::Assigned : ResidencyState::Unknown;
        return;
    }
    switch (*shown) {
    case EngineModelState::Loading:
        if (known.state != ResidencyState::Loading)
            known.loadExpectedEnd = now + known.spec.loadTime;
        known.state = ResidencyState::Loading;
        return;
    case EngineModelState::Unloading:
        known.state = ResidencyState::Unloading;
        return;
    case EngineModelState::Ready:
        if (readBegan < known.lateUnloadUntil)
            known.state = ResidencyState::Unknown;
        else if (known.state != ResidencyState::Loaded)
            markLoaded(known, now);
        return;
    }
}

void ResidencyManager::markLoaded(Entry& known, base::Instant now)
{
    known.state = ResidencyState::Loaded;
    known.idleSince = now;
    if (known.inUse == 0 && known.waiters.empty())
        m_policy->onIdle(idleModel(known));
}

void ResidencyManager::onUpstreamCrashed(base::Instant now)
{
    m_crashedAt = now;
    for (auto& [model, known] : m_entries)
        if (known.state != ResidencyState::Assigned && known.state != ResidencyState::Reserved)
            known.state = ResidencyState::Unknown;
}

void ResidencyManager::onOrderResult(OrderId id, OrderOutcome outcome, base::Instant now)
{
    auto place = m_pending.find(id);
    if (place == m_pending.end())
        return;
    auto pending = place->second;
    m_pending.erase(place);
    if (outcome == OrderOutcome::Done && pending.kind != OrderKind::ReadIndex)
        expireFencedOrders(pending.sent, now);
    if (pending.kind == OrderKind::Load)
        finishLoad(entry(pending.model), outcome, now);
    if (pending.kind == OrderKind::Unload)
        finishUnload(entry(pending.model), outcome, pending.sent, now);
}

// An engine that supports fencing and accepted an order sent at `sent` rejects all orders sent before it.
void ResidencyManager::expireFencedOrders(base::Instant sent, base::Instant now)
{
    if (!m_settings.fencing)
        return;
    if (!m_fenceRaised) {
        m_fenceRaised = true;
        m_predecessorOrdersUntil = std::min(m_predecessorOrdersUntil, now);
    }
    auto expireIfFenced = [&](base::Instant& until) {
        if (until - m_settings.lateOrderHorizon < sent)
            until = std::min(until, now);
    };
    for (auto& [model, known] : m_entries) {
        expireIfFenced(known.lateLoadUntil);
        expireIfFenced(known.lateUnloadUntil);
    }
}

void ResidencyManager::finishLoad(Entry& known, OrderOutcome outcome, base::Instant now)
{
    known.order.reset();
    known.settledAt = now;
    // The response came from an engine process that has crashed since.
    auto engineDied = known.state != ResidencyState::Loading;
    if (outcome == OrderOutcome::Done && !engineDied && now >= known.lateUnloadUntil)
        markLoaded(known, now);
    else
        known.state = ResidencyState::Unknown;
}

void ResidencyManager::finishUnload(Entry& known, OrderOutcome outcome, base::Instant sent, base::Instant now)
{
    known.order.reset();
    known.settledAt = now;
    if (outcome == OrderOutcome::TimedOut)
        known.lateUnloadUntil = std::max(known.lateUnloadUntil, sent + m_settings.lateOrderHorizon);
    known.state = outcome == OrderOutcome::Done ? ResidencyState::Unloading : ResidencyState::Unknown;
}

// --- Requests ---

void ResidencyManager::addWaiter(const base::ModelId& model, const base::RequestId& request, base::Instant deadline, base::Instant now)
{
    auto& wanted = entry(model);
    m_policy->onRequest(model, now);
    if (wanted.spec.baseModel)
        m_policy->onRequest(*wanted.spec.baseModel, now);
    wanted.waiters.emplace(request, deadline);
}

void ResidencyManager::removeWaiter(const base::ModelId& model, const base::RequestId& request, base::Instant now)
{
    auto& wanted = entry(model);
    auto wasWaiting = wanted.waiters.erase(request) > 0;
    if (wasWaiting && wanted.waiters.empty() && wanted.inUse == 0 && wanted.state == ResidencyState::Loaded)
        wanted.idleSince = now;
}

bool ResidencyManager::beginUse(const base::ModelId& model, base::Instant now)
{
    if (!usable(model))
        return false;
    auto& used = entry(model);
    m_policy->onRequest(model, now);
    ++used.inUse;
    if (used.spec.baseModel)
        ++entry(*used.spec.baseModel).inUse;
    return true;
}

void ResidencyManager::endUse(const base::ModelId& model, base::Instant now)
{
    auto end = [&](Entry& used) {
        used.inUse = std::max<int64_t>(0, used.inUse - 1);
        if (used.inUse > 0)
            return;
        used.idleSince = now;
        if (used.waiters.empty())
            m_policy->onIdle(idleModel(used));
    };
    auto& used = entry(model);
    end(used);
    if (used.spec.baseModel)
        end(entry(*used.spec.baseModel));
}

// --- Decisions ---

std::vector<ResidencyOrder> ResidencyManager::tick(base::Instant now, const LoadPermission& permission)
{
    Orders orders;
    predictRequests(now);
    cancelUnneededReservations();
    raiseFenceIfDue(now, orders);
    // While orders of an earlier process may still take effect, the engine's state is unknown: no loads or unloads are
    // issued.
    if (!predecessorOrdersMayApply()) {
        unloadUnneeded(now, orders);
        reserveMemory(now, orders);
        beginLoads(now, permission, orders);
    }
    readIndexIfDue(now, orders);
    return orders;
}

void ResidencyManager::predictRequests(base::Instant now)
{
    for (auto& [model, known] : m_entries) {
        known.predictedUntil.reset();
        if (!mayLoad(known) || known.inUse > 0 || !known.waiters.empty())
            continue;
        auto expected = m_policy->predictNextRequest(model);
        if (expected && now >= expected->earliest - known.spec.loadTime && now < expected->latest)
            known.predictedUntil = expected->latest;
    }
}

std::optional<base::Instant> ResidencyManager::loadDeadline(const Entry& known) const
{
    auto earliest = earliestWaiter(known);
    if (!earliest && known.predictedUntil)
        return *known.predictedUntil + predictedLoadDeadlineOffset;
    return earliest;
}

void ResidencyManager::cancelUnneededReservations()
{
    for (auto& [model, known] : m_entries)
        if (known.state == ResidencyState::Reserved && (!loadDeadline(known) || !mayLoad(known)))
            known.state = ResidencyState::Assigned;
}

bool ResidencyManager::mayLoad(const Entry& known) const
{
    return known.row && !known.withdrawn && known.spec.memory.value() > 0;
}

// Requests that wait for an adapter also wait for its base model.
std::optional<base::Instant> ResidencyManager::earliestWaiter(const Entry& known) const
{
    std::optional<base::Instant> earliest;
    auto consider = [&](const Entry& waitedFor) {
        for (const auto& [request, deadline] : waitedFor.waiters)
            earliest = std::min(earliest.value_or(deadline), deadline);
    };
    consider(known);
    for (const auto& [model, other] : m_entries)
        if (other.spec.baseModel == known.spec.model && mayLoad(other))
            consider(other);
    return earliest;
}

std::vector<base::ModelId> ResidencyManager::byEarliestDeadline(ResidencyState state) const
{
    std::vector<std::pair<base::Instant, base::ModelId>> order;
    for (const auto& [model, known] : m_entries) {
        if (known.state != state || known.order || !mayLoad(known))
            continue;
        if (auto deadline = loadDeadline(known))
            order.emplace_back(*deadline, model);
    }
    std::sort(order.begin(), order.end());
    std::vector<base::ModelId> models;
    for (auto& [deadline, model] : order)
        models.push_back(std::move(model));
    return models;
}

void ResidencyManager::reserveMemory(base::Instant now, Orders& orders)
{
    // Memory being freed for a model with an earlier deadline is not given to later ones.
    base::Bytes promised;
    for (const auto& model : byEarliestDeadline(ResidencyState::Assigned)) {
        auto& wanted = entry(model);
        auto free = m_settings.capacity - reservedMemory() - promised;
        auto memory = memoryOf(wanted);
        if (free >= memory) {
            wanted.state = ResidencyState::Reserved;
            continue;
        }
        // A preload for a predicted request evicts nothing.
        if (earliestWaiter(wanted) && makeRoom(wanted, memory - free, now, orders))
            promised += memory;
    }
}

bool ResidencyManager::makeRoom(const Entry& wanted, base::Bytes missing, base::Instant now, Orders& orders)
{
    base::Bytes freeing;
    for (const auto& [model, known] : m_entries)
        if (known.state == ResidencyState::Unloading)
            freeing += memoryOf(known);
    auto candidates = victims(wanted, now);
    auto possible = freeing;
    for (const auto& victim : candidates)
        possible += victim.memory;
    if (possible < missing)
        return false;
    for (const auto& victim : candidates) {
        if (freeing >= missing)
            break;
        freeing += victim.memory;
        auto adapters = residentAdapters(victim.model);
        for (const auto& adapter : adapters)
            unload(entry(adapter), now, orders);
        // A base model is unloaded in a later tick, after its adapters are gone.
        if (adapters.empty())
            unload(entry(victim.model), now, orders);
    }
    return true;
}

std::vector<base::ModelId> ResidencyManager::residentAdapters(const base::ModelId& base) const
{
    std::vector<base::ModelId> adapters;
    for (const auto& [model, known] : m_entries)
        if (known.spec.baseModel == base && known.state != ResidencyState::Assigned)
            adapters.push_back(model);
    return adapters;
}

bool ResidencyManager::evictable(const Entry& known) const
{
    return known.state == ResidencyState::Loaded && !known.order && known.inUse == 0 && known.waiters.empty();
}

IdleModel ResidencyManager::idleModel(const Entry& known) const
{
    return { known.spec.model, known.idleSince, known.spec.loadTime, memoryOf(known) };
}

std::vector<ResidencyManager::Victim> ResidencyManager::victims(const Entry& wanted, base::Instant now) const
{
    std::vector<Victim> candidates;
    for (const auto& [model, known] : m_entries) {
        if (!evictable(known) || model == wanted.spec.baseModel || earliestWaiter(known))
            continue;
        Victim victim { model, memoryOf(known), m_policy->evictionCost(idleModel(known), now) };
        bool allIdle = true;
        for (const auto& adapter : residentAdapters(model)) {
            const auto* part = find(adapter);
            allIdle = allIdle && evictable(*part);
            victim.cost += m_policy->evictionCost(idleModel(*part), now);
        }
        if (allIdle)
            candidates.push_back(std::move(victim));
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) { return left.cost < right.cost; });
    return candidates;
}

void ResidencyManager::beginLoads(base::Instant now, const LoadPermission& permission, Orders& orders)
{
    for (const auto& model : byEarliestDeadline(ResidencyState::Reserved)) {
        auto& wanted = entry(model);
        if (wanted.spec.baseModel && !usable(*wanted.spec.baseModel))
            continue;
        if (!permission(model, *loadDeadline(wanted)))
            continue;
        wanted.order = issueOrder(OrderKind::Load, model, 2 * wanted.spec.loadTime + m_settings.orderTimeout, now, orders);
        wanted.state = ResidencyState::Loading;
        wanted.loadExpectedEnd = now + wanted.spec.loadTime;
        // Even an answered order may have been duplicated on the network.
        wanted.lateLoadUntil = std::max(wanted.lateLoadUntil, now + m_settings.lateOrderHorizon);
    }
}

void ResidencyManager::unload(Entry& known, base::Instant now, Orders& orders)
{
    if (known.order || known.state != ResidencyState::Loaded)
        return;
    known.order = issueOrder(OrderKind::Unload, known.spec.model, m_settings.orderTimeout, now, orders);
    known.state = ResidencyState::Unloading;
}

void ResidencyManager::unloadUnneeded(base::Instant now, Orders& orders)
{
    for (auto& [model, known] : m_entries) {
        auto hasNoRow = !known.row || known.withdrawn;
        auto isUnused = known.state == ResidencyState::Loaded && known.inUse == 0 && residentAdapters(model).empty();
        if (!isUnused)
            continue;
        auto isIdle = !loadDeadline(known) && m_policy->keepUntil(idleModel(known)) <= now;
        if (hasNoRow || isIdle)
            unload(known, now, orders);
    }
}

bool ResidencyManager::isPending(OrderKind kind) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&](const auto& pending) { return pending.second.kind == kind; });
}

void ResidencyManager::raiseFenceIfDue(base::Instant now, Orders& orders)
{
    if (!m_settings.fencing || isPending(OrderKind::RaiseFence))
        return;
    auto mayStillApply = [&](const auto& known) {
        return known.second.state == ResidencyState::Unknown && !known.second.order && std::max(known.second.lateLoadUntil, known.second.lateUnloadUntil) > now;
    };
    if (!m_fenceRaised || std::any_of(m_entries.begin(), m_entries.end(), mayStillApply))
        issueOrder(OrderKind::RaiseFence, base::ModelId(), m_settings.orderTimeout, now, orders);
}

bool ResidencyManager::unsettled() const
{
    auto isUnsettled = [&](const auto& known) {
        switch (known.second.state) {
        case ResidencyState::Unknown:
        case ResidencyState::Unloading:
        case ResidencyState::Loading:
            // The response to a pending order will settle the state.
            return !known.second.order;
        default:
            return false;
        }
    };
    return predecessorOrdersMayApply() || std::any_of(m_entries.begin(), m_entries.end(), isUnsettled);
}

void ResidencyManager::readIndexIfDue(base::Instant now, Orders& orders)
{
    if (isPending(OrderKind::ReadIndex))
        return;
    auto interval = unsettled() ? m_settings.unsettledIndexInterval : m_settings.indexInterval;
    if (m_lastIndexAsked && now - *m_lastIndexAsked < interval)
        return;
    m_lastIndexAsked = now;
    issueOrder(OrderKind::ReadIndex, base::ModelId(), m_settings.orderTimeout, now, orders);
}

OrderId ResidencyManager::issueOrder(OrderKind kind, const base::ModelId& model, base::Duration allowed, base::Instant now, Orders& orders)
{
    m_lastOrder += OrderId(1);
    m_pending.emplace(m_lastOrder, Pending { kind, model, now });
    orders.push_back({ m_lastOrder, kind, model, m_epoch, now + allowed });
    return m_lastOrder;
}

// --- Queries ---

ResidencyState ResidencyManager::state(const base::ModelId& model) const
{
    const auto* known = find(model);
    return known ? known->state : ResidencyState::Assigned;
}

bool ResidencyManager::holdsRow(const base::ModelId& model) const
{
    const auto* known = find(model);
    return known && known->row.has_value();
}

bool ResidencyManager::usable(const base::ModelId& model) const
{
    const auto* known = find(model);
    if (!known || known->state != ResidencyState::Loaded || !known->row || known->withdrawn)
        return false;
    return !known->spec.baseModel || usable(*known->spec.baseModel);
}

base::Bytes ResidencyManager::reservedMemory() const
{
    base::Bytes sum;
    for (const auto& [model, known] : m_entries)
        if (known.state != ResidencyState::Assigned)
            sum += memoryOf(known);
    return sum;
}

std::vector<base::ModelId> ResidencyManager::loaded() const
{
    std::vector<base::ModelId> models;
    for (const auto& [model, known] : m_entries)
        if (known.state == ResidencyState::Loaded)
            models.push_back(model);
    return models;
}

std::optional<base::Instant> ResidencyManager::expectedLoadEnd(const base::ModelId& model, base::Instant now) const
{
    const auto* known = find(model);
    if (!known || !mayLoad(*known) || known->spec.memory > m_settings.capacity)
        return std::nullopt;
    auto begin = now;
    if (known->spec.baseModel) {
        auto baseEnd = expectedLoadEnd(*known->spec.baseModel, now);
        if (!baseEnd)
            return std::nullopt;
        begin = std::max(begin, *baseEnd);
    }
    if (known->state == ResidencyState::Loaded)
        return begin;
    // A load that is past its expected end is assumed to need another quarter of its expected time.
    if (known->state == ResidencyState::Loading)
        return std::max(begin, known->loadExpectedEnd > now ? known->loadExpectedEnd : now + known->spec.loadTime / 4);
    if (!m_settings.fencing && predecessorOrdersMayApply())
        begin = std::max(begin, m_predecessorOrdersUntil);
    if (!m_settings.fencing && known->state == ResidencyState::Unknown)
        begin = std::max({ begin, known->lateLoadUntil, known->lateUnloadUntil });
    return begin + known->spec.loadTime;
}

} // namespace toucanstep::placement
