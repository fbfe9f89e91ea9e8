// Decides which reports go from one failure domain to another, through which gateways.
//
// Load pattern: a fleet in several failure domains whose gateways all report to each other, with bytes between the domains being
// expensive. A load report then crosses each pair of domains once for every receiver. Here it crosses it once: the members of a
// domain send their reports to each other, and one of them, the exit, collects them and sends them in bundles to one gateway of
// each other domain, the entry, which hands them on inside its domain. Reports are forwarded unchanged, so that what depends on their
// sender, its start and its sequence keeps its meaning. A bundle is handed on once and never relayed any further.
//
// Exit and entry are chosen by rendezvous hash for each ordered pair of domains, among the gateways that were heard within three and
// a half intervals, so that the next one takes over without a message. Gateways that disagree about the choice forward
// twice or send directly; receivers drop what they have had. A report is sent directly, as without relays, to a gateway whose domain is
// unknown, which is not heard, which has not stated that it takes bundles, or which has stated that it does not hear this gateway.
// The last of these covers every path that loses reports without anyone being silent, for example a link that is cut in one direction.

#pragma once

#include "toucanstep/direct/FleetReports.h"
#include "toucanstep/direct/Imports.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace toucanstep::direct {

struct ReportRelaySettings {
    // There is more than one failure domain, and the deployment's policies allow relays.
    bool enabled = false;
    // In a smaller fleet a longer way costs more than the bytes that it saves.
    size_t minGateways = 24;
    // The exit collects reports for this long: bundles of a few reports, at a third of the usual interval.
    base::Duration collectingTime = std::chrono::milliseconds(30);
    // The delay of a relayed report, at most: collecting, two hops more, and a busy processor at each.
    base::Duration addedDelay = std::chrono::milliseconds(50);
    // Without a report for so many intervals, which is three lost ones in a row, a gateway counts as silent.
    double silentIntervals = 3.5;
    // How long a gateway that has missed relayed reports gets direct ones. The time doubles with each further miss, up to the longest.
    base::Duration directTime = std::chrono::seconds(2);
    base::Duration longestDirectTime = std::chrono::seconds(60);
    // Gateways learn at different times that the fleet has become smaller than `minGateways`; they forward for others until then.
    base::Duration forwardingAfterwards = std::chrono::seconds(5);
    // Payload of a bundle: a datagram of this size is not fragmented on an Ethernet link.
    size_t bundleBytes = 1400;
};

// Reports arrive several times and in any order: of each sender and kind of report, only newer ones than the last are applied.
class NewestReports {
public:
    bool accept(const ReportSender&, size_t kind);

private:
    std::map<std::pair<base::InstanceId, size_t>, std::pair<Incarnation, int64_t>> m_last;
};

struct RelayedBundle {
    base::InstanceId to;
    std::vector<std::string> reports;
};

class ReportRelay {
public:
    ReportRelay(base::InstanceId self, base::FailureDomain own, ReportRelaySettings);

    // The other gateways of the fleet, and the interval at which each reports.
    void setPeers(const std::set<base::InstanceId>&, base::Duration reportInterval, base::Instant now);
    // This gateway's own reports go through relays where that is possible.
    bool isActive() const { return m_active; }
    // This gateway takes bundles and forwards reports of its domain; stated in its reports.
    bool forwards(base::Instant now) const { return now < m_forwardsUntil; }
    // The interval within which reports arrive, the way through relays included.
    base::Duration effectiveInterval() const { return m_active ? m_interval + m_settings.addedDelay : m_interval; }

    void onLoadReport(const LoadReport&, base::Instant now);
    // Chooses exits and entries anew and returns the peers to which this gateway sends its next report itself. Called once for each
    // report that goes to all.
    std::vector<base::InstanceId> directReceivers(base::Instant now);

    // An encoded report that this gateway has sent or received directly from a member of its domain. An urgent one is forwarded at once.
    void collect(const ReportSender&, size_t kind, std::string report, bool urgent, base::Instant now);
    // When takeBundles() is due.
    std::optional<base::Instant> bundlesDue() const { return m_due; }
    std::vector<RelayedBundle> takeBundles(base::Instant now);
    // The members to which this gateway hands on a bundle that has come from another domain.
    std::vector<base::InstanceId> handOnTo(const RelayedReports&, base::Instant now) const;

    // The other domains for which this gateway is the exit, with their entries.
    const std::map<base::FailureDomain, base::InstanceId>& entries() const { return m_entries; }
    // Peers that get direct reports because they have missed relayed ones.
    size_t peersWithMisses(base::Instant now) const;

private:
    struct Peer {
        base::FailureDomain domain;
        Incarnation incarnation;
        base::Instant heardAt;
        bool relays = false;
        bool leaving = false;
        // Its last report says that it does not hear this gateway.
        bool missesSelf = false;
        // Since when this gateway's reports reach it by relays only.
        std::optional<base::Instant> relayedSince;
        base::Instant directUntil;
        base::Duration directTime {};
    };

    bool isHeard(const Peer&, base::Instant now) const;
    bool isRelay(const Peer&, base::Instant now) const;
    void onMiss(Peer&, base::Instant now);
    // A gateway that was suspended knows nothing about the paths of its reports.
    void noteTime(base::Instant now);
    void choosePaths(base::Instant now);
    // Between the reports of this gateway, so that a silent relay is replaced in time.
    void chooseNewPaths(base::Instant now);

    base::InstanceId m_self;
    base::FailureDomain m_own;
    ReportRelaySettings m_settings;
    base::Duration m_interval = minLoadReportInterval;
    bool m_active = false;
    base::Instant m_forwardsUntil;
    base::Instant m_lastTime;
    base::Instant m_chosenAt;
    std::map<base::InstanceId, Peer> m_peers;
    // Domains whose exit, another gateway, hears this one; and those for which this gateway is the exit, with their entries.
    std::set<base::FailureDomain> m_relayedByOthers;
    std::map<base::FailureDomain, base::InstanceId> m_entries;
    struct Collected {
        std::pair<Incarnation, int64_t> order;
        std::string report;
    };
    // The newest report of each sender and kind.
    std::map<std::pair<base::InstanceId, size_t>, Collected> m_collected;
    std::optional<base::Instant> m_due;
};

} // namespace toucanstep::direct
