// What has to hold between the parts of a text.

#include "Draft.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/config/Units.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>

namespace toucanstep::config::internal {

namespace {

// Finds entries by id; of two with the same id the first counts.
template <typename Entity>
class EntryIndex {
public:
    explicit EntryIndex(std::vector<DraftEntry<Entity>>& entries)
    {
        for (DraftEntry<Entity>& entry : entries) {
            m_entries.try_emplace(entry.entity.id.value(), &entry);
            m_names.push_back(entry.entity.id.value());
        }
    }

    DraftEntry<Entity>* find(const std::string& id) const
    {
        auto found = m_entries.find(id);
        return found == m_entries.end() ? nullptr : found->second;
    }

    // Like find(), and reports an id that leads nowhere. An empty id was reported when it was read.
    DraftEntry<Entity>* resolve(const std::string& id, std::string_view section, const ObjectReader& reader, std::string_view field) const
    {
        DraftEntry<Entity>* entry = find(id);
        if (!entry && !id.empty())
            reader.report(field, missing(id, section), reader.suggest(id, m_names));
        return entry;
    }

    static std::string missing(const std::string& id, std::string_view section) { return base::concat("there is no \"", id, "\" in ", section); }

    const std::vector<std::string>& names() const { return m_names; }

private:
    absl::flat_hash_map<std::string, DraftEntry<Entity>*> m_entries;
    std::vector<std::string> m_names;
};

struct Indexes {
    EntryIndex<RequestKind> kinds;
    EntryIndex<UpstreamPool> pools;
    EntryIndex<Model> models;
    EntryIndex<Service> services;
};

void checkPool(const DraftEntry<UpstreamPool>& pool)
{
    const ObjectReader& reader = pool.reader;
    if (pool.entity.kind == PoolKind::Engines) {
        if (!reader.has("memory") && reader.has("kind"))
            reader.report("memory", "a pool of engines needs the memory of one instance", "add \"memory\", as in \"24GiB\"");
        return;
    }
    for (std::string_view field : { "memory", "tokensPerSecond" }) {
        if (reader.has(field))
            reader.report(field, "only pools of engines have this field", "remove it");
    }
}

void checkPoolKind(const DraftEntry<UpstreamPool>& pool, PoolKind wanted, const ObjectReader& reader)
{
    if (pool.entity.kind == wanted)
        return;
    std::string_view wantedName = wanted == PoolKind::Engines ? "engines" : "services";
    reader.report("pool", base::concat("\"", pool.entity.id, "\" is no pool of ", wantedName));
}

// Settles what an adapter takes from its base model.
void settleAdapter(DraftEntry<Model>& adapter, const Indexes& indexes)
{
    Model& model = adapter.entity;
    const DraftEntry<Model>* base = indexes.models.resolve(model.baseModel->value(), "models", adapter.reader, "baseModel");
    if (!base)
        return;
    if (base == &adapter) {
        adapter.reader.report("baseModel", "a model cannot be its own base model");
        return;
    }
    if (base->entity.baseModel) {
        adapter.reader.report("baseModel", base::concat("\"", base->entity.id, "\" is an adapter itself"), "name the model below it");
        return;
    }
    if (!adapter.reader.has("pool"))
        model.pool = base->entity.pool;
    else if (!model.pool.empty() && model.pool != base->entity.pool)
        adapter.reader.report("pool", base::concat("its base model is in pool \"", base->entity.pool, "\""), "leave \"pool\" out of adapters");
    if (!adapter.reader.has("kind"))
        model.kind = base->entity.kind;
}

void requireOwnFields(const DraftEntry<Model>& model)
{
    for (std::string_view field : { "pool", "kind" }) {
        if (!model.reader.has(field))
            model.reader.report(field, "required field is missing", base::concat("add \"", field, "\", or \"baseModel\" for an adapter"));
    }
}

void checkMemory(const DraftEntry<Model>& model, const UpstreamPool& pool, const Indexes& indexes)
{
    if (pool.memory == base::Bytes())
        return;
    base::Bytes needed = model.entity.memory;
    std::string with;
    if (model.entity.baseModel) {
        const DraftEntry<Model>* base = indexes.models.find(model.entity.baseModel->value());
        // A base model that does not fit alone has a finding of its own.
        if (!base || base == &model || base->entity.memory > pool.memory)
            return;
        needed += base->entity.memory;
        with = " with its base model";
    }
    if (needed > pool.memory)
        model.reader.report("memory", base::concat("takes ", formatSize(needed), with, ", and an instance of pool \"", pool.id, "\" has ", formatSize(pool.memory)));
}

void checkModel(const DraftEntry<Model>& model, const Indexes& indexes)
{
    const ObjectReader& reader = model.reader;
    if (reader.has("kind"))
        indexes.kinds.resolve(model.entity.kind.value(), "kinds", reader, "kind");
    const DraftEntry<UpstreamPool>* pool = reader.has("pool") ? indexes.pools.resolve(model.entity.pool.value(), "pools", reader, "pool") : indexes.pools.find(model.entity.pool.value());
    if (pool) {
        if (reader.has("pool"))
            checkPoolKind(*pool, PoolKind::Engines, reader);
        checkMemory(model, pool->entity, indexes);
    }
    if (model.entity.minimumReplicas > model.entity.maximumReplicas)
        reader.report("minimumReplicas", base::concat("is above maximumReplicas, which is ", model.entity.maximumReplicas));
}

template <typename Entity>
void checkReferenceList(const ObjectReader& reader, std::string_view field, std::string_view section, const EntryIndex<Entity>& index, ReadContext& context)
{
    const PlacedValue* list = reader.value().find(field);
    if (!list || list->type != ValueType::Array)
        return;
    for (size_t position = 0; position < list->elements.size(); ++position) {
        const PlacedValue& element = list->elements[position];
        if (element.type != ValueType::Text || index.find(element.text))
            continue;
        std::string path = base::concat(reader.path(), ".", field, "[", position, "]");
        context.report(element.position, std::move(path), EntryIndex<Entity>::missing(element.text, section), context.suggest(element.text, index.names()));
    }
}

void checkService(const DraftEntry<Service>& service, const Draft& draft, const Indexes& indexes, ReadContext& context)
{
    const ObjectReader& reader = service.reader;
    indexes.kinds.resolve(service.entity.kind.value(), "kinds", reader, "kind");
    if (const DraftEntry<UpstreamPool>* pool = indexes.pools.resolve(service.entity.pool.value(), "pools", reader, "pool"))
        checkPoolKind(*pool, PoolKind::Services, reader);
    checkReferenceList(reader, "dependsOnModels", "models", indexes.models, context);
    checkReferenceList(reader, "dependsOnServices", "services", indexes.services, context);
    if (service.entity.idempotent && reader.has("retention"))
        reader.report("retention", "only calls that are not idempotent are kept", "remove it, or set \"idempotent\" to false");
    for (const DraftEntry<ClientAccount>& account : draft.accounts) {
        if (account.entity.burst > base::Tokens() && service.entity.cost > account.entity.burst)
            reader.report("cost", base::concat("is above the burst of account \"", account.entity.id, "\", ", account.entity.burst, ": it could never call this service"));
    }
}

// Finds cycles among services by walking from each one; a service on a finished walk is never walked again. The walk keeps
// its own stack: a chain of some ten thousand services would exhaust the thread's.
class CycleCheck {
public:
    explicit CycleCheck(const Indexes& indexes)
        : m_indexes(indexes)
    {
    }

