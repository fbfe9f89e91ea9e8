#include "toucanstep/config/Delta.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/config/Parser.h"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/escaping.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace toucanstep::config {

namespace {

using nlohmann::json;

constexpr size_t digestBytes = 32;

// A copy costs about as many bytes as this on the wire; shorter pieces are cheaper as they are.
constexpr size_t shortestCopy = 12;

// How many lines of the base with the same text are tried as the start of a copy. More would cost time on texts that
// repeat one line thousands of times, and find hardly longer copies.
constexpr size_t candidatesTried = 8;

size_t commonPrefix(std::string_view left, std::string_view right)
{
    auto [end, unused] = std::mismatch(left.begin(), left.end(), right.begin(), right.end());
    return static_cast<size_t>(end - left.begin());
}

size_t commonSuffix(std::string_view left, std::string_view right)
{
    auto [end, unused] = std::mismatch(left.rbegin(), left.rend(), right.rbegin(), right.rend());
    return static_cast<size_t>(end - left.rbegin());
}

size_t endOfLine(std::string_view text, size_t start)
{
    size_t newline = text.find('\n', start);
    return newline == std::string_view::npos ? text.size() : newline + 1;
}

// Looks copies up by whole lines and then lengthens them byte by byte in both directions, so that a change inside a line
// moves only the bytes that changed.
class DeltaBuilder {
public:
    DeltaBuilder(std::string_view before, std::string_view after)
        : m_before(before)
        , m_after(after)
    {
        for (size_t start = 0; start < before.size(); start = endOfLine(before, start))
            m_lines[before.substr(start, endOfLine(before, start) - start)].push_back(start);
    }

    std::vector<DeltaStep> build()
    {
        // Nothing is looked up in what both texts begin with.
        addCopy({ 0, commonPrefix(m_before, m_after) });
        size_t position = m_done;
        while (position < m_after.size()) {
            CopyStep copy = longestCopyAt(position);
            if (copy.length >= shortestCopy) {
                copy = lengthenBackwards(copy, position);
                addInsert(position);
                addCopy(copy);
                position = m_done;
            } else
                position = endOfLine(m_after, position);
        }
        addInsert(m_after.size());
        return std::move(m_steps);
    }

private:
    CopyStep longestCopyAt(size_t position) const
    {
        // Behind a change inside a line the rest of the line is found by its end.
        CopyStep best = copyOfTail(position);
        auto found = m_lines.find(m_after.substr(position, endOfLine(m_after, position) - position));
        if (found == m_lines.end())
            return best;
        for (size_t index = 0; index < std::min(found->second.size(), candidatesTried); ++index) {
            size_t start = found->second[index];
            size_t length = commonPrefix(m_before.substr(start), m_after.substr(position));
            if (length > best.length)
                best = { start, length };
        }
        return best;
    }

    // What both texts end with, if `position` lies in it.
    CopyStep copyOfTail(size_t position) const
    {
        size_t length = std::min(m_tail, m_after.size() - position);
        bool inside = m_after.size() - position <= m_tail;
        return inside ? CopyStep { m_before.size() - length, length } : CopyStep {};
    }

    CopyStep lengthenBackwards(CopyStep copy, size_t& position) const
    {
        size_t more = commonSuffix(m_before.substr(0, copy.offset), m_after.substr(m_done, position - m_done));
        position -= more;
        return { copy.offset - more, copy.length + more };
    }

    void addCopy(CopyStep copy)
    {
        if (copy.length < shortestCopy)
            return;
        m_steps.emplace_back(copy);
        m_done += copy.length;
    }

    void addInsert(size_t end)
    {
        if (end > m_done)
            m_steps.emplace_back(InsertStep { std::string(m_after.substr(m_done, end - m_done)) });
        m_done = end;
    }

    std::string_view m_before;
    std::string_view m_after;
    size_t m_tail = commonSuffix(m_before, m_after);
    absl::flat_hash_map<std::string_view, std::vector<size_t>> m_lines;
    std::vector<DeltaStep> m_steps;
    // Bytes of `m_after` that the steps give so far.
    size_t m_done = 0;
};

// The wire form is one flat MessagePack array: from, to, digest, then for each step either its offset and length, or its
// bytes. These are its items.
struct Item {
    bool isNumber = false;
    uint64_t number = 0;
    std::string bytes;
};

// Collects the items. Everything else is refused as soon as it begins: values nested a million deep would otherwise
// exhaust the parser's stack.
class ItemCollector final : public nlohmann::json_sax<json> {
public:
    bool null() override { return false; }
    bool boolean(bool) override { return false; }
    bool number_integer(number_integer_t) override { return false; }
    bool number_unsigned(number_unsigned_t value) override { return add({ true, static_cast<uint64_t>(value), {} }); }
    bool number_float(number_float_t, const string_t&) override { return false; }
    bool string(string_t&) override { return false; }
    bool binary(binary_t& value) override { return add({ false, 0, std::string(value.begin(), value.end()) }); }
    bool start_object(size_t) override { return false; }
    bool key(string_t&) override { return false; }
    bool end_object() override { return false; }
    bool start_array(size_t) override { return !std::exchange(m_insideArray, true); }
    bool end_array() override { return true; }
    bool parse_error(size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

    std::vector<Item> take() { return std::move(m_items); }

private:
    bool add(Item item)
    {
        m_items.push_back(std::move(item));
        return m_insideArray;
    }

    std::vector<Item> m_items;
    bool m_insideArray = false;
};

// Takes items one after the other; a missing one or one of another type makes the whole fail.
class ItemReader {
public:
    explicit ItemReader(std::vector<Item> items)
        : m_items(std::move(items))
    {
    }

