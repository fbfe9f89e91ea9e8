#include "toucanstep/scheduling/ShareClaim.h"

#include "ClaimFleet.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::scheduling;
using namespace toucanstep::scheduling::test;

namespace {

constexpr int64_t rate = 1000;
constexpr int64_t burst = 1000;
constexpr auto window = std::chrono::seconds(8);
constexpr auto longLease = std::chrono::minutes(10);
constexpr auto shortLease = std::chrono::seconds(6);
// Rate and burst over the window and the tenth by which the users let an account exceed them.
constexpr int64_t allowed = (8 * rate + burst) * 11 / 10;
constexpr double roundingError = 1e-9;

void runFlooded(ClaimFleet& fleet, base::Duration duration)
{
    for (int count = 0; count < duration / ClaimFleet::interval; ++count) {
        fleet.flood();
        fleet.step();
    }
}

// One event of a drawn history.
void disturb(ClaimFleet& fleet, size_t most)
{
    size_t number = *rc::gen::inRange<size_t>(0, fleet.size());
    size_t other = *rc::gen::inRange<size_t>(0, fleet.size());
    switch (*rc::gen::inRange(0, 14)) {
    case 0:
    case 1:
        fleet.setCut(number, other, true);
        break;
    case 2:
        fleet.setIsolated(number, true);
        break;
    case 3:
    case 4:
        for (size_t each = 0; each < fleet.size(); ++each)
            fleet.setCut(number, each, false);
        break;
    case 5:
    case 6:
        fleet.setReachesStore(number, false);
        break;
    case 7:
    case 8:
        fleet.setReachesStore(number, true);
        break;
    case 9:
        fleet.kill(number);
        break;
    case 10:
    case 11:
        fleet.start(number);
        break;
    case 12:
        if (fleet.size() < most)
            fleet.add();
        break;
    default:
        for (size_t each = 0; each < fleet.size(); ++each)
            fleet.setReachesStore(each, *rc::gen::inRange(0, 3) > 0);
        break;
    }
}

} // namespace

TEST_GROUP(ShareClaim) {};

TEST(ShareClaim, AStartingFleetSharesTheWholeRateWithinASecond)
{
    ClaimFleet fleet(4, rate, burst, longLease);
    fleet.run(std::chrono::seconds(1));
    for (size_t number = 0; number < 4; ++number)
        DOUBLES_EQUAL(0.25, fleet.share(number), roundingError);
}

// Guards against a share beside gateways that a list from before the claim does not show.
TEST(ShareClaim, AListThatIsOlderThanTheClaimGivesNoShare)
{
    base::Instant now { std::chrono::hours(1) };
    ShareClaim claim({});
    claim.onWritten(base::Revision(5), base::Revision(5), now + longLease, false, now);
    claim.setOthers({}, base::Revision(4), now);
    CHECK_FALSE(claim.canSettle(now));
    DOUBLES_EQUAL(0, claim.share(1, now), roundingError);
    claim.setOthers({}, base::Revision(5), now);
    CHECK_TRUE(claim.canSettle(now));
    DOUBLES_EQUAL(1, claim.share(1, now), roundingError);
}

// Guards against a gateway that spends after its unsettled claim was removed, since it has not read the list.
TEST(ShareClaim, AnUnsettledClaimCountsOnlyBesideAListThatWasConfirmedLately)
{
    base::Instant now { std::chrono::hours(1) };
    ShareClaimSettings settings;
    ShareClaim claim(settings);
    claim.onWritten(base::Revision(5), base::Revision(5), now + longLease, false, now);
    claim.setOthers({}, base::Revision(5), now);
    DOUBLES_EQUAL(1, claim.share(1, now + settings.maxListAge), roundingError);
    DOUBLES_EQUAL(0, claim.share(1, now + settings.maxListAge + ClaimFleet::interval), roundingError);
    claim.onSettled(base::Revision(6));
    DOUBLES_EQUAL(1, claim.share(1, now + settings.maxListAge + ClaimFleet::interval), roundingError);
}

