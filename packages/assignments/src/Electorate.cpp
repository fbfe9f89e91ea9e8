#include "toucanstep/assignments/Electorate.h"

#include "toucanstep/base/MessagePack.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace toucanstep::assignments {

namespace {
nlohmann::json toFields(const Electorate& electorate)
{
    nlohmann::json members = nlohmann::json::array();
    for (const auto& member : electorate.members)
        members.push_back(member.value());
    return nlohmann::json::array({ electorate.generation.value(), std::move(members) });
}

std::optional<Electorate> fromFields(const nlohmann::json& fields)
{
    if (!fields.is_array() || fields.size() != 2 || !fields[0].is_number_integer() || !fields[1].is_array())
        return std::nullopt;
    Electorate electorate { Generation(fields[0].get<int64_t>()), {} };
    for (const auto& member : fields[1]) {
        if (!member.is_string())
            return std::nullopt;
        electorate.members.insert(base::InstanceId(member.get<std::string>()));
    }
    return electorate;
}

bool isMajority(const Electorate& electorate, const std::set<base::InstanceId>& who)
{
    auto counted = std::count_if(electorate.members.begin(), electorate.members.end(), [&](const auto& member) { return who.count(member) > 0; });
    return static_cast<size_t>(counted) >= electorate.majority();
}

base::Transaction write(const Electorates& next, base::Revision expected)
{
    base::Transaction transaction;
    transaction.comparisons.push_back({ std::string(electoratesKey), expected });
    transaction.operations.push_back(base::PutOperation { std::string(electoratesKey), encodeElectorates(next), std::nullopt });
    return transaction;
}
}

std::string encodeElectorates(const Electorates& electorates)
{
    nlohmann::json fields = nlohmann::json::array({ toFields(electorates.current) });
    if (electorates.former)
        fields.push_back(toFields(*electorates.former));
    auto bytes = nlohmann::json::to_msgpack(fields);
    return std::string(bytes.begin(), bytes.end());
}

base::Result<Electorates> decodeElectorates(const base::KeyValue& entry)
{
    auto malformed = [&] { return base::fail(base::ErrorKind::Malformed, base::concat("not the value of an electorate: ", entry.key)); };
    auto fields = base::parseMessagePack(entry.value, 3);
    if (!fields.is_array() || fields.empty() || fields.size() > 2)
        return malformed();
    auto current = fromFields(fields[0]);
    if (!current)
        return malformed();
    Electorates electorates { *current, std::nullopt, entry.modified };
    if (fields.size() == 2) {
        electorates.former = fromFields(fields[1]);
        if (!electorates.former)
            return malformed();
    }
    return electorates;
}

std::optional<base::Transaction> changeElectorate(const Electorates& known, const std::set<base::InstanceId>& members)
{
    if (known.former || members.empty() || members == known.current.members)
        return std::nullopt;
    Electorates next;
    next.current = { known.current.generation + Generation(1), members };
    if (known.modified != base::Revision())
        next.former = known.current;
    return write(next, known.modified);
}

std::optional<base::Transaction> retireFormer(const Electorates& known, const std::set<base::InstanceId>& promised)
{
    if (!known.former || !isMajority(*known.former, promised))
        return std::nullopt;
    return write(Electorates { known.current, std::nullopt, {} }, known.modified);
}

bool isMajorityOfAll(const Electorates& electorates, const std::set<base::InstanceId>& who)
{
    if (electorates.former && !isMajority(*electorates.former, who))
        return false;
    return isMajority(electorates.current, who);
}

} // namespace toucanstep::assignments
