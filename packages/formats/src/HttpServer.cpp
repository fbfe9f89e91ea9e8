#include "toucanstep/formats/HttpServer.h"

#include "Acceptor.h"
#include "CallerWatch.h"
#include "toucanstep/base/Text.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <deque>
#include <glog/logging.h>
#include <microhttpd.h>
#include <mutex>
#include <optional>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <unordered_set>

namespace toucanstep::formats {

std::string_view findHeader(const HttpHeaders& headers, std::string_view name)
{
    for (const auto& header : headers) {
        if (header.name.size() == name.size() && strncasecmp(header.name.data(), name.data(), name.size()) == 0)
            return header.value;
    }
    return {};
}

namespace {

// A body above the bound is read and thrown away up to this many times the bound, so that the caller, who reads only after
// it has sent all, sees the refusal and not a reset connection. Beyond that the connection is cut.
constexpr size_t drainedBounds = 8;
constexpr size_t streamBlockBytes = 16 * 1024;
constexpr size_t connectionMemory = 64 * 1024;

// How long a stopping server waits for its connections to be closed in order.
constexpr auto longestClosing = std::chrono::seconds(2);

constexpr int contentTooLarge = 413;
constexpr int internalServerError = 500;

class Exchange;

// What the exchanges of one server share. It outlives the server where an exchange is kept for longer.
struct Shared {
    HttpServerOptions options;
    HttpServer::Handler handler;
    internal::CallerWatch callers;
    std::atomic<bool> accepting = true;

    std::mutex mutex;
    bool stopping = false;
    std::unordered_map<Exchange*, std::shared_ptr<Exchange>> exchanges;
    // The sockets of all connections that stand.
    std::unordered_set<int> descriptors;
    std::condition_variable connectionClosed;
};

// These headers describe the connection, which is the server's own affair.
bool isOwnedByServer(const std::string& name)
{
    return strcasecmp(name.c_str(), "Content-Length") == 0 || strcasecmp(name.c_str(), "Transfer-Encoding") == 0
        || strcasecmp(name.c_str(), "Connection") == 0;
}

class Exchange final : public HttpExchange, public std::enable_shared_from_this<Exchange> {
public:
    Exchange(std::shared_ptr<Shared> shared, MHD_Connection* connection, std::string_view target)
        : m_shared(std::move(shared))
        , m_connection(connection)
    {
        auto questionMark = target.find('?');
        m_request.path = target.substr(0, questionMark);
        if (questionMark != std::string_view::npos)
            m_request.query = target.substr(questionMark + 1);
        if (const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD))
            m_descriptor = info->connect_fd;
    }

    const HttpRequest& request() const override { return m_request; }

    void respond(int status, HttpHeaders headers, std::string body) override
    {
        std::lock_guard lock(m_mutex);
        if (m_started || m_ended)
            return;
        m_started = true;
        m_whole = true;
        m_status = status;
        m_headers = std::move(headers);
        m_body = std::move(body);
        resume();
    }

    void startStream(int status, HttpHeaders headers) override
    {
        std::lock_guard lock(m_mutex);
        if (m_started || m_ended)
            return;
        m_started = true;
        m_streaming = true;
        m_status = status;
        m_headers = std::move(headers);
        resume();
    }

    bool write(std::string piece) override
    {
        std::lock_guard lock(m_mutex);
        if (m_gone || m_ended || m_whole || m_cut)
            return false;
        if (m_streaming)
            queue(std::move(piece));
        return true;
    }

    void finish() override
    {
        std::lock_guard lock(m_mutex);
        if (!m_streaming || m_ended || m_cut)
            return;
        m_whole = true;
        resume();
    }

    void abort() override
    {
        std::lock_guard lock(m_mutex);
        abortLocked();
    }

    void abortAfter(std::string lastPiece) override
    {
        std::lock_guard lock(m_mutex);
        if (m_ended || m_whole || m_cut)
            return;
        if (!m_streaming) {
            abortLocked();
            return;
        }
        m_cut = true;
        m_onGone = nullptr;
        queue(std::move(lastPiece));
        resume();
    }

