#include "DirectoryCodec.h"

#include "toucanstep/base/MessagePack.h"

#include <nlohmann/json.hpp>

namespace toucanstep::direct {

namespace {

using Json = nlohmann::json;

// Nesting: copy, list of entries, entry, value.
constexpr int copyDepth = 4;

base::Revision revisionOf(const Json& value)
{
    if (!value.is_number_integer())
        throw std::invalid_argument("not a revision");
    return base::Revision(value.get<int64_t>());
}

DirectoryCopy decode(const Json& value)
{
    DirectoryCopy copy { revisionOf(value.at(0)), revisionOf(value.at(1)), {}, value.at(3).get<std::vector<std::string>>() };
    for (const Json& entry : value.at(2)) {
        const auto& binary = entry.at(1).get_binary();
        copy.entries.push_back({ entry.at(0).get<std::string>(), std::string(binary.begin(), binary.end()), revisionOf(entry.at(2)), revisionOf(entry.at(3)) });
    }
    return copy;
}

} // namespace

std::string encodeCopy(const DirectoryCopy& copy)
{
    Json entries = Json::array();
    for (const auto& entry : copy.entries)
        entries.push_back({ entry.key, Json::binary(std::vector<uint8_t>(entry.value.begin(), entry.value.end())), entry.created.value(), entry.modified.value() });
    std::string bytes;
    Json::to_msgpack(Json::array({ copy.since.value(), copy.revision.value(), entries, copy.removed }), bytes);
    return bytes;
}

std::optional<DirectoryCopy> decodeCopy(std::string_view bytes)
{
    return base::decodeMessagePack<DirectoryCopy>(bytes, copyDepth, decode);
}

} // namespace toucanstep::direct
