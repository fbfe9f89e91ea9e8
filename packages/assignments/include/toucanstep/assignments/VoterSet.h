// The gateways that vote on whether a holder is alive, agreed on through one entry of the key-value service.
//
// A majority that vouches for a holder and a majority that answers a taker overlap in at least one gateway, but only
// if both refer to the same set. The set is therefore versioned: a change keeps the previous set until a majority of
// it has promised to stop vouching under it, and a taker needs a majority of each set that is kept.

#pragma once

#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/StrongTypes.h"

#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace toucanstep::assignments {

using Generation = base::StrongNumber<struct GenerationTag>;

struct VoterSet {
    Generation generation;
    std::set<base::InstanceId> members;

    size_t majority() const { return members.size() / 2 + 1; }
    friend bool operator==(const VoterSet&, const VoterSet&) = default;
};

struct VoterSets {
    VoterSet current;
    // The previous set, until it is retired.
    std::optional<VoterSet> previous;
    // The revision that wrote the entry; zero if there is none yet.
    base::Revision modified;
};

inline constexpr std::string_view voterSetsKey = "/toucanstep/electorate";

std::string encodeVoterSets(const VoterSets&);
base::Result<VoterSets> decodeVoterSets(const base::KeyValue&);

// The transaction that makes `members` the current set. Empty while a previous set is kept, or if `members` is empty
// or unchanged.
std::optional<base::Transaction> changeVoterSet(const VoterSets&, const std::set<base::InstanceId>& members);
// The transaction that removes the previous set once a majority of its members is in `promised`: members that reported
// knowing the current generation, or that the list dropped longer ago than a voter vouches without it.
std::optional<base::Transaction> retirePrevious(const VoterSets&, const std::set<base::InstanceId>& promised);

// Whether `voters` includes a majority of each set that is kept.
bool isMajorityOfEachSet(const VoterSets&, const std::set<base::InstanceId>& voters);

} // namespace toucanstep::assignments
