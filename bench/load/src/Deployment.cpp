#include "Deployment.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/config/Parser.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace toucanstep::bench {

namespace {

using nlohmann::json;

constexpr int64_t burstSeconds = 4;

std::string bytesText(base::Bytes bytes)
{
    return base::concat(bytes, "B");
}

std::string durationText(base::Duration duration)
{
    return base::concat(base::toMilliseconds(duration), "ms");
}

json keysOf(const config::ClientAccount& account, bool onlyFirst)
{
    json keys = json::array({ { { "sha256", base::sha256Hex(Deployment::key(account.id, 0)) } } });
    if (!onlyFirst)
        keys.push_back({ { "sha256", base::sha256Hex(Deployment::key(account.id, 1)) } });
    return keys;
}

json poolOf(const config::UpstreamPool& pool, const TextOptions& options)
{
    json described = { { "listName", pool.listName }, { "slots", options.slots ? options.slots : pool.slots } };
    if (pool.kind == config::PoolKind::Services) {
        described["kind"] = "services";
        return described;
    }
    described["kind"] = "engines";
    described["memory"] = bytesText(pool.memory);
    described["tokensPerSecond"] = std::chrono::seconds(1) / options.engineTick;
    described["capabilities"] = { { "checksCaller", true }, { "fencing", true }, { "resume", true }, { "priority", true } };
    return described;
}

json modelOf(const config::Model& model)
{
    json described = { { "memory", bytesText(model.memory) } };
    if (model.baseModel) {
        described["baseModel"] = model.baseModel->value();
        return described;
    }
    described["pool"] = model.pool.value();
    described["kind"] = model.kind.value();
    described["minimumReplicas"] = model.minimumReplicas;
    described["maximumReplicas"] = model.maximumReplicas;
    return described;
}

json serviceOf(const config::Service& service)
{
    json described = { { "pool", service.pool.value() }, { "kind", service.kind.value() }, { "idempotent", service.idempotent }, { "cost", service.cost.value() } };
    if (!service.idempotent)
        described["retention"] = durationText(service.retention);
    return described;
}

} // namespace

std::shared_ptr<const Deployment> Deployment::read(const std::string& sampleFile)
{
    std::ifstream file(sampleFile);
    std::ostringstream text;
    text << file.rdbuf();
    config::ParsedConfiguration parsed = config::parseConfiguration(sampleFile, text.str());
    if (!file || !parsed.configuration) {
        std::cerr << "cannot read the sample " << sampleFile << "\n"
                  << parsed.findings.render();
        return nullptr;
    }
    auto deployment = std::make_shared<Deployment>();
    deployment->m_configuration = parsed.configuration;
    return deployment;
}

std::string Deployment::text(const TextOptions& options) const
{
    json text;
    for (const auto& kind : m_configuration->kinds)
        text["kinds"][kind.id.value()] = { { "weight", kind.weight }, { "defaultTimeout", durationText(kind.defaultTimeout) } };
    for (const auto& account : m_configuration->accounts) {
        text["accounts"][account.id.value()] = { { "tokensPerSecond", account.tokensPerSecond.value() * options.rateFactor }, { "burst", burstOf(account) * options.rateFactor }, { "weight", account.weight },
            { "keys", keysOf(account, options.withoutSecondKeys) } };
    }
    for (const auto& pool : m_configuration->pools)
        text["pools"][pool.id.value()] = poolOf(pool, options);
    for (const auto& model : m_configuration->models)
        text["models"][model.id.value()] = modelOf(model);
    for (const auto& service : m_configuration->services)
        text["services"][service.id.value()] = serviceOf(service);
    text["loads"] = { { "concurrentLoads", m_configuration->loads.concurrentLoads }, { "adaptersInFlight", m_configuration->loads.adaptersInFlight },
        { "remoteBytesPerSecond", bytesText(base::Bytes(remoteBytesPerSecond)) }, { "diskBytesPerSecond", bytesText(base::Bytes(diskBytesPerSecond)) },
        { "memoryBytesPerSecond", bytesText(base::Bytes(memoryBytesPerSecond)) } };
    return text.dump();
}

std::string Deployment::key(const base::ClientAccountId& account, int number)
{
    return base::concat("bench-key-", number, "-of-", account);
}

std::vector<fakes::FakeCheckpoint> Deployment::checkpoints() const
{
    std::vector<fakes::FakeCheckpoint> checkpoints;
    for (const auto& model : m_configuration->models)
        checkpoints.push_back({ model.id.value(), model.baseModel ? model.baseModel->value() : "", model.memory });
    return checkpoints;
}

std::vector<base::ModelId> Deployment::baseModels() const
{
    std::vector<base::ModelId> models;
    for (const auto& model : m_configuration->models) {
        if (!model.baseModel)
            models.push_back(model.id);
    }
    return models;
}

std::vector<base::ModelId> Deployment::adapters() const
{
    std::vector<base::ModelId> models;
    for (const auto& model : m_configuration->models) {
        if (model.baseModel)
            models.push_back(model.id);
    }
    return models;
}

base::Duration Deployment::bareLoadTime(base::Bytes size, fakes::CheckpointTier tier) const
{
    auto at = [&](int64_t rate) {
        return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(static_cast<double>(size.value()) / static_cast<double>(rate)));
    };
    if (tier == fakes::CheckpointTier::Memory)
        return at(memoryBytesPerSecond);
    if (tier == fakes::CheckpointTier::Disk)
        return at(diskBytesPerSecond);
    // A remote checkpoint is fetched into the host's memory first, and read from there.
    return at(remoteBytesPerSecond) + at(memoryBytesPerSecond);
}

int64_t Deployment::burstOf(const config::ClientAccount& account)
{
    return account.tokensPerSecond.value() * burstSeconds;
}

} // namespace toucanstep::bench
