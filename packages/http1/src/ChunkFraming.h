// Checks the framing of a chunked body (RFC 9112, 7.1) beside http_parser, which, as Debian builds it, does not look at the bytes that
// end a line.
//
// http_parser is paused behind each line of the framing, so that the bytes it has read since the last pause end with that line.

#pragma once

#include <cstdint>
#include <string_view>

namespace toucanstep::http1::internal {

class ChunkFraming {
public:
    // A body begins.
    void begin() { *this = ChunkFraming(); }
    // http_parser has read a size line, or the line end behind a chunk, and is paused.
    void onLineEnd() { m_lineEnded = true; }
    bool inTrailer() const { return m_part == Part::Trailer; }
    // `bytes` were read since the last pause or call; `chunkBytes` is the size of the current chunk, 0 for the last. Returns false where
    // they break the framing.
    bool check(std::string_view bytes, uint64_t chunkBytes, bool bodyEnded);

private:
    // What comes next.
    enum class Part {
        SizeLine,
        Data,
        Trailer,
    };

    Part m_part = Part::SizeLine;
    bool m_lineEnded = false;
    // Of the bytes before.
    char m_lastByte = 0;
};

} // namespace toucanstep::http1::internal