    void walk(const DraftEntry<Service>& start)
    {
        if (stateOf(start) == State::New)
            enter(start);
        while (!m_walk.empty())
            step();
    }

private:
    enum class State {
        New,
        OnWalk,
        Finished,
    };

    struct Step {
        const DraftEntry<Service>* service;
        size_t nextDependency = 0;
    };

    State& stateOf(const DraftEntry<Service>& service) { return m_states[service.entity.id.value()]; }

    void enter(const DraftEntry<Service>& service)
    {
        stateOf(service) = State::OnWalk;
        m_walk.push_back({ &service });
    }

    void step()
    {
        Step& last = m_walk.back();
        const std::vector<base::ServiceId>& dependencies = last.service->entity.dependsOnServices;
        if (last.nextDependency == dependencies.size()) {
            stateOf(*last.service) = State::Finished;
            m_walk.pop_back();
            return;
        }
        const DraftEntry<Service>* next = m_indexes.services.find(dependencies[last.nextDependency++].value());
        if (!next)
            return;
        if (stateOf(*next) == State::OnWalk)
            reportCycle(*next);
        else if (stateOf(*next) == State::New)
            enter(*next);
    }

    void reportCycle(const DraftEntry<Service>& service) const
    {
        auto start = std::find_if(m_walk.begin(), m_walk.end(), [&](const Step& step) { return step.service == &service; });
        std::string cycle;
        for (auto step = start; step != m_walk.end(); ++step)
            base::append(cycle, step->service->entity.id, " -> ");
        m_walk.back().service->reader.report("dependsOnServices", base::concat("services depend on one another in a cycle: ", cycle, service.entity.id), "remove one of these dependencies");
    }

