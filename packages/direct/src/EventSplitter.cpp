#include "EventSplitter.h"

#include <algorithm>
#include <utility>

namespace toucanstep::direct {

std::string EventSplitter::feed(std::string_view piece)
{
    // Behind the last complete event of the piece. A blank line ends an event; line ends may be LF or CRLF.
    size_t end = 0;
    for (size_t at = 0; at < piece.size(); ++at) {
        char character = piece[at];
        if (character == '\n') {
            if (m_atLineStart)
                end = at + 1;
            m_atLineStart = true;
        } else if (character != '\r') {
            m_atLineStart = false;
        }
    }
    std::string whole;
    if (end) {
        whole = std::exchange(m_partial, std::string());
        whole.append(piece.substr(0, end));
        m_partialReleased = false;
        recordEventIds(whole);
    }
    m_partial.append(piece.substr(end));
    return whole;
}

void EventSplitter::dropPartial()
{
    m_partial.clear();
    m_atLineStart = true;
}

std::string EventSplitter::releasePartial()
{
    m_partialReleased = true;
    m_lastId.clear();
    return std::exchange(m_partial, std::string());
}

void EventSplitter::recordEventIds(std::string_view events)
{
    constexpr std::string_view field = "id:";
    size_t at = 0;
    while (at < events.size()) {
        size_t lineEnd = std::min(events.find('\n', at), events.size());
        std::string_view line = events.substr(at, lineEnd - at);
        at = lineEnd + 1;
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        m_lastId = line;
    }
}

} // namespace toucanstep::direct
