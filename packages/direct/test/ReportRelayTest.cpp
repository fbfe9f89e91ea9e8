#include "toucanstep/direct/ReportRelay.h"

#include "RelayFleet.h"
#include "toucanstep/testing/Property.h"

#include <CppUTest/TestHarness.h>

using namespace toucanstep;
using namespace toucanstep::direct;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr size_t domains = 3;
constexpr base::Duration effectiveInterval = milliseconds(150);
// Until a relay that has died is replaced, and until members that a path does not reach get direct reports.
constexpr base::Duration recovery = milliseconds(1200);

ReportRelaySettings settingsFor(size_t minGateways)
{
    ReportRelaySettings settings;
    settings.enabled = true;
    settings.minGateways = minGateways;
    return settings;
}

// The gateway that forwards from one domain to another, by its own choice.
size_t exitOf(RelayFleet& fleet, const base::FailureDomain& from, const base::FailureDomain& to)
{
    for (size_t number = 0; number < fleet.size(); ++number) {
        if (fleet.isAlive(number) && fleet.domainOf(number) == from && fleet.relay(number).entries().contains(to))
            return number;
    }
    return fleet.size();
}

} // namespace

TEST_GROUP(ReportRelay)
{
    const base::FailureDomain from { "zone-0" };
    const base::FailureDomain to { "zone-1" };
};

// Guards against reports that cross to another domain once for every receiver: 27 gateways sent 4,860 datagrams each second.
TEST(ReportRelay, AReportCrossesEachPairOfDomainsOnce)
{
    RelayFleet fleet(domains, 9, settingsFor(24));
    fleet.run(seconds(2));
    fleet.crossedDatagrams = 0;
    fleet.run(seconds(1));
    CHECK_TRUE(fleet.crossedDatagrams > 0);
    CHECK_TRUE(fleet.crossedDatagrams <= 4860 / 9);
    CHECK_TRUE(fleet.longestSilence() <= effectiveInterval);
}

// Guards against another behaviour of the deployments that relays are not meant for.
TEST(ReportRelay, WithoutThePolicyOrInASmallFleetEachReportIsSentDirectly)
{
    ReportRelaySettings off = settingsFor(24);
    off.enabled = false;
    for (auto [perDomain, settings] : { std::pair(size_t(9), off), std::pair(size_t(7), settingsFor(24)) }) {
        RelayFleet fleet(domains, perDomain, settings);
        fleet.run(seconds(2));
        fleet.crossedDatagrams = 0;
        fleet.run(seconds(1));
        auto gateways = static_cast<int64_t>(fleet.size());
        LONGS_EQUAL(gateways * (gateways - static_cast<int64_t>(perDomain)) * 10, fleet.crossedDatagrams);
        CHECK_TRUE(fleet.relay(0).effectiveInterval() == RelayFleet::interval);
        CHECK_FALSE(fleet.relay(0).forwards(fleet.now()));
    }
}

// Guards against a domain that stays unheard because the gateway that forwards for it has died.
TEST(ReportRelay, ARelayThatDiesIsReplaced)
{
    RelayFleet fleet(domains, 4, settingsFor(6));
    fleet.run(seconds(2));
    size_t exit = exitOf(fleet, from, to);
    CHECK_TRUE(exit < fleet.size());
    fleet.kill(exit);
    base::Duration longest {};
    for (int part = 0; part < 100; ++part) {
        fleet.run(RelayFleet::step * 2);
        longest = std::max(longest, fleet.longestSilence());
    }
    CHECK_TRUE(exitOf(fleet, from, to) < fleet.size());
    CHECK_TRUE(fleet.longestSilence() <= effectiveInterval);
    // Otherwise limits would count the whole domain as silent, see AccountLimitsSettings::silentIntervals.
    CHECK_TRUE(longest <= effectiveInterval * 7 / 2);
}