// Guards against an acknowledgement by a digest of what was heard before the claim was written.
TEST(ShareClaim, ADigestAcknowledgesAClaimOnlyOnceOlderReportsAreForgotten)
{
    base::Instant now { std::chrono::hours(1) };
    AccountLimits limits({});
    limits.setSelf(base::InstanceId("edge-1"), now);
    LimitReport report;
    report.liveSetDigest = limits.report(Incarnation(1), true, now).liveSetDigest;
    CHECK_FALSE(limits.isAcknowledgedBy(report, now, now + ClaimFleet::interval));
    CHECK_TRUE(limits.isAcknowledgedBy(report, now, now + std::chrono::seconds(5)));
    report.liveSetDigest = 0;
    CHECK_FALSE(limits.isAcknowledgedBy(report, now, now + std::chrono::seconds(5)));
    report.acknowledged = { base::InstanceId("edge-1") };
    CHECK_TRUE(limits.isAcknowledgedBy(report, now, now + ClaimFleet::interval));
}

// Guards against a fleet that starts and gets nothing for the length of a lease because one process hangs before it is heard.
TEST(ShareClaim, AGatewayThatHangsAtTheFirstStartHoldsTheOthersUpForSeconds)
{
    ClaimFleet fleet(4, rate, burst, longLease);
    fleet.setIsolated(0, true);
    fleet.step();
    fleet.kill(0);
    fleet.run(std::chrono::seconds(5));
    CHECK_TRUE(fleet.sharesTogether() >= 0.75 - roundingError);
    fleet.start(0);
    fleet.run(std::chrono::seconds(5));
    CHECK_TRUE(fleet.sharesTogether() <= 1 + roundingError);
}

// Guards against shares of gateways whose keys have left the list being spent twice while they go on serving.
TEST(ShareClaim, GatewaysThatLoseTheStoreAndTheirPeersAreStillCounted)
{
    ClaimFleet fleet(4, rate, burst, longLease);
    runFlooded(fleet, std::chrono::seconds(5));
    for (size_t number : { 0, 1 }) {
        fleet.setReachesStore(number, false);
        fleet.setIsolated(number, true);
    }
    runFlooded(fleet, std::chrono::seconds(40));
    CHECK_TRUE(fleet.sharesTogether() <= 1 + roundingError);
    CHECK_TRUE(fleet.maxAdmittedWithin(window) <= allowed);
    CHECK_TRUE(fleet.maxAdmittedWithin(window) >= 7 * rate);
}

// Guards against the share of a gateway whose claim has ended being spent by one that hears it and by those that do not count it.
TEST(ShareClaim, APeerWithoutAShareHasNoneToSpendForOthers)
{
    ClaimFleet fleet(5, rate, burst, shortLease);
    runFlooded(fleet, std::chrono::seconds(10));
    fleet.setIsolated(0, true);
    for (size_t number : { 1, 2, 3 })
        fleet.setReachesStore(number, false);
    runFlooded(fleet, std::chrono::seconds(40));
    DOUBLES_EQUAL(0, fleet.share(1), roundingError);
    DOUBLES_EQUAL(0.5, fleet.share(0), roundingError);
    CHECK_TRUE(fleet.maxAdmittedWithin(window) <= allowed);
}

// Guards against a process that spends the whole rate because it knows the accounts before the other gateways.
TEST(ShareClaim, AGatewayThatStartsWithoutTheStoreSpendsNothing)
{
    ClaimFleet fleet(4, rate, burst, longLease);
    runFlooded(fleet, std::chrono::seconds(5));
    fleet.setReachesStore(3, false);
    fleet.setIsolated(3, true);
    fleet.start(3);
    runFlooded(fleet, std::chrono::seconds(5));
    DOUBLES_EQUAL(0, fleet.share(3), roundingError);
    CHECK_TRUE(fleet.maxAdmittedWithin(window) <= allowed);
}

