// Every field of the operators' text and of the settings, in one table: the readers take bounds and defaults from here,
// and the reference pages are checked against it.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::config {

enum class FieldForm {
    Integer,
    Boolean,
    // Any printable text up to 256 bytes.
    Text,
    // The id of an entry of another section.
    Reference,
    ReferenceList,
    Duration,
    Size,
    Choice,
    // 64 lower-case hexadecimal digits.
    Fingerprint,
    // An IP number and a port.
    Endpoint,
    EndpointList,
    // An http URL whose host is an IP number.
    Url,
    Object,
    ObjectList,
    // An object whose members are keyed by ids.
    Table,
};

struct FieldSchema {
    std::string_view name;
    FieldForm form;
    std::string_view meaning;
    bool required = false;
    // The value that a missing field takes, written as in the text.
    std::string_view fallback;
    // Where a missing field's value comes from, if it is no constant.
    std::string_view fallbackNote;
    // Bounds of integers, durations and sizes, both included, written as in the text.
    std::string_view minimum;
    std::string_view maximum;
    std::string_view unit;
    // The section that a reference leads into.
    std::string_view target;
    std::vector<std::string> choices;
};

struct ObjectSchema {
    // The object's path, with `ID` for a member's id, for example `accounts.ID`; empty for the whole text.
    std::string_view path;
    std::string_view meaning;
    std::vector<FieldSchema> fields;

    const FieldSchema* find(std::string_view name) const;
    std::vector<std::string> names() const;
};

const ObjectSchema& textSchema();
const ObjectSchema& kindSchema();
const ObjectSchema& accountSchema();
const ObjectSchema& keySchema();
const ObjectSchema& poolSchema();
const ObjectSchema& capabilitiesSchema();
const ObjectSchema& modelSchema();
const ObjectSchema& serviceSchema();
const ObjectSchema& loadsSchema();
const ObjectSchema& settingsSchema();

// Every object of the text, outermost first.
std::vector<const ObjectSchema*> allTextSchemas();

// The tables of a reference page in Markdown: one table for each object, one line for each field.
std::string renderReference(const std::vector<const ObjectSchema*>&);

} // namespace toucanstep::config
