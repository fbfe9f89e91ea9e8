#include "toucanstep/http1/Parser.h"

#include "ChunkFraming.h"
#include "ResponseHeadReader.h"
#include "toucanstep/http1/ResponseSyntax.h"

#include <algorithm>
#include <http_parser.h>

namespace toucanstep::http1 {

namespace {

// Collects a head from http_parser's pieces; shared by both directions.
struct HeadCollector {
    HeaderList headers;
    std::string text;
    std::string name;
    std::string value;
    bool valueBegun = false;
    size_t bytes = 0;

    void addName(const char* at, size_t size)
    {
        if (valueBegun)
            finishHeader();
        name.append(at, size);
        bytes += size;
    }
    void addValue(const char* at, size_t size)
    {
        valueBegun = true;
        value.append(at, size);
        bytes += size;
    }
    void addText(const char* at, size_t size)
    {
        text.append(at, size);
        bytes += size;
    }
    void finishHeader()
    {
        if (!name.empty())
            headers.add(std::move(name), std::string(trimmed(value)));
        name.clear();
        value.clear();
        valueBegun = false;
    }
    void clear()
    {
        headers = HeaderList();
        text.clear();
        name.clear();
        value.clear();
        valueBegun = false;
        bytes = 0;
    }
};

// http_parser calls back into C functions; what they share is reached through the parser's data pointer.
template <typename State>
State& stateOf(http_parser* parser) { return *static_cast<State*>(parser->data); }

template <typename State>
http_parser_settings makeSettings()
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_header_field = [](http_parser* parser, const char* at, size_t size) { return stateOf<State>(parser).onName(at, size); };
    settings.on_header_value = [](http_parser* parser, const char* at, size_t size) { return stateOf<State>(parser).onValue(at, size); };
    settings.on_headers_complete = [](http_parser* parser) { return stateOf<State>(parser).onHead(); };
    settings.on_body = [](http_parser* parser, const char* at, size_t size) { return stateOf<State>(parser).onBody(std::string_view(at, size)); };
    settings.on_message_begin = [](http_parser* parser) { return stateOf<State>(parser).onBegin(); };
    settings.on_message_complete = [](http_parser* parser) { return stateOf<State>(parser).onEnd(); };
    return settings;
}

} // namespace

struct RequestParser::State {
    State(RequestListener* requestListener, size_t maximum)
        : listener(requestListener)
        , maximumHeadBytes(maximum)
    {
        http_parser_init(&parser, HTTP_REQUEST);
        parser.data = this;
    }

    int take(void (HeadCollector::*add)(const char*, size_t), const char* at, size_t size)
    {
        // A trailer's headers would come after the head; they concern the connection only and are dropped.
        if (headDone)
            return 0;
        (head.*add)(at, size);
        tooLarge = head.bytes > maximumHeadBytes;
        return tooLarge ? 1 : 0;
    }
    int onName(const char* at, size_t size) { return take(&HeadCollector::addName, at, size); }
    int onValue(const char* at, size_t size) { return take(&HeadCollector::addValue, at, size); }
    int onUrl(const char* at, size_t size) { return take(&HeadCollector::addText, at, size); }
    int onBegin()
    {
        head.clear();
        headDone = false;
        inMessage = true;
        return 0;
    }
    int onHead()
    {
        head.finishHeader();
        headDone = true;
        RequestHead request;
        request.method = http_method_str(static_cast<http_method>(parser.method));
        request.target = std::move(head.text);
        request.headers = std::move(head.headers);
        request.acceptsChunks = parser.http_major > 1 || (parser.http_major == 1 && parser.http_minor >= 1);
        request.keepAlive = http_should_keep_alive(&parser) != 0;
        listener->onRequestHead(std::move(request));
        return 0;
    }
    int onBody(std::string_view piece)
    {
        listener->onRequestBody(piece);
        return 0;
    }
    int onEnd()
    {
        inMessage = false;
        whole = true;
        http_parser_pause(&parser, 1);
        return 0;
    }

    http_parser parser {};
    RequestListener* listener;
    size_t maximumHeadBytes;
    HeadCollector head;
    bool headDone = false;
    bool tooLarge = false;
    bool inMessage = false;
    bool whole = false;
};

RequestParser::RequestParser(RequestListener* listener, size_t maximumHeadBytes)
    : m_state(std::make_unique<State>(listener, maximumHeadBytes))
{
}

