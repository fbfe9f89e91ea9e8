// Decides whether this process may use the rows it holds at a given instant.
//
//     holder.onServiceRead(window, now, revision, marked, voterSets);
//     if (holder.mayUse(row, clock.now())) ...
//
// Rows do not expire during an outage of the key-value service. A row is usable while the platform's list shows this
// instance, or a majority of the gateways vouches for it, in response to a request sent less than Timing::holderLimit
// ago. A read of the service does not count as proof: it shows the row right up to the moment at which another process
// takes it over.
//
// If both proofs have been missing for longer, the list alone does not restore use, because the rows may have moved in
// the meantime. That takes a vouching majority (voters refuse once they have promised a taker) or a new read of the
// rows. Call mayUse() with the current time directly before each use, since the result changes after a pause.

#pragma once

#include "toucanstep/assignments/Row.h"
#include "toucanstep/assignments/Timing.h"
#include "toucanstep/assignments/VoterSet.h"
#include "toucanstep/base/Time.h"

#include <map>
#include <optional>

namespace toucanstep::assignments {

// Decides whether rows may be used. Also implemented by the lease baseline.
class UsePolicy {
public:
    virtual ~UsePolicy() = default;
    virtual bool mayUse(const Row&, base::Instant now) const = 0;
};

// When a request was sent, and the deadline after which its answer is ignored.
struct RequestWindow {
    base::Instant sentAt;
    base::Instant deadline;
};

class HolderState : public UsePolicy {
public:
    HolderState(Holder self, Timing);

    const Holder& self() const { return m_self; }

    // Applies a read of the rows, gone marks and voter sets that was answered at `now`. Apply the rows to the
    // AssignmentTable first. No row may be used before the first such read. `marked` says whether a gone mark for this
    // instance existed at that revision.
    void onServiceRead(RequestWindow, base::Instant now, base::Revision, bool marked, const std::optional<VoterSets>&);
    // Applies an answer of the platform's list. `version` is its resource version, if it has one. Answers older than
    // one already seen are ignored.
    void onListAnswer(RequestWindow, base::Instant now, std::optional<uint64_t> version, bool showsSelf);
    // Applies a gateway's answer to this process: under that generation it either vouches for this instance or
    // refuses.
    void onVoterAnswer(RequestWindow, base::Instant now, const base::InstanceId& voter, Generation, bool vouches);
    // Applies a newer voter set learned from a gateway.
    void onVoterSet(const VoterSet&);

    // Gives the row up permanently. Call it before sending a release or handover, because a release whose answer was
    // lost may take effect at any later time. Only a later revision of the row makes it usable again.
    virtual void relinquish(const Row&);

    bool mayUse(const Row&, base::Instant now) const override;
    // Whether this process has relinquished this revision of the row; a later revision that names the process is a new
    // row.
    bool hasRelinquished(const Row&) const;
    // The instant at which use ends unless a newer proof arrives; Instant::min() while use is not allowed.
    base::Instant usableUntil() const;
    // Whether a gone mark for this instance exists.
    bool isMarkedGone() const { return m_marked; }
    bool hasReadService() const { return m_hasRead; }
    // Whether the rows have been read and no mark exists, but use is not allowed because the proof of liveness is
    // missing or too old, or a lapse has not been cleared.
    bool hasLapsed(base::Instant now) const;
    // Whether the mark for this instance is wrong and may be deleted because the list has just shown the instance.
    // Only the marked process may delete it, since only that process knows that it rereads its rows before using them.
    bool mayLiftMark(base::Instant now) const;

protected:
    // The newest send time that proves liveness. Overridden by the faulty variants in the tests.
    virtual std::optional<base::Instant> newestEvidence() const;
    std::optional<base::Instant> listEvidence() const { return m_listSentAt; }
    std::optional<base::Instant> voterEvidence() const;
    std::optional<base::Instant> serviceEvidence() const { return m_readSentAt; }
    // Whether use that has lapsed stays suspended until the rows are known to be unchanged.
    virtual bool lapses() const { return true; }
    const Timing& timing() const { return m_timing; }

private:
    // A request sent after this instant no longer continues the earlier proofs without a gap.
    base::Instant continuousUntil() const;
    void detectLapse(base::Instant continuous);
    void endLapse(base::Instant provedAt);

    Holder m_self;
    Timing m_timing;
    bool m_hasRead = false;
    bool m_marked = false;
    base::Revision m_markKnownAt;
    std::optional<base::Instant> m_readSentAt;
    std::optional<base::Instant> m_listSentAt;
    std::optional<uint64_t> m_listVersion;
    std::optional<base::Instant> m_newestListAnswer;
    // When use ended for lack of proof. Only proofs requested later restore it.
    std::optional<base::Instant> m_lapsedAt;
    VoterSet m_voterSet;
    std::map<base::InstanceId, base::Instant> m_vouchedAt;
    std::map<RowKey, base::Revision> m_relinquished;
};

} // namespace toucanstep::assignments
