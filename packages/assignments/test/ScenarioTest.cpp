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

FleetOptions reliableNetworkOptions(OwnershipProtocol protocol = OwnershipProtocol::ListAndVoters)
{
    FleetOptions options;
    options.lossyNetwork = false;
    options.protocol = protocol;
    return options;
}

// Returns a fleet in which every row has a holder.
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

// Guards against rows expiring during a ten-minute outage of the key-value service. With leases, every share would
// expire and callers within their rate would be refused throughout the fleet. Here the list and the voters keep the
// holders in use.
TEST(Scenarios, AnOutageAloneStopsNoHolder)
{
    auto fleet = settledFleet(reliableNetworkOptions());
    fleet->perform({ FleetAction::StartOutage, 0, minutes(10) });
    CHECK_EQUAL(0, fleet->unusable().count());
    STRCMP_EQUAL("", fleet->violation().c_str());
}

// One holder cannot reach the list while the service is down. Its rows must stay in use, because the gateways that
// receive its requests vouch for it.
TEST(Scenarios, AHolderWithoutListAndServiceContinuesOnVotesAlone)
{
    auto fleet = settledFleet(reliableNetworkOptions());
    fleet->perform({ FleetAction::CutFromList, *fleet->userOf(0), {} });
    fleet->perform({ FleetAction::StartOutage, 0, minutes(5) });
    CHECK_EQUAL(0, fleet->unusable().count());
}

// A holder dies while the service is down. Its rows stay unused until the service returns, because nothing can be
// written; all other rows stay in use. Afterwards the rows of the dead holder recover without two users.
TEST(Scenarios, ACrashInAnOutageStopsOnlyTheRowsOfTheCrashedHolder)
{
    auto fleet = settledFleet(reliableNetworkOptions());
    size_t crashed = *fleet->userOf(0);
    std::vector<size_t> others;
    for (size_t row = 1; row < 3; ++row) {
        if (fleet->userOf(row) != crashed)
            others.push_back(row);
    }
    fleet->perform({ FleetAction::StartOutage, 0, seconds(10) });
    fleet->perform({ FleetAction::ReplaceAndCrash, crashed, {} });
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

// A virtual machine is paused while holding a row, the platform replaces it, another process takes the row over, and
// the paused one resumes. Both would then admit the same account's tokens. Checking the time directly before each use
// stops the previous holder at its first step.
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

// A holder whose instance is still listed pauses for 30 seconds during an outage. The list alone does not restore use,
// because the rows could have moved; the voters do, since they would have promised any taker.
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

// The platform drops an instance that is disconnected but keeps running. Clients still connected to it would be served
// alongside the new holder, so it must stop by its own clock before its rows move.
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

// A process restarts on the same instance while the service is down. It must read the service once before using its
// predecessor's rows, because they may have been reassigned. The rows are usable again once the service returns.
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

// Measures the fraction of row-time without a user for each failure, with expiring leases and with this protocol. The
// figures in docs/design/assignments.md come from this test.
TEST(Scenarios, ComparedWithExpiringLeases)
{
    struct Cost {
        double outage;
        double outageAndCrash;
        double recovery;
    };
    auto measure = [](OwnershipProtocol protocol) {
        auto outage = settledFleet(reliableNetworkOptions(protocol));
        outage->perform({ FleetAction::StartOutage, 0, seconds(60) });
        auto both = settledFleet(reliableNetworkOptions(protocol));
        both->perform({ FleetAction::StartOutage, 0, seconds(10) });
        both->perform({ FleetAction::ReplaceAndCrash, *both->userOf(0), seconds(50) });
        auto crash = settledFleet(reliableNetworkOptions(protocol));
        crash->perform({ FleetAction::ReplaceAndCrash, *crash->userOf(0), {} });
        Cost cost { toSeconds(outage->unusable()) / toSeconds(outage->observed()), toSeconds(both->unusable()) / toSeconds(both->observed()), toSeconds(untilUsable(*crash, 0, minutes(3))) };
        UT_PRINT(StringFromFormat("%s: fraction of row-time unused in a 60 s outage %.3f, with a crash during it %.3f; recovery after a crash %.2f s", protocol == OwnershipProtocol::LeaseExpiry ? "leases" : "list and voters", cost.outage, cost.outageAndCrash, cost.recovery));
        return cost;
    };
    Cost leases = measure(OwnershipProtocol::LeaseExpiry);
    Cost listAndVoters = measure(OwnershipProtocol::ListAndVoters);
    CHECK_EQUAL(0.0, listAndVoters.outage);
    CHECK_COMPARE(leases.outage, >, 0.5);
    CHECK_COMPARE(listAndVoters.outageAndCrash, <, leases.outageAndCrash);
}
