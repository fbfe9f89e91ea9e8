#include "toucanstep/scheduling/AccountShares.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::scheduling;

namespace {

constexpr base::Instant start { std::chrono::hours(1) };
constexpr auto second = std::chrono::seconds(1);
const ModelQueue queue { base::ServiceId("engines"), base::ModelId("m") };
const base::ClientAccountId busy("busy");
const base::ClientAccountId quiet("quiet");
const base::InstanceId peer("peer");

LimitReport reportOf(int64_t incarnation, int64_t total, bool complete = true)
{
    LimitReport report;
    report.incarnation = Incarnation(incarnation);
    report.charges = { { busy, base::Tokens(total) } };
    report.complete = complete;
    return report;
}

} // namespace

TEST_GROUP(AccountSharesTest)
{
    AccountShares shares;

    double lead() const { return shares.counter(busy) - shares.counter(quiet); }
    void waits(std::set<base::ClientAccountId> accounts, base::Instant now) { shares.onWaiting({ { queue, std::move(accounts) } }, now); }
};

// Guards against credit for a time in which an account sent nothing.
TEST(AccountSharesTest, AnAccountThatReturnsIsRaisedToTheLowestWaitingOne)
{
    waits({ busy }, start);
    for (int call = 0; call < 100; ++call)
        shares.onServed(busy, base::Tokens(1000), start);
    waits({ busy, quiet }, start);
    DOUBLES_EQUAL(0, lead(), 1e-6);
}

// Guards against an account that was served while nothing waited being held back later for all of that.
TEST(AccountSharesTest, TheLeadOfAnAccountThatDoesNotWaitDecays)
{
    shares.onServed(busy, base::Tokens(1'000'000), start);
    waits({ busy, quiet }, start + 12 * second);
    CHECK_COMPARE(lead(), <, 1'000'000 * 0.01);
    CHECK_COMPARE(lead(), >, 0);
}

// Guards against a lost report, whose charges the next one has to bring.
TEST(AccountSharesTest, PeersServiceIsTheDifferenceOfTheirTotals)
{
    waits({ busy, quiet }, start);
    shares.onPeerServed(peer, reportOf(1, 500'000), {}, start);
    DOUBLES_EQUAL(0, lead(), 1e-6);
    shares.onPeerServed(peer, reportOf(1, 500'700, false), {}, start);
    DOUBLES_EQUAL(700, lead(), 1e-6);
    shares.onPeerServed(peer, reportOf(1, 500'900, false), {}, start);
    DOUBLES_EQUAL(900, lead(), 1e-6);
}

// Guards against the calls that an account has waiting being counted as service.
TEST(AccountSharesTest, CallsThatWaitAtAPeerAreNoService)
{
    waits({ busy, quiet }, start);
    shares.onPeerServed(peer, reportOf(1, 0), {}, start);
    shares.onPeerServed(peer, reportOf(1, 1000), { { busy, base::Tokens(1000) } }, start);
    DOUBLES_EQUAL(0, lead(), 1e-6);
    shares.onPeerServed(peer, reportOf(1, 1000), { { busy, base::Tokens(400) } }, start);
    DOUBLES_EQUAL(600, lead(), 1e-6);
}

// Guards against a restarted peer, whose totals begin anew, lowering or raising counters.
TEST(AccountSharesTest, ARestartedPeerChangesNothing)
{
    waits({ busy, quiet }, start);
    shares.onPeerServed(peer, reportOf(1, 500), {}, start);
    shares.onPeerServed(peer, reportOf(1, 800), {}, start);
    shares.onPeerServed(peer, reportOf(2, 5, false), {}, start);
    shares.onPeerServed(peer, reportOf(2, 100), {}, start);
    DOUBLES_EQUAL(300, lead(), 1e-6);
}

// Guards against refunds that give an account more than it had when it began to wait.
TEST(AccountSharesTest, RefundsOfEarlierChargesGiveNoCredit)
{
    shares.onPeerServed(peer, reportOf(1, 5000), {}, start);
    waits({ quiet }, start);
    shares.onServed(quiet, base::Tokens(100), start);
    waits({ quiet, busy }, start);
    shares.onPeerServed(peer, reportOf(1, 0), {}, start);
    DOUBLES_EQUAL(0, lead(), 1e-6);
}

// Guards against a corrupt report changing the order.
TEST(AccountSharesTest, AbsurdTotalsAreIgnoredAndCounted)
{
    waits({ busy, quiet }, start);
    shares.onPeerServed(peer, reportOf(1, 0), {}, start);
    LONGS_EQUAL(1, shares.onPeerServed(peer, reportOf(1, -7), {}, start));
    LONGS_EQUAL(1, shares.onPeerServed(peer, reportOf(1, int64_t { 1 } << 60), {}, start));
    DOUBLES_EQUAL(0, lead(), 1e-6);
}
