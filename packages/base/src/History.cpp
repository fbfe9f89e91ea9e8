#include "toucanstep/base/History.h"

#include "toucanstep/base/Text.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace toucanstep::base {

namespace {

using nlohmann::json;

constexpr std::array<std::string_view, historyKindCount> kindNames {
    "limit_in_force",
    "offered",
    "admitted",
    "refunded",
    "answered",
    "refused",
    "first_token",
    "work_given",
    "run_started",
    "run_ended",
    "replica_decided",
    "replica_withdrawn",
    "replica_loaded",
    "replica_unloaded",
    "memory_capacity",
    "key_withdrawn",
    "upstream_leaving",
    "configuration_in_force",
};

std::optional<HistoryKind> kindFromName(std::string_view name)
{
    for (int index = 0; index < historyKindCount; ++index) {
        if (kindNames[index] == name)
            return static_cast<HistoryKind>(index);
    }
    return std::nullopt;
}

// Walks over the fields once for both directions, so that writing and reading can't differ in a name.
template <typename Visitor, typename Event>
void visitFields(Visitor& visitor, Event& event)
{
    visitor.time("at", event.at);
    visitor.id("recorder", event.recorder);
    visitor.id("request", event.request);
    visitor.id("account", event.account);
    visitor.id("upstream", event.upstream);
    visitor.id("model", event.model);
    visitor.id("service", event.service);
    visitor.id("key", event.key);
    visitor.text("idempotency_key", event.idempotencyKey);
    visitor.text("digest", event.digest);
    visitor.number("tokens", event.tokens);
    visitor.number("burst", event.burst);
    visitor.number("bytes", event.bytes);
    visitor.number("version", event.version);
    visitor.integer("weight", event.weight, 1);
    visitor.time("deadline", event.deadline);
    visitor.flag("complete", event.complete);
    visitor.flag("cold", event.cold);
    visitor.flag("key_seen", event.keySeen);
}

class Writer {
public:
    explicit Writer(json& object)
        : m_object(object)
    {
    }

    void time(const char* name, Instant value)
    {
        if (value != Instant {})
            m_object[name] = value.time_since_epoch().count();
    }
    template <typename Id>
    void id(const char* name, const Id& value) { text(name, value.value()); }
    void text(const char* name, const std::string& value)
    {
        if (!value.empty())
            m_object[name] = value;
    }
    template <typename Number>
    void number(const char* name, Number value) { integer(name, value.value(), 0); }
    void integer(const char* name, int64_t value, int64_t defaultValue)
    {
        if (value != defaultValue)
            m_object[name] = value;
    }
    void flag(const char* name, bool value)
    {
        if (value)
            m_object[name] = true;
    }

private:
    json& m_object;
};

class Reader {
public:
    explicit Reader(const json& object)
        : m_object(object)
    {
    }

    bool wellFormed() const { return m_wellFormed; }

    void time(const char* name, Instant& value)
    {
        int64_t nanoseconds = 0;
        integer(name, nanoseconds, 0);
        value = Instant(Duration(nanoseconds));
    }
    template <typename Id>
    void id(const char* name, Id& value)
    {
        std::string read;
        text(name, read);
        value = Id(std::move(read));
    }
    void text(const char* name, std::string& value)
    {
        if (const json* found = field(name, &json::is_string))
            value = found->get<std::string>();
    }
    template <typename Number>
    void number(const char* name, Number& value)
    {
        int64_t read = 0;
        integer(name, read, 0);
        value = Number(read);
    }
    void integer(const char* name, int64_t& value, int64_t defaultValue)
    {
        const json* found = field(name, &json::is_number_integer);
        value = found ? found->get<int64_t>() : defaultValue;
    }
    void flag(const char* name, bool& value)
    {
        if (const json* found = field(name, &json::is_boolean))
            value = found->get<bool>();
    }

private:
    const json* field(const char* name, bool (json::*hasType)() const noexcept)
    {
        auto found = m_object.find(name);
        if (found == m_object.end())
            return nullptr;
        if (((*found).*hasType)())
            return &*found;
        m_wellFormed = false;
        return nullptr;
    }

    const json& m_object;
    bool m_wellFormed = true;
};

std::string textOf(const json& object, const char* name)
{
    auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

std::string_view historyKindName(HistoryKind kind)
{
    return kindNames[static_cast<size_t>(kind)];
}

std::string encodeHistoryEvent(const HistoryEvent& event)
{
    json object;
    object["kind"] = historyKindName(event.kind);
    Writer writer(object);
    visitFields(writer, event);
    if (event.kind == HistoryKind::Refused) {
        object["code"] = refusalCodeName(event.code);
        object["ran"] = ranStateName(event.ran);
    }
    // Bytes that are not UTF-8 are replaced: a recorder must not fail because of what it records.
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<HistoryEvent> decodeHistoryEvent(std::string_view line)
{
    json object = json::parse(line.begin(), line.end(), nullptr, false);
    if (!object.is_object())
        return fail(ErrorKind::Malformed, "history line: not a JSON object");
    std::optional<HistoryKind> kind = kindFromName(textOf(object, "kind"));
    if (!kind)
        return fail(ErrorKind::Malformed, concat("history line: unknown kind '", textOf(object, "kind"), "'"));
    HistoryEvent event { .kind = *kind };
    Reader reader(object);
    visitFields(reader, event);
    if (!reader.wellFormed())
        return fail(ErrorKind::Malformed, "history line: a field has another type");
    if (event.kind != HistoryKind::Refused)
        return event;
    std::optional<RefusalCode> code = refusalCodeFromName(textOf(object, "code"));
    std::optional<RanState> ran = ranStateFromName(textOf(object, "ran"));
    if (!code || !ran)
        return fail(ErrorKind::Malformed, "history line: a refusal without its code or ran state");
    event.code = *code;
    event.ran = *ran;
    return event;
}

} // namespace toucanstep::base
