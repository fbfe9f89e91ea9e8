#include "JsonReader.h"

#include "toucanstep/base/Text.h"

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <rapidjson/error/en.h>
#include <rapidjson/reader.h>

namespace toucanstep::config::internal {

namespace {

// RapidJSON reads nested values by recursion. Without a bound, a text of a million brackets would exhaust the stack and
// crash the process; the reader stops as soon as a value lies deeper than this.
constexpr size_t deepestNesting = 32;

constexpr unsigned parseFlags = rapidjson::kParseCommentsFlag | rapidjson::kParseTrailingCommasFlag | rapidjson::kParseValidateEncodingFlag;

// RapidJSON's stream concept over a text that need not end in a zero byte.
class TextStream {
public:
    using Ch = char;

    explicit TextStream(std::string_view text)
        : m_text(text)
    {
    }

    Ch Peek() const { return m_offset < m_text.size() ? m_text[m_offset] : '\0'; }
    Ch Take() { return m_offset < m_text.size() ? m_text[m_offset++] : '\0'; }
    size_t Tell() const { return m_offset; }
    // Only reading in place would write; the concept asks for the functions all the same.
    Ch* PutBegin() { return nullptr; }
    void Put(Ch) { }
    void Flush() { }
    size_t PutEnd(Ch*) { return 0; }

private:
    std::string_view m_text;
    size_t m_offset = 0;
};

// Turns offsets into positions.
class LineIndex {
public:
    explicit LineIndex(std::string_view text)
        : m_text(text)
    {
        for (size_t offset = 0; offset < text.size(); ++offset) {
            if (text[offset] == '\n')
                m_starts.push_back(offset + 1);
        }
    }

    Position positionOf(size_t offset) const
    {
        offset = std::min(offset, m_text.size());
        auto next = std::upper_bound(m_starts.begin(), m_starts.end(), offset);
        auto line = static_cast<size_t>(next - m_starts.begin());
        std::string_view before = m_text.substr(m_starts[line - 1], offset - m_starts[line - 1]);
        auto characters = std::count_if(before.begin(), before.end(), [](char byte) { return !isContinuation(byte); });
        return { static_cast<int>(line), static_cast<int>(characters) + 1 };
    }

private:
    // All bytes of a UTF-8 character but the first have the form 10xxxxxx.
    static bool isContinuation(char byte) { return (static_cast<unsigned char>(byte) & 0xC0) == 0x80; }

    std::string_view m_text;
    std::vector<size_t> m_starts { 0 };
};

// Builds the tree from RapidJSON's events. An event arrives when the stream stands just behind its token, so the start of
// the token is looked up backwards from there.
class TreeBuilder {
public:
    TreeBuilder(std::string_view file, std::string_view text, const TextStream& stream, const LineIndex& lines, base::Findings& findings)
        : m_file(file)
        , m_text(text)
        , m_stream(stream)
        , m_lines(lines)
        , m_findings(findings)
    {
    }

    bool Null() { return addLiteral({ .type = ValueType::Null }, std::string_view("null").size()); }
    bool Bool(bool value) { return addLiteral({ .type = ValueType::Boolean, .boolean = value }, std::string_view(value ? "true" : "false").size()); }
    bool Int(int value) { return addNumber(ValueType::Integer, value); }
    bool Uint(unsigned value) { return addNumber(ValueType::Integer, value); }
    bool Int64(int64_t value) { return addNumber(ValueType::Integer, value); }
    bool Uint64(uint64_t value)
    {
        bool fits = value <= static_cast<uint64_t>(INT64_MAX);
        return addNumber(fits ? ValueType::Integer : ValueType::Fraction, fits ? static_cast<int64_t>(value) : 0);
    }
    bool Double(double) { return addNumber(ValueType::Fraction, 0); }
    // Only called under flags that are not set here.
    bool RawNumber(const char*, rapidjson::SizeType, bool) { return false; }
    bool String(const char* text, rapidjson::SizeType length, bool)
    {
        PlacedValue value { .type = ValueType::Text, .text = std::string(text, length) };
        return add(std::move(value), startOfString());
    }
    bool StartObject() { return open(ValueType::Object); }
    bool Key(const char* text, rapidjson::SizeType length, bool)
    {
        m_names.push_back({ std::string(text, length), m_lines.positionOf(startOfString()), {} });
        return true;
    }
    bool EndObject(rapidjson::SizeType) { return close(); }
    bool StartArray() { return open(ValueType::Array); }
    bool EndArray(rapidjson::SizeType) { return close(); }

    bool tooDeep() const { return m_tooDeep; }
    PlacedValue take() { return std::move(m_root); }

private:
    bool addLiteral(PlacedValue value, size_t length) { return add(std::move(value), m_stream.Tell() - length); }

    bool addNumber(ValueType type, int64_t integer) { return add({ .type = type, .integer = integer }, startOfNumber()); }

    bool add(PlacedValue value, size_t offset)
    {
        value.position = m_lines.positionOf(offset);
        attach(std::move(value));
        return true;
    }

