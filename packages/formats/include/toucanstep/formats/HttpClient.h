// An asynchronous HTTP/1.1 client on libcurl's multi interface: one thread drives all calls.
//
//     HttpClient client;
//     HttpReply reply = client.fetch({ .method = "GET", .url = "http://127.0.0.1:8000/healthz", .deadline = deadline });

#pragma once

#include "toucanstep/base/Result.h"
#include "toucanstep/base/Time.h"
#include "toucanstep/formats/HttpServer.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::formats {

struct HttpCall {
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    // The call is given up at this instant, whatever it is doing.
    base::Instant deadline;
    // Given up when no byte arrives for this long, although the deadline is further off; zero switches it off.
    base::Duration silenceLimit = base::Duration::zero();
    // Opens a connection of its own instead of reusing one that may have gone silent.
    bool freshConnection = false;
};

// Hears one call. All calls come from the client's thread and must not block; onEnd comes exactly once, last.
class HttpListener {
public:
    virtual ~HttpListener() = default;
    virtual void onStatus(int /*status*/, const HttpHeaders&) { }
    virtual void onData(std::string_view) { }
    // No error: the answer is whole. Unavailable: the call never reached the server. Timeout and other kinds: it may have.
    virtual void onEnd(std::optional<base::Error>) = 0;
};

// Destroying the handle, or calling cancel(), ends the call; onEnd then comes with an error.
class HttpCallHandle {
public:
    virtual ~HttpCallHandle() = default;
    virtual void cancel() = 0;
};

struct HttpReply {
    std::optional<base::Error> error;
    int status = 0;
    HttpHeaders headers;
    std::string body;

    bool ok() const { return !error && status >= 200 && status < 300; }
};

class HttpClient {
public:
    HttpClient();
    // Ends every call that still runs.
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    std::unique_ptr<HttpCallHandle> start(HttpCall, std::shared_ptr<HttpListener>);
    // Collects the whole answer and calls back from the client's thread. The call runs to its end or deadline.
    void fetchAsync(HttpCall, std::function<void(HttpReply)>);
    // Waits for the whole answer. Not to be called from the client's thread.
    HttpReply fetch(HttpCall);

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace toucanstep::formats
