// Typed reading of one object by its schema. The text and the settings are both read through this.
//
//     ObjectReader reader(accountSchema(), value, "accounts.farm", context);
//     account.weight = reader.integer("weight");
//
// Building a reader reports unknown and missing fields. Each typed read reports a wrong type, a value out of bounds or a
// bad unit at its place, and then gives the default, so that reading goes on and all findings come at once.

#pragma once

#include "PlacedValue.h"
#include "toucanstep/base/Findings.h"
#include "toucanstep/base/StrongTypes.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/config/Schema.h"

#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::config::internal {

// Looking for the nearest name takes time that grows with the number of names, so a text with thousands of unknown names
// would keep `check` busy for seconds; only the first ones get a suggestion.
inline constexpr int mostSuggestions = 50;

struct ReadContext {
    std::string file;
    base::Findings& findings;
    int suggestionsLeft = mostSuggestions;

    // What may have been meant by a name that is not known; empty where nothing is near.
    std::string suggest(std::string_view name, const std::vector<std::string>& candidates);
    void report(Position, std::string path, std::string message, std::string suggestion = {}, base::Severity = base::Severity::Error);
};

// One element of a list of texts, with its place.
struct PlacedText {
    std::string text;
    Position position;
    std::string path;
};

class ObjectReader {
public:
    // `value` and the context outlive the reader.
    ObjectReader(const ObjectSchema&, const PlacedValue&, std::string path, ReadContext&);

    // Whether the text gives the field at all.
    bool has(std::string_view field) const { return m_value->find(field) != nullptr; }

    int64_t integer(std::string_view field) const;
    bool boolean(std::string_view field) const;
    std::string text(std::string_view field) const;
    base::Duration duration(std::string_view field) const;
    base::Bytes size(std::string_view field) const;
    // The index among the schema's choices; 0 where the field is missing or wrong.
    size_t choice(std::string_view field) const;
    std::vector<PlacedText> texts(std::string_view field) const;
    // An object inside this one; an empty one where it is missing.
    ObjectReader object(std::string_view field, const ObjectSchema&) const;
    std::vector<ObjectReader> objects(std::string_view field, const ObjectSchema&) const;

    // Reports a finding at the field's value, or at the object where the field is missing. Says nothing where the value is no
    // object at all, since that is reported when the reader is built.
    void report(std::string_view field, std::string message, std::string suggestion = {}, base::Severity = base::Severity::Error) const;

    std::string suggest(std::string_view name, const std::vector<std::string>& candidates) const { return m_context->suggest(name, candidates); }

    const std::string& path() const { return m_path; }
    const PlacedValue& value() const { return *m_value; }

private:
    const PlacedValue* typed(std::string_view field, ValueType) const;
    int64_t bounded(std::string_view field, int64_t value, int64_t fallback) const;
    std::string pathOf(std::string_view field) const;
    void reportUnknownFields() const;
    void reportMissingFields() const;

    const ObjectSchema* m_schema;
    const PlacedValue* m_value;
    std::string m_path;
    ReadContext* m_context;
};

// Whether a text may serve as an id: 1 to 64 letters, digits, dots, dashes and underscores, beginning with a letter or digit.
bool isIdentifier(std::string_view);

inline constexpr std::string_view identifierRule = "1 to 64 letters, digits, '.', '-' or '_', beginning with a letter or digit";

} // namespace toucanstep::config::internal
