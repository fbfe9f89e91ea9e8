// Exchanges reports between gateways as datagrams. Reports from senders that are not in the peer list are dropped.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/direct/ReportRelay.h"
#include "toucanstep/io/EventLoop.h"
#include "toucanstep/io/Socket.h"

#include <functional>
#include <map>

namespace toucanstep::direct {

const ReportSender& senderOf(const FleetReport&);

struct ReceivedReport {
    // The report as its sender has encoded it.
    std::string_view encoded;
    // It was part of a bundle.
    bool relayed = false;
};

class FleetTransport {
public:
    // A bundle comes before the reports in it.
    using Handler = std::function<void(const FleetReport&, const ReceivedReport&)>;
    static base::Result<std::unique_ptr<FleetTransport>> open(io::EventLoop&, const base::Endpoint&, Handler);
    ~FleetTransport();

    void setPeers(std::map<base::InstanceId, base::Endpoint> peers) { m_peers = std::move(peers); }
    const std::map<base::InstanceId, base::Endpoint>& peers() const { return m_peers; }
    void sendToAll(const FleetReport&);
    void sendTo(const base::InstanceId&, const FleetReport&);
    void sendEncoded(const std::vector<base::InstanceId>&, std::string_view encoded);
    int64_t dropped() const { return m_dropped; }

private:
    FleetTransport(io::EventLoop&, io::Socket, Handler);
    void receive();
    void accept(const ReceivedReport&);

    io::EventLoop& m_loop;
    io::Socket m_socket;
    Handler m_handler;
    std::map<base::InstanceId, base::Endpoint> m_peers;
    NewestReports m_newest;
    int64_t m_dropped = 0;
};

} // namespace toucanstep::direct
