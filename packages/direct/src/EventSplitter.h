// Splits a stream of server-sent events after complete events and tracks the last event id.

#pragma once

#include <string>
#include <string_view>

namespace toucanstep::direct {

class EventSplitter {
public:
    // Appends a piece of the stream and returns what can be forwarded: everything up to the end of the last complete event.
    std::string feed(std::string_view piece);
    // Drops an incomplete event; the stream resumes elsewhere after lastId().
    void dropPartial();
    bool hasPartial() const { return m_partialReleased || !m_partial.empty(); }
    size_t partialBytes() const { return m_partial.size(); }
    // Hands out the beginning of an event that is too large to be held. The stream cannot resume from within that event, so
    // lastId() is empty until the next one is complete.
    std::string releasePartial();
    // Empty before the first event with an id.
    const std::string& lastId() const { return m_lastId; }

private:
    void recordEventIds(std::string_view events);

    std::string m_partial;
    bool m_partialReleased = false;
    // The current line has no text so far.
    bool m_atLineStart = true;
    std::string m_lastId;
};

} // namespace toucanstep::direct
