// A caller of one gateway: each request on a connection of its own, with its answer as the caller sees it.

#pragma once

#include "toucanstep/base/Endpoint.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::review {

struct Request {
    std::string method = "POST";
    std::string target;
    std::string host = "farm.example";
    std::string id;
    std::string key = "k1";
    std::string body;
    // Whole lines of headers, each with its line end.
    std::string more;
    std::chrono::milliseconds timeLimit { 10000 };
};

struct Answer {
    // Zero if no answer has begun.
    int status = 0;
    std::string headers;
    std::string body;
    // The framing says that the body is all.
    bool whole = false;
    // The gateway has ended the connection.
    bool ended = false;

    // Of a stream: the numbers of its events, in the order in which they came.
    std::vector<int> events() const;
    bool hasHeader(std::string_view name) const;
};

// Waits for the whole answer until the request's time limit and half a second are over.
Answer callGateway(const base::Endpoint&, const Request&);

// How fast a caller reads.
struct Pace {
    // The receive buffer that it asks the system for; zero for the system's own choice.
    int receiveBuffer = 0;
    // What it takes at once, and the time until it takes more.
    size_t bytes = 16 * 1024;
    std::chrono::milliseconds pause { 0 };
};

// A connection that stays open for several requests.
class KeptConnection {
public:
    explicit KeptConnection(const base::Endpoint&, Pace = {});
    ~KeptConnection();
    KeptConnection(const KeptConnection&) = delete;
    KeptConnection& operator=(const KeptConnection&) = delete;

    Answer call(const Request&);
    // From the next call on.
    void setPace(Pace pace) { m_pace = pace; }

private:
    int m_socket = -1;
    Pace m_pace;
};

} // namespace toucanstep::review
