#include "EventSplitter.h"

#include <algorithm>

namespace toucanstep::direct {

namespace {

// The end of the last complete event, or 0. A blank line ends an event; line ends may be LF or CRLF.
size_t endOfWholeEvents(std::string_view text)
{
    size_t end = 0;
    for (std::string_view blankLine : { std::string_view("\n\n"), std::string_view("\n\r\n") }) {
        size_t at = text.rfind(blankLine);
        if (at != std::string_view::npos)
            end = std::max(end, at + blankLine.size());
    }
    return end;
}

} // namespace

std::string EventSplitter::feed(std::string_view piece)
{
    m_partial.append(piece);
    size_t end = endOfWholeEvents(m_partial);
    std::string whole = m_partial.substr(0, end);
    m_partial.erase(0, end);
    recordEventIds(whole);
    return whole;
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
