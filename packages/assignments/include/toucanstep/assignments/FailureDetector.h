// Whether the rows of an instance may be taken over.
//
// For each instance that holds rows, in this order: the list has dropped it; a majority of the voters has not received it
// for Timing::absence; a gone mark is written; a majority promises under that mark; then its rows may be taken, by
// transactions that compare the mark and the voterSets. Any newer answer of the list that shows the instance starts again.

#pragma once

#include "toucanstep/assignments/HolderState.h"
#include "toucanstep/assignments/Row.h"
#include "toucanstep/assignments/Timing.h"
#include "toucanstep/assignments/VoterSet.h"
#include "toucanstep/assignments/VoterState.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace toucanstep::assignments {

enum class FailurePhase {
    Present,
    // Absent from the list, but not proved to be dropped for long enough.
    Absent,
    // Dropped and silent for long enough: the mark can be written.
    MarkNeeded,
    // The mark stands; promises are being gathered.
    Marked,
    // Its rows may be taken.
    TakeoverAllowed,
};

// Proof that a holder has stopped, good while its mark stands.
struct TakeoverProof {
    base::InstanceId instance;
    base::Revision mark;
    // The revision of the voterSets whose majorities have promised.
    base::Revision voterSets;
};

// Whether a row may be taken over. The baseline of leases that expire implements it as well.
class TakeoverPolicy {
public:
    virtual ~TakeoverPolicy() = default;
    virtual bool mayTakeOver(const Row&, base::Instant now) const = 0;
};

class FailureDetector : public TakeoverPolicy {
public:
    explicit FailureDetector(Timing);

    // Instances whose rows this node would take if they were gone; the others are not tracked.
    void watch(const base::InstanceId&, base::Instant now);
    void forget(const base::InstanceId&);

    // One whole answer of the platform's list. An answer older than one already seen is left aside.
    void onListAnswer(Exchange, base::Instant now, std::optional<uint64_t> version, const std::set<base::InstanceId>& shown);
    void onVoterSets(const VoterSets&, base::Instant now);
    // All marks as read from the service at that revision.
    void onMarks(base::Revision, const std::vector<GoneMark>&);
    // A voter's reply to this node's question about `instance`.
    void onVoterReply(Exchange, base::Instant now, const base::InstanceId& instance, const VoterReply&);

    FailurePhase phase(const base::InstanceId&, base::Instant now) const;
    // The mark's revision that voters are to be asked under, or zero before there is one.
    base::Revision markRevisionOf(const base::InstanceId&) const;
    // Instances about which voters have to be asked now.
    std::vector<base::InstanceId> instancesToQuery(base::Instant now) const;
    std::optional<TakeoverProof> takeoverProof(const base::InstanceId&, base::Instant now) const;

    bool mayTakeOver(const Row&, base::Instant now) const override;
    // Whether the list has certainly dropped a watched instance, however long ago; when to choose another voter.
    bool listHasDropped(const base::InstanceId&) const;
    // Whether a watched voter has been dropped for so long that it vouches for nobody any more.
    bool hasStoppedVouching(const base::InstanceId&, base::Instant now) const;

protected:
    struct ReceivedReply {
        VoterReply reply;
        base::Instant receivedAt;
    };

    struct WatchedInstance {
        base::Instant watchedAt;
        bool shown = false;
        // The list's newest version that showed it.
        std::optional<uint64_t> shownVersion;
        // When this node first received an answer without it, of all answers since; and whether it counts as dropped.
        std::optional<base::Instant> absentSince;
        // When the newest of those answers was asked for.
        base::Instant absentAskedAt;
        bool dropped = false;
        base::Revision mark;
        std::map<base::InstanceId, ReceivedReply> replies;
    };

    // Seeded faults of the tests override these.
    virtual bool isDropped(const WatchedInstance&) const;
    virtual bool isAbsentLongEnough(const WatchedInstance&, base::Instant now) const;
    virtual bool isSilentToMajority(const WatchedInstance&, base::Instant now) const;
    virtual bool promisedByMajority(const WatchedInstance&, base::Instant now) const;

    const Timing& timing() const { return m_timing; }
    const VoterSets& voterSets() const { return m_voterSets; }

private:
    FailurePhase phaseOf(const WatchedInstance&, base::Instant now) const;

    Timing m_timing;
    VoterSets m_voterSets;
    // When this node first knew of this state of the voterSets. A holder that counted votes of a set which has been
    // retired since has stopped once Timing::absence has passed from here.
    std::optional<base::Instant> m_voterSetsSince;
    std::optional<uint64_t> m_newestVersion;
    std::optional<base::Instant> m_newestSentAt;
    base::Revision m_marksKnownAt;
    std::map<base::InstanceId, base::Revision> m_marks;
    std::map<base::InstanceId, WatchedInstance> m_watched;
};

} // namespace toucanstep::assignments
