#include "FleetModel.h"

#include "toucanstep/base/Text.h"

#include <algorithm>

namespace toucanstep::assignments::test {

using base::Duration;
using base::InstanceId;
using base::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {
constexpr Duration tickInterval = milliseconds(250);
constexpr Duration heartbeatInterval = seconds(1);
constexpr Duration callTimeout = seconds(1);
constexpr int lossPercent = 10;
constexpr int latePercent = 10;
constexpr int duplicatePercent = 3;
constexpr int lagChangePercent = 10;
constexpr Duration droppedProcessLifetime = seconds(90);
constexpr int64_t million = 1'000'000;

RowKey rowKey(size_t row) { return { RowKind::LimitShare, "account", static_cast<uint32_t>(row) }; }

std::string leaseKey(const InstanceId& instance) { return base::concat("/lease/", instance); }
}

struct Fleet::Process {
    Process(size_t slotIndex, const Holder& self, const FleetOptions& options, const ComponentFactory& components, int64_t clockDrift, Duration startedAt)
        : slot(slotIndex)
        , drift(clockDrift)
        , holder(components.makeHolder(self, options.timing))
        , detector(components.makeDetector(options.timing))
        , mover(self)
        , voter(self.instance, options.timing, local(startedAt))
        , leaseUsePolicy(self, options.leaseTimeToLive)
        , leaseTakeoverPolicy(options.leaseTimeToLive, seconds(1))
    {
    }

    const InstanceId& instance() const { return holder->self().instance; }
    Instant local(Duration real) const { return Instant(real + Duration(real.count() / million * drift)); }

