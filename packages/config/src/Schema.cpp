#include "toucanstep/config/Schema.h"

#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::config {

const FieldSchema* ObjectSchema::find(std::string_view name) const
{
    auto found = std::find_if(fields.begin(), fields.end(), [&](const FieldSchema& field) { return field.name == name; });
    return found == fields.end() ? nullptr : &*found;
}

std::vector<std::string> ObjectSchema::names() const
{
    std::vector<std::string> names;
    for (const FieldSchema& field : fields)
        names.emplace_back(field.name);
    return names;
}

const ObjectSchema& textSchema()
{
    static const ObjectSchema schema {
        "",
        "The whole text.",
        {
            { .name = "kinds", .form = FieldForm::Table, .meaning = "Kinds of request.", .required = true },
            { .name = "accounts", .form = FieldForm::Table, .meaning = "Client accounts with their limits and keys.", .required = true },
            { .name = "pools", .form = FieldForm::Table, .meaning = "Pools of upstreams.", .required = true },
            { .name = "models", .form = FieldForm::Table, .meaning = "Models and adapters.", .fallbackNote = "no models" },
            { .name = "services", .form = FieldForm::Table, .meaning = "Plain services.", .fallbackNote = "no services" },
            { .name = "loads", .form = FieldForm::Object, .meaning = "What the weight store and the cache tiers carry.", .fallbackNote = "the defaults of its fields" },
        },
    };
    return schema;
}

const ObjectSchema& kindSchema()
{
    static const ObjectSchema schema {
        "kinds.ID",
        "A kind of request: what an answer in time is worth, and how long its callers wait.",
        {
            { .name = "weight", .form = FieldForm::Integer, .meaning = "Worth of one answer in time, relative to other kinds.", .fallback = "1", .minimum = "1", .maximum = "1000" },
            { .name = "defaultTimeout", .form = FieldForm::Duration, .meaning = "Timeout of a request that names none.", .fallback = "30s", .minimum = "10ms", .maximum = "1h" },
        },
    };
    return schema;
}

const ObjectSchema& accountSchema()
{
    static const ObjectSchema schema {
        "accounts.ID",
        "A client account. Its rate and burst hold over the whole fleet.",
        {
            { .name = "tokensPerSecond", .form = FieldForm::Integer, .meaning = "Rate: prompt and completion tokens.", .required = true, .minimum = "1", .maximum = "1000000000", .unit = "tokens/s" },
            { .name = "burst", .form = FieldForm::Integer, .meaning = "The most that may be taken at once. A request that costs more is always refused.", .required = true, .minimum = "1", .maximum = "10000000000", .unit = "tokens" },
            { .name = "weight", .form = FieldForm::Integer, .meaning = "Share of a contended upstream, relative to other accounts.", .fallback = "1", .minimum = "1", .maximum = "1000" },
            { .name = "keys", .form = FieldForm::ObjectList, .meaning = "Keys in use. A key that is taken out of the list stops working within seconds.", .fallbackNote = "no keys" },
        },
    };
    return schema;
}

const ObjectSchema& keySchema()
{
    static const ObjectSchema schema {
        "accounts.ID.keys[]",
        "One key, known by its digest only. `toucanstep key new` prints both.",
        {
            { .name = "sha256", .form = FieldForm::Fingerprint, .meaning = "SHA-256 of the key. No two keys of a text are the same.", .required = true },
            { .name = "note", .form = FieldForm::Text, .meaning = "For operators: who holds the key.", .fallbackNote = "empty" },
        },
    };
    return schema;
}

const ObjectSchema& poolSchema()
{
    static const ObjectSchema schema {
        "pools.ID",
        "Upstreams that are interchangeable. Its instances come from the platform's list.",
        {
            { .name = "kind", .form = FieldForm::Choice, .meaning = "What its instances are.", .required = true, .choices = { "engines", "services" } },
            { .name = "listName", .form = FieldForm::Text, .meaning = "Name of the pool in the platform's list of instances.", .fallbackNote = "the pool's id" },
            { .name = "capabilities", .form = FieldForm::Object, .meaning = "What its upstreams honour.", .fallbackNote = "none" },
            { .name = "memory", .form = FieldForm::Size, .meaning = "Accelerator memory of one instance. Engines only, and required there.", .minimum = "1MiB", .maximum = "64TiB" },
            { .name = "slots", .form = FieldForm::Integer, .meaning = "Requests that one instance runs at once.", .fallback = "1", .minimum = "1", .maximum = "4096", .unit = "requests" },
            { .name = "tokensPerSecond", .form = FieldForm::Integer, .meaning = "Expected generation speed of one stream. Engines only.", .fallback = "50", .minimum = "1", .maximum = "1000000", .unit = "tokens/s" },
        },
    };
    return schema;
}

