// Collects the head of a response and checks its syntax.
//
// http_parser, as Debian builds it, accepts any number as a status, blanks within the name of a field, and any byte after a carriage
// return at the end of a head. A head is therefore checked by RFC 9112 before http_parser reads it.

#pragma once

#include <string>
#include <string_view>

namespace toucanstep::http1::internal {

class ResponseHeadReader {
public:
    // `maximumBytes` bounds all heads up to the next reset(), interim ones included. A line counts for more than its bytes, as a
    // field takes memory of its own.
    explicit ResponseHeadReader(size_t maximumBytes)
        : m_maximumBytes(maximumBytes)
    {
    }

    // A new response begins.
    void reset();
    // Drops the head, of an interim answer where another one follows.
    void beginNext();
    // Takes bytes up to the end of the head or to what is wrong with it; returns how many.
    size_t take(std::string_view bytes);
    bool complete() const { return m_complete; }
    // What is wrong with the head, for the log; empty if nothing is so far.
    std::string_view fault() const { return m_fault; }
    // The complete head.
    std::string_view text() const { return m_text; }

private:
    void endLine();

    size_t m_maximumBytes;
    std::string m_text;
    // Where the line that is being read begins in the text.
    size_t m_lineBegin = 0;
    size_t m_lines = 0;
    // Of the interim heads before.
    size_t m_spentBytes = 0;
    bool m_statusLineRead = false;
    bool m_fieldRead = false;
    bool m_complete = false;
    std::string_view m_fault;
};

} // namespace toucanstep::http1::internal
