// An HTTP/1.1 client on an event loop, with kept connections, that never sends a request twice.
//
// A request goes out once, on one connection. What becomes of it is told exactly: it was not sent, or its answer came
// whole, or it may have arrived and its answer is lost. Whether it is sent again is for the caller of this class to decide.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/KeyValue.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/http1/Message.h"
#include "toucanstep/io/EventLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace toucanstep::http1 {

enum class Breakage {
    // No connection stood: nothing of the request has left.
    NotSent,
    // The connection broke, or ended before the answer was whole.
    Broken,
    // What came is not an answer.
    Malformed,
};

class ExchangeListener {
public:
    virtual ~ExchangeListener() = default;
    virtual void onHead(ResponseHead) = 0;
    virtual void onBody(std::string_view) = 0;
    // Exactly one of these comes, last; none after cancel().
    virtual void onWhole() = 0;
    virtual void onBroken(Breakage) = 0;
};

// One request under way. Releasing it cancels it.
class Exchange {
public:
    virtual ~Exchange() = default;
    // Ends it and its connection: the server sees its caller leave. The listener hears nothing more.
    virtual void cancel() = 0;
    // Without reading, what the server sends waits at the server once the system's buffers are full. The answer cannot become whole, and
    // an orderly end of the connection is not noticed.
    virtual void setReading(bool) = 0;
    // Reads once, also without reading.
    virtual void readPiece(size_t most) = 0;
    // What comes from now on is told to this one.
    virtual void setListener(ExchangeListener*) = 0;
};

// Who is called. Connections are kept by `peer` and endpoint, so that a server which got another's address is not taken for it.
struct Peer {
    std::string name;
    base::Endpoint endpoint;

    auto operator<=>(const Peer&) const = default;
};

struct OutgoingRequest {
    // Request line, headers and blank line, with the framing of the body.
    std::string head;
    std::string body;
    bool answersHead = false;
    // Opening a connection that takes longer is given up as NotSent.
    base::Instant connectDeadline;
};

struct ClientOptions {
    // How long a kept connection is used again where the server does not say when it closes one.
    base::Duration idleUse = std::chrono::seconds(4);
    // Taken off the time that a server names: its close and a new request must not cross.
    base::Duration idleMargin = std::chrono::seconds(1);
    size_t idlePerPeer = 32;
    // What the system keeps of an answer that is not read; 0 for the system's own choice.
    size_t receiveBufferBytes = 0;
};

struct ClientCounters {
    int64_t opened = 0;
    int64_t reused = 0;
    // Bytes after a whole answer, or on an idle connection: they belong to no request.
    int64_t strayBytes = 0;
};

class Client {
public:
    Client(io::EventLoop&, ClientOptions = {});
    ~Client();
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;

    // The listener must live until its last call or cancel().
    std::unique_ptr<Exchange> send(const Peer&, OutgoingRequest, ExchangeListener*);
    // Closes the kept connections to a peer that is gone.
    void forget(const std::string& peerName);
    // Closes what has been idle for too long; to be called about once a second.
    void sweep();
    const ClientCounters& counters() const;
    // What is under way for its own sake, and ends with the client at the latest. Expires with the client.
    using UnderWay = std::set<std::shared_ptr<const void>>;
    std::weak_ptr<UnderWay> underWay() const { return m_underWay; }

private:
    class Pool;
    class ClientConnection;
    class ClientExchange;
    std::shared_ptr<Pool> m_pool;
    // Goes before the pool.
    std::shared_ptr<UnderWay> m_underWay;
};

struct FetchedAnswer {
    int status = 0;
    HeaderList headers;
    std::string body;
    // When the request was handed to the client, and when the head of its answer had come.
    base::Instant sent;
    base::Instant began;
};

using FetchCallback = std::function<void(base::Outcome<FetchedAnswer>)>;

// The most that a body may have in bytes where the caller does not say otherwise.
constexpr size_t defaultMaxBodyBytes = 256 * 1024;

// How long an answer is waited for, and how much of it is accepted.
struct FetchBounds {
    // It must have begun by then.
    base::Instant begin;
    // And be whole by then.
    base::Instant end;
    // Once it has begun it is given up where nothing of it has come for this long.
    base::Duration longestSilence;
    // An answer that has a larger body, or announces one, is given up at once.
    size_t maxBodyBytes = defaultMaxBodyBytes;
};

// Called with what has come so far whenever a part of an answer has come.
using FetchProgress = std::function<void(const FetchedAnswer&)>;

// Sends a request and collects its whole answer. The error is Unavailable where nothing was sent, Timeout where it may have
// arrived and no answer came by the deadline or the connection broke, Malformed where the answer cannot be read, and TooLarge
// where its body exceeds the bound. Its message says how many bytes of the answer's body had come.
// The callback comes once, from the loop, and never from within this call; it does not come once the client is gone.
void fetch(io::EventLoop&, Client&, const Peer&, std::string_view method, std::string_view target, const HeaderList&, std::string_view body, base::Instant deadline, FetchCallback);
// For answers that may be large: cut off by a deadline and asked for again, they would begin anew on a slow link each time.
void fetch(io::EventLoop&, Client&, const Peer&, std::string_view method, std::string_view target, const HeaderList&, std::string_view body, FetchBounds, FetchCallback, FetchProgress = {});

} // namespace toucanstep::http1
