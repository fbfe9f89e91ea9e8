// Cuts a stream of server-sent events behind whole events, and knows the id of the last one.

#pragma once

#include <string>
#include <string_view>

namespace toucanstep::direct {

class EventSplitter {
public:
    // Takes a piece of the stream and returns what can be passed on: everything up to the end of the last whole event.
    std::string feed(std::string_view piece);
    // Drops the part of an event that has come; the stream goes on elsewhere behind lastId().
    void dropPartial() { m_partial.clear(); }
    bool hasPartial() const { return !m_partial.empty(); }
    // Empty before the first event with an id.
    const std::string& lastId() const { return m_lastId; }

private:
    void noteIds(std::string_view events);

    std::string m_partial;
    std::string m_lastId;
};

} // namespace toucanstep::direct
