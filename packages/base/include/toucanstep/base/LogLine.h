// Structured log lines: key=value pairs written through glog when the line goes out of scope.
//
//     LogLine("routing").add("request", id).add("chosen", upstream);
//
// Values with spaces, quotes or control characters are quoted. Keys of callers and the fleet's secret are never passed in.

#pragma once

#include "toucanstep/base/Text.h"
#include <concepts>
#include <string>
#include <string_view>

namespace toucanstep::base {

class LogLine {
public:
    // `event` names the decision or occurrence, in lower case with underscores.
    explicit LogLine(std::string_view event);
    ~LogLine();
    LogLine(const LogLine&) = delete;
    LogLine& operator=(const LogLine&) = delete;

    LogLine& add(std::string_view key, std::string_view value);
    template <std::integral Number>
    LogLine& add(std::string_view key, Number value)
    {
        return addNumber(key, static_cast<int64_t>(value));
    }

    template <typename Strong>
    requires requires(const Strong& strong) { strong.value(); }
    LogLine& add(std::string_view key, const Strong& strong)
    {
        return add(key, strong.value());
    }

    const std::string& text() const { return m_text; }

private:
    LogLine& addNumber(std::string_view key, int64_t value);

    std::string m_text;
};

} // namespace toucanstep::base
