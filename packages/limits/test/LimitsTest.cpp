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

// One command of the stateful property test: its kind, and two numbers whose meaning depends on the kind.
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
        fleet.submit(gateway, 1 + command.second % 100);
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
            fleet.drop(command.second % messages);
        break;
    case 7:
        if (messages)
            fleet.duplicate(command.second % messages);
        break;
    case 8:
    case 9:
        if (fleet.inFlightCount())
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
        fleet.broadcastHints();
        break;
    default:
        // Most commands are requests that arrive and are answered, so that the balances are used up.
        fleet.submit(gateway, 1 + command.second % 100);
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
        fleet.settleRemainingInFull();
        std::string byCharge = fleet.usesByCharge().firstViolation();
        if (!byCharge.empty())
            RC_FAIL("by charge: " + byCharge);
        std::string byAdmission = fleet.usesByAdmission().firstViolation(ChargeOptions {}.gatherWindow);
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

TEST(TokenBucket, LoweredBurstTruncatesTheBalanceAtOnce)
{
    TokenBucket bucket(limitsOf(10, 100), toNanoTokens(Tokens(100)), start);
    bucket.setLimits(limitsOf(10, 20), start);
    LONGS_EQUAL(20, wholeTokens(bucket.balanceAt(start)).value());
}

TEST(TokenBucket, SlicesSumToExactlyTheTotal)
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

// Guards against spending the burst twice at one instant. An account spends its burst, waits until the bucket is full
// and spends it again; then the first response ends early and returns most of its tokens. If they were simply added,
// they could be spent at the same instant as the second burst.
TEST(ShareHolder, LateRefundDoesNotAllowASecondBurst)
{
    ShareHolder holder(limitsOf(10, 100), start);
    Instant full = start + seconds(10);
    LONGS_EQUAL(100, holder.charge(ChargeId("a"), Tokens(100), Tokens(100), full).value());
    Instant fullAgain = full + seconds(10);
    LONGS_EQUAL(100, holder.charge(ChargeId("b"), Tokens(100), Tokens(100), fullAgain).value());
    LONGS_EQUAL(0, holder.refund(ChargeId("a"), Tokens(90), fullAgain).value());
    LONGS_EQUAL(0, holder.charge(ChargeId("c"), Tokens(1), Tokens(90), fullAgain).value());
}

TEST(ShareHolder, PromptRefundCanBeUsedAgain)
{
    ShareHolder holder(limitsOf(10, 100), start);
    Instant full = start + seconds(10);
    holder.charge(ChargeId("a"), Tokens(100), Tokens(100), full);
    LONGS_EQUAL(90, wholeTokens(holder.refund(ChargeId("a"), Tokens(90), full)).value());
    LONGS_EQUAL(0, holder.refund(ChargeId("a"), Tokens(90), full).value());
    LONGS_EQUAL(90, holder.charge(ChargeId("b"), Tokens(1), Tokens(100), full).value());
}

// Guards against double charges and lost tokens when messages are duplicated or reordered. A resent charge must not
// be taken twice, and a charge that arrives after its own return must take nothing, since no request would use the
// tokens.
TEST(ShareHolder, ChargeIsAppliedOnceEvenAfterItsReturn)
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

// Guards against exceeding a share's burst after a handover. The message with the previous holder's balance arrives
// five seconds late, when half of the burst has accrued at the new holder; added on top, more than the burst could be
// spent at once.
TEST(ShareHolder, LateHandoverDoesNotAddToAccruedTokens)
{
    ShareHolder target(limitsOf(10, 100), start);
    Instant late = start + seconds(5);
    LONGS_EQUAL(50, target.charge(ChargeId("a"), Tokens(50), Tokens(50), late).value());
    LONGS_EQUAL(50, wholeTokens(target.addHandedOver(toNanoTokens(Tokens(100)), late)).value());
    LONGS_EQUAL(50, target.charge(ChargeId("b"), Tokens(1), Tokens(100), late).value());
}

