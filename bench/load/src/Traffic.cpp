#include "Traffic.h"

#include "Arrivals.h"
#include "toucanstep/base/Text.h"

namespace toucanstep::bench {

namespace {

constexpr size_t warmModelCount = 15;
constexpr size_t gatewayCount = 3;
constexpr int64_t bytesPerToken = 4;

// A prompt that no other request has, of about that many tokens.
std::string promptOf(int64_t tokens, std::mt19937_64& generator)
{
    std::string prompt = base::concat("clamp ", generator(), ": ");
    while (static_cast<int64_t>(prompt.size()) < tokens * bytesPerToken)
        prompt += "moisture density face ";
    prompt.resize(static_cast<size_t>(tokens * bytesPerToken));
    return prompt;
}

template <typename Value>
const Value& anyOf(const std::vector<Value>& values, std::mt19937_64& generator)
{
    return values[std::uniform_int_distribution<size_t>(0, values.size() - 1)(generator)];
}

const config::Service* orderService(const Deployment& deployment)
{
    for (const config::Service& service : deployment.configuration().services) {
        if (!service.idempotent)
            return &service;
    }
    return nullptr;
}

PlannedRequest order(const config::ClientAccount& account, const config::Service& service, std::mt19937_64& generator)
{
    PlannedRequest request;
    request.gateway = generator() % gatewayCount;
    request.account = account.id;
    request.key = Deployment::key(account.id);
    request.service = service.id.value();
    request.prompt = base::concat("seal clamp ", generator());
    request.idempotencyKey = base::concat("order-", generator());
    request.stream = false;
    return request;
}

} // namespace

std::vector<base::ModelId> warmModels(const Deployment& deployment)
{
    std::vector<base::ModelId> models = deployment.baseModels();
    models.resize(std::min(models.size(), warmModelCount));
    return models;
}

PlannedRequest chat(const config::ClientAccount& account, const base::ModelId& model, std::mt19937_64& generator)
{
    PlannedRequest request;
    request.gateway = generator() % gatewayCount;
    request.account = account.id;
    request.key = Deployment::key(account.id);
    request.model = model.value();
    request.prompt = promptOf(steadyPromptTokens, generator);
    request.tokens = steadyAnswerTokens;
    return request;
}

std::vector<PlannedRequest> warmUpTraffic(const Deployment& deployment, std::mt19937_64& generator)
{
    constexpr base::Duration patience = std::chrono::seconds(30);
    const auto& accounts = deployment.configuration().accounts;
    std::vector<PlannedRequest> requests;
    for (const base::ModelId& model : warmModels(deployment)) {
        requests.push_back(chat(accounts[requests.size() % accounts.size()], model, generator));
        requests.back().tokens = 1;
        requests.back().timeout = patience;
    }
    auto orders = firstOrders(deployment, generator);
    requests.insert(requests.end(), orders.begin(), orders.end());
    return requests;
}

std::vector<PlannedRequest> firstOrders(const Deployment& deployment, std::mt19937_64& generator)
{
    const auto& accounts = deployment.configuration().accounts;
    std::vector<PlannedRequest> requests;
    const config::Service* service = orderService(deployment);
    for (size_t index = 0; service && index < accounts.size() * gatewayCount; ++index) {
        requests.push_back(order(accounts[index % accounts.size()], *service, generator));
        requests.back().gateway = index / accounts.size();
    }
    return requests;
}

std::vector<PlannedRequest> accountTraffic(const Deployment& deployment, const config::ClientAccount& account, const SteadyTraffic& traffic, std::mt19937_64& generator)
{
    std::vector<base::ModelId> models = warmModels(deployment);
    std::vector<base::ModelId> adapters = deployment.adapters();
    const config::Service* service = orderService(deployment);
    std::uniform_real_distribution<double> draw(0, 1);
    auto cost = static_cast<double>(steadyPromptTokens + traffic.answerTokens);
    ArrivalProfile profile;
    profile.perSecond = traffic.partOfRate * static_cast<double>(account.tokensPerSecond.value()) / cost;
    profile.length = traffic.length;
    std::vector<PlannedRequest> requests;
    for (base::Duration at : arrivals(profile, generator)) {
        double kind = draw(generator);
        if (service && kind < traffic.orders)
            requests.push_back(order(account, *service, generator));
        else if (!adapters.empty() && kind < traffic.orders + traffic.adapters)
            requests.push_back(chat(account, anyOf(adapters, generator), generator));
        else
            requests.push_back(chat(account, anyOf(models, generator), generator));
        requests.back().at = at;
        requests.back().tokens = traffic.answerTokens;
        requests.back().timeout = traffic.timeout;
    }
    return requests;
}

std::vector<PlannedRequest> steadyTraffic(const Deployment& deployment, const SteadyTraffic& traffic, std::mt19937_64& generator)
{
    std::vector<PlannedRequest> requests;
    for (const config::ClientAccount& account : deployment.configuration().accounts) {
        auto own = accountTraffic(deployment, account, traffic, generator);
        requests.insert(requests.end(), own.begin(), own.end());
    }
    return requests;
}

} // namespace toucanstep::bench
