// A small fleet around the assignments library, for histories: a key-value service with outages and lost, late and
// crossed answers; a lagging list; processes with drifting clocks that die, pause, restart, and are cut off.
//
// Time is virtual and every choice comes from a seeded generator, so that a history is repeated exactly by its commands
// and its seed. After every step the fleet is asked voters may use each row; two at once is a violation.

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

// Where tests put their seeded faults in.
class ComponentFactory {
public:
    virtual ~ComponentFactory() = default;
    virtual std::unique_ptr<HolderState> makeHolder(const Holder& self, const Timing& timing) const { return std::make_unique<HolderState>(self, timing); }
    virtual std::unique_ptr<FailureDetector> makeDetector(const Timing& timing) const { return std::make_unique<FailureDetector>(timing); }
    // Whether a restarted process rewrites the rows of its predecessor before it uses them.
    virtual bool adoptsRows() const { return true; }
};

struct FleetOptions {
    size_t slots = 5;
    size_t voters = 3;
    size_t rows = 3;
    Timing timing;
    bool versionedList = true;
    bool lossyNetwork = true;
    OwnershipProtocol rule = OwnershipProtocol::ListAndVoters;
    base::Duration leaseTimeToLive = std::chrono::seconds(10);
    uint64_t seed = 1;
    const ComponentFactory* parts = nullptr;
};

enum class FleetAction {
    // Time passes.
    Run,
    Crash,
    // A new process on the same instance.
    Restart,
    // The list drops the instance and a new one takes its place; the former process runs on, connected as before.
    Replace,
    // The same, and the former process is cut from its peers, and by chance from the service and the list.
    ReplaceAndCut,
    // The same, and the former process has died.
    ReplaceAndCrash,
    Pause,
    Resume,
    // These cut every process that runs in the slot, or has run there.
    CutFromPeers,
    CutFromService,
    CutFromList,
    // Mends all connections of all processes.
    Heal,
    StartOutage,
    EndOutage,
    Release,
    HandOver,
};

struct FleetCommand {
    FleetAction action = FleetAction::Run;
    size_t slot = 0;
    // How long the fleet runs after it.
    base::Duration then {};
};

class Fleet {
public:
    explicit Fleet(FleetOptions);
    ~Fleet();

    void perform(const FleetCommand&);
    void run(base::Duration);

    // Empty while no row ever had two users at once.
    const std::string& violation() const { return m_violation; }
    // Which process may use the row now, by its slot in the fleet; counts paused processes as not using.
    std::optional<size_t> userOf(size_t row) const;
    // Rows that changed hands without a release.
    int takeovers() const { return m_takeovers; }
    // The time, summed over rows, during which nobody could use a row; and all time observed.
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
        std::function<void()> act;
        bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };
    struct ListState {
        base::Duration since;
        uint64_t version;
        std::set<base::InstanceId> instances;
    };

    Process& start(size_t slot, const base::InstanceId&);
    std::shared_ptr<Process> sharedOf(const Process&) const;
    Process* findReachable(const Process& from, const base::InstanceId&);
    void replace(size_t slot);
    void releaseOrHandOver(Process&, bool release);
    void refreshAlive();
    void changeList(const std::function<void(std::set<base::InstanceId>&)>&);
    void at(base::Duration, std::function<void()>);
    // Runs on the process when it is next able to; never if it is dead.
    void deliver(const std::weak_ptr<Process>&, base::Duration at, std::function<void(Process&)>);
    void tick();
    void onHeartbeat(Process&);
    void readService(Process&);
    void onServiceRead(Process&, Exchange, const base::RangeReply& marks, const base::RangeReply& rows);
    void learnVoterSets(Process&, const VoterSets&);
    void readList(Process&);
    void queryVoters(Process&);
    void moveRows(Process&);
    void maintainVoterSet(Process&);
    void renewLease(Process&);
    void send(Process&, const Move&, bool takesOver);
    void commit(Process&, const base::Transaction&, std::function<void(Process&, const base::Outcome<base::TransactionReply>&)>);
    void read(Process&, std::function<void(Process&, Exchange, const base::RangeReply&)>);
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
    // Processes whose instance the list has dropped, and which still run.
    std::vector<std::shared_ptr<Process>> m_dropped;
    // Those of the slots and the dropped ones that live.
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
