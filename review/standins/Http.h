// HTTP/1.1 over blocking sockets on loopback, for the stand-ins of the review.

#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

struct Address {
    std::string ip;
    uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

// A port that is free at these addresses, below those that the kernel gives to outgoing connections.
uint16_t freePort(const std::vector<std::string>& ips);

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
    std::string header(const std::string& name) const;
};

struct Response {
    int status = 0;
    Headers headers;
    std::string body;
    // Its end was seen as its framing says.
    bool whole = false;
    std::string header(const std::string& name) const;
};

// The path to a caller: what passes it in a second, and what fits into it.
struct Path {
    int bytesPerSecond = 0;
    int segmentBytes = 1400;
    // 0: the system's own.
    int receiveBytes = 0;
};

// One side of a connection. Calls block, at most until the time that is given.
class Connection {
public:
    explicit Connection(int socket);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // With a path, what comes is read at its speed.
    static std::unique_ptr<Connection> open(const Address&, Clock::time_point until, const std::optional<Path>& path = {});
    bool send(const std::string& bytes);
    std::optional<Request> readRequest();
    // Nothing if the connection ends or the time is over before a head was read. A body that has no end is returned as far as it came.
    std::optional<Response> readResponse(Clock::time_point until);
    void shutDown() const;

private:
    bool readMore(Clock::time_point until);
    bool readHead(Clock::time_point until, std::string& firstLine, Headers&);
    bool readBody(Clock::time_point until, const Headers&, bool toEnd, std::string& body);

    int m_socket;
    std::optional<Path> m_path;
    std::string m_read;
};

std::string responseText(int status, const Headers&, const std::string& body);

// Accepts connections and calls the handler for each request, on a thread for each connection. The handler returns whether the
// connection goes on.
class Server {
public:
    using Handler = std::function<bool(Connection&, const Request&)>;
    Server(const std::string& ip, Handler);
    ~Server();
    Address address() const { return m_address; }

private:
    void accept();

    Handler m_handler;
    int m_socket = -1;
    Address m_address;
    std::atomic<bool> m_ended = false;
    std::mutex m_mutex;
    std::set<Connection*> m_connections;
    std::atomic<int> m_running = 0;
    std::thread m_thread;
};

} // namespace review