// Guards against a relay that is heard but hears nobody, so that it has nothing to forward and nobody replaces it.
TEST(ReportRelay, ARelayThatHearsNobodyIsBypassed)
{
    RelayFleet fleet(domains, 4, settingsFor(6));
    fleet.run(seconds(2));
    size_t exit = exitOf(fleet, from, to);
    for (size_t other = 0; other < fleet.size(); ++other)
        fleet.cut(other, exit);
    fleet.run(recovery);
    for (size_t at = 0; at < fleet.size(); ++at) {
        for (size_t of = 0; of < fleet.size(); ++of)
            CHECK_TRUE(at == exit || at == of || fleet.silence(at, of) <= effectiveInterval);
    }
}

// Guards against a path that is cut in one direction behind the relay, where no gateway is silent for its own domain.
TEST(ReportRelay, GatewaysThatMissRelayedReportsGetDirectOnes)
{
    RelayFleet fleet(domains, 4, settingsFor(6));
    fleet.run(seconds(2));
    size_t exit = exitOf(fleet, from, to);
    for (size_t other = 0; other < fleet.size(); ++other) {
        if (fleet.domainOf(other) == to)
            fleet.cut(exit, other);
    }
    fleet.run(recovery);
    for (size_t at = 0; at < fleet.size(); ++at) {
        for (size_t of = 0; of < fleet.size(); ++of)
            CHECK_TRUE(at == of || (of == exit && fleet.domainOf(at) == to) || fleet.silence(at, of) <= effectiveInterval);
    }
}

// Guards against reports that go round between domains: a bundle is handed on once, and what has come in a bundle is not bundled.
TEST(ReportRelay, ABundleIsHandedOnOnce)
{
    RelayFleet fleet(domains, 4, settingsFor(6));
    fleet.run(seconds(2));
    RelayedReports bundle { { base::InstanceId("gateway-0"), Incarnation(1), 1 }, true, {} };
    LONGS_EQUAL(3, fleet.relay(1).handOnTo(bundle, fleet.now()).size());
    bundle.handOn = false;
    LONGS_EQUAL(0, fleet.relay(1).handOnTo(bundle, fleet.now()).size());
    ReportSender stranger { base::InstanceId("gateway-0"), Incarnation(1), 1'000'000, true };
    fleet.relay(1).takeBundles(fleet.now());
    fleet.relay(1).collect(stranger, 0, "report", true, fleet.now());
    CHECK_FALSE(fleet.relay(1).bundlesDue().has_value());
}

// Guards against bundles that are fragmented on their way and lost with any of their fragments.
TEST(ReportRelay, BundlesStayBelowTheSizeOfOneFrame)
{
    RelayFleet fleet(domains, 9, settingsFor(24));
    fleet.run(seconds(2));
    size_t exit = exitOf(fleet, from, to);
    ReportRelay& relay = fleet.relay(exit);
    relay.takeBundles(fleet.now());
    for (size_t number = 0; number < fleet.size(); ++number)
        relay.collect({ base::InstanceId("gateway-" + std::to_string(number)), Incarnation(1), 1'000'000, true }, 0, std::string(400, 'x'), false, fleet.now());
    size_t reports = 0;
    for (auto& bundle : relay.takeBundles(fleet.now())) {
        reports += bundle.to == relay.entries().at(to) ? bundle.reports.size() : 0;
        CHECK_TRUE(encodeReport(RelayedReports { { bundle.to, Incarnation(1), 1 }, true, bundle.reports }).size() <= 1472);
    }
    LONGS_EQUAL(9, reports);
}

