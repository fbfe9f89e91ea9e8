// An HTTP/1.1 server on an event loop.
//
// A request is handed over once it is whole; requests of one connection one after another. The answer is written piece by
// piece. An answer that is given up midway ends its connection, so that it never looks whole.

#pragma once

#include "toucanstep/base/Endpoint.h"
#include "toucanstep/base/Result.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/http1/Message.h"
#include "toucanstep/io/EventLoop.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace toucanstep::http1 {

// What callers may send, and how long they may take.
struct ServerBounds {
    size_t headBytes = 16 * 1024;
    size_t bodyBytes = 4 * 1024 * 1024;
    // From a request's first byte to its last.
    base::Duration requestTimeout = std::chrono::seconds(10);
    // Between requests.
    base::Duration idleTimeout = std::chrono::seconds(15);
};

struct AnswerHead {
    int status = 200;
    // Empty for the standard phrase.
    std::string reason;
    // Without those that concern the connection and the framing.
    HeaderList headers;
    // The body's length; nothing for a body that is sent in chunks until end(), or until the connection closes to a caller
    // that does not understand chunks.
    std::optional<size_t> length;
    // The body has neither a length nor chunks and ends with the connection, which claims nothing about it. The length is
    // ignored.
    bool untilClose = false;
};

// One request and its answer. Kept alive by whoever answers it.
class ServerExchange {
public:
    virtual ~ServerExchange() = default;
    virtual const RequestHead& head() const = 0;
    virtual const std::string& body() const = 0;
    // Called once if the caller leaves before the answer is whole; nothing that is written afterwards goes anywhere.
    virtual void onGone(std::function<void()>) = 0;
    virtual bool gone() const = 0;

    virtual void begin(AnswerHead) = 0;
    virtual void write(std::string_view piece) = 0;
    virtual void end() = 0;
    // Ends the connection so that the caller sees that the answer is not whole. After end() it does so for what is still unsent.
    virtual void abort() = 0;
    // Bytes of the answer that the caller has not taken yet; also after end().
    virtual size_t unsentBytes() const = 0;
    // Called whenever the caller has taken some of them, until the answer has ended.
    virtual void onTaken(std::function<void()>) = 0;
    // Allows a caller that is there to take nothing for longer than a caller that may be gone.
    virtual void tolerateSlowCaller(bool) = 0;
    // The body of the request is no longer needed.
    virtual void dropBody() = 0;
    // A whole answer at once.
    void answer(AnswerHead, std::string_view body);
};

class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    virtual void onRequest(std::shared_ptr<ServerExchange>) = 0;
    // A request that cannot be read was answered with this status and its connection closed.
    virtual void onUnreadable(int /*status*/) { }
};

// Hears of the memory that requests take while they are read.
class UploadListener {
public:
    virtual ~UploadListener() = default;
    // The request on that connection takes this much now.
    virtual void onUploadGrew(uint64_t connection, size_t bytes) = 0;
    // It has been handed over, refused or given up.
    virtual void onUploadEnded(uint64_t connection) = 0;
};

class Server {
public:
    static base::Result<std::unique_ptr<Server>> listen(io::EventLoop&, const base::Endpoint&, RequestHandler&);
    virtual ~Server() = default;
    // Applies to what is read from now on.
    virtual void setBounds(ServerBounds) = 0;
    // The listener must outlive the server.
    virtual void setUploadListener(UploadListener*) = 0;
    // Answers 503 to the request that is being read on that connection, and closes it.
    virtual void refuseUpload(uint64_t connection) = 0;
    // Every answer from now on says that its connection closes.
    virtual void closeAfterAnswers() = 0;
    // Takes no new connections, and closes those that wait for a request once their callers have taken the last answer. A request that
    // has come by now is still handed over.
    virtual void stop() = 0;
    // Bytes of answers that callers have not taken yet, also on connections that close after them.
    virtual size_t unsentBytes() const = 0;
    virtual size_t connections() const = 0;
    // Connections that close once their callers have acknowledged the last answer; not among connections().
    virtual size_t closingConnections() const = 0;
    virtual base::Endpoint endpoint() const = 0;
};

} // namespace toucanstep::http1
