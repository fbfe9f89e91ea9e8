// Exchanges reports between gateways as datagrams. Reports from senders that are not in the peer list are dropped.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/direct/FleetReports.h"
#include "toucanstep/io/EventLoop.h"
#include "toucanstep/io/Socket.h"

#include <functional>
#include <map>

namespace toucanstep::direct {

class FleetTransport {
public:
    using Handler = std::function<void(const FleetReport&)>;
    static base::Result<std::unique_ptr<FleetTransport>> open(io::EventLoop&, const base::Endpoint&, Handler);
    ~FleetTransport();

    void setPeers(std::map<base::InstanceId, base::Endpoint> peers) { m_peers = std::move(peers); }
    const std::map<base::InstanceId, base::Endpoint>& peers() const { return m_peers; }
    void sendToAll(const FleetReport&);
    void sendTo(const base::InstanceId&, const FleetReport&);
    int64_t dropped() const { return m_dropped; }

private:
    FleetTransport(io::EventLoop&, io::Socket, Handler);
    void receive();

    io::EventLoop& m_loop;
    io::Socket m_socket;
    Handler m_handler;
    std::map<base::InstanceId, base::Endpoint> m_peers;
    // Incarnation and sequence of the last report per sender and kind (index in FleetReport).
    std::map<std::pair<base::InstanceId, size_t>, std::pair<Incarnation, int64_t>> m_lastReceived;
    int64_t m_dropped = 0;
};

} // namespace toucanstep::direct