// Guards against a fleet that an upgrade divides: builds without relays drop kinds of reports that they do not know.
TEST(ReportRelay, RelayedReportsAreSentOnlyToGatewaysThatStateThatTheyTakeThem)
{
    ReportRelay relay(base::InstanceId("own"), from, settingsFor(2));
    relay.setPeers({ base::InstanceId("old"), base::InstanceId("new") }, RelayFleet::interval, RelayFleet::start);
    for (auto [id, relays] : { std::pair("old", false), std::pair("new", true) }) {
        LoadReport report;
        report.sender = { base::InstanceId(id), Incarnation(1), 1, relays };
        report.domain = to;
        auto received = std::get<LoadReport>(*decodeReport(encodeReport(report)));
        CHECK_TRUE(received.sender.relays == relays);
        relay.onLoadReport(received, RelayFleet::start);
    }
    auto direct = relay.directReceivers(RelayFleet::start);
    CHECK_TRUE(direct == std::vector { base::InstanceId("old") });
    std::string unknown = encodeReport(UpstreamListReport { { base::InstanceId("old"), Incarnation(1), 1 }, {}, {} });
    CHECK_TRUE(decodeReport(unknown).has_value());
    // The kind is the first value of the header.
    unknown[2] = 99;
    CHECK_FALSE(decodeReport(unknown).has_value());
}

// Guards against an exit that stops forwarding because its own reports were missed, while other members still rely on it.
TEST(ReportRelay, AnExitWhoseReportsWereMissedStillForwards)
{
    ReportRelay relay(base::InstanceId("own"), from, settingsFor(2));
    relay.setPeers({ base::InstanceId("entry") }, RelayFleet::interval, RelayFleet::start);
    LoadReport report;
    report.sender = { base::InstanceId("entry"), Incarnation(1), 1, true };
    report.domain = to;
    base::Instant now = RelayFleet::start;
    for (int part = 0; part < 7; ++part, now += RelayFleet::interval) {
        relay.onLoadReport(report, now);
        LONGS_EQUAL(0, relay.directReceivers(now).size());
    }
    report.limits.silentPeers = { base::InstanceId("own") };
    relay.onLoadReport(report, now);
    LONGS_EQUAL(1, relay.directReceivers(now).size());
    LONGS_EQUAL(1, relay.peersWithMisses(now));
    CHECK_TRUE(relay.entries().contains(to));
}

// Guards against gateways that stay unheard after faults, and reports that are applied twice or after a newer one.
TEST(ReportRelay, AfterAnyFaultsEveryGatewayHearsEveryOther)
{
    testing::PropertyOptions options;
    options.maxSuccess = 60;
    CHECK_PROPERTY_WITH(options, [] {
        constexpr size_t gateways = 12;
        RelayFleet fleet(domains, gateways / domains, settingsFor(6));
        fleet.run(milliseconds(*rc::gen::inRange(0, 2000)));
        int faults = *rc::gen::inRange(1, 10);
        for (int fault = 0; fault < faults; ++fault) {
            auto one = *rc::gen::inRange<size_t>(0, gateways);
            auto other = *rc::gen::inRange<size_t>(0, gateways);
            switch (*rc::gen::inRange(0, 5)) {
            case 0:
                fleet.kill(one);
                break;
            case 1:
                if (!fleet.isAlive(one))
                    fleet.restart(one);
                break;
            case 2:
                fleet.suspend(one, milliseconds(*rc::gen::inRange(100, 3000)));
                break;
            case 3:
                fleet.cut(one, other);
                break;
            default:
                for (size_t at = 0; at < gateways; ++at) {
                    for (size_t of = 0; of < gateways; ++of) {
                        if (fleet.domainOf(at) == fleet.domainOf(one) && fleet.domainOf(of) == fleet.domainOf(other) && fleet.domainOf(at) != fleet.domainOf(of))
                            fleet.cut(at, of);
                    }
                }
            }
            fleet.run(milliseconds(*rc::gen::inRange(0, 1500)));
        }
        fleet.heal();
        fleet.run(recovery);
        for (int part = 0; part < 20; ++part) {
            RC_ASSERT(fleet.longestSilence() <= effectiveInterval * 7 / 2);
            fleet.run(RelayFleet::interval);
        }
        RC_ASSERT(fleet.misapplied == 0);
    });
}
