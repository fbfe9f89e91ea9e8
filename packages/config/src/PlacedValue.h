// A JSON value that knows where it stands in its text.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::config::internal {

// Line and column, counted in characters from 1.
struct Position {
    int line = 0;
    int column = 0;
};

enum class ValueType {
    Null,
    Boolean,
    Integer,
    // A number with a fraction, an exponent, or out of the range of 64 bits.
    Fraction,
    Text,
    Array,
    Object,
};

struct PlacedMember;

struct PlacedValue {
    ValueType type = ValueType::Null;
    Position position;
    bool boolean = false;
    int64_t integer = 0;
    std::string text;
    std::vector<PlacedValue> elements;
    std::vector<PlacedMember> members;

    // The last member of that name; null if there is none.
    const PlacedValue* find(std::string_view name) const;
};

struct PlacedMember {
    std::string name;
    Position position;
    PlacedValue value;
};

// The type in the words of a message, for example "a text".
std::string_view typeName(ValueType);

} // namespace toucanstep::config::internal
