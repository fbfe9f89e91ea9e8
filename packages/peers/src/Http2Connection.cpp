#include "Http2Connection.h"

#include "toucanstep/base/Text.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <glog/logging.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace toucanstep::peers::internal {

namespace {

constexpr size_t lengthBytes = 4;
// Longer than any message of the system; a larger length means a stream that is not ours.
constexpr size_t maximumMessageBytes = 16 * 1024 * 1024;
constexpr uint32_t streamWindowBytes = 1024 * 1024;
constexpr int32_t connectionWindowBytes = 16 * 1024 * 1024;
constexpr uint32_t maximumStreams = 4096;
constexpr size_t readChunkBytes = 64 * 1024;
// Output is handed to the socket in pieces of at least this size where more is ready.
constexpr size_t outputHighWater = 256 * 1024;

} // namespace

std::string frameMessage(std::string_view message)
{
    std::string framed;
    framed.reserve(message.size() + lengthBytes);
    auto length = static_cast<uint32_t>(message.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        framed.push_back(static_cast<char>((length >> shift) & 0xff));
    framed.append(message);
    return framed;
}

bool MessageReader::feed(std::string_view bytes, std::vector<std::string>& messages)
{
    m_buffer.append(bytes);
    size_t offset = 0;
    while (m_buffer.size() - offset >= lengthBytes) {
        size_t length = 0;
        for (size_t index = 0; index < lengthBytes; ++index)
            length = (length << 8) | static_cast<unsigned char>(m_buffer[offset + index]);
        if (length > maximumMessageBytes)
            return false;
        if (m_buffer.size() - offset - lengthBytes < length)
            break;
        messages.push_back(m_buffer.substr(offset + lengthBytes, length));
        offset += lengthBytes + length;
    }
    m_buffer.erase(0, offset);
    return true;
}

Http2Connection::Http2Connection(io::EventLoop& loop, int socket, Side side)
    : m_loop(loop)
    , m_socket(socket)
    , m_connecting(side == Side::Client)
    , m_lastReceived(loop.now())
{
    nghttp2_session_callbacks* callbacks = nullptr;
    CHECK(!nghttp2_session_callbacks_new(&callbacks));
    installCallbacks(callbacks);
    int made = side == Side::Client ? nghttp2_session_client_new(&m_session, callbacks, this) : nghttp2_session_server_new(&m_session, callbacks, this);
    CHECK(!made);
    nghttp2_session_callbacks_del(callbacks);

    std::array<nghttp2_settings_entry, 2> settings { {
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maximumStreams },
    } };
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
}

Http2Connection::~Http2Connection()
{
    close();
    nghttp2_session_del(m_session);
}

void Http2Connection::start()
{
    m_interest = EPOLLIN | EPOLLOUT;
    m_loop.watch(m_socket, m_interest, [self = weak_from_this()](uint32_t events) {
        if (auto connection = self.lock())
            connection->onSocket(events);
    });
}

void Http2Connection::close()
{
    if (m_socket < 0)
        return;
    m_loop.unwatch(m_socket);
    ::close(m_socket);
    m_socket = -1;
}

void Http2Connection::breakConnection(base::Error error)
{
    if (m_broken)
        return;
    m_broken = true;
    m_loop.post([self = weak_from_this(), error = std::move(error)] {
        auto connection = self.lock();
        if (!connection)
            return;
        connection->close();
        connection->onLost(error);
    });
}

void Http2Connection::onSocket(uint32_t events)
{
    auto keepAlive = shared_from_this();
    if (m_broken || closed())
        return;
    if (m_connecting) {
        int error = 0;
        socklen_t length = sizeof(error);
        getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &length);
        if (error) {
            breakConnection({ base::ErrorKind::Unavailable, base::concat("connect: ", std::strerror(error)) });
            return;
        }
        if (!(events & EPOLLOUT))
            return;
        m_connecting = false;
        onConnected();
    }
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        receive();
    flush();
}

