#include "toucanstep/node/AssignmentAgent.h"

#include "toucanstep/base/LogLine.h"
#include "toucanstep/base/Text.h"
#include "toucanstep/node/Keys.h"
#include "toucanstep/peers/Codec.h"

#include <algorithm>

namespace toucanstep::node {

namespace {

using namespace assignments;

constexpr std::string_view vouchMethod = "vouch";
constexpr std::string_view questionMethod = "question";
constexpr base::Duration questionInterval = std::chrono::milliseconds(500);
constexpr base::Duration voterCheckInterval = std::chrono::seconds(1);
constexpr base::Duration peerTimeout = std::chrono::milliseconds(800);
constexpr base::Duration settleInterval = std::chrono::milliseconds(200);
// After this a move whose outcome could not be read is left to the next reading of all rows; a new move of the same row
// is safe, because both compare the same revision.
constexpr base::Duration settleFor = std::chrono::seconds(5);
constexpr int rangesOfReading = 3;

std::string_view moveKindName(MoveKind kind)
{
    switch (kind) {
    case MoveKind::Claim:
        return "assign";
    case MoveKind::Adopt:
        return "adopt";
    case MoveKind::TakeOver:
        return "take_over";
    case MoveKind::HandOver:
        return "hand_over";
    case MoveKind::Release:
        return "release";
    case MoveKind::MarkGone:
        return "mark_gone";
    case MoveKind::LiftMark:
        return "lift_mark";
    }
    return "unknown";
}

bool settled(MoveState state)
{
    return state == MoveState::Committed || state == MoveState::Failed;
}

} // namespace

// Carries watch events from the store's thread to the control loop for as long as the agent lives.
class AssignmentAgent::WatchRelay final : public base::WatchListener, public std::enable_shared_from_this<WatchRelay> {
public:
    explicit WatchRelay(AssignmentAgent& agent)
        : m_loop(agent.m_node.control())
        , m_agent(agent)
        , m_alive(agent.m_alive)
    {
    }

    void onEvents(std::vector<base::WatchEvent> events, base::Revision revision) override
    {
        m_loop.post([self = shared_from_this(), events = std::move(events), revision] {
            if (!*self->m_alive)
                return;
            // The next tick publishes: a copy of all rows for each event would take milliseconds.
            self->m_agent.m_table.applyEvents(events, revision);
            if (self->m_agent.m_relay != self)
                return;
            // The revision that came along may lie beyond changes that are still to come, so the events' own ones count.
            for (const base::WatchEvent& event : events)
                self->m_agent.m_readRevision = std::max(self->m_agent.m_readRevision, event.entry.modified);
        });
    }