    const Indexes& m_indexes;
    absl::flat_hash_map<std::string, State> m_states;
    std::vector<Step> m_walk;
};

void checkKeys(const Draft& draft, ReadContext& context)
{
    absl::flat_hash_map<std::string, std::string> owners;
    for (const DraftEntry<ClientAccount>& account : draft.accounts) {
        const PlacedValue* keys = account.reader.value().find("keys");
        if (!keys)
            continue;
        for (size_t index = 0; index < keys->elements.size(); ++index) {
            const PlacedValue* digest = keys->elements[index].find("sha256");
            if (!digest || digest->type != ValueType::Text)
                continue;
            auto [owner, fresh] = owners.try_emplace(digest->text, account.entity.id.value());
            if (!fresh)
                context.report(digest->position, base::concat(account.reader.path(), ".keys[", index, "].sha256"), base::concat("account \"", owner->second, "\" has this key already"), "give each key once");
        }
    }
}

// A kind or pool that nothing uses is most often a slip in a name.
void warnOfUnused(const Draft& draft)
{
    absl::flat_hash_map<std::string, int> kinds;
    absl::flat_hash_map<std::string, int> pools;
    auto use = [&](const auto& entries) {
        for (const auto& entry : entries) {
            ++kinds[entry.entity.kind.value()];
            ++pools[entry.entity.pool.value()];
        }
    };
    use(draft.models);
    use(draft.services);
    for (const DraftEntry<RequestKind>& kind : draft.kinds) {
        if (!kinds.contains(kind.entity.id.value()))
            kind.reader.report("weight", "no model or service is of this kind", "remove the kind", base::Severity::Warning);
    }
    for (const DraftEntry<UpstreamPool>& pool : draft.pools) {
        if (!pools.contains(pool.entity.id.value()))
            pool.reader.report("kind", "no model or service is in this pool", "remove the pool", base::Severity::Warning);
    }
}

} // namespace

void checkDraft(Draft& draft, ReadContext& context)
{
    Indexes indexes { EntryIndex(draft.kinds), EntryIndex(draft.pools), EntryIndex(draft.models), EntryIndex(draft.services) };
    for (const DraftEntry<UpstreamPool>& pool : draft.pools)
        checkPool(pool);
    for (DraftEntry<Model>& model : draft.models) {
        if (model.entity.baseModel)
            settleAdapter(model, indexes);
        else
            requireOwnFields(model);
    }
    for (const DraftEntry<Model>& model : draft.models)
        checkModel(model, indexes);
    CycleCheck cycles(indexes);
    for (const DraftEntry<Service>& service : draft.services) {
        checkService(service, draft, indexes, context);
        cycles.walk(service);
    }
    checkKeys(draft, context);
    // A reference that leads nowhere leaves its target unused; its own finding says enough.
    if (!context.findings.hasErrors())
        warnOfUnused(draft);
}

} // namespace toucanstep::config::internal