    size_t queuedBytes() const override
    {
        std::lock_guard lock(m_mutex);
        return m_queuedBytes;
    }

    bool callerGone() const override
    {
        std::lock_guard lock(m_mutex);
        return m_gone;
    }

    void onCallerGone(std::function<void()> callback) override
    {
        {
            std::lock_guard lock(m_mutex);
            if (!m_gone) {
                // Once the answer has ended no one will call; keeping the callback would keep what it holds.
                if (!m_ended)
                    m_onGone = std::move(callback);
                return;
            }
        }
        callback();
    }

    // The server's own part, called from libmicrohttpd's threads.

    MHD_Result onUpload(const char* method, const char* data, size_t* size)
    {
        if (!m_headersRead) {
            m_headersRead = true;
            return onHeaders(method);
        }
        if (*size > 0) {
            MHD_Result result = collect(data, *size);
            *size = 0;
            return result;
        }
        if (!m_dispatched) {
            m_dispatched = true;
            dispatch();
        }
        return proceed();
    }

    void onCompleted(bool whole)
    {
        std::function<void()> onGone;
        {
            std::lock_guard lock(m_mutex);
            unwatch();
            if (!whole && !m_ended && !m_gone) {
                m_gone = true;
                onGone = std::move(m_onGone);
            }
            m_onGone = nullptr;
            m_ended = true;
            m_connection = nullptr;
            dropPieces();
        }
        if (onGone)
            onGone();
    }

    ssize_t read(char* buffer, size_t capacity)
    {
        std::lock_guard lock(m_mutex);
        // libmicrohttpd 0.9.75 may keep a connection whose reader reported an error until the idle timeout. The socket was
        // shut before, so that the end mark which follows an ordinary end cannot be sent: that failure closes it at once.
        if (m_ended)
            return m_descriptor >= 0 ? MHD_CONTENT_READER_END_OF_STREAM : MHD_CONTENT_READER_END_WITH_ERROR;
        if (m_pieces.empty()) {
            // The library asks for more only once it has sent all that it took, so the last piece is on its way.
            if (m_cut) {
                abortLocked();
                return m_descriptor >= 0 ? MHD_CONTENT_READER_END_OF_STREAM : MHD_CONTENT_READER_END_WITH_ERROR;
            }
            if (m_whole)
                return MHD_CONTENT_READER_END_OF_STREAM;
            suspend();
            return 0;
        }
        return takePieces(buffer, capacity);
    }

private:
    MHD_Result onHeaders(const char* method)
    {
        m_request.method = method;
        MHD_get_connection_values_n(m_connection, MHD_HEADER_KIND, &Exchange::addHeader, this);
        auto declared = findHeader(m_request.headers, "Content-Length");
        uint64_t bytes = 0;
        std::from_chars(declared.data(), declared.data() + declared.size(), bytes);
        if (bytes <= m_shared->options.maximumBodyBytes * drainedBounds)
            return MHD_YES;
        m_dispatched = true;
        refuseBody();
        return proceed();
    }

    static MHD_Result addHeader(void* self, MHD_ValueKind, const char* name, size_t nameSize, const char* value, size_t valueSize)
    {
        auto& headers = static_cast<Exchange*>(self)->m_request.headers;
        headers.push_back({ std::string(name, nameSize), std::string(value ? value : "", value ? valueSize : 0) });
        return MHD_YES;
    }

    MHD_Result collect(const char* data, size_t size)
    {
        m_receivedBytes += size;
        if (m_receivedBytes > m_shared->options.maximumBodyBytes) {
            m_request.body = {};
            return m_receivedBytes > m_shared->options.maximumBodyBytes * drainedBounds ? MHD_NO : MHD_YES;
        }
        m_request.body.append(data, size);
        return MHD_YES;
    }

