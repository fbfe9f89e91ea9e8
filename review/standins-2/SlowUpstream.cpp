#include "SlowUpstream.h"

#include "toucanstep/base/Text.h"

#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace toucanstep::review {

namespace {

constexpr size_t readBytes = 16 * 1024;
// What the system keeps of a request that is not read yet.
constexpr int receiveBuffer = 64 * 1024;
constexpr int endCheckMilliseconds = 50;

std::string headerOf(const std::string& head, const std::string& name)
{
    std::string lowered = head;
    std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](unsigned char c) { return static_cast<char>(tolower(c)); });
    size_t at = lowered.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    at += name.size() + 4;
    return head.substr(at, head.find("\r\n", at) - at);
}

} // namespace

SlowUpstream::SlowUpstream(std::string id, Pace pace, std::function<void(const std::string&)> record)
    : m_id(std::move(id))
    , m_pace(pace)
    , m_record(std::move(record))
{
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (m_pace.bytesPerSecond)
        setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    [[maybe_unused]] int bound = bind(m_listener, reinterpret_cast<sockaddr*>(&address), size);
    constexpr int backlog = 256;
    listen(m_listener, backlog);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_endpoint = { "127.0.0.1", ntohs(address.sin_port) };
    m_acceptor = std::thread([this] { accept(); });
}

SlowUpstream::~SlowUpstream()
{
    m_ending = true;
    m_acceptor.join();
    std::vector<std::thread> threads;
    {
        std::lock_guard lock(m_mutex);
        threads.swap(m_threads);
    }
    for (auto& thread : threads)
        thread.join();
    close(m_listener);
}

std::string SlowUpstream::entry(const std::string& service) const
{
    return nlohmann::json { { "service", service }, { "address", m_endpoint.text() }, { "zone", "a" }, { "version", "v1" }, { "slots", 32 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "sequence", 1 }, { "born", 1'700'000'000'000 } }.dump();
}

void SlowUpstream::accept()
{
    while (!m_ending) {
        pollfd readable { m_listener, POLLIN, 0 };
        if (poll(&readable, 1, endCheckMilliseconds) <= 0)
            continue;
        int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            continue;
        std::lock_guard lock(m_mutex);
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

void SlowUpstream::serve(int connection)
{
    std::string bytes;
    std::string running;
    while (!m_ending) {
        pollfd readable { connection, POLLIN, 0 };
        if (poll(&readable, 1, endCheckMilliseconds) <= 0)
            continue;
        char buffer[readBytes];
        ssize_t got = recv(connection, buffer, sizeof(buffer), 0);
        if (got <= 0)
            break;
        bytes.append(buffer, static_cast<size_t>(got));
        if (m_pace.bytesPerSecond)
            std::this_thread::sleep_for(std::chrono::microseconds(1'000'000 * static_cast<size_t>(got) / m_pace.bytesPerSecond));
        size_t headEnd = bytes.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            continue;
        std::string head = bytes.substr(0, headEnd + 2);
        std::string id = headerOf(head, "attempt-id");
        if (id != running) {
            running = id;
            m_record(base::concat(m_id, " begins to read ", id));
        }
        std::string length = headerOf(head, "content-length");
        size_t whole = headEnd + 4 + (length.empty() ? 0 : std::stoul(length));
        if (bytes.size() < whole)
            continue;
        bytes.erase(0, whole);
        m_record(base::concat(m_id, " runs ", id));
        std::this_thread::sleep_for(m_pace.work);
        std::string answer = base::concat("HTTP/1.1 200 OK\r\nAttempt-Id: ", id, "\r\nResponse-Signature: 3e1b.", id, "\r\nContent-Length: ", id.size(), "\r\n\r\n", id);
        if (send(connection, answer.data(), answer.size(), MSG_NOSIGNAL) <= 0)
            break;
        m_record(base::concat(m_id, " answers ", id));
        running.clear();
    }
    close(connection);
}

} // namespace toucanstep::review
