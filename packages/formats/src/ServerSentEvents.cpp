#include "ServerSentEvents.h"

namespace toucanstep::formats::internal {

namespace {

// An event longer than this is handed on in parts, so that a server that never ends one cannot fill the memory.
constexpr size_t longestEvent = 4 * 1024 * 1024;
// The longest end of an event is "\r\n\r\n"; a search may have stopped inside one.
constexpr size_t longestSeparator = 4;

// The position after the first blank line at or after `from`, or npos.
size_t findEnd(std::string_view text, size_t from)
{
    for (size_t line = text.find('\n', from); line != std::string_view::npos; line = text.find('\n', line + 1)) {
        if (line + 1 < text.size() && text[line + 1] == '\n')
            return line + 2;
        if (line + 2 < text.size() && text[line + 1] == '\r' && text[line + 2] == '\n')
            return line + 3;
    }
    return std::string_view::npos;
}

} // namespace

std::vector<std::string> ServerSentEvents::take(std::string_view bytes)
{
    m_buffer.append(bytes);
    std::vector<std::string> events;
    size_t begin = 0;
    size_t end = 0;
    while ((end = findEnd(m_buffer, std::max(begin, m_searched))) != std::string::npos) {
        events.push_back(m_buffer.substr(begin, end - begin));
        begin = end;
    }
    m_buffer.erase(0, begin);
    if (m_buffer.size() > longestEvent) {
        events.push_back(std::move(m_buffer));
        m_buffer.clear();
    }
    m_searched = m_buffer.size() > longestSeparator ? m_buffer.size() - longestSeparator : 0;
    return events;
}

bool isEndMark(std::string_view event)
{
    constexpr std::string_view field = "data:";
    if (event.substr(0, field.size()) != field)
        return false;
    event.remove_prefix(field.size());
    auto begin = event.find_first_not_of(' ');
    auto end = event.find_last_not_of("\r\n ");
    return begin != std::string_view::npos && end != std::string_view::npos && event.substr(begin, end + 1 - begin) == "[DONE]";
}

} // namespace toucanstep::formats::internal