const ObjectSchema& capabilitiesSchema()
{
    static const ObjectSchema schema {
        "pools.ID.capabilities",
        "What the upstreams of the pool honour.",
        {
            { .name = "checksCaller", .form = FieldForm::Boolean, .meaning = "Refuses orders that do not come from the sidecar's identity.", .fallback = "false" },
            { .name = "fencing", .form = FieldForm::Boolean, .meaning = "Refuses orders with an old fencing number.", .fallback = "false" },
            { .name = "resume", .form = FieldForm::Boolean, .meaning = "Takes a broken stream up again at an offset.", .fallback = "false" },
            { .name = "priority", .form = FieldForm::Boolean, .meaning = "Runs requests by their priority.", .fallback = "false" },
        },
    };
    return schema;
}

const ObjectSchema& modelSchema()
{
    static const ObjectSchema schema {
        "models.ID",
        "A model, or an adapter where `baseModel` is given.",
        {
            { .name = "pool", .form = FieldForm::Reference, .meaning = "Pool of engines that runs it; an adapter's is its base model's.", .fallbackNote = "adapters: the base model's; required otherwise", .target = "pools" },
            { .name = "baseModel", .form = FieldForm::Reference, .meaning = "Makes it an adapter of that model. The base model is no adapter itself.", .fallbackNote = "none", .target = "models" },
            { .name = "repositoryName", .form = FieldForm::Text, .meaning = "Name by which engines and the weight store know it.", .fallbackNote = "the model's id" },
            { .name = "version", .form = FieldForm::Text, .meaning = "Version by which engines and the weight store know it.", .fallback = "1" },
            { .name = "memory", .form = FieldForm::Size, .meaning = "Accelerator memory that one replica takes; an adapter's comes on top of its base model's.", .required = true, .minimum = "1B", .maximum = "64TiB" },
            { .name = "checkpoint", .form = FieldForm::Size, .meaning = "Size of the checkpoint in the weight store.", .fallbackNote = "the value of `memory`", .minimum = "1B", .maximum = "64TiB" },
            { .name = "kind", .form = FieldForm::Reference, .meaning = "Kind of its requests.", .fallbackNote = "adapters: the base model's; required otherwise", .target = "kinds" },
            { .name = "minimumReplicas", .form = FieldForm::Integer, .meaning = "Replicas kept loaded even when idle.", .fallback = "0", .minimum = "0", .maximum = "10000", .unit = "replicas" },
            { .name = "maximumReplicas", .form = FieldForm::Integer, .meaning = "The most replicas under demand.", .fallback = "1", .minimum = "1", .maximum = "10000", .unit = "replicas" },
        },
    };
    return schema;
}

const ObjectSchema& serviceSchema()
{
    static const ObjectSchema schema {
        "services.ID",
        "A plain service that requests are passed through to.",
        {
            { .name = "pool", .form = FieldForm::Reference, .meaning = "Pool of services that runs it.", .required = true, .target = "pools" },
            { .name = "kind", .form = FieldForm::Reference, .meaning = "Kind of its requests.", .required = true, .target = "kinds" },
            { .name = "idempotent", .form = FieldForm::Boolean, .meaning = "Whether a call may be repeated. Calls of a service that is not need the `Idempotency-Key` header and run at most once.", .required = true },
            { .name = "retention", .form = FieldForm::Duration, .meaning = "How long outcomes of calls are kept, so that a repeat gets the first answer. Only where `idempotent` is false.", .fallback = "24h", .minimum = "1m", .maximum = "30d" },
            { .name = "cost", .form = FieldForm::Integer, .meaning = "Charged to the account for one call. At most the burst of every account.", .fallback = "1", .minimum = "0", .maximum = "1000000000", .unit = "tokens" },
            { .name = "dependsOnModels", .form = FieldForm::ReferenceList, .meaning = "Models that it cannot work without.", .fallbackNote = "none", .target = "models" },
            { .name = "dependsOnServices", .form = FieldForm::ReferenceList, .meaning = "Services that it cannot work without. No cycles.", .fallbackNote = "none", .target = "services" },
        },
    };
    return schema;
}

const ObjectSchema& loadsSchema()
{
    static const ObjectSchema schema {
        "loads",
        "What the weight store and the cache tiers carry.",
        {
            { .name = "concurrentLoads", .form = FieldForm::Integer, .meaning = "Loads from the weight store at once at its full speed.", .fallback = "4", .minimum = "1", .maximum = "1000", .unit = "loads" },
            { .name = "adaptersInFlight", .form = FieldForm::Integer, .meaning = "Adapters in flight before the weight store slows.", .fallback = "30", .minimum = "1", .maximum = "10000", .unit = "adapters" },
            { .name = "remoteBytesPerSecond", .form = FieldForm::Size, .meaning = "Expected speed of one load from the weight store.", .fallback = "1GiB", .minimum = "1KiB", .maximum = "1TiB", .unit = "a second" },
            { .name = "diskBytesPerSecond", .form = FieldForm::Size, .meaning = "Expected speed of one load from the host's disk.", .fallback = "3GiB", .minimum = "1KiB", .maximum = "1TiB", .unit = "a second" },
            { .name = "memoryBytesPerSecond", .form = FieldForm::Size, .meaning = "Expected speed of one load from the host's memory.", .fallback = "12GiB", .minimum = "1KiB", .maximum = "1TiB", .unit = "a second" },
        },
    };
    return schema;
}

