#include "OrderSimulation.h"

#include <algorithm>
#include <numeric>

namespace toucanstep::scheduling {

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto millisecond = std::chrono::milliseconds(1);
constexpr int64_t reportMilliseconds = 100;
constexpr int64_t passMilliseconds = 10;
// How often a gateway adds up what its peers have reported.
constexpr int64_t hearingMilliseconds = 50;
// A token keeps a slot for a millisecond.
constexpr int64_t minTokens = 100;
constexpr int64_t maxTokens = 700;
constexpr double meanSeconds = static_cast<double>(minTokens + maxTokens) / 2000;
constexpr auto settling = std::chrono::seconds(4);
const ModelQueue queue { base::ServiceId("engines"), base::ModelId("m") };

base::ClientAccountId accountName(size_t account) { return base::ClientAccountId("account-" + std::to_string(account)); }

} // namespace

std::vector<double> OrderResult::fairParts() const
{
    std::vector<double> parts(served.size(), 0);
    for (size_t priority = 0; priority < served.front().size(); ++priority) {
        double capacity = 0;
        std::vector<double> caps;
        for (size_t account = 0; account < served.size(); ++account) {
            capacity += served[account][priority];
            caps.push_back(parts[account] + arrived[account][priority]);
        }
        // The level up to which all accounts are filled, found by bisection.
        double low = 0;
        double high = 1e12;
        for (int step = 0; step < 100; ++step) {
            double level = (low + high) / 2;
            double needed = 0;
            for (size_t account = 0; account < parts.size(); ++account)
                needed += std::max(std::min(level, caps[account]) - parts[account], 0.0);
            (needed > capacity ? high : low) = level;
        }
        for (size_t account = 0; account < parts.size(); ++account)
            parts[account] = std::max(parts[account], std::min(low, caps[account]));
    }
    return parts;
}

double OrderResult::worstShare() const
{
    auto parts = fairParts();
    double worst = 1;
    for (size_t account = 0; account < parts.size(); ++account)
        worst = std::min(worst, std::accumulate(served[account].begin(), served[account].end(), 0.0) / std::max(parts[account], 1.0));
    return worst;
}

double OrderResult::inTime(size_t priority) const
{
    double got = 0;
    double all = 0;
    for (size_t account = 0; account < served.size(); ++account) {
        got += served[account][priority];
        all += arrived[account][priority];
    }
    return got / std::max(all, 1.0);
}

OrderSimulation::OrderSimulation(const OrderLoad& load, OrderPolicy policy)
    : m_load(load)
    , m_policy(policy)
    , m_random(load.seed)
{
    auto accounts = static_cast<size_t>(load.accounts);
    m_result.served.assign(accounts, std::vector<double>(load.classes.size(), 0));
    m_result.arrived = m_result.served;
    for (int64_t number = 0; number < load.gateways; ++number)
        m_gateways.push_back({ SlotShare("gateway-" + std::to_string(number)), AccountShares(), {}, {}, {}, {}, {}, std::vector<int64_t>(accounts, 0) });
    for (int64_t slot = 0; slot < load.slots; ++slot)
        m_slotFree.push(start);
}

QueuedCallCounts OrderSimulation::counts(const Gateway& gateway)
{
    QueuedCallCounts counts;
    for (const auto& call : gateway.calls)
        ++counts[queue][call.waiting.priority].inTime;
    return counts;
}

QueuedByAccount OrderSimulation::byAccount(const Gateway& gateway)
{
    QueuedByAccount counts;
    for (const auto& call : gateway.calls)
        ++counts[queue][call.waiting.priority][call.waiting.account];
    return counts;
}

void OrderSimulation::arrive(base::Instant now)
{
    double total = 0;
    std::vector<double> loads;
    for (const auto& each : m_load.classes) {
        loads.push_back(each.load);
        total += each.load;
    }
    m_due += total * static_cast<double>(m_load.slots) / meanSeconds / 1000;
    std::vector<double> weights(static_cast<size_t>(m_load.accounts), 1);
    weights.front() = m_load.flood;
    std::discrete_distribution<size_t> drawAccount(weights.begin(), weights.end());
    std::discrete_distribution<size_t> drawClass(loads.begin(), loads.end());
    for (; m_due >= 1; m_due -= 1) {
        Call call;
        call.account = drawAccount(m_random);
        size_t drawn = drawClass(m_random);
        size_t at = m_load.othersAtOneGateway && call.account ? 0 : std::uniform_int_distribution<size_t>(0, m_gateways.size() - 1)(m_random);
        call.arrived = now;
        call.startBy = now + millisecond * m_load.classes[drawn].latencyMilliseconds;
        base::Tokens cost(std::uniform_int_distribution<int64_t>(minTokens, maxTokens)(m_random));
        call.waiting = { queue, static_cast<int64_t>(drawn), QueueClass::InTime, accountName(call.account), cost, call.startBy, ++m_number };
        m_gateways[at].charged[call.account] += cost.value();
        m_gateways[at].calls.push_back(std::move(call));
        if (m_measuring)
            m_result.arrived[m_gateways[at].calls.back().account][drawn] += static_cast<double>(cost.value());
    }
}