    bool open(ValueType type)
    {
        m_tooDeep = m_open.size() >= deepestNesting;
        if (m_tooDeep)
            return false;
        PlacedValue value { .type = type };
        value.position = m_lines.positionOf(m_stream.Tell() - 1);
        m_open.push_back(std::move(value));
        return true;
    }

    bool close()
    {
        PlacedValue value = std::move(m_open.back());
        m_open.pop_back();
        if (value.type == ValueType::Object)
            reportRepeatedNames(value);
        attach(std::move(value));
        return true;
    }

    void attach(PlacedValue value)
    {
        if (m_open.empty()) {
            m_root = std::move(value);
            return;
        }
        PlacedValue& parent = m_open.back();
        if (parent.type == ValueType::Array) {
            parent.elements.push_back(std::move(value));
            return;
        }
        PlacedMember member = std::move(m_names.back());
        m_names.pop_back();
        member.value = std::move(value);
        parent.members.push_back(std::move(member));
    }

    void reportRepeatedNames(const PlacedValue& object)
    {
        absl::flat_hash_set<std::string> seen;
        for (const PlacedMember& member : object.members) {
            if (!seen.insert(member.name).second)
                m_findings.add({ .place = { m_file, member.position.line, member.position.column }, .path = pathOf(member.name), .message = "this name stands here twice", .suggestion = "keep one of the two" });
        }
    }

    // The path of a member of the object that has just been closed.
    std::string pathOf(std::string_view name) const
    {
        std::string path;
        for (const PlacedMember& outer : m_names)
            base::append(path, outer.name, ".");
        return path + std::string(name);
    }

    // A quote inside a string follows an odd number of backslashes. Nothing that may stand before a string ends in a
    // backslash, so the first quote found backwards after an even number of them opens the string.
    size_t startOfString() const
    {
        size_t offset = m_stream.Tell() - 2;
        while (m_text[offset] != '"' || backslashesBefore(offset) % 2 != 0)
            --offset;
        return offset;
    }

    size_t backslashesBefore(size_t offset) const
    {
        size_t count = 0;
        while (count < offset && m_text[offset - count - 1] == '\\')
            ++count;
        return count;
    }

    size_t startOfNumber() const
    {
        size_t offset = m_stream.Tell();
        while (offset > 0 && std::string_view("0123456789+-.eE").find(m_text[offset - 1]) != std::string_view::npos)
            --offset;
        return offset;
    }

    std::string m_file;
    std::string_view m_text;
    const TextStream& m_stream;
    const LineIndex& m_lines;
    base::Findings& m_findings;
    PlacedValue m_root;
    std::vector<PlacedValue> m_open;
    // Names of members whose values are not complete yet, outermost first.
    std::vector<PlacedMember> m_names;
    bool m_tooDeep = false;
};

base::Finding findingAt(std::string_view file, Position position, std::string message, std::string suggestion)
{
    return { .place = { std::string(file), position.line, position.column }, .message = std::move(message), .suggestion = std::move(suggestion) };
}

std::string syntaxMessage(rapidjson::ParseErrorCode code)
{
    return base::concat("not valid JSON: ", rapidjson::GetParseError_En(code));
}

} // namespace

const PlacedValue* PlacedValue::find(std::string_view name) const
{
    auto found = std::find_if(members.rbegin(), members.rend(), [&](const PlacedMember& member) { return member.name == name; });
    return found == members.rend() ? nullptr : &found->value;
}

std::string_view typeName(ValueType type)
{
    switch (type) {
    case ValueType::Null:
        return "null";
    case ValueType::Boolean:
        return "true or false";
    case ValueType::Integer:
        return "a whole number";
    case ValueType::Fraction:
        return "a number that is not whole or too large";
    case ValueType::Text:
        return "a text";
    case ValueType::Array:
        return "a list";
    case ValueType::Object:
        return "an object";
    }
    return "";
}

std::optional<PlacedValue> readJson(std::string_view file, std::string_view text, base::Findings& findings)
{
    LineIndex lines(text);
    // A zero byte would end RapidJSON's stream early, and what follows it would be accepted unread.
    if (size_t zero = text.find('\0'); zero != std::string_view::npos) {
        findings.add(findingAt(file, lines.positionOf(zero), "the text holds a zero byte", "remove it"));
        return std::nullopt;
    }
    TextStream stream(text);
    TreeBuilder builder(file, text, stream, lines, findings);
    rapidjson::Reader reader;
    rapidjson::ParseResult result = reader.Parse<parseFlags>(stream, builder);
    if (builder.tooDeep()) {
        findings.add(findingAt(file, lines.positionOf(stream.Tell() - 1), base::concat("nested deeper than ", deepestNesting, " levels"), ""));
        return std::nullopt;
    }
    if (result.IsError()) {
        findings.add(findingAt(file, lines.positionOf(result.Offset()), syntaxMessage(result.Code()), ""));
        return std::nullopt;
    }
    return builder.take();
}

} // namespace toucanstep::config::internal
