#include "toucanstep/base/Text.h"
#include "toucanstep/membership/Entry.h"

#include <nlohmann/json.hpp>
#include <set>

namespace toucanstep::membership {

namespace {

using nlohmann::json;

constexpr int64_t maximumCounter = int64_t(1) << 62;

enum class MessageTag : int {
    Digest = 1,
    Versions = 2,
    Delta = 3,
};

// Thrown inside this file alone, and turned into an error at its border.
struct MalformedMessage {
    const char* reason;
};

void require(bool holds, const char* reason)
{
    if (!holds)
        throw MalformedMessage { reason };
}

const json& arrayOf(const json& value, size_t length)
{
    require(value.is_array() && value.size() == length, "an array of another length");
    return value;
}

const json& listOf(const json& value, size_t maximumLength)
{
    require(value.is_array() && value.size() <= maximumLength, "a list that is too long");
    return value;
}

std::string textOf(const json& value)
{
    require(value.is_string(), "not a text");
    const auto& text = value.get_ref<const std::string&>();
    require(text.size() <= maximumTextLength, "a text that is too long");
    return text;
}

int64_t numberOf(const json& value)
{
    require(value.is_number_integer(), "not a whole number");
    if (value.is_number_unsigned())
        require(value.get<uint64_t>() <= static_cast<uint64_t>(INT64_MAX), "a number that is too large");
    return value.get<int64_t>();
}

int64_t countOf(const json& value)
{
    int64_t number = numberOf(value);
    require(number >= 0, "a negative number");
    return number;
}

uint32_t hashOf(const json& value)
{
    int64_t number = countOf(value);
    require(number <= UINT32_MAX, "a hash that is too large");
    return static_cast<uint32_t>(number);
}

template <typename Enum>
Enum enumOf(const json& value, Enum last)
{
    int64_t number = countOf(value);
    require(number <= static_cast<int64_t>(last), "an unknown value");
    return static_cast<Enum>(number);
}

std::vector<uint32_t> hashesOf(const json& value, size_t maximumLength)
{
    std::vector<uint32_t> hashes;
    for (const auto& item : listOf(value, maximumLength))
        hashes.push_back(hashOf(item));
    return hashes;
}

// Four bytes a hash as one binary value: a digest then has the same size whatever the hashes are.
json packHashes(const std::vector<uint32_t>& hashes)
{
    std::vector<uint8_t> bytes;
    for (uint32_t hash : hashes) {
        for (int shift = 24; shift >= 0; shift -= 8)
            bytes.push_back(static_cast<uint8_t>(hash >> shift));
    }
    return json::binary(std::move(bytes));
}

std::vector<uint32_t> unpackHashes(const json& value, size_t maximumCount)
{
    require(value.is_binary(), "not a binary value");
    const auto& bytes = value.get_binary();
    require(bytes.size() % 4 == 0 && bytes.size() / 4 <= maximumCount, "a binary value of another length");
    std::vector<uint32_t> hashes;
    for (size_t index = 0; index < bytes.size(); index += 4)
        hashes.push_back(uint32_t(bytes[index]) << 24 | uint32_t(bytes[index + 1]) << 16 | uint32_t(bytes[index + 2]) << 8 | bytes[index + 3]);
    return hashes;
}

json encodeHints(const Hints& hints)
{
    json shares = json::array();
    for (const auto& share : hints.shares)
        shares.push_back({ share.account.value(), share.index, share.stock.value() });
    return json::array({ hints.configuration.value(), shares, hints.strikes });
}

Hints decodeHints(const json& value)
{
    arrayOf(value, 3);
    Hints hints;
    hints.configuration = base::Revision(countOf(value[0]));
    for (const auto& share : listOf(value[1], maximumShares)) {
        arrayOf(share, 3);
        int64_t index = countOf(share[1]);
        require(index < 1024, "a share number that is too large");
        hints.shares.push_back({ base::ClientAccountId(textOf(share[0])), static_cast<int>(index), base::Tokens(countOf(share[2])) });
    }
    for (const auto& strike : listOf(value[2], maximumStrikes))
        hints.strikes.push_back(textOf(strike));
    return hints;
}

json encodeEntry(const Entry& entry)
{
    return json::array({ entry.instance.value(), static_cast<int>(entry.role), entry.address, entry.failureDomain.value(), entry.pool.value(),
        entry.upstream.value(), static_cast<int>(entry.state), entry.version.start.value(), entry.version.counter, encodeHints(entry.hints) });
}

Entry decodeEntry(const json& value)
{
    arrayOf(value, 10);
    Entry entry;
    entry.instance = base::InstanceId(textOf(value[0]));
    require(!entry.instance.empty(), "an entry without an instance");
    entry.role = enumOf(value[1], Role::Sidecar);
    entry.address = textOf(value[2]);
    entry.failureDomain = base::FailureDomain(textOf(value[3]));
    entry.pool = base::PoolId(textOf(value[4]));
    entry.upstream = base::UpstreamId(textOf(value[5]));
    entry.state = enumOf(value[6], MemberState::Gone);
    entry.version = { StartNonce(countOf(value[7])), countOf(value[8]) };
    // A member that is contradicted raises this number; it must not run over.
    require(entry.version.counter <= maximumCounter, "a counter that is too large");
    entry.hints = decodeHints(value[9]);
    return entry;
}

json encode(const Digest& digest)
{
    return json::array({ static_cast<int>(MessageTag::Digest), digest.from.value(), digest.configuration.value(), packHashes(digest.buckets) });
}

json packItems(const std::vector<Versions::Item>& items)
{
    std::vector<uint32_t> hashes;
    for (const auto& item : items) {
        hashes.push_back(item.instanceHash);
        hashes.push_back(item.versionHash);
    }
    return packHashes(hashes);
}

std::vector<Versions::Item> unpackItems(const json& value)
{
    std::vector<uint32_t> hashes = unpackHashes(value, maximumVersionItems * 2);
    require(hashes.size() % 2 == 0, "half an item");
    std::vector<Versions::Item> items;
    for (size_t index = 0; index < hashes.size(); index += 2)
        items.push_back({ hashes[index], hashes[index + 1] });
    return items;
}

json encode(const Versions& versions)
{
    return json::array({ static_cast<int>(MessageTag::Versions), versions.from.value(), versions.buckets, packItems(versions.items), packItems(versions.wanted) });
}

json encode(const Delta& delta)
{
    json entries = json::array();
    for (const auto& entry : delta.entries)
        entries.push_back(encodeEntry(entry));
    return json::array({ static_cast<int>(MessageTag::Delta), delta.from.value(), entries });
}

Digest decodeDigest(const json& value)
{
    arrayOf(value, 4);
    Digest digest { base::InstanceId(textOf(value[1])), base::Revision(countOf(value[2])), unpackHashes(value[3], digestBuckets) };
    require(digest.buckets.size() == digestBuckets, "a digest of another size");
    return digest;
}

Versions decodeVersions(const json& value)
{
    arrayOf(value, 5);
    Versions versions { .from = base::InstanceId(textOf(value[1])), .buckets = hashesOf(value[2], digestBuckets) };
    for (uint32_t bucket : versions.buckets)
        require(bucket < digestBuckets, "an unknown bucket");
    versions.items = unpackItems(value[3]);
    versions.wanted = unpackItems(value[4]);
    return versions;
}

Delta decodeDelta(const json& value)
{
    arrayOf(value, 3);
    Delta delta { .from = base::InstanceId(textOf(value[1])) };
    for (const auto& entry : listOf(value[2], maximumEntries))
        delta.entries.push_back(decodeEntry(entry));
    return delta;
}

Message decode(const json& value)
{
    require(value.is_array() && !value.empty(), "not a message");
    switch (static_cast<MessageTag>(numberOf(value[0]))) {
    case MessageTag::Digest:
        return decodeDigest(value);
    case MessageTag::Versions:
        return decodeVersions(value);
    case MessageTag::Delta:
        return decodeDelta(value);
    }
    throw MalformedMessage { "an unknown kind of message" };
}

} // namespace

namespace {

// Counts how deep a value is nested, and stops the reader where that is more than any message needs: the library's reader
// calls itself for each level, so a hostile message of nothing but list openings would exhaust the stack.
class DepthGuard final : public nlohmann::json_sax<json> {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool key(string_t&) override { return true; }
    bool start_object(size_t) override { return false; }
    bool end_object() override { return true; }
    bool start_array(size_t) override { return ++m_depth <= maximumDepth; }
    bool end_array() override
    {
        --m_depth;
        return true;
    }
    bool parse_error(size_t, const std::string&, const nlohmann::detail::exception&) override { return false; }

private:
    static constexpr int maximumDepth = 6;
    int m_depth = 0;
};

} // namespace

std::string encodeMessage(const Message& message)
{
    json value = std::visit([](const auto& typed) { return encode(typed); }, message);
    std::string bytes;
    json::to_msgpack(value, bytes);
    return bytes;
}

size_t encodedSize(const Entry& entry)
{
    return json::to_msgpack(encodeEntry(entry)).size();
}

base::Result<Message> decodeMessage(std::string_view bytes)
{
    if (bytes.size() > maximumMessageBytes)
        return base::fail(base::ErrorKind::Malformed, "membership message: too long");
    DepthGuard guard;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &guard, json::input_format_t::msgpack, true))
        return base::fail(base::ErrorKind::Malformed, "membership message: not MessagePack, or nested too deep");
    json value = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    if (value.is_discarded())
        return base::fail(base::ErrorKind::Malformed, "membership message: not MessagePack");
    try {
        return decode(value);
    } catch (const MalformedMessage& malformed) {
        return base::fail(base::ErrorKind::Malformed, base::concat("membership message: ", malformed.reason));
    }
}

} // namespace toucanstep::membership
