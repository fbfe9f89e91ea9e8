#include "RelayedSending.h"

#include "toucanstep/base/LogLine.h"

namespace toucanstep::direct {

namespace {

bool goesToAll(const FleetReport& report)
{
    return std::holds_alternative<LoadReport>(report) || std::holds_alternative<PlanReport>(report);
}

} // namespace

RelayedSending::RelayedSending(io::EventLoop& loop, FleetTransport& transport, base::MetricsRegistry& metrics, std::function<ReportSender()> nextSender, ReportRelay relay)
    : m_loop(loop)
    , m_transport(transport)
    , m_metrics(metrics)
    , m_nextSender(std::move(nextSender))
    , m_relay(std::move(relay))
{
}

RelayedSending::~RelayedSending()
{
    m_loop.cancel(m_timer);
}

void RelayedSending::updatePeers(base::Duration reportInterval)
{
    std::set<base::InstanceId> ids;
    for (const auto& [id, endpoint] : m_transport.peers())
        ids.insert(id);
    bool wasActive = m_relay.isActive();
    m_relay.setPeers(ids, reportInterval, m_loop.now());
    if (m_relay.isActive() != wasActive)
        base::LogLine("report_relays").add("active", m_relay.isActive() ? "yes" : "no").add("gateways", ids.size() + 1);
}

void RelayedSending::sendToAll(const FleetReport& report)
{
    base::Instant now = m_loop.now();
    if (!m_relay.forwards(now)) {
        m_transport.sendToAll(report);
        return;
    }
    std::string encoded = encodeReport(report);
    m_transport.sendEncoded(m_relay.directReceivers(now), encoded);
    collect(report, encoded);
    logChoice();
}

void RelayedSending::onReceived(const FleetReport& report, const ReceivedReport& received)
{
    if (const auto* bundle = std::get_if<RelayedReports>(&report)) {
        handOn(*bundle);
        return;
    }
    if (const auto* load = std::get_if<LoadReport>(&report))
        m_relay.onLoadReport(*load, m_loop.now());
    if (!received.relayed && goesToAll(report))
        collect(report, received.encoded);
}

// Calls wait for the planner's notices, so plan reports are forwarded at once.
void RelayedSending::collect(const FleetReport& report, std::string_view encoded)
{
    m_relay.collect(senderOf(report), report.index(), std::string(encoded), std::holds_alternative<PlanReport>(report), m_loop.now());
    auto due = m_relay.bundlesDue();
    if (!due || (m_timerDue && *m_timerDue <= *due))
        return;
    m_loop.cancel(m_timer);
    m_timerDue = due;
    m_timer = m_loop.at(*due, [this] { sendBundles(); });
}

void RelayedSending::handOn(const RelayedReports& bundle)
{
    auto members = m_relay.handOnTo(bundle, m_loop.now());
    if (members.empty())
        return;
    m_metrics.count("toucanstep_relayed_bundles_total", "way=\"handed_on\"");
    m_transport.sendEncoded(members, encodeReport(RelayedReports { m_nextSender(), false, bundle.reports }));
}

void RelayedSending::sendBundles()
{
    m_timer = 0;
    m_timerDue.reset();
    for (auto& bundle : m_relay.takeBundles(m_loop.now())) {
        m_metrics.count("toucanstep_relayed_bundles_total", "way=\"sent\"");
        m_metrics.count("toucanstep_relayed_reports_total", {}, static_cast<int64_t>(bundle.reports.size()));
        m_transport.sendEncoded({ bundle.to }, encodeReport(RelayedReports { m_nextSender(), true, std::move(bundle.reports) }));
    }
}

void RelayedSending::logChoice()
{
    if (m_relay.entries() != m_loggedEntries) {
        m_loggedEntries = m_relay.entries();
        for (const auto& [domain, entry] : m_loggedEntries)
            base::LogLine("report_relay_chosen").add("to", domain).add("entry", entry);
        m_metrics.gauge("toucanstep_relay_domains", "", static_cast<double>(m_loggedEntries.size()));
    }
    size_t misses = m_relay.peersWithMisses(m_loop.now());
    if (misses != m_loggedMisses) {
        if (misses > m_loggedMisses)
            base::LogLine("relayed_reports_missed").add("peers", misses);
        m_loggedMisses = misses;
        m_metrics.gauge("toucanstep_relay_peers_with_misses", "", static_cast<double>(misses));
    }
}

} // namespace toucanstep::direct
