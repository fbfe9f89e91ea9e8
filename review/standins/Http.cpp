#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in socketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

std::string findHeader(const Headers& headers, const std::string& name)
{
    for (const auto& [key, value] : headers) {
        if (!strcasecmp(key.c_str(), name.c_str()))
            return value;
    }
    return {};
}

int millisecondsUntil(Clock::time_point until)
{
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    return static_cast<int>(std::max<int64_t>(0, std::min<int64_t>(left + 1, 1'000'000)));
}

} // namespace

uint16_t freePort(const std::vector<std::string>& ips)
{
    constexpr uint16_t first = 20000;
    constexpr int ports = 10000;
    static std::atomic<int> next = static_cast<int>(getpid()) * 37;
    for (int tries = 0; tries < ports; ++tries) {
        auto port = static_cast<uint16_t>(first + next++ % ports);
        bool free = true;
        for (const auto& ip : ips) {
            for (int type : { SOCK_STREAM, SOCK_DGRAM }) {
                int probe = socket(AF_INET, type | SOCK_CLOEXEC, 0);
                sockaddr_in address = socketAddress({ ip, port });
                free = free && bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
                close(probe);
            }
        }
        if (free)
            return port;
    }
    throw std::runtime_error("no free port");
}

std::string Request::header(const std::string& name) const { return findHeader(headers, name); }
std::string Response::header(const std::string& name) const { return findHeader(headers, name); }

Connection::Connection(int socket)
    : m_socket(socket)
{
    int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

Connection::~Connection() { close(m_socket); }

std::unique_ptr<Connection> Connection::open(const Address& address, Clock::time_point until, const std::optional<Path>& path)
{
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in peer = socketAddress(address);
    auto connection = std::make_unique<Connection>(descriptor);
    connection->m_path = path;
    if (path) {
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &path->segmentBytes, sizeof(path->segmentBytes));
        if (path->receiveBytes)
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &path->receiveBytes, sizeof(path->receiveBytes));
    }
    if (connect(descriptor, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) && errno != EINPROGRESS)
        return nullptr;
    pollfd waiting { descriptor, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (poll(&waiting, 1, millisecondsUntil(until)) <= 0 || getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) || error)
        return nullptr;
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return connection;
}

bool Connection::send(const std::string& bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<size_t>(count);
    }
    return true;
}

bool Connection::readMore(Clock::time_point until)
{
    pollfd waiting { m_socket, POLLIN, 0 };
    if (poll(&waiting, 1, millisecondsUntil(until)) <= 0)
        return false;
    std::array<char, 16384> buffer {};
    constexpr int piecesPerSecond = 50;
    size_t most = m_path ? static_cast<size_t>(m_path->bytesPerSecond / piecesPerSecond) : buffer.size();
    ssize_t count = recv(m_socket, buffer.data(), std::min(most, buffer.size()), 0);
    if (count <= 0)
        return false;
    m_read.append(buffer.data(), static_cast<size_t>(count));
    if (m_path)
        std::this_thread::sleep_for(std::chrono::duration<double>(static_cast<double>(count) / m_path->bytesPerSecond));
    return true;
}

bool Connection::readHead(Clock::time_point until, std::string& firstLine, Headers& headers)
{
    size_t end = 0;
    while ((end = m_read.find("\r\n\r\n")) == std::string::npos) {
        if (!readMore(until))
            return false;
    }
    size_t at = m_read.find("\r\n");
    firstLine = m_read.substr(0, at);
    while (at < end) {
        at += 2;
        size_t next = m_read.find("\r\n", at);
        std::string line = m_read.substr(at, next - at);
        size_t colon = line.find(':');
        size_t value = line.find_first_not_of(' ', colon + 1);
        headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        at = next;
    }
    m_read.erase(0, end + 4);
    return true;
}

bool Connection::readBody(Clock::time_point until, const Headers& headers, bool toEnd, std::string& body)
{
    constexpr int hexadecimal = 16;
    if (findHeader(headers, "Transfer-Encoding") == "chunked") {
        while (true) {
            size_t end = 0;
            while ((end = m_read.find("\r\n")) == std::string::npos) {
                if (!readMore(until))
                    return false;
            }
            size_t size = std::stoul(m_read.substr(0, end), nullptr, hexadecimal);
            while (m_read.size() < end + size + 4) {
                if (!readMore(until)) {
                    body += m_read.substr(std::min(m_read.size(), end + 2));
                    return false;
                }
            }
            body += m_read.substr(end + 2, size);
            m_read.erase(0, end + size + 4);
            if (!size)
                return true;
        }
    }
    std::string length = findHeader(headers, "Content-Length");
    if (length.empty() && toEnd) {
        while (readMore(until)) { }
        body = std::exchange(m_read, std::string());
        return Clock::now() < until;
    }
    size_t size = length.empty() ? 0 : std::stoul(length);
    while (m_read.size() < size) {
        if (!readMore(until)) {
            body = m_read;
            return false;
        }
    }
    body = m_read.substr(0, size);
    m_read.erase(0, size);
    return true;
}

std::optional<Request> Connection::readRequest()
{
    constexpr auto idle = std::chrono::seconds(30);
    auto until = Clock::now() + idle;
    Request request;
    std::string line;
    if (!readHead(until, line, request.headers) || !readBody(until, request.headers, false, request.body))
        return std::nullopt;
    size_t first = line.find(' ');
    size_t second = line.find(' ', first + 1);
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, second - first - 1);
    return request;
}

std::optional<Response> Connection::readResponse(Clock::time_point until)
{
    Response response;
    std::string line;
    if (!readHead(until, line, response.headers))
        return std::nullopt;
    response.status = std::stoi(line.substr(line.find(' ') + 1));
    response.whole = readBody(until, response.headers, true, response.body);
    return response;
}

void Connection::shutDown() const { shutdown(m_socket, SHUT_RDWR); }

std::string responseText(int status, const Headers& headers, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
    for (const auto& [name, value] : headers) {
        text += name;
        text += ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Server::Server(const std::string& ip, Handler handler)
    : m_handler(std::move(handler))
    , m_address { ip, 0 }
{
    constexpr int backlog = 256;
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress({ ip, freePort({ ip }) });
    if (bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) || listen(m_socket, backlog))
        throw std::runtime_error("a stand-in cannot listen");
    m_address.port = ntohs(address.sin_port);
    m_thread = std::thread([this] { accept(); });
}

Server::~Server()
{
    m_ended = true;
    shutdown(m_socket, SHUT_RDWR);
    m_thread.join();
    close(m_socket);
    {
        std::lock_guard lock(m_mutex);
        for (Connection* connection : m_connections)
            connection->shutDown();
    }
    while (m_running)
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

void Server::accept()
{
    while (!m_ended) {
        int socket = accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        ++m_running;
        std::thread([this, socket] {
            {
                Connection connection(socket);
                {
                    std::lock_guard lock(m_mutex);
                    m_connections.insert(&connection);
                }
                bool goesOn = true;
                while (goesOn && !m_ended) {
                    auto request = connection.readRequest();
                    goesOn = request && m_handler(connection, *request);
                }
                std::lock_guard lock(m_mutex);
                m_connections.erase(&connection);
            }
            --m_running;
        }).detach();
    }
}

} // namespace review
