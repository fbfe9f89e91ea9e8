#include "toucanstep/io/Connection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace toucanstep::io {

namespace {

// One read takes at most this much, so that one fast peer does not hold up the others of the loop.
constexpr size_t readBytes = 32 * 1024;
// Between two looks at whether a peer has acknowledged all.
constexpr auto acknowledgementPoll = std::chrono::milliseconds(20);

// Whether the peer has all that was sent; also where the system does not say.
bool hasAcknowledgedAll(const Socket& socket)
{
    // The end of the stream counts as a byte.
    constexpr int endBytes = 1;
    int bytes = 0;
    return ioctl(socket.descriptor(), SIOCOUTQ, &bytes) || bytes <= endBytes;
}

// After a failed send: whether the connection still stands.
bool isTransient(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOBUFS || error == ENOMEM;
}

} // namespace

std::shared_ptr<Connection> Connection::start(EventLoop& loop, Socket socket, Origin origin, ConnectionListener* listener)
{
    std::shared_ptr<Connection> connection(new Connection(loop, std::move(socket), origin, listener));
    connection->watch(Owner::Holders);
    return connection;
}

Connection::Connection(EventLoop& loop, Socket socket, Origin origin, ConnectionListener* listener)
    : m_loop(loop)
    , m_socket(std::move(socket))
    , m_listener(listener)
    , m_connected(origin == Origin::Accepted)
{
}

Connection::~Connection()
{
    close();
}

void Connection::watch(Owner owner)
{
    m_events = wantedEvents();
    m_loop.watch(m_socket.descriptor(), m_events, [weak = weak_from_this(), strong = owner == Owner::Loop ? shared_from_this() : nullptr](uint32_t events) {
        if (auto self = weak.lock())
            self->onEvents(events);
    });
}

uint32_t Connection::wantedEvents() const
{
    uint32_t events = m_heldBack ? 0U : EPOLLRDHUP;
    if (!m_connected || !m_unsent.empty())
        events |= EPOLLOUT;
    if (m_connected && m_reading && !m_heldBack)
        events |= EPOLLIN;
    return events;
}

void Connection::updateEvents()
{
    uint32_t wanted = wantedEvents();
    if (!m_socket || wanted == m_events)
        return;
    m_events = wanted;
    m_loop.modify(m_socket.descriptor(), wanted);
}

void Connection::setReading(bool reading)
{
    m_reading = reading;
    updateEvents();
}

void Connection::holdBack(bool heldBack)
{
    m_heldBack = heldBack;
    updateEvents();
}

void Connection::readPiece(size_t most)
{
    if (m_socket && m_connected)
        readOnce(most);
}

void Connection::close()
{
    if (!m_socket)
        return;
    // The loop may be its only owner.
    auto self = weak_from_this().lock();
    m_loop.cancel(m_acknowledgementTimer);
    m_loop.unwatch(m_socket.descriptor());
    m_socket = Socket();
    m_listener = nullptr;
    m_unsent.clear();
}

void Connection::resetOnClose()
{
    linger option { 1, 0 };
    if (m_socket)
        setsockopt(m_socket.descriptor(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void Connection::setUnacknowledgedTimeout(base::Duration timeout)
{
    if (m_socket)
        io::setUnacknowledgedTimeout(m_socket, timeout);
}

void Connection::closeWhenDrained()
{
    m_listener = nullptr;
    m_closing = true;
    // A request that comes now stays unread, so that its sender may repeat it.
    m_reading = false;
    m_heldBack = false;
    if (!m_socket)
        return;
    m_loop.unwatch(m_socket.descriptor());
    watch(Owner::Loop);
    if (m_unsent.empty())
        endSending();
}

// Closing a socket with unread bytes, or one that bytes still come to, resets the connection, which drops what is not acknowledged.
void Connection::endSending()
{
    if (shutdown(m_socket.descriptor(), SHUT_WR)) {
        close();
        return;
    }
    updateEvents();
    closeOnceAcknowledged();
}

void Connection::closeOnceAcknowledged()
{
    if (hasAcknowledgedAll(m_socket)) {
        close();
        return;
    }
    m_acknowledgementTimer = m_loop.at(m_loop.now() + acknowledgementPoll, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (self && self->m_socket)
            self->closeOnceAcknowledged();
    });
}

void Connection::write(std::string_view bytes)
{
    if (!m_socket || m_closing)
        return;
    if (m_connected && m_unsent.empty()) {
        ssize_t sent = send(m_socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent > 0)
            bytes.remove_prefix(static_cast<size_t>(sent));
        else if (sent < 0)
            noteSendFailure();
    }
    m_unsent.append(bytes);
    updateEvents();
}

// The loop's next event tells the listener, so that it is not called from within a write. The system reports the error of a socket only
// once: from then on a reset connection looks like one that has ended in order.
void Connection::noteSendFailure()
{
    m_sendFailed = m_sendFailed || !isTransient(errno);
}

void Connection::onEvents(uint32_t events)
{
    if (!m_connected) {
        finishConnecting();
        return;
    }
    if (events & EPOLLOUT)
        flush();
    // Bytes that came before the end are read first: an answer may be followed by a close at once.
    if (m_socket && (events & EPOLLIN) && m_reading && !m_heldBack) {
        readOnce(readBytes);
        return;
    }
    if (m_socket && (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)))
        peerGone(events & EPOLLERR ? CloseCause::Broken : CloseCause::Orderly);
}

void Connection::finishConnecting()
{
    int error = 0;
    socklen_t size = sizeof(error);
    getsockopt(m_socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
    if (error) {
        peerGone(CloseCause::Broken);
        return;
    }
    m_connected = true;
    if (m_listener)
        m_listener->onConnected();
    if (m_socket)
        flush();
}

void Connection::readOnce(size_t most)
{
    // Shared by all connections of the thread: a connection that waits holds no buffer.
    thread_local std::array<char, readBytes> buffer;
    ssize_t got = recv(m_socket.descriptor(), buffer.data(), std::min(most, buffer.size()), 0);
    if (got > 0) {
        if (m_listener)
            m_listener->onBytes(std::string_view(buffer.data(), static_cast<size_t>(got)));
        return;
    }
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    peerGone(got == 0 ? CloseCause::Orderly : CloseCause::Broken);
}

void Connection::flush()
{
    if (!m_unsent.empty()) {
        std::vector<iovec> parts = m_unsent.front();
        msghdr message {};
        message.msg_iov = parts.data();
        message.msg_iovlen = parts.size();
        ssize_t sent = sendmsg(m_socket.descriptor(), &message, MSG_NOSIGNAL);
        if (sent > 0) {
            m_unsent.take(static_cast<size_t>(sent));
            if (m_listener)
                m_listener->onTaken();
            if (!m_socket)
                return;
        } else if (sent < 0) {
            noteSendFailure();
        }
    }
    if (!m_unsent.empty()) {
        updateEvents();
        return;
    }
    if (m_closing) {
        endSending();
        return;
    }
    updateEvents();
    if (m_listener)
        m_listener->onDrained();
}

void Connection::peerGone(CloseCause cause)
{
    ConnectionListener* listener = m_listener;
    if (m_sendFailed)
        cause = CloseCause::Broken;
    close();
    if (listener)
        listener->onPeerClosed(cause);
}

} // namespace toucanstep::io
