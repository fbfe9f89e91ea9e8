#include "toucanstep/http1/Message.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <http_parser.h>

namespace toucanstep::http1 {

namespace {

char lowered(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

constexpr std::array<std::string_view, 11> hopByHopNames {
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
    "upgrade", "expect", "content-length", "proxy-authorization", "proxy-authenticate"
};

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return lowered(a) == lowered(b); });
}

std::string_view toText(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::None:
        return "none";
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::ToEnd:
        break;
    }
    return "to_end";
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t";
    size_t first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

std::optional<int64_t> parseNumber(std::string_view text)
{
    int64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || text.front() == '-')
        return std::nullopt;
    return number;
}

const std::string* HeaderList::find(std::string_view name) const
{
    for (const Header& header : m_headers) {
        if (equalsIgnoringCase(header.name, name))
            return &header.value;
    }
    return nullptr;
}

size_t HeaderList::count(std::string_view name) const
{
    return static_cast<size_t>(std::count_if(m_headers.begin(), m_headers.end(), [&](const Header& header) { return equalsIgnoringCase(header.name, name); }));
}

bool isHopByHop(std::string_view name, const std::vector<std::string>& connectionOptions)
{
    auto same = [&](std::string_view other) { return equalsIgnoringCase(name, other); };
    return std::any_of(hopByHopNames.begin(), hopByHopNames.end(), same) || std::any_of(connectionOptions.begin(), connectionOptions.end(), same);
}

std::vector<std::string> connectionOptionsOf(const HeaderList& headers)
{
    std::vector<std::string> options;
    for (const Header& header : headers.all()) {
        if (equalsIgnoringCase(header.name, "connection"))
            forEachElement(header.value, [&](std::string_view element) { options.emplace_back(element); });
    }
    return options;
}

std::string_view reasonPhrase(int status)
{
    return http_status_str(static_cast<http_status>(status)) == std::string_view("<unknown>") ? "Unknown" : http_status_str(static_cast<http_status>(status));
}

void appendHeader(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void appendChunk(std::string& out, std::string_view piece)
{
    if (piece.empty())
        return;
    std::array<char, 16> size {};
    auto [end, error] = std::to_chars(size.data(), size.data() + size.size(), piece.size(), 16);
    out.append(size.data(), end).append("\r\n").append(piece).append("\r\n");
}

} // namespace toucanstep::http1