    void refuseBody()
    {
        const auto& answer = m_shared->options.bodyTooLargeAnswer;
        if (answer.empty())
            respond(contentTooLarge, { { "Content-Type", "text/plain" } }, "The body is larger than this server takes.\n");
        else
            respond(contentTooLarge, { { "Content-Type", "application/json" } }, answer);
    }

    void dispatch()
    {
        if (m_receivedBytes > m_shared->options.maximumBodyBytes) {
            refuseBody();
            return;
        }
        // An exception that left the handler would pass through libmicrohttpd's C code and end the process.
        try {
            m_shared->handler(shared_from_this());
        } catch (const std::exception& error) {
            LOG(ERROR) << "handler failed: " << error.what();
            respond(internalServerError, {}, "");
            abortUnlessWhole();
        }
    }

    void abortUnlessWhole()
    {
        std::lock_guard lock(m_mutex);
        if (!m_whole)
            abortLocked();
    }

    // Queues the answer once it has begun, and suspends the connection until then.
    MHD_Result proceed()
    {
        {
            std::lock_guard lock(m_mutex);
            if (m_ended)
                return MHD_NO;
            if (!m_started) {
                suspend();
                return MHD_YES;
            }
        }
        // Neither status, headers nor body change once the answer has begun, so they are read without the lock.
        // libmicrohttpd locks its response while it calls read(), which takes the lock; hence never the other way round.
        MHD_Response* response = m_streaming ? makeStream() : makeWhole();
        if (!response)
            return MHD_NO;
        for (const auto& header : m_headers) {
            if (!isOwnedByServer(header.name))
                MHD_add_response_header(response, header.name.c_str(), header.value.c_str());
        }
        if (!m_shared->accepting.load())
            MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
        MHD_Result result = MHD_queue_response(m_connection, static_cast<unsigned>(m_status), response);
        MHD_destroy_response(response);
        return result;
    }

    MHD_Response* makeWhole()
    {
        return MHD_create_response_from_buffer(m_body.size(), m_body.data(), MHD_RESPMEM_MUST_COPY);
    }

    MHD_Response* makeStream()
    {
        auto* self = new std::shared_ptr<Exchange>(shared_from_this());
        auto reader = [](void* context, uint64_t, char* buffer, size_t capacity) -> ssize_t {
            return (*static_cast<std::shared_ptr<Exchange>*>(context))->read(buffer, capacity);
        };
        auto release = [](void* context) { delete static_cast<std::shared_ptr<Exchange>*>(context); };
        MHD_Response* response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, streamBlockBytes, reader, self, release);
        if (!response)
            release(self);
        return response;
    }

    ssize_t takePieces(char* buffer, size_t capacity)
    {
        size_t taken = 0;
        while (taken < capacity && !m_pieces.empty()) {
            const std::string& piece = m_pieces.front();
            size_t part = std::min(capacity - taken, piece.size() - m_frontOffset);
            piece.copy(buffer + taken, part, m_frontOffset);
            taken += part;
            m_frontOffset += part;
            if (m_frontOffset == piece.size()) {
                m_pieces.pop_front();
                m_frontOffset = 0;
            }
        }
        m_queuedBytes -= taken;
        return static_cast<ssize_t>(taken);
    }

    // The functions below need m_mutex.

    void queue(std::string piece)
    {
        if (piece.empty())
            return;
        m_queuedBytes += piece.size();
        m_pieces.push_back(std::move(piece));
        resume();
    }

    void suspend()
    {
        if (!m_watchToken && m_descriptor >= 0) {
            auto self = weak_from_this();
            m_watchToken = m_shared->callers.add(m_descriptor, [self] {
                if (auto exchange = self.lock())
                    exchange->onHangUp();
            });
        }
        m_suspended = true;
        MHD_suspend_connection(m_connection);
    }

    void resume()
    {
        if (!m_suspended || !m_connection)
            return;
        m_suspended = false;
        MHD_resume_connection(m_connection);
    }