// Guards against a rolling restart that costs the account its rate: a process continues its predecessor's claim.
TEST(ShareClaim, AProcessThatStartsAgainHasItsShareAtOnceThoughAPeerIsCutOff)
{
    ClaimFleet fleet(4, rate, burst, longLease);
    fleet.run(std::chrono::seconds(5));
    fleet.setIsolated(0, true);
    fleet.kill(3);
    fleet.run(std::chrono::seconds(2));
    fleet.start(3);
    fleet.step();
    DOUBLES_EQUAL(0.25, fleet.share(3), roundingError);
}

// Guards against an outage of the store that costs the accounts their rate.
TEST(ShareClaim, NothingChangesWhileTheStoreIsAway)
{
    ClaimFleet fleet(4, rate, burst, longLease);
    fleet.run(std::chrono::seconds(5));
    for (size_t number = 0; number < 4; ++number)
        fleet.setReachesStore(number, false);
    fleet.run(std::chrono::minutes(9));
    DOUBLES_EQUAL(1, fleet.sharesTogether(), roundingError);
}

TEST(ShareClaim, AMachineThatIsReplacedByAnotherNameLeavesPartOfItsShareToItAtOnce)
{
    ClaimFleet fleet(4, rate, burst, longLease);
    fleet.run(std::chrono::seconds(5));
    fleet.kill(3);
    fleet.add();
    fleet.run(std::chrono::seconds(2));
    // A fifth, less what the machine that is gone may spend beyond a fifth.
    DOUBLES_EQUAL(0.15, fleet.share(4), roundingError);
    fleet.run(longLease + std::chrono::seconds(20));
    DOUBLES_EQUAL(0.25, fleet.share(4), roundingError);
}

TEST(ShareClaim, TheSharesAddUpToNoMoreThanOneWhateverFails)
{
    CHECK_PROPERTY([] {
        ClaimFleet fleet(*rc::gen::inRange<size_t>(1, 5), rate, burst, shortLease);
        for (int count = 0; count < 120; ++count) {
            disturb(fleet, 7);
            int steps = *rc::gen::inRange(1, 30);
            for (int step = 0; step < steps; ++step) {
                fleet.step();
                RC_ASSERT(fleet.sharesTogether() <= 1 + roundingError);
            }
        }
    });
}

TEST(ShareClaim, NoHistoryOfListsCutsAndRestartsAdmitsMoreThanTheLimit)
{
    CHECK_PROPERTY([] {
        ClaimFleet fleet(*rc::gen::inRange<size_t>(1, 5), rate, burst, shortLease);
        for (int count = 0; count < 40; ++count) {
            disturb(fleet, 6);
            runFlooded(fleet, ClaimFleet::interval * *rc::gen::inRange(1, 30));
        }
        RC_ASSERT(fleet.maxAdmittedWithin(window) <= allowed);
    });
}

// Guards against a second burst for an account that leaves the desired state and comes back: its totals began anew, and peers took
// what they fell by for a refund.
TEST(ShareClaim, AnAccountThatLeavesAndComesBackGetsNoMoreThanItsLimit)
{
    constexpr int64_t largeBurst = 8000;
    for (bool inTurn : { false, true }) {
        ClaimFleet fleet(4, rate, largeBurst, longLease);
        runFlooded(fleet, std::chrono::seconds(20));
        for (size_t round = 0; round < 8; ++round) {
            auto changes = [&](size_t number) { return !inTurn || number == round % 4; };
            for (size_t number = 0; number < 4; ++number) {
                if (changes(number))
                    fleet.setAccount(number, stateWith(0, 0));
            }
            runFlooded(fleet, ClaimFleet::interval * 3);
            for (size_t number = 0; number < 4; ++number) {
                if (changes(number))
                    fleet.setAccount(number, stateWith(rate, largeBurst));
            }
            runFlooded(fleet, std::chrono::seconds(4));
        }
        CHECK_TRUE(fleet.maxAdmittedWithin(window) <= (8 * rate + largeBurst) * 11 / 10);
    }
}
