#include "ResponseHeadReader.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace toucanstep::http1::internal {

namespace {

// What a field counts for beside its bytes, as in RFC 9113, 6.5.2.
constexpr size_t lineOverheadBytes = 32;
constexpr std::string_view fieldControlCharacter = "a field holds a control character";
constexpr std::string_view noStatusLine = "no status line of HTTP/1";
constexpr std::string_view statusNotThreeDigits = "the status is not a number of three digits";
constexpr std::string_view versionPrefix = "HTTP/1.";
constexpr int statusSwitchingProtocols = 101;
constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;

bool isBlank(char character) { return character == ' ' || character == '\t'; }

bool isText(std::string_view text) { return std::all_of(text.begin(), text.end(), isTextCharacter); }

} // namespace

bool isTokenCharacter(char character)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return absl::ascii_isalnum(static_cast<unsigned char>(character)) || (character && marks.find(character) != std::string_view::npos);
}

bool isTextCharacter(char character)
{
    return character == '\t' || !absl::ascii_iscntrl(static_cast<unsigned char>(character));
}

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
        if (m_spentBytes + m_text.size() + piece.size() + (m_lines + 1) * lineOverheadBytes > m_maximumBytes) {
            m_fault = "the head is too large";
            break;
        }
        m_text += piece;
        if (lineEnd != std::string_view::npos)
            endLine();
    }
    // Bytes that are no answer are told at once, though no line may ever end.
    std::string_view begin = std::string_view(m_text).substr(m_lineBegin, versionPrefix.size());
    if (m_fault.empty() && !m_statusLineRead && begin != "\r" && !versionPrefix.starts_with(begin))
        m_fault = noStatusLine;
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
        m_fault = checkStatusLine(line);
        m_statusLineRead = true;
    } else if (m_fieldRead && isBlank(line.front())) {
        // A fold, which continues the value of the line before.
        m_fault = isText(line) ? std::string_view() : fieldControlCharacter;
    } else {
        m_fault = checkField(line);
        m_fieldRead = true;
    }
    m_lineBegin = m_text.size();
}

std::string_view ResponseHeadReader::checkStatusLine(std::string_view line)
{
    constexpr size_t statusBegin = versionPrefix.size() + 2;
    constexpr size_t statusEnd = statusBegin + 3;
    if (line.size() < statusEnd || !line.starts_with(versionPrefix) || !absl::ascii_isdigit(static_cast<unsigned char>(line[versionPrefix.size()])) || line[statusBegin - 1] != ' ')
        return noStatusLine;
    int status = 0;
    for (char digit : line.substr(statusBegin, statusEnd - statusBegin)) {
        if (!absl::ascii_isdigit(static_cast<unsigned char>(digit)))
            return statusNotThreeDigits;
        status = status * 10 + (digit - '0');
    }
    if (line.size() > statusEnd && line[statusEnd] != ' ')
        return statusNotThreeDigits;
    if (status < lowestStatus || status > highestStatus)
        return "the status is outside 100 to 599";
    if (status == statusSwitchingProtocols)
        return "a switch of protocols that was not asked for";
    return isText(line.substr(statusEnd)) ? std::string_view() : "the reason phrase holds a control character";
}

std::string_view ResponseHeadReader::checkField(std::string_view line)
{
    size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return "a field without a colon";
    std::string_view name = line.substr(0, colon);
    if (name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter))
        return "the name of a field is no token";
    return isText(line.substr(colon)) ? std::string_view() : fieldControlCharacter;
}

} // namespace toucanstep::http1::internal