namespace {

// Charges and refunds one share at random. With `uncapped`, refunds are simply added to a plain token bucket.
std::string checkRefunds(bool uncapped)
{
    return counterexample({ .seed = 7, .maxSuccess = 1000 }, [uncapped] {
        ShareHolder holder(limitsOf(20, 50), start, 8);
        TokenBucket naive(limitsOf(20, 50), NanoTokens(0), start);
        WindowOracle oracle;
        oracle.addLimits(start, limitsOf(20, 50));
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
                bool granted = uncapped ? naive.take(cost, now) : holder.charge(id, cost, cost, now) == cost;
                int64_t taken = granted ? cost.value() : 0;
                if (taken)
                    open.push_back({ id, now, taken });
                continue;
            }
            Charge charge = open[command.second % open.size()];
            open.erase(open.begin() + command.second % open.size());
            int64_t unused = charge.taken * command.first / 100;
            if (uncapped)
                naive.add(toNanoTokens(Tokens(unused)), now);
            else
                holder.refund(charge.id, Tokens(unused), now);
            oracle.addUse(charge.at, charge.taken - unused);
        }
        for (const Charge& charge : open)
            oracle.addUse(charge.at, charge.taken);
        std::string found = oracle.firstViolation();
        if (!found.empty())
            RC_FAIL(found);
    });
}

} // namespace

TEST(ShareHolder, NetChargesStayWithinTheLimitsInEveryWindow)
{
    STRCMP_EQUAL("", checkRefunds(false).c_str());
}

TEST(ShareHolder, OracleDetectsUncappedRefunds)
{
    STRCMP_CONTAINS("allowed", checkRefunds(true).c_str());
}

TEST_GROUP(LimitsFleet) {};

TEST(LimitsFleet, EveryWindowHoldsUnderFaultsAndLimitChanges)
{
    STRCMP_EQUAL("", checkWindows(FleetFault::None, thorough).c_str());
}

TEST(LimitsFleet, OracleDetectsTakeoverThatStartsFull)
{
    STRCMP_CONTAINS("allowed", checkWindows(FleetFault::TakeoverStartsFull, thorough).c_str());
}

TEST(LimitsFleet, OracleDetectsSourceThatKeepsItsBalance)
{
    STRCMP_CONTAINS("allowed", checkWindows(FleetFault::SourceKeepsItsBalance, thorough).c_str());
}

TEST(LimitsFleet, OracleDetectsRepliesUsedAfterTheirReturn)
{
    STRCMP_CONTAINS("allowed", checkWindows(FleetFault::LateRepliesAreUsed, thorough).c_str());
}

// While all holders are up and messages arrive, a request is admitted at any gateway whenever the shares together
// have enough tokens.
TEST(LimitsFleet, RequestsAreAdmittedWhileTheSharesHaveTheTokens)
{
    CHECK_PROPERTY_WITH((PropertyOptions { .seed = 11, .maxSuccess = 500 }), [] {
        LimitsFleet fleet(limitsOf(30, 90));
        fleet.advance(seconds(3));
        TokenBucket exact(limitsOf(30, 90), toNanoTokens(Tokens(90)), fleet.now());
        for (const Command& command : *rc::gen::arbitrary<std::vector<Command>>()) {
            Tokens cost(1 + command.second % 60);
            int request = fleet.submit(command.first % 3, cost.value());
            fleet.deliverAll();
            Instant now = fleet.now();
            bool due = exact.take(cost, now);
            RC_ASSERT(admitted(fleet, request) == due);
            if (!due) {
                // Never earlier than a single bucket would have the tokens; the next test checks that it is also the
                // earliest time that works.
                RC_ASSERT(refusalOf(fleet, request)->retryAt.value() >= *exact.availableAt(cost, now));
            }
            // Advance only while no share can fill up, since a full share loses what it would accrue.
            Duration step = milliseconds(100) * (command.second % 5);
            if (exact.balanceAt(now + step) <= toNanoTokens(Tokens(30)))
                fleet.advance(step);
        }
    });
}

TEST(LimitsFleet, RetryAtIsTheEarliestSufficientInstant)
{
    auto retried = [](Duration early) {
        LimitsFleet fleet(limitsOf(31, 90));
        fleet.advance(milliseconds(777));
        Instant retryAt = *refusalOf(fleet, [&] { int request = fleet.submit(1, 50); fleet.deliverAll(); return request; }())->retryAt;
        fleet.advance(retryAt - early - fleet.now());
        int again = fleet.submit(1, 50);
        fleet.deliverAll();
        return admitted(fleet, again);
    };
    CHECK_TRUE(retried(Duration(0)));
    CHECK_FALSE(retried(Duration(1)));
}