    void unwatch()
    {
        if (m_watchToken)
            m_shared->callers.remove(*m_watchToken, m_descriptor);
        m_watchToken.reset();
    }

    void dropPieces()
    {
        m_pieces.clear();
        m_frontOffset = 0;
        m_queuedBytes = 0;
    }

    void abortLocked()
    {
        if (m_ended)
            return;
        m_ended = true;
        m_onGone = nullptr;
        dropPieces();
        // Closing both directions also frees a connection that waits for a caller who reads nothing.
        if (m_connection && m_descriptor >= 0)
            ::shutdown(m_descriptor, SHUT_RDWR);
        resume();
    }

    // Called from the watch's thread, without the lock.
    void onHangUp()
    {
        std::function<void()> onGone;
        {
            std::lock_guard lock(m_mutex);
            // A whole answer is left to be sent: whether it arrives shows when the connection is done.
            if (m_ended || m_whole || m_cut)
                return;
            m_gone = true;
            onGone = std::move(m_onGone);
            abortLocked();
        }
        if (onGone)
            onGone();
    }

    const std::shared_ptr<Shared> m_shared;
    HttpRequest m_request;
    size_t m_receivedBytes = 0;
    bool m_headersRead = false;
    bool m_dispatched = false;

    mutable std::mutex m_mutex;
    // Null once libmicrohttpd has done with the request; the descriptor is valid for as long.
    MHD_Connection* m_connection;
    int m_descriptor = -1;
    std::optional<uint64_t> m_watchToken;
    bool m_suspended = false;
    bool m_started = false;
    bool m_streaming = false;
    bool m_whole = false;
    // To be broken off once what is queued was sent.
    bool m_cut = false;
    bool m_ended = false;
    bool m_gone = false;
    int m_status = 0;
    HttpHeaders m_headers;
    std::string m_body;
    std::deque<std::string> m_pieces;
    size_t m_frontOffset = 0;
    size_t m_queuedBytes = 0;
    std::function<void()> m_onGone;
};

void* onTarget(void* context, const char* target, MHD_Connection* connection)
{
    const auto& shared = *static_cast<std::shared_ptr<Shared>*>(context);
    auto exchange = std::make_shared<Exchange>(shared, connection, target);
    bool stopping = false;
    {
        std::lock_guard lock(shared->mutex);
        shared->exchanges.emplace(exchange.get(), exchange);
        stopping = shared->stopping;
    }
    if (stopping)
        exchange->abort();
    return exchange.get();
}

MHD_Result onAccess(void*, MHD_Connection*, const char*, const char* method, const char*, const char* data, size_t* size, void** context)
{
    if (!*context)
        return MHD_NO;
    return static_cast<Exchange*>(*context)->onUpload(method, data, size);
}

