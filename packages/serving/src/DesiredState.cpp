#include "toucanstep/serving/DesiredState.h"

#include <algorithm>

namespace toucanstep::serving {

namespace {

template <typename List, typename Matches>
auto findIn(const List& list, Matches&& matches) -> const typename List::value_type*
{
    auto found = std::find_if(list.begin(), list.end(), matches);
    return found == list.end() ? nullptr : &*found;
}

// Hosts are compared without the port, which only depends on how the caller reached the platform.
std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

const ModelTraits* EngineTraits::findModel(const base::ModelId& id) const
{
    return findIn(models, [&](const ModelTraits& model) { return model.id == id; });
}

const Route* DesiredState::findRoute(std::string_view host, std::string_view path) const
{
    auto found = m_routesByHost.find(withoutPort(host));
    if (found == m_routesByHost.end())
        return nullptr;
    // Longest prefix first.
    for (size_t index : found->second) {
        if (path.starts_with(routes[index].prefix))
            return &routes[index];
    }
    return nullptr;
}

const ServiceTraits* DesiredState::findService(const base::ServiceId& id) const
{
    return findIn(services, [&](const ServiceTraits& service) { return service.id == id; });
}

const Account* DesiredState::findAccountByKey(const base::KeyFingerprint& key) const
{
    auto found = m_accountsByKey.find(key);
    return found == m_accountsByKey.end() ? nullptr : &accounts[found->second];
}

void DesiredState::buildIndexes()
{
    m_routesByHost.clear();
    m_accountsByKey.clear();
    for (size_t index = 0; index < routes.size(); ++index)
        m_routesByHost[std::string(withoutPort(routes[index].host))].push_back(index);
    for (auto& [host, indexes] : m_routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&](size_t left, size_t right) { return routes[left].prefix.size() > routes[right].prefix.size(); });
    }
    for (size_t index = 0; index < accounts.size(); ++index) {
        for (const auto& key : accounts[index].limits.keys)
            m_accountsByKey.emplace(key, index);
    }
}

} // namespace toucanstep::serving
