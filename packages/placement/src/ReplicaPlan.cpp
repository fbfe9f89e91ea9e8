#include "toucanstep/placement/ReplicaPlan.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <tuple>

namespace toucanstep::placement {

namespace {

// Placement costs are in thousandths of an instance's memory. Fetching a checkpoint from remote storage costs more than a
// slightly fuller instance; a second replica in the same failure domain costs more than both.
constexpr int64_t memoryTierCost = 0;
constexpr int64_t diskTierCost = 50;
constexpr int64_t remoteTierCost = 300;
constexpr int64_t sameDomainCost = 2000;
constexpr int64_t fullScale = 1000;

uint64_t mixBits(uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

// Stable across processes and restarts, so that all planners break ties the same way.
uint64_t stableHash(const std::string& text)
{
    uint64_t state = 14695981039346656037ULL;
    for (unsigned char byte : text)
        state = (state ^ byte) * 1099511628211ULL;
    return mixBits(state);
}

// An instance with the memory assigned to it so far, including this tick's intents.
struct Candidate {
    const EngineInstance* instance = nullptr;
    uint64_t hash = 0;
    // Memory of all rows, and of the rows of models with demand.
    int64_t assigned = 0;
    int64_t hot = 0;
    absl::flat_hash_map<std::string_view, CheckpointTier> cached;

    int64_t capacity() const { return std::max<int64_t>(1, instance->memory.value()); }
    int64_t fullness() const { return assigned * fullScale / capacity(); }
};

struct ModelState {
    const config::Model* model = nullptr;
    std::vector<const ReplicaRow*> rows;
    // Holders of usable rows, including those added in this tick.
    std::vector<size_t> usable;
    std::vector<const ReplicaRow*> usableRows;
    // Rows that were released or whose holder is gone; they may be assigned to another holder.
    std::vector<const ReplicaRow*> vacant;
    std::set<int64_t> slots;
    std::set<base::UpstreamId> holders;
    int64_t concurrencyThousandths = 0;
    int64_t misses = 0;
    bool hasAdapters = false;
};

class PlanRun {
public:
    PlanRun(const PlannerSettings& settings, std::map<base::ModelId, base::Instant>& surplusSince, const PlanInput& input)
        : m_settings(settings)
        , m_surplusSince(surplusSince)
        , m_input(input)
    {
        indexInstances();
        indexModels();
        std::erase_if(m_surplusSince, [&](const auto& entry) { return !findModel(entry.first); });
        indexDemand();
        indexRows();
    }

    std::vector<ReplicaIntent> run()
    {
        // Models without a usable row come first, because requests for them fail.
        for (bool adapters : { false, true })
            for (auto& state : m_models)
                if (isAdapter(state) == adapters && state.usable.empty())
                    fill(state, 1, IntentReason::Home);
        for (bool adapters : { false, true })
            for (auto& state : m_models)
                if (isAdapter(state) == adapters)
                    planReplicas(state);
        if (m_intents.empty())
            rebalance();
        for (const auto* row : m_removedModelRows)
            releaseRemovedModelRow(*row);
        if (m_intents.size() > m_settings.maximumIntents)
            m_intents.resize(m_settings.maximumIntents);
        return std::move(m_intents);
    }

private:
    static bool isAdapter(const ModelState& state) { return state.model->baseModel.has_value(); }
    bool isFull() const { return m_intents.size() >= m_settings.maximumIntents; }

    void indexInstances()
    {
        m_candidates.reserve(m_input.instances.size());
        for (const auto& instance : m_input.instances) {
            Candidate candidate { &instance, stableHash(instance.id.value()) };
            for (const auto& checkpoint : instance.cached) {
                auto [place, isNew] = candidate.cached.emplace(checkpoint.model.value(), checkpoint.tier);
                if (!isNew)
                    place->second = std::min(place->second, checkpoint.tier);
            }
            m_candidates.push_back(std::move(candidate));
        }
        std::sort(m_candidates.begin(), m_candidates.end(), [](const auto& left, const auto& right) { return left.instance->id < right.instance->id; });
        for (size_t index = 0; index < m_candidates.size(); ++index) {
            const auto& instance = *m_candidates[index].instance;
            m_byInstance.emplace(instance.id.value(), index);
            if (instance.presence == HolderPresence::Present)
                m_byPool[instance.pool.value()].push_back(index);
        }
    }

    void indexModels()
    {
        for (const auto& model : m_input.configuration->models)
            m_models.push_back({ &model });
        std::sort(m_models.begin(), m_models.end(), [](const auto& left, const auto& right) { return left.model->id < right.model->id; });
        for (size_t index = 0; index < m_models.size(); ++index)
            m_byModel.emplace(m_models[index].model->id.value(), index);
        for (const auto& state : m_models)
            if (auto* base = baseOf(state))
                base->hasAdapters = true;
    }

    ModelState* findModel(const base::ModelId& model)
    {
        auto place = m_byModel.find(model.value());
        return place == m_byModel.end() ? nullptr : &m_models[place->second];
    }

    ModelState* baseOf(const ModelState& state) { return isAdapter(state) ? findModel(*state.model->baseModel) : nullptr; }

    // An adapter's requests run on a replica of its base model, so they count as demand for both.
    void indexDemand()
    {
        for (const auto& demand : m_input.demand) {
            auto* state = findModel(demand.model);
            if (!state)
                continue;
            for (auto* wanted : { state, baseOf(*state) }) {
                if (!wanted)
                    continue;
                wanted->concurrencyThousandths += demand.concurrencyThousandths;
                wanted->misses += demand.misses;
            }
        }
    }

    static bool isHot(const ModelState& state) { return state.concurrencyThousandths > 0; }

    void indexRows()
    {
        std::vector<const ReplicaRow*> rows;
        for (const auto& row : m_input.rows)
            rows.push_back(&row);
        std::sort(rows.begin(), rows.end(), [](const auto* left, const auto* right) { return std::tie(left->model, left->slot) < std::tie(right->model, right->slot); });
        for (const auto* row : rows) {
            auto* state = findModel(row->model);
            if (!state) {
                m_removedModelRows.push_back(row);
                continue;
            }
            state->rows.push_back(row);
            state->slots.insert(row->slot.value());
            if (!row->released)
                state->holders.insert(row->holder);
        }
        // Base models first: an adapter's row is usable only on a holder with a usable row of its base model.
        for (bool adapters : { false, true })
            for (auto& state : m_models)
                if (isAdapter(state) == adapters)
                    for (const auto* row : state.rows)
                        classify(state, *row);
    }

    HolderPresence presenceOf(const ReplicaRow& row) const
    {
        auto place = m_byInstance.find(row.holder.value());
        return place == m_byInstance.end() ? HolderPresence::Missing : m_candidates[place->second].instance->presence;
    }

    void classify(ModelState& state, const ReplicaRow& row)
    {
        auto presence = presenceOf(row);
        if (row.released || presence == HolderPresence::Gone) {
            state.vacant.push_back(&row);
            return;
        }
        if (presence == HolderPresence::Missing)
            return;
        auto index = m_byInstance.find(row.holder.value())->second;
        charge(state, index);
        if (row.releaseAsked)
            return;
        if (presence == HolderPresence::Leaving)
            return askRelease(row, IntentReason::HolderLeaving);
        if (!fits(state, m_candidates[index]))
            return askRelease(row, IntentReason::DoesNotFit);
        if (auto* base = baseOf(state); base && !contains(base->usable, index))
            return askRelease(row, IntentReason::BaseElsewhere);
        state.usable.push_back(index);
        state.usableRows.push_back(&row);
    }

    static bool contains(const std::vector<size_t>& indexes, size_t wanted) { return std::find(indexes.begin(), indexes.end(), wanted) != indexes.end(); }

    void charge(const ModelState& state, size_t index)
    {
        auto& candidate = m_candidates[index];
        candidate.assigned += state.model->memory.value();
        if (isHot(state))
            candidate.hot += state.model->memory.value();
    }

    bool fits(const ModelState& state, const Candidate& candidate)
    {
        auto memory = state.model->memory;
        if (const auto* base = baseOf(state))
            memory += base->model->memory;
        return candidate.instance->pool == state.model->pool && memory <= candidate.instance->memory;
    }

    void add(IntentKind kind, IntentReason reason, const base::ModelId& model, ReplicaSlot slot, const base::UpstreamId& holder, const ReplicaRow* row)
    {
        m_intents.push_back({ kind, reason, model, slot, holder, row ? row->modified : base::Revision(), row ? row->epoch : base::Epoch() });
    }

    void askRelease(const ReplicaRow& row, IntentReason reason) { add(IntentKind::AskRelease, reason, row.model, row.slot, row.holder, &row); }

    void releaseRemovedModelRow(const ReplicaRow& row)
    {
        if (row.released || presenceOf(row) == HolderPresence::Gone)
            add(IntentKind::Remove, IntentReason::ModelDropped, row.model, row.slot, row.holder, &row);
        else if (!row.releaseAsked)
            askRelease(row, IntentReason::ModelDropped);
    }

    int64_t wantedReplicas(const ModelState& state) const
    {
        auto maximum = std::max<int64_t>(1, state.model->maximumReplicas);
        auto minimum = std::clamp<int64_t>(state.model->minimumReplicas, 1, maximum);
        const auto* pool = findPool(state.model->pool);
        auto perReplica = std::max<int64_t>(1, (pool ? pool->slots : 1) * fullScale * m_settings.targetUtilisationPercent / 100);
        auto wanted = (state.concurrencyThousandths + perReplica - 1) / perReplica;
        if (state.misses > 0 && isHot(state))
            wanted = std::max(wanted, static_cast<int64_t>(state.usable.size()) + 1);
        return std::clamp(wanted, minimum, maximum);
    }

    const config::UpstreamPool* findPool(const base::PoolId& id) const
    {
        for (const auto& pool : m_input.configuration->pools)
            if (pool.id == id)
                return &pool;
        return nullptr;
    }

    void planReplicas(ModelState& state)
    {
        if (isFull())
            return;
        auto wanted = wantedReplicas(state);
        auto have = static_cast<int64_t>(state.usable.size());
        if (have < wanted)
            fill(state, wanted, isHot(state) ? IntentReason::Demand : IntentReason::MinimumReplicas);
        releaseSurplus(state, have - wanted);
        // Removes vacant rows that are not needed.
        for (const auto* row : state.vacant)
            add(IntentKind::Remove, row->released ? IntentReason::Released : IntentReason::HolderGone, row->model, row->slot, row->holder, row);
        state.vacant.clear();
    }

    void fill(ModelState& state, int64_t wanted, IntentReason reason)
    {
        while (static_cast<int64_t>(state.usable.size()) < wanted && !isFull()) {
            auto needsRoom = reason == IntentReason::Demand && !state.usable.empty();
            auto index = bestHolder(state, needsRoom);
            if (!index)
                return;
            place(state, *index, reason);
        }
    }

    void place(ModelState& state, size_t index, IntentReason reason)
    {
        const auto& holder = m_candidates[index].instance->id;
        if (!state.vacant.empty()) {
            const auto* row = state.vacant.front();
            state.vacant.erase(state.vacant.begin());
            add(IntentKind::Move, row->released ? IntentReason::Released : IntentReason::HolderGone, row->model, row->slot, holder, row);
        } else {
            int64_t slot = 0;
            while (state.slots.count(slot))
                ++slot;
            state.slots.insert(slot);
            auto isReplacement = reason == IntentReason::Home && !state.rows.empty();
            add(IntentKind::Add, isReplacement ? IntentReason::Replacement : reason, state.model->id, ReplicaSlot(slot), holder, nullptr);
        }
        state.usable.push_back(index);
        state.holders.insert(holder);
        charge(state, index);
    }

    const std::vector<size_t>& eligibleCandidates(const ModelState& state)
    {
        if (const auto* base = baseOf(state))
            return base->usable;
        return m_byPool[state.model->pool.value()];
    }

    std::optional<size_t> bestHolder(ModelState& state, bool needsRoom)
    {
        std::optional<size_t> best;
        std::pair<int64_t, uint64_t> bestCost;
        auto modelHash = stableHash(state.model->id.value());
        for (auto index : eligibleCandidates(state)) {
            const auto& candidate = m_candidates[index];
            if (!fits(state, candidate) || state.holders.count(candidate.instance->id))
                continue;
            auto isCrowded = candidate.hot + state.model->memory.value() > candidate.capacity();
            if (needsRoom && isCrowded)
                continue;
            std::pair cost(holderCost(state, candidate), mixBits(modelHash ^ candidate.hash));
            if (best && bestCost <= cost)
                continue;
            best = index;
            bestCost = cost;
        }
        return best;
    }

    int64_t holderCost(const ModelState& state, const Candidate& candidate) const
    {
        auto cost = candidate.fullness() + candidate.hot * fullScale / candidate.capacity();
        auto cached = candidate.cached.find(state.model->id.value());
        cost += tierCost(cached == candidate.cached.end() ? CheckpointTier::Remote : cached->second);
        for (auto used : state.usable)
            if (m_candidates[used].instance->domain == candidate.instance->domain)
                cost += sameDomainCost;
        return cost;
    }

    static int64_t tierCost(CheckpointTier tier)
    {
        switch (tier) {
        case CheckpointTier::Memory:
            return memoryTierCost;
        case CheckpointTier::Disk:
            return diskTierCost;
        case CheckpointTier::Remote:
            return remoteTierCost;
        }
        return remoteTierCost;
    }

    void releaseSurplus(const ModelState& state, int64_t surplus)
    {
        const auto& model = state.model->id;
        if (surplus <= 0) {
            m_surplusSince.erase(model);
            return;
        }
        auto since = m_surplusSince.try_emplace(model, m_input.now).first->second;
        if (m_input.now - since < m_settings.scaleDownDelay)
            return;
        // Releases one replica at a time, from the fullest holder; then the delay starts again.
        const ReplicaRow* fullest = nullptr;
        int64_t fullness = -1;
        for (size_t index = 0; index < state.usableRows.size(); ++index) {
            auto candidate = m_candidates[state.usable[index]].fullness();
            if (candidate < fullness)
                continue;
            fullest = state.usableRows[index];
            fullness = candidate;
        }
        if (fullest)
            askRelease(*fullest, IntentReason::Cold);
        m_surplusSince.erase(model);
    }

    // Moves a few idle models from the fullest instance to the emptiest, so that a new instance fills up without a
    // complete reassignment.
    void rebalance()
    {
        size_t moves = 0;
        for (auto& [pool, members] : m_byPool)
            while (moves < m_settings.maximumRebalancing && rebalanceOnce(members))
                ++moves;
    }

    bool rebalanceOnce(const std::vector<size_t>& members)
    {
        if (members.size() < 2)
            return false;
        auto byFullness = [&](size_t left, size_t right) { return m_candidates[left].fullness() < m_candidates[right].fullness(); };
        auto emptiest = *std::min_element(members.begin(), members.end(), byFullness);
        auto fullest = *std::max_element(members.begin(), members.end(), byFullness);
        auto gap = m_candidates[fullest].fullness() - m_candidates[emptiest].fullness();
        if (gap <= m_settings.rebalanceGapPercent * fullScale / 100)
            return false;
        auto* moved = modelToMove(fullest, emptiest, gap);
        if (!moved)
            return false;
        auto used = std::find(moved->usable.begin(), moved->usable.end(), fullest) - moved->usable.begin();
        askRelease(*moved->usableRows[static_cast<size_t>(used)], IntentReason::Rebalance);
        m_candidates[fullest].assigned -= moved->model->memory.value();
        moved->usable.erase(moved->usable.begin() + used);
        moved->usableRows.erase(moved->usableRows.begin() + used);
        place(*moved, emptiest, IntentReason::Rebalance);
        return true;
    }

    // The largest idle model without adapters whose share of an instance's memory is at most half of the gap.
    ModelState* modelToMove(size_t from, size_t to, int64_t gap)
    {
        ModelState* best = nullptr;
        for (auto& state : m_models) {
            if (isHot(state) || state.hasAdapters || isAdapter(state) || state.usableRows.size() != state.usable.size() || !contains(state.usable, from))
                continue;
            const auto& target = m_candidates[to];
            if (!fits(state, target) || state.holders.count(target.instance->id))
                continue;
            auto share = state.model->memory.value() * fullScale / std::min(target.capacity(), m_candidates[from].capacity());
            if (share * 2 <= gap && (!best || state.model->memory > best->model->memory))
                best = &state;
        }
        return best;
    }

    const PlannerSettings& m_settings;
    std::map<base::ModelId, base::Instant>& m_surplusSince;
    const PlanInput& m_input;
    std::vector<Candidate> m_candidates;
    absl::flat_hash_map<std::string_view, size_t> m_byInstance;
    std::map<std::string_view, std::vector<size_t>> m_byPool;
    std::vector<ModelState> m_models;
    absl::flat_hash_map<std::string_view, size_t> m_byModel;
    std::vector<const ReplicaRow*> m_removedModelRows;
    std::vector<ReplicaIntent> m_intents;
};

} // namespace

std::string_view intentReasonName(IntentReason reason)
{
    constexpr std::array<std::string_view, 12> names { "home", "minimum_replicas", "demand", "cold", "holder_gone", "holder_leaving", "replacement",
        "base_elsewhere", "model_dropped", "does_not_fit", "rebalance", "released" };
    static_assert(names.size() == static_cast<size_t>(IntentReason::Released) + 1);
    return names[static_cast<size_t>(reason)];
}

Planner::Planner(PlannerSettings settings)
    : m_settings(settings)
{
}

std::vector<ReplicaIntent> Planner::plan(const PlanInput& input)
{
    return PlanRun(m_settings, m_surplusSince, input).run();
}

} // namespace toucanstep::placement
