// Runs the assignments library of one process: reads rows, marks and voters from the key-value service, proves this
// process's own presence, vouches for others, and carries out moves of rows.
//
// The control loop owns it. Traffic reads two things of it, from any thread: view(), the rows as last known, and
// mayUse(), whether rows that name this process may be used at this instant.

#pragma once

#include "toucanstep/assignments/AssignmentTable.h"
#include "toucanstep/assignments/FailureDetector.h"
#include "toucanstep/assignments/HolderState.h"
#include "toucanstep/assignments/Mover.h"
#include "toucanstep/assignments/VoterState.h"
#include "toucanstep/node/Node.h"
#include "toucanstep/node/Snapshot.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace toucanstep::node {

struct AssignmentView {
    std::vector<assignments::Row> rows;
    // Rows that name this very process and that it has not given up.
    std::vector<assignments::Row> own;
};

struct AssignmentOptions {
    assignments::Timing timing;
    // How often marks and voters are read, and it is checked whether the watch on the rows has missed anything.
    base::Duration readInterval = std::chrono::seconds(3);
    // Voters are asked to vouch once the list's word is older than this.
    base::Duration vouchAfter = std::chrono::milliseconds(1500);
    base::Duration vouchInterval = std::chrono::milliseconds(500);
    // Gateways in the set of voters.
    size_t voters = 5;
    size_t movesInFlight = 16;
};

class AssignmentAgent {
public:
    using MoveCallback = std::function<void(assignments::MoveState)>;
    using RowsListener = std::function<void(const AssignmentView&)>;

    AssignmentAgent(Node&, AssignmentOptions);
    ~AssignmentAgent();

    // Registers systems, listeners and methods; before Node::start().
    void install();
    // Called on the control loop whenever the rows have changed.
    void onRows(RowsListener);
    // Ends its watch and every callback; to be called before Node::stop(), from another thread than the control loop's.
    void stop();

    bool mayUse(base::Instant now) const { return now.time_since_epoch().count() < m_usableUntil.load(); }
    std::shared_ptr<const AssignmentView> view() const { return m_view.load(); }
    const assignments::Holder& self() const { return m_self; }

    // ---- on the control loop
    // False while the rows have not been read from the service since the start.
    bool hasRead() const { return m_hasRead; }
    const assignments::AssignmentTable& table() const { return m_table; }
    // Whether a move of this row is under way; a second one has to wait for its end.
    bool busy(const assignments::RowKey&) const;
    bool mayMoveMore() const { return m_moves.size() < m_options.movesInFlight; }
    // Creates a row for an instance, which adopts it before it uses it.
    void assign(const assignments::RowKey&, const base::InstanceId& to, std::string payload, MoveCallback = {});
    // Takes a row from a holder that is proved to have stopped; `listName` is where the platform lists the holder.
    void takeOver(const assignments::Row&, const std::string& listName, const base::InstanceId& to);
    bool cleared(const base::InstanceId&, const std::string& listName, base::Instant now) const;
    // Begins to find out whether an instance that holds rows has gone.
    void track(const base::InstanceId&, const std::string& listName, base::Instant now);
    // Gives up a row of this process. Its user must have stopped using it before.
    void release(const assignments::Row&, MoveCallback = {});
    // `to` names the process as well, so that it may use the row without adopting it.
    void handOver(const assignments::Row&, const assignments::Holder& to, MoveCallback = {});

private:
    class WatchRelay;
    struct PendingMove {
        assignments::Move move;
        MoveCallback callback;
        base::Instant readAt;
        bool reading = false;
        base::Instant forgetAt;
    };

    void tick(base::Instant now);
    struct Reading;
    void readService(base::Instant now);
    template <typename Reply>
    std::function<void(base::Outcome<Reply>)> collect(std::shared_ptr<Reading>, std::optional<Reply> Reading::*part);
    void onAnswered(const std::shared_ptr<Reading>&);
    bool knowsAllOf(const base::RangeSummary&) const;
    void onServiceRead(base::Instant sentAt, base::Instant deadline);
    void openWatch();
    void onListing(const ListingAnswer&);
    void askForVouching(base::Instant now);
    void askVoters(base::Instant now);
    void markAbsent(base::Instant now);
    void liftOwnMark(base::Instant now);
    void maintainVoters(base::Instant now);
    void adoptOwnRows();
    void settleMoves(base::Instant now);
    void submit(assignments::Move, MoveCallback);
    void onMoveOutcome(assignments::MoveId, const base::Outcome<base::TransactionReply>&);
    void finishMove(assignments::MoveId, assignments::MoveState);
    void commitVoters(base::Transaction);
    void publish();
    void answerVouch(const peers::IncomingCall&, std::shared_ptr<peers::PeerResponder>);
    void answerQuestion(const peers::IncomingCall&, std::shared_ptr<peers::PeerResponder>);
    std::set<base::InstanceId> knownVoters() const;
    assignments::FailureDetector& trackerOf(const std::string& listName);
    bool isGateway() const { return m_node.settings().role == config::Role::Gateway; }

    Node& m_node;
    AssignmentOptions m_options;
    assignments::Holder m_self;
    assignments::AssignmentTable m_table;
    assignments::HolderState m_holder;
    assignments::VoterState m_voter;
    assignments::Mover m_mover;
    assignments::VoterSets m_electorates;
    // One for each name of the platform's list: an answer says nothing about instances under other names.
    std::map<std::string, assignments::FailureDetector> m_trackers;
    std::map<assignments::MoveId, PendingMove> m_moves;
    std::set<std::string> m_keysMoving;
    std::map<base::InstanceId, assignments::Generation> m_voterGenerations;
    std::vector<RowsListener> m_listeners;
    Snapshot<AssignmentView> m_view;
    std::atomic<int64_t> m_usableUntil { INT64_MIN };
    std::unique_ptr<base::WatchHandle> m_watch;
    std::shared_ptr<WatchRelay> m_relay;

    // One reading of the service: marks, electorate, and either the rows or, once these are known, what tells whether they
    // have changed.
    struct Reading {
        base::Instant sentAt;
        base::Instant deadline;
        std::optional<base::RangeReply> rows;
        std::optional<base::RangeSummary> summary;
        std::optional<base::RangeReply> marks;
        std::optional<base::RangeReply> electorate;
        bool failed = false;
        int answered = 0;
    };
    std::shared_ptr<Reading> m_reading;
    std::vector<assignments::GoneMark> m_marks;
    base::Instant m_nextRead;
    base::Instant m_nextVouch;
    base::Instant m_nextQuestion;
    base::Instant m_nextVoterCheck;
    std::optional<base::Instant> m_listSeenAt;
    uint64_t m_publishedChanges = UINT64_MAX;
    // Made from the published rows, so that no tick has to go through all of them: the rows that name this instance, and who
    // holds rows at all as of the changes up to m_holdersOf.
    std::vector<assignments::Row> m_rowsHere;
    std::set<base::InstanceId> m_holders;
    uint64_t m_holdersOf = UINT64_MAX;
    // Every change of a row up to this revision is known: from a read, or from the watch, which leaves out nothing.
    base::Revision m_readRevision;
    bool m_hasRead = false;
    bool m_votersMoving = false;
    // Guards callbacks that outlive this object.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace toucanstep::node
