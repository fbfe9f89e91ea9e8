#include "FleetModel.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep::assignments;
using namespace toucanstep::assignments::test;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using toucanstep::base::Duration;
using toucanstep::base::toSeconds;

namespace {

FleetOptions reliableNetworkOptions(OwnershipProtocol rule = OwnershipProtocol::ListAndVoters)
{
    FleetOptions options;
    options.lossyNetwork = false;
    options.rule = rule;
    return options;
}

// A fleet in which every row has found its holder.
std::unique_ptr<Fleet> settledFleet(const FleetOptions& options)
{
    auto fleet = std::make_unique<Fleet>(options);
    fleet->run(seconds(40));
    for (size_t row = 0; row < options.rows; ++row)
        CHECK_TRUE(fleet->userOf(row).has_value());
    fleet->resetObservation();
    return fleet;
}

Duration untilUsable(Fleet& fleet, size_t row, Duration atMost)
{
    Duration start = fleet.now();
    while (!fleet.userOf(row) && fleet.now() - start < atMost)
        fleet.run(milliseconds(250));
    return fleet.now() - start;
}

} // namespace

TEST_GROUP(Scenarios) {};

// The key-value service is down for ten minutes and nothing else fails. With leases, every share lapses and callers
// within their rate are refused all over the fleet. Here nothing lapses, because holders hear the list and the voters.
TEST(Scenarios, AnOutageAloneStopsNoHolder)
{
    auto fleet = settledFleet(reliableNetworkOptions());
    fleet->perform({ FleetAction::StartOutage, 0, minutes(10) });
    CHECK_EQUAL(0, fleet->unusable().count());
    STRCMP_EQUAL("", fleet->violation().c_str());
}

// The list cannot be reached by one holder and the service is down for all. Callers would see its rows unused although
// the process is well; the gateways that hear it vouch for it.
TEST(Scenarios, AHolderWithoutListAndServiceContinuesOnVotesAlone)
{
    auto fleet = settledFleet(reliableNetworkOptions());
    fleet->perform({ FleetAction::CutFromList, *fleet->userOf(0), {} });
    fleet->perform({ FleetAction::StartOutage, 0, minutes(5) });
    CHECK_EQUAL(0, fleet->unusable().count());
}

// A holder dies while the service is down. Its own rows wait for the service's return, because nobody can write; the
// other rows stay in use, and afterwards the rows of the dead come back without two users.
TEST(Scenarios, ACrashInAnOutageStopsOnlyTheRowsOfTheCrashedHolder)
{
    auto fleet = settledFleet(reliableNetworkOptions());
    size_t dead = *fleet->userOf(0);
    std::vector<size_t> others;
    for (size_t row = 1; row < 3; ++row) {
        if (fleet->userOf(row) != dead)
            others.push_back(row);
    }
    fleet->perform({ FleetAction::StartOutage, 0, seconds(10) });
    fleet->perform({ FleetAction::ReplaceAndCrash, dead, {} });
    for (int step = 0; step < 240; ++step) {
        fleet->run(milliseconds(250));
        CHECK_FALSE(fleet->userOf(0).has_value());
        for (size_t row : others)
            CHECK_TRUE(fleet->userOf(row).has_value());
    }
    fleet->perform({ FleetAction::EndOutage, 0, {} });
    CHECK_COMPARE(toSeconds(untilUsable(*fleet, 0, minutes(2))), <, 30);
    STRCMP_EQUAL("", fleet->violation().c_str());
}

// A virtual machine is paused with a row in hand; the platform replaces it, another process takes the row, and the
// paused one goes on where it stopped. Two processes would admit the same account's tokens. The check of the time
// directly before each use stops the former holder at its first step.
TEST(Scenarios, AHolderThatWasPausedAndReplacedDoesNotUseItsRowAgain)
{
    auto fleet = settledFleet(reliableNetworkOptions());
    size_t holder = *fleet->userOf(0);
    fleet->perform({ FleetAction::Pause, holder, {} });
    fleet->perform({ FleetAction::Replace, holder, {} });
    CHECK_COMPARE(toSeconds(untilUsable(*fleet, 0, minutes(2))), <, 40);
    fleet->perform({ FleetAction::Resume, 0, seconds(30) });
    STRCMP_EQUAL("", fleet->violation().c_str());
}

