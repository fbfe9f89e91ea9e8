// A gateway's vote in moving the rows of an instance that the platform has dropped.
//
// A voter records when it last vouched for each instance and reports this when queried. Once it has promised under a
// gone mark, it does not vouch for that instance while the mark exists. A restarted voter has lost this state: it
// vouches for no instance until it has read the marks from the service, and its report that an instance is silent
// counts only once it has been up for Timing::absence, because its previous process may have vouched until it died.

#pragma once

#include "toucanstep/assignments/Timing.h"
#include "toucanstep/assignments/VoterSet.h"
#include "toucanstep/base/Time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanstep::assignments {

struct GoneMark {
    base::InstanceId instance;
    base::Revision modified;

    friend bool operator==(const GoneMark&, const GoneMark&) = default;
};

// A voter's answer to a taker's query.
struct VoterReply {
    base::InstanceId voter;
    // How long this voter has not vouched for the instance; at most its own uptime.
    base::Duration silentFor {};
    // The mark under which it has promised not to vouch; zero without a promise.
    base::Revision promisedUnder;
};

class VoterState {
public:
    VoterState(base::InstanceId self, Timing, base::Instant startedAt);

    // Applies a read of the marks at that revision and of the voter sets, requested after this process started. The
    // voter learns its voter set only here. Voter sets written after the marks were read are ignored until the next
    // read, so that a voter knows every mark that existed when it became a member.
    void onServiceRead(base::Revision, const std::vector<GoneMark>&, const std::optional<VoterSets>&);
    // Records that the platform's list showed this voter in answer to a request sent at `sentAt`.
    void onListed(base::Instant sentAt);

    // Handles an instance's request for a vote. Returns false if the voter has promised not to vouch, has not read the
    // marks, or was not listed recently enough. The answer is sent with generation().
    bool vouchFor(const base::InstanceId&, base::Instant now);
    // Handles a taker's query. `mark` is the revision of the gone mark, or zero before there is one.
    VoterReply onAbsenceQuery(const base::InstanceId&, base::Revision mark, base::Instant now);

    Generation generation() const { return m_voterSet.generation; }
    const VoterSet& voterSet() const { return m_voterSet; }

private:
    void pruneOldVotes(base::Instant now);

    base::InstanceId m_self;
    Timing m_timing;
    base::Instant m_startedAt;
    // When votes that are too old to matter were last removed.
    base::Instant m_lastPrunedAt;
    bool m_hasRead = false;
    base::Revision m_marksRead;
    std::optional<base::Instant> m_listedAt;
    VoterSet m_voterSet;
    std::map<base::InstanceId, base::Instant> m_vouchedAt;
    std::map<base::InstanceId, base::Revision> m_promised;
};

} // namespace toucanstep::assignments