const ObjectSchema& settingsSchema()
{
    static const ObjectSchema schema {
        "",
        "The settings of one process.",
        {
            { .name = "role", .form = FieldForm::Choice, .meaning = "What the process is.", .required = true, .choices = { "gateway", "sidecar" } },
            { .name = "instance", .form = FieldForm::Text, .meaning = "Name of its instance in the platform's list; a replaced instance has a new one.", .required = true },
            { .name = "failureDomain", .form = FieldForm::Text, .meaning = "Failure domain of the instance.", .required = true },
            { .name = "peerListen", .form = FieldForm::Endpoint, .meaning = "Where other processes of the system reach it. Port 0 takes any free port.", .required = true },
            { .name = "operatorListen", .form = FieldForm::Endpoint, .meaning = "Health, metrics and status. Port 0 takes any free port.", .required = true },
            { .name = "callerListen", .form = FieldForm::Endpoint, .meaning = "Callers' HTTP. Gateways only, and required there." },
            { .name = "peers", .form = FieldForm::EndpointList, .meaning = "A few gateways to learn the others from.", .fallbackNote = "none" },
            { .name = "keyValueUrl", .form = FieldForm::Url, .meaning = "The platform's key-value service.", .required = true },
            { .name = "instanceListUrl", .form = FieldForm::Url, .meaning = "The platform's list of instances.", .required = true },
            { .name = "weightStoreUrl", .form = FieldForm::Url, .meaning = "The platform's weight store.", .fallbackNote = "empty: sizes come from the text" },
            { .name = "listName", .form = FieldForm::Text, .meaning = "Name of this instance's slice in the platform's list.", .required = true },
            { .name = "fleetSecretFile", .form = FieldForm::Text, .meaning = "File that holds the fleet's secret, 16 to 4096 bytes; a relative path starts at the settings file.", .required = true },
            { .name = "pool", .form = FieldForm::Text, .meaning = "Pool of the upstream beside it. Sidecars only, and required there." },
            { .name = "upstreamUrl", .form = FieldForm::Url, .meaning = "The upstream beside it. Sidecars only, and required there." },
            { .name = "historyFile", .form = FieldForm::Text, .meaning = "Where to write the history of decisions, one JSON object a line. For tests and the bench.", .fallbackNote = "none is written" },
        },
    };
    return schema;
}

std::vector<const ObjectSchema*> allTextSchemas()
{
    return { &textSchema(), &kindSchema(), &accountSchema(), &keySchema(), &poolSchema(), &capabilitiesSchema(), &modelSchema(), &serviceSchema(), &loadsSchema() };
}

namespace {

std::string_view formName(FieldForm form)
{
    switch (form) {
    case FieldForm::Integer:
        return "whole number";
    case FieldForm::Boolean:
        return "true or false";
    case FieldForm::Text:
        return "text";
    case FieldForm::Reference:
        return "id";
    case FieldForm::ReferenceList:
        return "list of ids";
    case FieldForm::Duration:
        return "duration";
    case FieldForm::Size:
        return "size";
    case FieldForm::Choice:
        return "choice";
    case FieldForm::Fingerprint:
        return "64 hexadecimal digits";
    case FieldForm::Endpoint:
        return "IP number and port";
    case FieldForm::EndpointList:
        return "list of IP numbers and ports";
    case FieldForm::Url:
        return "URL";
    case FieldForm::Object:
        return "object";
    case FieldForm::ObjectList:
        return "list of objects";
    case FieldForm::Table:
        return "object keyed by id";
    }
    return "";
}

std::string typeText(const FieldSchema& field)
{
    std::string text(formName(field.form));
    if (!field.target.empty())
        base::append(text, " in `", field.target, "`");
    for (const std::string& choice : field.choices)
        base::append(text, &choice == &field.choices.front() ? " `" : ", `", choice, "`");
    if (!field.unit.empty())
        base::append(text, ", ", field.unit);
    return text;
}

std::string fallbackText(const FieldSchema& field)
{
    if (field.required)
        return "required";
    if (!field.fallback.empty())
        return base::concat("`", field.fallback, "`");
    return field.fallbackNote.empty() ? "see meaning" : std::string(field.fallbackNote);
}

std::string boundsText(const FieldSchema& field)
{
    return field.minimum.empty() ? std::string() : base::concat(field.minimum, " to ", field.maximum);
}

} // namespace

std::string renderReference(const std::vector<const ObjectSchema*>& schemas)
{
    std::string page;
    for (const ObjectSchema* schema : schemas) {
        base::append(page, "## `", schema->path.empty() ? "{}" : schema->path, "`\n\n", schema->meaning, "\n\n");
        page += "| field | type and unit | default | bounds | meaning |\n|---|---|---|---|---|\n";
        for (const FieldSchema& field : schema->fields)
            base::append(page, "| `", field.name, "` | ", typeText(field), " | ", fallbackText(field), " | ", boundsText(field), " | ", field.meaning, " |\n");
        page += "\n";
    }
    return page;
}

} // namespace toucanstep::config
