// An HTTP/1.1 server on libmicrohttpd, for callers, operators and stand-ins.
//
// The handler is called once for each request, on one of the server's threads, and may answer later from any thread: it
// keeps the HttpExchange and calls respond(), or startStream() followed by write() and finish().
//
//     auto server = HttpServer::start({ .address = "127.0.0.1" }, [](std::shared_ptr<HttpExchange> exchange) {
//         exchange->respond(200, { { "Content-Type", "text/plain" } }, "hello");
//     });

#pragma once

#include "toucanstep/base/Result.h"
#include "toucanstep/base/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::formats {

struct HttpHeader {
    std::string name;
    std::string value;
};

using HttpHeaders = std::vector<HttpHeader>;

// The value of the first header with that name, compared without regard to case; empty if there is none.
std::string_view findHeader(const HttpHeaders&, std::string_view name);

struct HttpRequest {
    std::string method;
    // The path without the query, for example `/v1/models`.
    std::string path;
    std::string query;
    HttpHeaders headers;
    std::string body;
};

// One request and its answer. Every call is safe from any thread; calls after the end of the answer do nothing.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;
    virtual const HttpRequest& request() const = 0;
    // Answers in one piece.
    virtual void respond(int status, HttpHeaders, std::string body) = 0;
    // Begins an answer whose pieces follow by write(); it is whole only once finish() was called.
    virtual void startStream(int status, HttpHeaders) = 0;
    // Queues one piece. Returns false once the caller has gone.
    virtual bool write(std::string piece) = 0;
    virtual void finish() = 0;
    // Breaks the connection off, so that the caller can tell a cut answer from a whole one.
    virtual void abort() = 0;
    // Sends what is queued and a last piece, and then breaks the connection off: the caller learns why the answer is cut,
    // and cannot take it for whole. Where no stream has begun this is abort().
    virtual void abortAfter(std::string lastPiece) = 0;
    // Bytes that were written and not yet sent: a slow reader shows here.
    virtual size_t queuedBytes() const = 0;
    virtual bool callerGone() const = 0;
    // Called at most once, when the caller leaves before the answer has ended; at once if it has already left.
    virtual void onCallerGone(std::function<void()>) = 0;
};

struct HttpServerOptions {
    std::string address = "127.0.0.1";
    // 0 lets the system choose; see HttpServer::port().
    uint16_t port = 0;
    unsigned threads = 2;
    size_t maximumBodyBytes = 4 * 1024 * 1024;
    size_t maximumConnections = 2000;
    // A connection on which nothing moves for this long is closed.
    base::Duration idleTimeout = std::chrono::seconds(120);
    // What is answered to a body above the bound; the default is a plain 413.
    std::string bodyTooLargeAnswer;
};

class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

    static base::Result<std::unique_ptr<HttpServer>> start(const HttpServerOptions&, Handler);
    virtual ~HttpServer() = default;
    virtual uint16_t port() const = 0;
    // Accepts no new connection; exchanges that run go on.
    virtual void stopAccepting() = 0;
    virtual size_t openExchanges() const = 0;
};

} // namespace toucanstep::formats
