// A TCP connection on an event loop: bytes come in through a listener, and writes that the system does not take are kept.

#pragma once

#include "toucanstep/io/EventLoop.h"
#include "toucanstep/io/SendBuffer.h"
#include "toucanstep/io/Socket.h"

#include <memory>
#include <string_view>

namespace toucanstep::io {

enum class CloseCause {
    // The peer ended its side in order: all that it sent has been heard.
    Orderly,
    // Reset, timed out or not reached, or a write has failed: bytes may be missing.
    Broken,
};

// Hears one connection. Calls come on the loop's thread; the connection may be closed or released within any of them.
class ConnectionListener {
public:
    virtual ~ConnectionListener() = default;
    // Only for a connection that was opened by this side.
    virtual void onConnected() { }
    virtual void onBytes(std::string_view) = 0;
    // The peer sends nothing more, or the connection broke. Comes at most once, and not after close().
    virtual void onPeerClosed(CloseCause) = 0;
    // A part of what the system did not take at once has been handed to it.
    virtual void onTaken() { }
    // All that was written has been handed to the system.
    virtual void onDrained() { }
};

class Connection : public std::enable_shared_from_this<Connection> {
public:
    enum class Origin {
        Accepted,
        Opened,
    };
    // The listener must outlive the connection or close() it.
    static std::shared_ptr<Connection> start(EventLoop&, Socket, Origin, ConnectionListener*);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Hands to the system what it takes at once and keeps the rest. Ignored after close().
    void write(std::string_view);
    size_t unsentBytes() const { return m_unsent.size(); }
    bool connected() const { return m_connected; }
    // Neither side has closed it.
    bool isOpen() const { return static_cast<bool>(m_socket); }
    // See io::setUnacknowledgedTimeout.
    void setUnacknowledgedTimeout(base::Duration);

    // Without reading, a peer that goes is still noticed.
    void setReading(bool);
    // While held back, what the peer has sent waits, and so does its orderly end behind it; a broken connection is still noticed.
    void holdBack(bool);
    // Reads once while it is held back.
    void readPiece(size_t most);
    // Ends it at once; what is unsent is dropped. The listener hears nothing more.
    void close();
    // From now on close() resets the connection, which tells the peer that bytes are missing.
    void resetOnClose();
    // Ends this side once all is handed to the system, and the connection once the peer has acknowledged all. Until then it lives even if
    // nobody holds it. What the peer sends is not read.
    void closeWhenDrained();

private:
    Connection(EventLoop&, Socket, Origin, ConnectionListener*);
    enum class Owner {
        Holders,
        Loop,
    };
    void watch(Owner);
    void onEvents(uint32_t events);
    void finishConnecting();
    void readOnce(size_t most);
    void flush();
    void noteSendFailure();
    void peerGone(CloseCause);
    void endSending();
    void closeOnceAcknowledged();
    uint32_t wantedEvents() const;
    void updateEvents();

    EventLoop& m_loop;
    Socket m_socket;
    ConnectionListener* m_listener;
    SendBuffer m_unsent;
    bool m_connected = false;
    bool m_reading = true;
    bool m_heldBack = false;
    bool m_closing = false;
    // The peer has reset the connection, or it has timed out.
    bool m_sendFailed = false;
    uint32_t m_events = 0;
    EventLoop::TimerId m_acknowledgementTimer = 0;
};

} // namespace toucanstep::io
