// Cuts a stream of bytes into server-sent events, each with the blank line that ends it.

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace toucanstep::formats::internal {

class ServerSentEvents {
public:
    // Takes the next bytes and gives the events that they complete.
    std::vector<std::string> take(std::string_view bytes);
    // What is left of an event that was never completed.
    std::string rest() { return std::move(m_buffer); }

private:
    std::string m_buffer;
    size_t m_searched = 0;
};

// Whether this event is the one that ends an OpenAI-style stream.
bool isEndMark(std::string_view event);

} // namespace toucanstep::formats::internal
