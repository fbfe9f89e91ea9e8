// The gateway's part in moving the rows of an instance that the platform has dropped.
//
// A voter remembers when it last vouched for each instance, says so when asked, and once it has promised under a gone
// mark it never vouches for that instance while the mark stands. A voter that has just started has lost that memory: it
// vouches for nobody before it has read the marks from the service, and its word that it has not received an instance
// counts only once it has been up for Timing::absence, because its predecessor may have vouched until it died.

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

// What a voter tells a taker.
struct VoterReply {
    base::InstanceId voter;
    // How long this voter has not vouched for the instance; no longer than it has been up.
    base::Duration silentFor {};
    // The mark under which it has promised not to vouch; zero where none was asked for.
    base::Revision promisedUnder;
};

class VoterState {
public:
    VoterState(base::InstanceId self, Timing, base::Instant startedAt);

    // A read of the marks, at that revision, and of the voterSets, by requests sent after this process started. The voter
    // takes its voterSet from nowhere else, and voterSets that were written after the marks were read are left for the
    // next read: only so does it know every mark that stood when it became a member.
    void onServiceRead(base::Revision, const std::vector<GoneMark>&, const std::optional<VoterSets>&);
    // The platform's list showed this voter, by a request sent at `sentAt`.
    void onListed(base::Instant sentAt);

    // An instance asks to be vouched for: false where the voter must not, or cannot know whether it may. The answer goes back with generation().
    bool vouchFor(const base::InstanceId&, base::Instant now);
    // A taker asks, with the revision of the gone mark once it stands.
    VoterReply onAbsenceQuery(const base::InstanceId&, base::Revision mark, base::Instant now);

    Generation generation() const { return m_voterSet.generation; }
    const VoterSet& voterSet() const { return m_voterSet; }

private:
    void pruneOldVotes(base::Instant now);

    base::InstanceId m_self;
    Timing m_timing;
    base::Instant m_startedAt;
    // When votes that nobody can need any more were last dropped.
    base::Instant m_lastPrunedAt;
    bool m_hasRead = false;
    base::Revision m_marksRead;
    std::optional<base::Instant> m_listedAt;
    VoterSet m_voterSet;
    std::map<base::InstanceId, base::Instant> m_vouchedAt;
    std::map<base::InstanceId, base::Revision> m_promised;
};

} // namespace toucanstep::assignments
