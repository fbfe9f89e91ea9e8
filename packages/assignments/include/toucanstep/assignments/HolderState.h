// May this process use the rows that it holds, right now?
//
//     holder.onServiceRead(sentAt, deadline, now, rows, marks);
//     if (holder.mayUse(row, clock.now())) ...
//
// Nothing lapses while the key-value service is down. A row is usable while the platform's list shows this instance, or
// a majority of the gateways vouches for it, by a request sent less than Timing::holderLimit ago. A read of the service
// counts for neither: it shows the row up to the instant at which a taker replaces it.
//
// Where both have been missing for longer than that, the list alone does not bring use back, for the rows may have moved
// in between: it takes a majority that vouches (voters refuse once they have promised a taker) or a new read of the rows.
// Ask with a fresh `now` directly before each use: after a pause the answer differs.

#pragma once

#include "toucanstep/assignments/Row.h"
#include "toucanstep/assignments/Timing.h"
#include "toucanstep/assignments/VoterSet.h"
#include "toucanstep/base/Time.h"

#include <map>
#include <optional>

namespace toucanstep::assignments {

// Whether rows may be used. The baseline of leases that expire implements it as well.
class UsePolicy {
public:
    virtual ~UsePolicy() = default;
    virtual bool mayUse(const Row&, base::Instant now) const = 0;
};

// When a request was sent and until when its answer is used.
struct Exchange {
    base::Instant sentAt;
    base::Instant deadline;
};

class HolderState : public UsePolicy {
public:
    HolderState(Holder self, Timing);

    const Holder& self() const { return m_self; }

    // A read of the rows, the gone marks and the voterSets that was answered at `now`. Its rows go into the
    // AssignmentTable first. The first such read allows use at all.
    // `marked`: whether a gone mark for this instance stood at that revision.
    void onServiceRead(Exchange, base::Instant now, base::Revision, bool marked, const std::optional<VoterSets>&);
    // An answer of the platform's list. `version` is its resource version where it has one. An answer older than one
    // that was already seen is left aside.
    void onListAnswer(Exchange, base::Instant now, std::optional<uint64_t> version, bool showsSelf);
    // A gateway's answer to this process: it received us, and vouches for us under that generation or refuses to.
    void onVoterAnswer(Exchange, base::Instant now, const base::InstanceId& voter, Generation, bool vouches);
    // A newer set of voters, learned from a gateway.
    void onVoterSet(const VoterSet&);

    // Gives the row up for good, before its release or handover is sent: a release whose answer was lost may take
    // effect at any later time. Only a later revision of the row makes it usable again.
    virtual void relinquish(const Row&);

    bool mayUse(const Row&, base::Instant now) const override;
    // Whether this process has relinquished the row as it stands; a later revision that names it is a new row.
    bool hasRelinquished(const Row&) const;
    // The instant at which use ends if nothing more is received; the past where it may not be used now.
    base::Instant usableUntil() const;
    // Whether the platform's word that this instance is gone stands against it.
    bool markedGone() const { return m_marked; }
    bool hasReadService() const { return m_hasRead; }
    // Whether use is stopped until a majority vouches or the rows are read again.
    bool hasLapsed(base::Instant now) const;
    // Whether the mark against this instance is an error that it may delete: the list has just shown it. Nobody else may
    // lift a mark, because only the marked process knows that it reads its rows again before it uses any.
    bool mayLiftMark(base::Instant now) const;

protected:
    // The newest sending time that proves presence; seeded faults of the tests override it.
    virtual std::optional<base::Instant> newestEvidence() const;
    std::optional<base::Instant> listEvidence() const { return m_listSentAt; }
    std::optional<base::Instant> voterEvidence() const;
    std::optional<base::Instant> serviceEvidence() const { return m_readSentAt; }
    // Whether use, once it has lapsed, stays stopped until the rows are known to be still there.
    virtual bool lapses() const { return true; }
    const Timing& timing() const { return m_timing; }

private:
    // Until when a new proof continues the former ones.
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
    // When use ended because nothing was received; only proofs that were asked for later bring it back.
    std::optional<base::Instant> m_lapsedAt;
    VoterSet m_voterSet;
    std::map<base::InstanceId, base::Instant> m_vouchedAt;
    std::map<RowKey, base::Revision> m_relinquished;
};

} // namespace toucanstep::assignments
