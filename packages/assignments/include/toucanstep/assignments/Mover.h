// Builds the transactions that write rows, and resolves those whose answers were lost.
//
//     Move move = mover.claim(key, payload, readRevision);
//     store.commit(move.transaction, ...);                 // exactly once
//     if (mover.onOutcome(move.id, outcome) == MoveState::NeedsRead)
//         store.get(storageKey(key), ...);                 // until onRead() resolves it
//
// A transaction whose answer was lost is never resent. If a read shows neither its write nor a competing one, it stays
// in doubt, because it may still take effect. A new move of the same row is safe even then: both compare the same
// revision and carry their own nonces, so at most one of them can be found later.

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
    // The entry to read if the answer is lost.
    std::string key;
    base::Transaction transaction;
};

enum class MoveState {
    // No answer yet.
    Sent,
    // The answer was lost; the entry must be read.
    NeedsRead,
    // A read showed the entry unchanged; the transaction may still take effect.
    InDoubt,
    Committed,
    // The transaction was definitely not applied and never will be.
    Failed,
};

class Mover {
public:
    explicit Mover(Holder self);

    // Creates a row for this process; fails if the row exists.
    Move claim(const RowKey&, std::string payload, base::Revision read);
    // Creates a row for another process; fails if the row exists.
    Move assign(const RowKey&, const Holder& to, std::string payload, base::Revision read);
    // Assigns a row that names this instance to this process. Needed after a restart: without a new revision, a late
    // release by the previous process would delete the row while it is in use.
    Move adopt(const Row&, base::Revision read);
    // Takes a row over from a holder that has stopped.
    Move takeOver(const Row&, const TakeoverProof&, const Holder& to, std::string payload, base::Revision read);
    // Transfers a row of this process to another; relinquishes the row first.
    Move handOver(const Row&, HolderState&, const Holder& to, base::Revision read);
    // Deletes a row of this process; relinquishes the row first.
    Move release(const Row&, HolderState&);
    // Creates and deletes the mark that an instance is gone.
    Move markGone(const base::InstanceId&);
    Move liftMark(const GoneMark&);

    MoveState onOutcome(MoveId, const base::Outcome<base::TransactionReply>&);
    // Applies a read of the move's key that was requested after the transaction was sent.
    MoveState onRead(MoveId, const base::RangeReply&);
    MoveState state(MoveId) const;
    // The row written by the move, once it is Committed. Empty for releases and marks.
    std::optional<Row> writtenRow(MoveId) const;
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

    Move addPending(MoveKind, std::string key, base::Revision compared, std::optional<Row>, WriteNonce, base::Transaction);
    Move write(MoveKind, Row, base::Revision compared, const std::vector<base::Comparison>& conditions);
    static bool isWrittenBy(const Pending&, const base::KeyValue&);
    WriteNonce nextNonce();

    Holder m_self;
    int64_t m_counter = 0;
    std::map<MoveId, Pending> m_pending;
};

} // namespace toucanstep::assignments
