#include "ResponseHeadReader.h"

#include "toucanstep/http1/ResponseSyntax.h"

namespace toucanstep::http1::internal {

namespace {

constexpr std::string_view versionPrefix = "HTTP/1.";

bool isBlank(char character) { return character == ' ' || character == '\t'; }

} // namespace

void ResponseHeadReader::reset()
{
    beginNext();
    m_spentBytes = 0;
    m_lines = 0;
}

void ResponseHeadReader::beginNext()
{
    m_spentBytes += m_text.size();
    m_text = std::string();
    m_lineBegin = 0;
    m_statusLineRead = false;
    m_fieldRead = false;
    m_complete = false;
    m_fault = {};
}

size_t ResponseHeadReader::take(std::string_view bytes)
{
    size_t taken = 0;
    while (taken < bytes.size() && !m_complete && m_fault.empty()) {
        std::string_view rest = bytes.substr(taken);
        size_t lineEnd = rest.find('\n');
        std::string_view piece = lineEnd == std::string_view::npos ? rest : rest.substr(0, lineEnd + 1);
        taken += piece.size();
        if (m_spentBytes + m_text.size() + piece.size() + (m_lines + 1) * headLineOverheadBytes > m_maximumBytes) {
            m_fault = "the head is too large";
            break;
        }
        m_text += piece;
        if (lineEnd != std::string_view::npos)
            endLine();
    }
    // Other bytes are refused at once: their first line may never end.
    std::string_view begin = std::string_view(m_text).substr(m_lineBegin, versionPrefix.size());
    if (m_fault.empty() && !m_statusLineRead && begin != "\r" && !versionPrefix.starts_with(begin))
        m_fault = "not an HTTP/1 status line";
    return taken;
}

void ResponseHeadReader::endLine()
{
    ++m_lines;
    std::string_view line = std::string_view(m_text).substr(m_lineBegin);
    line.remove_suffix(1);
    if (line.ends_with('\r'))
        line.remove_suffix(1);
    if (line.empty()) {
        m_complete = m_statusLineRead;
    } else if (!m_statusLineRead) {
        m_fault = faultOfStatusLine(line);
        m_statusLineRead = true;
    } else if (m_fieldRead && isBlank(line.front())) {
        // A fold, which continues the value of the line before.
        m_fault = isText(line) ? std::string_view() : "a fold holds a control character";
    } else {
        m_fault = faultOfField(line);
        m_fieldRead = true;
    }
    m_lineBegin = m_text.size();
}

} // namespace toucanstep::http1::internal