void OrderSimulation::report(Gateway& gateway, size_t number, base::Instant now)
{
    gateway.reportedInFlight = static_cast<int64_t>(gateway.ends.size());
    gateway.reportedCounts = counts(gateway);
    gateway.reportedAccounts = byAccount(gateway);
    LimitReport report;
    TokensByAccount waiting;
    for (const auto& call : gateway.calls)
        waiting[call.waiting.account] += call.waiting.cost;
    for (size_t account = 0; account < gateway.charged.size(); ++account)
        report.charges.push_back({ accountName(account), base::Tokens(gateway.charged[account]) });
    for (auto& other : m_gateways) {
        if (&other != &gateway)
            other.accounts.onPeerServed(base::InstanceId("gateway-" + std::to_string(number)), report, waiting, now);
    }
}

void OrderSimulation::hearPeers(Gateway& gateway)
{
    QueuedCallCounts peers;
    QueuedByAccount peerAccounts;
    for (const auto& peer : m_gateways) {
        if (&peer == &gateway)
            continue;
        for (const auto& [key, priorities] : peer.reportedCounts) {
            for (const auto& [priority, calls] : priorities)
                peers[key][priority].inTime += calls.inTime;
        }
        for (const auto& [key, priorities] : peer.reportedAccounts) {
            for (const auto& [priority, accounts] : priorities) {
                for (const auto& [account, calls] : accounts)
                    peerAccounts[key][priority][account] += calls;
            }
        }
    }
    gateway.share.setPeers(std::move(peers));
    gateway.share.setPeerAccounts(std::move(peerAccounts));
}

std::vector<size_t> OrderSimulation::order(Gateway& gateway, base::Instant now) const
{
    std::vector<WaitingCall> waiting;
    WaitingAccounts accounts;
    for (const auto& call : gateway.calls) {
        waiting.push_back(call.waiting);
        accounts[queue].insert(call.waiting.account);
    }
    addWaitingAccounts(accounts, gateway.share.peerAccounts());
    gateway.accounts.onWaiting(std::move(accounts), now);
    gateway.share.setLeads(gateway.accounts.leads((minTokens + maxTokens) / 2.0));
    if (m_policy == OrderPolicy::Fair)
        return dispatchOrder(waiting, gateway.accounts);
    std::vector<size_t> indexes(waiting.size());
    std::iota(indexes.begin(), indexes.end(), size_t { 0 });
    std::sort(indexes.begin(), indexes.end(), [&](size_t left, size_t right) {
        return std::pair(waiting[left].priority, waiting[left].number) < std::pair(waiting[right].priority, waiting[right].number);
    });
    return indexes;
}

bool OrderSimulation::send(Gateway& gateway, const Call& call, base::Instant now)
{
    int64_t inFlight = 0;
    for (const auto& other : m_gateways)
        inFlight += &other == &gateway ? static_cast<int64_t>(other.ends.size()) : other.reportedInFlight;
    int64_t free = std::max<int64_t>(m_load.slots - inFlight, 0);
    int64_t priority = call.waiting.priority;
    bool fair = m_policy == OrderPolicy::Fair;
    double turnover = reportMilliseconds / 1000.0 / meanSeconds * (fair ? 1 - gateway.sent.moreUrgentPart(queue, priority, now) : 1);
    double slots = SlotShare::offeredSlots(free, inFlight, turnover);
    if (!free || !gateway.share.takeSlot(queue, { priority, QueueClass::InTime }, gateway.counts[queue], slots, now, fair ? &gateway.byAccount[queue][priority] : nullptr))
        return false;
    gateway.sent.onSent(queue, priority, now);
    base::Instant begins = std::max(now, m_slotFree.top());
    m_slotFree.pop();
    base::Instant ends = begins + millisecond * call.waiting.cost.value();
    m_slotFree.push(ends);
    gateway.ends.push_back(ends);
    gateway.accounts.onServed(call.waiting.account, call.waiting.cost, now);
    if (m_measuring && begins <= call.startBy)
        m_result.served[call.account][static_cast<size_t>(priority)] += static_cast<double>(call.waiting.cost.value());
    return true;
}

void OrderSimulation::pass(Gateway& gateway, base::Instant now)
{
    std::erase_if(gateway.ends, [&](base::Instant end) { return end <= now; });
    std::erase_if(gateway.calls, [&](const Call& call) {
        bool late = now > call.startBy;
        if (late)
            gateway.charged[call.account] -= call.waiting.cost.value();
        return late;
    });
    gateway.counts = counts(gateway);
    gateway.byAccount = byAccount(gateway);
    std::vector<uint64_t> sent;
    for (size_t index : order(gateway, now)) {
        if (!send(gateway, gateway.calls[index], now))
            break;
        sent.push_back(gateway.calls[index].waiting.number);
    }
    std::erase_if(gateway.calls, [&](const Call& call) { return std::find(sent.begin(), sent.end(), call.waiting.number) != sent.end(); });
}

OrderResult OrderSimulation::run()
{
    auto end = start + std::chrono::seconds(m_load.seconds);
    int64_t milliseconds = 0;
    for (base::Instant now = start; now < end; now += millisecond, ++milliseconds) {
        m_measuring = now >= start + settling;
        arrive(now);
        for (size_t number = 0; number < m_gateways.size(); ++number) {
            auto offset = static_cast<int64_t>(number);
            if ((milliseconds + offset * 7) % reportMilliseconds == 0)
                report(m_gateways[number], number, now);
            if ((milliseconds + offset * 3) % hearingMilliseconds == 0)
                hearPeers(m_gateways[number]);
            if ((milliseconds + offset * 3) % passMilliseconds == 0)
                pass(m_gateways[number], now);
        }
    }
    return std::move(m_result);
}

} // namespace toucanstep::scheduling
