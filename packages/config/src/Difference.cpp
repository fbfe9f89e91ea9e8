#include "toucanstep/config/Difference.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/config/Units.h"

#include <map>

namespace toucanstep::config {

namespace {

// Values by field, and elements of lists by `field[element]`.
using Fields = std::map<std::string, std::string>;

std::string number(int64_t value)
{
    return std::to_string(value);
}

std::string yesOrNo(bool value)
{
    return value ? "true" : "false";
}

template <typename Ids>
void addElements(Fields& fields, std::string_view name, const Ids& ids)
{
    for (const auto& id : ids)
        fields.emplace(base::concat(name, "[", id, "]"), "");
}

Fields fieldsOf(const RequestKind& kind)
{
    return { { "weight", number(kind.weight) }, { "defaultTimeout", formatDuration(kind.defaultTimeout) } };
}

Fields fieldsOf(const ClientAccount& account)
{
    Fields fields {
        { "tokensPerSecond", number(account.tokensPerSecond.value()) },
        { "burst", number(account.burst.value()) },
        { "weight", number(account.weight) },
    };
    addElements(fields, "keys", account.keys);
    return fields;
}

Fields fieldsOf(const UpstreamPool& pool)
{
    return {
        { "kind", pool.kind == PoolKind::Engines ? "engines" : "services" },
        { "listName", pool.listName },
        { "capabilities.checksCaller", yesOrNo(pool.capabilities.checksCaller) },
        { "capabilities.fencing", yesOrNo(pool.capabilities.fencing) },
        { "capabilities.resume", yesOrNo(pool.capabilities.resume) },
        { "capabilities.priority", yesOrNo(pool.capabilities.priority) },
        { "memory", formatSize(pool.memory) },
        { "slots", number(pool.slots) },
        { "tokensPerSecond", number(pool.tokensPerSecond) },
    };
}

Fields fieldsOf(const Model& model)
{
    Fields fields {
        { "pool", model.pool.value() },
        { "repositoryName", model.repositoryName },
        { "version", model.version },
        { "memory", formatSize(model.memory) },
        { "checkpoint", formatSize(model.checkpoint) },
        { "kind", model.kind.value() },
        { "minimumReplicas", number(model.minimumReplicas) },
        { "maximumReplicas", number(model.maximumReplicas) },
    };
    if (model.baseModel)
        fields.emplace("baseModel", model.baseModel->value());
    return fields;
}

Fields fieldsOf(const Service& service)
{
    Fields fields {
        { "pool", service.pool.value() },
        { "kind", service.kind.value() },
        { "idempotent", yesOrNo(service.idempotent) },
        { "retention", formatDuration(service.retention) },
        { "cost", number(service.cost.value()) },
    };
    addElements(fields, "dependsOnModels", service.dependsOnModels);
    addElements(fields, "dependsOnServices", service.dependsOnServices);
    return fields;
}

Fields fieldsOf(const LoadLimits& loads)
{
    return {
        { "concurrentLoads", number(loads.concurrentLoads) },
        { "adaptersInFlight", number(loads.adaptersInFlight) },
        { "remoteBytesPerSecond", formatSize(loads.remoteBytesPerSecond) },
        { "diskBytesPerSecond", formatSize(loads.diskBytesPerSecond) },
        { "memoryBytesPerSecond", formatSize(loads.memoryBytesPerSecond) },
    };
}

class Comparer {
public:
    template <typename Entity>
    void compareSection(std::string_view section, const std::vector<Entity>& before, const std::vector<Entity>& after)
    {
        std::map<std::string, const Entity*> remaining = byId(after);
        for (const auto& [id, old] : byId(before)) {
            std::string path = base::concat(section, ".", id);
            auto found = remaining.find(id);
            if (found == remaining.end()) {
                m_changes.push_back({ ChangeKind::Dropped, std::move(path), "", "" });
                continue;
            }
            compareFields(path, fieldsOf(*old), fieldsOf(*found->second));
            remaining.erase(found);
        }
        for (const auto& [id, added] : remaining)
            m_changes.push_back({ ChangeKind::Added, base::concat(section, ".", id), "", "" });
    }

    void compareFields(const std::string& path, const Fields& before, const Fields& after)
    {
        for (const auto& [field, value] : before) {
            auto found = after.find(field);
            std::string fieldPath = base::concat(path, ".", field);
            if (found == after.end())
                m_changes.push_back({ ChangeKind::Dropped, std::move(fieldPath), value, "" });
            else if (found->second != value)
                m_changes.push_back({ ChangeKind::Changed, std::move(fieldPath), value, found->second });
        }
        for (const auto& [field, value] : after) {
            if (!before.contains(field))
                m_changes.push_back({ ChangeKind::Added, base::concat(path, ".", field), "", value });
        }
    }

    std::vector<Change> take() { return std::move(m_changes); }

private:
    template <typename Entity>
    static std::map<std::string, const Entity*> byId(const std::vector<Entity>& entities)
    {
        std::map<std::string, const Entity*> map;
        for (const Entity& entity : entities)
            map.emplace(entity.id.value(), &entity);
        return map;
    }

    std::vector<Change> m_changes;
};

} // namespace

std::string_view changeKindName(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Dropped:
        return "dropped";
    case ChangeKind::Changed:
        return "changed";
    }
    return "";
}

std::string Change::text() const
{
    std::string line = base::concat(changeKindName(kind), " ", path);
    if (kind == ChangeKind::Changed)
        base::append(line, ": ", before, " -> ", after);
    else if (!before.empty() || !after.empty())
        base::append(line, ": ", before, after);
    return line;
}

std::vector<Change> difference(const Configuration& before, const Configuration& after)
{
    Comparer comparer;
    comparer.compareSection("kinds", before.kinds, after.kinds);
    comparer.compareSection("accounts", before.accounts, after.accounts);
    comparer.compareSection("pools", before.pools, after.pools);
    comparer.compareSection("models", before.models, after.models);
    comparer.compareSection("services", before.services, after.services);
    comparer.compareFields("loads", fieldsOf(before.loads), fieldsOf(after.loads));
    return comparer.take();
}

std::string renderDifference(const std::vector<Change>& changes)
{
    std::string text;
    for (const Change& change : changes)
        base::append(text, change.text(), "\n");
    return text;
}

} // namespace toucanstep::config
