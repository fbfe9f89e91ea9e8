#include "toucanstep/base/LogLine.h"

#include <absl/strings/escaping.h>
#include <glog/logging.h>

namespace toucanstep::base {

namespace {

bool needsQuotes(std::string_view value)
{
    if (value.empty())
        return true;
    for (unsigned char character : value) {
        if (character <= ' ' || character == '"' || character == '=' || character == 0x7f)
            return true;
    }
    return false;
}

} // namespace

LogLine::LogLine(std::string_view event)
    : m_text(concat("event=", event))
{
}

LogLine::~LogLine()
{
    LOG(INFO) << m_text;
}

LogLine& LogLine::add(std::string_view key, std::string_view value)
{
    if (needsQuotes(value))
        append(m_text, " ", key, "=\"", absl::CEscape(abslView(value)), "\"");
    else
        append(m_text, " ", key, "=", value);
    return *this;
}

LogLine& LogLine::addNumber(std::string_view key, int64_t value)
{
    append(m_text, " ", key, "=", value);
    return *this;
}

} // namespace toucanstep::base
