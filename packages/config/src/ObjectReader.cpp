#include "ObjectReader.h"

#include "toucanstep/base/Text.h"
#include "toucanstep/config/Nearest.h"
#include "toucanstep/config/Units.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_join.h>
#include <algorithm>
#include <charconv>
#include <cstdlib>

namespace toucanstep::config::internal {

namespace {

constexpr size_t longestText = 256;
constexpr size_t longestIdentifier = 64;

const PlacedValue& emptyObject()
{
    static const PlacedValue value { .type = ValueType::Object };
    return value;
}

// The schema's table and the code that reads by it are compiled together; a name that is missing there is a bug here.
const FieldSchema& fieldOf(const ObjectSchema& schema, std::string_view name)
{
    const FieldSchema* field = schema.find(name);
    if (!field)
        std::abort();
    return *field;
}

// A bound or default as the schema writes it, in the field's base unit.
int64_t schemaNumber(const FieldSchema& field, std::string_view text)
{
    if (field.form == FieldForm::Duration)
        return parseDuration(text).value_or(base::Duration {}).count();
    if (field.form == FieldForm::Size)
        return parseSize(text).value_or(base::Bytes {}).value();
    int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

bool isPrintable(std::string_view text)
{
    return std::none_of(text.begin(), text.end(), [](char byte) { return absl::ascii_iscntrl(static_cast<unsigned char>(byte)); });
}

bool isIdentifierCharacter(char byte)
{
    return absl::ascii_isalnum(static_cast<unsigned char>(byte)) || byte == '.' || byte == '-' || byte == '_';
}

} // namespace

bool isIdentifier(std::string_view text)
{
    if (text.empty() || text.size() > longestIdentifier)
        return false;
    return absl::ascii_isalnum(static_cast<unsigned char>(text.front())) && std::all_of(text.begin(), text.end(), isIdentifierCharacter);
}

std::string ReadContext::suggest(std::string_view name, const std::vector<std::string>& candidates)
{
    if (suggestionsLeft == 0)
        return {};
    --suggestionsLeft;
    return nearestSuggestion(name, candidates);
}

void ReadContext::report(Position position, std::string path, std::string message, std::string suggestion, base::Severity severity)
{
    findings.add({ .place = { file, position.line, position.column },
        .severity = severity,
        .path = std::move(path),
        .message = std::move(message),
        .suggestion = std::move(suggestion) });
}

ObjectReader::ObjectReader(const ObjectSchema& schema, const PlacedValue& value, std::string path, ReadContext& context)
    : m_schema(&schema)
    , m_value(&value)
    , m_path(std::move(path))
    , m_context(&context)
{
    if (value.type != ValueType::Object) {
        context.report(value.position, m_path, base::concat("must be an object, and is ", typeName(value.type)));
        m_value = &emptyObject();
        return;
    }
    reportUnknownFields();
    reportMissingFields();
}

void ObjectReader::reportUnknownFields() const
{
    for (const PlacedMember& member : m_value->members) {
        if (!m_schema->find(member.name))
            m_context->report(member.position, pathOf(member.name), "unknown field", suggest(member.name, m_schema->names()));
    }
}

void ObjectReader::reportMissingFields() const
{
    for (const FieldSchema& field : m_schema->fields) {
        if (field.required && !has(field.name))
            m_context->report(m_value->position, pathOf(field.name), "required field is missing", base::concat("add \"", field.name, "\""));
    }
}

std::string ObjectReader::pathOf(std::string_view field) const
{
    return m_path.empty() ? std::string(field) : base::concat(m_path, ".", field);
}

void ObjectReader::report(std::string_view field, std::string message, std::string suggestion, base::Severity severity) const
{
    // What is no object has its finding already, and has no place for findings about fields.
    if (m_value == &emptyObject())
        return;
    const PlacedValue* value = m_value->find(field);
    m_context->report(value ? value->position : m_value->position, pathOf(field), std::move(message), std::move(suggestion), severity);
}

const PlacedValue* ObjectReader::typed(std::string_view field, ValueType type) const
{
    const PlacedValue* value = m_value->find(field);
    if (!value)
        return nullptr;
    if (value->type == type)
        return value;
    report(field, base::concat("must be ", typeName(type), ", and is ", typeName(value->type)));
    return nullptr;
}

int64_t ObjectReader::bounded(std::string_view name, int64_t value, int64_t fallback) const
{
    const FieldSchema& field = fieldOf(*m_schema, name);
    if (value >= schemaNumber(field, field.minimum) && value <= schemaNumber(field, field.maximum))
        return value;
    report(name, base::concat("must lie between ", field.minimum, " and ", field.maximum));
    return fallback;
}

int64_t ObjectReader::integer(std::string_view name) const
{
    const FieldSchema& field = fieldOf(*m_schema, name);
    int64_t fallback = schemaNumber(field, field.fallback);
    const PlacedValue* value = typed(name, ValueType::Integer);
    return value ? bounded(name, value->integer, fallback) : fallback;
}

bool ObjectReader::boolean(std::string_view name) const
{
    const PlacedValue* value = typed(name, ValueType::Boolean);
    return value ? value->boolean : fieldOf(*m_schema, name).fallback == "true";
}

std::string ObjectReader::text(std::string_view name) const
{
    std::string fallback(fieldOf(*m_schema, name).fallback);
    const PlacedValue* value = typed(name, ValueType::Text);
    if (!value)
        return fallback;
    if (value->text.empty() || value->text.size() > longestText || !isPrintable(value->text)) {
        report(name, base::concat("must have 1 to ", longestText, " bytes, none of them a control character"));
        return fallback;
    }
    return value->text;
}

base::Duration ObjectReader::duration(std::string_view name) const
{
    const FieldSchema& field = fieldOf(*m_schema, name);
    int64_t fallback = schemaNumber(field, field.fallback);
    const PlacedValue* value = typed(name, ValueType::Text);
    if (!value)
        return base::Duration(fallback);
    auto parsed = parseDuration(value->text);
    if (parsed)
        return base::Duration(bounded(name, parsed->count(), fallback));
    report(name, base::concat("\"", value->text, "\" is no duration"), base::concat("a whole number followed by ", durationUnits, ", as in \"30s\""));
    return base::Duration(fallback);
}

base::Bytes ObjectReader::size(std::string_view name) const
{
    const FieldSchema& field = fieldOf(*m_schema, name);
    int64_t fallback = schemaNumber(field, field.fallback);
    const PlacedValue* value = typed(name, ValueType::Text);
    if (!value)
        return base::Bytes(fallback);
    auto parsed = parseSize(value->text);
    if (parsed)
        return base::Bytes(bounded(name, parsed->value(), fallback));
    report(name, base::concat("\"", value->text, "\" is no size"), base::concat("a whole number followed by ", sizeUnits, ", as in \"24GiB\""));
    return base::Bytes(fallback);
}

size_t ObjectReader::choice(std::string_view name) const
{
    const PlacedValue* value = typed(name, ValueType::Text);
    if (!value)
        return 0;
    const std::vector<std::string>& choices = fieldOf(*m_schema, name).choices;
    auto found = std::find(choices.begin(), choices.end(), value->text);
    if (found != choices.end())
        return static_cast<size_t>(found - choices.begin());
    report(name, base::concat("\"", value->text, "\" is none of: ", absl::StrJoin(choices, ", ")), suggest(value->text, choices));
    return 0;
}

std::vector<PlacedText> ObjectReader::texts(std::string_view name) const
{
    std::vector<PlacedText> texts;
    const PlacedValue* list = typed(name, ValueType::Array);
    if (!list)
        return texts;
    for (size_t index = 0; index < list->elements.size(); ++index) {
        const PlacedValue& element = list->elements[index];
        std::string path = base::concat(pathOf(name), "[", index, "]");
        if (element.type == ValueType::Text)
            texts.push_back({ element.text, element.position, std::move(path) });
        else
            m_context->report(element.position, std::move(path), base::concat("must be a text, and is ", typeName(element.type)));
    }
    return texts;
}

ObjectReader ObjectReader::object(std::string_view name, const ObjectSchema& schema) const
{
    const PlacedValue* value = m_value->find(name);
    return { schema, value ? *value : emptyObject(), pathOf(name), *m_context };
}

std::vector<ObjectReader> ObjectReader::objects(std::string_view name, const ObjectSchema& schema) const
{
    std::vector<ObjectReader> readers;
    const PlacedValue* list = typed(name, ValueType::Array);
    if (!list)
        return readers;
    for (size_t index = 0; index < list->elements.size(); ++index)
        readers.emplace_back(schema, list->elements[index], base::concat(pathOf(name), "[", index, "]"), *m_context);
    return readers;
}

} // namespace toucanstep::config::internal
