// Datagrams between the gateways: reports go to every other gateway that the directory lists, and come from these only.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/direct/FleetReports.h"
#include "toucanstep/io/EventLoop.h"
#include "toucanstep/io/Socket.h"

#include <functional>
#include <map>

namespace toucanstep::direct {

class FleetLink {
public:
    using Handler = std::function<void(const FleetReport&)>;
    static base::Result<std::unique_ptr<FleetLink>> open(io::EventLoop&, const base::Endpoint&, Handler);
    ~FleetLink();

    void setPeers(std::map<base::InstanceId, base::Endpoint> peers) { m_peers = std::move(peers); }
    const std::map<base::InstanceId, base::Endpoint>& peers() const { return m_peers; }
    void sendToAll(const FleetReport&);
    void sendTo(const base::InstanceId&, const FleetReport&);
    int64_t dropped() const { return m_dropped; }

private:
    FleetLink(io::EventLoop&, io::Socket, Handler);
    void receive();

    io::EventLoop& m_loop;
    io::Socket m_socket;
    Handler m_handler;
    std::map<base::InstanceId, base::Endpoint> m_peers;
    // The last report of each kind (by its place in FleetReport) and sender.
    std::map<std::pair<base::InstanceId, size_t>, std::pair<Incarnation, int64_t>> m_last;
    int64_t m_dropped = 0;
};

} // namespace toucanstep::direct
