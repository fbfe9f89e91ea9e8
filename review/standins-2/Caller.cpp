#include "Caller.h"

#include "toucanstep/base/Text.h"

#include <absl/strings/numbers.h>
#include <algorithm>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace toucanstep::review {

namespace {

using Clock = std::chrono::steady_clock;

int connectTo(const base::Endpoint& endpoint, int receiveBuffer)
{
    int opened = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer)
        setsockopt(opened, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    if (connect(opened, reinterpret_cast<sockaddr*>(&address), sizeof(address))) {
        close(opened);
        return -1;
    }
    return opened;
}

void sendAll(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        ssize_t sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
}

// What has come of an answer, read anew with each piece: answers here are short.
class Reading {
public:
    // Returns whether nothing more is to come.
    bool read(std::string_view bytes, bool ended)
    {
        size_t headEnd = bytes.find("\r\n\r\n");
        if (headEnd == std::string_view::npos)
            return ended;
        answer.headers = bytes.substr(0, headEnd);
        constexpr size_t statusAt = 9;
        constexpr size_t statusDigits = 3;
        if (!absl::SimpleAtoi(base::abslView(bytes).substr(statusAt, statusDigits), &answer.status))
            return true;
        std::string_view body = bytes.substr(headEnd + 4);
        if (answer.hasHeader("transfer-encoding: chunked"))
            return readChunks(body) || ended;
        if (auto length = contentLength()) {
            answer.body = body.substr(0, *length);
            answer.whole = body.size() >= *length;
            return answer.whole || ended;
        }
        answer.body = body;
        answer.whole = ended;
        return ended;
    }

    Answer answer;

private:
    std::optional<size_t> contentLength() const
    {
        constexpr std::string_view name = "content-length: ";
        std::string lowered = answer.headers;
        std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](unsigned char c) { return static_cast<char>(tolower(c)); });
        size_t at = lowered.find(name);
        if (at == std::string::npos)
            return std::nullopt;
        return static_cast<size_t>(std::stoul(lowered.substr(at + name.size())));
    }
    bool readChunks(std::string_view bytes)
    {
        answer.body.clear();
        answer.whole = false;
        while (true) {
            size_t lineEnd = bytes.find("\r\n");
            if (lineEnd == std::string_view::npos)
                return false;
            constexpr int hexadecimal = 16;
            size_t size = std::stoul(std::string(bytes.substr(0, lineEnd)), nullptr, hexadecimal);
            bytes.remove_prefix(lineEnd + 2);
            if (!size) {
                answer.whole = true;
                return true;
            }
            answer.body += bytes.substr(0, size);
            if (bytes.size() < size + 2)
                return false;
            bytes.remove_prefix(size + 2);
        }
    }
};

Answer exchange(int socket, const Request& request, const Pace& pace)
{
    std::string text = base::concat(request.method, " ", request.target, " HTTP/1.1\r\nHost: ", request.host, "\r\nAttempt-Id: ", request.id, "\r\nDeadline-Ms: ", request.timeLimit.count(), "\r\n");
    if (!request.key.empty())
        base::append(text, "Credential: ", request.key, "\r\n");
    base::append(text, "Content-Length: ", request.body.size(), "\r\n", request.more, "\r\n", request.body);
    sendAll(socket, text);
    auto until = Clock::now() + request.timeLimit + std::chrono::milliseconds(500);
    Reading reading;
    std::string bytes;
    while (Clock::now() < until) {
        pollfd readable { socket, POLLIN, 0 };
        auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now());
        if (poll(&readable, 1, static_cast<int>(std::max<int64_t>(left.count(), 1))) <= 0)
            break;
        std::vector<char> buffer(pace.bytes);
        ssize_t got = recv(socket, buffer.data(), buffer.size(), 0);
        if (got > 0)
            bytes.append(buffer.data(), static_cast<size_t>(got));
        // A reset is no end of an answer that has no framing.
        bool ended = got == 0;
        reading.answer.ended = got <= 0;
        if (reading.read(bytes, ended) || got <= 0)
            break;
        std::this_thread::sleep_for(pace.pause);
    }
    return reading.answer;
}

} // namespace

std::vector<int> Answer::events() const
{
    std::vector<int> numbers;
    constexpr std::string_view field = "id: ";
    for (size_t at = body.find(field); at != std::string::npos; at = body.find(field, at + 1))
        numbers.push_back(std::atoi(body.c_str() + at + field.size()));
    return numbers;
}

bool Answer::hasHeader(std::string_view name) const
{
    auto same = [](unsigned char left, unsigned char right) { return tolower(left) == tolower(right); };
    return std::search(headers.begin(), headers.end(), name.begin(), name.end(), same) != headers.end();
}

Answer callGateway(const base::Endpoint& gateway, const Request& request)
{
    return KeptConnection(gateway).call(request);
}

KeptConnection::KeptConnection(const base::Endpoint& gateway, Pace pace)
    : m_socket(connectTo(gateway, pace.receiveBuffer))
    , m_pace(pace)
{
}

KeptConnection::~KeptConnection()
{
    if (m_socket >= 0)
        close(m_socket);
}

Answer KeptConnection::call(const Request& request)
{
    return m_socket < 0 ? Answer() : exchange(m_socket, request, m_pace);
}

} // namespace toucanstep::review