    void onEnd(base::Error) override
    {
        m_loop.post([self = shared_from_this()] {
            if (*self->m_alive && self->m_agent.m_relay == self)
                self->m_agent.m_watch.reset();
        });
    }

private:
    io::EventLoop& m_loop;
    AssignmentAgent& m_agent;
    std::shared_ptr<bool> m_alive;
};

AssignmentAgent::AssignmentAgent(Node& node, AssignmentOptions options)
    : m_node(node)
    , m_options(options)
    , m_self { node.settings().instance, StartNonce(node.startNonce()) }
    , m_holder(m_self, options.timing)
    , m_voter(node.settings().instance, options.timing, node.control().now())
    , m_mover(m_self)
{
}

AssignmentAgent::~AssignmentAgent()
{
    *m_alive = false;
}

void AssignmentAgent::stop()
{
    m_node.control().runAndWait([this] {
        *m_alive = false;
        m_watch.reset();
    });
}

void AssignmentAgent::install()
{
    m_node.addSystem([this](base::Instant now) { tick(now); });
    m_node.onListing([this](const ListingAnswer& answer) { onListing(answer); });
    if (!isGateway())
        return;
    m_node.addMethod(peers::Method(std::string(vouchMethod)), [this](const peers::IncomingCall& call, std::shared_ptr<peers::PeerResponder> responder) { answerVouch(call, std::move(responder)); });
    m_node.addMethod(peers::Method(std::string(questionMethod)), [this](const peers::IncomingCall& call, std::shared_ptr<peers::PeerResponder> responder) { answerQuestion(call, std::move(responder)); });
}

void AssignmentAgent::onRows(RowsListener listener)
{
    m_listeners.push_back(std::move(listener));
}

void AssignmentAgent::tick(base::Instant now)
{
    if (!*m_alive)
        return;
    publish();
    if (now >= m_nextRead)
        readService(now);
    if (!m_watch && m_hasRead)
        openWatch();
    askForVouching(now);
    m_usableUntil = m_holder.usableUntil().time_since_epoch().count();
    adoptOwnRows();
    settleMoves(now);
    liftOwnMark(now);
    if (!isGateway())
        return;
    markAbsent(now);
    askVoters(now);
    maintainVoters(now);
}

// ---- reading

void AssignmentAgent::readService(base::Instant now)
{
    m_nextRead = now + m_options.readInterval;
    auto reading = std::make_shared<Reading>();
    reading->sentAt = now;
    reading->deadline = now + m_node.options().storeTimeout;
    m_reading = reading;
    if (m_hasRead)
        m_node.store().summarize(std::string(allRowsPrefix), reading->deadline, collect(reading, &Reading::summary));
    else
        m_node.store().list(std::string(allRowsPrefix), reading->deadline, collect(reading, &Reading::rows));
    m_node.store().list(std::string(goneMarksPrefix), reading->deadline, collect(reading, &Reading::marks));
    m_node.store().get(std::string(voterSetsKey), reading->deadline, collect(reading, &Reading::electorate));
}

template <typename Reply>
std::function<void(base::Outcome<Reply>)> AssignmentAgent::collect(std::shared_ptr<Reading> reading, std::optional<Reply> Reading::*part)
{
    return [this, reading, alive = m_alive, part, loop = &m_node.control()](base::Outcome<Reply> outcome) {
        loop->post([this, reading, alive, part, outcome = std::move(outcome)] {
            if (!*alive || m_reading != reading)
                return;
            if (auto* reply = std::get_if<Reply>(&outcome))
                (*reading).*part = *reply;
            else
                reading->failed = true;
            ++reading->answered;
            onAnswered(reading);
        });
    };
}

void AssignmentAgent::onAnswered(const std::shared_ptr<Reading>& reading)
{
    if (reading->answered < rangesOfReading || reading->failed)
        return;
    publish();
    if (reading->rows || knowsAllOf(*reading->summary)) {
        onServiceRead(reading->sentAt, reading->deadline);
        return;
    }
    --reading->answered;
    m_node.store().list(std::string(allRowsPrefix), reading->deadline, collect(reading, &Reading::rows));
}

// Failure: the watch goes silent without a sign, and this node would never hear of a row. All changes up to m_readRevision
// are known, so a key that was written later shows in `newest`; and as no key that stands is unknown here, a deletion that
// was missed shows in the count. What this node itself wrote and the watch has not yet brought leads to one read too many.
bool AssignmentAgent::knowsAllOf(const base::RangeSummary& summary) const
{
    return summary.newest <= m_readRevision && static_cast<size_t>(summary.count) == m_view.load()->rows.size();
}

void AssignmentAgent::onServiceRead(base::Instant sentAt, base::Instant deadline)
{
    base::Instant now = m_node.control().now();
    if (m_reading->rows)
        m_table.applyRange(allRowsPrefix, *m_reading->rows);
    m_marks.clear();
    bool selfMarked = false;
    for (const base::KeyValue& entry : m_reading->marks->entries) {
        base::Error error;
        auto instance = base::valueOr(error, [&] { return parseGoneMarkKey(entry.key); });
        if (!instance)
            continue;
        m_marks.push_back({ *instance, entry.modified });
        selfMarked = selfMarked || *instance == m_self.instance;
    }
    std::optional<VoterSets> electorates;
    if (!m_reading->electorate->entries.empty()) {
        base::Error error;
        electorates = base::valueOr(error, [&] { return decodeVoterSets(m_reading->electorate->entries.front()); });
    }
    if (electorates && electorates->modified > m_electorates.modified)
        m_electorates = *electorates;
    base::Revision marksRevision = m_reading->marks->revision;
    m_readRevision = std::max(m_readRevision, m_reading->rows ? m_reading->rows->revision : m_reading->summary->revision);
    m_holder.onServiceRead({ sentAt, deadline }, now, marksRevision, selfMarked, electorates);
    m_voter.onServiceRead(marksRevision, m_marks, electorates);
    for (auto& [name, tracker] : m_trackers) {
        tracker.onVoterSets(m_electorates, now);
        tracker.onMarks(marksRevision, m_marks);
    }
    m_hasRead = true;
    publish();
}

void AssignmentAgent::openWatch()
{
    m_relay = std::make_shared<WatchRelay>(*this);
    m_watch = m_node.store().watch(std::string(allRowsPrefix), base::Revision(m_readRevision.value() + 1), m_relay);
}

void AssignmentAgent::publish()
{
    if (m_table.changes() == m_publishedChanges)
        return;
    m_publishedChanges = m_table.changes();
    auto view = std::make_shared<AssignmentView>();
    view->rows = m_table.all();
    m_rowsHere.clear();
    for (const Row& row : view->rows) {
        if (row.holder.instance == m_self.instance)
            m_rowsHere.push_back(row);
        if (row.holder == m_self && !m_holder.hasRelinquished(row))
            view->own.push_back(row);
    }
    m_view.publish(view);
    for (const RowsListener& listener : m_listeners)
        listener(*view);
}

// ---- presence

void AssignmentAgent::onListing(const ListingAnswer& answer)
{
    base::Instant now = m_node.control().now();
    RequestWindow exchange { answer.sentAt, answer.sentAt + m_node.options().storeTimeout };
    std::set<base::InstanceId> shown;
    for (const formats::ListedInstance& listed : answer.listing.instances)
        shown.insert(listed.instance);
    std::string ownList = isGateway() ? std::string(gatewayListName) : m_node.settings().listName;
    if (answer.listName == ownList) {
        bool showsSelf = shown.contains(m_self.instance);
        m_holder.onListAnswer(exchange, now, answer.listing.version, showsSelf);
        if (showsSelf) {
            m_listSeenAt = answer.sentAt;
            m_voter.onListed(answer.sentAt);
        }
    }
    if (auto tracker = m_trackers.find(answer.listName); tracker != m_trackers.end())
        tracker->second.onListAnswer(exchange, now, answer.listing.version, shown);
}

std::set<base::InstanceId> AssignmentAgent::knownVoters() const
{
    std::set<base::InstanceId> voters = m_electorates.current.members;
    if (m_electorates.previous)
        voters.insert(m_electorates.previous->members.begin(), m_electorates.previous->members.end());
    return voters;
}

// While the list shows this process nobody needs to be asked; a list that is down, or has dropped us, is what the
// voters are for. After a gap the list alone does not bring use back, and in an outage only the voters can.
void AssignmentAgent::askForVouching(base::Instant now)
{
    bool listIsFresh = m_listSeenAt && now < *m_listSeenAt + m_options.vouchAfter;
    if ((listIsFresh && !m_holder.hasLapsed(now)) || now < m_nextVouch)
        return;
    m_nextVouch = now + m_options.vouchInterval;
    auto instances = m_node.instances();
    for (const base::InstanceId& voter : m_electorates.current.members) {
        RequestWindow exchange { now, now + peerTimeout };
        if (voter == m_self.instance) {
            m_holder.onVoterAnswer(exchange, now, voter, m_voter.generation(), m_voter.vouchFor(m_self.instance, now));
            continue;
        }
        const InstanceRow* row = instances->find(voter);
        if (!row)
            continue;
        m_node.callFromControl({ row->peer, peers::Method(std::string(vouchMethod)), {}, exchange.deadline }, [this, alive = m_alive, exchange, voter](base::Outcome<std::string> outcome) {
            auto* reply = std::get_if<std::string>(&outcome);
            if (!*alive || !reply)
                return;
            peers::FieldReader reader(*reply);
            Generation generation(reader.number());
            bool vouches = reader.flag();
            if (reader.complete())
                m_holder.onVoterAnswer(exchange, m_node.control().now(), voter, generation, vouches);
        });
    }
}

void AssignmentAgent::answerVouch(const peers::IncomingCall& call, std::shared_ptr<peers::PeerResponder> responder)
{
    m_node.control().post([this, from = call.from, responder = std::move(responder)] {
        bool vouches = m_voter.vouchFor(from, m_node.control().now());
        std::string reply = peers::FieldWriter().add(m_voter.generation().value()).addFlag(vouches).finish();
        m_node.traffic().post([responder, reply] {
            responder->send(reply);
            responder->finish();
        });
    });
}

void AssignmentAgent::answerQuestion(const peers::IncomingCall& call, std::shared_ptr<peers::PeerResponder> responder)
{
    peers::FieldReader reader(call.body);
    base::InstanceId instance(reader.text());
    base::Revision mark(reader.number());
    if (!reader.complete()) {
        responder->abort();
        return;
    }
    m_node.control().post([this, instance, mark, responder = std::move(responder)] {
        VoterReply vote = m_voter.onAbsenceQuery(instance, mark, m_node.control().now());
        std::string reply = peers::FieldWriter().addDuration(vote.silentFor).add(vote.promisedUnder.value()).add(m_voter.generation().value()).finish();
        m_node.traffic().post([responder, reply] {
            responder->send(reply);
            responder->finish();
        });
    });
}

// ---- absence of others

FailureDetector& AssignmentAgent::trackerOf(const std::string& listName)
{
    auto [found, isNew] = m_trackers.try_emplace(listName, m_options.timing);
    if (isNew)
        found->second.onVoterSets(m_electorates, m_node.control().now());
    return found->second;
}

void AssignmentAgent::track(const base::InstanceId& instance, const std::string& listName, base::Instant now)
{
    trackerOf(listName).watch(instance, now);
}

bool AssignmentAgent::cleared(const base::InstanceId& instance, const std::string& listName, base::Instant now) const
{
    auto tracker = m_trackers.find(listName);
    return tracker != m_trackers.end() && tracker->second.takeoverProof(instance, now).has_value();
}

void AssignmentAgent::askVoters(base::Instant now)
{
    if (now < m_nextQuestion)
        return;
    m_nextQuestion = now + questionInterval;
    auto instances = m_node.instances();
    for (auto& [listName, tracker] : m_trackers) {
        for (const base::InstanceId& absent : tracker.instancesToQuery(now)) {
            base::Revision mark = tracker.markRevisionOf(absent);
            for (const base::InstanceId& voter : knownVoters()) {
                RequestWindow exchange { now, now + peerTimeout };
                if (voter == m_self.instance) {
                    tracker.onVoterReply(exchange, now, absent, m_voter.onAbsenceQuery(absent, mark, now));
                    continue;
                }
                const InstanceRow* row = instances->find(voter);
                if (!row)
                    continue;
                std::string body = peers::FieldWriter().add(absent.value()).add(mark.value()).finish();
                m_node.callFromControl({ row->peer, peers::Method(std::string(questionMethod)), body, exchange.deadline }, [this, alive = m_alive, exchange, voter, absent, listName = listName](base::Outcome<std::string> outcome) {
                    auto* reply = std::get_if<std::string>(&outcome);
                    if (!*alive || !reply)
                        return;
                    peers::FieldReader reader(*reply);
                    VoterReply vote { voter, reader.duration(), base::Revision(reader.number()) };
                    Generation generation(reader.number());
                    if (!reader.complete())
                        return;
                    m_voterGenerations[voter] = generation;
                    trackerOf(listName).onVoterReply(exchange, m_node.control().now(), absent, vote);
                });
            }
        }
    }
}

void AssignmentAgent::liftOwnMark(base::Instant now)
{
    if (!m_holder.mayLiftMark(now))
        return;
    for (const GoneMark& mark : m_marks) {
        if (mark.instance == m_self.instance && !m_keysMoving.contains(goneMarkKey(mark.instance)))
            submit(m_mover.liftMark(mark), [this](MoveState) { m_nextRead = {}; });
    }
}

void AssignmentAgent::markAbsent(base::Instant now)
{
    if (m_holdersOf != m_publishedChanges) {
        m_holdersOf = m_publishedChanges;
        m_holders.clear();
        for (const Row& row : m_view.load()->rows)
            m_holders.insert(row.holder.instance);
    }
    for (auto& [listName, tracker] : m_trackers) {
        for (const base::InstanceId& instance : m_holders) {
            if (tracker.phase(instance, now) != FailurePhase::MarkNeeded || m_keysMoving.contains(goneMarkKey(instance)))
                continue;
            submit(m_mover.markGone(instance), [this](MoveState) { m_nextRead = {}; });
        }
    }
}

// ---- voters

// The gateway whose id comes first keeps the set of voters; the compare-and-swap makes two of them harmless.
void AssignmentAgent::maintainVoters(base::Instant now)
{
    if (now < m_nextVoterCheck || !m_hasRead || m_votersMoving)
        return;
    m_nextVoterCheck = now + voterCheckInterval;
    auto instances = m_node.instances();
    std::set<base::InstanceId> listed;
    for (const InstanceRow* row : instances->inList(gatewayListName)) {
        if (row->ready && !row->terminating)
            listed.insert(row->instance);
    }
    if (listed.empty() || *listed.begin() != m_self.instance)
        return;
    for (const base::InstanceId& voter : knownVoters())
        track(voter, std::string(gatewayListName), now);
    if (m_electorates.previous) {
        std::set<base::InstanceId> promised;
        for (const base::InstanceId& voter : m_electorates.previous->members) {
            bool knows = voter == m_self.instance ? m_voter.generation() >= m_electorates.current.generation : m_voterGenerations[voter] >= m_electorates.current.generation;
            if (knows || trackerOf(std::string(gatewayListName)).hasStoppedVouching(voter, now))
                promised.insert(voter);
            else if (const InstanceRow* row = instances->find(voter)) {
                // Any question is answered with the generation that the voter knows.
                std::string body = peers::FieldWriter().add(m_self.instance.value()).add(int64_t { 0 }).finish();
                m_node.callFromControl({ row->peer, peers::Method(std::string(questionMethod)), body, now + peerTimeout }, [this, alive = m_alive, voter](base::Outcome<std::string> outcome) {
                    auto* reply = std::get_if<std::string>(&outcome);
                    if (!*alive || !reply)
                        return;
                    peers::FieldReader reader(*reply);
                    reader.duration();
                    reader.number();
                    Generation generation(reader.number());
                    if (reader.complete())
                        m_voterGenerations[voter] = generation;
                });
            }
        }
        if (auto transaction = retirePrevious(m_electorates, promised))
            commitVoters(std::move(*transaction));
        return;
    }
    // Present members stay, so that the set changes only when one of them is gone.
    std::set<base::InstanceId> members;
    for (const base::InstanceId& member : m_electorates.current.members) {
        if (listed.contains(member))
            members.insert(member);
    }
    for (const base::InstanceId& candidate : listed) {
        if (members.size() < m_options.voters)
            members.insert(candidate);
    }
    if (auto transaction = changeVoterSet(m_electorates, members))
        commitVoters(std::move(*transaction));
}

void AssignmentAgent::commitVoters(base::Transaction transaction)
{
    m_votersMoving = true;
    m_node.store().commit(std::move(transaction), m_node.control().now() + m_node.options().storeTimeout, [this, alive = m_alive, loop = &m_node.control()](const base::Outcome<base::TransactionReply>&) {
        loop->post([this, alive] {
            if (!*alive)
                return;
            // Whatever came of it, the next reading tells.
            m_votersMoving = false;
            m_nextRead = {};
        });
    });
}

// ---- moves

bool AssignmentAgent::busy(const RowKey& key) const
{
    return m_keysMoving.contains(storageKey(key));
}

void AssignmentAgent::adoptOwnRows()
{
    if (!m_hasRead || m_holder.isMarkedGone())
        return;
    for (const Row& row : m_rowsHere) {
        bool adopted = row.holder.start == m_self.start;
        if (adopted || busy(row.key) || !mayMoveMore() || m_holder.hasRelinquished(row))
            continue;
        submit(m_mover.adopt(row, m_readRevision), {});
    }
}

void AssignmentAgent::assign(const RowKey& key, const base::InstanceId& to, std::string payload, MoveCallback callback)
{
    Holder holder { to, to == m_self.instance ? m_self.start : StartNonce() };
    submit(m_mover.assign(key, holder, std::move(payload), m_readRevision), std::move(callback));
}

void AssignmentAgent::takeOver(const Row& row, const std::string& listName, const base::InstanceId& to)
{
    auto clearance = trackerOf(listName).takeoverProof(row.holder.instance, m_node.control().now());
    if (!clearance)
        return;
    Holder holder { to, to == m_self.instance ? m_self.start : StartNonce() };
    submit(m_mover.takeOver(row, *clearance, holder, row.payload, m_readRevision), {});
}

void AssignmentAgent::release(const Row& row, MoveCallback callback)
{
    submit(m_mover.release(row, m_holder), std::move(callback));
}

void AssignmentAgent::handOver(const Row& row, const Holder& to, MoveCallback callback)
{
    submit(m_mover.handOver(row, m_holder, to, m_readRevision), std::move(callback));
}

void AssignmentAgent::submit(Move move, MoveCallback callback)
{
    MoveId id = move.id;
    base::LogLine("row_move").add("kind", moveKindName(move.kind)).add("key", move.key).add("move", id);
    m_node.metrics().count("toucanstep_row_moves_total", base::concat("kind=\"", moveKindName(move.kind), "\""));
    m_keysMoving.insert(move.key);
    base::Instant now = m_node.control().now();
    base::Transaction transaction = move.transaction;
    m_moves[id] = PendingMove { std::move(move), std::move(callback), now + settleInterval, false, now + settleFor };
    m_node.store().commit(std::move(transaction), now + m_node.options().storeTimeout, [this, alive = m_alive, id, loop = &m_node.control()](base::Outcome<base::TransactionReply> outcome) {
        loop->post([this, alive, id, outcome = std::move(outcome)] {
            if (*alive)
                onMoveOutcome(id, outcome);
        });
    });
}

void AssignmentAgent::onMoveOutcome(MoveId id, const base::Outcome<base::TransactionReply>& outcome)
{
    MoveState state = m_mover.onOutcome(id, outcome);
    if (settled(state))
        finishMove(id, state);
}

void AssignmentAgent::settleMoves(base::Instant now)
{
    std::vector<MoveId> abandoned;
    for (auto& [id, pending] : m_moves) {
        MoveState state = m_mover.state(id);
        if (state != MoveState::NeedsRead && state != MoveState::InDoubt)
            continue;
        if (now >= pending.forgetAt) {
            abandoned.push_back(id);
            continue;
        }
        if (pending.reading || now < pending.readAt)
            continue;
        pending.reading = true;
        pending.readAt = now + settleInterval;
        m_node.store().get(pending.move.key, now + m_node.options().storeTimeout, [this, alive = m_alive, id = id, loop = &m_node.control()](base::Outcome<base::RangeReply> outcome) {
            loop->post([this, alive, id, outcome = std::move(outcome)] {
                auto found = *alive ? m_moves.find(id) : m_moves.end();
                if (!*alive || found == m_moves.end())
                    return;
                found->second.reading = false;
                auto* reply = std::get_if<base::RangeReply>(&outcome);
                if (!reply)
                    return;
                MoveState state = m_mover.onRead(id, *reply);
                if (settled(state))
                    finishMove(id, state);
            });
        });
    }
    for (MoveId id : abandoned)
        finishMove(id, MoveState::InDoubt);
}

void AssignmentAgent::finishMove(MoveId id, MoveState state)
{
    auto found = m_moves.find(id);
    if (found == m_moves.end())
        return;
    PendingMove pending = std::move(found->second);
    m_moves.erase(found);
    m_keysMoving.erase(pending.move.key);
    if (auto row = m_mover.writtenRow(id); row && state == MoveState::Committed)
        m_table.applyWrite(*row);
    m_mover.forget(id);
    publish();
    if (pending.callback)
        pending.callback(state);
}

} // namespace toucanstep::node
