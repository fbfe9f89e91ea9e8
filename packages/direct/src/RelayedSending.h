// Sends reports to all gateways, directly or through relays, and forwards those of others; see ReportRelay, which decides.

#pragma once

#include "FleetTransport.h"
#include "toucanstep/base/Metrics.h"
#include "toucanstep/direct/ReportRelay.h"

namespace toucanstep::direct {

class RelayedSending {
public:
    // `nextSender` gives the header of the next report of this gateway.
    RelayedSending(io::EventLoop&, FleetTransport&, base::MetricsRegistry&, std::function<ReportSender()> nextSender, ReportRelay);
    ~RelayedSending();

    // After each change of the transport's peers.
    void updatePeers(base::Duration reportInterval);
    const ReportRelay& relay() const { return m_relay; }
    // For the headers of this gateway's reports.
    bool statesRelays() const { return m_relay.forwards(m_loop.now()); }
    void sendToAll(const FleetReport&);
    // Each report that the transport has accepted.
    void onReceived(const FleetReport&, const ReceivedReport&);

private:
    void collect(const FleetReport&, std::string_view encoded);
    void handOn(const RelayedReports&);
    void sendBundles();
    void logChoice();

    io::EventLoop& m_loop;
    FleetTransport& m_transport;
    base::MetricsRegistry& m_metrics;
    std::function<ReportSender()> m_nextSender;
    ReportRelay m_relay;
    std::map<base::FailureDomain, base::InstanceId> m_loggedEntries;
    size_t m_loggedMisses = 0;
    std::optional<base::Instant> m_timerDue;
    io::EventLoop::TimerId m_timer = 0;
};

} // namespace toucanstep::direct
