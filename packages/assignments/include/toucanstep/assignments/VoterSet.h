// The gateways that are asked whether a holder is still received, agreed through one entry of the key-value service.
//
// A holder that hears a majority and a taker that asks a majority meet in one gateway, but only if both mean the same
// set. So the set is versioned, a change keeps the former set until a majority of it has promised to vouch under it no
// more, and a taker needs a majority of each set that is kept.

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
    // The former set, until it is retired.
    std::optional<VoterSet> previous;
    // The revision that isWrittenBy the entry; zero where there is none yet.
    base::Revision modified;
};

inline constexpr std::string_view voterSetsKey = "/toucanstep/electorate";

std::string encodeVoterSets(const VoterSets&);
base::Result<VoterSets> decodeVoterSets(const base::KeyValue&);

// The transaction that makes `members` the current set, or nothing while a former set is still kept.
std::optional<base::Transaction> changeVoterSet(const VoterSets&, const std::set<base::InstanceId>& members);
// The transaction that drops the former set, once a majority of its members is in `promised`: members that said they
// know the current generation, or that the list has dropped for longer than a voter vouches without it.
std::optional<base::Transaction> retirePrevious(const VoterSets&, const std::set<base::InstanceId>& promised);

// Whether `voters` holds a majority of each set that is kept.
bool isMajorityOfEachSet(const VoterSets&, const std::set<base::InstanceId>& voters);

} // namespace toucanstep::assignments
