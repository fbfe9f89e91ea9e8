#include "toucanstep/calls/CallRecord.h"

#include "toucanstep/base/Digest.h"
#include "toucanstep/base/MessagePack.h"
#include "toucanstep/base/Text.h"

#include <array>
#include <nlohmann/json.hpp>

namespace toucanstep::calls {

namespace {
constexpr std::array<std::string_view, 3> stateNames { "claimed", "finished", "tombstone" };

std::optional<RecordState> stateFrom(std::string_view name)
{
    for (size_t index = 0; index < stateNames.size(); ++index) {
        if (stateNames[index] == name)
            return static_cast<RecordState>(index);
    }
    return std::nullopt;
}

// The length before each part keeps two different calls from giving the same text.
std::string lengthPrefixed(std::string_view part)
{
    return base::concat(std::to_string(part.size()), ":", part);
}

nlohmann::json binary(const std::string& text)
{
    return nlohmann::json::binary(std::vector<uint8_t>(text.begin(), text.end()));
}

std::optional<StoredAnswer> answerFrom(const nlohmann::json& fields)
{
    bool wellFormed = fields.is_array() && fields.size() == 4 && fields[0].is_number_integer() && fields[1].is_string() && fields[2].is_binary() && fields[3].is_boolean();
    if (!wellFormed)
        return std::nullopt;
    const auto& body = fields[2].get_binary();
    return StoredAnswer { fields[0].get<int>(), fields[1].get<std::string>(), std::string(body.begin(), body.end()), fields[3].get<bool>() };
}
}

std::string bucketPrefix(int bucket)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string prefix(callRecordsPrefix);
    prefix += digits[static_cast<size_t>(bucket) / 16 % 16];
    prefix += digits[static_cast<size_t>(bucket) % 16];
    prefix += '/';
    return prefix;
}

std::string storageKey(const CallKey& key)
{
    std::string identity = lengthPrefixed(key.account.value()) + lengthPrefixed(key.service.value()) + lengthPrefixed(key.key.value());
    std::string digest = base::sha256Hex(identity);
    return base::concat(callRecordsPrefix, digest.substr(0, 2), "/", digest);
}

std::string encodeRecord(const CallRecord& record)
{
    nlohmann::json fields = nlohmann::json::array();
    fields.push_back(std::string(stateNames[static_cast<size_t>(record.state)]));
    fields.push_back(record.service.value());
    fields.push_back(record.attempt.value());
    fields.push_back(record.writer.value());
    fields.push_back(record.body.value());
    fields.push_back(record.writtenAt.value());
    if (record.answer)
        fields.push_back(nlohmann::json::array({ record.answer->status, record.answer->contentType, binary(record.answer->body), record.answer->bodyDropped }));
    auto bytes = nlohmann::json::to_msgpack(fields);
    return std::string(bytes.begin(), bytes.end());
}

base::Result<CallRecord> decodeRecord(const base::KeyValue& entry)
{
    auto malformed = [&] { return base::fail(base::ErrorKind::Malformed, base::concat("not the record of a call: ", entry.key)); };
    auto fields = base::parseMessagePack(entry.value, 2);
    if (!fields.is_array() || fields.size() < 6 || fields.size() > 7 || !fields[5].is_number_integer())
        return malformed();
    for (size_t index = 0; index < 5; ++index) {
        if (!fields[index].is_string())
            return malformed();
    }
    auto state = stateFrom(fields[0].get<std::string>());
    if (!state || (*state == RecordState::Finished) != (fields.size() == 7))
        return malformed();
    CallRecord record {
        .state = *state,
        .service = base::ServiceId(fields[1].get<std::string>()),
        .attempt = AttemptId(fields[2].get<std::string>()),
        .writer = RecordNonce(fields[3].get<std::string>()),
        .body = BodyDigest(fields[4].get<std::string>()),
        .writtenAt = UnixMilliseconds(fields[5].get<int64_t>()),
        .answer = std::nullopt,
        .modified = entry.modified,
    };
    if (fields.size() == 7) {
        record.answer = answerFrom(fields[6]);
        if (!record.answer)
            return malformed();
    }
    return record;
}

StoredAnswer boundedAnswer(StoredAnswer answer, base::Bytes limit)
{
    if (answer.body.size() <= static_cast<size_t>(limit.value()))
        return answer;
    answer.body.clear();
    answer.bodyDropped = true;
    return answer;
}

} // namespace toucanstep::calls