// Two requests of one account gather from all shares at two gateways at once, and the tokens suffice for only one of
// them. If each took a part that the other needs, both would be refused although one could have run.
TEST(LimitsFleet, ConcurrentGathersDoNotBothFail)
{
    CHECK_PROPERTY_WITH((PropertyOptions { .seed = 12, .maxSuccess = 500 }), [] {
        LimitsFleet fleet(limitsOf(3, 90));
        fleet.advance(seconds(30));
        fleet.broadcastHints();
        int first = fleet.submit(0, 70);
        int second = fleet.submit(1, 70);
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

TEST(LimitsFleet, CostAboveTheTotalBurstHasItsOwnCode)
{
    LimitsFleet fleet(limitsOf(30, 90));
    int request = fleet.submit(0, 91);
    CHECK_TRUE(refusalOf(fleet, request)->code == RefusalCode::CostAboveBurst);
    CHECK_FALSE(refusalOf(fleet, request)->retryAt.has_value());
}

// A gateway crashes while the platform's service is down, so its share can't be taken over. Requests must still get
// what the other shares hold; above that they are refused with a count of unreachable shares instead of waiting until
// their deadline.
TEST(LimitsFleet, UnreachableHolderDisablesOnlyItsShare)
{
    LimitsFleet fleet(limitsOf(30, 90));
    fleet.advance(seconds(3));
    fleet.crash(2);
    auto submitAndWait = [&fleet](int64_t cost) {
        int request = fleet.submit(0, cost);
        for (int round = 0; round < 100; ++round) {
            fleet.deliverAll();
            fleet.advance(milliseconds(1));
        }
        return request;
    };
    CHECK_TRUE(admitted(fleet, submitAndWait(60)));
    int above = submitAndWait(10);
    const ChargeRefused* refusal = refusalOf(fleet, above);
    CHECK_TRUE(refusal != nullptr);
    LONGS_EQUAL(1, refusal->unreachableShares);
    CHECK_TRUE(refusal->retryAt.has_value());
}

// The replies to a charge and to its retransmission are both lost. The request must still be served from the other
// shares. The account may be charged once too often, but never too little.
TEST(LimitsFleet, LostRepliesCountAsSpentAndTheRequestContinues)
{
    LimitsFleet fleet(limitsOf(0, 90));
    fleet.setLimits(limitsOf(90, 90));
    fleet.advance(seconds(1));
    fleet.setLimits(limitsOf(0, 90));
    int request = fleet.submit(0, 30);
    for (int copy = 0; copy < 2; ++copy) {
        fleet.deliver(0);
        fleet.drop(0);
        fleet.advance(milliseconds(20));
    }
    fleet.deliverAll();
    CHECK_TRUE(admitted(fleet, request));
}

// A gateway pauses while the reply to a charge is in transit and resumes after the request's deadline. Using the
// reply would run a request that nobody waits for, on tokens of an earlier window.
TEST(LimitsFleet, ReplyAfterTheDeadlineIsNotUsed)
{
    ShareTable holder;
    ShareId share { ClientAccountId("farm"), 0 };
    holder.take(share, Epoch(1), limitsOf(10, 100), start);
    Instant now = start + seconds(10);
    ShareView view { InstanceId("g"), holder.hints(now).at(0), now };
    ChargeCoordinator coordinator({}, { RequestId("r"), ClientAccountId("farm"), Tokens(60), now + seconds(1) }, { view });
    auto asked = coordinator.start(now);
    ChargeReply reply = holder.onCharge(std::get<ChargeRequest>(asked.at(0).message), now);
    LONGS_EQUAL(static_cast<int>(ChargeResult::Granted), static_cast<int>(reply.result));
    auto given = coordinator.onReply(reply, now + seconds(2));
    CHECK_TRUE(std::get<ChargeRefused>(*coordinator.outcome()).code == RefusalCode::DeadlineExceeded);
    holder.onReturn(std::get<ChargeReturn>(given.at(0).message), now + seconds(2));
    LONGS_EQUAL(100, wholeTokens(holder.hints(now + seconds(2)).at(0).balance).value());
}
