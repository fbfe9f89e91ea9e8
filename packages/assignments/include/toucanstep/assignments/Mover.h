// Makes the transactions that write rows, and settles those whose answers were lost.
//
//     Move move = mover.claim(key, payload, readRevision);
//     store.commit(move.transaction, ...);                 // exactly once
//     if (mover.onOutcome(move.id, outcome) == MoveState::NeedsRead)
//         store.get(storageKey(key), ...);                 // until onRead() settles it
//
// A transaction whose answer was lost is never sent again. A read that shows neither the write nor a competitor's leaves
// it unfinishedCount, for it may still take effect; a new move of the same row is then safe, because both compare the same
// revision and carry their own nonces, of which at most one can be found later.

#pragma once

#include "toucanstep/assignments/FailureDetector.h"
#include "toucanstep/assignments/HolderState.h"
#include "toucanstep/assignments/Row.h"
#include "toucanstep/base/KeyValue.h"

#include <map>
#include <optional>
#include <string>

namespace toucanstep::assignments {

using MoveId = base::StrongNumber<struct MoveIdTag>;

enum class MoveKind {
    Claim,
    Adopt,
    TakeOver,
    HandOver,
    Release,
    MarkGone,
    LiftMark,
};

struct Move {
    MoveId id;
    MoveKind kind = MoveKind::Claim;
    // The entry that is to be read where the answer is lost.
    std::string key;
    base::Transaction transaction;
};

enum class MoveState {
    // No answer yet.
    Sent,
    // Its answer was lost: the entry has to be read.
    NeedsRead,
    // The read showed the entry as it was before: the transaction may still take effect.
    InDoubt,
    Committed,
    // It was certainly not carried out and never will be.
    Failed,
};

class Mover {
public:
    explicit Mover(Holder self);

    // Creates a row that does not exist, for this process.
    Move claim(const RowKey&, std::string payload, base::Revision read);
    // Creates a row that does not exist, for another process.
    Move assign(const RowKey&, const Holder& to, std::string payload, base::Revision read);
    // Makes a row that names this instance the row of this process. Needed after a restart: without a new revision a late
    // release of the predecessor would free the row under its user.
    Move adopt(const Row&, base::Revision read);
    // Takes a row over from a holder that has stopped.
    Move takeOver(const Row&, const TakeoverProof&, const Holder& to, std::string payload, base::Revision read);
    // Gives a row of this process to another; the row is relinquished first.
    Move handOver(const Row&, HolderState&, const Holder& to, base::Revision read);
    // Deletes a row of this process; the row is relinquished first.
    Move release(const Row&, HolderState&);
    // Writes and lifts the mark that an instance is gone.
    Move markGone(const base::InstanceId&);
    Move liftMark(const GoneMark&);

    MoveState onOutcome(MoveId, const base::Outcome<base::TransactionReply>&);
    // A read of the move's key by a request that was sent after the transaction.
    MoveState onRead(MoveId, const base::RangeReply&);
    MoveState state(MoveId) const;
    // The row as the move has written it, once it is Committed and unless it was a release or about a mark.
    std::optional<Row> written(MoveId) const;
    void forget(MoveId);
    size_t unfinishedCount() const;

private:
    struct Pending {
        MoveKind kind = MoveKind::Claim;
        std::string key;
        // The revision that the transaction compares.
        base::Revision compared;
        std::optional<Row> row;
        WriteNonce nonce;
        MoveState state = MoveState::Sent;
        base::Revision committed;
    };

    Move begin(MoveKind, std::string key, base::Revision compared, std::optional<Row>, WriteNonce, base::Transaction);
    Move write(MoveKind, Row, base::Revision compared, const std::vector<base::Comparison>& conditions);
    static bool isWrittenBy(const Pending&, const base::KeyValue&);
    WriteNonce nextNonce();

    Holder m_self;
    int64_t m_counter = 0;
    std::map<MoveId, Pending> m_pending;
};

} // namespace toucanstep::assignments
