#include "toucanstep/config/Configuration.h"

#include <absl/container/flat_hash_map.h>
#include <algorithm>

namespace toucanstep::config {

namespace {

template <typename Entity>
using IdOf = decltype(Entity::id);

template <typename Entity>
using PositionsById = absl::flat_hash_map<IdOf<Entity>, size_t>;

template <typename Entity>
PositionsById<Entity> positionsOf(const std::vector<Entity>& entities)
{
    PositionsById<Entity> positions;
    for (size_t index = 0; index < entities.size(); ++index)
        positions.try_emplace(entities[index].id, index);
    return positions;
}

template <typename Entity>
const Entity* scan(const std::vector<Entity>& entities, const IdOf<Entity>& id)
{
    auto found = std::find_if(entities.begin(), entities.end(), [&](const Entity& entity) { return entity.id == id; });
    return found == entities.end() ? nullptr : &*found;
}

template <typename Entity>
const Entity* lookUp(const std::vector<Entity>& entities, const PositionsById<Entity>& positions, const IdOf<Entity>& id)
{
    auto found = positions.find(id);
    return found == positions.end() ? nullptr : &entities[found->second];
}

} // namespace

// Positions in the vectors, so that a copied configuration may share them.
struct Configuration::Indexes {
    PositionsById<RequestKind> kinds;
    PositionsById<ClientAccount> accounts;
    PositionsById<UpstreamPool> pools;
    PositionsById<Model> models;
    PositionsById<Service> services;
    absl::flat_hash_map<base::KeyFingerprint, size_t> accountsByKey;
};

void Configuration::buildIndexes()
{
    auto indexes = std::make_shared<Indexes>();
    indexes->kinds = positionsOf(kinds);
    indexes->accounts = positionsOf(accounts);
    indexes->pools = positionsOf(pools);
    indexes->models = positionsOf(models);
    indexes->services = positionsOf(services);
    for (size_t index = 0; index < accounts.size(); ++index) {
        for (const base::KeyFingerprint& key : accounts[index].keys)
            indexes->accountsByKey.try_emplace(key, index);
    }
    m_indexes = std::move(indexes);
}

const RequestKind* Configuration::findKind(const KindId& id) const
{
    return m_indexes ? lookUp(kinds, m_indexes->kinds, id) : scan(kinds, id);
}

const ClientAccount* Configuration::findAccount(const base::ClientAccountId& id) const
{
    return m_indexes ? lookUp(accounts, m_indexes->accounts, id) : scan(accounts, id);
}

const ClientAccount* Configuration::findAccountByKey(const base::KeyFingerprint& key) const
{
    if (m_indexes) {
        auto found = m_indexes->accountsByKey.find(key);
        return found == m_indexes->accountsByKey.end() ? nullptr : &accounts[found->second];
    }
    auto found = std::find_if(accounts.begin(), accounts.end(), [&](const ClientAccount& account) {
        return std::find(account.keys.begin(), account.keys.end(), key) != account.keys.end();
    });
    return found == accounts.end() ? nullptr : &*found;
}

const UpstreamPool* Configuration::findPool(const base::PoolId& id) const
{
    return m_indexes ? lookUp(pools, m_indexes->pools, id) : scan(pools, id);
}

const Model* Configuration::findModel(const base::ModelId& id) const
{
    return m_indexes ? lookUp(models, m_indexes->models, id) : scan(models, id);
}

const Service* Configuration::findService(const base::ServiceId& id) const
{
    return m_indexes ? lookUp(services, m_indexes->services, id) : scan(services, id);
}

} // namespace toucanstep::config