    bool failed() const { return m_failed; }
    bool hasMore() const { return !m_failed && m_next < m_items.size(); }
    bool nextIsNumber() const { return hasMore() && m_items[m_next].isNumber; }
    uint64_t number() { return take(true).number; }
    std::string bytes() { return take(false).bytes; }

    base::Revision revision()
    {
        uint64_t value = number();
        m_failed = m_failed || value > static_cast<uint64_t>(INT64_MAX);
        return base::Revision(m_failed ? 0 : static_cast<int64_t>(value));
    }

private:
    Item take(bool isNumber)
    {
        if (!hasMore() || m_items[m_next].isNumber != isNumber) {
            m_failed = true;
            return {};
        }
        return std::move(m_items[m_next++]);
    }

    std::vector<Item> m_items;
    size_t m_next = 0;
    bool m_failed = false;
};

json::binary_t binaryOf(std::string_view bytes)
{
    return json::binary_t({ bytes.begin(), bytes.end() });
}

void appendStep(json& items, const DeltaStep& step)
{
    if (const auto* copy = std::get_if<CopyStep>(&step)) {
        items.push_back(copy->offset);
        items.push_back(copy->length);
    } else
        items.push_back(json::binary(binaryOf(std::get<InsertStep>(step).bytes)));
}

DeltaStep readStep(ItemReader& reader)
{
    if (!reader.nextIsNumber())
        return InsertStep { reader.bytes() };
    size_t offset = reader.number();
    return CopyStep { offset, reader.number() };
}

bool fits(size_t present, size_t added)
{
    return added <= longestConfigurationText && present + added <= longestConfigurationText;
}

} // namespace

Delta makeDelta(const VersionedText& before, const VersionedText& after)
{
    return { before.version, after.version, base::sha256Hex(after.text), DeltaBuilder(before.text, after.text).build() };
}

base::Result<std::string> applyDelta(const Delta& delta, std::string_view before)
{
    std::string result;
    for (const DeltaStep& step : delta.steps) {
        std::string_view piece;
        if (const auto* copy = std::get_if<CopyStep>(&step)) {
            if (copy->offset > before.size() || copy->length > before.size() - copy->offset)
                return base::fail(base::ErrorKind::Malformed, "a delta copies from beyond its base");
            piece = before.substr(copy->offset, copy->length);
        } else
            piece = std::get<InsertStep>(step).bytes;
        if (!fits(result.size(), piece.size()))
            return base::fail(base::ErrorKind::Malformed, "a delta's result is larger than any text");
        result += piece;
    }
    if (base::sha256Hex(result) != delta.digest)
        return base::fail(base::ErrorKind::Malformed, "a delta's result does not have its digest");
    return result;
}

std::string encodeDelta(const Delta& delta)
{
    json items = json::array({ static_cast<uint64_t>(delta.from.value()), static_cast<uint64_t>(delta.to.value()) });
    items.push_back(json::binary(binaryOf(absl::HexStringToBytes(base::abslView(delta.digest)))));
    for (const DeltaStep& step : delta.steps)
        appendStep(items, step);
    std::string bytes;
    json::to_msgpack(items, bytes);
    return bytes;
}

base::Result<Delta> decodeDelta(std::string_view bytes)
{
    ItemCollector collector;
    bool wellFormed = json::sax_parse(bytes.begin(), bytes.end(), &collector, json::input_format_t::msgpack);
    ItemReader reader(collector.take());
    Delta delta;
    delta.from = reader.revision();
    delta.to = reader.revision();
    std::string digest = reader.bytes();
    delta.digest = absl::BytesToHexString(base::abslView(digest));
    while (reader.hasMore())
        delta.steps.push_back(readStep(reader));
    if (!wellFormed || reader.failed() || digest.size() != digestBytes)
        return base::fail(base::ErrorKind::Malformed, "the bytes are no delta");
    return delta;
}

} // namespace toucanstep::config
