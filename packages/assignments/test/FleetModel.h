// Deterministic simulation of a small fleet using the assignments library. It models a key-value service with outages
// and with lost, late and reordered answers; an instance list that lags; and processes with drifting clocks that
// crash, pause, restart and lose their connections.
//
// Time is virtual and all randomness comes from a seeded generator, so a history is reproduced exactly by its commands
// and seed. After every step the simulation checks which processes may use each row; two at once is a violation.

#pragma once

#include "toucanstep/assignments/AssignmentTable.h"
#include "toucanstep/assignments/FailureDetector.h"
#include "toucanstep/assignments/HolderState.h"
#include "toucanstep/assignments/LeaseExpiry.h"
#include "toucanstep/assignments/Mover.h"
#include "toucanstep/assignments/VoterState.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace toucanstep::assignments::test {

enum class OwnershipProtocol {
    ListAndVoters,
    LeaseExpiry,
};

// Lets tests inject faulty components.
class ComponentFactory {
public:
    virtual ~ComponentFactory() = default;
    virtual std::unique_ptr<HolderState> makeHolder(const Holder& self, const Timing& timing) const { return std::make_unique<HolderState>(self, timing); }
    virtual std::unique_ptr<FailureDetector> makeDetector(const Timing& timing) const { return std::make_unique<FailureDetector>(timing); }
    // Whether a restarted process rewrites the rows of its previous process before using them.
    virtual bool adoptsRows() const { return true; }
};

struct FleetOptions {
    size_t slots = 5;
    size_t voters = 3;
    size_t rows = 3;
    Timing timing;
    bool versionedList = true;
    bool lossyNetwork = true;
    OwnershipProtocol protocol = OwnershipProtocol::ListAndVoters;
    base::Duration leaseTimeToLive = std::chrono::seconds(10);
    uint64_t seed = 1;
    const ComponentFactory* components = nullptr;
};

enum class FleetAction {
    // Advances time.
    Run,
    Crash,
    // Starts a new process on the same instance.
    Restart,
    // The list replaces the instance with a new one; the previous process keeps running with its connections.
    Replace,
    // Like Replace, but the previous process loses its peers and, at random, the service and the list.
    ReplaceAndCut,
    // Like Replace, but the previous process has died.
    ReplaceAndCrash,
    Pause,
    Resume,
    // These apply to every process that runs, or has run, in the slot.
    CutFromPeers,
    CutFromService,
    CutFromList,
    // Restores all connections of all processes.
    Heal,
    StartOutage,
    EndOutage,
    Release,
    HandOver,
};

struct FleetCommand {
    FleetAction action = FleetAction::Run;
    size_t slot = 0;
    // How long to run the fleet after the action.
    base::Duration runFor {};
};

class Fleet {
public:
    explicit Fleet(FleetOptions);
    ~Fleet();

    void perform(const FleetCommand&);
    void run(base::Duration);

    // Empty unless a row had two users at once.
    const std::string& violation() const { return m_violation; }
    // The slot of the process that may use the row now. Paused processes do not count as users.
    std::optional<size_t> userOf(size_t row) const;
    // Number of rows that changed holder without a release.
    int takeovers() const { return m_takeovers; }
    // Row-time without a user, summed over all rows; and the total row-time observed.
    base::Duration unusable() const { return m_unusable; }
    base::Duration observed() const { return m_observed; }
    void resetObservation();
    base::Duration now() const { return m_now; }
    uint64_t serviceWrites() const { return m_writes; }
    uint64_t serviceReads() const { return m_reads; }

private:
    struct Process;
    struct Event {
        base::Duration at;
        uint64_t order;
        // Moved out of the queue, whose entries are constant. A copy would copy whole answers of the service.
        mutable std::function<void()> callback;
        bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };
    struct ListState {
        base::Duration since;
        uint64_t version;
        std::set<base::InstanceId> instances;
    };

    Process& start(size_t slot, const base::InstanceId&);
    std::shared_ptr<Process> sharedPointerTo(const Process&) const;
    Process* findReachable(const Process& from, const base::InstanceId&);
    void replace(size_t slot);
    void releaseOrHandOver(Process&, bool release);
    void refreshAlive();
    void changeList(const std::function<void(std::set<base::InstanceId>&)>&);
    void at(base::Duration, std::function<void()>);
    // Runs the callback on the process as soon as it is not paused; never if it has died.
    void deliver(const std::weak_ptr<Process>&, base::Duration at, std::function<void(Process&)>);
    void tick();
    void onHeartbeat(Process&);
    void readService(Process&);
    void onServiceRead(Process&, RequestWindow, const base::RangeReply& marks, const base::RangeReply& rows);
    void learnVoterSets(Process&, const VoterSets&);
    void readList(Process&);
    void queryVoters(Process&);
    void moveRows(Process&);
    void maintainVoterSet(Process&);
    void renewLease(Process&);
    void send(Process&, const Move&, bool takesOver);
    void commit(Process&, const base::Transaction&, std::function<void(Process&, const base::Outcome<base::TransactionReply>&)>);
    void read(Process&, std::function<void(Process&, RequestWindow, const base::RangeReply&)>);
    base::TransactionReply apply(const base::Transaction&);
    std::vector<std::shared_ptr<Process>> usersOf(size_t row) const;
    void checkExclusiveUse();
    bool mayUse(const Process&, const Row&) const;
    base::Duration networkDelay();
    bool chance(int percent);
    size_t randomIndex(size_t count);

    FleetOptions m_options;
    std::mt19937_64 m_random;
    ComponentFactory m_defaultComponents;
    base::Duration m_now { std::chrono::hours(1) };
    uint64_t m_order = 0;
    std::priority_queue<Event> m_events;
    std::vector<std::shared_ptr<Process>> m_slots;
    std::vector<base::InstanceId> m_instanceOf;
    // Running processes whose instances the list has dropped.
    std::vector<std::shared_ptr<Process>> m_dropped;
    // All live processes, from the slots and the dropped ones.
    std::vector<std::shared_ptr<Process>> m_alive;
    std::vector<ListState> m_list;
    std::map<std::string, base::KeyValue> m_store;
    int64_t m_revision = 0;
    bool m_outage = false;
    int m_instances = 0;
    int m_starts = 0;
    int m_takeovers = 0;
    uint64_t m_writes = 0;
    uint64_t m_reads = 0;
    base::Duration m_unusable {};
    base::Duration m_observed {};
    std::string m_violation;
};

} // namespace toucanstep::assignments::test
