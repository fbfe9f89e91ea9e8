#include "toucanstep/io/SendBuffer.h"

#include <algorithm>

namespace toucanstep::io {

namespace {

constexpr size_t pieceBytes = 16 * 1024;
// Of one call to the system.
constexpr size_t piecesAtOnce = 16;

} // namespace

void SendBuffer::append(std::string_view bytes)
{
    m_size += bytes.size();
    while (!bytes.empty()) {
        if (m_pieces.empty() || m_pieces.back().size() >= pieceBytes)
            m_pieces.emplace_back();
        std::string& last = m_pieces.back();
        size_t fits = std::min(bytes.size(), pieceBytes - last.size());
        if (last.size() + fits > last.capacity())
            last.reserve(std::min(pieceBytes, std::max(last.size() + fits, 2 * last.capacity())));
        last.append(bytes.substr(0, fits));
        bytes.remove_prefix(fits);
    }
}

void SendBuffer::take(size_t bytes)
{
    m_size -= std::min(bytes, m_size);
    while (bytes && !m_pieces.empty()) {
        size_t left = m_pieces.front().size() - m_taken;
        if (bytes < left) {
            m_taken += bytes;
            return;
        }
        bytes -= left;
        m_taken = 0;
        m_pieces.pop_front();
    }
}

void SendBuffer::clear()
{
    m_pieces.clear();
    m_taken = 0;
    m_size = 0;
}

std::vector<iovec> SendBuffer::front() const
{
    std::vector<iovec> parts;
    size_t skipped = m_taken;
    for (const std::string& piece : m_pieces) {
        if (parts.size() == piecesAtOnce)
            break;
        parts.push_back({ const_cast<char*>(piece.data()) + skipped, piece.size() - skipped });
        skipped = 0;
    }
    return parts;
}

} // namespace toucanstep::io
