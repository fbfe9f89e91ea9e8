#include "FleetTransport.h"

#include "toucanstep/base/LogLine.h"

#include <array>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace toucanstep::direct {

namespace {

constexpr size_t maxDatagramBytes = 64 * 1024;
// Limits the work per wakeup, so that a flood of datagrams does not starve calls.
constexpr int maxDatagramsPerWakeup = 32;

} // namespace

const ReportSender& senderOf(const FleetReport& report)
{
    return std::visit([](const auto& kind) -> const ReportSender& { return kind.sender; }, report);
}

base::Result<std::unique_ptr<FleetTransport>> FleetTransport::open(io::EventLoop& loop, const base::Endpoint& endpoint, Handler handler)
{
    BOOST_LEAF_AUTO(socket, io::bindDatagrams(endpoint));
    return std::unique_ptr<FleetTransport>(new FleetTransport(loop, std::move(socket), std::move(handler)));
}

FleetTransport::FleetTransport(io::EventLoop& loop, io::Socket socket, Handler handler)
    : m_loop(loop)
    , m_socket(std::move(socket))
    , m_handler(std::move(handler))
{
    m_loop.watch(m_socket.descriptor(), EPOLLIN, [this](uint32_t) { receive(); });
}

FleetTransport::~FleetTransport()
{
    m_loop.unwatch(m_socket.descriptor());
}

void FleetTransport::sendToAll(const FleetReport& report)
{
    if (m_peers.empty())
        return;
    std::string bytes = encodeReport(report);
    for (const auto& [id, endpoint] : m_peers)
        io::sendDatagram(m_socket, endpoint, bytes);
}

void FleetTransport::sendTo(const base::InstanceId& id, const FleetReport& report)
{
    auto peer = m_peers.find(id);
    if (peer != m_peers.end())
        io::sendDatagram(m_socket, peer->second, encodeReport(report));
}

void FleetTransport::sendEncoded(const std::vector<base::InstanceId>& receivers, std::string_view encoded)
{
    for (const auto& id : receivers) {
        auto peer = m_peers.find(id);
        if (peer != m_peers.end())
            io::sendDatagram(m_socket, peer->second, encoded);
    }
}

void FleetTransport::receive()
{
    thread_local std::array<char, maxDatagramBytes> buffer;
    for (int count = 0; count < maxDatagramsPerWakeup; ++count) {
        ssize_t received = recv(m_socket.descriptor(), buffer.data(), buffer.size(), 0);
        if (received < 0)
            return;
        accept({ std::string_view(buffer.data(), static_cast<size_t>(received)), false });
    }
}

void FleetTransport::accept(const ReceivedReport& received)
{
    auto report = decodeReport(received.encoded);
    const auto* bundle = report ? std::get_if<RelayedReports>(&*report) : nullptr;
    if (!report || !m_peers.contains(senderOf(*report).instance) || (bundle && received.relayed)) {
        ++m_dropped;
        return;
    }
    // Datagrams may be reordered: drop all but the newest. A bundle has no order, but the reports in it have.
    if (!bundle && !m_newest.accept(senderOf(*report), report->index()))
        return;
    m_handler(*report, received);
    if (!bundle)
        return;
    for (const auto& encoded : bundle->reports)
        accept({ encoded, true });
}

} // namespace toucanstep::direct
