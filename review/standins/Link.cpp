#include "Link.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int backlog = 128;
constexpr size_t pieceBytes = 8 * 1024;

sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

} // namespace

Link::Link(Address target, double bytesPerSecond)
    : m_target(std::move(target))
    , m_bytesPerSecond(bytesPerSecond)
    , m_address { "127.0.0.1", freePort({ "127.0.0.1" }) }
{
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress(m_address);
    if (bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) || listen(m_socket, backlog))
        throw std::runtime_error("a link cannot listen");
    m_thread = std::thread([this] { accept(); });
}

Link::~Link()
{
    m_ended = true;
    shutdown(m_socket, SHUT_RDWR);
    m_thread.join();
    {
        std::lock_guard lock(m_mutex);
        for (int each : m_open)
            shutdown(each, SHUT_RDWR);
    }
    while (m_running)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    close(m_socket);
}

void Link::take(size_t bytes)
{
    Clock::time_point until;
    {
        std::lock_guard lock(m_mutex);
        m_freeFrom = std::max(m_freeFrom, Clock::now()) + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(static_cast<double>(bytes) / m_bytesPerSecond));
        until = m_freeFrom;
    }
    std::this_thread::sleep_until(until);
}

void Link::pass(int from, int to, bool limited)
{
    std::array<char, pieceBytes> piece {};
    ssize_t count = 0;
    while ((count = recv(from, piece.data(), piece.size(), 0)) > 0) {
        if (limited)
            take(static_cast<size_t>(count));
        ssize_t sent = 0;
        while (sent < count) {
            ssize_t now = send(to, piece.data() + sent, static_cast<size_t>(count - sent), MSG_NOSIGNAL);
            if (now <= 0)
                break;
            sent += now;
        }
        if (sent < count)
            break;
    }
    shutdown(from, SHUT_RDWR);
    shutdown(to, SHUT_RDWR);
}

void Link::accept()
{
    while (!m_ended) {
        int near = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (near < 0)
            continue;
        int far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        // So that the store is not taken to have sent what the link has not carried.
        int small = 32 * 1024;
        setsockopt(far, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
        sockaddr_in address = socketAddress(m_target);
        if (connect(far, reinterpret_cast<sockaddr*>(&address), sizeof(address))) {
            close(near);
            close(far);
            continue;
        }
        ++m_running;
        std::thread([this, near, far] {
            {
                std::lock_guard lock(m_mutex);
                m_open.insert({ near, far });
            }
            std::thread back([this, near, far] { pass(near, far, false); });
            pass(far, near, true);
            back.join();
            {
                std::lock_guard lock(m_mutex);
                m_open.erase(near);
                m_open.erase(far);
            }
            close(near);
            close(far);
            --m_running;
        }).detach();
    }
}

} // namespace review
