#include "LimitsFleet.h"
#include "toucanstep/limits/AdmissionPolicy.h"
#include "toucanstep/testing/Property.h"

using namespace toucanstep::base;
using namespace toucanstep::limits;
using std::chrono::milliseconds;
using std::chrono::seconds;
using toucanstep::testing::counterexample;
using toucanstep::testing::PropertyOptions;

namespace {

const Instant start { std::chrono::hours(1) };

BucketLimits limitsOf(int64_t rate, int64_t burst) { return { Tokens(rate), Tokens(burst) }; }

const ChargeRefused* refusalOf(const LimitsFleet& fleet, int request)
{
    auto found = fleet.outcomes().find(request);
    return found == fleet.outcomes().end() ? nullptr : std::get_if<ChargeRefused>(&found->second);
}

bool admitted(const LimitsFleet& fleet, int request)
{
    auto found = fleet.outcomes().find(request);
    return found != fleet.outcomes().end() && std::holds_alternative<ChargeAdmitted>(found->second);
}

// One command of the stateful property: what happens, and three numbers that each command reads in its own way.
struct Command {
    int kind;
    int first;
    int second;
};

std::ostream& operator<<(std::ostream& stream, const Command& command)
{
    return stream << "{" << command.kind << "," << command.first << "," << command.second << "}";
}

void runCommand(LimitsFleet& fleet, const Command& command)
{
    int gateway = command.first % LimitsFleet::gatewayCount;
    size_t messages = fleet.pendingMessages();
    switch (command.kind) {
    case 0:
    case 1:
    case 2:
        fleet.offer(gateway, 1 + command.second % 100);
        break;
    case 3:
    case 4:
        fleet.deliverAll();
        break;
    case 5:
        if (messages)
            fleet.deliver(command.second % messages);
        break;
    case 6:
        if (messages)
            fleet.lose(command.second % messages);
        break;
    case 7:
        if (messages)
            fleet.duplicate(command.second % messages);
        break;
    case 8:
    case 9:
        if (fleet.openCount())
            fleet.settle(command.first, command.second % 1001);
        break;
    case 10:
        fleet.advance(Duration(command.second * 10'007));
        break;
    case 11:
        fleet.advance(milliseconds(command.second));
        break;
    case 12:
        fleet.crash(gateway);
        break;
    case 13:
        fleet.restart(gateway);
        break;
    case 14:
        fleet.replace(gateway);
        break;
    case 15:
        fleet.handOver(gateway, command.second % LimitsFleet::gatewayCount);
        break;
    case 16:
        fleet.setLimits(limitsOf(10 + command.first % 40, 10 + command.second % 80));
        break;
    case 17:
    case 18:
        fleet.spreadHints();
        break;
    default:
        // Most commands are requests that arrive and are answered, so that stocks are used up.
        fleet.offer(gateway, 1 + command.second % 100);
        fleet.deliverAll();
        break;
    }
}

auto commandGenerator()
{
    return rc::gen::build<Command>(rc::gen::set(&Command::kind, rc::gen::inRange(0, 34)), rc::gen::set(&Command::first, rc::gen::inRange(0, 100)),
        rc::gen::set(&Command::second, rc::gen::inRange(0, 400)));
}

std::string checkWindows(FleetFault fault, PropertyOptions options)
{
    return counterexample(options, [fault] {
        LimitsFleet fleet(limitsOf(50, 90), fault);
        fleet.advance(seconds(3));
        auto commands = *rc::gen::container<std::vector<Command>>(commandGenerator());
        for (const Command& command : commands)
            runCommand(fleet, command);
        fleet.deliverAll();
        fleet.settleRestInFull();
        std::string byCharge = fleet.usesByCharge().firstBreak();
        if (!byCharge.empty())
            RC_FAIL("by charge: " + byCharge);
        std::string byAdmission = fleet.usesByAdmission().firstBreak(ChargeOptions {}.gatherWindow);
        if (!byAdmission.empty())
            RC_FAIL("by admission: " + byAdmission);
    });
}

constexpr PropertyOptions thorough { .seed = 4, .maxSuccess = 1500, .maxSize = 150 };

} // namespace

namespace rc {

template <>
struct Arbitrary<Command> {
    static Gen<Command> arbitrary() { return commandGenerator(); }
};

} // namespace rc

TEST_GROUP(TokenBucket) {};

TEST(TokenBucket, AccruesToTheNanosecondAndStopsAtTheBurst)
{
    TokenBucket bucket(limitsOf(3, 10), NanoTokens(0), start);
    Instant ready = *bucket.availableAt(Tokens(1), start);
    LONGS_EQUAL(333'333'334, (ready - start).count());
    CHECK_FALSE(bucket.take(Tokens(1), ready - Duration(1)));
    CHECK_TRUE(bucket.take(Tokens(1), ready));
    LONGS_EQUAL(10, wholeTokens(bucket.balanceAt(ready + std::chrono::hours(24 * 365))).value());
    CHECK_FALSE(bucket.availableAt(Tokens(11), ready).has_value());
}

TEST(TokenBucket, ALoweredBurstCutsTheStockAtOnce)
{
    TokenBucket bucket(limitsOf(10, 100), toNanoTokens(Tokens(100)), start);
    bucket.setLimits(limitsOf(10, 20), start);
    LONGS_EQUAL(20, wholeTokens(bucket.balanceAt(start)).value());
}

TEST(TokenBucket, SlicesSumToExactlyTheWhole)
{
    CHECK_PROPERTY([] {
        auto limits = limitsOf(*rc::gen::inRange<int64_t>(0, 10000), *rc::gen::inRange<int64_t>(0, 10000));
        int count = *rc::gen::inRange(1, 6);
        BucketLimits sum;
        for (const auto& slice : splitLimits(limits, count)) {
            sum.tokensPerSecond += slice.tokensPerSecond;
            sum.burst += slice.burst;
        }
        RC_ASSERT(sum == limits);
    });
}

TEST_GROUP(ShareHolder) {};

// An account sends its burst, waits until the bucket is full again and sends the burst a second time. Now the first
// answer ends early and most of its tokens come back. If they were simply added, a third burst would run in the same
// instant as the second, and the account would have had twice its burst at once.
TEST(ShareHolder, TokensThatComeBackLateDoNotAllowASecondBurst)
{
    ShareHolder holder(limitsOf(10, 100), start);
    Instant full = start + seconds(10);
    LONGS_EQUAL(100, holder.charge(ChargeId("a"), Tokens(100), Tokens(100), full).value());
    Instant fullAgain = full + seconds(10);
    LONGS_EQUAL(100, holder.charge(ChargeId("b"), Tokens(100), Tokens(100), fullAgain).value());
    LONGS_EQUAL(0, holder.refund(ChargeId("a"), Tokens(90), fullAgain).value());
    LONGS_EQUAL(0, holder.charge(ChargeId("c"), Tokens(1), Tokens(90), fullAgain).value());
}

TEST(ShareHolder, TokensThatComeBackSoonCanBeUsedAgain)
{
    ShareHolder holder(limitsOf(10, 100), start);
    Instant full = start + seconds(10);
    holder.charge(ChargeId("a"), Tokens(100), Tokens(100), full);
    LONGS_EQUAL(90, wholeTokens(holder.refund(ChargeId("a"), Tokens(90), full)).value());
    LONGS_EQUAL(0, holder.refund(ChargeId("a"), Tokens(90), full).value());
    LONGS_EQUAL(90, holder.charge(ChargeId("b"), Tokens(1), Tokens(100), full).value());
}

// A caller's request is charged, the answer is lost and the gateway asks again. Were the second arrival charged too, the
// account would pay twice; were the return that overtook its charge forgotten, tokens that nobody used would be gone.
TEST(ShareHolder, EachChargeTakesOnceAlsoAfterItsReturn)
{
    ShareHolder holder(limitsOf(0, 100), start);
    holder.addHandedOver(toNanoTokens(Tokens(100)), start);
    LONGS_EQUAL(30, holder.charge(ChargeId("a"), Tokens(30), Tokens(30), start).value());
    LONGS_EQUAL(30, holder.charge(ChargeId("a"), Tokens(30), Tokens(30), start).value());
    LONGS_EQUAL(70, wholeTokens(holder.bucket().balanceAt(start)).value());
    holder.refund(ChargeId("late"), Tokens(30), start);
    LONGS_EQUAL(0, holder.charge(ChargeId("late"), Tokens(30), Tokens(30), start).value());
    LONGS_EQUAL(70, wholeTokens(holder.bucket().balanceAt(start)).value());
}

// A gateway leaves as planned and hands its share's balance on, but the message is held up for five seconds. By then the
// share has half filled up at its new holder. If the balance came on top of that, the account could use more than the
// share's burst in one instant.
TEST(ShareHolder, AStockThatIsHandedOverLateDoesNotComeOnTop)
{
    ShareHolder taker(limitsOf(10, 100), start);
    Instant late = start + seconds(5);
    LONGS_EQUAL(50, taker.charge(ChargeId("a"), Tokens(50), Tokens(50), late).value());
    LONGS_EQUAL(50, wholeTokens(taker.addHandedOver(toNanoTokens(Tokens(100)), late)).value());
    LONGS_EQUAL(50, taker.charge(ChargeId("b"), Tokens(1), Tokens(100), late).value());
}

namespace {

// Charges and refunds one share at random, with refunds as in the library or simply added.
std::string checkRefunds(bool simplyAdded)
{
    return counterexample({ .seed = 7, .maxSuccess = 1000 }, [simplyAdded] {
        ShareHolder holder(limitsOf(20, 50), start, 8);
        TokenBucket naive(limitsOf(20, 50), NanoTokens(0), start);
        WindowOracle oracle;
        oracle.limitsFrom(start, limitsOf(20, 50));
        struct Charge {
            ChargeId id;
            Instant at;
            int64_t taken;
        };
        std::vector<Charge> open;
        Instant now = start;
        int next = 0;
        for (const Command& command : *rc::gen::arbitrary<std::vector<Command>>()) {
            now += milliseconds(command.first * 10);
            if (command.kind < 12 || open.empty()) {
                ChargeId id(concat(next++));
                Tokens cost(1 + command.second % 50);
                bool granted = simplyAdded ? naive.take(cost, now) : holder.charge(id, cost, cost, now) == cost;
                int64_t taken = granted ? cost.value() : 0;
                if (taken)
                    open.push_back({ id, now, taken });
                continue;
            }
            Charge charge = open[command.second % open.size()];
            open.erase(open.begin() + command.second % open.size());
            int64_t unused = charge.taken * command.first / 100;
            if (simplyAdded)
                naive.add(toNanoTokens(Tokens(unused)), now);
            else
                holder.refund(charge.id, Tokens(unused), now);
            oracle.used(charge.at, charge.taken - unused);
        }
        for (const Charge& charge : open)
            oracle.used(charge.at, charge.taken);
        std::string found = oracle.firstBreak();
        if (!found.empty())
            RC_FAIL(found);
    });
}

} // namespace

TEST(ShareHolder, NetChargesKeepEveryWindow)
{
    STRCMP_EQUAL("", checkRefunds(false).c_str());
}

TEST(ShareHolder, TheOracleCatchesRefundsThatAreSimplyAdded)
{
    STRCMP_CONTAINS("allowed", checkRefunds(true).c_str());
}

TEST_GROUP(LimitsFleet) {};

TEST(LimitsFleet, EveryWindowHoldsUnderCrashReplaceLossCopiesReorderAndChanges)
{
    STRCMP_EQUAL("", checkWindows(FleetFault::None, thorough).c_str());
}

TEST(LimitsFleet, TheOracleCatchesATakeOverThatStartsFull)
{
    STRCMP_CONTAINS("allowed", checkWindows(FleetFault::TakeOverStartsFull, thorough).c_str());
}

TEST(LimitsFleet, TheOracleCatchesAGiverThatKeepsItsStock)
{
    STRCMP_CONTAINS("allowed", checkWindows(FleetFault::GiverKeepsItsStock, thorough).c_str());
}

TEST(LimitsFleet, TheOracleCatchesAnswersThatAreUsedAfterTheirReturn)
{
    STRCMP_CONTAINS("allowed", checkWindows(FleetFault::LateAnswersAreUsed, thorough).c_str());
}

// With all holders up and messages arriving, a caller within its account's rate is never refused: whenever the shares
// together have the tokens, some order of charges finds them, from whichever gateway the request comes.
TEST(LimitsFleet, NobodyIsRefusedWhileTheSharesHaveTheTokens)
{
    CHECK_PROPERTY_WITH((PropertyOptions { .seed = 11, .maxSuccess = 500 }), [] {
        LimitsFleet fleet(limitsOf(30, 90));
        fleet.advance(seconds(3));
        TokenBucket exact(limitsOf(30, 90), toNanoTokens(Tokens(90)), fleet.now());
        for (const Command& command : *rc::gen::arbitrary<std::vector<Command>>()) {
            Tokens cost(1 + command.second % 60);
            int request = fleet.offer(command.first % 3, cost.value());
            fleet.deliverAll();
            Instant now = fleet.now();
            bool due = exact.take(cost, now);
            RC_ASSERT(admitted(fleet, request) == due);
            if (!due) {
                // Never earlier than one bucket would have it; the test below shows that it is the first that will do.
                RC_ASSERT(refusalOf(fleet, request)->retryAt.value() >= *exact.availableAt(cost, now));
            }
            // Time passes only while no share can fill up, as a full share loses what it would accrue.
            Duration step = milliseconds(100) * (command.second % 5);
            if (exact.balanceAt(now + step) <= toNanoTokens(Tokens(30)))
                fleet.advance(step);
        }
    });
}

TEST(LimitsFleet, ARefusalNamesTheFirstInstantThatWouldDo)
{
    auto retried = [](Duration early) {
        LimitsFleet fleet(limitsOf(31, 90));
        fleet.advance(milliseconds(777));
        Instant retryAt = *refusalOf(fleet, [&] { int request = fleet.offer(1, 50); fleet.deliverAll(); return request; }())->retryAt;
        fleet.advance(retryAt - early - fleet.now());
        int again = fleet.offer(1, 50);
        fleet.deliverAll();
        return admitted(fleet, again);
    };
    CHECK_TRUE(retried(Duration(0)));
    CHECK_FALSE(retried(Duration(1)));
}

// Two callers of one account ask at two gateways at once; together they need less than there is, but each needs parts of
// all shares. If each took a part that the other needs, both would be refused although either could have run.
TEST(LimitsFleet, TwoGatheringsAtOnceDoNotBothFail)
{
    CHECK_PROPERTY_WITH((PropertyOptions { .seed = 12, .maxSuccess = 500 }), [] {
        LimitsFleet fleet(limitsOf(3, 90));
        fleet.advance(seconds(30));
        fleet.spreadHints();
        int first = fleet.offer(0, 70);
        int second = fleet.offer(1, 70);
        auto order = *rc::gen::container<std::vector<int>>(64, rc::gen::inRange(0, 100));
        for (int position : order) {
            if (fleet.pendingMessages())
                fleet.deliver(position % fleet.pendingMessages());
            fleet.advance(std::chrono::microseconds(200));
        }
        for (int round = 0; round < 100; ++round) {
            fleet.deliverAll();
            fleet.advance(milliseconds(1));
        }
        RC_ASSERT(admitted(fleet, first) != admitted(fleet, second));
    });
}

TEST(LimitsFleet, ACostAboveTheWholeBurstIsToldAsSuch)
{
    LimitsFleet fleet(limitsOf(30, 90));
    int request = fleet.offer(0, 91);
    CHECK_TRUE(refusalOf(fleet, request)->code == RefusalCode::CostAboveBurst);
    CHECK_FALSE(refusalOf(fleet, request)->retryAt.has_value());
}

// A gateway dies while the platform's service is down, so nobody may take its share. Callers of the account get what the
// other shares hold and are told that one share can't be asked, instead of waiting for it until their deadline.
TEST(LimitsFleet, AnUnreachableHolderCostsItsShareAndNoMore)
{
    LimitsFleet fleet(limitsOf(30, 90));
    fleet.advance(seconds(3));
    fleet.crash(2);
    auto offerAndWait = [&fleet](int64_t cost) {
        int request = fleet.offer(0, cost);
        for (int round = 0; round < 100; ++round) {
            fleet.deliverAll();
            fleet.advance(milliseconds(1));
        }
        return request;
    };
    CHECK_TRUE(admitted(fleet, offerAndWait(60)));
    int above = offerAndWait(10);
    const ChargeRefused* refusal = refusalOf(fleet, above);
    CHECK_TRUE(refusal != nullptr);
    LONGS_EQUAL(1, refusal->unreachableShares);
    CHECK_TRUE(refusal->retryAt.has_value());
}

// The answer to a charge is lost on the way back, and so is the answer to its repeat. The caller is still served from
// the other shares, and the account has paid once too often at most, never too little.
TEST(LimitsFleet, LostAnswersCountAsSpentAndTheRequestGoesOn)
{
    LimitsFleet fleet(limitsOf(0, 90));
    fleet.setLimits(limitsOf(90, 90));
    fleet.advance(seconds(1));
    fleet.setLimits(limitsOf(0, 90));
    int request = fleet.offer(0, 30);
    for (int copy = 0; copy < 2; ++copy) {
        fleet.deliver(0);
        fleet.lose(0);
        fleet.advance(milliseconds(20));
    }
    fleet.deliverAll();
    CHECK_TRUE(admitted(fleet, request));
}

// A gateway is paused while the answer to a charge is on its way. When it goes on, the caller has given up; if the answer
// were used, the request would run for nobody, on tokens of an earlier window.
TEST(LimitsFleet, AnAnswerAfterTheDeadlineIsNotUsed)
{
    ShareTable holder;
    ShareId share { ClientAccountId("farm"), 0 };
    holder.take(share, Epoch(1), limitsOf(10, 100), start);
    Instant now = start + seconds(10);
    ShareView view { InstanceId("g"), holder.hints(now).at(0), now };
    ChargeCoordinator planner({}, { RequestId("r"), ClientAccountId("farm"), Tokens(60), now + seconds(1) }, { view });
    auto asked = planner.start(now);
    ChargeReply reply = holder.onCharge(std::get<ChargeRequest>(asked.at(0).message), now);
    LONGS_EQUAL(static_cast<int>(ChargeResult::Granted), static_cast<int>(reply.result));
    auto given = planner.onReply(reply, now + seconds(2));
    CHECK_TRUE(std::get<ChargeRefused>(*planner.outcome()).code == RefusalCode::DeadlineExceeded);
    holder.onReturn(std::get<ChargeReturn>(given.at(0).message), now + seconds(2));
    LONGS_EQUAL(100, wholeTokens(holder.hints(now + seconds(2)).at(0).balance).value());
}
