// Listens on an IPv4 number and hands on each connection that is accepted, from a thread of its own.
//
// libmicrohttpd could listen itself, but stopping only that (MHD_quiesce_daemon) races with its own threads in 0.9.75 and
// can end the process.

#pragma once

#include "toucanstep/base/Result.h"

#include <functional>
#include <netinet/in.h>
#include <string>
#include <thread>

namespace toucanstep::formats::internal {

class Acceptor {
public:
    using OnAccepted = std::function<void(int descriptor, const sockaddr_in& caller)>;

    Acceptor() = default;
    ~Acceptor();
    Acceptor(const Acceptor&) = delete;
    Acceptor& operator=(const Acceptor&) = delete;

    // Opens the port, 0 for one that the system chooses. Connections wait until run().
    base::Result<uint16_t> listen(const std::string& address, uint16_t port);
    // `onAccepted` owns the descriptor and is called from the acceptor's thread.
    void run(OnAccepted onAccepted);
    // Connections are refused from here on. Safe to call from any thread but the acceptor's, and more than once.
    void stop();

private:
    void accept();

    int m_listener = -1;
    int m_stopEvent = -1;
    OnAccepted m_onAccepted;
    std::thread m_thread;
};

} // namespace toucanstep::formats::internal