RequestParser::~RequestParser() = default;

bool RequestParser::midMessage() const { return m_state->inMessage; }

ParseStep RequestParser::parse(std::string_view bytes)
{
    static const http_parser_settings settings = [] {
        auto made = makeSettings<State>();
        made.on_url = [](http_parser* parser, const char* at, size_t size) { return stateOf<State>(parser).onUrl(at, size); };
        return made;
    }();
    m_state->whole = false;
    if (HTTP_PARSER_ERRNO(&m_state->parser) == HPE_PAUSED)
        http_parser_pause(&m_state->parser, 0);
    size_t taken = http_parser_execute(&m_state->parser, &settings, bytes.data(), bytes.size());
    if (m_state->tooLarge)
        return { ParseProgress::HeadTooLarge, taken };
    // A protocol switch is never agreed to here, so what follows such a head could be read in two ways.
    if (m_state->parser.upgrade)
        return { ParseProgress::Malformed, taken };
    if (m_state->whole)
        return { ParseProgress::Whole, taken };
    if (HTTP_PARSER_ERRNO(&m_state->parser) == HPE_HEADER_OVERFLOW)
        return { ParseProgress::HeadTooLarge, taken };
    if (HTTP_PARSER_ERRNO(&m_state->parser) != HPE_OK)
        return { ParseProgress::Malformed, taken };
    return { ParseProgress::NeedsMore, taken };
}

namespace {

// Whether the transfer codings are none, or chunked alone, as http_parser reads them. Others are not undone here.
bool isCodingKnown(const HeaderList& headers, bool readAsChunked)
{
    size_t chunked = 0;
    size_t others = 0;
    for (const Header& header : headers.all()) {
        if (!equalsIgnoringCase(header.name, "transfer-encoding"))
            continue;
        forEachElement(header.value, [&](std::string_view coding) {
            if (equalsIgnoringCase(coding, "chunked"))
                ++chunked;
            else if (!equalsIgnoringCase(coding, "identity"))
                ++others;
        });
    }
    return !others && chunked == (readAsChunked ? 1 : 0);
}

} // namespace

struct ResponseParser::State {
    explicit State(ResponseListener* responseListener)
        : listener(responseListener)
        , headReader(maximumResponseHeadBytes)
    {
        reset();
    }

    void reset()
    {
        headReader.reset();
        whole = false;
        beginHead();
    }
    void beginHead()
    {
        http_parser_init(&parser, HTTP_RESPONSE);
        parser.data = this;
        head.clear();
        headDone = false;
        framing = BodyFraming::None;
        fault = {};
    }
    bool isInterim() const { return parser.status_code >= 100 && parser.status_code < 200; }
    int fail(std::string_view what)
    {
        fault = what;
        return -1;
    }
    int onName(const char* at, size_t size)
    {
        if (!headDone)
            head.addName(at, size);
        // The trailer is dropped, but has to follow the syntax.
        else if (!std::all_of(at, at + size, isTokenCharacter))
            return fail("a field name is not a token");
        return 0;
    }
    int onValue(const char* at, size_t size)
    {
        if (!headDone)
            head.addValue(at, size);
        return 0;
    }
    int onStatus(const char* at, size_t size)
    {
        head.addText(at, size);
        return 0;
    }
    int onBegin() { return 0; }
    bool hasBody() const
    {
        constexpr unsigned noContent = 204;
        constexpr unsigned notModified = 304;
        return !answersHead && !isInterim() && parser.status_code != noContent && parser.status_code != notModified;
    }
    BodyFraming bodyFraming() const
    {
        if (!hasBody())
            return BodyFraming::None;
        if (parser.flags & F_CHUNKED)
            return BodyFraming::Chunked;
        return parser.flags & F_CONTENTLENGTH ? BodyFraming::Length : BodyFraming::ToEnd;
    }
    int onHead()
    {
        // 1 tells http_parser that no body follows.
        constexpr int noBody = 1;
        head.finishHeader();
        headDone = true;
        if (isInterim())
            return noBody;
        if (hasBody() && !isCodingKnown(head.headers, (parser.flags & F_CHUNKED) != 0))
            return fail("an unknown transfer coding");
        framing = bodyFraming();
        chunks.begin();
        ResponseHead response;
        response.status = parser.status_code;
        response.reason = std::move(head.text);
        response.headers = std::move(head.headers);
        response.framing = framing;
        response.keepAlive = http_should_keep_alive(&parser) != 0;
        listener->onResponseHead(std::move(response));
        return hasBody() ? 0 : noBody;
    }
    int onBody(std::string_view piece)
    {
        listener->onResponseBody(piece);
        return 0;
    }
    int onEnd()
    {
        if (isInterim())
            return 0;
        whole = true;
        http_parser_pause(&parser, 1);
        return 0;
    }
    int onChunkLineEnd()
    {
        chunks.onLineEnd();
        http_parser_pause(&parser, 1);
        return 0;
    }
    int onChunkEnd() { return chunks.inTrailer() ? 0 : onChunkLineEnd(); }

