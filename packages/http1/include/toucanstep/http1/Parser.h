// Incremental parsers for HTTP/1.1 requests and answers, on http_parser.
//
// A parser hears bytes as they come and reports heads, pieces of bodies and the end of each message to its listener. It
// stops behind each whole message, and says how much it took: what follows belongs to the next one, or to nobody.

#pragma once

#include "toucanstep/http1/Message.h"

#include <memory>
#include <string_view>

namespace toucanstep::http1 {

enum class ParseProgress {
    // All bytes were taken, and the message goes on.
    NeedsMore,
    // The message is whole; bytes beyond `taken` were not looked at.
    Whole,
    // Not HTTP/1.1, or framed in more than one way. Nothing more can be read.
    Malformed,
    HeadTooLarge,
};

struct ParseStep {
    ParseProgress progress = ParseProgress::NeedsMore;
    size_t taken = 0;
    // What is wrong with a malformed response, for the log; empty otherwise.
    std::string_view fault;
};

class RequestListener {
public:
    virtual ~RequestListener() = default;
    virtual void onRequestHead(RequestHead) = 0;
    virtual void onRequestBody(std::string_view) = 0;
};

class ResponseListener {
public:
    virtual ~ResponseListener() = default;
    // Interim answers (1xx) are left out. The head is one by RFC 9112: a status from 200 to 599, and field names that are tokens.
    virtual void onResponseHead(ResponseHead) = 0;
    virtual void onResponseBody(std::string_view) = 0;
};

class RequestParser {
public:
    // `maximumHeadBytes` bounds the request line and the headers.
    RequestParser(RequestListener*, size_t maximumHeadBytes);
    ~RequestParser();
    // After Whole the next call begins a new message.
    ParseStep parse(std::string_view bytes);
    // Bytes of a message were taken that is not whole yet.
    bool midMessage() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

class ResponseParser {
public:
    explicit ResponseParser(ResponseListener*);
    ~ResponseParser();
    // Says to which method the next answer belongs: an answer to HEAD has no body, whatever its headers say.
    void expect(bool answersHead);
    ParseStep parse(std::string_view bytes);
    // The connection has ended. Whole if that is how the body's end is told, else Malformed.
    ParseProgress parseEnd();

private:
    void readHead();
    size_t readBody(std::string_view bytes);

    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace toucanstep::http1