void onRequestCompleted(void* context, MHD_Connection*, void** requestContext, MHD_RequestTerminationCode code)
{
    auto* raw = static_cast<Exchange*>(*requestContext);
    *requestContext = nullptr;
    if (!raw)
        return;
    const auto& shared = *static_cast<std::shared_ptr<Shared>*>(context);
    std::shared_ptr<Exchange> exchange;
    {
        std::lock_guard lock(shared->mutex);
        auto found = shared->exchanges.find(raw);
        exchange = std::move(found->second);
        shared->exchanges.erase(found);
    }
    exchange->onCompleted(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

void onConnection(void* context, MHD_Connection* connection, void**, MHD_ConnectionNotificationCode code)
{
    const auto& shared = *static_cast<std::shared_ptr<Shared>*>(context);
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (!info)
        return;
    std::lock_guard lock(shared->mutex);
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        shared->descriptors.erase(info->connect_fd);
        shared->connectionClosed.notify_all();
        return;
    }
    shared->descriptors.insert(info->connect_fd);
    if (shared->stopping)
        ::shutdown(info->connect_fd, SHUT_RDWR);
}

class MicroHttpServer final : public HttpServer {
public:
    MicroHttpServer(const HttpServerOptions& options, Handler handler)
        : m_shared(std::make_shared<Shared>())
    {
        m_shared->options = options;
        m_shared->handler = std::move(handler);
    }

    ~MicroHttpServer() override
    {
        if (m_daemon) {
            stopAccepting();
            closeConnections();
            MHD_stop_daemon(m_daemon);
        }
        m_shared->callers.stop();
    }

    base::Result<void> open()
    {
        const auto& options = m_shared->options;
        BOOST_LEAF_ASSIGN(m_port, m_acceptor.listen(options.address, options.port));
        auto idleSeconds = std::chrono::ceil<std::chrono::seconds>(options.idleTimeout).count();
        unsigned threads = std::max(1U, options.threads);
        unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC | MHD_USE_NO_LISTEN_SOCKET;
        m_daemon = MHD_start_daemon(flags, 0, nullptr, nullptr, &onAccess, &m_shared,
            MHD_OPTION_URI_LOG_CALLBACK, &onTarget, &m_shared,
            MHD_OPTION_NOTIFY_COMPLETED, &onRequestCompleted, &m_shared,
            MHD_OPTION_NOTIFY_CONNECTION, &onConnection, &m_shared,
            MHD_OPTION_CONNECTION_LIMIT, static_cast<unsigned>(std::max<size_t>(options.maximumConnections, threads)),
            MHD_OPTION_CONNECTION_TIMEOUT, static_cast<unsigned>(idleSeconds),
            MHD_OPTION_CONNECTION_MEMORY_LIMIT, connectionMemory,
            threads > 1 ? MHD_OPTION_THREAD_POOL_SIZE : MHD_OPTION_END, threads,
            MHD_OPTION_END);
        if (!m_daemon)
            return base::fail(base::ErrorKind::Unavailable, "the HTTP server's threads could not be started");
        m_acceptor.run([this](int descriptor, const sockaddr_in& caller) {
            // On failure, for example above the bound on connections, libmicrohttpd closes the descriptor itself.
            MHD_add_connection(m_daemon, descriptor, reinterpret_cast<const sockaddr*>(&caller), sizeof(caller));
        });
        return {};
    }

    uint16_t port() const override { return m_port; }

    void stopAccepting() override
    {
        std::lock_guard lock(m_stopMutex);
        m_shared->accepting = false;
        m_acceptor.stop();
    }

    size_t openExchanges() const override
    {
        std::lock_guard lock(m_shared->mutex);
        return m_shared->exchanges.size();
    }

private:
    // Leaves libmicrohttpd nothing to do when it stops. It ends the process if a connection is still suspended then, and
    // one of its versions (0.9.75) reads a null pointer if a request without a proper form arrives while it stops.
    void closeConnections()
    {
        std::vector<std::shared_ptr<Exchange>> running;
        {
            std::lock_guard lock(m_shared->mutex);
            m_shared->stopping = true;
            for (const auto& [raw, exchange] : m_shared->exchanges)
                running.push_back(exchange);
            for (int descriptor : m_shared->descriptors)
                ::shutdown(descriptor, SHUT_RDWR);
        }
        for (const auto& exchange : running)
            exchange->abort();
        std::unique_lock lock(m_shared->mutex);
        m_shared->connectionClosed.wait_for(lock, longestClosing, [this] { return m_shared->descriptors.empty(); });
    }

    std::shared_ptr<Shared> m_shared;
    MHD_Daemon* m_daemon = nullptr;
    uint16_t m_port = 0;
    std::mutex m_stopMutex;
    internal::Acceptor m_acceptor;
};

} // namespace

base::Result<std::unique_ptr<HttpServer>> HttpServer::start(const HttpServerOptions& options, Handler handler)
{
    auto server = std::make_unique<MicroHttpServer>(options, std::move(handler));
    BOOST_LEAF_CHECK(server->open());
    return std::unique_ptr<HttpServer>(std::move(server));
}

} // namespace toucanstep::formats
