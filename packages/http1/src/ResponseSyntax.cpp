#include "toucanstep/http1/ResponseSyntax.h"

#include "toucanstep/http1/Message.h"

#include <absl/strings/ascii.h>
#include <algorithm>

namespace toucanstep::http1 {

namespace {

constexpr std::string_view notAStatusLine = "not an HTTP/1 status line";
constexpr std::string_view statusNotThreeDigits = "the status is not a number of three digits";
constexpr std::string_view versionPrefix = "HTTP/1.";
constexpr int statusSwitchingProtocols = 101;
constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;

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

bool isText(std::string_view text) { return std::all_of(text.begin(), text.end(), isTextCharacter); }

std::string_view faultOfStatusLine(std::string_view line)
{
    constexpr size_t statusBegin = versionPrefix.size() + 2;
    constexpr size_t statusEnd = statusBegin + 3;
    if (line.size() < statusEnd || !line.starts_with(versionPrefix) || !absl::ascii_isdigit(static_cast<unsigned char>(line[versionPrefix.size()])) || line[statusBegin - 1] != ' ')
        return notAStatusLine;
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
        return "a protocol switch that was not requested";
    return isText(line.substr(statusEnd)) ? std::string_view() : "the reason phrase holds a control character";
}

std::string_view faultOfField(std::string_view line)
{
    size_t colon = line.find(':');
    if (colon == std::string_view::npos)
        return "a field without a colon";
    std::string_view name = line.substr(0, colon);
    if (name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter))
        return "a field name is not a token";
    if (equalsIgnoringCase(name, "content-length") && !parseNumber(trimmed(line.substr(colon + 1))))
        return "Content-Length is not a number";
    return isText(line.substr(colon)) ? std::string_view() : "a field holds a control character";
}

} // namespace toucanstep::http1
