// Settings with the reading of the fleet's secret left to the caller, so that tests and fuzzing touch no file.

#pragma once

#include "toucanstep/config/Settings.h"

#include <optional>
#include <string>
#include <string_view>

namespace toucanstep::config::internal {

class SecretSource {
public:
    virtual ~SecretSource() = default;
    // The file's content without trailing white space; nothing where it cannot be read.
    virtual std::optional<std::string> read(const std::string& path) = 0;
};

// `path` as the settings name it, seen from the settings file.
std::string resolvePath(std::string_view settingsFile, const std::string& path);

ParsedSettings parseSettingsWith(std::string_view file, std::string_view text, SecretSource&);

} // namespace toucanstep::config::internal
