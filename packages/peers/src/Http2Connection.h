// One TCP connection with an nghttp2 session on it, on an event loop. Both roles derive from it.

#pragma once

#include "toucanstep/base/Result.h"
#include "toucanstep/io/EventLoop.h"

#include <absl/container/flat_hash_map.h>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::peers::internal {

// A header field as this system sends it: names are lower case.
struct Field {
    std::string name;
    std::string value;
};

// Prefixes a message with its length, so that messages can be told apart in a stream of DATA frames.
std::string frameMessage(std::string_view message);

// Cuts a stream of DATA bytes back into messages.
class MessageReader {
public:
    // Returns false where the stream is not made of well-formed messages.
    bool feed(std::string_view bytes, std::vector<std::string>& messages);
    // True while a message has begun and not ended.
    bool partial() const { return !m_buffer.empty(); }

private:
    std::string m_buffer;
};

class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
public:
    enum class Side {
        Client,
        Server,
    };

    Http2Connection(io::EventLoop&, int socket, Side);
    virtual ~Http2Connection();
    Http2Connection(const Http2Connection&) = delete;
    Http2Connection& operator=(const Http2Connection&) = delete;

    // Begins to listen to the socket. Called once, after construction, since it keeps a shared reference.
    void start();
    // Closes the socket at once, without telling the derived class.
    void close();
    bool closed() const { return m_socket < 0; }
    int64_t bytesSent() const { return m_bytesSent; }
    int64_t bytesReceived() const { return m_bytesReceived; }
    // When something last arrived from the other side.
    base::Instant lastReceived() const { return m_lastReceived; }

    // Queues DATA on a stream; with `last`, the stream's end follows it.
    void sendData(int32_t stream, std::string_view bytes, bool last);
    void resetStream(int32_t stream, uint32_t code);
    size_t queuedBytes(int32_t stream) const;
    // Bytes that the session has made and the socket has not taken yet.
    size_t unsentBytes() const { return m_output.size() - m_outputOffset; }

protected:
    int32_t submitRequest(const std::vector<Field>&);
    void submitResponse(int32_t stream, const std::vector<Field>&);
    void submitPing();
    // Sends what the session has ready. Has to follow every submission.
    void flush();
    // Marks the connection as broken; onLost() follows from the loop, outside nghttp2's callbacks.
    void breakConnection(base::Error);

    virtual void onField(int32_t stream, std::string_view name, std::string_view value) = 0;
    virtual void onHeadersEnd(int32_t stream) = 0;
    virtual void onData(int32_t stream, std::string_view bytes) = 0;
    // The other side has ended the stream in order.
    virtual void onStreamEnd(int32_t stream) = 0;
    // The stream is gone; `code` is an HTTP/2 error code, 0 where it ended in order.
    virtual void onStreamClosed(int32_t stream, uint32_t code) = 0;
    virtual void onPingAnswered() { }
    // The connection is gone, with everything on it.
    virtual void onLost(const base::Error&) = 0;
    virtual void onConnected() { }

    io::EventLoop& m_loop;

private:
    struct OutgoingBody {
        std::string bytes;
        size_t offset = 0;
        bool last = false;
    };

    void onSocket(uint32_t events);
    void receive();
    void writeOut();
    void updateInterest();

    static ssize_t readBody(nghttp2_session*, int32_t stream, uint8_t* buffer, size_t length, uint32_t* flags, nghttp2_data_source*, void* self);
    static void installCallbacks(nghttp2_session_callbacks*);

    int m_socket = -1;
    bool m_connecting = false;
    bool m_broken = false;
    bool m_inSession = false;
    nghttp2_session* m_session = nullptr;
    std::string m_output;
    size_t m_outputOffset = 0;
    uint32_t m_interest = 0;
    int64_t m_bytesSent = 0;
    int64_t m_bytesReceived = 0;
    base::Instant m_lastReceived;
    absl::flat_hash_map<int32_t, OutgoingBody> m_bodies;
};

} // namespace toucanstep::peers::internal
