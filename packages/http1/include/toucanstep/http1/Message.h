// Heads of HTTP/1.1 messages, and how they are written.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::http1 {

struct Header {
    std::string name;
    std::string value;
};

// Headers in the order in which they came; names keep their spelling and compare without case.
class HeaderList {
public:
    void add(std::string name, std::string value) { m_headers.push_back({ std::move(name), std::move(value) }); }
    // The value of the first header of that name; null where there is none.
    const std::string* find(std::string_view name) const;
    size_t count(std::string_view name) const;
    const std::vector<Header>& all() const { return m_headers; }
    std::vector<Header>& all() { return m_headers; }

private:
    std::vector<Header> m_headers;
};

struct RequestHead {
    std::string method;
    // Path and query, as sent.
    std::string target;
    HeaderList headers;
    // The caller understands chunks: HTTP/1.1.
    bool acceptsChunks = true;
    // What the message itself says: HTTP/1.1 without `Connection: close`, or HTTP/1.0 with `keep-alive`.
    bool keepAlive = true;
};

enum class BodyFraming {
    None,
    Length,
    Chunked,
    // The body ends with the connection.
    ToEnd,
};

std::string_view toText(BodyFraming);

struct ResponseHead {
    int status = 0;
    std::string reason;
    HeaderList headers;
    BodyFraming framing = BodyFraming::None;
    bool keepAlive = true;
};

bool equalsIgnoringCase(std::string_view, std::string_view);
std::string_view trimmed(std::string_view);

// A number in decimal digits and nothing else.
std::optional<int64_t> parseNumber(std::string_view);

// Calls `visit` with each trimmed element of a comma-separated value; empty ones are left out.
template <typename Visitor>
void forEachElement(std::string_view value, Visitor&& visit)
{
    while (!value.empty()) {
        size_t comma = value.find(',');
        std::string_view element = trimmed(value.substr(0, comma));
        if (!element.empty())
            visit(element);
        value = comma == std::string_view::npos ? std::string_view() : value.substr(comma + 1);
    }
}

// A header that concerns one connection only, by its name or because `connectionOptions` (the elements of the message's
// Connection headers) lists it. Content-Length is one too: whoever sends the message on frames it anew.
bool isHopByHop(std::string_view name, const std::vector<std::string>& connectionOptions);
std::vector<std::string> connectionOptionsOf(const HeaderList&);

// The standard reason phrase, or "Unknown".
std::string_view reasonPhrase(int status);

void appendHeader(std::string& out, std::string_view name, std::string_view value);
// One chunk of a chunked body; nothing for an empty piece, which would end the body.
void appendChunk(std::string& out, std::string_view piece);
// What ends a chunked body.
constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace toucanstep::http1