    http_parser parser {};
    ResponseListener* listener;
    internal::ResponseHeadReader headReader;
    HeadCollector head;
    bool headDone = false;
    bool answersHead = false;
    bool whole = false;
    BodyFraming framing = BodyFraming::None;
    internal::ChunkFraming chunks;
    // Empty if nothing is wrong.
    std::string_view fault;
};

ResponseParser::ResponseParser(ResponseListener* listener)
    : m_state(std::make_unique<State>(listener))
{
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::expect(bool answersHead)
{
    m_state->reset();
    m_state->answersHead = answersHead;
}

namespace {

template <typename State>
const http_parser_settings& responseSettings()
{
    static const http_parser_settings settings = [] {
        auto made = makeSettings<State>();
        made.on_status = [](http_parser* parser, const char* at, size_t size) { return stateOf<State>(parser).onStatus(at, size); };
        made.on_chunk_header = [](http_parser* parser) { return stateOf<State>(parser).onChunkLineEnd(); };
        made.on_chunk_complete = [](http_parser* parser) { return stateOf<State>(parser).onChunkEnd(); };
        return made;
    }();
    return settings;
}

// Reads on after a pause. Returns how many bytes were taken.
template <typename State>
size_t execute(State& state, std::string_view bytes)
{
    if (HTTP_PARSER_ERRNO(&state.parser) == HPE_PAUSED)
        http_parser_pause(&state.parser, 0);
    size_t taken = http_parser_execute(&state.parser, &responseSettings<State>(), bytes.data(), bytes.size());
    http_errno error = HTTP_PARSER_ERRNO(&state.parser);
    if (error != HPE_OK && error != HPE_PAUSED && state.fault.empty())
        state.fault = http_errno_description(error);
    return taken;
}

} // namespace

// Has the complete head read by http_parser, and prepares for the next one if it was that of an interim answer.
void ResponseParser::readHead()
{
    State& state = *m_state;
    std::string_view text = state.headReader.text();
    size_t taken = execute(state, text);
    if (state.fault.empty() && (taken != text.size() || !state.headDone))
        state.fault = "the end of the head is not clear";
    state.headReader.beginNext();
    if (state.fault.empty() && state.isInterim())
        state.beginHead();
}

size_t ResponseParser::readBody(std::string_view bytes)
{
    State& state = *m_state;
    size_t taken = execute(state, bytes);
    if (state.fault.empty() && state.framing == BodyFraming::Chunked && !state.chunks.check(bytes.substr(0, taken), state.parser.content_length, state.whole))
        state.fault = "a chunk does not end where its size says";
    return taken;
}

ParseStep ResponseParser::parse(std::string_view bytes)
{
    State& state = *m_state;
    size_t taken = 0;
    while (taken < bytes.size() && !state.whole && state.fault.empty()) {
        if (state.headDone) {
            taken += readBody(bytes.substr(taken));
            continue;
        }
        taken += state.headReader.take(bytes.substr(taken));
        state.fault = state.headReader.fault();
        if (state.headReader.complete())
            readHead();
    }
    if (!state.fault.empty())
        return { ParseProgress::Malformed, taken, state.fault };
    return { state.whole ? ParseProgress::Whole : ParseProgress::NeedsMore, taken, {} };
}

ParseProgress ResponseParser::parseEnd()
{
    if (!m_state->headDone || !m_state->fault.empty())
        return ParseProgress::Malformed;
    execute(*m_state, {});
    return m_state->whole && m_state->fault.empty() ? ParseProgress::Whole : ParseProgress::Malformed;
}

} // namespace toucanstep::http1