void Http2Connection::receive()
{
    std::array<uint8_t, readChunkBytes> buffer {};
    while (!m_broken && !closed()) {
        ssize_t count = recv(m_socket, buffer.data(), buffer.size(), 0);
        if (count < 0 && (errno == EAGAIN || errno == EINTR))
            return;
        if (count <= 0) {
            breakConnection({ base::ErrorKind::Timeout, count ? std::strerror(errno) : "connection closed" });
            return;
        }
        m_bytesReceived += count;
        m_lastReceived = m_loop.now();
        m_inSession = true;
        ssize_t used = nghttp2_session_mem_recv(m_session, buffer.data(), static_cast<size_t>(count));
        m_inSession = false;
        if (used < 0) {
            breakConnection({ base::ErrorKind::Malformed, nghttp2_strerror(static_cast<int>(used)) });
            return;
        }
        if (static_cast<size_t>(count) < buffer.size())
            return;
    }
}

void Http2Connection::flush()
{
    // Inside nghttp2's callbacks nothing may be sent; receive()'s caller flushes afterwards.
    if (m_inSession || m_broken || closed() || m_connecting)
        return;
    while (true) {
        while (m_output.size() - m_outputOffset < outputHighWater) {
            const uint8_t* bytes = nullptr;
            m_inSession = true;
            ssize_t count = nghttp2_session_mem_send(m_session, &bytes);
            m_inSession = false;
            if (count < 0) {
                breakConnection({ base::ErrorKind::Internal, nghttp2_strerror(static_cast<int>(count)) });
                return;
            }
            if (!count)
                break;
            m_output.append(reinterpret_cast<const char*>(bytes), static_cast<size_t>(count));
        }
        if (m_outputOffset == m_output.size())
            break;
        size_t before = m_outputOffset;
        writeOut();
        if (m_broken || (m_outputOffset == before && !m_output.empty()))
            break;
    }
    if (!nghttp2_session_want_read(m_session) && !nghttp2_session_want_write(m_session) && m_output.empty()) {
        breakConnection({ base::ErrorKind::Timeout, "session ended" });
        return;
    }
    updateInterest();
}

void Http2Connection::writeOut()
{
    while (m_outputOffset < m_output.size()) {
        ssize_t count = send(m_socket, m_output.data() + m_outputOffset, m_output.size() - m_outputOffset, MSG_NOSIGNAL);
        if (count < 0) {
            if (errno == EAGAIN || errno == EINTR)
                return;
            breakConnection({ base::ErrorKind::Timeout, std::strerror(errno) });
            return;
        }
        m_bytesSent += count;
        m_outputOffset += static_cast<size_t>(count);
    }
    m_output.clear();
    m_outputOffset = 0;
}

void Http2Connection::updateInterest()
{
    uint32_t wanted = EPOLLIN;
    if (m_connecting || !m_output.empty())
        wanted |= EPOLLOUT;
    if (wanted == m_interest)
        return;
    m_interest = wanted;
    m_loop.modify(m_socket, wanted);
}

void Http2Connection::sendData(int32_t stream, std::string_view bytes, bool last)
{
    auto body = m_bodies.find(stream);
    if (body == m_bodies.end() || body->second.last)
        return;
    body->second.bytes.append(bytes);
    body->second.last = last;
    nghttp2_session_resume_data(m_session, stream);
    flush();
}

void Http2Connection::resetStream(int32_t stream, uint32_t code)
{
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream, code);
    flush();
}

size_t Http2Connection::queuedBytes(int32_t stream) const
{
    auto body = m_bodies.find(stream);
    return body == m_bodies.end() ? 0 : body->second.bytes.size() - body->second.offset;
}

