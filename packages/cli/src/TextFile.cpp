#include "TextFile.h"

#include "toucanstep/cli/Command.h"

#include <fstream>
#include <sstream>

namespace toucanstep::cli::internal {

std::optional<std::string> readTextFile(const std::string& name, std::ostream& errors)
{
    std::ifstream stream(name, std::ios::binary);
    std::ostringstream content;
    // A folder opens, and fails only when it is read; an empty file gives no characters, which sets no bad bit.
    if (stream && stream.peek() != std::ifstream::traits_type::eof())
        content << stream.rdbuf();
    bool reachedEnd = stream.eof() || stream.good();
    if (stream.is_open() && !stream.bad() && reachedEnd)
        return content.str();
    errors << "toucanstep: cannot read \"" << name << "\"\n";
    return std::nullopt;
}

std::shared_ptr<const config::Configuration> readConfigurationFile(const std::string& name, std::ostream& errors, int& status)
{
    auto text = readTextFile(name, errors);
    if (!text) {
        status = exitUnusable;
        return nullptr;
    }
    config::ParsedConfiguration parsed = config::parseConfiguration(name, *text);
    if (!parsed.configuration) {
        errors << parsed.findings.render();
        status = exitUnusable;
    }
    return parsed.configuration;
}

} // namespace toucanstep::cli::internal