// A pause of half a minute in the middle of an outage, on an instance that the list still shows. The list alone does not
// bring the rows back, because they could have moved; the voters, voters would have promised a taker, do.
TEST(Scenarios, APauseInAnOutageDoesNotStopAHolderForLong)
{
    auto fleet = settledFleet(reliableNetworkOptions());
    size_t holder = *fleet->userOf(0);
    fleet->perform({ FleetAction::StartOutage, 0, seconds(5) });
    fleet->perform({ FleetAction::Pause, holder, seconds(30) });
    fleet->perform({ FleetAction::Resume, 0, seconds(3) });
    CHECK_TRUE(fleet->userOf(0) == holder);
    STRCMP_EQUAL("", fleet->violation().c_str());
}

// The platform drops an instance that is cut from everything and runs on. Whoever still holds a connection to it would
// be served beside the new holder; it stops by its own clock before its rows move.
TEST(Scenarios, ADroppedProcessThatRunsOnStopsBeforeItsRowsMove)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        FleetOptions options = reliableNetworkOptions();
        options.seed = seed;
        auto fleet = settledFleet(options);
        size_t holder = *fleet->userOf(0);
        fleet->perform({ FleetAction::CutFromPeers, holder, {} });
        fleet->perform({ FleetAction::CutFromService, holder, {} });
        fleet->perform({ FleetAction::Replace, holder, seconds(60) });
        STRCMP_EQUAL("", fleet->violation().c_str());
        fleet->perform({ FleetAction::Heal, holder, seconds(60) });
        CHECK_TRUE(fleet->userOf(0).has_value());
        STRCMP_EQUAL("", fleet->violation().c_str());
    }
}

// A process restarts on the same instance while the service is down. Its predecessor's rows must not be used before one
// read, because it cannot know whether they were given away; they come back once the service does.
TEST(Scenarios, ARestartInAnOutageWaitsForOneReadOfTheService)
{
    auto fleet = settledFleet(reliableNetworkOptions());
    size_t holder = *fleet->userOf(0);
    fleet->perform({ FleetAction::StartOutage, 0, seconds(1) });
    fleet->perform({ FleetAction::Restart, holder, seconds(60) });
    CHECK_FALSE(fleet->userOf(0).has_value());
    fleet->perform({ FleetAction::EndOutage, 0, {} });
    CHECK_COMPARE(toSeconds(untilUsable(*fleet, 0, minutes(1))), <, 10);
    CHECK_TRUE(fleet->userOf(0) == holder);
}

// What each failure costs with leases that expire and with this rule: the share of rows x time without a user. The
// figures of docs/design/assignments.md come from this test.
TEST(Scenarios, ComparedWithExpiringLeases)
{
    struct Cost {
        double outage;
        double outageAndDeath;
        double recovery;
    };
    auto measure = [](OwnershipProtocol rule) {
        auto outage = settledFleet(reliableNetworkOptions(rule));
        outage->perform({ FleetAction::StartOutage, 0, seconds(60) });
        auto both = settledFleet(reliableNetworkOptions(rule));
        both->perform({ FleetAction::StartOutage, 0, seconds(10) });
        both->perform({ FleetAction::ReplaceAndCrash, *both->userOf(0), seconds(50) });
        auto death = settledFleet(reliableNetworkOptions(rule));
        death->perform({ FleetAction::ReplaceAndCrash, *death->userOf(0), {} });
        Cost cost { toSeconds(outage->unusable()) / toSeconds(outage->observed()), toSeconds(both->unusable()) / toSeconds(both->observed()), toSeconds(untilUsable(*death, 0, minutes(3))) };
        UT_PRINT(StringFromFormat("%s: unused rows x time in a 60 s outage %.3f, with a death in it %.3f; recovery after a death %.2f s", rule == OwnershipProtocol::LeaseExpiry ? "leases" : "list and voters", cost.outage, cost.outageAndDeath, cost.recovery));
        return cost;
    };
    Cost leases = measure(OwnershipProtocol::LeaseExpiry);
    Cost listAndVoters = measure(OwnershipProtocol::ListAndVoters);
    CHECK_EQUAL(0.0, listAndVoters.outage);
    CHECK_COMPARE(leases.outage, >, 0.5);
    CHECK_COMPARE(listAndVoters.outageAndDeath, <, leases.outageAndDeath);
}
