// An HTTP server on an ephemeral port that can be taken down, so that connections are refused, and brought back on that port.

#pragma once

#include "toucanstep/formats/HttpServer.h"

#include <mutex>

namespace toucanstep::fakes::internal {

class RestartableServer {
public:
    explicit RestartableServer(formats::HttpServer::Handler);
    ~RestartableServer();
    RestartableServer(const RestartableServer&) = delete;
    RestartableServer& operator=(const RestartableServer&) = delete;

    std::string url() const;
    uint16_t port() const { return m_port; }
    // While down, running exchanges are cut and connections refused. Waits for the server's threads, so it must not be
    // called from one of them, nor under a lock that the handler takes.
    void setDown(bool down);
    void stop() { setDown(true); }

private:
    void open(uint16_t port);
    void holdPort();

    const formats::HttpServer::Handler m_handler;
    uint16_t m_port = 0;
    std::mutex m_mutex;
    std::unique_ptr<formats::HttpServer> m_server;
    int m_placeholder = -1;
};

} // namespace toucanstep::fakes::internal
