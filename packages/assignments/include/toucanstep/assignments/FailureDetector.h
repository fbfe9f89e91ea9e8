// Decides whether the rows of an instance may be taken over.
//
// For each instance that holds rows, these steps follow in order: the platform's list has dropped it; a majority of
// the voters has not vouched for it for Timing::absence; a gone mark is written; a majority promises under that mark.
// Then its rows may be taken over by transactions that compare the mark and the voter sets. A newer list answer that
// shows the instance resets the sequence.

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
    // Missing from the list, but not yet proved to be dropped for long enough.
    Absent,
    // Dropped and silent for long enough; the gone mark can be written.
    MarkNeeded,
    // The gone mark is written; promises are being collected.
    Marked,
    // A majority has promised; the rows may be taken over.
    TakeoverAllowed,
};

// Proof that a holder has stopped; valid while its gone mark exists.
struct TakeoverProof {
    base::InstanceId instance;
    base::Revision mark;
    // The revision of the voter sets whose majorities have promised.
    base::Revision voterSets;
};

// Decides whether a row may be taken over. Also implemented by the lease baseline.
class TakeoverPolicy {
public:
    virtual ~TakeoverPolicy() = default;
    virtual bool mayTakeOver(const Row&, base::Instant now) const = 0;
};

class FailureDetector : public TakeoverPolicy {
public:
    explicit FailureDetector(Timing);

    // Tracks an instance whose rows this node would take over if it failed. Other instances are not tracked.
    void watch(const base::InstanceId&, base::Instant now);
    void forget(const base::InstanceId&);

    // Applies one complete answer of the platform's list. Answers older than one already seen are ignored.
    void onListAnswer(RequestWindow, base::Instant now, std::optional<uint64_t> version, const std::set<base::InstanceId>& shown);
    void onVoterSets(const VoterSets&, base::Instant now);
    // Replaces the known marks with all marks read from the service at that revision.
    void onMarks(base::Revision, const std::vector<GoneMark>&);
    // Records a voter's reply to this node's query about `instance`.
    void onVoterReply(RequestWindow, base::Instant now, const base::InstanceId& instance, const VoterReply&);

    FailurePhase phase(const base::InstanceId&, base::Instant now) const;
    // The revision of the mark to query voters with; zero if there is no mark.
    base::Revision markRevisionOf(const base::InstanceId&) const;
    // The instances that voters must be queried about now.
    std::vector<base::InstanceId> instancesToQuery(base::Instant now) const;
    std::optional<TakeoverProof> takeoverProof(const base::InstanceId&, base::Instant now) const;

    bool mayTakeOver(const Row&, base::Instant now) const override;
    // Whether the list has definitely dropped a watched instance, however recently. Used to choose a replacement
    // voter.
    bool listHasDropped(const base::InstanceId&) const;
    // Whether a watched voter was dropped so long ago that it no longer vouches for any instance.
    bool hasStoppedVouching(const base::InstanceId&, base::Instant now) const;

protected:
    struct ReceivedReply {
        VoterReply reply;
        base::Instant receivedAt;
    };

    struct WatchedInstance {
        base::Instant watchedAt;
        bool shown = false;
        // The newest list version that showed it.
        std::optional<uint64_t> shownVersion;
        // When this node received the first of the consecutive answers without it.
        std::optional<base::Instant> absentSince;
        // When the newest of those answers was requested.
        base::Instant absentAskedAt;
        bool dropped = false;
        base::Revision mark;
        std::map<base::InstanceId, ReceivedReply> replies;
    };

    // Overridden by the faulty variants in the tests.
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
    // When this node first saw the current voter sets. A holder that counted votes of a set retired since then has
    // stopped once Timing::absence has passed.
    std::optional<base::Instant> m_voterSetsSince;
    std::optional<uint64_t> m_newestVersion;
    std::optional<base::Instant> m_newestSentAt;
    base::Revision m_marksKnownAt;
    std::map<base::InstanceId, base::Revision> m_marks;
    std::map<base::InstanceId, WatchedInstance> m_watched;
};

} // namespace toucanstep::assignments