    size_t slot;
    // How much faster its clock runs than real time, in parts per million.
    int64_t drift;
    std::unique_ptr<HolderState> holder;
    std::unique_ptr<FailureDetector> detector;
    AssignmentTable table;
    Mover mover;
    VoterState voter;
    LeaseUsePolicy leaseUsePolicy;
    LeaseTakeoverPolicy leaseTakeoverPolicy;
    VoterSets voterSets;
    std::set<InstanceId> listed;
    std::map<InstanceId, Generation> generations;
    std::map<InstanceId, base::Revision> leases;
    base::Revision read;
    uint64_t renewals = 0;
    bool hasRead = false;
    bool paused = false;
    bool cutFromPeers = false;
    bool cutFromService = false;
    bool cutFromList = false;
    Duration nextHeartbeat {};
    Duration lag {};
    // When a process that keeps running after the list has dropped its instance is terminated.
    Duration stopsAt = Duration::max();
    std::map<RowKey, MoveId> moving;
    std::vector<std::function<void(Process&)>> inbox;
};

Fleet::Fleet(FleetOptions options)
    : m_options(options)
    , m_random(options.seed)
{
    m_list.push_back({ Duration::zero(), 1, {} });
    m_slots.resize(options.slots);
    m_instanceOf.resize(options.slots);
    for (size_t slot = 0; slot < options.slots; ++slot) {
        InstanceId instance("i" + std::to_string(++m_instances));
        changeList([&](std::set<InstanceId>& instances) { instances.insert(instance); });
        start(slot, instance);
    }
}

Fleet::~Fleet() = default;

Fleet::Process& Fleet::start(size_t slot, const InstanceId& instance)
{
    const ComponentFactory& components = m_options.components ? *m_options.components : m_defaultComponents;
    int64_t bound = m_options.timing.driftPartsPerMillion;
    int64_t drift = static_cast<int64_t>(randomIndex(static_cast<size_t>(2 * bound + 1))) - bound;
    Holder self { instance, StartNonce("s" + std::to_string(++m_starts)) };
    m_slots[slot] = std::make_shared<Process>(slot, self, m_options, components, drift, m_now);
    m_slots[slot]->nextHeartbeat = m_now;
    refreshAlive();
    m_instanceOf[slot] = instance;
    return *m_slots[slot];
}

void Fleet::changeList(const std::function<void(std::set<InstanceId>&)>& change)
{
    ListState next = m_list.back();
    next.since = m_now;
    ++next.version;
    change(next.instances);
    m_list.push_back(next);
}

void Fleet::perform(const FleetCommand& command)
{
    size_t slot = command.slot % m_options.slots;
    auto process = m_slots[slot];
    switch (command.action) {
    case FleetAction::Run:
        break;
    case FleetAction::Crash:
        m_slots[slot].reset();
        refreshAlive();
        break;
    case FleetAction::Restart:
        start(slot, m_instanceOf[slot]);
        break;
    case FleetAction::ReplaceAndCrash:
        m_slots[slot].reset();
        replace(slot);
        break;
    case FleetAction::ReplaceAndCut:
        if (process) {
            process->cutFromPeers = true;
            process->cutFromService = chance(50);
            process->cutFromList = chance(50);
        }
        replace(slot);
        break;
    case FleetAction::Replace:
        replace(slot);
        break;
    case FleetAction::Pause:
        if (process)
            process->paused = true;
        break;
    case FleetAction::Resume:
        for (const auto& other : m_alive)
            other->paused = false;
        break;
    case FleetAction::CutFromPeers:
        for (const auto& other : m_alive)
            other->cutFromPeers = other->cutFromPeers || other->slot == slot;
        break;
    case FleetAction::CutFromService:
        for (const auto& other : m_alive)
            other->cutFromService = other->cutFromService || other->slot == slot;
        break;
    case FleetAction::CutFromList:
        for (const auto& other : m_alive)
            other->cutFromList = other->cutFromList || other->slot == slot;
        break;
    case FleetAction::Heal:
        for (const auto& other : m_alive)
            other->cutFromPeers = other->cutFromService = other->cutFromList = false;
        break;
    case FleetAction::StartOutage:
        m_outage = true;
        break;
    case FleetAction::EndOutage:
        m_outage = false;
        break;
    case FleetAction::Release:
    case FleetAction::HandOver:
        if (process && !process->paused)
            releaseOrHandOver(*process, command.action == FleetAction::Release);
        break;
    }
    checkExclusiveUse();
    run(command.runFor);
}

// The list drops the slot's instance and shows a new one; the previous process keeps running.
void Fleet::replace(size_t slot)
{
    InstanceId previous = m_instanceOf[slot];
    InstanceId next("i" + std::to_string(++m_instances));
    changeList([&](std::set<InstanceId>& instances) {
        instances.erase(previous);
        instances.insert(next);
    });
    if (m_slots[slot]) {
        m_dropped.push_back(m_slots[slot]);
        m_dropped.back()->stopsAt = m_now + droppedProcessLifetime;
    }
    start(slot, next);
}

void Fleet::releaseOrHandOver(Process& process, bool release)
{
    for (const auto& row : process.table.rowsOf(process.instance())) {
        if (!process.holder->mayUse(row, process.local(m_now)))
            continue;
        auto& other = m_slots[randomIndex(m_slots.size())];
        if (release || !other)
            send(process, process.mover.release(row, *process.holder), false);
        else
            send(process, process.mover.handOver(row, *process.holder, other->holder->self(), process.read), false);
        return;
    }
}

void Fleet::refreshAlive()
{
    m_alive = m_dropped;
    std::copy_if(m_slots.begin(), m_slots.end(), std::back_inserter(m_alive), [](const auto& process) { return process != nullptr; });
}

void Fleet::run(Duration duration)
{
    Duration end = m_now + duration;
    while (m_now < end && m_violation.empty())
        tick();
}

void Fleet::at(Duration when, std::function<void()> callback)
{
    m_events.push({ when, ++m_order, std::move(callback) });
}

void Fleet::deliver(const std::weak_ptr<Process>& target, Duration when, std::function<void(Process&)> callback)
{
    // Occasionally delivers a message twice.
    if (m_options.lossyNetwork && chance(duplicatePercent))
        at(when + networkDelay(), [this, target, callback, when] { deliver(target, when, callback); });
    at(when, [target, callback = std::move(callback)] {
        auto process = target.lock();
        if (!process)
            return;
        if (process->paused)
            process->inbox.push_back(callback);
        else
            callback(*process);
    });
}

void Fleet::tick()
{
    m_now += tickInterval;
    while (!m_events.empty() && m_events.top().at <= m_now) {
        auto callback = std::move(m_events.top().callback);
        m_events.pop();
        callback();
    }
    bool ended = std::any_of(m_dropped.begin(), m_dropped.end(), [&](const auto& process) { return m_now >= process->stopsAt; });
    if (ended) {
        std::erase_if(m_dropped, [&](const auto& process) { return m_now >= process->stopsAt; });
        refreshAlive();
    }
    // After a pause, a process may use its rows before it handles queued messages.
    checkExclusiveUse();
    auto running = m_alive;
    for (const auto& process : running) {
        if (process->paused)
            continue;
        auto inbox = std::move(process->inbox);
        process->inbox.clear();
        for (auto& callback : inbox)
            callback(*process);
        if (m_now >= process->nextHeartbeat)
            onHeartbeat(*process);
    }
    checkExclusiveUse();
    m_observed += tickInterval * static_cast<int64_t>(m_options.rows);
    for (size_t row = 0; row < m_options.rows; ++row) {
        if (!userOf(row))
            m_unusable += tickInterval;
    }
}

void Fleet::onHeartbeat(Process& process)
{
    process.nextHeartbeat = m_now + heartbeatInterval;
    if (m_options.protocol == OwnershipProtocol::LeaseExpiry)
        renewLease(process);
    readService(process);
    readList(process);
    queryVoters(process);
    moveRows(process);
    if (m_options.protocol == OwnershipProtocol::ListAndVoters)
        maintainVoterSet(process);
}

// Marks and rows are read by two concurrent requests, which may return different revisions.
void Fleet::readService(Process& process)
{
    struct Reading {
        std::optional<base::RangeReply> marks;
        std::optional<base::RangeReply> rows;
    };
    auto reading = std::make_shared<Reading>();
    for (auto part : { &Reading::marks, &Reading::rows }) {
        read(process, [this, reading, part](Process& self, RequestWindow window, const base::RangeReply& reply) {
            (*reading).*part = reply;
            if (reading->marks && reading->rows)
                onServiceRead(self, window, *reading->marks, *reading->rows);
        });
    }
}

void Fleet::onServiceRead(Process& self, RequestWindow window, const base::RangeReply& marksReply, const base::RangeReply& reply)
{
    Instant now = self.local(m_now);
    if (now > window.deadline || reply.revision < self.read)
        return;
    std::vector<GoneMark> marks;
    for (const auto& entry : marksReply.entries) {
        base::Error error;
        if (auto marked = base::valueOr(error, [&] { return parseGoneMarkKey(entry.key); }))
            marks.push_back({ *marked, entry.modified });
    }
    base::RangeReply rows { {}, reply.revision };
    std::optional<VoterSets> voterSets;
    for (const auto& entry : reply.entries) {
        base::Error error;
        if (entry.key == voterSetsKey)
            voterSets = base::valueOr(error, [&] { return decodeVoterSets(entry); });
        else if (entry.key.rfind("/lease/", 0) == 0) {
            InstanceId owner(entry.key.substr(7));
            self.leaseTakeoverPolicy.onLeaseSeen(owner, std::stoull(entry.value), now);
            self.leases[owner] = entry.modified;
        } else if (entry.key.rfind(allRowsPrefix, 0) == 0)
            rows.entries.push_back(entry);
    }
    self.read = reply.revision;
    self.hasRead = true;
    self.table.applyRange(allRowsPrefix, rows);
    bool marked = std::any_of(marks.begin(), marks.end(), [&](const GoneMark& mark) { return mark.instance == self.instance(); });
    self.holder->onServiceRead(window, now, marksReply.revision, marked, voterSets);
    self.voter.onServiceRead(marksReply.revision, marks, voterSets);
    self.detector->onMarks(marksReply.revision, marks);
    if (voterSets)
        learnVoterSets(self, *voterSets);
    for (const auto& row : self.table.all())
        self.detector->watch(row.holder.instance, now);
}

void Fleet::learnVoterSets(Process& self, const VoterSets& voterSets)
{
    Instant now = self.local(m_now);
    self.voterSets = voterSets;
    self.detector->onVoterSets(voterSets, now);
    for (const auto& member : voterSets.current.members)
        self.detector->watch(member, now);
    if (!voterSets.previous)
        return;
    for (const auto& member : voterSets.previous->members)
        self.detector->watch(member, now);
}

void Fleet::readList(Process& process)
{
    Instant sentAt = process.local(m_now);
    RequestWindow window { sentAt, sentAt + callTimeout };
    // A process that is cut off from the list gets no answer and keeps the state it last saw.
    if (process.cutFromList || (m_options.lossyNetwork && chance(lossPercent)))
        return;
    // Usually the same replica of the list answers, with the same lag. Occasionally another replica answers, which may
    // show an older state.
    if (chance(lagChangePercent))
        process.lag = m_options.timing.listLag * static_cast<int64_t>(randomIndex(100)) / 100;
    Duration shownAt = m_now - process.lag;
    auto later = std::find_if(m_list.begin(), m_list.end(), [&](const ListState& state) { return state.since > shownAt; });
    ListState state = later == m_list.begin() ? m_list.front() : *std::prev(later);
    deliver(sharedPointerTo(process), m_now + networkDelay(), [this, window, state](Process& self) {
        Instant now = self.local(m_now);
        auto version = m_options.versionedList ? std::optional<uint64_t>(state.version) : std::nullopt;
        bool shows = state.instances.count(self.instance()) > 0;
        self.holder->onListAnswer(window, now, version, shows);
        self.detector->onListAnswer(window, now, version, state.instances);
        if (now > window.deadline)
            return;
        if (shows)
            self.voter.onListed(window.sentAt);
        self.listed = state.instances;
    });
}

Fleet::Process* Fleet::findReachable(const Process& from, const InstanceId& target)
{
    if (from.cutFromPeers && from.instance() != target)
        return nullptr;
    for (const auto& process : m_alive) {
        if (process->instance() == target)
            return process->cutFromPeers && from.instance() != target ? nullptr : process.get();
    }
    return nullptr;
}

std::shared_ptr<Fleet::Process> Fleet::sharedPointerTo(const Process& process) const
{
    for (const auto& candidate : m_alive) {
        if (candidate.get() == &process)
            return candidate;
    }
    return nullptr;
}

void Fleet::queryVoters(Process& process)
{
    Instant sentAt = process.local(m_now);
    RequestWindow window { sentAt, sentAt + callTimeout };
    std::set<InstanceId> voters = process.voterSets.current.members;
    if (process.voterSets.previous)
        voters.insert(process.voterSets.previous->members.begin(), process.voterSets.previous->members.end());
    auto absent = process.detector->instancesToQuery(sentAt);
    for (const auto& voter : voters) {
        Process* target = findReachable(process, voter);
        if (!target || (m_options.lossyNetwork && chance(lossPercent)))
            continue;
        std::weak_ptr<Process> requester = sharedPointerTo(process);
        InstanceId instance = process.instance();
        deliver(sharedPointerTo(*target), m_now + networkDelay(), [this, requester, window, instance](Process& self) {
            bool vouches = self.voter.vouchFor(instance, self.local(m_now));
            VoterSet voterSet = self.voter.voterSet();
            InstanceId from = self.instance();
            deliver(requester, m_now + networkDelay(), [this, window, vouches, voterSet, from](Process& holder) {
                holder.holder->onVoterSet(voterSet);
                holder.holder->onVoterAnswer(window, holder.local(m_now), from, voterSet.generation, vouches);
                holder.generations[from] = std::max(holder.generations[from], voterSet.generation);
            });
        });
        for (const auto& gone : absent) {
            base::Revision mark = process.detector->markRevisionOf(gone);
            deliver(sharedPointerTo(*target), m_now + networkDelay(), [this, requester, window, gone, mark](Process& self) {
                VoterReply reply = self.voter.onAbsenceQuery(gone, mark, self.local(m_now));
                deliver(requester, m_now + networkDelay(), [this, window, gone, reply](Process& taker) {
                    taker.detector->onVoterReply(window, taker.local(m_now), gone, reply);
                });
            });
        }
    }
}

void Fleet::moveRows(Process& process)
{
    Instant now = process.local(m_now);
    if (!process.hasRead)
        return;
    bool leases = m_options.protocol == OwnershipProtocol::LeaseExpiry;
    for (size_t index = 0; index < m_options.rows; ++index) {
        RowKey key = rowKey(index);
        if (process.moving.count(key))
            continue;
        const Row* row = process.table.find(key);
        if (!row) {
            if (chance(30))
                send(process, process.mover.claim(key, "", process.read), false);
            continue;
        }
        bool own = row->holder.instance == process.instance();
        const ComponentFactory& components = m_options.components ? *m_options.components : m_defaultComponents;
        if (own && row->holder.start != process.holder->self().start && components.adoptsRows())
            send(process, process.mover.adopt(*row, process.read), false);
        if (own || !chance(50))
            continue;
        if (leases) {
            if (!process.leaseTakeoverPolicy.mayTakeOver(*row, now))
                continue;
            Move move = process.mover.adopt(*row, process.read);
            move.transaction.comparisons.push_back({ leaseKey(row->holder.instance), process.leases[row->holder.instance] });
            send(process, move, true);
            continue;
        }
        if (auto proof = process.detector->takeoverProof(row->holder.instance, now))
            send(process, process.mover.takeOver(*row, *proof, process.holder->self(), "", process.read), true);
    }
    if (leases)
        return;
    std::set<InstanceId> holders;
    for (const auto& row : process.table.all())
        holders.insert(row.holder.instance);
    for (const auto& instance : holders) {
        if (process.detector->phase(instance, now) == FailurePhase::MarkNeeded)
            send(process, process.mover.markGone(instance), false);
    }
    if (process.holder->mayLiftMark(now) && process.detector->markRevisionOf(process.instance()) != base::Revision())
        send(process, process.mover.liftMark({ process.instance(), process.detector->markRevisionOf(process.instance()) }), false);
}

void Fleet::maintainVoterSet(Process& process)
{
    if (!process.hasRead || process.listed.size() < m_options.voters)
        return;
    Instant now = process.local(m_now);
    const auto& known = process.voterSets;
    if (known.previous) {
        std::set<InstanceId> promised;
        for (const auto& member : known.previous->members) {
            bool knows = process.generations[member] >= known.current.generation;
            if (knows || process.detector->hasStoppedVouching(member, now))
                promised.insert(member);
        }
        if (auto transaction = retirePrevious(known, promised))
            commit(process, *transaction, [](Process&, const auto&) {});
        return;
    }
    std::set<InstanceId> members;
    for (const auto& member : known.current.members) {
        if (!process.detector->listHasDropped(member))
            members.insert(member);
    }
    for (const auto& candidate : process.listed) {
        if (members.size() < m_options.voters)
            members.insert(candidate);
    }
    if (auto transaction = changeVoterSet(known, members))
        commit(process, *transaction, [](Process&, const auto&) {});
}

void Fleet::renewLease(Process& process)
{
    base::Transaction transaction;
    transaction.operations.push_back(base::PutOperation { leaseKey(process.instance()), std::to_string(++process.renewals), std::nullopt });
    Instant sentAt = process.local(m_now);
    commit(process, transaction, [sentAt](Process& self, const auto& outcome) {
        if (std::holds_alternative<base::TransactionReply>(outcome))
            self.leaseUsePolicy.onRenewed(sentAt);
    });
}

void Fleet::send(Process& process, const Move& move, bool takesOver)
{
    std::optional<RowKey> key;
    base::Error error;
    key = base::valueOr(error, [&] { return parseStorageKey(move.key); });
    if (key)
        process.moving[*key] = move.id;
    MoveId id = move.id;
    commit(process, move.transaction, [this, id, key, takesOver](Process& self, const auto& outcome) {
        MoveState state = self.mover.onOutcome(id, outcome);
        if (state == MoveState::NeedsRead) {
            // Reads the entry back to resolve the move; until then the table's own reads show the row.
            read(self, [this, id, key, takesOver](Process& reader, RequestWindow, const base::RangeReply& reply) {
                MoveState settled = reader.mover.onRead(id, reply);
                if (settled == MoveState::Committed && takesOver)
                    ++m_takeovers;
                if (auto written = reader.mover.writtenRow(id))
                    reader.table.applyWrite(*written);
            });
        }
        if (state == MoveState::Committed && takesOver)
            ++m_takeovers;
        if (auto written = self.mover.writtenRow(id))
            self.table.applyWrite(*written);
        if (key)
            self.moving.erase(*key);
    });
}

void Fleet::commit(Process& process, const base::Transaction& transaction, std::function<void(Process&, const base::Outcome<base::TransactionReply>&)> then)
{
    std::weak_ptr<Process> sender = sharedPointerTo(process);
    auto settled = std::make_shared<bool>(false);
    ++m_writes;
    deliver(sender, m_now + callTimeout, [settled, then](Process& self) {
        if (!std::exchange(*settled, true))
            then(self, base::Error { base::ErrorKind::Timeout, "no answer" });
    });
    if (process.cutFromService || (m_options.lossyNetwork && chance(lossPercent)))
        return;
    // A request may be delayed for long and take effect after its sender has timed out or died.
    bool late = m_options.lossyNetwork && chance(latePercent);
    Duration arrival = m_now + (late ? seconds(1 + static_cast<int64_t>(randomIndex(30))) : networkDelay());
    at(arrival, [this, sender, settled, transaction, then] {
        if (m_outage)
            return;
        auto reply = apply(transaction);
        if (m_options.lossyNetwork && chance(lossPercent))
            return;
        deliver(sender, m_now + networkDelay(), [settled, then, reply](Process& self) {
            if (!std::exchange(*settled, true))
                then(self, reply);
        });
    });
}

void Fleet::read(Process& process, std::function<void(Process&, RequestWindow, const base::RangeReply&)> then)
{
    Instant sentAt = process.local(m_now);
    RequestWindow window { sentAt, sentAt + callTimeout };
    std::weak_ptr<Process> sender = sharedPointerTo(process);
    ++m_reads;
    if (process.cutFromService || (m_options.lossyNetwork && chance(lossPercent)))
        return;
    at(m_now + networkDelay(), [this, sender, window, then] {
        if (m_outage)
            return;
        auto reply = std::make_shared<base::RangeReply>();
        reply->revision = base::Revision(m_revision);
        for (const auto& [key, entry] : m_store)
            reply->entries.push_back(entry);
        deliver(sender, m_now + networkDelay(), [window, then, reply](Process& self) { then(self, window, *reply); });
    });
}

base::TransactionReply Fleet::apply(const base::Transaction& transaction)
{
    for (const auto& comparison : transaction.comparisons) {
        auto found = m_store.find(comparison.key);
        base::Revision modified = found == m_store.end() ? base::Revision() : found->second.modified;
        if (modified != comparison.modified)
            return { false, base::Revision(m_revision) };
    }
    ++m_revision;
    for (const auto& operation : transaction.operations) {
        if (const auto* put = std::get_if<base::PutOperation>(&operation)) {
            auto& entry = m_store[put->key];
            if (entry.created == base::Revision())
                entry.created = base::Revision(m_revision);
            entry.key = put->key;
            entry.value = put->value;
            entry.modified = base::Revision(m_revision);
        } else
            m_store.erase(std::get<base::DeleteOperation>(operation).key);
    }
    return { true, base::Revision(m_revision) };
}

bool Fleet::mayUse(const Process& process, const Row& row) const
{
    if (m_options.protocol == OwnershipProtocol::LeaseExpiry)
        return process.leaseUsePolicy.mayUse(row, process.local(m_now));
    return process.holder->mayUse(row, process.local(m_now));
}

std::optional<size_t> Fleet::userOf(size_t row) const
{
    auto users = usersOf(row);
    return users.empty() ? std::nullopt : std::optional(users.front()->slot);
}

std::vector<std::shared_ptr<Fleet::Process>> Fleet::usersOf(size_t row) const
{
    std::vector<std::shared_ptr<Process>> users;
    for (const auto& process : m_alive) {
        const Row* known = process->table.find(rowKey(row));
        if (!process->paused && known && mayUse(*process, *known))
            users.push_back(process);
    }
    return users;
}

void Fleet::checkExclusiveUse()
{
    for (size_t row = 0; row < m_options.rows; ++row) {
        auto users = usersOf(row);
        if (users.size() < 2 || !m_violation.empty())
            continue;
        m_violation = "row " + std::to_string(row) + " has two users at " + std::to_string(base::toMilliseconds(m_now)) + " ms:";
        for (const auto& user : users)
            m_violation += " " + user->instance().value() + "/" + user->holder->self().start.value();
    }
}

void Fleet::resetObservation()
{
    m_unusable = {};
    m_observed = {};
}

Duration Fleet::networkDelay()
{
    bool slow = m_options.lossyNetwork && chance(latePercent);
    return milliseconds(1 + randomIndex(slow ? 2500 : 100));
}

bool Fleet::chance(int percent)
{
    return static_cast<int>(randomIndex(100)) < percent;
}

size_t Fleet::randomIndex(size_t count)
{
    return static_cast<size_t>(m_random() % count);
}

} // namespace toucanstep::assignments::test
