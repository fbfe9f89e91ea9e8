#include "ChunkFraming.h"

#include "toucanstep/http1/ResponseSyntax.h"

#include <algorithm>
#include <utility>

namespace toucanstep::http1::internal {

namespace {

// http_parser ends a size line at its first carriage return.
bool isSizeLineCharacter(char character) { return character == '\r' || isTextCharacter(character); }

} // namespace

bool ChunkFraming::check(std::string_view bytes, uint64_t chunkBytes, bool bodyEnded)
{
    if (bytes.empty())
        return true;
    char before = bytes.size() > 1 ? bytes[bytes.size() - 2] : m_lastByte;
    m_lastByte = bytes.back();
    bool lineEnded = std::exchange(m_lineEnded, false);
    switch (m_part) {
    case Part::SizeLine:
        if (lineEnded) {
            m_part = chunkBytes ? Part::Data : Part::Trailer;
            bytes.remove_suffix(1);
        }
        return std::all_of(bytes.begin(), bytes.end(), isSizeLineCharacter) && (!lineEnded || m_lastByte == '\n');
    case Part::Data:
        if (lineEnded)
            m_part = Part::SizeLine;
        return !lineEnded || (before == '\r' && m_lastByte == '\n');
    case Part::Trailer:
        break;
    }
    return !bodyEnded || m_lastByte == '\n';
}

} // namespace toucanstep::http1::internal
