#include "toucanstep/assignments/Row.h"

#include "toucanstep/base/MessagePack.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace toucanstep::assignments {

using base::ErrorKind;
using base::Result;

namespace {
struct NamedKind {
    RowKind kind;
    std::string_view name;
};

constexpr std::array<NamedKind, 3> namedKinds { {
    { RowKind::LimitShare, "limit_share" },
    { RowKind::ReplicaSlot, "replica_slot" },
    { RowKind::CallPartition, "call_partition" },
} };

bool isPlain(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9')
        || character == '-' || character == '_' || character == '.';
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (char character : text) {
        if (isPlain(character)) {
            encoded += character;
            continue;
        }
        auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += digits[byte >> 4];
        encoded += digits[byte & 15];
    }
    return encoded;
}

int hexadecimalDigit(char character)
{
    if (character >= '0' && character <= '9')
        return character - '0';
    if (character >= 'A' && character <= 'F')
        return character - 'A' + 10;
    return -1;
}

std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string decoded;
    for (size_t index = 0; index < text.size(); ++index) {
        if (isPlain(text[index])) {
            decoded += text[index];
            continue;
        }
        if (text[index] != '%' || index + 2 >= text.size())
            return std::nullopt;
        int high = hexadecimalDigit(text[index + 1]);
        int low = hexadecimalDigit(text[index + 2]);
        if (high < 0 || low < 0)
            return std::nullopt;
        decoded += static_cast<char>(high * 16 + low);
        index += 2;
    }
    return decoded;
}

std::optional<uint32_t> slotFrom(std::string_view text)
{
    uint32_t slot = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), slot);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return slot;
}

std::optional<RowKind> kindFrom(std::string_view name)
{
    auto found = std::find_if(namedKinds.begin(), namedKinds.end(), [&](const NamedKind& named) { return named.name == name; });
    if (found == namedKinds.end())
        return std::nullopt;
    return found->kind;
}
}

std::string_view rowKindName(RowKind kind)
{
    return namedKinds[static_cast<size_t>(kind)].name;
}

std::string kindPrefix(RowKind kind)
{
    return base::concat(allRowsPrefix, rowKindName(kind), "/");
}

std::string storageKey(const RowKey& key)
{
    return base::concat(kindPrefix(key.kind), percentEncoded(key.subject), "/", key.slot);
}

Result<RowKey> parseStorageKey(std::string_view text)
{
    auto malformed = [&] { return base::fail(ErrorKind::Malformed, base::concat("malformed assignment key: ", text)); };
    if (text.substr(0, allRowsPrefix.size()) != allRowsPrefix)
        return malformed();
    std::string_view rest = text.substr(allRowsPrefix.size());
    size_t first = rest.find('/');
    size_t last = rest.rfind('/');
    if (first == std::string_view::npos || first == last)
        return malformed();
    auto kind = kindFrom(rest.substr(0, first));
    auto subject = percentDecoded(rest.substr(first + 1, last - first - 1));
    auto slot = slotFrom(rest.substr(last + 1));
    if (!kind || !subject || !slot)
        return malformed();
    RowKey key { *kind, *subject, *slot };
    // Leading zeros or unnecessary escapes would give one row two keys.
    if (storageKey(key) != text)
        return malformed();
    return key;
}

std::string encodeRow(const Row& row)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(row.holder.instance.value());
    fields.push_back(row.holder.start.value());
    fields.push_back(row.epoch.value());
    fields.push_back(row.writer.value());
    fields.push_back(nlohmann::json::binary(std::vector<uint8_t>(row.payload.begin(), row.payload.end())));
    auto bytes = nlohmann::json::to_msgpack(fields);
    return std::string(bytes.begin(), bytes.end());
}

Result<Row> decodeRow(const base::KeyValue& entry)
{
    BOOST_LEAF_AUTO(key, parseStorageKey(entry.key));
    auto fields = base::parseMessagePack(entry.value, 1);
    bool wellFormed = fields.is_array() && fields.size() == 5 && fields[0].is_string() && fields[1].is_string()
        && fields[2].is_number_integer() && fields[3].is_string() && fields[4].is_binary();
    if (!wellFormed)
        return base::fail(ErrorKind::Malformed, base::concat("malformed assignment value: ", entry.key));
    const auto& payload = fields[4].get_binary();
    return Row {
        .key = key,
        .holder = { base::InstanceId(fields[0].get<std::string>()), StartNonce(fields[1].get<std::string>()) },
        .epoch = base::Epoch(fields[2].get<int64_t>()),
        .writer = WriteNonce(fields[3].get<std::string>()),
        .payload = std::string(payload.begin(), payload.end()),
        .modified = entry.modified,
    };
}

std::string goneMarkKey(const base::InstanceId& instance)
{
    return base::concat(goneMarksPrefix, percentEncoded(instance.value()));
}

Result<base::InstanceId> parseGoneMarkKey(std::string_view key)
{
    if (key.substr(0, goneMarksPrefix.size()) == goneMarksPrefix) {
        auto instance = percentDecoded(key.substr(goneMarksPrefix.size()));
        if (instance && goneMarkKey(base::InstanceId(*instance)) == key)
            return base::InstanceId(*instance);
    }
    return base::fail(ErrorKind::Malformed, base::concat("malformed gone mark key: ", key));
}

base::Epoch nextEpoch(base::Revision read)
{
    // An earlier epoch of the key is at most the revision that wrote it, and therefore at most the revision of the
    // read.
    return base::Epoch(read.value() + 1);
}

} // namespace toucanstep::assignments
