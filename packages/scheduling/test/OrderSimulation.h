// Gateways in front of the slots of one overloaded model, replayed with the decisions of this library or in arrival order.

#pragma once

#include "toucanstep/scheduling/AccountShares.h"
#include "toucanstep/scheduling/CallOrder.h"
#include "toucanstep/scheduling/PriorityWatch.h"
#include "toucanstep/scheduling/SlotShare.h"

#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace toucanstep::scheduling {

enum class OrderPolicy {
    Arrival,
    Fair,
};

struct SimulatedClass {
    int64_t latencyMilliseconds = 0;
    // Of the capacity.
    double load = 0;
};

struct OrderLoad {
    int64_t gateways = 1;
    int64_t accounts = 8;
    // By priority.
    std::vector<SimulatedClass> classes;
    // The first account's load, in loads of any other.
    double flood = 8;
    // All calls of the other accounts arrive at the first gateway.
    bool othersAtOneGateway = false;
    int64_t slots = 120;
    int64_t seconds = 12;
    uint32_t seed = 1;
};

struct OrderResult {
    // Tokens of calls that started in time and all that arrived, by account and priority.
    std::vector<std::vector<double>> served;
    std::vector<std::vector<double>> arrived;

    // What each account gets if priorities are served in turn, and each divides what is left evenly over what accounts have in all.
    std::vector<double> fairParts() const;
    // The lowest part of its fair part that an account has got.
    double worstShare() const;
    // Of the calls that arrived while it was measured; a little over 1 if calls that arrived before were served then.
    double inTime(size_t priority) const;
};

class OrderSimulation {
public:
    OrderSimulation(const OrderLoad&, OrderPolicy);

    OrderResult run();

private:
    struct Call {
        WaitingCall waiting;
        size_t account = 0;
        base::Instant arrived;
        base::Instant startBy;
    };
    struct Gateway {
        SlotShare share;
        AccountShares accounts;
        SentPriorities sent;
        std::vector<Call> calls;
        // As of the last pass.
        QueuedCallCounts counts;
        QueuedByAccount byAccount;
        std::vector<base::Instant> ends;
        std::vector<int64_t> charged;
        // As reported.
        int64_t reportedInFlight = 0;
        QueuedCallCounts reportedCounts;
        QueuedByAccount reportedAccounts;
    };

    void arrive(base::Instant now);
    void report(Gateway&, size_t number, base::Instant now);
    void hearPeers(Gateway&);
    void pass(Gateway&, base::Instant now);
    bool send(Gateway&, const Call&, base::Instant now);
    std::vector<size_t> order(Gateway&, base::Instant now) const;
    static QueuedCallCounts counts(const Gateway&);
    static QueuedByAccount byAccount(const Gateway&);

    OrderLoad m_load;
    OrderPolicy m_policy;
    OrderResult m_result;
    std::vector<Gateway> m_gateways;
    std::mt19937 m_random;
    std::priority_queue<base::Instant, std::vector<base::Instant>, std::greater<>> m_slotFree;
    double m_due = 0;
    uint64_t m_number = 0;
    bool m_measuring = false;
};

} // namespace toucanstep::scheduling
