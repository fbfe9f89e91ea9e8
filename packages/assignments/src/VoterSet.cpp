#include "toucanstep/assignments/VoterSet.h"

#include "toucanstep/base/MessagePack.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace toucanstep::assignments {

namespace {
nlohmann::json toFields(const VoterSet& voterSet)
{
    nlohmann::json members = nlohmann::json::array();
    for (const auto& member : voterSet.members)
        members.push_back(member.value());
    return nlohmann::json::array({ voterSet.generation.value(), std::move(members) });
}

std::optional<VoterSet> fromFields(const nlohmann::json& fields)
{
    if (!fields.is_array() || fields.size() != 2 || !fields[0].is_number_integer() || !fields[1].is_array())
        return std::nullopt;
    VoterSet voterSet { Generation(fields[0].get<int64_t>()), {} };
    for (const auto& member : fields[1]) {
        if (!member.is_string())
            return std::nullopt;
        voterSet.members.insert(base::InstanceId(member.get<std::string>()));
    }
    return voterSet;
}

bool isMajority(const VoterSet& voterSet, const std::set<base::InstanceId>& voters)
{
    auto counted = std::count_if(voterSet.members.begin(), voterSet.members.end(), [&](const auto& member) { return voters.count(member) > 0; });
    return static_cast<size_t>(counted) >= voterSet.majority();
}

base::Transaction write(const VoterSets& next, base::Revision expected)
{
    base::Transaction transaction;
    transaction.comparisons.push_back({ std::string(voterSetsKey), expected });
    transaction.operations.push_back(base::PutOperation { std::string(voterSetsKey), encodeVoterSets(next), std::nullopt });
    return transaction;
}
}

std::string encodeVoterSets(const VoterSets& voterSets)
{
    nlohmann::json fields = nlohmann::json::array({ toFields(voterSets.current) });
    if (voterSets.previous)
        fields.push_back(toFields(*voterSets.previous));
    auto bytes = nlohmann::json::to_msgpack(fields);
    return std::string(bytes.begin(), bytes.end());
}

base::Result<VoterSets> decodeVoterSets(const base::KeyValue& entry)
{
    auto malformed = [&] { return base::fail(base::ErrorKind::Malformed, base::concat("malformed voter set value: ", entry.key)); };
    auto fields = base::parseMessagePack(entry.value, 3);
    if (!fields.is_array() || fields.empty() || fields.size() > 2)
        return malformed();
    auto current = fromFields(fields[0]);
    if (!current)
        return malformed();
    VoterSets voterSets { *current, std::nullopt, entry.modified };
    if (fields.size() == 2) {
        voterSets.previous = fromFields(fields[1]);
        if (!voterSets.previous)
            return malformed();
    }
    return voterSets;
}

std::optional<base::Transaction> changeVoterSet(const VoterSets& known, const std::set<base::InstanceId>& members)
{
    if (known.previous || members.empty() || members == known.current.members)
        return std::nullopt;
    VoterSets next;
    next.current = { known.current.generation + Generation(1), members };
    if (known.modified != base::Revision())
        next.previous = known.current;
    return write(next, known.modified);
}

std::optional<base::Transaction> retirePrevious(const VoterSets& known, const std::set<base::InstanceId>& promised)
{
    if (!known.previous || !isMajority(*known.previous, promised))
        return std::nullopt;
    return write(VoterSets { known.current, std::nullopt, {} }, known.modified);
}

bool isMajorityOfEachSet(const VoterSets& voterSets, const std::set<base::InstanceId>& voters)
{
    if (voterSets.previous && !isMajority(*voterSets.previous, voters))
        return false;
    return isMajority(voterSets.current, voters);
}

} // namespace toucanstep::assignments
