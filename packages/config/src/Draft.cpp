#include "Draft.h"

#include "toucanstep/base/Text.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace toucanstep::config::internal {

namespace {

constexpr size_t fingerprintLength = 64;

bool isFingerprint(std::string_view text)
{
    return text.size() == fingerprintLength && std::all_of(text.begin(), text.end(), [](char byte) {
        return absl::ascii_isdigit(static_cast<unsigned char>(byte)) || (byte >= 'a' && byte <= 'f');
    });
}

RequestKind readKind(std::string id, const ObjectReader& reader)
{
    return { KindId(std::move(id)), reader.integer("weight"), reader.duration("defaultTimeout") };
}

std::vector<base::KeyFingerprint> readKeys(const ObjectReader& account)
{
    std::vector<base::KeyFingerprint> keys;
    for (const ObjectReader& reader : account.objects("keys", keySchema())) {
        reader.text("note");
        std::string digest = reader.text("sha256");
        if (isFingerprint(digest))
            keys.emplace_back(digest);
        else if (!digest.empty())
            reader.report("sha256", "is no SHA-256 in lower-case hexadecimal of 64 digits", "`toucanstep key new` prints the line for a new key");
    }
    return keys;
}

ClientAccount readAccount(std::string id, const ObjectReader& reader)
{
    ClientAccount account;
    account.id = base::ClientAccountId(std::move(id));
    account.tokensPerSecond = base::Tokens(reader.integer("tokensPerSecond"));
    account.burst = base::Tokens(reader.integer("burst"));
    account.weight = reader.integer("weight");
    account.keys = readKeys(reader);
    return account;
}

UpstreamCapabilities readCapabilities(const ObjectReader& pool)
{
    ObjectReader reader = pool.object("capabilities", capabilitiesSchema());
    return { reader.boolean("checksCaller"), reader.boolean("fencing"), reader.boolean("resume"), reader.boolean("priority") };
}

UpstreamPool readPool(std::string id, const ObjectReader& reader)
{
    UpstreamPool pool;
    pool.kind = reader.choice("kind") == 0 ? PoolKind::Engines : PoolKind::Services;
    pool.listName = reader.has("listName") ? reader.text("listName") : id;
    pool.id = base::PoolId(std::move(id));
    pool.capabilities = readCapabilities(reader);
    pool.memory = reader.size("memory");
    pool.slots = reader.integer("slots");
    pool.tokensPerSecond = reader.integer("tokensPerSecond");
    return pool;
}

Model readModel(std::string id, const ObjectReader& reader)
{
    Model model;
    model.pool = base::PoolId(reader.text("pool"));
    if (reader.has("baseModel"))
        model.baseModel = base::ModelId(reader.text("baseModel"));
    model.repositoryName = reader.has("repositoryName") ? reader.text("repositoryName") : id;
    model.id = base::ModelId(std::move(id));
    model.version = reader.text("version");
    model.memory = reader.size("memory");
    model.checkpoint = reader.has("checkpoint") ? reader.size("checkpoint") : model.memory;
    model.kind = KindId(reader.text("kind"));
    model.minimumReplicas = reader.integer("minimumReplicas");
    model.maximumReplicas = reader.integer("maximumReplicas");
    return model;
}

template <typename Id>
std::vector<Id> readIds(const ObjectReader& reader, std::string_view field)
{
    std::vector<Id> ids;
    for (const PlacedText& element : reader.texts(field))
        ids.emplace_back(element.text);
    return ids;
}

Service readService(std::string id, const ObjectReader& reader)
{
    Service service;
    service.id = base::ServiceId(std::move(id));
    service.pool = base::PoolId(reader.text("pool"));
    service.kind = KindId(reader.text("kind"));
    service.idempotent = reader.boolean("idempotent");
    service.retention = reader.duration("retention");
    service.cost = base::Tokens(reader.integer("cost"));
    service.dependsOnModels = readIds<base::ModelId>(reader, "dependsOnModels");
    service.dependsOnServices = readIds<base::ServiceId>(reader, "dependsOnServices");
    return service;
}

LoadLimits readLoads(const ObjectReader& text)
{
    ObjectReader reader = text.object("loads", loadsSchema());
    LoadLimits loads;
    loads.concurrentLoads = reader.integer("concurrentLoads");
    loads.adaptersInFlight = reader.integer("adaptersInFlight");
    loads.remoteBytesPerSecond = reader.size("remoteBytesPerSecond");
    loads.diskBytesPerSecond = reader.size("diskBytesPerSecond");
    loads.memoryBytesPerSecond = reader.size("memoryBytesPerSecond");
    return loads;
}

template <typename Entity>
std::vector<DraftEntry<Entity>> readSection(const PlacedValue& root, std::string_view section, const ObjectSchema& schema, Entity (*read)(std::string, const ObjectReader&), ReadContext& context)
{
    std::vector<DraftEntry<Entity>> entries;
    const PlacedValue* table = root.find(section);
    if (!table)
        return entries;
    if (table->type != ValueType::Object) {
        context.report(table->position, std::string(section), base::concat("must be an object keyed by id, and is ", typeName(table->type)));
        return entries;
    }
    for (const PlacedMember& member : table->members) {
        std::string path = base::concat(section, ".", member.name);
        if (!isIdentifier(member.name))
            context.report(member.position, path, "is no id", std::string(identifierRule));
        ObjectReader reader(schema, member.value, std::move(path), context);
        Entity entity = read(member.name, reader);
        entries.push_back({ std::move(entity), std::move(reader) });
    }
    return entries;
}

} // namespace

Draft readDraft(const PlacedValue& root, ReadContext& context)
{
    ObjectReader text(textSchema(), root, "", context);
    Draft draft;
    draft.kinds = readSection(root, "kinds", kindSchema(), readKind, context);
    draft.accounts = readSection(root, "accounts", accountSchema(), readAccount, context);
    draft.pools = readSection(root, "pools", poolSchema(), readPool, context);
    draft.models = readSection(root, "models", modelSchema(), readModel, context);
    draft.services = readSection(root, "services", serviceSchema(), readService, context);
    draft.loads = readLoads(text);
    return draft;
}

} // namespace toucanstep::config::internal
