// Positional MessagePack for typed messages: a message is one array whose fields stand in a fixed order.
//
//     std::string bytes = FieldWriter().add(id).add(count).finish();
//     FieldReader reader(bytes);
//     message.id = reader.text(); message.count = reader.number();
//     if (!reader.complete()) ...
//
// A reader never throws: a missing field or one of another type makes it fail, and complete() tells.

#pragma once

#include "toucanstep/base/Time.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace toucanstep::peers {

class FieldWriter {
public:
    FieldWriter& add(const std::string& text);
    FieldWriter& add(int64_t number);
    FieldWriter& add(bool) = delete;
    FieldWriter& addFlag(bool);
    FieldWriter& addDuration(base::Duration);
    // Opaque bytes, kept apart from text, which has to be valid UTF-8.
    FieldWriter& addBytes(std::string_view);
    std::string finish() const;

private:
    nlohmann::json m_fields = nlohmann::json::array();
};

class FieldReader {
public:
    // A field of opaque bytes.
    struct Bytes {
        std::string value;
    };

    explicit FieldReader(std::string_view bytes);
    std::string text();
    int64_t number();
    bool flag();
    base::Duration duration();
    std::string bytes();
    // True if every field was there and none is left over.
    bool complete() const { return !m_failed && m_next == m_fields.size(); }
    bool failed() const { return m_failed; }

private:
    using Field = std::variant<int64_t, bool, std::string, Bytes>;
    class Collector;

    template <typename T>
    T take();

    std::vector<Field> m_fields;
    size_t m_next = 0;
    bool m_failed = false;
};

} // namespace toucanstep::peers
