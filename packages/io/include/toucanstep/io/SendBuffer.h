// Bytes that wait to be sent, in pieces. Taking bytes from the front moves none of the others, and a piece is released as soon as it has
// been taken, so that the memory in use is about what is held.

#pragma once

#include <list>
#include <string>
#include <string_view>
#include <sys/uio.h>
#include <vector>

namespace toucanstep::io {

class SendBuffer {
public:
    size_t size() const { return m_size; }
    bool empty() const { return !m_size; }
    void append(std::string_view);
    // Drops that many bytes from the front.
    void take(size_t);
    void clear();
    // The front of the bytes, for one call to the system.
    std::vector<iovec> front() const;

private:
    // A list without elements allocates nothing, as most connections hold nothing.
    std::list<std::string> m_pieces;
    // Taken of the first piece.
    size_t m_taken = 0;
    size_t m_size = 0;
};

} // namespace toucanstep::io
