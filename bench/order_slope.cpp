// What the decisions on waiting calls cost: microseconds of each, at fleets of 4, 33 and 350 gateways in front of 1,200 upstreams
// with 300 models and 64 client accounts, of which 40 slots' worth of calls wait per model.

#include "toucanstep/scheduling/AccountShares.h"
#include "toucanstep/scheduling/CallOrder.h"
#include "toucanstep/scheduling/ReturnSchedule.h"
#include "toucanstep/scheduling/SlotShare.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

using namespace toucanstep;
using namespace toucanstep::scheduling;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr size_t models = 300;
constexpr size_t accounts = 64;
constexpr size_t waitingCalls = 12'000;

ModelQueue queueOf(size_t number) { return { base::ServiceId("engines"), base::ModelId("model-" + std::to_string(number % models)) }; }
base::ClientAccountId accountOf(size_t number) { return base::ClientAccountId("account-" + std::to_string(number % accounts)); }

template <typename Work>
double microseconds(int times, Work work)
{
    auto begin = std::chrono::steady_clock::now();
    for (int time = 0; time < times; ++time)
        work(time);
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count() / times;
}

LimitReport reportOf(int64_t total)
{
    LimitReport report;
    report.incarnation = Incarnation(1);
    for (size_t account = 0; account < accounts; ++account)
        report.charges.push_back({ accountOf(account), base::Tokens(total) });
    return report;
}

void measure(size_t gateways)
{
    size_t own = std::max<size_t>(waitingCalls / gateways, 1);
    std::vector<WaitingCall> calls;
    WaitingAccounts waiting;
    QueuedByAccount peers;
    QueuedCallCounts peerCounts;
    for (size_t number = 0; number < waitingCalls; ++number) {
        auto priority = static_cast<int64_t>(number % 3);
        if (number < own) {
            calls.push_back({ queueOf(number), priority, QueueClass::InTime, accountOf(number * 7), base::Tokens(500), start + std::chrono::milliseconds(number), number });
            waiting[queueOf(number)].insert(accountOf(number * 7));
        } else {
            ++peers[queueOf(number)][priority][accountOf(number * 7)];
            ++peerCounts[queueOf(number)][priority].inTime;
        }
    }
    AccountShares shares;
    double pass = microseconds(50, [&](int time) {
        WaitingAccounts all = waiting;
        addWaitingAccounts(all, peers);
        shares.onWaiting(std::move(all), start + std::chrono::milliseconds(time));
        shares.leads(500);
        shares.onServed(calls[dispatchOrder(calls, shares).front()].account, base::Tokens(500), start);
    });
    double report = microseconds(2000, [&](int time) {
        size_t peer = static_cast<size_t>(time) % gateways;
        shares.onPeerServed(base::InstanceId("gateway-" + std::to_string(peer)), reportOf(time), {}, start);
    });
    double encoding = microseconds(2000, [&](int time) { reportOf(time); });
    SlotShare slots("gateway-0");
    slots.setPeers(peerCounts);
    slots.setPeerAccounts(peers);
    double slot = microseconds(20'000, [&](int time) {
        auto number = static_cast<size_t>(time);
        CallsByAccount rivals { { accountOf(number), 3 }, { accountOf(number + 1), 2 } };
        slots.takeSlot(queueOf(number), { time % 3, QueueClass::InTime }, { { time % 3, { 5, 0 } } }, 10, start + std::chrono::milliseconds(time), &rivals);
    });
    ReturnSchedule returns;
    double refusal = microseconds(20'000, [&](int time) {
        returns.nextReturn(queueOf(static_cast<size_t>(time)), { time % 3, 40, 50, 0.1, start + std::chrono::seconds(20) }, start + std::chrono::milliseconds(time));
    });
    std::printf("gateways %4zu, waiting here %5zu: pass %8.1f us, of it for each call %5.2f us; report of a peer %6.2f us; slot %5.2f us; return %5.2f us\n", gateways, calls.size(), pass, pass / static_cast<double>(calls.size()), std::max(report - encoding, 0.0), slot, refusal);
}

} // namespace

int main()
{
    for (size_t gateways : { 4, 33, 350 })
        measure(gateways);
    return 0;
}