ssize_t Http2Connection::readBody(nghttp2_session*, int32_t stream, uint8_t* buffer, size_t length, uint32_t* flags, nghttp2_data_source*, void* self)
{
    auto& bodies = static_cast<Http2Connection*>(self)->m_bodies;
    auto found = bodies.find(stream);
    if (found == bodies.end())
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    OutgoingBody& body = found->second;
    size_t available = body.bytes.size() - body.offset;
    if (!available && !body.last)
        return NGHTTP2_ERR_DEFERRED;
    size_t count = std::min(available, length);
    std::memcpy(buffer, body.bytes.data() + body.offset, count);
    body.offset += count;
    if (body.offset == body.bytes.size()) {
        body.bytes.clear();
        body.offset = 0;
        if (body.last)
            *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

namespace {

std::vector<nghttp2_nv> toNameValues(const std::vector<Field>& fields)
{
    std::vector<nghttp2_nv> values;
    values.reserve(fields.size());
    for (const Field& field : fields) {
        nghttp2_nv value {};
        value.name = reinterpret_cast<uint8_t*>(const_cast<char*>(field.name.data()));
        value.namelen = field.name.size();
        value.value = reinterpret_cast<uint8_t*>(const_cast<char*>(field.value.data()));
        value.valuelen = field.value.size();
        value.flags = NGHTTP2_NV_FLAG_NONE;
        values.push_back(value);
    }
    return values;
}

} // namespace

int32_t Http2Connection::submitRequest(const std::vector<Field>& fields)
{
    std::vector<nghttp2_nv> values = toNameValues(fields);
    nghttp2_data_provider provider {};
    provider.read_callback = readBody;
    int32_t stream = nghttp2_submit_request(m_session, nullptr, values.data(), values.size(), &provider, nullptr);
    if (stream > 0)
        m_bodies.emplace(stream, OutgoingBody {});
    return stream;
}

void Http2Connection::submitResponse(int32_t stream, const std::vector<Field>& fields)
{
    std::vector<nghttp2_nv> values = toNameValues(fields);
    nghttp2_data_provider provider {};
    provider.read_callback = readBody;
    m_bodies.emplace(stream, OutgoingBody {});
    nghttp2_submit_response(m_session, stream, values.data(), values.size(), &provider);
}

void Http2Connection::submitPing()
{
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
}

void Http2Connection::installCallbacks(nghttp2_session_callbacks* callbacks)
{
    nghttp2_session_callbacks_set_on_header_callback(callbacks,
        [](nghttp2_session*, const nghttp2_frame* frame, const uint8_t* name, size_t nameLength, const uint8_t* value, size_t valueLength, uint8_t, void* self) {
            static_cast<Http2Connection*>(self)->onField(frame->hd.stream_id,
                std::string_view(reinterpret_cast<const char*>(name), nameLength),
                std::string_view(reinterpret_cast<const char*>(value), valueLength));
            return 0;
        });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
        [](nghttp2_session*, uint8_t, int32_t stream, const uint8_t* bytes, size_t length, void* self) {
            static_cast<Http2Connection*>(self)->onData(stream, std::string_view(reinterpret_cast<const char*>(bytes), length));
            return 0;
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
        [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
            auto* connection = static_cast<Http2Connection*>(self);
            if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK))
                connection->onPingAnswered();
            if (frame->hd.type == NGHTTP2_HEADERS && (frame->hd.flags & NGHTTP2_FLAG_END_HEADERS))
                connection->onHeadersEnd(frame->hd.stream_id);
            bool carriesEnd = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
            if (carriesEnd && (frame->hd.flags & NGHTTP2_FLAG_END_STREAM))
                connection->onStreamEnd(frame->hd.stream_id);
            return 0;
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
        [](nghttp2_session*, int32_t stream, uint32_t code, void* self) {
            auto* connection = static_cast<Http2Connection*>(self);
            connection->m_bodies.erase(stream);
            connection->onStreamClosed(stream, code);
            return 0;
        });
}

} // namespace toucanstep::peers::internal
